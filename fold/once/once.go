// Package once folds a service's stream of idempotency claims: which
// incarnation of which agent may run a key's request. The first claim in offset
// order wins for ever; nothing gives a key to a second owner.
//
// The fold is pure and deterministic. It knows no clock but the log's own
// record times. Claims of a batch that was appended twice (its first answer
// was lost) change nothing: the first stands, and it is the same owner's.
//
// Memory is bounded by the key window, and forgetting is safe: the floor below
// which keys were forgotten only rises, and a claim below it never wins.
//
// Releases meet in one stream for years. A record that a reader can't read may
// hold any key's claim, so it raises the reader's floor as lost records do: a
// key that may stand in it is Lost, never Free. While agents of a newer release
// keep writing such records, an older agent therefore answers outcome_unknown
// to nearly every new key; it is safe and useless. So that no fleet gets there,
// a new version of the encoding is read by one release before the next release
// writes it, and a version stays readable until the log's retention has passed
// since its last writer went. Versions are the record's first byte, never used
// again for another form.
package once

import (
	"time"

	"dandelionsill.org/platform"
)

// segmentMS is the width in ms of issue time of the segments in which keys are
// kept; a whole segment is dropped at a time.
const segmentMS = int64(time.Minute / time.Millisecond)

// skewsPerKey bounds, in clock skews, how far ahead of the log's clock a key
// may have been issued that an agent let through: one skew between caller and
// agent, one between agent and log.
const skewsPerKey = 2

// Limits are the manifest's bounds of idempotency keys.
type Limits struct {
	Window time.Duration // how old a key may be; 0: not known yet, nothing is forgotten
	Skew   time.Duration // bound between any two clocks
}

// Status says what the stream tells of a key.
type Status uint8

const (
	// Free: no claim has been read.
	Free Status = iota
	// Claimed: a claim won.
	Claimed
	// TooOld: the key is older than the window; no claim of it can win any more.
	TooOld
	// Lost: records that may have held the key's claim were truncated before
	// they were read. Whether it ran can't be known here.
	Lost
)

// KeyState is the state of one key.
type KeyState struct {
	Status Status
	Owner  OwnerDigest // Claimed only
	Hash   ShortHash   // Claimed only
}

// Applied tells what a record was.
type Applied struct {
	Record Record
	// Unreadable: the record is no batch of claims that this release can read.
	// It was skipped, and keys that it may hold count as lost.
	Unreadable bool
	// Seen: the offset had been applied before; nothing changed.
	Seen bool
}

// State is the fold. It is not safe for concurrent use.
type State struct {
	terms Limits
	next  uint64
	clock int64 // latest record time, ms

	windowFloor int64 // keys issued before it are too old, ms
	gapFloor    int64 // keys issued before it may have been claimed in lost records, ms
	gap         bool  // records were lost; gapFloor is not known yet

	segments map[int64]map[Digest]claim
	size     int
	owners   holders
	active   map[OwnerDigest]int64 // owner -> time of its last batch, ms
}

// claim is what is kept of a key besides its digest.
type claim struct {
	hash  ShortHash
	owner uint32
}

// New returns the state before the stream's first record.
func New(terms Limits) *State {
	return &State{
		terms:    terms,
		segments: make(map[int64]map[Digest]claim),
		active:   make(map[OwnerDigest]int64),
	}
}

// SetLimits changes the bounds. A longer window does not bring back what was
// forgotten: the floors never sink.
func (s *State) SetLimits(terms Limits) { s.terms = terms }

// Next is the offset to read from.
func (s *State) Next() uint64 { return s.next }

// Len is the number of keys held.
func (s *State) Len() int { return s.size }

// Apply folds one record. Records come in offset order; a jump counts as a gap.
func (s *State) Apply(rec platform.Record) Applied {
	if rec.Offset < s.next {
		return Applied{Seen: true}
	}
	if rec.Offset > s.next {
		s.gap = true
	}
	s.next = rec.Offset + 1
	s.advance(rec.Time.UnixMilli())
	record, err := Decode(rec.Data)
	if err != nil {
		s.closeGap(s.clock)
		return Applied{Unreadable: true}
	}
	s.active[record.Owner] = s.clock
	for _, c := range record.Claims {
		s.claim(record.Owner, c)
	}
	return Applied{Record: record}
}

