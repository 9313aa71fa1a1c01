package straggle

import (
	"maps"
	"slices"
	"time"
)

const (
	loadBound      = 1.25 // a server may hold so much of the mean before its siblings spill
	equallyUrgent  = 0.8  // of the most urgent group's predicted length, for a group with a warm prefix
	lonelyPatience = 10   // times the limit, where there is nowhere else to go
)

// Next returns what is to be done now. servers may be reordered in place by
// nobody else meanwhile; the plan keeps no reference to it.
func (p *Plan) Next(now time.Duration, servers []Server) []Action {
	if now-p.called > p.cfg.MinStall {
		// The caller stood still (a paused process). Chunks wait unread in its
		// sockets: its silence must not be taken for the engines'.
		p.thawed = now
	}
	p.called = now
	p.wake(now)
	var acts []Action
	if p.Due(now) {
		p.ticked = now
		acts = p.tick(now, servers)
	}
	pool := p.usable(now, servers)
	acts = append(acts, p.evacuate(now, servers, pool)...)
	acts = append(acts, p.fill(now, pool)...)
	return append(acts, p.tail(now, pool)...)
}

// Due tells whether the next call of Next measures, so that Observe is of use
// before it. The interval grows with the runs: a measurement looks at each, and
// many of them at each tick would cost the owner of a step its processor.
func (p *Plan) Due(now time.Duration) bool {
	return now-p.ticked >= max(measureEvery, time.Duration(len(p.runs))*measurePerRun)
}

func (p *Plan) tick(now time.Duration, servers []Server) []Action {
	ids := slices.Sorted(maps.Keys(p.runs))
	p.measure(ids, servers)
	p.recount()
	byName := make(map[string]*Server, len(servers))
	for i := range servers {
		byName[servers[i].Name] = &servers[i]
	}
	acts := p.replaced(ids, now)
	acts = append(acts, p.stalled(ids, now, byName)...)
	return append(acts, p.overspent(ids, now)...)
}

// replaced ends the runs whose move has begun to make tokens elsewhere.
func (p *Plan) replaced(ids []RunID, now time.Duration) []Action {
	var acts []Action
	for _, id := range ids {
		r := p.runs[id]
		if r == nil || !r.moving || r.chunks == 0 {
			continue
		}
		r.moving = false
		if old := p.runs[r.parent]; old != nil {
			acts = append(acts, p.writeOff(old, now, "moved"))
		}
	}
	return acts
}

// writeOff gives a run up; its sample goes on in another copy or is queued.
func (p *Plan) writeOff(r *run, now time.Duration, why string) Action {
	a := Action{Kind: Cancel, Run: r.id, Sample: r.sample, Server: r.server, Why: why}
	p.Lost(r.id, r.tokens, 0, now)
	return a
}

// stalled gives up streams that went silent. An engine that froze keeps its
// connections open and its agent may report it ready: only the missing
// progress tells, and each silent second is one of the trainer's.
func (p *Plan) stalled(ids []RunID, now time.Duration, byName map[string]*Server) []Action {
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
		if now-max(r.last, p.thawed) <= p.patience(r, s, byName) {
			continue
		}
		why := NoProgress
		if p.waitsItsTurn(r) {
			why = "a slot is free elsewhere"
		} else if st := p.server(r.server); st.alive <= r.last {
			st.strike(now)
		}
		p.stats.Stalls++
		p.samples[r.sample].stalls++
		acts = append(acts, p.writeOff(r, now, why))
	}
	return acts
}

// waitsItsTurn tells whether a silent run waits for a slot at a server that
// goes on with others. To call that a failure of the server would have healthy
// ones ejected whenever they are full.
func (p *Plan) waitsItsTurn(r *run) bool {
	return r.chunks == 0 && p.server(r.server).alive > r.began
}

// patience is how long a run may be silent.
func (p *Plan) patience(r *run, s *Server, byName map[string]*Server) time.Duration {
	limit := p.stallLimit(s)
	if r.chunks == 0 {
		limit = max(limit, p.cfg.FirstChunk)
		if p.waitsItsTurn(r) {
			// It is worth a new place only where a slot is free.
			limit = p.stallLimit(s)
			if !freeElsewhere(byName, r.server) {
				limit *= lonelyPatience
			}
		}
	}
	if p.cfg.Baseline || !others(byName, r.server) {
		limit *= lonelyPatience
	}
	// Engines may be slower than all that was seen of them. Without a patience
	// that grows with each try a sample would be given up for ever.
	return limit << min(p.samples[r.sample].stalls, maxStallDoublings)
}

// others tells whether there is any server but one. That one may have left the
// list already: a silent agent is no longer offered, and were it counted, its
// samples would wait ten times as long beside the one server that is well.
func others(byName map[string]*Server, but string) bool {
	if _, listed := byName[but]; listed {
		return len(byName) > 1
	}
	return len(byName) > 0
}

func freeElsewhere(byName map[string]*Server, but string) bool {
	for name, s := range byName {
		if name != but && s.Free > 0 && !s.Waits && !s.Swapping {
			return true
		}
	}
	return false
}

