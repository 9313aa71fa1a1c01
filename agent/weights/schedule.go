package weights

import (
	"time"

	"dandelionsill.org/decide/waves"
	"dandelionsill.org/manifest"
)

// holdFactor: how many times the grace running unmixed streams may hold up a
// swap where idle time weighs more than staleness.
const holdFactor = 4

// Running is what a swap must mind of the streams at the engine.
type Running struct {
	Unmixed int // streams that may not span versions
	// Floor is the highest floor known of the model's trainers: below it
	// nothing may start for that trainer.
	Floor uint64
	// Applications: streams without a floor run here, or did a moment ago.
	Applications bool
}

// announcement is a version and when this agent learnt of it.
type announcement struct {
	version uint64
	at      time.Time
}

// unserved is what is remembered of versions not served yet. It outlives an
// engine start.
type unserved struct {
	newest announcement
	oldest announcement // the first version not served yet; version 0: none
	grid   waves.Schedule
	fetch  time.Duration // how long the last planned version takes to spread
}

// learn notes the newest version and what is served.
func (k *Keeper) learn(target uint64) {
	r := &k.state.unserved
	if target > r.newest.version {
		r.newest = announcement{target, k.cfg.Now()}
		grid := r.grid.Advance(r.newest.at, k.timing())
		if !grid.SameSlots(r.grid) {
			k.unschedule() // another server may have its slot now
		}
		r.grid = grid
	}
	switch serving := k.proof.Load().serving; {
	case r.newest.version <= serving:
		r.oldest = announcement{}
	case r.oldest.version <= serving:
		// The first version after the served one came at the newest's time at
		// the latest. Counted from the newest alone, a trainer that publishes
		// more often than the grace would never see a swap.
		r.oldest = r.newest
	}
}

func (k *Keeper) timing() waves.Timing {
	return waves.Timing{
		Fetch: k.state.unserved.fetch, Grace: k.swapGrace(), Hold: k.hold(),
		Slot: waves.SlotLength(k.cfg.Slot, k.state.swap),
	}
}

// due returns how long the swap to w must still wait; 0: it begins now.
func (k *Keeper) due(w *copyOf) time.Duration {
	serving := k.proof.Load().serving
	if serving == 0 || k.cfg.NoWaves {
		return 0
	}
	now := k.cfg.Now()
	running := k.streams.Running()
	below := serving < running.Floor
	switch {
	case below && w.info.Version < running.Floor:
		return k.cfg.ReadBack // it would not help; a newer version is on its way
	case below && !running.Applications:
		k.schedule(now)
		return 0
	}
	s := &k.state
	oldest := s.unserved.oldest.at
	held := !below && running.Unmixed > 0 && now.Before(oldest.Add(k.hold()))
	if !s.at.IsZero() && !now.Before(s.at) {
		if !held {
			return 0
		}
		s.at = time.Time{} // its slot passes by
	}
	ready := now
	if grace := oldest.Add(k.swapGrace()); held && grace.After(now) {
		ready = grace
	}
	if at := k.begin(w, ready); s.at.IsZero() || at.Before(s.at) {
		k.schedule(at)
	}
	if wait := s.at.Sub(now); wait > 0 || !held {
		return wait
	}
	return k.cfg.ReadBack
}

// willLoad tells whether a copy of an older version than the newest is loaded.
func (k *Keeper) willLoad(w *copyOf) bool {
	serving := k.proof.Load().serving
	return serving != 0 && serving < w.info.Version && w.info.Version >= k.streams.Running().Floor
}

// hold returns how long unmixed streams may hold up the swap.
func (k *Keeper) hold() time.Duration {
	hold := k.swapGrace()
	if m := k.manifest(); m != nil && m.Fleet.Weigh != manifest.WeighStaleness {
		hold *= holdFactor
	}
	return hold
}

// begin returns this server's first slot from ready on.
func (k *Keeper) begin(w *copyOf, ready time.Time) time.Time {
	plan, _ := k.copies.plan(w.info.Version)
	rates := waves.Rates{Bytes: w.info.Bytes, StoreBytesPerSecond: k.copies.rates.storePS(k.cfg.Model), LinkBytesPerSecond: linkPS}
	k.state.unserved.fetch = plan.FetchTime(rates)
	return plan.SwapStart(k.state.unserved.grid, ready, plan.Role(k.cfg.Server).Wave)
}

func (k *Keeper) schedule(at time.Time) {
	if !k.state.at.Equal(at) {
		k.state.at = at
		k.streams.SwapPending(at)
	}
}

func (k *Keeper) unschedule() {
	if !k.state.at.IsZero() {
		k.state.at = time.Time{}
		k.streams.SwapPending(time.Time{})
	}
}

func (k *Keeper) swapGrace() time.Duration {
	if m := k.manifest(); m != nil {
		return m.Models[k.cfg.Model].SwapGrace
	}
	return 0
}
