// Package steps folds the log's stream "steps" into who owns each step. It is
// pure: any two readers at the same offset agree.
//
// An entry that takes a step writes one claim. The greater attempt wins, and
// of two claims of one attempt the first in the log.
//
// Why the first: an attempt is the trainer's own word, and its client raises
// it whenever it turns to another entry. So two entries claim one attempt only
// where the network or the balancer delivered one POST twice, and the late
// copy may come in the middle of the step. With the first claim as winner an
// owner whose claim stands is only ever replaced by the trainer's word: a late
// copy, or the append of an owner that was paused, changes nothing. The entry
// whose claim comes second stops and answers "superseded". If the trainer
// happens to talk to that one, it posts a greater attempt, which beats both:
// a repost, never a sample. With the last claim as winner a copy delayed by a
// minute would take the step from the owner that the trainer talks to.
//
// The claim's offset is what makes the order the same for all readers. Agents
// order owners by the attempt alone, so no offset is needed there.
package steps

import (
	"encoding/json"

	"dandelionsill.org/platform"
)

// keepPerTrainer bounds the state: a trainer works on few steps at a time,
// and a step that far behind its newest is over.
const keepPerTrainer = 64

const claimType = "claim"

// Key names a step.
type Key struct {
	Trainer string
	Step    uint64
}

// Epoch names an ownership of a step.
type Epoch struct {
	Attempt uint64
	Claim   uint64 // offset of the claim's record plus one; 0: none in the log
}

// Owner is who owns a step.
type Owner struct {
	Entry string
	Epoch Epoch
}

// Claim is the record that an entry appends. ID is unique to one claim and
// the same in each try to append it.
type Claim struct {
	ID      string `json:"id"`
	Type    string `json:"type"`
	Trainer string `json:"trainer"`
	Step    uint64 `json:"step"`
	Attempt uint64 `json:"attempt"`
	Entry   string `json:"entry"`
}

// Encode returns the claim as a record's data.
func Encode(c Claim) []byte {
	c.Type = claimType
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return data
}

// ClaimNumber returns the Epoch.Claim of a record at an offset. It is the offset
// plus one, since zero means "no claim" and the first record has offset zero.
func ClaimNumber(offset uint64) uint64 { return offset + 1 }

// Change tells that a claim was folded.
type Change struct {
	Key   Key
	Claim Claim
	// Owner after the claim; the claim lost where it names another.
	Owner Owner
}

type trainer struct {
	newest uint64
	steps  map[uint64]Owner
}

// State is the fold. Not safe for concurrent use.
type State struct {
	next     uint64
	trainers map[string]*trainer
}

// New returns the state before the first record.
func New() *State { return &State{trainers: map[string]*trainer{}} }

// Owner returns the step's owner, if it is known.
func (s *State) Owner(k Key) (Owner, bool) {
	t := s.trainers[k.Trainer]
	if t == nil {
		return Owner{}, false
	}
	o, ok := t.steps[k.Step]
	return o, ok
}

// Next returns the offset after the last folded record.
func (s *State) Next() uint64 { return s.next }

// Apply folds one record. It returns false for a record that says nothing new:
// one read before, of a step long gone, or of another type. A claim that was
// appended twice, as after a lost answer, is reported twice and changes nothing
// the second time: its attempt is not greater than its own.
func (s *State) Apply(rec platform.Record) (Change, bool) {
	if rec.Offset < s.next {
		return Change{}, false
	}
	s.next = rec.Offset + 1
	var c Claim
	if json.Unmarshal(rec.Data, &c) != nil || c.Type != claimType || c.ID == "" || c.Attempt == 0 {
		return Change{}, false
	}
	t := s.trainers[c.Trainer]
	if t == nil {
		t = &trainer{steps: map[uint64]Owner{}}
		s.trainers[c.Trainer] = t
	}
	if t.old(c.Step) {
		return Change{}, false
	}
	t.newest = max(t.newest, c.Step)
	if c.Attempt > t.steps[c.Step].Epoch.Attempt {
		t.steps[c.Step] = Owner{Entry: c.Entry, Epoch: Epoch{Attempt: c.Attempt, Claim: ClaimNumber(rec.Offset)}}
	}
	t.prune()
	return Change{Key: Key{c.Trainer, c.Step}, Claim: c, Owner: t.steps[c.Step]}, true
}

func (t *trainer) old(step uint64) bool {
	return t.newest >= keepPerTrainer && step <= t.newest-keepPerTrainer
}

func (t *trainer) prune() {
	if len(t.steps) <= keepPerTrainer {
		return
	}
	for step := range t.steps {
		if t.old(step) {
			delete(t.steps, step)
		}
	}
}
