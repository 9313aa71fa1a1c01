package straggle

import (
	"maps"
	"slices"
	"time"
)

const (
	loadBoundFactor      = 1.25 // load above this multiple of the mean makes samples of a group spill to other servers
	similarPriorityRatio = 0.8  // minimum share of the highest priority for a group with a warm prefix
	noAlternativeFactor  = 10   // multiplies the stall timeout if no other server can take the sample
)

// Next returns the actions to carry out now. The caller must not change
// servers during the call; the plan keeps no reference to it.
func (p *Plan) Next(now time.Duration, servers []Server) []Action {
	if now-p.lastNextAt > p.cfg.MinStallTimeout {
		// The caller was suspended and chunks may wait unread in its sockets, so
		// this pause must not count as a stall of the engines.
		p.resumedAt = now
	}
	p.lastNextAt = now
	p.requeueDelayed(now)
	var acts []Action
	if p.MeasurementDue(now) {
		p.measuredAt = now
		acts = p.checkRuns(now, servers)
	}
	pool := p.usableServers(now, servers)
	acts = append(acts, p.moveOffLeaving(now, servers, pool)...)
	acts = append(acts, p.startQueued(now, pool)...)
	return append(acts, p.speedUpTail(now, pool)...)
}

// MeasurementDue reports whether the next call of Next measures progress, so
// that Observe should be called first. The interval grows with the number of
// runs: a measurement visits each of them, and frequent measurements of many
// runs would take up the CPU of the step's owner.
func (p *Plan) MeasurementDue(now time.Duration) bool {
	return now-p.measuredAt >= max(measureInterval, time.Duration(len(p.runs))*measureIntervalPerRun)
}

// checkRuns measures the runs' progress and cancels those that were moved,
// have stalled or exceed the hedge budget.
func (p *Plan) checkRuns(now time.Duration, servers []Server) []Action {
	ids := slices.Sorted(maps.Keys(p.runs))
	p.measure(ids, servers)
	p.updateLiveTokens()
	byName := make(map[string]*Server, len(servers))
	for i := range servers {
		byName[servers[i].Name] = &servers[i]
	}
	acts := p.cancelMoved(ids, now)
	acts = append(acts, p.cancelStalled(ids, now, byName)...)
	return append(acts, p.cancelOverBudget(ids, now)...)
}

// cancelMoved cancels runs whose replacement on another server has started to
// generate tokens.
func (p *Plan) cancelMoved(ids []RunID, now time.Duration) []Action {
	var acts []Action
	for _, id := range ids {
		r := p.runs[id]
		if r == nil || !r.replacesParent || r.chunks == 0 {
			continue
		}
		r.replacesParent = false
		if old := p.runs[r.parent]; old != nil {
			acts = append(acts, p.abandon(old, now, "moved"))
		}
	}
	return acts
}

// abandon gives up a run and returns the action that cancels it. The sample
// continues in its other copy or is queued again.
func (p *Plan) abandon(r *run, now time.Duration, reason string) Action {
	a := Action{Kind: Cancel, Run: r.id, Sample: r.sample, Server: r.server, Reason: reason}
	p.Lost(r.id, r.tokens, 0, now)
	return a
}

// cancelStalled cancels streams that stopped sending chunks. A frozen engine
// keeps its connections open and its agent may still report it ready, so
// missing progress is the only sign of it, and the trainer loses every second
// until it is noticed.
func (p *Plan) cancelStalled(ids []RunID, now time.Duration, byName map[string]*Server) []Action {
	var acts []Action
	for _, id := range ids {
		r := p.runs[id]
		if r == nil {
			continue
		}
		s := byName[r.server]
		if s == nil {
			s = &Server{Name: r.server}
		}
		if now-max(r.lastChunkAt, p.resumedAt) <= p.runStallTimeout(r, s, byName) {
			continue
		}
		reason := ReasonNoProgress
		if p.isWaitingForSlot(r) {
			reason = "a slot is free elsewhere"
		} else if st := p.server(r.server); st.lastProgressAt <= r.lastChunkAt {
			st.exclude(now)
		}
		p.stats.Stalls++
		p.samples[r.sample].stalls++
		acts = append(acts, p.abandon(r, now, reason))
	}
	return acts
}

