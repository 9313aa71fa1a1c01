package control

import (
	"maps"
	"slices"

	"github.com/juju/errors"

	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

// reappend takes another process's word for what the log gave up to an offset.
func (s *State) reappend(r record, rec platform.Record) []Event {
	rev := r.Revision.signed(r.Accepted)
	if err := s.keys.Verify(rev); err != nil {
		return []Event{s.rejected(r.ID, rev, err.Error())}
	}
	var events []Event
	for _, model := range slices.Sorted(maps.Keys(r.Versions)) {
		events = append(events, s.raise(model, r.Versions[model])...)
	}
	switch {
	case rev.Number > s.headNumber():
		unreadable := s.advance(newRevision(rev))
		events = append(events, Accepted{r.ID, s.head})
		events = append(events, unreadable...)
	case s.isCopy(rev):
		events = append(events, Refreshed{r.ID, rev.Number, rev.Hash})
	default:
		return append(events, s.rejected(r.ID, rev, "it is a copy of an older revision"))
	}
	s.copyAt(rec.Offset, rec.Time)
	// The writer can't have folded records behind its own.
	return append(events, s.settle(min(r.NextOffset, rec.Offset))...)
}

// Offer takes a revision from a peer that accepted it, with the offset that
// did. It returns true when the newest known revision rose.
func (s *State) Offer(signed *pb.SignedRevision) (bool, error) {
	if err := s.keys.Verify(signed); err != nil {
		return false, errors.Trace(err)
	}
	head := s.Head()
	if head != nil && signed.Number <= head.Number {
		if signed.Number == head.Number && signed.Hash != head.Hash {
			return false, errors.Errorf("a peer's revision %d has hash %s, ours has %s", signed.Number, signed.Hash, head.Hash)
		}
		return false, nil
	}
	s.offered = newRevision(signed)
	if s.offered.Err == nil {
		s.offeredReadable = s.offered
	}
	s.settleByOffer()
	return true, nil
}

// settleByOffer ends the gap where every record behind the offset that
// accepted the peer's revision is known.
func (s *State) settleByOffer() []Event {
	if !s.gap || !s.placed || s.offered == nil || s.offered.Offset >= s.next {
		return nil
	}
	if s.offered.Offset+1 < s.gapEnd {
		return nil
	}
	offered := s.offered
	events := s.advance(offered)
	return append(events, s.settle(offered.Offset+1)...)
}

// settle ends the gap if all records from offset at on are known; head is the
// revision that was in force there.
func (s *State) settle(at uint64) []Event {
	if !s.gap || at < s.gapEnd {
		return nil
	}
	held := s.held
	s.gap, s.held, s.heldBytes = false, nil, 0
	var events []Event
	for _, c := range held {
		switch {
		case c.rev.Offset >= at:
			events = append(events, s.judge(c)...)
		case s.isCopy(c.rev) && c.rev.Offset == s.head.Offset:
			s.copyAt(c.rev.Offset, c.at)
			events = append(events, Accepted{c.id, s.head})
		case s.isCopy(c.rev):
			s.copyAt(c.rev.Offset, c.at)
		}
	}
	return events
}

// hold keeps a commit until the gap ends. Beyond the bound the oldest go, and
// the gap then reaches up to them.
func (s *State) hold(c heldCommit) {
	s.held = append(s.held, c)
	s.heldBytes += len(c.rev.Manifest)
	for s.heldBytes > maxHeldBytes {
		s.heldBytes -= len(s.held[0].rev.Manifest)
		s.gapEnd = s.held[0].rev.Offset + 1
		s.held = s.held[1:]
	}
}
