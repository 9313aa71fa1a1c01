package forward

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/decide/evidence"
	"dandelionsill.org/decide/route"
	"dandelionsill.org/gateway/backend"
)

// errNoRoom means that this process did not use the server, which may be healthy.
const errNoRoom = errors.ConstError("no room for a body")

var bodyWaits = metrics.Counter("forward_body_waits_total")

// ServerBodies bounds the bodies of this process's requests that one server holds at a time, because a
// server may crash if its requests exceed its memory. A body that is larger than the bound is sent
// while the server holds no other. A nil *ServerBodies bounds nothing. It is safe for concurrent use.
type ServerBodies struct {
	limit int64

	mu       sync.Mutex
	held     map[string]int64 // bytes by server
	released chan struct{}    // closed and replaced at each release
}

// NewServerBodies returns a bound of limit bytes for each server; nil if limit is 0 or less.
func NewServerBodies(limit int64) *ServerBodies {
	if limit <= 0 {
		return nil
	}
	return &ServerBodies{limit: limit, held: map[string]int64{}, released: make(chan struct{})}
}

// acquire waits until the server has room for a body of n bytes. An ErrNotSent error means that there was
// none by the deadline, early enough to tell the caller that the request did not run, or that ctx has ended.
func (b *ServerBodies) acquire(ctx context.Context, deadline time.Time, server string, n int) error {
	if b == nil || n == 0 {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-minAttemptTime))
	defer cancel()
	waited := false
	for {
		released := b.tryAcquire(server, int64(n))
		if released == nil {
			return nil
		}
		if !waited {
			waited = true
			bodyWaits.Add(1)
		}
		select {
		case <-released:
		case <-ctx.Done():
			return fmt.Errorf("%w: %w of %d bytes: %w", backend.ErrNotSent, errNoRoom, n, ctx.Err())
		}
	}
}

// tryAcquire takes n bytes at a server, or returns a channel that is closed at the next release.
func (b *ServerBodies) tryAcquire(server string, n int64) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fits(server, n) {
		return b.released
	}
	b.held[server] += n
	return nil
}

// fits reports whether a server has room for n more bytes; b.mu is held.
func (b *ServerBodies) fits(server string, n int64) bool {
	held := b.held[server]
	return held == 0 || held+n <= b.limit
}

// release returns what acquire has taken.
func (b *ServerBodies) release(server string, n int) {
	if b == nil || n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held[server] -= int64(n)
	if b.held[server] == 0 {
		delete(b.held, server)
	}
	close(b.released)
	b.released = make(chan struct{})
}

// markFull marks the candidates without room for a body of n bytes.
func (b *ServerBodies) markFull(candidates []route.Candidate, n int) {
	if b == nil || n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range candidates {
		candidates[i].Full = !b.fits(candidates[i].Name, int64(n))
	}
}

// endUnsent ends an attempt whose server had no room for the body or is evacuated, which says nothing
// of the server's health.
func (f *Forwarder) endUnsent(o outcome, start time.Time) outcome {
	o.notRun, o.took = true, time.Since(start)
	if o.permit != nil {
		o.permit.Done(0, evidence.Unused)
	}
	f.serverStats.addInFlight(o.server.ID, -1)
	return o
}
