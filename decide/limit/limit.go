// Package limit decides whether a caller may send one more request now. It checks
// the caller's request rate, its number of concurrent requests and its budget of
// retries. Time is passed in.
package limit

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"dandelionsill.org/kinds"
)

// Limits are the limits of a caller in the manifest.
type Limits struct {
	Rate          float64 // requests per second; 0: no limit
	Burst         int     // requests that may arrive at once; 0: as many as Rate allows in one second
	MaxConcurrent int     // requests in progress at once; 0: no limit
	// RetryPercent is how many retries are earned by a hundred admitted requests.
	RetryPercent float64
}

// Share returns the limits that each of n entries enforces when a load balancer
// spreads a caller's requests over them. Burst and MaxConcurrent are rounded up,
// so that a caller gets at least what it was promised. RetryPercent is not
// divided.
func (l Limits) Share(n int) Limits {
	if n <= 1 {
		return l
	}
	l.Rate /= float64(n)
	l.Burst = ceilDiv(l.Burst, n)
	l.MaxConcurrent = ceilDiv(l.MaxConcurrent, n)
	return l
}

// ceilDiv returns a/n rounded up.
func ceilDiv(a, n int) int { return (a + n - 1) / n }

const (
	// maxSavedRetries bounds the retries that a caller can accumulate. They are
	// enough for the requests in progress at one lost server, and too few to
	// double the load.
	maxSavedRetries = 10
	// concurrencyRetryAfter is the retry advice to a caller at its concurrency
	// limit. Only the caller can know when one of its own requests will end.
	concurrencyRetryAfter = time.Second
)

// Limiter enforces the limits of one caller. It is safe for concurrent use.
type Limiter struct {
	mu           sync.Mutex
	limits       Limits
	bucket       *rate.Limiter // nil: no limit
	running      int           // admitted and not yet released
	savedRetries float64       // retries earned and not taken, at most maxSavedRetries
}

// New returns a Limiter with a full budget of retries.
func New(limits Limits, now time.Time) *Limiter {
	l := &Limiter{savedRetries: maxSavedRetries}
	l.applyLimits(limits, now)
	return l
}

// SetLimits replaces the limits. Running requests, tokens taken under a rate limit
// that remains, and the retry budget are kept.
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

// Admit admits one request, or returns a refusal that says when to retry. The
// caller of Admit must call Release when an admitted request has ended.
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

// takeToken takes a token from the rate limiter and returns 0, or returns how long
// until one is available and takes none.
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

// Release records the end of a request that Admit admitted.
func (l *Limiter) Release() {
	l.mu.Lock()
	l.running--
	l.mu.Unlock()
}

// TakeRetry takes one retry from the budget and reports whether there was one.
// Without a budget, the requests of every failing server would be multiplied and
// sent to the other servers just when capacity is short.
func (l *Limiter) TakeRetry() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits.RetryPercent <= 0 || l.savedRetries < 1 {
		return false
	}
	l.savedRetries--
	return true
}
