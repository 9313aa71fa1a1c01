// Package steps computes the owner of each step from the log's stream "steps". It
// is pure: any two readers at the same offset agree.
//
// An entry that takes over a step appends one claim. The claim with the greatest
// attempt wins, and of several claims of one attempt the first in the log.
//
// The first one wins for the following reason. The trainer chooses the attempt,
// and its client raises it whenever it switches to another entry. So two entries
// claim one attempt only if the network or the balancer delivered one POST twice,
// and the late copy may arrive in the middle of the step. If the first claim wins,
// only a greater attempt, which the trainer chose, can replace an owner: a late
// copy, or the append of an owner that was suspended, changes nothing. The entry
// whose claim comes second stops and answers "superseded". If the trainer is
// connected to that entry, it posts a greater attempt, which wins over both; this
// costs a repeated POST but no sample. If the last claim won, a copy delayed by a
// minute would take the step from the owner that the trainer is connected to.
//
// The claim's offset makes the order of claims the same for all readers. Agents
// order owners by the attempt alone and need no offset.
package steps

import (
	"encoding/json"

	"dandelionsill.org/platform"
)

// maxStepsPerTrainer bounds the state. A trainer works on few steps at a time, and
// a step that is so many steps older than its newest has ended.
const maxStepsPerTrainer = 64

const claimType = "claim"

// Key identifies a step.
type Key struct {
	Trainer string
	Step    uint64
}

// Epoch identifies one ownership of a step.
type Epoch struct {
	Attempt uint64
	Claim   uint64 // offset of the claim's record plus one; 0: no claim in the log
}

// Owner is the owner of a step.
type Owner struct {
	Entry string
	Epoch Epoch
}

// Claim is the record that an entry appends. ID is unique to the claim and the
// same for each attempt to append it.
type Claim struct {
	ID      string `json:"id"`
	Type    string `json:"type"`
	Trainer string `json:"trainer"`
	Step    uint64 `json:"step"`
	Attempt uint64 `json:"attempt"`
	Entry   string `json:"entry"`
}

// Encode returns the record data of a claim.
func Encode(c Claim) []byte {
	c.Type = claimType
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return data
}

// ClaimNumber returns the value of Epoch.Claim for a claim at an offset. It is the
// offset plus one, because zero means "no claim" and the first offset is zero.
func ClaimNumber(offset uint64) uint64 { return offset + 1 }

// Change is a claim that was applied, with its outcome.
type Change struct {
	Key   Key
	Claim Claim
	// Owner is the step's owner after the claim. If it is another entry or epoch,
	// the claim lost.
	Owner Owner
}

// trainerState is the state of one trainer's steps.
type trainerState struct {
	newest uint64 // the highest step claimed
	steps  map[uint64]Owner
}

// State is the state after the records applied so far. It is not safe for
// concurrent use.
type State struct {
	next     uint64
	trainers map[string]*trainerState
}

// New returns the state before the first record.
func New() *State { return &State{trainers: map[string]*trainerState{}} }

// Owner returns the owner of a step, and whether it is known.
func (s *State) Owner(k Key) (Owner, bool) {
	t := s.trainers[k.Trainer]
	if t == nil {
		return Owner{}, false
	}
	o, ok := t.steps[k.Step]
	return o, ok
}

// Next returns the offset of the next record to apply.
func (s *State) Next() uint64 { return s.next }

// Apply applies one record. It returns false for a record that was applied before,
// whose step is too old, or that is not a valid claim. A claim that was appended
// twice, because the first response was lost, is returned twice and changes nothing
// the second time: its attempt is not greater than the owner's.
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
		t = &trainerState{steps: map[uint64]Owner{}}
		s.trainers[c.Trainer] = t
	}
	if t.isExpired(c.Step) {
		return Change{}, false
	}
	t.newest = max(t.newest, c.Step)
	if c.Attempt > t.steps[c.Step].Epoch.Attempt {
		t.steps[c.Step] = Owner{Entry: c.Entry, Epoch: Epoch{Attempt: c.Attempt, Claim: ClaimNumber(rec.Offset)}}
	}
	t.prune()
	return Change{Key: Key{c.Trainer, c.Step}, Claim: c, Owner: t.steps[c.Step]}, true
}

func (t *trainerState) isExpired(step uint64) bool {
	return t.newest >= maxStepsPerTrainer && step <= t.newest-maxStepsPerTrainer
}

func (t *trainerState) prune() {
	if len(t.steps) <= maxStepsPerTrainer {
		return
	}
	for step := range t.steps {
		if t.isExpired(step) {
			delete(t.steps, step)
		}
	}
}
