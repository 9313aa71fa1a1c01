package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"dandelionsill.org/decide/poison"
)

// Subject is one request on its way, as a quarantine sees it. Its name is made once it
// is needed: nothing is hashed while nothing is known against any request. It is safe
// for concurrent use.
type Subject struct {
	q     *Quarantine
	name  func() poison.Fingerprint
	ended atomic.Bool // a server ended under it here
}

// Subject returns a request by its content, which is what makes it the same one when its
// caller asks again.
func (q *Quarantine) Subject(content func() poison.Content) *Subject {
	return &Subject{q: q, name: sync.OnceValue(func() poison.Fingerprint {
		c := content()
		return c.Fingerprint()
	})}
}

// Name returns the request's name.
func (s *Subject) Name() poison.Fingerprint { return s.name() }

// Verdict returns what may be done with the request now; one that nobody guards (nil) is
// clear. It is asked before each try: what another process saw may have become known
// since the last.
func (s *Subject) Verdict() poison.Verdict {
	if s == nil || s.q.Empty() {
		return poison.Clear
	}
	return s.q.Verdict(s.name())
}

// Refused returns how long the request, which is refused, stays in quarantine.
func (s *Subject) Refused() time.Duration { return s.q.Refused(s.name()) }

// Ended notes that a server ended under the request.
func (s *Subject) Ended(server string) {
	s.ended.Store(true)
	s.q.Ended(s.name(), server)
}

// GaveUp notes that an attempt ended without any server's answer.
func (s *Subject) GaveUp() {
	if s.ended.Load() {
		s.q.GaveUp(s.name())
	}
}

// Survived notes that a server ran the request to its end. That counts also for one
// whose servers' ends are attributed to another: more may end under it later.
func (s *Subject) Survived() {
	if !s.q.Empty() {
		s.q.Survived(s.name())
	}
}
