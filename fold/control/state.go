package control

import (
	"fmt"
	"maps"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

const (
	// defaultIDWindow is how long ids are kept while no manifest is in force
	// that sets the log's retention time.
	defaultIDWindow = 24 * time.Hour
	// maxHeldBytes bounds the total size of the manifests of held commits.
	maxHeldBytes = 8 << 20
)

// Revision is an accepted revision. It is immutable.
type Revision struct {
	Number   uint64
	Parent   uint64
	Hash     string // sha256 of the manifest, hex
	Offset   uint64 // of the record that accepted it
	Signed   *pb.SignedRevision
	Manifest *manifest.Manifest // nil if this program can't read it
	Err      error              // why the manifest can't be read; nil if it can
}

// State is the state of the control stream after the records applied so far. It
// is not safe for concurrent use.
type State struct {
	keys manifest.Keys

	next       uint64    // offset of the next record to apply
	nextKnown  bool      // false between HandleTruncation and the next record
	head       *Revision // the newest revision by the log; a lower bound after a gap
	readable   *Revision // the newest revision by the log that this program can read
	newestCopy NewestCopy
	versions   map[string]uint64
	ids        idWindow

	offered         *Revision // the newest from a peer, while higher than head
	offeredReadable *Revision

	gap       bool
	gapEnd    uint64 // every record from this offset up to next is known
	held      []heldCommit
	heldBytes int

	skipped uint64
}

// NewestCopy is the position of the newest copy in the log of the newest revision.
type NewestCopy struct {
	Offset uint64
	Time   time.Time // by the log service's clock
}

// heldCommit is a commit with a valid signature that may have to wait for the end
// of a gap.
type heldCommit struct {
	id         string
	rev        *pb.SignedRevision // its Offset is that of the commit's record
	recordedAt time.Time
}

// New returns the state before the log's first record.
func New(keys manifest.Keys) *State {
	return &State{keys: keys, nextKnown: true, versions: map[string]uint64{}}
}

// HandleTruncation opens a gap because records were truncated before they were
// read. The next record may have any offset. Apply detects a jump in the offsets
// by itself.
func (s *State) HandleTruncation() {
	s.gap = true
	s.nextKnown = false
	s.newestCopy = NewestCopy{}
	s.held, s.heldBytes = nil, 0
}

// Settled reports whether the newest revision is known for certain, that is, no
// gap is open.
func (s *State) Settled() bool { return !s.gap }

// Next returns the offset of the next record to apply.
func (s *State) Next() uint64 { return s.next }

// Skipped returns the number of records that this program could not decode or
// whose type it does not know.
func (s *State) Skipped() uint64 { return s.skipped }

// Head returns the newest accepted revision, readable or not, or nil if there is
// none yet.
func (s *State) Head() *Revision { return higher(s.head, s.offered) }

// Revision returns the revision in force, which is the newest accepted one that
// this program can read, or nil if there is none yet.
func (s *State) Revision() *Revision { return higher(s.readable, s.offeredReadable) }

// NewestCopy returns the position of the newest copy in the log of the newest
// revision. A process must reappend the revision before that copy is truncated.
// It is zero if no copy has been read, as after a gap.
func (s *State) NewestCopy() NewestCopy { return s.newestCopy }

// Versions returns the newest announced weight version of each model.
func (s *State) Versions() map[string]uint64 { return maps.Clone(s.versions) }

// higher returns the revision with the higher number, and a if they are equal:
// callers pass the revision by the log as a.
func higher(a, b *Revision) *Revision {
	if a == nil || b != nil && b.Number > a.Number {
		return b
	}
	return a
}

// Apply applies a record and returns what it changed. Records before Next are
// ignored.
func (s *State) Apply(rec platform.Record) []Event {
	if s.nextKnown && rec.Offset < s.next {
		return nil
	}
	if !s.nextKnown || rec.Offset > s.next {
		s.HandleTruncation()
		s.gapEnd = rec.Offset
	}
	s.next, s.nextKnown = rec.Offset+1, true

	r, err := decode(rec.Data)
	if err != nil {
		s.skipped++
		return nil
	}
	var events []Event
	switch r.Type {
	case typeCommit:
		events = s.applyCommit(r, rec)
	case typeReappend:
		events = s.applyReappend(r, rec)
	case typeVersion:
		events = s.raiseVersion(r.Model, r.Version)
	default:
		s.skipped++
		return nil
	}
	events = append(events, s.endGapByOffer()...)
	if !s.ids.addIfNew(r.ID, rec.Time, s.idWindow()) {
		return dropOutcomes(events, r.ID)
	}
	return events
}

func (s *State) idWindow() time.Duration {
	if rev := s.Revision(); rev != nil {
		return rev.Manifest.Fleet.LogRetention
	}
	return defaultIDWindow
}

// dropOutcomes returns the events without the outcomes of the record with an id,
// which have been reported before.
func dropOutcomes(events []Event, id string) []Event {
	var rest []Event
	for _, e := range events {
		switch e := e.(type) {
		case Rejected:
			if e.ID == id {
				continue
			}
		case Refreshed:
			if e.ID == id {
				continue
			}
		case Held:
			if e.ID == id {
				continue
			}
		}
		rest = append(rest, e)
	}
	return rest
}

func (s *State) applyCommit(r record, rec platform.Record) []Event {
	rev := r.Revision.signed(rec.Offset)
	if err := s.keys.Verify(rev); err != nil {
		return []Event{s.newRejected(r.ID, rev, err.Error())}
	}
	if s.gap {
		s.hold(heldCommit{r.ID, rev, rec.Time})
		return []Event{Held{r.ID, rev.Number}}
	}
	return s.evaluate(heldCommit{r.ID, rev, rec.Time})
}

// evaluate accepts or rejects a commit with a valid signature. No gap may be open.
func (s *State) evaluate(c heldCommit) []Event {
	current := s.headNumber()
	switch {
	case s.isCopy(c.rev):
		s.recordCopy(c.rev.Offset, c.recordedAt)
		return []Event{Refreshed{c.id, c.rev.Number, c.rev.Hash}}
	case c.rev.Parent != current:
		return []Event{s.newRejected(c.id, c.rev, fmt.Sprintf("its parent is revision %d, but %d is in force", c.rev.Parent, current))}
	case c.rev.Number != current+1:
		return []Event{s.newRejected(c.id, c.rev, fmt.Sprintf("its number is %d, but its parent's is %d", c.rev.Number, current))}
	}
	events := s.advance(newRevision(c.rev))
	s.recordCopy(c.rev.Offset, c.recordedAt)
	return append([]Event{Accepted{c.id, s.head}}, events...)
}

// advance makes rev the newest revision by the log, and drops a peer's revision
// that is not higher.
func (s *State) advance(rev *Revision) []Event {
	s.head, s.newestCopy = rev, NewestCopy{}
	if s.offered != nil && s.offered.Number <= rev.Number {
		s.offered = nil
	}
	if rev.Err != nil {
		return []Event{Unreadable{rev.Number, rev.Err}}
	}
	s.readable = rev
	if s.offeredReadable != nil && s.offeredReadable.Number <= rev.Number {
		s.offeredReadable = nil
	}
	return nil
}

// recordCopy records a copy of the newest revision if it is the newest copy. At
// the end of a gap copies may be found out of order.
func (s *State) recordCopy(offset uint64, at time.Time) {
	if s.newestCopy.Time.IsZero() || offset > s.newestCopy.Offset {
		s.newestCopy = NewestCopy{offset, at}
	}
}

func (s *State) newRejected(id string, rev *pb.SignedRevision, reason string) Rejected {
	return Rejected{ID: id, Number: rev.Number, KeyID: rev.KeyId, Reason: reason, Current: s.headNumber()}
}

func (s *State) headNumber() uint64 {
	if s.head == nil {
		return 0
	}
	return s.head.Number
}

func (s *State) isCopy(rev *pb.SignedRevision) bool {
	return s.head != nil && rev.Number == s.head.Number && rev.Parent == s.head.Parent && rev.Hash == s.head.Hash
}

func (s *State) raiseVersion(model string, version uint64) []Event {
	if version <= s.versions[model] {
		return nil
	}
	s.versions[model] = version
	return []Event{Version{model, version}}
}

func newRevision(signed *pb.SignedRevision) *Revision {
	m, err := manifest.Parse(fmt.Sprintf("revision %d", signed.Number), signed.Manifest)
	return &Revision{
		Number: signed.Number, Parent: signed.Parent, Hash: signed.Hash, Offset: signed.Offset,
		Signed: signed, Manifest: m, Err: errors.Trace(err),
	}
}
