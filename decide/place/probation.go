package place

import "time"

// Probation limits the samples sent to engines that do not respond. When engines are
// scarce and some have crashed but are still listed, the crashed ones appear to have
// the only free slots. The most urgent samples were then sent to one crashed engine
// after the other, six at a time, while less urgent ones got the slots that became free
// elsewhere. With Probation, an engine that failed gets no samples for a pause that
// grows with each failure, and then one sample until it has made an event. The zero
// value is ready to use. It is not safe for concurrent use.
type Probation struct {
	failures map[string]int // consecutive failures by engine
}

const (
	// minProbationPause is the pause after an engine's first failure. It is short so
	// that an engine is retried soon after a mere connection error.
	minProbationPause = 250 * time.Millisecond
	// maxProbationDoublings limits the pause to 1 s, so that an engine that has
	// recovered stays unused for no longer than a short sample takes.
	maxProbationDoublings = 2
)

// RecordFailure records that an engine could not be reached or that a stream from it
// delivered nothing. It returns how long the engine must get no samples.
func (p *Probation) RecordFailure(engine string) time.Duration {
	if p.failures == nil {
		p.failures = map[string]int{}
	}
	pause := minProbationPause << min(p.failures[engine], maxProbationDoublings)
	p.failures[engine]++
	return pause
}

// RecordSuccess records that an engine has made an event.
func (p *Probation) RecordSuccess(engine string) { delete(p.failures, engine) }

// Slots returns how many samples an engine may have from all callers together. load is
// the number that it has now, and own is the number of these that belong to this
// caller.
func (p *Probation) Slots(engine string, slots, load, own int) int {
	if p.failures[engine] == 0 {
		return slots
	}
	return min(slots, load+max(0, 1-own))
}
