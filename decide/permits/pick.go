package permits

import (
	"math"
	"slices"
	"time"

	"dandelionsill.org/decide/evidence"
)

const (
	// farReserve is the part of the places, one out of so many, that an ask of another region leaves
	// free. A region whose last places others took would send its own requests the way back.
	farReserve = 8
	// slowFactor is the pace, relative to the fastest server, above which a server is
	// slow. Below it the difference is that of a busy server.
	slowFactor = 1.5
	// spareFactor is how many times a request has to fit into the time left before it
	// is sent to a slow server to leave the fast ones to others.
	spareFactor = 2
)

// use says which places an ask accepts.
type use int

const (
	// inTime excludes slow places at which the answer would be late.
	inTime use = iota
	// anyUse excludes those at which it would be of no use.
	anyUse
)

// capacity is what the servers can do, as of the last call.
type capacity struct {
	places   int
	free     int
	rate     float64 // typical seconds of work per second
	bestPace float64
	// slow is the pace above which a server is slow.
	slow                float64
	fastPlaces, fastUse int
	ejectedOnly         bool // every server is ejected
}

// refresh moves the broker to the time and reads the evidence on all servers.
func (b *Broker) refresh(now time.Time) {
	b.now = now
	c := capacity{bestPace: math.Inf(1), ejectedOnly: true}
	for i := range b.servers {
		s := &b.servers[i]
		s.standing = b.standing(s, "")
		s.helpsOut = s.standing.LastResort > 0 && b.isShort()
		if s.helpsOut {
			s.standing.Ejected, s.standing.Limit = false, s.standing.LastResort
		}
		if !s.Leaving && s.standing.Limit > 0 && !s.standing.Ejected {
			c.ejectedOnly = false
		}
	}
	for i := range b.servers {
		if s := &b.servers[i]; c.counts(s) {
			c.bestPace = min(c.bestPace, s.standing.Pace)
		}
	}
	if math.IsInf(c.bestPace, 1) {
		c.bestPace = 1
	}
	c.slow = c.bestPace * slowFactor
	for i := range b.servers {
		if s := &b.servers[i]; c.counts(s) {
			c.add(s)
		}
	}
	b.capacity = c
}

// standing returns the evidence on a server with a pace that can be computed with.
func (b *Broker) standing(s *server, gateway string) evidence.Standing {
	st := b.evidence.Standing(b.now, s.ID, gateway)
	if !(st.Pace > 0) || math.IsInf(st.Pace, 1) {
		st.Pace = 1
	}
	return st
}

// counts reports whether the server's places count.
func (c *capacity) counts(s *server) bool {
	return !s.Leaving && s.standing.Limit > 0 && (!s.standing.Ejected || c.ejectedOnly)
}

// add adds a server's places.
func (c *capacity) add(s *server) {
	limit := s.standing.Limit
	c.places += limit
	c.free += max(0, limit-s.busy())
	c.rate += float64(limit) / s.standing.Pace
	if s.standing.Pace <= c.slow {
		c.fastPlaces += limit
		c.fastUse += min(s.busy(), limit)
	}
}

// take counts a free place of the server as used.
func (c *capacity) take(s *server) {
	c.free--
	if s.standing.Pace <= c.slow {
		c.fastUse++
	}
}

// pick returns the index of the server whose free place the ask gets, and why; -1 if
// there is none that it can use.
func (b *Broker) pick(w *waiter, u use) (int, string) {
	if b.capacity.free <= 0 && !w.Regions.IsRestricted() {
		return -1, ""
	}
	best, bestAvoided := -1, -1
	score, scoreAvoided := math.Inf(1), math.Inf(1)
	for i := range b.servers {
		st, ok := b.usable(w, i, u)
		if !ok {
			continue
		}
		x := b.score(w, &b.servers[i], st)
		avoided := slices.Contains(w.Avoid, b.servers[i].ID)
		switch {
		case !avoided && x < score:
			best, score = i, x
		case avoided && x < scoreAvoided:
			bestAvoided, scoreAvoided = i, x
		}
	}
	switch {
	case best >= 0 && score < 0:
		return best, "a slow server, since the request has time"
	case best >= 0:
		return best, "least expected time"
	case bestAvoided >= 0 && !w.NoWait:
		return bestAvoided, "no other server has a free place"
	}
	return -1, ""
}

