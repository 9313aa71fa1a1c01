// Package once computes the owners of idempotency keys from the claims in a
// service's stream: which incarnation of which agent may run the request of a
// key. The first claim of a key in offset order wins for ever; a key never gets a
// second owner.
//
// The fold is pure and deterministic. Its only clock is the log's record times.
// Claims of a batch that was appended twice, because the first response was
// lost, change nothing: the first claim already won and has the same owner.
//
// Memory is bounded by the key window. Dropping old keys is safe: the floor below
// which keys have been dropped only rises, and a claim of a key below it never
// wins.
//
// Agents of different releases share a stream for years. A record that a reader
// can't decode may contain a claim of any key, so it raises the reader's floor as
// lost records do: a key that may be claimed in it is Lost, never Free. While
// agents of a newer release keep writing such records, an older agent therefore
// answers outcome_unknown for nearly every new key, which is safe but useless. To
// avoid this, one release must be able to read a new version of the encoding
// before the next release writes it, and a version must stay readable until the
// log's retention time has passed since its last writer stopped. The version is
// the record's first byte and is never reused for another encoding.
package once

import (
	"time"

	"dandelionsill.org/platform"
)

// segmentWidthMS is the range of issue times of a segment in ms. Keys are kept in
// segments, which are dropped as a whole.
const segmentWidthMS = int64(time.Minute / time.Millisecond)

// maxKeySkews bounds, in clock skews, how far the issue time of an admitted key may
// be ahead of the log's clock: one skew between caller and agent, and one between
// agent and log.
const maxKeySkews = 2

// Limits contains the manifest's limits for idempotency keys.
type Limits struct {
	Window time.Duration // maximum age of a key; 0: not known yet, no key is dropped
	Skew   time.Duration // maximum difference between any two clocks
}

// Status is the status of a key by the records applied so far.
type Status uint8

const (
	// Free means that no claim has been read and none can have been missed.
	Free Status = iota
	// Claimed means that a claim has won.
	Claimed
	// TooOld means that the key is older than the window. No claim of it can win.
	TooOld
	// Lost means that records which may have contained a claim of the key were
	// lost, or could not be decoded. Whether its request ran is unknown.
	Lost
)

// KeyState is the state of one key, as returned by Find.
type KeyState struct {
	Status Status
	Owner  OwnerDigest // Claimed only
	Hash   ShortHash   // Claimed only
}

// Applied is the result of applying a record.
type Applied struct {
	Record Record
	// Unreadable means that this release can't decode the record. The record was
	// skipped, and keys that may be claimed in it are Lost.
	Unreadable bool
	// Seen means that the offset had been applied before, and nothing changed.
	Seen bool
}

// State is the state after the records applied so far. It is not safe for
// concurrent use.
type State struct {
	limits Limits
	next   uint64
	clock  int64 // latest record time, ms

	windowFloor int64 // keys issued before it are too old, ms
	gapFloor    int64 // keys issued before it may be claimed in lost records, ms
	gap         bool  // records were lost and gapFloor does not cover them yet

	segments  map[int64]map[Digest]claim
	keyCount  int
	owners    ownerTable
	lastBatch map[OwnerDigest]int64 // time of each owner's last batch, ms
}

// claim is the winning claim of a key.
type claim struct {
	hash  ShortHash
	owner uint32 // index in State.owners
}

// New returns the state before the stream's first record.
func New(limits Limits) *State {
	return &State{
		limits:    limits,
		segments:  make(map[int64]map[Digest]claim),
		lastBatch: make(map[OwnerDigest]int64),
	}
}

// SetLimits changes the limits. A longer window does not restore keys that were
// dropped: the floors never fall.
func (s *State) SetLimits(limits Limits) { s.limits = limits }

// Next returns the offset of the next record to apply.
func (s *State) Next() uint64 { return s.next }

// Len returns the number of keys held.
func (s *State) Len() int { return s.keyCount }

// Apply applies one record. Records must be passed in offset order; a jump in the
// offsets means that records were lost.
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
	s.lastBatch[record.Owner] = s.clock
	for _, c := range record.Claims {
		s.claim(record.Owner, c)
	}
	return Applied{Record: record}
}

