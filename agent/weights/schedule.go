package weights

import (
	"time"

	"dandelionsill.org/decide/waves"
	"dandelionsill.org/manifest"
)

// holdFactor is how many times the grace period running unmixed streams may
// delay a swap if idle time weighs more than staleness.
const holdFactor = 4

// Running describes the streams at the engine, as far as a swap must take them
// into account.
type Running struct {
	Unmixed int // streams that may not span versions
	// Floor is the highest known floor of the model's trainers: no sample of
	// that trainer may start on a lower version.
	Floor uint64
	// Applications reports whether streams without a floor run here or did a
	// moment ago.
	Applications bool
}

// announcement is a version and when this agent first saw it.
type announcement struct {
	version uint64
	seenAt  time.Time
}

// pendingVersions records the versions that are not served yet. It is kept when
// the engine restarts.
type pendingVersions struct {
	newest    announcement
	oldest    announcement // the first version not served yet; version 0 means none
	schedule  waves.Schedule
	fetchTime time.Duration // how long the last planned version takes to spread to all engines
}

// recordTarget records the newest version and removes what is served already.
func (k *Keeper) recordTarget(target uint64) {
	r := &k.state.pending
	if target > r.newest.version {
		r.newest = announcement{target, k.cfg.Now()}
		schedule := r.schedule.Advance(r.newest.seenAt, k.timing())
		if !schedule.SameSlots(r.schedule) {
			k.unscheduleSwap() // another server may have this slot now
		}
		r.schedule = schedule
	}
	switch serving := k.verified.Load().serving; {
	case r.newest.version <= serving:
		r.oldest = announcement{}
	case r.oldest.version <= serving:
		// The first version after the served one arrived no later than the
		// newest. If the grace period were counted from the newest only, a
		// trainer that publishes more often than the grace period would never
		// see a swap.
		r.oldest = r.newest
	}
}

func (k *Keeper) timing() waves.Timing {
	return waves.Timing{
		Fetch: k.state.pending.fetchTime, Grace: k.swapGrace(), Hold: k.maxHold(),
		Slot: waves.SlotLength(k.cfg.SlotLength, k.state.swapTime),
	}
}

// swapDelay returns how long the swap to w must still wait; 0 means that it
// starts now.
func (k *Keeper) swapDelay(w *versionCopy) time.Duration {
	serving := k.verified.Load().serving
	if serving == 0 || k.cfg.NoWaves {
		return 0
	}
	now := k.cfg.Now()
	running := k.streams.Running()
	belowFloor := serving < running.Floor
	switch {
	case belowFloor && w.info.Version < running.Floor:
		return k.cfg.ReadBackInterval // does not reach the floor; a newer version will arrive
	case belowFloor && !running.Applications:
		k.scheduleSwap(now)
		return 0
	}
	s := &k.state
	oldest := s.pending.oldest.seenAt
	held := !belowFloor && running.Unmixed > 0 && now.Before(oldest.Add(k.maxHold()))
	if !s.swapAt.IsZero() && !now.Before(s.swapAt) {
		if !held {
			return 0
		}
		s.swapAt = time.Time{} // held up, so this slot is skipped
	}
	earliest := now
	if graceEnd := oldest.Add(k.swapGrace()); held && graceEnd.After(now) {
		earliest = graceEnd
	}
	if at := k.swapStart(w, earliest); s.swapAt.IsZero() || at.Before(s.swapAt) {
		k.scheduleSwap(at)
	}
	if wait := s.swapAt.Sub(now); wait > 0 || !held {
		return wait
	}
	return k.cfg.ReadBackInterval
}

// shouldLoadOlder reports whether a copy of an older version than the newest is
// worth loading: it is newer than the served one and not below the floor.
func (k *Keeper) shouldLoadOlder(w *versionCopy) bool {
	serving := k.verified.Load().serving
	return serving != 0 && serving < w.info.Version && w.info.Version >= k.streams.Running().Floor
}

// maxHold returns how long unmixed streams may delay the swap.
func (k *Keeper) maxHold() time.Duration {
	hold := k.swapGrace()
	if m := k.manifest(); m != nil && m.Fleet.Weigh != manifest.WeighStaleness {
		hold *= holdFactor
	}
	return hold
}

// swapStart returns the start of this server's first slot at or after earliest.
func (k *Keeper) swapStart(w *versionCopy, earliest time.Time) time.Time {
	plan, _ := k.copies.plan(w.info.Version)
	rates := waves.Rates{Bytes: w.info.Bytes, StoreBytesPerSecond: k.copies.rates.modelBytesPerSecond(k.cfg.Model), LinkBytesPerSecond: linkBytesPerSecond}
	k.state.pending.fetchTime = plan.FetchTime(rates)
	return plan.SwapStart(k.state.pending.schedule, earliest, plan.Role(k.cfg.Server).Wave)
}

func (k *Keeper) scheduleSwap(at time.Time) {
	if !k.state.swapAt.Equal(at) {
		k.state.swapAt = at
		k.streams.SetPendingSwap(at)
	}
}

func (k *Keeper) unscheduleSwap() {
	if !k.state.swapAt.IsZero() {
		k.state.swapAt = time.Time{}
		k.streams.SetPendingSwap(time.Time{})
	}
}

func (k *Keeper) swapGrace() time.Duration {
	if m := k.manifest(); m != nil {
		return m.Models[k.cfg.Model].SwapGrace
	}
	return 0
}