// HandleTruncation notes that the records before first were truncated unread. Until the
// next record shows the lost records' time, every unknown key counts as lost.
func (s *State) HandleTruncation(first uint64) {
	if first <= s.next {
		return
	}
	s.next = first
	s.gap = true
}

// HandleLogReset notes that the log lost what was read from it: the stream now begins
// at first, which may be an offset that was applied before. What was read stays
// known; of the lost records that were not, every unknown key counts as lost,
// as after Gap.
func (s *State) HandleLogReset(first uint64) {
	s.next = first
	s.gap = true
}

// HandleEmptyStream notes that after a gap the stream holds no record yet. now is the
// reader's own clock at a time when the read had not begun or later; it stands
// in for the record time.
func (s *State) HandleEmptyStream(now time.Time) {
	if s.gap {
		s.closeGap(now.Add(s.terms.Skew).UnixMilli())
	}
}

// advance moves the clock and the floors. Both only rise.
func (s *State) advance(ms int64) {
	s.clock = max(s.clock, ms)
	if s.gap {
		s.closeGap(s.clock)
	}
	floor := s.clock - s.terms.Window.Milliseconds()
	if floor <= s.windowFloor || s.terms.Window <= 0 {
		return
	}
	s.windowFloor = floor
	for n, segment := range s.segments {
		if (n+1)*segmentMS <= floor {
			s.size -= len(segment)
			delete(s.segments, n)
		}
	}
	for owner, last := range s.active {
		if last < floor {
			delete(s.active, owner)
		}
	}
}

// closeGap sets the floor from a time not before that of any lost record: a
// key claimed in one of those was issued at most skewsPerKey skews later. The
// floor lies behind that millisecond: a key that was issued in it may stand in a
// lost record, and if it were taken for free its request would run twice.
func (s *State) closeGap(ms int64) {
	s.gap = false
	lastIssue := ms + skewsPerKey*s.terms.Skew.Milliseconds()
	s.gapFloor = max(s.gapFloor, lastIssue+1)
}

// claim lets the first claim win. A claim below a floor never wins: the one
// that won may already be forgotten, or was never read, and its request may
// have run.
func (s *State) claim(owner OwnerDigest, c RecordClaim) {
	issued := issuedMS(c.Key[:])
	if issued < s.windowFloor || issued < s.gapFloor {
		return
	}
	n := issued / segmentMS
	segment := s.segments[n]
	if segment == nil {
		segment = make(map[Digest]claim)
		s.segments[n] = segment
	}
	if _, taken := segment[c.Key]; taken {
		return
	}
	segment[c.Key] = claim{hash: c.Hash, owner: s.owners.number(owner)}
	s.size++
}

// Find tells a key's state. The window comes first, before any claim that is
// still held: users forget what they know of a key once it is too old.
func (s *State) Find(key Key) KeyState {
	digest := key.Digest()
	issued := issuedMS(digest[:])
	if issued < s.windowFloor {
		return KeyState{Status: TooOld}
	}
	if c, ok := s.segments[issued/segmentMS][digest]; ok {
		return KeyState{Status: Claimed, Owner: s.owners.list[c.owner], Hash: c.hash}
	}
	if s.gap || issued < s.gapFloor {
		return KeyState{Status: Lost}
	}
	return KeyState{}
}

// ActiveOwners counts the owners whose last claim is younger than the given time, by
// the log's clock.
func (s *State) ActiveOwners(within time.Duration) int {
	n := 0
	for _, last := range s.active {
		if s.clock-last <= within.Milliseconds() {
			n++
		}
	}
	return n
}

// holders numbers the few owners that many keys share.
type holders struct {
	list    []OwnerDigest
	numbers map[OwnerDigest]uint32
}

func (h *holders) number(owner OwnerDigest) uint32 {
	if n, ok := h.numbers[owner]; ok {
		return n
	}
	if h.numbers == nil {
		h.numbers = make(map[OwnerDigest]uint32)
	}
	n := uint32(len(h.list))
	h.list = append(h.list, owner)
	h.numbers[owner] = n
	return n
}
