package weights

import (
	"sync/atomic"
	"time"
)

// verifiedState is what is known of the engine. It is immutable; a change is a new one.
type verifiedState struct {
	serving  uint64 // verified version; 0: none
	boot     string // the engine start that all of this is about
	previous uint64 // version before the last or running swap of this boot
	loading  uint64 // version of the order under way; 0: none
}

// Verdict tells whether a chunk fits what is verified of the engine.
type Verdict uint8

const (
	// Contradicts: the chunk does not fit what is verified.
	Contradicts Verdict = iota
	// Fits: the chunk is what the verified engine makes.
	Fits
	// Undecided: an order is under way. Should it fail partway, the engine may
	// make tokens of anything and still name the intended version, so no chunk
	// can be believed before the order is verified.
	Undecided
)

// checkChunk tells whether a chunk of version on boot fits a stream that started
// on version start. The version before a swap still fits: its chunks may lie
// in buffers while the swap is verified.
func (p *verifiedState) checkChunk(start, version uint64, boot string) Verdict {
	switch {
	case p.loading != 0 && p.boot == boot:
		return Undecided
	case p.boot != boot, version < start, p.serving == 0:
		return Contradicts
	case version == start, version == p.serving, version == p.previous:
		return Fits
	}
	return Contradicts
}

// pauseDetector notices that the process stood still (SIGSTOP, a suspended VM).
// While it does, nothing of what it holds can be trusted: another agent may
// have taken the server over. Both clocks are compared because the monotonic
// one may stop with a suspended VM and the wall clock may be set back.
type pauseDetector struct {
	now       func() time.Time
	lease     time.Duration
	lastAlive atomic.Pointer[time.Time]
}

func newPauseDetector(now func() time.Time, lease time.Duration) *pauseDetector {
	d := &pauseDetector{now: now, lease: lease}
	d.markAlive()
	return d
}

func (d *pauseDetector) markAlive() {
	t := d.now()
	d.lastAlive.Store(&t)
}

// exceeded tells whether more than the lease has gone since the last beat.
func (d *pauseDetector) exceeded() bool { return elapsed(*d.lastAlive.Load(), d.now()) > d.lease }

func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
