// Package reach watches whether this process reaches anything outside its failure domain.
// decide/isolation decides; the package probes and tells.
package reach

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/sleep"
	"dandelionsill.org/decide/fanout"
	"dandelionsill.org/decide/isolation"
)

const (
	checkInterval = 100 * time.Millisecond
	// probeTimeout is several round trips between regions.
	probeTimeout = 200 * time.Millisecond
)

var (
	probes     = metrics.Counter("reach_probes_total")
	isolations = metrics.Counter("reach_isolated_total")
)

// Config holds what a Monitor uses.
type Config struct {
	FailureDomain string // of this process
	// Peers returns the other processes, and SinceAnswer the time since the store last answered
	// this process, or one that this process reads through.
	Peers       func() []fanout.Member
	SinceAnswer func() time.Duration
	// Dial opens a connection to an address and closes it; nil: TCP.
	Dial   func(ctx context.Context, addr string) error
	Logger *zap.Logger
}

// Monitor knows whether this process is cut off. The nil pointer is valid and never cut off. It is
// safe for concurrent use.
type Monitor struct {
	cfg      Config
	state    isolation.State // of Run's goroutine
	heardAt  time.Time       // when a probe last succeeded; of Run's goroutine
	isolated atomic.Bool

	mu     sync.Mutex
	joined context.Context // ends when the process becomes isolated
	cut    context.CancelFunc
}

// New returns a monitor of a process that is not cut off.
func New(cfg Config) *Monitor {
	if cfg.Dial == nil {
		cfg.Dial = dial
	}
	m := &Monitor{cfg: cfg}
	m.joined, m.cut = context.WithCancel(context.Background())
	return m
}

func dial(ctx context.Context, addr string) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(conn.Close())
}

// Run watches until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	for sleep.For(ctx, checkInterval) {
		if min(m.cfg.SinceAnswer(), time.Since(m.heardAt)) < isolation.MaxSilence {
			m.recordContact()
			continue
		}
		for !m.probe(ctx) && !m.state.IsIsolated() && ctx.Err() == nil { // at once, until it is sure
		}
	}
}

// probe makes one round of probes, and reports whether any was answered or this process can't
// tell.
func (m *Monitor) probe(ctx context.Context) bool {
	targets := isolation.Targets(m.cfg.FailureDomain, m.cfg.Peers(), rand.IntN(1<<16))
	if len(targets) == 0 {
		m.recordContact()
		return true
	}
	probes.Add(int64(len(targets)))
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	results := make(chan error, len(targets))
	for _, t := range targets {
		go func() { results <- m.cfg.Dial(ctx, t.Addr) }()
	}
	var failure error
	for range targets {
		err := <-results
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) { // its machine answers
			m.heardAt = time.Now()
			m.recordContact()
			return true
		}
		failure = err
	}
	m.recordSilence(targets, failure)
	return false
}

func (m *Monitor) recordContact() {
	m.state.RecordContact()
	if !m.isolated.Load() {
		return
	}
	m.mu.Lock()
	m.joined, m.cut = context.WithCancel(context.Background())
	m.mu.Unlock()
	m.isolated.Store(false)
	m.cfg.Logger.Info("This process reaches other failure domains again.")
}

func (m *Monitor) recordSilence(targets []fanout.Member, failure error) {
	m.state.RecordSilentRound()
	if !m.state.IsIsolated() || m.isolated.Load() {
		return
	}
	isolations.Add(1)
	m.isolated.Store(true)
	m.mu.Lock()
	m.cut()
	m.mu.Unlock()
	m.cfg.Logger.Warn("This process is cut off: neither the store nor another failure domain answers.",
		zap.Duration("store_silent", m.cfg.SinceAnswer()), zap.Int("probed", len(targets)), zap.Error(failure))
}

// IsIsolated reports whether this process is cut off.
func (m *Monitor) IsIsolated() bool { return m != nil && m.isolated.Load() }

// Bound returns a context that ends with ctx, and as soon as this process is cut off. The function
// that releases it must be called.
func (m *Monitor) Bound(ctx context.Context) (context.Context, context.CancelFunc) {
	bound, cancel := context.WithCancel(ctx)
	if m == nil {
		return bound, cancel
	}
	m.mu.Lock()
	joined := m.joined
	m.mu.Unlock()
	stop := context.AfterFunc(joined, cancel)
	return bound, func() { stop(); cancel() }
}
