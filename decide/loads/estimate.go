package loads

import "time"

const (
	// tookFirst is how long a load is thought to take until one was seen.
	tookFirst = time.Second
	// tookRise is the share of a longer load that is believed: one may have been
	// slowed by others that ran beside it, so that the shortest ones tell most.
	tookRise = 0.5
	// tookFade is what an engine that has loaded nothing since the version before
	// keeps of its estimate. One that stood back while loads took long tries
	// again some versions later.
	tookFade = 0.97
	// listLag is how much later than an engine's load ended the list of servers
	// tells of it, at most: engines write their entries about every second.
	listLag = 1500 * time.Millisecond
)

// LoadTime estimates how long a load of weights takes, in the place of one engine.
// Until it has loaded itself, it goes by how long the first of its peers took. Its
// zero value knows nothing. It is not safe for concurrent use.
type LoadTime struct {
	own   time.Duration // 0: none was measured
	peers time.Duration
	idle  bool // no load was measured since the last version
}

// Measured notes a load of the engine itself.
func (l *LoadTime) Measured(took time.Duration) {
	if l.own == 0 || took < l.own {
		l.own = took
	} else {
		l.own += time.Duration(tookRise * float64(took-l.own))
	}
	l.idle = false
}

// Peer notes that no peer was listed with a version before it had been named for
// that long, or that none is yet.
func (l *LoadTime) Peer(since time.Duration) {
	l.peers = max(0, since-listLag)
}

// Named notes that a version was named.
func (l *LoadTime) Named() {
	if l.idle {
		l.own = time.Duration(tookFade * float64(l.own))
	}
	l.idle = true
}

// Took returns the estimate.
func (l *LoadTime) Took() time.Duration {
	if l.own > 0 {
		return l.own
	}
	return max(tookFirst, l.peers)
}

// Cadence estimates how often versions of a model are named. Its zero value knows
// nothing. It is not safe for concurrent use.
type Cadence struct {
	last  time.Time
	every time.Duration
}

// Named notes that versions up to one some later than the last one were named.
func (c *Cadence) Named(now time.Time, versions uint64) {
	if !c.last.IsZero() && versions > 0 {
		gap := now.Sub(c.last) / time.Duration(versions)
		if c.every == 0 {
			c.every = gap
		}
		c.every = (c.every + gap) / 2
	}
	c.last = now
}

// Every returns the estimate; 0: not known, as for no cadence at all.
func (c *Cadence) Every() time.Duration {
	if c == nil {
		return 0
	}
	return c.every
}
