// Package fresh decides whether weights are fresh enough for a trainer: at the
// start of a stream, for every chunk, and when a weight swap is near.
//
// A floor is the oldest version that a trainer still takes: its newest minus
// its bound. Floors only rise, so no clock is needed. The rule binds tokens
// when they are made: a mixed sample may keep older tokens that were fresh
// then, but no further token may come from below the floor.
package fresh

import "time"

// Floor returns the oldest version allowed when the trainer's newest is newest
// and it takes samples up to bound versions behind.
func Floor(newest, bound uint64) uint64 {
	if newest <= bound {
		return 0
	}
	return newest - bound
}

// Floors remembers the highest floor learnt for each trainer. The zero value
// is ready. It is not safe for concurrent use.
type Floors struct{ byTrainer map[string]uint64 }

// Raise takes a floor heard for a trainer and returns the floor in force and
// whether it rose.
func (f *Floors) Raise(trainer string, floor uint64) (uint64, bool) {
	current := f.byTrainer[trainer]
	if floor <= current {
		return current, false
	}
	if f.byTrainer == nil {
		f.byTrainer = make(map[string]uint64)
	}
	f.byTrainer[trainer] = floor
	return floor, true
}

// Get returns the floor in force for a trainer.
func (f *Floors) Get(trainer string) uint64 { return f.byTrainer[trainer] }

// Highest returns the highest floor in force for any trainer.
func (f *Floors) Highest() uint64 {
	highest := uint64(0)
	for _, floor := range f.byTrainer {
		highest = max(highest, floor)
	}
	return highest
}

// MayStart tells whether a stream may start on a verified version. Version 0
// means none and is never fresh.
func MayStart(version, floor uint64) bool { return version != 0 && version >= floor }

// Verdict is what to do with a running stream.
type Verdict uint8

const (
	// Continue: pass the chunk on.
	Continue Verdict = iota
	// Cancel: stop the stream at the engine and discard the sample.
	Cancel
	// Resume: drop the chunk, stop the stream at the engine and go on behind
	// the tokens made so far once the engine serves fresh weights.
	Resume
)

func (v Verdict) String() string {
	return [...]string{"go on", "cancel", "resume on new weights"}[v]
}

// CheckChunk judges a chunk of version chunk in a stream whose newest token so far
// has version last (0: none yet).
//
//	chunk < floor, mixed      Resume
//	chunk < floor, not mixed  Cancel
//	another version, mixed    GoOn
//	another, not mixed        Cancel
//	else                      GoOn
func CheckChunk(chunk, last, floor uint64, mixed bool) Verdict {
	if chunk < floor {
		return verdictBelowFloor(mixed)
	}
	if last != 0 && chunk != last && !mixed {
		return Cancel
	}
	return Continue
}

// CheckRaisedFloor judges a running stream when its floor rises. engine is the version
// that the engine now makes tokens with, last the version of the newest token.
func CheckRaisedFloor(engine, last, floor uint64, mixed bool) Verdict {
	if !mixed && last != 0 && last < floor {
		return Cancel
	}
	if engine < floor {
		return verdictBelowFloor(mixed)
	}
	return Continue
}

func verdictBelowFloor(mixed bool) Verdict {
	if mixed {
		return Resume
	}
	return Cancel
}

// MayResume tells whether a sample whose newest proved token has version last
// may go on on an engine that serves version.
func MayResume(version, last, floor uint64, mixed bool) bool {
	if !MayStart(version, floor) || version < last {
		return false
	}
	return mixed || last == 0 || last == version
}

// PendingSwap describes a weight swap that is about to happen.
type PendingSwap struct {
	TimeToSwap time.Duration // until the swap
	PreferNew  bool          // operators weigh staleness more than idle time
}

// MayStartBeforeSwap tells whether a stream may start with a swap pending. need is
// the predicted time to its end, 0 where unknown. A mixed stream goes through
// the swap and always starts. One that must not be mixed would be thrown away
// at the swap, so where idle time weighs more it starts only if it should end
// in time; where staleness weighs more it waits for the new weights.
func MayStartBeforeSwap(p PendingSwap, mixed bool, remaining time.Duration) bool {
	if mixed {
		return true
	}
	return !p.PreferNew && remaining > 0 && remaining <= p.TimeToSwap
}
