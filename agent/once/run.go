package once

import (
	"container/list"
	"context"
	"net/http"

	fold "dandelionsill.org/fold/once"
	"dandelionsill.org/kinds"
)

// answerOverhead is the number of bytes counted for each held answer in addition to
// its headers and body.
const answerOverhead = 512

// Answer is a backend server's complete answer. It is immutable.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// size returns the number of bytes counted for a held answer.
func (a *Answer) size() int64 {
	n := answerOverhead + len(a.Body)
	for name, values := range a.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return int64(n)
}

// runState is the state of a run.
type runState uint8

const (
	reserved   runState = iota // owned by this incarnation, not sent
	started                    // may have been sent
	finished                   // the complete answer was received
	answerLost                 // sent, but no complete answer was received
)

// Run is the exclusive right to run one key's request, and later its result. Unless
// it is released, it stays in the table for the key window, because an owned key
// without a Run counts as unstarted.
type Run struct {
	table *Table
	key   fold.Key
	hash  fold.Hash

	// Guarded by table.mu:
	state       runState
	answer      *Answer
	heldElement *list.Element // in table.heldRuns while answer is held

	done chan struct{} // closed when the run is released or has ended
}

// reserve creates the run of an unstarted key. t.mu is held.
func (t *Table) reserve(r Request) *Run {
	run := &Run{table: t, key: r.Key, hash: r.Hash, done: make(chan struct{})}
	t.runs[r.Key] = run
	return run
}

// Start records that the request is about to be sent. It must be called before the
// first byte goes to the backend server. After Start, Release may be called only
// with proof that nothing was sent.
func (r *Run) Start() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.state = started
}

// Release returns the key to the unstarted state. It may be called only with proof
// that no byte of the request was sent to the backend server.
func (r *Run) Release() {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.runs, r.key)
	close(r.done)
}

// Finish ends the run with its complete answer, which is held for repeats.
func (r *Run) Finish(a *Answer) {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	r.state = finished
	t.holdAnswer(r, a)
	close(r.done)
}

// FinishUnknown ends the run without an answer: the request may have run. Repeats
// get outcome_unknown.
func (r *Run) FinishUnknown() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.state = answerLost
	close(r.done)
}

// holdAnswer keeps an answer for repeats and evicts the least recently used answers
// beyond MaxHeldBytes. t.mu is held.
func (t *Table) holdAnswer(r *Run, a *Answer) {
	r.answer = a
	r.heldElement = t.heldRuns.PushFront(r)
	t.heldBytes += a.size()
	for t.heldBytes > t.cfg.MaxHeldBytes {
		t.dropAnswer(t.heldRuns.Back().Value.(*Run))
	}
}

// dropAnswer removes a run's held answer but keeps the run. t.mu is held.
func (t *Table) dropAnswer(r *Run) {
	t.heldRuns.Remove(r.heldElement)
	t.heldBytes -= r.answer.size()
	r.answer, r.heldElement = nil, nil
}

// dropExpiredRuns removes ended runs whose keys are older than the key window. find
// refuses such keys before it looks for a run. t.mu is held.
func (t *Table) dropExpiredRuns() {
	for key, r := range t.runs {
		ended := r.state == finished || r.state == answerLost
		if !ended || t.keys.Find(key).Status != fold.TooOld {
			continue
		}
		if r.answer != nil {
			t.dropAnswer(r)
		}
		delete(t.runs, key)
	}
}

// wait waits until another attempt's run is released or has ended. Its error is
// never "not run": that run is of the same request and may still start.
func wait(ctx context.Context, r *Run) *kinds.Error {
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
	}
	if ctx.Err() == context.Canceled {
		return kinds.New(kinds.Cancelled, "the caller went away while an earlier try had the key")
	}
	return kinds.New(kinds.OutcomeUnknown, "an earlier try of the key has not ended")
}
