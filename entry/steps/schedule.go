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
	tickInterval     = 25 * time.Millisecond
	idleTickInterval = time.Second // without active steps, only idle trainers have to be detected
	// slotsPerQueuedRun bounds the runs that may wait in an agent's queue: one, and one
	// more for each so many slots of the server. Runs may wait there if others fill the
	// slots, because the agent's fair queue gives a trainer its share only while the
	// trainer has something queued. They may also wait while much of the step is
	// queued; otherwise each slot would stay empty for a round trip after each sample.
	slotsPerQueuedRun    = 16
	deepQueueRatio       = 1.0 // queued samples per running one above which much of a step counts as queued
	minFailureCooldown   = 100 * time.Millisecond
	refusalCooldown      = 50 * time.Millisecond
	maxCooldown          = 3 * time.Second
	maxCooldownDoublings = 5
)

// cooldown keeps new work off a server that has just refused or failed. The fleet's reports
// and the VM list show the failure only later; without a cooldown every queued sample would
// try the failed server once.
type cooldown struct {
	until    time.Time
	failures int
}

// startCooldown keeps new runs off a server for a while, unless a cooldown is running. A
// failure doubles the time of the failure before; after a refusal it is retryAfter,
// within limits. Steps.mu is held.
func (s *Steps) startCooldown(name string, outcome fleet.Outcome, retryAfter time.Duration) {
	now := time.Now()
	c := s.cooldowns[name]
	if c == nil {
		c = &cooldown{}
		s.cooldowns[name] = c
	}
	if c.until.After(now) {
		return
	}
	wait := max(refusalCooldown, min(retryAfter, maxCooldown))
	if outcome == fleet.Failed {
		wait = min(minFailureCooldown<<min(c.failures, maxCooldownDoublings), maxCooldown)
		c.failures++
	}
	c.until = now.Add(wait)
}

// clearCooldown resets a server's failures. Steps.mu is held.
func (s *Steps) clearCooldown(name string) { delete(s.cooldowns, name) }

// schedule assigns samples to free slots whenever something has changed.
func (s *Steps) schedule() {
	tick := time.NewTimer(tickInterval)
	defer tick.Stop()
	for {
		changed := s.cfg.Fleet.Changed()
		if s.schedulePass() {
			tick.Reset(tickInterval)
		} else {
			tick.Reset(idleTickInterval)
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

// schedulePass offers the free slots to the steps of this entry. It reports whether
// there are active steps.
func (s *Steps) schedulePass() (busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := s.cfg.Fleet.Snapshot()
	active := s.activeSteps()
	for _, st := range active {
		s.refreshSettings(st)
		s.raiseFloor(st, 0)
		if st.plan.MeasurementDue(st.elapsed()) {
			st.reportProgress()
		}
	}
	if len(active) > 1 {
		for _, st := range active {
			s.scheduleStep(st, snap, slotShare(st, active))
		}
	}
	for _, st := range active {
		s.scheduleStep(st, snap, 1)
	}
	return len(active) > 0
}

// reportProgress reports the progress of the step's streams to its plan. Steps.mu is
// held.
func (st *step) reportProgress() {
	for id, r := range st.runs {
		if tokens, chunks, version, last := r.progress(); chunks > 0 {
			st.plan.Observe(id, tokens, chunks, version, last.Sub(st.startedAt))
		}
	}
}

// refreshSettings applies the trainer's settings of the current manifest to a step that
// was posted under an older one.
func (s *Steps) refreshSettings(st *step) {
	v := s.cfg.View.View()
	if v == nil || v.Manifest == nil {
		return
	}
	current, ok := v.Manifest.Trainers[st.trainer.Name]
	if !ok || current.Model != st.trainer.Model {
		return
	}
	st.trainer.AllowMixed, st.trainer.StalenessBound = current.AllowMixed, current.StalenessBound
	st.plan.UpdateSettings(current.AllowMixed, current.HedgePercent)
}

// activeSteps returns the steps that may get slots, in rotating order, and abandons
// those whose trainer no longer polls.
func (s *Steps) activeSteps() []*step {
	var out []*step
	for _, st := range s.steps {
		if st.waitingPulls == 0 && time.Since(st.lastRequestAt) > s.cfg.IdleTimeout {
			s.cfg.Logger.Warn("Abandoned a step because its trainer stopped polling.",
				zap.String("trainer", st.key.Trainer), zap.Uint64("step", st.key.Step))
			s.stop(st, kinds.New(kinds.Cancelled, "the trainer was silent for %v", s.cfg.IdleTimeout))
			continue
		}
		if !st.collecting && !st.plan.Done() {
			out = append(out, st)
		}
	}
	slices.SortFunc(out, func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.key.Trainer, b.key.Trainer), cmp.Compare(a.key.Step, b.key.Step))
	})
	if len(out) == 0 {
		return nil
	}
	s.rotation++
	start := s.rotation % len(out)
	return append(out[start:], out[:start]...)
}