// HandleTruncation records that the log no longer has the records before offset
// first. If some of them were not applied, every unknown key is Lost until the next
// record bounds the time of the lost ones.
func (s *State) HandleTruncation(first uint64) {
	if first <= s.next {
		return
	}
	s.next = first
	s.gap = true
}

// HandleLogReset records that the log lost records that were read from it: the
// stream now starts at offset first, which may have been applied before. Claims that
// were read stay known. Records that were lost unread may contain others, so every
// unknown key is Lost until the next record, as after HandleTruncation.
func (s *State) HandleLogReset(first uint64) {
	s.next = first
	s.gap = true
}

// HandleEmptyStream records that the stream contains no record after a gap. now is
// the reader's own time when the read started or later; it is used in place of a
// record time.
func (s *State) HandleEmptyStream(now time.Time) {
	if s.gap {
		s.closeGap(now.Add(s.limits.Skew).UnixMilli())
	}
}

// advance raises the clock and the floors, which never fall, and drops the keys
// below the window.
func (s *State) advance(ms int64) {
	s.clock = max(s.clock, ms)
	if s.gap {
		s.closeGap(s.clock)
	}
	floor := s.clock - s.limits.Window.Milliseconds()
	if floor <= s.windowFloor || s.limits.Window <= 0 {
		return
	}
	s.windowFloor = floor
	for n, segment := range s.segments {
		if (n+1)*segmentWidthMS <= floor {
			s.keyCount -= len(segment)
			delete(s.segments, n)
		}
	}
	for owner, last := range s.lastBatch {
		if last < floor {
			delete(s.lastBatch, owner)
		}
	}
}

// closeGap raises gapFloor from a time in ms that is not before any lost record. A
// key claimed in a lost record was issued at most maxKeySkews skews after that time.
// The floor is one millisecond higher: a key issued in that very millisecond may be
// claimed in a lost record, and if it were Free its request would run twice.
func (s *State) closeGap(ms int64) {
	s.gap = false
	lastIssue := ms + maxKeySkews*s.limits.Skew.Milliseconds()
	s.gapFloor = max(s.gapFloor, lastIssue+1)
}

// claim stores a claim unless the key already has one. A claim of a key below a floor
// never wins: the winning claim may have been dropped or never read, and its request
// may have run.
func (s *State) claim(owner OwnerDigest, c RecordClaim) {
	issued := issuedMS(c.Key[:])
	if issued < s.windowFloor || issued < s.gapFloor {
		return
	}
	n := issued / segmentWidthMS
	segment := s.segments[n]
	if segment == nil {
		segment = make(map[Digest]claim)
		s.segments[n] = segment
	}
	if _, taken := segment[c.Key]; taken {
		return
	}
	segment[c.Key] = claim{hash: c.Hash, owner: s.owners.index(owner)}
	s.keyCount++
}

// Find returns the state of a key. A key older than the window is TooOld even if its
// claim is still held, because users of State drop their own data of such keys.
func (s *State) Find(key Key) KeyState {
	digest := key.Digest()
	issued := issuedMS(digest[:])
	if issued < s.windowFloor {
		return KeyState{Status: TooOld}
	}
	if c, ok := s.segments[issued/segmentWidthMS][digest]; ok {
		return KeyState{Status: Claimed, Owner: s.owners.byIndex[c.owner], Hash: c.hash}
	}
	if s.gap || issued < s.gapFloor {
		return KeyState{Status: Lost}
	}
	return KeyState{}
}

// ActiveOwners returns the number of owners whose last batch is at most within old by
// the log's clock.
func (s *State) ActiveOwners(within time.Duration) int {
	n := 0
	for _, last := range s.lastBatch {
		if s.clock-last <= within.Milliseconds() {
			n++
		}
	}
	return n
}

// ownerTable assigns indexes to owners, because many keys have the same few owners
// and an index is smaller.
type ownerTable struct {
	byIndex []OwnerDigest
	indexes map[OwnerDigest]uint32
}

// index returns the owner's index in byIndex, and adds the owner if it is new.
func (t *ownerTable) index(owner OwnerDigest) uint32 {
	if n, ok := t.indexes[owner]; ok {
		return n
	}
	if t.indexes == nil {
		t.indexes = make(map[OwnerDigest]uint32)
	}
	n := uint32(len(t.byIndex))
	t.byIndex = append(t.byIndex, owner)
	t.indexes[owner] = n
	return n
}
