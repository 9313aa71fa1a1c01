// Package gather decides how long a read that waits for results goes on waiting
// once there is one. It answers the load of synchronous training: a trainer asks
// for results again and again, and can't train before it has read the last group
// that it waits for. It looks at what it has, and asks again, no sooner than a pause
// after it began its last read. An answer with the first of several results makes it
// sit out that pause while the last ones are listed, and so does a read that was
// begun just before they are. The package has no clock and does no I/O.
package gather

import "time"

const (
	// holdMost bounds how long results at hand are kept back, two pauses of a trainer
	// between reads: a caller that would wait for minutes gets what there is.
	maxReadHold = time.Second
	// timelyBehindDue is how long behind their due time results may be read and still
	// count as timely: 0.7 s by the users' protocol, less an answer's way.
	timelyGrace = 600 * time.Millisecond
	// textsTake is kept for reading the results' texts from whoever has them: some 30
	// ms, and several times that while the log is busy.
	textReadTime = 200 * time.Millisecond
)

// pause is what a trainer leaves between the beginnings of two reads.
const readPause = 500 * time.Millisecond

// Read is a waiting read.
type Read struct {
	// Empty: there is no result for it yet.
	Empty bool
	// Waited is how long it has waited.
	Waited time.Duration
	// Most is how long its caller lets it wait; 0: not at all.
	MaxWait time.Duration
	// Enough: the caller has all that it waits for with these results.
	Enough bool
	// Due is how long from now results are due, below 0: were due; 0: nobody said.
	Due time.Duration
	// Expected is how long from now its caller will likely have all that it waits for;
	// 0 or below: nobody knows.
	Expected time.Duration
}

// Hold returns how long the read goes on waiting; 0: it is answered now. It waits for as
// long as its caller lets it, a second at most: the longer reads last, the fewer of them
// are young when the last result is listed, and one that is older than its caller's pause
// costs nothing. Where it is known when that will likely be, the read before is answered
// sooner, so that the last one is of an age to bear an error either way.
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

// aligned shortens a hold so that the caller's next read is about as old as it may get
// without a pause, and not the oldest, when it has all.
func aligned(r Read, hold, maxHold time.Duration) time.Duration {
	const targetAge = 0.75 // of the longest read
	if r.Expected <= hold || r.Expected > hold+maxHold {
		return hold
	}
	next := r.Expected - time.Duration(targetAge*float64(maxHold)) // when the next read should begin
	return min(hold, max(next, readPause-r.Waited, 0))
}
