package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"dandelionsill.org/decide/poison"
)

// TrackedRequest is a request that is being sent to servers. Its fingerprint is computed when
// it is first needed: nothing is hashed while no request is suspected. It is safe for
// concurrent use. A nil TrackedRequest is one that is never suspected.
type TrackedRequest struct {
	q           *Quarantine
	fingerprint func() poison.Fingerprint
	crashed     atomic.Bool // a server crashed while it ran the request for this process
}

// Track returns a request with a content, by which it is recognised when its caller retries.
// content is called at most once.
func (q *Quarantine) Track(content func() poison.Content) *TrackedRequest {
	return &TrackedRequest{q: q, fingerprint: sync.OnceValue(func() poison.Fingerprint {
		c := content()
		return c.Fingerprint()
	})}
}

// Fingerprint returns the request's fingerprint.
func (r *TrackedRequest) Fingerprint() poison.Fingerprint {
	if r == nil {
		return ""
	}
	return r.fingerprint()
}

// Verdict returns the current verdict on the request. Call it
// before each attempt, because other processes may have reported crashes since the last one.
func (r *TrackedRequest) Verdict() poison.Verdict {
	if r == nil || r.q.Empty() {
		return poison.Clear
	}
	return r.q.Verdict(r.fingerprint())
}

// RecordRefusal counts the refusal of the request and returns how long it stays in quarantine.
func (r *TrackedRequest) RecordRefusal() time.Duration { return r.q.RecordRefusal(r.fingerprint()) }

// RecordCrash records that a server crashed while it ran the request.
func (r *TrackedRequest) RecordCrash(server string) {
	if r == nil {
		return
	}
	r.crashed.Store(true)
	r.q.RecordCrash(r.fingerprint(), server)
}

// RecordNoAnswer records that an attempt ended without an answer from a server.
func (r *TrackedRequest) RecordNoAnswer() {
	if r != nil && r.crashed.Load() {
		r.q.RecordNoAnswer(r.fingerprint())
	}
}

// RecordCompletion records that a server ran the request to its end. It also clears a request
// whose crashes are attributed to another one, because it may see more crashes later.
func (r *TrackedRequest) RecordCompletion() {
	if r != nil && !r.q.Empty() {
		r.q.RecordCompletion(r.fingerprint())
	}
}
