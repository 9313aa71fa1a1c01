package forward

import (
	"net/http"

	"go.uber.org/zap"

	"dandelionsill.org/decide/poison"
	"dandelionsill.org/kinds"
)

// suspect is what one call has to do with servers that ended. All fields belong to the
// goroutine of its sending.
type suspect struct {
	request poison.Name // empty: not needed yet
	ended   bool        // a server ended under this call
}

// name returns the request's name. It is made only where something is known against
// some request, so that nothing is hashed on an ordinary day.
func (s *sending) name() poison.Name {
	if s.suspect.request == "" {
		c := &s.call
		content := poison.Content{Method: c.Method, Host: c.Host, URI: c.URI, Body: c.Body, Caller: poison.CallerOf(c.Header)}
		s.suspect.request = content.Name()
	}
	return s.suspect.request
}

func (s *sending) verdict() poison.Verdict {
	if s.f.Quarantine.Empty() {
		return poison.Clear
	}
	return s.f.Quarantine.Verdict(s.name())
}

// suspected tells whether the request may go to one server at a time only: a hedge or a
// second try beside the first would end two servers at once.
func (s *sending) suspected() bool { return s.verdict() != poison.Clear }

// quarantined tells whether the request may go to no server. It is asked before each
// try: what ended at another process may have become known since the last.
func (s *sending) quarantined() bool { return s.verdict() == poison.Quarantined }

// serverEnded notes that a server ended under the call.
func (s *sending) serverEnded(c *choice) {
	s.suspect.ended = true
	s.f.log.Warn("A server ended under a request.", zap.String("id", s.call.ID), zap.String("request", string(s.name())),
		zap.String("service", s.service), zap.String("server", c.server.ID), zap.Int("others", c.load))
	s.f.Quarantine.Ended(s.name(), c.server.ID)
}

// judge tells the quarantine how the call ended. A failure that a server answered says
// neither: one that is overloaded answers so without having run the request.
func (s *sending) judge(reply *Reply) {
	switch {
	case reply != nil && reply.Status < http.StatusInternalServerError:
		s.survived()
	case reply == nil && s.suspect.ended:
		s.f.Quarantine.GaveUp(s.name())
	}
}

// survived notes that a server ran the request to its end. That counts also for one
// whose servers' ends are attributed to another: more may end under it later.
func (s *sending) survived() {
	if !s.f.Quarantine.Empty() {
		s.f.Quarantine.Survived(s.name())
	}
}

// noServer is the answer to a request that goes to no server, or to no further one.
func (s *sending) noServer() *kinds.Error {
	if !s.quarantined() {
		return s.refuse(kinds.NoServer, "no server of the service takes work")
	}
	left := s.f.Quarantine.Refused(s.name())
	return s.refuse(kinds.Quarantined, "each server that ran request "+string(s.name())+" crashed").WithRetryAfter(left)
}
