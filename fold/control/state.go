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
	// defaultIDWindow is how long ids are kept before a manifest tells the
	// log's retention time.
	defaultIDWindow = 24 * time.Hour
	// maxHeldBytes bounds the manifests of commits held after a gap.
	maxHeldBytes = 8 << 20
)

// Revision is an accepted revision. It is immutable.
type Revision struct {
	Number   uint64
	Parent   uint64
	Hash     string // sha256 of the manifest, hex
	Offset   uint64 // the offset that accepted it
	Signed   *pb.SignedRevision
	Manifest *manifest.Manifest // nil where this program can't read it
	Err      error              // why it can't
}

// State is the fold of the control stream up to an offset. It is not safe for
// concurrent use.
type State struct {
	keys manifest.Keys

	next     uint64    // the next offset to fold
	placed   bool      // next is known; false right after Gap
	head     *Revision // the newest revision by the log; a lower bound after a gap
	readable *Revision // the newest by the log that this program can read
	copied   NewestCopy
	versions map[string]uint64
	ids      idWindow

	offered         *Revision // from a peer, while higher than head
	offeredReadable *Revision

	gap       bool
	gapEnd    uint64 // every record from this offset on is known
	held      []heldCommit
	heldBytes int

	skipped uint64
}

// NewestCopy is the newest copy of the newest revision in the log.
type NewestCopy struct {
	Offset uint64
	Time   time.Time // the log service's clock
}

// heldCommit is a validly signed commit that waits for the end of a gap.
type heldCommit struct {
	id  string
	rev *pb.SignedRevision // with its own offset
	at  time.Time
}

// New returns the state before the log's first record.
func New(keys manifest.Keys) *State {
	return &State{keys: keys, placed: true, versions: map[string]uint64{}}
}

// HandleTruncation tells that records were truncated before they were read; the next record
// may have any offset. Apply notices a jump in the offsets itself.
func (s *State) HandleTruncation() {
	s.gap = true
	s.placed = false
	s.copied = NewestCopy{}
	s.held, s.heldBytes = nil, 0
}

// Settled tells whether the newest revision is known for sure: no gap is open.
func (s *State) Settled() bool { return !s.gap }

// Next is the offset of the next record to fold.
func (s *State) Next() uint64 { return s.next }

// Skipped counts records that this program does not understand.
func (s *State) Skipped() uint64 { return s.skipped }

// Head returns the newest accepted revision, readable or not; nil: none yet.
func (s *State) Head() *Revision { return higher(s.head, s.offered) }

// Revision returns the revision in force: the newest accepted one that this
// program can read; nil: none yet.
func (s *State) Revision() *Revision { return higher(s.readable, s.offeredReadable) }

// NewestCopy returns the newest copy of the newest revision in the log; whoever
// keeps the revision alive reappends when it grows old. It is zero where no
// copy was read (after a gap).
func (s *State) NewestCopy() NewestCopy { return s.copied }

// Versions returns the newest announced weight version of each model.
func (s *State) Versions() map[string]uint64 { return maps.Clone(s.versions) }

// higher prefers a, the log's word, where the numbers are equal.
func higher(a, b *Revision) *Revision {
	if a == nil || b != nil && b.Number > a.Number {
		return b
	}
	return a
}

// Apply folds the record in. Records before Next are ignored.
func (s *State) Apply(rec platform.Record) []Event {
	if s.placed && rec.Offset < s.next {
		return nil
	}
	if !s.placed || rec.Offset > s.next {
		s.HandleTruncation()
		s.gapEnd = rec.Offset
	}
	s.next, s.placed = rec.Offset+1, true

	r, err := decode(rec.Data)
	if err != nil {
		s.skipped++
		return nil
	}
	var events []Event
	switch r.Type {
	case typeCommit:
		events = s.commit(r, rec)
	case typeReappend:
		events = s.reappend(r, rec)
	case typeVersion:
		events = s.raise(r.Model, r.Version)
	default:
		s.skipped++
		return nil
	}
	events = append(events, s.settleByOffer()...)
	if !s.ids.add(r.ID, rec.Time, s.idWindow()) {
		return without(events, r.ID)
	}
	return events
}

func (s *State) idWindow() time.Duration {
	if rev := s.Revision(); rev != nil {
		return rev.Manifest.Fleet.LogRetention
	}
	return defaultIDWindow
}

// without drops the outcomes of a record that was told before.
func without(events []Event, id string) []Event {
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

func (s *State) commit(r record, rec platform.Record) []Event {
	rev := r.Revision.signed(rec.Offset)
	if err := s.keys.Verify(rev); err != nil {
		return []Event{s.rejected(r.ID, rev, err.Error())}
	}
	if s.gap {
		s.hold(heldCommit{r.ID, rev, rec.Time})
		return []Event{Held{r.ID, rev.Number}}
	}
	return s.judge(heldCommit{r.ID, rev, rec.Time})
}

// judge accepts or rejects a validly signed commit; no gap is open.
func (s *State) judge(c heldCommit) []Event {
	current := s.headNumber()
	switch {
	case s.isCopy(c.rev):
		s.copyAt(c.rev.Offset, c.at)
		return []Event{Refreshed{c.id, c.rev.Number, c.rev.Hash}}
	case c.rev.Parent != current:
		return []Event{s.rejected(c.id, c.rev, fmt.Sprintf("its parent is revision %d, but %d is in force", c.rev.Parent, current))}
	case c.rev.Number != current+1:
		return []Event{s.rejected(c.id, c.rev, fmt.Sprintf("its number is %d, but its parent's is %d", c.rev.Number, current))}
	}
	events := s.advance(newRevision(c.rev))
	s.copyAt(c.rev.Offset, c.at)
	return append([]Event{Accepted{c.id, s.head}}, events...)
}

// advance makes rev the newest revision by the log.
func (s *State) advance(rev *Revision) []Event {
	s.head, s.copied = rev, NewestCopy{}
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

// copyAt notes a copy of the newest revision. After a gap copies may come to
// light out of order.
func (s *State) copyAt(offset uint64, at time.Time) {
	if s.copied.Time.IsZero() || offset > s.copied.Offset {
		s.copied = NewestCopy{offset, at}
	}
}

func (s *State) rejected(id string, rev *pb.SignedRevision, reason string) Rejected {
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

func (s *State) raise(model string, version uint64) []Event {
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
