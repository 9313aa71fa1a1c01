package steps

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/decide/straggle"
	"dandelionsill.org/entry/fleet"
	"dandelionsill.org/kinds"
	"dandelionsill.org/wire/pb"
)

const (
	tickEvery = 25 * time.Millisecond
	idleEvery = time.Second // no step under way: only trainers may go silent
	// windowShare of a server's slots may wait in its agent's queue where
	// others fill the slots: the agent's fair queue gives each trainer its
	// share only while it has something waiting. So may they while much of
	// the step is queued: else each slot stands empty for a round trip after
	// each sample.
	windowShare  = 16
	deepStep     = 1.0 // queued samples for each running one
	coolFirst    = 100 * time.Millisecond
	coolRefused  = 50 * time.Millisecond
	coolMax      = 3 * time.Second
	coolDoubling = 5
)

// cooldown keeps new work off a server that just refused or failed. The fleet
// and the VM list learn of it later; without it every queued sample would try
// the dead server once.
type cooldown struct {
	until time.Time
	fails int
}

// chill keeps new runs off a server for a while. Steps.mu is held.
func (s *Steps) chill(name string, how fleet.Outcome, advice time.Duration) {
	now := time.Now()
	c := s.cool[name]
	if c == nil {
		c = &cooldown{}
		s.cool[name] = c
	}
	if c.until.After(now) {
		return
	}
	wait := max(coolRefused, min(advice, coolMax))
	if how == fleet.Failed {
		wait = min(coolFirst<<min(c.fails, coolDoubling), coolMax)
		c.fails++
	}
	c.until = now.Add(wait)
}

// warm forgets a server's failures. Steps.mu is held.
func (s *Steps) warm(name string) { delete(s.cool, name) }

// schedule fills free slots whenever something changed.
func (s *Steps) schedule() {
	tick := time.NewTimer(tickEvery)
	defer tick.Stop()
	for {
		changed := s.cfg.Fleet.Changed()
		if s.pass() {
			tick.Reset(tickEvery)
		} else {
			tick.Reset(idleEvery)
		}
		select {
		case <-s.ctx.Done():
			return
		case <-s.wake:
		case <-changed:
		case <-s.cfg.View.Changed():
		case <-tick.C:
		}
	}
}

// pass offers the free slots to the steps of this entry. It reports whether
// there are steps under way.
func (s *Steps) pass() (busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := s.cfg.Fleet.Snapshot()
	active := s.active()
	for _, st := range active {
		s.refresh(st)
		s.raiseFloor(st, 0)
		if st.plan.MeasurementDue(st.now()) {
			st.observe()
		}
	}
	if len(active) > 1 {
		for _, st := range active {
			s.next(st, snap, share(st, active))
		}
	}
	for _, st := range active {
		s.next(st, snap, 1)
	}
	return len(active) > 0
}

// observe tells the plan how far the step's streams have come. Steps.mu is held.
func (st *step) observe() {
	for id, r := range st.runs {
		if tokens, chunks, version, last := r.progress(); chunks > 0 {
			st.plan.Observe(id, tokens, chunks, version, last.Sub(st.began))
		}
	}
}

// refresh puts the trainer's terms of the manifest in force to a step that was
// posted under an older one.
func (s *Steps) refresh(st *step) {
	v := s.cfg.View.View()
	if v == nil || v.Manifest == nil {
		return
	}
	now, ok := v.Manifest.Trainers[st.trainer.Name]
	if !ok || now.Model != st.trainer.Model {
		return
	}
	st.trainer.Mixed, st.trainer.StalenessBound = now.Mixed, now.StalenessBound
	st.plan.UpdateSettings(now.Mixed, now.HedgePercent)
}