// isWaitingForSlot reports whether a run without chunks waits for a slot at a
// server whose other streams make progress. Counting that as a failure of the
// server would eject healthy servers whenever they are full.
func (p *Plan) isWaitingForSlot(r *run) bool {
	return r.chunks == 0 && p.server(r.server).lastProgressAt > r.startedAt
}

// runStallTimeout returns how long a run may go without a chunk.
func (p *Plan) runStallTimeout(r *run, s *Server, byName map[string]*Server) time.Duration {
	limit := p.serverStallTimeout(s)
	if r.chunks == 0 {
		limit = max(limit, p.cfg.FirstChunkTimeout)
		if p.isWaitingForSlot(r) {
			// Starting it elsewhere helps only if a slot is free there.
			limit = p.serverStallTimeout(s)
			if !hasFreeSlotElsewhere(byName, r.server) {
				limit *= noAlternativeFactor
			}
		}
	}
	if p.cfg.Baseline || !hasOtherServer(byName, r.server) {
		limit *= noAlternativeFactor
	}
	// Engines may be slower than anything measured so far. If the timeout did
	// not grow with each attempt, a sample could be cancelled for ever.
	return limit << min(p.samples[r.sample].stalls, maxStallDoublings)
}

// hasOtherServer reports whether a server other than except is listed. except
// itself may be missing: a server whose agent is unresponsive is no longer
// offered. If it were counted, its samples would wait ten times as long
// although one healthy server is left.
func hasOtherServer(byName map[string]*Server, except string) bool {
	if _, listed := byName[except]; listed {
		return len(byName) > 1
	}
	return len(byName) > 0
}

func hasFreeSlotElsewhere(byName map[string]*Server, except string) bool {
	for name, s := range byName {
		if name != except && s.Free > 0 && !s.SlotsFull && !s.Swapping {
			return true
		}
	}
	return false
}

// usableServers returns the servers that may get new samples: those that are
// neither excluded nor in a weight swap, or, if there are none, all that are
// not leaving.
func (p *Plan) usableServers(now time.Duration, servers []Server) []Server {
	pool := make([]Server, 0, len(servers))
	for _, s := range servers {
		st := p.server(s.Name)
		if s.Leaving || s.Swapping || st.excludedUntil > now {
			continue
		}
		if st.stalls > 0 {
			s.Free = min(s.Free, max(0, 1-st.ownRuns)) // a single run until it makes progress
		}
		pool = append(pool, s)
	}
	if len(pool) > 0 {
		return pool
	}
	for _, s := range servers {
		if !s.Leaving {
			pool = append(pool, s)
		}
	}
	return pool
}

// startQueued starts queued samples while slots are free.
func (p *Plan) startQueued(now time.Duration, pool []Server) []Action {
	var acts []Action
	for p.queue.Len() > 0 {
		g := p.queue[0]
		s := p.pickServer(g, pool)
		if s == nil {
			break
		}
		reason := "longest predicted first"
		if p.isSlow(s) && len(g.requeued) == 0 {
			g = p.shortestGroup()
			reason = "short sample for a slow server"
		} else if h := p.warmGroup(g, s); h != g {
			g = h
			reason = "warm prefix"
		}
		index := p.nextSample(g)
		p.updateQueue(g)
		p.server(s.Name).addWarmGroup(g.index)
		acts = append(acts, p.addRun(Start, index, s.Name, nil, now, reason))
		s.Free--
		s.Running++
	}
	return acts
}

// warmGroup returns a queued group with a priority close to that of g whose
// prefix s has computed recently, or g if there is none. With late binding
// there is usually a single free slot, so the choice is among groups and not
// among servers.
func (p *Plan) warmGroup(g *group, s *Server) *group {
	if p.cfg.Baseline || p.cfg.NoAffinity {
		return g
	}
	recent := p.server(s.Name).warmGroups
	for i := len(recent) - 1; i >= 0; i-- {
		if h := p.groups[recent[i]]; h.heapIndex >= 0 && h.priority >= similarPriorityRatio*g.priority {
			return h
		}
	}
	return g
}