// slotShare returns a step's share of the slots that this entry uses for its model.
func slotShare(st *step, active []*step) float64 {
	sum := 0.0
	for _, other := range active {
		if other.trainer.Model == st.trainer.Model {
			sum += weight(other)
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

// scheduleStep lets the step's plan use up to a share of each server's slots.
func (s *Steps) scheduleStep(st *step, snap *fleet.Snapshot, share float64) {
	servers := s.eligibleServers(st, snap)
	if share < 1 {
		ownRuns := map[string]int{}
		for _, r := range st.runs {
			ownRuns[r.server.Name]++
		}
		for i := range servers {
			sv := &servers[i]
			if sv.Leaving {
				continue
			}
			remaining := int(share*float64(slots(snap.ByName[sv.Name].State))) - ownRuns[sv.Name]
			sv.Free = max(0, min(sv.Free, remaining))
		}
	}
	if s.redirecting {
		for i := range servers {
			servers[i].Free = 0
		}
	}
	s.execute(st, st.plan.Next(st.elapsed(), servers), snap)
}

// eligibleServers returns the engines that may get runs of the step.
func (s *Steps) eligibleServers(st *step, snap *fleet.Snapshot) []straggle.Server {
	now, usableCount := time.Now(), 0
	stats := st.plan.Stats()
	deepQueue := float64(stats.Queued) > deepQueueRatio*float64(stats.Running)
	var leaving map[string]bool
	if v := s.cfg.View.View(); v != nil && v.Manifest != nil {
		leaving = v.Manifest.Leaving
	}
	var eligible, ejected []straggle.Server // eligible includes leaving servers, to move their runs
	for _, sv := range snap.ByPool["model/"+st.trainer.Model] {
		state := sv.State
		if leaving[sv.Name] || state.GetLeaving() {
			eligible = append(eligible, straggle.Server{Name: sv.Name, Leaving: true})
			continue
		}
		if !sv.Ready() || state.GetVersion() == 0 || state.GetVersion() < st.floor {
			continue
		}
		if c := s.cooldowns[sv.Name]; c != nil && c.until.After(now) {
			continue
		}
		out := s.view(sv, deepQueue)
		if sv.Ejected {
			ejected = append(ejected, out)
			continue
		}
		eligible = append(eligible, out)
		usableCount++
	}
	if usableCount == 0 {
		eligible = append(eligible, ejected...)
	}
	return eligible
}

// view corrects a server's report, which lags, by the work that this entry has sent and
// seen end since. deepQueue: much of the step is queued.
func (s *Steps) view(sv *fleet.Server, deepQueue bool) straggle.Server {
	state := sv.State
	ownInFlight := s.cfg.Fleet.InFlightNow(sv.Name)
	others := max(0, int(state.GetRunning()+state.GetQueued())-sv.InFlightAtReport)
	free := slots(state) - others - ownInFlight
	full := free <= 0
	if full && (others > 0 || deepQueue) && s.unstartedRuns[sv.Name] < 1+slots(state)/slotsPerQueuedRun {
		free = 1
	}
	return straggle.Server{
		Name:       sv.Name,
		Free:       free,
		SlotsFull:  full,
		Running:    min(others+ownInFlight, slots(state)),
		StreamRate: state.GetStreamTokensPerS(),
		Version:    state.GetVersion(),
		Swapping:   state.GetSwapping(),
	}
}

func slots(state *pb.AgentState) int { return max(1, int(state.GetSlots())) }
