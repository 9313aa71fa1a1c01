package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"dandelionsill.org/decide/poison"
)

// TrackedRequest is one request on its way, as a quarantine sees it. Its name is made once it
// is needed: nothing is hashed while nothing is known against any request. It is safe
// for concurrent use.
type TrackedRequest struct {
	q           *Quarantine
	fingerprint func() poison.Fingerprint
	crashed     atomic.Bool // a server ended under it here
}

// Track returns a request by its content, which is what makes it the same one when its
// caller asks again.
func (q *Quarantine) Track(content func() poison.Content) *TrackedRequest {
	return &TrackedRequest{q: q, fingerprint: sync.OnceValue(func() poison.Fingerprint {
		c := content()
		return c.Fingerprint()
	})}
}

// Fingerprint returns the request's name.
func (s *TrackedRequest) Fingerprint() poison.Fingerprint { return s.fingerprint() }

// Verdict returns what may be done with the request now; one that nobody guards (nil) is
// clear. It is asked before each try: what another process saw may have become known
// since the last.
func (s *TrackedRequest) Verdict() poison.Verdict {
	if s == nil || s.q.Empty() {
		return poison.Clear
	}
	return s.q.Verdict(s.fingerprint())
}

// RecordRefusal returns how long the request, which is refused, stays in quarantine.
func (s *TrackedRequest) RecordRefusal() time.Duration { return s.q.RecordRefusal(s.fingerprint()) }

// RecordCrash notes that a server ended under the request.
func (s *TrackedRequest) RecordCrash(server string) {
	s.crashed.Store(true)
	s.q.RecordCrash(s.fingerprint(), server)
}

// RecordNoAnswer notes that an attempt ended without any server's answer.
func (s *TrackedRequest) RecordNoAnswer() {
	if s.crashed.Load() {
		s.q.RecordNoAnswer(s.fingerprint())
	}
}

// RecordCompletion notes that a server ran the request to its end. That counts also for one
// whose servers' ends are attributed to another: more may end under it later.
func (s *TrackedRequest) RecordCompletion() {
	if !s.q.Empty() {
		s.q.RecordCompletion(s.fingerprint())
	}
}