// isSlow reports whether s is slow enough to get the shortest samples.
func (p *Plan) isSlow(s *Server) bool {
	speed := p.server(s.Name).speed
	return !p.cfg.Baseline && !p.cfg.NoLongestFirst && speed > 0 && speed < slowServerSpeed
}

// shortestGroup returns the queued group with the lowest priority, whose
// samples are predicted to be the shortest.
func (p *Plan) shortestGroup() *group {
	return slices.MinFunc(p.queue, func(a, b *group) int {
		switch {
		case a.priority < b.priority:
			return -1
		case a.priority > b.priority:
			return 1
		}
		return a.index - b.index
	})
}

// pickServer chooses the server for a sample of g. It returns nil if no slot
// is free.
func (p *Plan) pickServer(g *group, pool []Server) *Server {
	if len(pool) == 0 {
		return nil
	}
	if p.cfg.Baseline {
		p.roundRobin++
		return &pool[p.roundRobin%len(pool)]
	}
	if !p.cfg.PreferNew || sameVersion(pool) {
		bound := p.maxRunningPerServer(pool)
		if s := p.bestServer(g, pool, func(s *Server) bool { return !s.SlotsFull && s.Running < bound }); s != nil {
			return s
		}
	}
	if s := p.bestServer(g, pool, func(s *Server) bool { return !s.SlotsFull }); s != nil {
		return s
	}
	return p.bestServer(g, pool, func(*Server) bool { return true })
}

func sameVersion(pool []Server) bool {
	for i := range pool {
		if pool[i].Version != pool[0].Version {
			return false
		}
	}
	return true
}

// maxRunningPerServer returns the load bound, above which samples of a group
// spill to servers without its prefix.
func (p *Plan) maxRunningPerServer(pool []Server) int {
	total := 1
	for i := range pool {
		total += pool[i].Running
	}
	return int(loadBoundFactor*float64(total)/float64(len(pool))) + 1
}

// bestServer returns, among the wanted servers whose predicted rate is close
// to the highest, the first in the rendezvous order of the group's prompt. The
// samples of a group thus share a warm prefix as long as that costs no time.
func (p *Plan) bestServer(g *group, pool []Server, wanted func(*Server) bool) *Server {
	var bestRate float64
	var newest uint64
	eligible := func(s *Server) bool {
		return (s.Free > 0 || p.cfg.NoLateBinding) && wanted(s)
	}
	for i := range pool {
		if s := &pool[i]; eligible(s) {
			bestRate = max(bestRate, p.rate(s, s.Running+1))
			newest = max(newest, s.Version)
		}
	}
	outdated := func(s *Server) bool { return p.cfg.PreferNew && s.Version < newest }
	var bestServer *Server
	var rank uint64
	for i := range pool {
		s := &pool[i]
		if !eligible(s) || outdated(s) || p.rate(s, s.Running+1)*similarRateFactor < bestRate {
			continue
		}
		if p.cfg.NoAffinity {
			if bestServer == nil || s.Running < bestServer.Running {
				bestServer = s
			}
			continue
		}
		if r := rendezvousRank(g.Prefix, p.server(s.Name).hash); bestServer == nil || r > rank {
			bestServer, rank = s, r
		}
	}
	if bestServer == nil && newest > 0 && p.cfg.PreferNew {
		return p.fastestEligible(pool, eligible)
	}
	return bestServer
}

// fastestEligible returns the eligible server on which one more stream would
// run fastest. It is needed if no server with the newest weights is among the
// fast ones.
func (p *Plan) fastestEligible(pool []Server, eligible func(*Server) bool) *Server {
	var best *Server
	var bestRate float64
	for i := range pool {
		s := &pool[i]
		if !eligible(s) {
			continue
		}
		if rate := p.rate(s, s.Running+1); best == nil || rate > bestRate {
			best, bestRate = s, rate
		}
	}
	return best
}

// rendezvousRank mixes two hashes into a rank (the finalizer of splitmix64).
func rendezvousRank(prefix, server uint64) uint64 {
	x := prefix ^ (server * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