// active returns the steps that may get slots, in an order that rotates, and
// gives up those whose trainer is gone.
func (s *Steps) active() []*step {
	var out []*step
	for _, st := range s.steps {
		if st.waiters == 0 && time.Since(st.touched) > s.cfg.IdleTimeout {
			s.cfg.Logger.Warn("Gave a step up; its trainer is silent.",
				zap.String("trainer", st.key.Trainer), zap.Uint64("step", st.key.Step))
			s.stop(st, kinds.New(kinds.Cancelled, "the trainer was silent for %v", s.cfg.IdleTimeout))
			continue
		}
		if !st.holding && !st.plan.Done() {
			out = append(out, st)
		}
	}
	slices.SortFunc(out, func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.key.Trainer, b.key.Trainer), cmp.Compare(a.key.Step, b.key.Step))
	})
	if len(out) == 0 {
		return nil
	}
	s.rotate++
	turn := s.rotate % len(out)
	return append(out[turn:], out[:turn]...)
}

// share is a step's part of the slots that this entry uses.
func share(st *step, active []*step) float64 {
	sum := 0.0
	for _, o := range active {
		if o.trainer.Model == st.trainer.Model {
			sum += weight(o)
		}
	}
	return weight(st) / sum
}

func weight(st *step) float64 {
	if st.trainer.Weight > 0 {
		return st.trainer.Weight
	}
	return 1
}

// next lets one step's plan act on up to a share of each server's slots.
func (s *Steps) next(st *step, snap *fleet.Snapshot, part float64) {
	servers := s.servers(st, snap)
	if part < 1 {
		mine := map[string]int{}
		for _, r := range st.runs {
			mine[r.server.Name]++
		}
		for i := range servers {
			sv := &servers[i]
			if sv.Leaving {
				continue
			}
			own := int(part*float64(slots(snap.ByName[sv.Name].State))) - mine[sv.Name]
			sv.Free = max(0, min(sv.Free, own))
		}
	}
	if s.leaving {
		for i := range servers {
			servers[i].Free = 0
		}
	}
	s.act(st, st.plan.Next(st.now(), servers), snap)
}

// servers returns the engines that may get runs of the step.
func (s *Steps) servers(st *step, snap *fleet.Snapshot) []straggle.Server {
	now, usable := time.Now(), 0
	stats := st.plan.Stats()
	deep := float64(stats.Queued) > deepStep*float64(stats.Running)
	var leaving map[string]bool
	if v := s.cfg.View.View(); v != nil && v.Manifest != nil {
		leaving = v.Manifest.Leaving
	}
	var good, ejected []straggle.Server // good holds the leaving ones too, to be moved off
	for _, sv := range snap.By["model/"+st.trainer.Model] {
		state := sv.State
		if leaving[sv.Name] || state.GetLeaving() {
			good = append(good, straggle.Server{Name: sv.Name, Leaving: true})
			continue
		}
		if !sv.Ready() || state.GetVersion() == 0 || state.GetVersion() < st.floor {
			continue
		}
		if c := s.cool[sv.Name]; c != nil && c.until.After(now) {
			continue
		}
		out := s.view(sv, deep)
		if sv.Ejected {
			ejected = append(ejected, out)
			continue
		}
		good = append(good, out)
		usable++
	}
	if usable == 0 {
		good = append(good, ejected...)
	}
	return good
}

// view corrects a server's report, which lags, by what this entry has sent
// and seen end since. deep: much of the step is queued.
func (s *Steps) view(sv *fleet.Server, deep bool) straggle.Server {
	state := sv.State
	mine := s.cfg.Fleet.InFlightNow(sv.Name)
	others := max(0, int(state.GetRunning()+state.GetQueued())-sv.InFlight)
	free := slots(state) - others - mine
	full := free <= 0
	if full && (others > 0 || deep) && s.waiting[sv.Name] < 1+slots(state)/windowShare {
		free = 1
	}
	return straggle.Server{
		Name:       sv.Name,
		Free:       free,
		SlotsFull:  full,
		Running:    min(others+mine, slots(state)),
		StreamRate: state.GetStreamTokensPerS(),
		Version:    state.GetVersion(),
		Swapping:   state.GetSwapping(),
	}
}

func slots(state *pb.AgentState) int { return max(1, int(state.GetSlots())) }
