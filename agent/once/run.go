package once

import (
	"container/list"
	"context"
	"net/http"

	fold "dandelionsill.org/fold/once"
	"dandelionsill.org/kinds"
)

// answerOverhead is counted for each held answer besides its bytes.
const answerOverhead = 512

// Answer is a backend server's whole answer. It is immutable.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

func (a *Answer) size() int64 {
	n := answerOverhead + len(a.Body)
	for name, values := range a.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return int64(n)
}

type runState uint8

const (
	reserved   runState = iota // owned, not sent
	started                    // may have been sent
	finished                   // the whole answer came
	answerLost                 // sent, and the answer did not come
)

// Run is the right to run one key's request, and later its result. It stays in
// the table for the key window: a key without a Run counts as unstarted.
type Run struct {
	table *Table
	key   fold.Key
	hash  fold.Hash

	// Guarded by table.mu.
	state       runState
	answer      *Answer
	heldElement *list.Element // in table.held while answer is held

	done chan struct{} // closed when the run is released or over
}

// reserve makes the run of an unstarted key. t.mu is held.
func (t *Table) reserve(r Request) *Run {
	run := &Run{table: t, key: r.Key, hash: r.Hash, done: make(chan struct{})}
	t.runs[r.Key] = run
	return run
}

// Start notes that the request goes to the backend server. It is called before
// the first byte does: from here on only Release, with proof, undoes it.
func (r *Run) Start() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.state = started
}

// Release gives the key back as unstarted. The caller has proof that no byte
// of the request went to the backend server.
func (r *Run) Release() {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.runs, r.key)
	close(r.done)
}

// Finish ends the run with its whole answer, which is held for repeats.
func (r *Run) Finish(a *Answer) {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	r.state = finished
	t.holdAnswer(r, a)
	close(r.done)
}

// FinishUnknown ends the run without an answer: it may have run. Every repeat is told so.
func (r *Run) FinishUnknown() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.state = answerLost
	close(r.done)
}

// holdAnswer keeps an answer and evicts the least recently used ones beyond the bound.
func (t *Table) holdAnswer(r *Run, a *Answer) {
	r.answer = a
	r.heldElement = t.heldRuns.PushFront(r)
	t.heldBytes += a.size()
	for t.heldBytes > t.cfg.MaxHeldBytes {
		t.dropAnswer(t.heldRuns.Back().Value.(*Run))
	}
}

// dropAnswer forgets a held answer, not the run.
func (t *Table) dropAnswer(r *Run) {
	t.heldRuns.Remove(r.heldElement)
	t.heldBytes -= r.answer.size()
	r.answer, r.heldElement = nil, nil
}

// dropExpiredRuns forgets runs whose keys are too old to be asked for: the fold answers
// for those before any run is looked for. t.mu is held.
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

// wait waits for another try's run. Its error is never "not run": even if that
// run has not started yet, it may, and the caller asked for the same request.
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
