// Package limit decides whether a caller may send one more request now: its
// rate, its requests at once, and its budget of retries. Time is passed in.
package limit

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"dandelionsill.org/kinds"
)

// Limits are what a caller may use, as the manifest says.
type Limits struct {
	Rate          float64 // requests a second; 0: no limit
	Burst         int     // requests at one moment; 0: one second's worth
	MaxConcurrent int     // requests at once; 0: no limit
	// RetryPercent is how many retries a hundred requests earn.
	RetryPercent float64
}

// Share returns the part of the limits that one of n entries enforces when a
// balancer spreads a caller's requests over them. Parts round up: a caller
// gets at least what it was promised.
func (l Limits) Share(n int) Limits {
	if n <= 1 {
		return l
	}
	l.Rate /= float64(n)
	l.Burst = ceilDiv(l.Burst, n)
	l.MaxConcurrent = ceilDiv(l.MaxConcurrent, n)
	return l
}

func ceilDiv(a, n int) int { return (a + n - 1) / n }

// Retry budget.
const (
	// maxSavedRetries bounds the retries that a caller may have saved up: enough
	// for the requests that one lost server held, too few to double a load.
	maxSavedRetries = 10
	// concurrencyRetryAfter is the advice to a caller at its concurrency limit; when
	// one of its own requests ends is its own to know.
	concurrencyRetryAfter = time.Second
)

// Limiter holds one caller's use. It is safe for concurrent use.
type Limiter struct {
	mu           sync.Mutex
	limits       Limits
	bucket       *rate.Limiter // nil: no limit
	running      int
	savedRetries float64
}

// New returns a caller that has used nothing yet.
func New(limits Limits, now time.Time) *Limiter {
	l := &Limiter{savedRetries: maxSavedRetries}
	l.applyLimits(limits, now)
	return l
}

// SetLimits puts new limits in force; what was used stays used.
func (l *Limiter) SetLimits(limits Limits, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits != limits {
		l.applyLimits(limits, now)
	}
}

func (l *Limiter) applyLimits(limits Limits, now time.Time) {
	l.limits = limits
	if limits.Rate <= 0 {
		l.bucket = nil
		return
	}
	burst := limits.Burst
	if burst <= 0 {
		burst = int(math.Ceil(limits.Rate))
	}
	if l.bucket == nil {
		l.bucket = rate.NewLimiter(rate.Limit(limits.Rate), burst)
		return
	}
	l.bucket.SetLimitAt(now, rate.Limit(limits.Rate))
	l.bucket.SetBurstAt(now, burst)
}

// Admit takes one request in, or refuses it with when to come back. A request
// that was taken in ends with End.
func (l *Limiter) Admit(now time.Time, held *kinds.Held) *kinds.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits.MaxConcurrent > 0 && l.running >= l.limits.MaxConcurrent {
		return held.Refuse(kinds.RateLimited, "%d requests of this caller are running, its limit here", l.running).
			WithRetryAfter(concurrencyRetryAfter)
	}
	if wait := l.takeToken(now); wait > 0 {
		return held.Refuse(kinds.RateLimited, "over this caller's rate of %.3g requests/s here", l.limits.Rate).
			WithRetryAfter(wait)
	}
	l.running++
	l.savedRetries = min(maxSavedRetries, l.savedRetries+l.limits.RetryPercent/100)
	return nil
}

// takeToken takes a token or tells how long until there is one.
func (l *Limiter) takeToken(now time.Time) time.Duration {
	if l.bucket == nil {
		return 0
	}
	token := l.bucket.ReserveN(now, 1)
	wait := token.DelayFrom(now)
	if wait > 0 {
		token.CancelAt(now)
	}
	return wait
}

// Release ends a request that Admit took in.
func (l *Limiter) Release() {
	l.mu.Lock()
	l.running--
	l.mu.Unlock()
}

// TakeRetry takes one retry from the budget. Without a budget every failing
// server would multiply its requests onto the others just when they are short.
func (l *Limiter) TakeRetry() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits.RetryPercent <= 0 || l.savedRetries < 1 {
		return false
	}
	l.savedRetries--
	return true
}
