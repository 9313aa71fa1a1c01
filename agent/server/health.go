package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/outbound"
	"dandelionsill.org/base/sleep"
)

const (
	healthTimeout    = time.Second
	checkLogInterval = 10 * time.Second
	// downAfterFailures is how many consecutive checks must fail before the
	// backend server counts as down; a single failure may be a short overload.
	downAfterFailures = 2
)

var checksFailed = metrics.Counter("agent_backend_checks_failed")

// health checks the backend server periodically.
type health struct {
	backend  Backend
	changed  func()
	log      *zap.Logger
	client   *http.Client
	up       atomic.Bool
	failures int // consecutive failed checks; only for the goroutine of run
}

func newHealth(backend Backend, changed func(), log *zap.Logger) *health {
	return &health{
		backend: backend,
		changed: changed,
		log:     log,
		client:  &http.Client{Timeout: healthTimeout, Transport: outbound.NewTransport(&http.Transport{DisableKeepAlives: true})},
	}
}

func (h *health) isUp() bool { return h.up.Load() }

func (h *health) run(ctx context.Context) {
	for {
		h.record(h.check(ctx))
		if !sleep.For(ctx, h.backend.HealthInterval) {
			return
		}
	}
}

func (h *health) record(err error) {
	if err == nil {
		h.failures = 0
		h.setUp(true)
		return
	}
	checksFailed.Add(1)
	h.failures++
	h.log.Warn("A check of the backend server failed.", zap.Int("in_a_row", h.failures), zap.Error(err))
	if h.failures >= downAfterFailures {
		h.setUp(false)
	}
}

func (h *health) setUp(up bool) {
	if h.up.Swap(up) != up {
		h.changed()
	}
}

func (h *health) check(ctx context.Context) error {
	if h.backend.HealthPath == "" {
		return h.dial(ctx)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.backend.Addr+h.backend.HealthPath, nil)
	if err != nil {
		return err
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<10))
	if resp.StatusCode/100 != 2 {
		return &net.AddrError{Err: "answered " + resp.Status, Addr: h.backend.Addr}
	}
	return nil
}

func (h *health) dial(ctx context.Context) error {
	dialer := net.Dialer{Timeout: healthTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", h.backend.Addr)
	if err != nil {
		return err
	}
	return conn.Close()
}
