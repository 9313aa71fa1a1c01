// Package gather decides how long a read that waits for results continues to wait once
// there is one. It is designed for synchronous training: a trainer reads results
// repeatedly and cannot train before it has read the last group that it waits for.
// After each answer the trainer processes what it has and reads again, no sooner than a
// pause after it started its last read. If an answer contains only the first of several
// results, the trainer is still in that pause when the last ones are listed. The same
// happens if a read started just before they are listed. The package has no clock and
// does no I/O.
package gather

import "time"

const (
	// maxReadHold limits how long available results are held back, to two of a
	// trainer's pauses between reads. A caller that would wait for minutes then gets
	// the results available.
	maxReadHold = time.Second
	// timelyGrace is how long after their due time results may be read and still count
	// as timely: 0.7 s in the users' protocol, less the time to deliver an answer.
	timelyGrace = 600 * time.Millisecond
	// textReadTime is reserved for reading the results' texts from the processes that
	// have them. This takes some 30 ms, and several times as long while the log is
	// busy.
	textReadTime = 200 * time.Millisecond
)

// readPause is the minimum time between the starts of two of a trainer's reads.
const readPause = 500 * time.Millisecond

// Read is a waiting read.
type Read struct {
	// Empty reports whether there is no result for it yet.
	Empty bool
	// Waited is how long it has waited.
	Waited time.Duration
	// MaxWait is how long its caller lets it wait; 0 means not at all.
	MaxWait time.Duration
	// Enough reports whether the caller has all results that it waits for with the ones
	// available.
	Enough bool
	// Due is the time until results are due. It is negative if they are overdue and 0
	// if no due time is known.
	Due time.Duration
	// Expected is the estimated time until the caller has all results that it waits
	// for. It is 0 or negative if not known.
	Expected time.Duration
}

// Hold returns how long the read continues to wait; 0 means that it is answered now. It
// waits for as long as its caller permits, up to one second. The longer reads last, the
// fewer of them are recent when the last result is listed, and a read that is older
// than its caller's pause causes no delay. If it is known when the last result is
// expected, the preceding read is answered earlier, so that the last read is at an age
// that tolerates an error in either direction.
func Hold(r Read) time.Duration {
	if r.Enough && !r.Empty {
		return 0
	}
	maxHold := min(maxReadHold, r.MaxWait)
	hold := max(0, maxHold-r.Waited)
	if r.Empty {
		hold = max(0, r.MaxWait-r.Waited)
		if r.Enough {
			return hold
		}
	} else if timely := r.Due + timelyGrace; r.Due != 0 && timely > 0 {
		hold = max(0, min(hold, timely-textReadTime))
	}
	return aligned(r, hold, maxHold)
}

// aligned shortens a hold so that the caller's next read has lasted about as long as it
// can without a pause, but not the maximum, when all results are available.
func aligned(r Read, hold, maxHold time.Duration) time.Duration {
	const targetAge = 0.75 // share of the longest read
	if r.Expected <= hold || r.Expected > hold+maxHold {
		return hold
	}
	next := r.Expected - time.Duration(targetAge*float64(maxHold)) // when the next read should start
	return min(hold, max(next, readPause-r.Waited, 0))
}
