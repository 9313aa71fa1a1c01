package forward

import (
	"net/http"

	"go.uber.org/zap"

	"dandelionsill.org/decide/poison"
	"dandelionsill.org/kinds"
	"dandelionsill.org/quarantine"
)

// newSubject is the call as the quarantine sees it.
func (f *Forwarder) newSubject(c *Call) *quarantine.Subject {
	return f.Quarantine.Subject(func() poison.Content {
		return poison.Content{Caller: c.Organisation + poison.CallerOf(c.Header), Method: c.Method, Host: c.Host, URI: c.URI, Body: c.Body}
	})
}

// isSuspect tells whether the request may go to one server at a time only: a hedge or a
// second try beside the first would end two servers at once.
func (s *callState) isSuspect() bool { return s.subject.Verdict() != poison.Clear }

// isQuarantined tells whether the request may go to no server.
func (s *callState) isQuarantined() bool { return s.subject.Verdict() == poison.Quarantined }

// recordCrash notes that a server ended under the call.
func (s *callState) recordCrash(c *choice) {
	s.forwarder.log.Warn("A server ended under a request.", zap.String("id", s.call.ID), zap.String("request", string(s.subject.Name())),
		zap.String("service", s.service), zap.String("server", c.server.ID), zap.Int("others", c.load))
	s.subject.Ended(c.server.ID)
}

// reportResult tells the quarantine how the call ended. A failure that a server answered says
// neither: one that is overloaded answers so without having run the request.
func (s *callState) reportResult(reply *Reply) {
	switch {
	case reply != nil && reply.Status < http.StatusInternalServerError:
		s.subject.Survived()
	case reply == nil:
		s.subject.GaveUp()
	}
}

// noServerError is the answer to a request that goes to no server, or to no further one.
func (s *callState) noServerError() *kinds.Error {
	if !s.isQuarantined() {
		return s.refuse(kinds.NoServer, "no server of the service takes work")
	}
	return s.refuse(kinds.Quarantined, "each server that ran request "+string(s.subject.Name())+" crashed").WithRetryAfter(s.subject.Refused())
}