// usable returns the servers that may get work: not the suspect ones, nor
// those in a weight swap, unless there are no others.
func (p *Plan) usable(now time.Duration, servers []Server) []Server {
	pool := make([]Server, 0, len(servers))
	for _, s := range servers {
		st := p.server(s.Name)
		if s.Leaving || s.Swapping || st.suspects > now {
			continue
		}
		if st.strikes > 0 {
			s.Free = min(s.Free, max(0, 1-st.mine)) // one probe
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

// fill starts queued samples while there are slots.
func (p *Plan) fill(now time.Duration, pool []Server) []Action {
	var acts []Action
	for p.order.Len() > 0 {
		g := p.order[0]
		s := p.pick(g, pool)
		if s == nil {
			break
		}
		why := "longest predicted first"
		if p.slow(s) && len(g.again) == 0 {
			g = p.shortest()
			why = "short sample for a slow server"
		} else if h := p.warm(g, s); h != g {
			g = h
			why = "warm prefix"
		}
		index := p.pop(g)
		p.rekey(g)
		p.server(s.Name).computed(g.index)
		acts = append(acts, p.begin(Start, index, s.Name, nil, now, why))
		s.Free--
		s.Running++
	}
	return acts
}

// warm returns a group that is about as urgent as g and whose prefix s computed
// lately; g where there is none. Late binding fills the one slot that is free,
// so that the choice is among groups and not among servers.
func (p *Plan) warm(g *group, s *Server) *group {
	if p.cfg.Baseline || p.cfg.NoAffinity {
		return g
	}
	recent := p.server(s.Name).recent
	for i := len(recent) - 1; i >= 0; i-- {
		if h := p.groups[recent[i]]; h.pos >= 0 && h.key >= equallyUrgent*g.key {
			return h
		}
	}
	return g
}

func (p *Plan) slow(s *Server) bool {
	speed := p.server(s.Name).speed
	return !p.cfg.Baseline && !p.cfg.NoLongestFirst && speed > 0 && speed < slowServer
}

// shortest returns the queued group that is predicted to be shortest.
func (p *Plan) shortest() *group {
	return slices.MinFunc(p.order, func(a, b *group) int {
		switch {
		case a.key < b.key:
			return -1
		case a.key > b.key:
			return 1
		}
		return a.index - b.index
	})
}

// pick chooses the server for a sample of the group; nil: no slot.
func (p *Plan) pick(g *group, pool []Server) *Server {
	if len(pool) == 0 {
		return nil
	}
	if p.cfg.Baseline {
		p.robin++
		return &pool[p.robin%len(pool)]
	}
	if !p.cfg.PreferNew || sameVersion(pool) {
		bound := p.bound(pool)
		if s := p.best(g, pool, func(s *Server) bool { return !s.Waits && s.Running < bound }); s != nil {
			return s
		}
	}
	if s := p.best(g, pool, func(s *Server) bool { return !s.Waits }); s != nil {
		return s
	}
	return p.best(g, pool, func(*Server) bool { return true })
}

func sameVersion(pool []Server) bool {
	for i := range pool {
		if pool[i].Version != pool[0].Version {
			return false
		}
	}
	return true
}

func (p *Plan) bound(pool []Server) int {
	total := 1
	for i := range pool {
		total += pool[i].Running
	}
	return int(loadBound*float64(total)/float64(len(pool))) + 1
}

// best returns, among the servers that are wanted and whose predicted finish is
// about the earliest, the first in the prompt's rendezvous order: siblings
// meet on one warm prefix as long as it costs them no time.
func (p *Plan) best(g *group, pool []Server, wanted func(*Server) bool) *Server {
	var top float64
	var newest uint64
	open := func(s *Server) bool {
		return (s.Free > 0 || p.cfg.NoLateBinding) && wanted(s)
	}
	for i := range pool {
		if s := &pool[i]; open(s) {
			top = max(top, p.rate(s, s.Running+1))
			newest = max(newest, s.Version)
		}
	}
	old := func(s *Server) bool { return p.cfg.PreferNew && s.Version < newest }
	var best *Server
	var rank uint64
	for i := range pool {
		s := &pool[i]
		if !open(s) || old(s) || p.rate(s, s.Running+1)*equalFinish < top {
			continue
		}
		if p.cfg.NoAffinity {
			if best == nil || s.Running < best.Running {
				best = s
			}
			continue
		}
		if r := rendezvous(g.Prefix, p.server(s.Name).hash); best == nil || r > rank {
			best, rank = s, r
		}
	}
	if best == nil && newest > 0 && p.cfg.PreferNew {
		return p.anyOpen(pool, open)
	}
	return best
}

// anyOpen returns the open server that one more stream would run fastest on:
// the newest weights are at none of the fast ones.
func (p *Plan) anyOpen(pool []Server, open func(*Server) bool) *Server {
	var best *Server
	var top float64
	for i := range pool {
		s := &pool[i]
		if !open(s) {
			continue
		}
		if rate := p.rate(s, s.Running+1); best == nil || rate > top {
			best, top = s, rate
		}
	}
	return best
}

// rendezvous mixes two hashes to a rank (the finalizer of splitmix64).
func rendezvous(prefix, server uint64) uint64 {
	x := prefix ^ (server * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