// usable reports whether server i has a free place for the ask.
func (b *Broker) usable(w *waiter, i int, u use) (evidence.Standing, bool) {
	s := &b.servers[i]
	if !b.takes(w, s) || s.busy() >= s.standing.Limit || b.isReserved(w) || !b.grants.allow(b.now, s) {
		return evidence.Standing{}, false
	}
	if s.helpsOut {
		return s.standing, w.Repeatable && !w.NoWait && b.isFastEnough(w, s.standing.Pace, u)
	}
	st := b.standing(s, w.ID.Gateway)
	if s.busy() >= st.Limit || st.Ejected && b.hasOther(w) {
		return st, false
	}
	return st, b.isFastEnough(w, st.Pace, u)
}

// hasOther reports whether a server takes the request that is not ejected for its gateway.
func (b *Broker) hasOther(w *waiter) bool {
	for i := range b.servers {
		s := &b.servers[i]
		if !b.capacity.counts(s) || !w.Regions.Allows(s.Region) {
			continue
		}
		if st := b.standing(s, w.ID.Gateway); !s.helpsOut && st.Limit > 0 && !st.Ejected {
			return true
		}
	}
	return false
}

// isFastEnough reports whether the ask accepts a server of this pace. A server that is
// not slow is always accepted: if all have become slow, nothing better will come.
func (b *Broker) isFastEnough(w *waiter, pace float64, u use) bool {
	if pace <= b.capacity.slow {
		return true
	}
	if u == anyUse || b.missesObjective(w) {
		return !b.now.Add(scale(w.typical, pace)).After(w.deadline)
	}
	if w.Internal && b.hasTimeToSpare(w, pace) {
		return true
	}
	return !b.now.Add(scale(b.timeAt(w, pace), estimateMargin)).After(w.objective)
}

// score rates a server for the ask; the lowest wins. It is the expected time of the
// answer, in typical times: a full server takes twice as long as an idle one. While the
// fast servers are contended, a slow one that leaves the request time to spare goes
// first.
func (b *Broker) score(w *waiter, s *server, st evidence.Standing) float64 {
	load := float64(s.busy()+1) / float64(st.Limit)
	load += b.distanceCost(w, s)
	if !b.connections.has(b.now, w.ID.Gateway, s.ID) {
		load += connectCost
	}
	took := st.Pace * (1 + load)
	if st.Pace > b.capacity.slow && b.isContended() && b.hasTimeToSpare(w, st.Pace) {
		return -1 / took
	}
	return took
}

// isContended reports whether asks wait or more than half of the fast places are in use.
func (b *Broker) isContended() bool {
	return len(b.waiters) > 0 || 2*b.capacity.fastUse > b.capacity.fastPlaces
}

// hasTimeToSpare reports whether the request's objective is long for a server of this pace. While
// callers are refused for lack of places, an internal request has until its deadline: nobody
// waits for it but a step, which takes several times as long.
func (b *Broker) hasTimeToSpare(w *waiter, pace float64) bool {
	until := w.objective
	if w.Internal && b.isShort() {
		until = w.deadline
	}
	return w.typical > 0 && !b.now.Add(spareFactor*b.timeAt(w, pace)).After(until)
}

// usefulShare returns which share of the servers' work is done by those that will still
// be of use to the ask after a wait.
func (b *Broker) usefulShare(w *waiter) float64 {
	until := w.objective
	if b.missesObjective(w) {
		until = w.deadline
	}
	var useful float64
	for i := range b.servers {
		s := &b.servers[i]
		if !b.takes(w, s) {
			continue
		}
		pace := s.standing.Pace
		if pace <= b.capacity.slow || !b.now.Add(spareFactor*b.timeAt(w, pace)).After(until) {
			useful += float64(s.standing.Limit) / pace
		}
	}
	return useful / b.capacity.rate
}

// timeAt returns the expected time of the request at a server of this pace, as busy as
// the servers are; 0: unknown.
func (b *Broker) timeAt(w *waiter, pace float64) time.Duration {
	return scale(w.typical, pace*b.stats.stretch())
}
