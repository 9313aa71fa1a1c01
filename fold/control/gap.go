package control

import (
	"maps"
	"slices"

	"github.com/juju/errors"

	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

// applyReappend takes over the revision and versions of another process's reappend
// record (package comment).
func (s *State) applyReappend(r record, rec platform.Record) []Event {
	rev := r.Revision.signed(r.Accepted)
	if err := s.keys.Verify(rev); err != nil {
		return []Event{s.newRejected(r.ID, rev, err.Error())}
	}
	var events []Event
	for _, model := range slices.Sorted(maps.Keys(r.Versions)) {
		events = append(events, s.raiseVersion(model, r.Versions[model])...)
	}
	switch {
	case rev.Number > s.headNumber():
		unreadable := s.advance(newRevision(rev))
		events = append(events, Accepted{r.ID, s.head})
		events = append(events, unreadable...)
	case s.isCopy(rev):
		events = append(events, Refreshed{r.ID, rev.Number, rev.Hash})
	default:
		return append(events, s.newRejected(r.ID, rev, "it is a copy of an older revision"))
	}
	s.recordCopy(rec.Offset, rec.Time)
	// The writer can't have applied records after its own.
	return append(events, s.endGap(min(r.NextOffset, rec.Offset))...)
}

// Offer takes a revision that a peer has accepted, with the offset that accepted
// it, and returns whether it is higher than the newest known one. It fails if the
// signature is invalid, or if the revision has the number of the newest known one
// but another hash.
func (s *State) Offer(signed *pb.SignedRevision) (bool, error) {
	if err := s.keys.Verify(signed); err != nil {
		return false, errors.Trace(err)
	}
	head := s.Head()
	if head != nil && signed.Number <= head.Number {
		if signed.Number == head.Number && signed.Hash != head.Hash {
			return false, errors.Errorf("peer's revision %d has hash %s, but the known one has %s", signed.Number, signed.Hash, head.Hash)
		}
		return false, nil
	}
	s.offered = newRevision(signed)
	if s.offered.Err == nil {
		s.offeredReadable = s.offered
	}
	s.endGapByOffer()
	return true, nil
}

// endGapByOffer ends the gap if every record after the offset that accepted the
// peer's revision is known.
func (s *State) endGapByOffer() []Event {
	if !s.gap || !s.nextKnown || s.offered == nil || s.offered.Offset >= s.next {
		return nil
	}
	if s.offered.Offset+1 < s.gapEnd {
		return nil
	}
	offered := s.offered
	events := s.advance(offered)
	return append(events, s.endGap(offered.Offset+1)...)
}

// endGap ends the gap if every record from offset on is known. head must be the
// revision that was in force at that offset.
func (s *State) endGap(offset uint64) []Event {
	if !s.gap || offset < s.gapEnd {
		return nil
	}
	held := s.held
	s.gap, s.held, s.heldBytes = false, nil, 0
	var events []Event
	for _, c := range held {
		switch {
		case c.rev.Offset >= offset:
			events = append(events, s.evaluate(c)...)
		case s.isCopy(c.rev) && c.rev.Offset == s.head.Offset:
			s.recordCopy(c.rev.Offset, c.recordedAt)
			events = append(events, Accepted{c.id, s.head})
		case s.isCopy(c.rev):
			s.recordCopy(c.rev.Offset, c.recordedAt)
		}
	}
	return events
}

// hold keeps a commit until the gap ends. Above maxHeldBytes the oldest commits are
// dropped and the gap is extended to include them.
func (s *State) hold(c heldCommit) {
	s.held = append(s.held, c)
	s.heldBytes += len(c.rev.Manifest)
	for s.heldBytes > maxHeldBytes {
		s.heldBytes -= len(s.held[0].rev.Manifest)
		s.gapEnd = s.held[0].rev.Offset + 1
		s.held = s.held[1:]
	}
}
