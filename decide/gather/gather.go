// Package gather decides how long a read that waits for results goes on waiting
// once there is one. It answers the load of synchronous training: a trainer asks
// for results again and again, pauses after each answer that came soon, and
// can't train before it has read the last group that it waits for. An answer
// with the first of several results makes it sit out its pause while the others
// are listed. The package has no clock and does no I/O.
package gather

import "time"

// pause is how long callers leave between the starts of two reads, by the users'
// protocol: about two reads a second. A read that took as long is followed by
// the next one at once, so that waiting until then delays no later read.
const pause = 500 * time.Millisecond

// dueMargin is kept for the way of an answer to its caller: some milliseconds of
// the network and differences between the clocks of two VMs.
const dueMargin = 80 * time.Millisecond

// Read is a waiting read for which there are results.
type Read struct {
	// Waited is how long it has waited.
	Waited time.Duration
	// Most is how long its caller lets it wait; 0: not at all.
	Most time.Duration
	// Enough: the caller has all that it waits for with these results.
	Enough bool
	// Due is how long from now results are due; 0 or less: they are late already,
	// or nobody said.
	Due time.Duration
}

// Hold returns how long the read waits for more results; 0: it is answered now.
// Results of a moment go together, and the one that completes what the trainer
// waits for finds a read waiting. On the calm day of a deployment with two
// trainers 7 of 18 steps were noticed 0.2 to 1.0 s late without it.
func Hold(r Read) time.Duration {
	if r.Enough {
		return 0
	}
	hold := min(pause, r.Most) - r.Waited
	if r.Due > 0 {
		hold = min(hold, r.Due-dueMargin)
	}
	return max(0, hold)
}
