package permits

import (
	"time"

	"dandelionsill.org/decide/topology"
)

// place returns where the ask's gateway is.
func (w *waiter) place() topology.Place { return topology.Place{Domain: w.Domain, Region: w.Region} }

// place returns where the server is.
func (s *server) place() topology.Place { return topology.Place{Domain: s.Domain, Region: s.Region} }

// distanceCost returns what the distance of the server costs the ask.
func (b *Broker) distanceCost(w *waiter, s *server) float64 {
	return w.place().Distance(s.place()).Cost(b.way(w, s), w.typical)
}

// way returns the round trip between the ask's gateway and the server; 0: one region.
func (b *Broker) way(w *waiter, s *server) time.Duration {
	if b.cfg.Way == nil || w.place().Distance(s.place()) != topology.OtherRegion {
		return 0
	}
	return max(b.cfg.Way(w.Region), b.cfg.Way(s.Region))
}

// wayShare returns which share of its time a permit's request will be on the way between regions.
// For that time the server has a place for another one.
func (b *Broker) wayShare(w *waiter, s *server) float64 {
	way := b.way(w, s)
	if way <= 0 || w.typical <= 0 {
		return 0
	}
	return way.Seconds() / (way + b.timeAt(w, s.standing.Pace)).Seconds()
}

// use adds n to the requests that have a permit like p.
func (s *server) use(p *permit, n int) {
	s.inUse += n
	s.onWay += float64(n) * p.way
	if s.inUse == 0 {
		s.onWay = 0 // without the errors of rounding
	}
}

// busy returns how many requests are expected to be at the server. No more count as on their way
// than may be at it, since all of them may arrive at once: what its queue has to take.
func (s *server) busy() int { return s.inUse - min(int(s.onWay), s.standing.Limit) }

// isReserved reports whether the free places are for the broker's own region. While internal calls
// wait, none is: they come after callers of all regions.
func (b *Broker) isReserved(w *waiter) bool {
	if !w.Spill || b.lanes[laneInternal].Waiting() > 0 {
		return false
	}
	return b.capacity.free <= (b.capacity.places+farReserve-1)/farReserve
}

// mayQueueSpill reports whether an ask of another region may wait: only internal calls hold the
// places, which callers of all regions precede. Internal ones of two regions share both queues.
func (b *Broker) mayQueueSpill() bool {
	return b.lanes[laneCallers].Waiting() == 0 && b.lanes[laneInternal].Waiting() > 0
}

// takes reports whether the server's places count for the ask. If all servers of the allowed
// regions are ejected, they do.
func (b *Broker) takes(w *waiter, s *server) bool {
	if !w.Regions.Allows(s.Region) {
		return false
	}
	return b.capacity.counts(s) || w.Regions.IsRestricted() && s.takesWork() && !b.hasTrusted(w)
}

// takesWork reports whether the server takes new work, ejected or not.
func (s *server) takesWork() bool { return !s.Leaving && s.standing.Limit > 0 }

// hasAllowed reports whether a server of the allowed regions takes work.
func (b *Broker) hasAllowed(w *waiter) bool {
	if !w.Regions.IsRestricted() {
		return true
	}
	for i := range b.servers {
		if s := &b.servers[i]; s.takesWork() && w.Regions.Allows(s.Region) {
			return true
		}
	}
	return false
}

// hasTrusted reports whether a server of the allowed regions takes work that is not ejected.
func (b *Broker) hasTrusted(w *waiter) bool {
	for i := range b.servers {
		if s := &b.servers[i]; s.takesWork() && !s.standing.Ejected && w.Regions.Allows(s.Region) {
			return true
		}
	}
	return false
}

// refuseExcluded refuses the queued asks that no server of their regions can serve any more.
func (b *Broker) refuseExcluded() []Decision {
	var out []Decision
	for _, w := range b.sortedWaiters(func(w *waiter) bool { return !b.hasAllowed(w) }) {
		b.drop(w)
		out = append(out, b.refuse(w, NoServer, b.now.Sub(w.arrived), "the last server of the allowed regions left"))
	}
	return out
}
