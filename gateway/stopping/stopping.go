// Package stopping tells the parts of a process that it is being stopped, and how much time they have left.
package stopping

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"dandelionsill.org/base/boottime"
	"dandelionsill.org/decide/drain"
	"dandelionsill.org/gateway/signal"
)

// RetryAfter is the retry delay suggested to callers of a process that stops: others serve them now.
const RetryAfter = time.Millisecond

// recheckInterval is how often requests that wait are decided on again while the process stops.
const recheckInterval = 50 * time.Millisecond

// Times are times after the request to stop.
type Times struct {
	Arrivals time.Duration // until then, the load balancer may send new callers
	Finish   time.Duration // until then, requests should have ended
	Answer   time.Duration // then, callers who have got nothing yet get a final answer, before the kill
}

// Stop is the stop of a process, which happens once. A nil pointer is valid: the process never stops.
type Stop struct {
	times Times
	now   func() time.Duration
	once  sync.Once

	startedAt atomic.Int64 // in nanoseconds of now; valid once stopping is set
	stopping  atomic.Bool
	recheck   signal.Signal
	ended     context.Context
	end       context.CancelFunc
}

// New returns the stop of a process that has not been asked to stop yet. now is a clock that keeps counting while
// the VM is suspended; nil: boottime.Now.
func New(times Times, now func() time.Duration) *Stop {
	if now == nil {
		now = boottime.Now
	}
	s := &Stop{times: times, now: now}
	s.ended, s.end = context.WithCancel(context.Background())
	return s
}

// Begin records that the process has been asked to stop. Further calls do nothing.
func (s *Stop) Begin() {
	if s == nil {
		return
	}
	s.once.Do(func() {
		s.startedAt.Store(int64(s.now()))
		s.stopping.Store(true)
		go s.tick()
	})
}

// tick notifies those who wait until the time is up.
func (s *Stop) tick() {
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for s.elapsed() < s.times.Answer {
		s.recheck.Notify()
		<-ticker.C
	}
	s.end()
	s.recheck.Notify()
}

func (s *Stop) elapsed() time.Duration { return s.now() - time.Duration(s.startedAt.Load()) }

// IsStopping reports whether the process has been asked to stop.
func (s *Stop) IsStopping() bool { return s != nil && s.stopping.Load() }

// HasEnded reports whether the time for answers is over.
func (s *Stop) HasEnded() bool { return s != nil && s.ended.Err() != nil }

// Moment returns the present moment of the stop; false: the process is not being stopped.
func (s *Stop) Moment() (drain.Moment, bool) {
	if !s.IsStopping() {
		return drain.Moment{}, false
	}
	elapsed := s.elapsed()
	return drain.Moment{Left: s.times.Finish - elapsed, CallersArrive: elapsed < s.times.Arrivals}, true
}

// Recheck returns a channel that is closed at the next time at which waiting requests have to be decided on
// again; nil if that never happens. Call it before the decision, because the last time would otherwise be missed.
func (s *Stop) Recheck() <-chan struct{} {
	if s == nil {
		return nil
	}
	return s.recheck.Next()
}

// Bound returns a context that ends with ctx, and when the time for answers is over. The function that releases it
// must be called.
func (s *Stop) Bound(ctx context.Context) (context.Context, context.CancelFunc) {
	bound, cancel := context.WithCancel(ctx)
	release := s.AfterEnd(cancel)
	return bound, func() { release(); cancel() }
}

// AfterEnd calls f in its own goroutine when the time for answers is over, unless the returned function is called before.
func (s *Stop) AfterEnd(f func()) (release func() bool) {
	if s == nil {
		return func() bool { return true }
	}
	return context.AfterFunc(s.ended, f)
}

// Earliest returns t, or the time by which requests should have ended if the process is being stopped and
// that is earlier.
func (s *Stop) Earliest(t time.Time) time.Time {
	m, isStopping := s.Moment()
	if !isStopping {
		return t
	}
	if finish := time.Now().Add(m.Left); finish.Before(t) {
		return finish
	}
	return t
}
