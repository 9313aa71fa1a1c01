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
	holdMost = time.Second
	// timelyBehindDue is how long behind their due time results may be read and still
	// count as timely: 0.7 s by the users' protocol, less an answer's way.
	timelyBehindDue = 600 * time.Millisecond
	// textsTake is kept for reading the results' texts from whoever has them: some 30
	// ms, and several times that while the log is busy.
	textsTake = 200 * time.Millisecond
)

// Read is a waiting read for which there are results.
type Read struct {
	// Waited is how long it has waited.
	Waited time.Duration
	// Most is how long its caller lets it wait; 0: not at all.
	Most time.Duration
	// Enough: the caller has all that it waits for with these results.
	Enough bool
	// Due is how long from now results are due, below 0: were due; 0: nobody said.
	Due time.Duration
}

// Hold returns how long the read waits for more results; 0: it is answered now. It
// waits for as long as its caller lets it, a second at most: the longer reads last, the
// fewer of them are young when the last result is listed, and one that is older than
// its caller's pause costs nothing. On the calm day of a deployment with six trainers steps ended 0.27 s in
// the mean after their last result, 0.35 s for the three longest kinds, where reads
// were answered after half a second; two of these never came to their last step.
func Hold(r Read) time.Duration {
	if r.Enough {
		return 0
	}
	hold := min(holdMost, r.Most) - r.Waited
	if timely := r.Due + timelyBehindDue; r.Due != 0 && timely > 0 {
		hold = min(hold, timely-textsTake)
	}
	return max(0, hold)
}
