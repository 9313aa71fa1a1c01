// Package lease decides who has a duty that one process may have at a time, and when
// the holder may act. It is pure: the caller reads and writes the lease's record in a
// store that takes a write only if nothing was written since the writer's last read.
//
// A holder renews its record and acts for Valid after it has sent its last renewal that
// stands. Others take the lease over once a record has stood for TakeOver since they
// first read it, which is later than it was sent. With Valid below TakeOver no two
// holders act at a time, whatever their clocks show, as long as these run alike.
package lease

import (
	"time"
)

// Holder is one start of a process.
type Holder struct {
	Node string `json:"n"`
	Life string `json:"l"` // changes at each start of the process
}

// Record is a lease as it stands in the store.
type Record struct {
	Holder
	// Token is the fencing token: it grows with each holder.
	Token uint64 `json:"t"`
	// Seq tells apart what one holder wrote.
	Seq uint64 `json:"b"`
	// PreviousVM is the VM of the holder before.
	PreviousVM string `json:"p,omitempty"`
	// Released: the holder acts no more.
	Released bool `json:"r,omitempty"`
	// Progress is how far the duty has come, in the duty's own count.
	Progress uint64 `json:"d,omitempty"`
}

// Timing holds the times of a lease.
type Timing struct {
	// ValidFor is how long a holder may act after it sent a renewal.
	ValidFor time.Duration
	// TakeOverAfter is how long a record must have stood for others to take over. A holder
	// that comes back lets as much time pass as well: two that take turns faster than
	// the platform's bound would look to it like two holders at once.
	TakeOverAfter time.Duration
}

// resignedWaitFactor is how many times TakeOver a process that gave the lease up lets others go
// first.
const resignedWaitFactor = 3

// maxTrackedWrites bounds the own writes whose time is kept: one that gets no answer may
// stand seconds later.
const maxTrackedWrites = 16

// State is what one process knows of a lease. Times are those of a steady clock that
// goes on while the VM is suspended. It is not safe for concurrent use.
type State struct {
	self   Holder
	timing Timing

	observed bool
	exists   bool
	record   Record
	// unchangedSince is when the record was first read, or reads succeeded again.
	unchangedSince time.Duration
	// renewedAt is when our newest write that stands was sent.
	renewedAt time.Duration
	sentAt    map[uint64]time.Duration // when own writes were sent, by seq
	lastSeq   uint64
	// resigned: this process gave the lease up, though the record may not tell so yet.
	resigned bool
}

// New returns the state of a process that has read nothing.
func New(self Holder, timing Timing) *State {
	return &State{self: self, timing: timing, sentAt: map[uint64]time.Duration{}}
}

// Observe takes the record that a read showed, or that a write of our own has become; nil:
// there is none.
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

// ReadsResumed notes that reads have failed until now: the holder may have had no way to renew
// the lease either.
func (s *State) ReadsResumed(now time.Duration) { s.unchangedSince = now }

// Record returns the record as last seen; false: none was.
func (s *State) Record() (Record, bool) { return s.record, s.exists }

// Holds tells whether this process has the lease, as far as it knows.
func (s *State) Holds() bool {
	return s.exists && s.record.Holder == s.self && !s.record.Released && !s.resigned
}

// MayAct tells whether this process may act for a time to come.
func (s *State) MayAct(now, duration time.Duration) bool {
	return s.Holds() && now+duration <= s.renewedAt+s.timing.ValidFor
}

// MayClaim tells whether this process may take the lease. turn is how long it lets
// others go first.
func (s *State) MayClaim(now, delay time.Duration) bool {
	if !s.observed || s.Holds() {
		return false
	}
	return now-s.unchangedSince >= s.requiredWait()+delay
}

// requiredWait is how long the record has to stand.
func (s *State) requiredWait() time.Duration {
	switch {
	case !s.exists:
		return 0
	case !s.record.Released, s.record.PreviousVM == s.self.Node:
		return s.timing.TakeOverAfter
	case s.record.Node == s.self.Node:
		return resignedWaitFactor * s.timing.TakeOverAfter
	default:
		return 0
	}
}

// Claim returns the record that takes the lease, to be written at an offset of the store.
// Offsets only grow, and no two records have one.
func (s *State) Claim(offset uint64, now time.Duration) Record {
	s.resigned = false
	r := Record{Holder: s.self, Token: offset + 1}
	if s.exists {
		r.PreviousVM, r.Progress = s.record.Node, s.record.Progress
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

// Release returns the record that gives the lease up. From then on this process may not
// act, whatever becomes of the write.
func (s *State) Release(progress uint64, now time.Duration) Record {
	r := s.Renew(progress, now)
	r.Released = true
	s.resigned = true
	return r
}

func (s *State) trackWrite(r Record, now time.Duration) Record {
	s.lastSeq++
	r.Seq = s.lastSeq
	s.sentAt[r.Seq] = now
	delete(s.sentAt, s.lastSeq-maxTrackedWrites)
	return r
}
