package place

import "time"

// Probation keeps samples from engines that give no sign of life. It answers the load
// of scarce engines some of which have crashed and are still listed: their places look
// free when all others are taken, so that the most urgent samples went there, six at a
// time and one dead engine after the other, while less urgent ones got the places that
// became free elsewhere. An engine that failed gets nothing for a while, longer each
// time, and then one sample until it has made an event. Its zero value knows nothing.
// It is not safe for concurrent use.
type Probation struct {
	failures map[string]int // in a row, by engine
}

const (
	// probationPause is how long an engine gets nothing after its first failure: a
	// connection that broke on the way is tried again soon.
	minProbationPause = 250 * time.Millisecond
	// probationDoublings bounds the pause at 1 s: one that is back is missed for no
	// longer than a short sample takes.
	maxProbationDoublings = 2
)

// Failed notes that an engine could not be reached, or a stream there brought nothing,
// and returns how long it gets no sample.
func (p *Probation) RecordFailure(engine string) time.Duration {
	if p.failures == nil {
		p.failures = map[string]int{}
	}
	pause := minProbationPause << min(p.failures[engine], maxProbationDoublings)
	p.failures[engine]++
	return pause
}

// Passed notes that an engine has made an event.
func (p *Probation) RecordSuccess(engine string) { delete(p.failures, engine) }

// Slots is how many samples an engine may have, all callers' together, of which load
// run there and own are this caller's.
func (p *Probation) Slots(engine string, slots, load, own int) int {
	if p.failures[engine] == 0 {
		return slots
	}
	return min(slots, load+max(0, 1-own))
}
