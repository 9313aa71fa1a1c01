package loads

import "time"

const (
	// initialLoadTime is the estimate until a load was observed.
	initialLoadTime = time.Second
	// longerLoadWeight is the weight of a load that took longer than the estimate. Such
	// a load may have been slowed down by others at the same time, so the shortest
	// loads are the most reliable.
	longerLoadWeight = 0.5
	// idleDecay is the factor applied to the estimate of an engine that has loaded
	// nothing since the previous version. An engine that stopped loading while loads
	// took long thus tries again some versions later.
	idleDecay = 0.97
	// maxListDelay is the longest time from the end of an engine's load until the list
	// of servers shows it. Engines write their entries about every second.
	maxListDelay = 1500 * time.Millisecond
)

// LoadTimeEstimator estimates how long a weight load takes on one engine. Until the
// engine has loaded weights itself, the estimate is based on the fastest of its peers.
// The zero value is ready to use. It is not safe for concurrent use.
type LoadTimeEstimator struct {
	own        time.Duration // 0 if no load was observed
	peerTime   time.Duration
	unmeasured bool // no load was observed since the last version
}

// ObserveOwn records the duration of a load of the engine itself.
func (l *LoadTimeEstimator) ObserveOwn(took time.Duration) {
	if l.own == 0 || took < l.own {
		l.own = took
	} else {
		l.own += time.Duration(longerLoadWeight * float64(took-l.own))
	}
	l.unmeasured = false
}

// ObservePeers records how long after a version was named the first peer was listed
// with it, or how long ago it was named if no peer is listed yet.
func (l *LoadTimeEstimator) ObservePeers(since time.Duration) {
	l.peerTime = max(0, since-maxListDelay)
}

// VersionNamed records that a version was named.
func (l *LoadTimeEstimator) VersionNamed() {
	if l.unmeasured {
		l.own = time.Duration(idleDecay * float64(l.own))
	}
	l.unmeasured = true
}

// LoadTime returns the estimate.
func (l *LoadTimeEstimator) LoadTime() time.Duration {
	if l.own > 0 {
		return l.own
	}
	return max(initialLoadTime, l.peerTime)
}

// CadenceEstimator estimates how often versions of a model are named. The zero value is
// ready to use. It is not safe for concurrent use.
type CadenceEstimator struct {
	lastNamedAt time.Time
	interval    time.Duration
}

// VersionNamed records that a version was named that is the given number of versions
// later than the last one recorded.
func (c *CadenceEstimator) VersionNamed(now time.Time, versions uint64) {
	if !c.lastNamedAt.IsZero() && versions > 0 {
		gap := now.Sub(c.lastNamedAt) / time.Duration(versions)
		if c.interval == 0 {
			c.interval = gap
		}
		c.interval = (c.interval + gap) / 2
	}
	c.lastNamedAt = now
}

// NamingInterval returns the estimated time between versions, or 0 if it is not known
// or c is nil.
func (c *CadenceEstimator) NamingInterval() time.Duration {
	if c == nil {
		return 0
	}
	return c.interval
}
