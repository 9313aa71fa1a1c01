package loads

import "time"

const (
	// tookFirst is how long a load is thought to take until one was seen.
	initialLoadTime = time.Second
	// tookRise is the share of a longer load that is believed: one may have been
	// slowed by others that ran beside it, so that the shortest ones tell most.
	longerLoadWeight = 0.5
	// tookFade is what an engine that has loaded nothing since the version before
	// keeps of its estimate. One that stood back while loads took long tries
	// again some versions later.
	idleDecay = 0.97
	// listLag is how much later than an engine's load ended the list of servers
	// tells of it, at most: engines write their entries about every second.
	maxListDelay = 1500 * time.Millisecond
)

// LoadTime estimates how long a load of weights takes, in the place of one engine.
// Until it has loaded itself, it goes by how long the first of its peers took. Its
// zero value knows nothing. It is not safe for concurrent use.
type LoadTimeEstimator struct {
	own        time.Duration // 0: none was measured
	peerTime   time.Duration
	unmeasured bool // no load was measured since the last version
}

// Measured notes a load of the engine itself.
func (l *LoadTimeEstimator) ObserveOwn(took time.Duration) {
	if l.own == 0 || took < l.own {
		l.own = took
	} else {
		l.own += time.Duration(longerLoadWeight * float64(took-l.own))
	}
	l.unmeasured = false
}

// Peer notes that no peer was listed with a version before it had been named for
// that long, or that none is yet.
func (l *LoadTimeEstimator) ObservePeers(since time.Duration) {
	l.peerTime = max(0, since-maxListDelay)
}

// Named notes that a version was named.
func (l *LoadTimeEstimator) VersionNamed() {
	if l.unmeasured {
		l.own = time.Duration(idleDecay * float64(l.own))
	}
	l.unmeasured = true
}

// Took returns the estimate.
func (l *LoadTimeEstimator) LoadTime() time.Duration {
	if l.own > 0 {
		return l.own
	}
	return max(initialLoadTime, l.peerTime)
}

// Cadence estimates how often versions of a model are named. Its zero value knows
// nothing. It is not safe for concurrent use.
type CadenceEstimator struct {
	lastNamedAt time.Time
	interval    time.Duration
}

// Named notes that versions up to one some later than the last one were named.
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

// Every returns the estimate; 0: not known, as for no cadence at all.
func (c *CadenceEstimator) NamingInterval() time.Duration {
	if c == nil {
		return 0
	}
	return c.interval
}
