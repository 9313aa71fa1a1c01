// Package lease decides which process holds the lease of a duty, a task that one process
// has at a time, and when the holder may act. The package does no I/O and reads no clock:
// its user reads and writes the lease's record in a store that accepts a write only if
// nothing was written since the writer's last read.
//
// A holder renews the record and may act for ValidFor after it sent the last renewal that
// was stored. Another process may take the lease over once it has seen the record unchanged
// for TakeOverAfter since it first read it, which is later than the record was sent. With
// ValidFor below TakeOverAfter no two holders act at the same time, whatever their clocks
// show, as long as the clocks run at the same rate.
package lease

import (
	"time"
)

// Holder identifies one incarnation of a process.
type Holder struct {
	VM          string `json:"n"`
	Incarnation string `json:"l"` // differs for each incarnation of the process
}

// Record is the stored record of a lease.
type Record struct {
	Holder
	// Token is the fencing token; it increases with each holder.
	Token uint64 `json:"t"`
	// Seq distinguishes the writes of one holder.
	Seq uint64 `json:"b"`
	// PreviousVM is the VM of the previous holder.
	PreviousVM string `json:"p,omitempty"`
	// Released is set once the holder has stopped acting.
	Released bool `json:"r,omitempty"`
	// Progress is how far the duty has got, in a unit that the duty defines.
	Progress uint64 `json:"d,omitempty"`
}

// Timing holds the durations that govern a lease.
type Timing struct {
	// ValidFor is how long a holder may act after it sent a renewal.
	ValidFor time.Duration
	// TakeOverAfter is how long a record must be unchanged before another process may take
	// the lease over. A VM also waits this long before it takes back a lease from the next
	// holder: if two processes alternate faster than the platform's bound, the platform
	// sees two holders at once.
	TakeOverAfter time.Duration
}

// resignedWaitFactor is the multiple of TakeOverAfter that a VM waits before it claims a
// lease that it has released, so that other processes can claim it first.
const resignedWaitFactor = 3

// maxTrackedWrites is the maximum number of own writes whose send time is kept. A write that
// gets no answer may still be stored seconds later.
const maxTrackedWrites = 16

// State is what one process knows about a lease. All times are readings of a monotonic
// clock that continues while the VM is suspended. It is not safe for concurrent use.
type State struct {
	self   Holder
	timing Timing

	observed bool
	exists   bool
	record   Record
	// unchangedSince is when the record was first read, or when reads succeeded again.
	unchangedSince time.Duration
	// renewedAt is when this process sent its newest write that was stored.
	renewedAt time.Duration
	sentAt    map[uint64]time.Duration // when own writes were sent, by Record.Seq
	lastSeq   uint64
	// resigned: this process has released the lease, though the stored record may not
	// show it yet.
	resigned bool
}

// New returns the state of a process that has read nothing.
func New(self Holder, timing Timing) *State {
	return &State{self: self, timing: timing, sentAt: map[uint64]time.Duration{}}
}

// Observe records the lease's record as returned by a read or as stored by a write of this
// process; nil: there is none.
func (s *State) Observe(r *Record, now time.Duration) {
	changed := !s.observed || s.exists != (r != nil) || r != nil && *r != s.record
	s.observed = true
	if !changed {
		return
	}
	s.unchangedSince = now
	s.exists = r != nil
	if r == nil {
		return
	}
	s.record = *r
	if sent, own := s.sentAt[r.Seq]; own && r.Holder == s.self {
		s.renewedAt = sent
	}
}

// ReadsResumed records that reads failed until now. The record counts as unchanged only from
// now on, because the holder may have been unable to renew the lease as well.
func (s *State) ReadsResumed(now time.Duration) { s.unchangedSince = now }

// Record returns the record as last observed; false: there was none.
func (s *State) Record() (Record, bool) { return s.record, s.exists }

// Holds reports whether this process has the lease, as far as it knows.
func (s *State) Holds() bool {
	return s.exists && s.record.Holder == s.self && !s.record.Released && !s.resigned
}

// MayAct reports whether this process may act for a duration from now on.
func (s *State) MayAct(now, duration time.Duration) bool {
	return s.Holds() && now+duration <= s.renewedAt+s.timing.ValidFor
}

// MayClaim reports whether this process may claim the lease. delay is how long it waits, in
// addition to the required time, so that other processes can claim the lease first.
func (s *State) MayClaim(now, delay time.Duration) bool {
	if !s.observed || s.Holds() {
		return false
	}
	return now-s.unchangedSince >= s.requiredWait()+delay
}

// requiredWait returns how long the record must be unchanged before this process may claim
// the lease.
func (s *State) requiredWait() time.Duration {
	switch {
	case !s.exists:
		return 0
	case !s.record.Released, s.record.PreviousVM == s.self.VM:
		return s.timing.TakeOverAfter
	case s.record.VM == s.self.VM:
		return resignedWaitFactor * s.timing.TakeOverAfter
	default:
		return 0
	}
}

// Claim returns the record that claims the lease, to be written at an offset of the store.
// Offsets only increase and no two records have the same one, so that the fencing token is
// derived from the offset.
func (s *State) Claim(offset uint64, now time.Duration) Record {
	s.resigned = false
	r := Record{Holder: s.self, Token: offset + 1}
	if s.exists {
		r.PreviousVM, r.Progress = s.record.VM, s.record.Progress
		r.Token = max(r.Token, s.record.Token+1)
	}
	return s.trackWrite(r, now)
}

// Renew returns the record that renews the lease.
func (s *State) Renew(progress uint64, now time.Duration) Record {
	r := s.record
	r.Progress = max(r.Progress, progress)
	return s.trackWrite(r, now)
}

// Release returns the record that releases the lease. From then on this process may not act,
// whether or not the write succeeds.
func (s *State) Release(progress uint64, now time.Duration) Record {
	r := s.Renew(progress, now)
	r.Released = true
	s.resigned = true
	return r
}

// trackWrite gives a record the next sequence number and keeps its send time.
func (s *State) trackWrite(r Record, now time.Duration) Record {
	s.lastSeq++
	r.Seq = s.lastSeq
	s.sentAt[r.Seq] = now
	delete(s.sentAt, s.lastSeq-maxTrackedWrites)
	return r
}
