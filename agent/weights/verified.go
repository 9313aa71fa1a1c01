package weights

import (
	"sync/atomic"
	"time"
)

// verifiedState is what has been verified about the engine. It is immutable;
// each change creates a new one.
type verifiedState struct {
	serving  uint64 // verified version; 0 means none
	boot     string // the engine's boot id, to which all fields refer
	previous uint64 // version before the last or current swap of this boot
	loading  uint64 // version of the running order; 0 means none
}

// Verdict is the result of comparing a chunk with the verified state.
type Verdict uint8

const (
	// Contradicts means that the chunk does not match the verified state.
	Contradicts Verdict = iota
	// Fits means that the chunk matches the verified state.
	Fits
	// Undecided means that an order is running. If it fails partway, the engine
	// may generate arbitrary tokens and still report the intended version, so
	// no chunk can be trusted before the order is verified.
	Undecided
)

// checkChunk compares a chunk with the given version and boot id with the
// verified state, for a stream that started on version start. The version
// before a swap still fits: its chunks may be buffered while the swap is
// verified.
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

// pauseDetector detects that the process was paused (SIGSTOP, a suspended VM).
// After a pause longer than the lease nothing that the process holds can be
// trusted: another agent may have claimed the server. Both clocks are compared
// because the monotonic clock may stop with a suspended VM and the wall clock
// may be set back.
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

// leaseExceeded reports whether more than the lease has passed since the last
// call of markAlive.
func (d *pauseDetector) leaseExceeded() bool { return elapsed(*d.lastAlive.Load(), d.now()) > d.lease }

// elapsed returns the time between two instants by the monotonic or the wall
// clock, whichever shows more.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
