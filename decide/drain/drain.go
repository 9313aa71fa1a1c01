// Package drain decides which requests a process that is being stopped may still start.
package drain

import "time"

const (
	// window is how long a duration counts as recent: for one window at least and two at most.
	window = 30 * time.Second
	// minObserved is the number of recent requests from which on the longest of them says something
	// about the next one.
	minObserved = 30
	// safetyFactor is by how much the next request may exceed the longest recent one.
	safetyFactor = 1.5
)

// Durations is what is known of how long the requests of a route take.
type Durations struct {
	Observed int // recent requests
	Mean     time.Duration
	Longest  time.Duration
}

// Moment is a moment after the request to stop.
type Moment struct {
	// Left is the time until requests that have not ended may be cut off.
	Left time.Duration
	// CallersArrive means that the load balancer may still send new callers to this process, so that one
	// who is refused may come back to it.
	CallersArrive bool
}

// MayStart reports whether a request may be started that ends by itself after limit at the latest. If it is
// not known whether it can end in time, it may start only while callers still arrive: later, a caller who is
// refused reaches another process at once.
func MayStart(m Moment, limit time.Duration, known Durations) bool {
	switch {
	case m.Left <= 0:
		return false
	case limit <= m.Left:
		return true
	case known.Observed >= minObserved && time.Duration(safetyFactor*float64(known.Longest)) <= m.Left:
		return true
	default:
		return m.CallersArrive && known.Mean <= m.Left
	}
}

// Estimator observes how long requests take. The zero value has observed none. It is not safe for
// concurrent use.
type Estimator struct {
	current, previous totals
	since             time.Time // start of current
}

type totals struct {
	observed int
	sum      time.Duration
	longest  time.Duration
}

// Observe records a request that has ended after took.
func (e *Estimator) Observe(took time.Duration, now time.Time) {
	e.rotate(now)
	e.current.observed++
	e.current.sum += took
	e.current.longest = max(e.current.longest, took)
}

// Durations returns what is known now.
func (e *Estimator) Durations(now time.Time) Durations {
	e.rotate(now)
	d := Durations{Observed: e.current.observed + e.previous.observed, Longest: max(e.current.longest, e.previous.longest)}
	if d.Observed > 0 {
		d.Mean = (e.current.sum + e.previous.sum) / time.Duration(d.Observed)
	}
	return d
}

// rotate forgets what is no longer recent.
func (e *Estimator) rotate(now time.Time) {
	age := now.Sub(e.since)
	if age < window {
		return
	}
	e.previous = e.current
	if age >= 2*window {
		e.previous = totals{}
	}
	e.current, e.since = totals{}, now
}
