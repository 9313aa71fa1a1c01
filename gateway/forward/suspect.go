package forward

import (
	"net/http"

	"go.uber.org/zap"

	"dandelionsill.org/decide/poison"
	"dandelionsill.org/kinds"
	"dandelionsill.org/quarantine"
)

// subject is the call as the quarantine sees it.
func (f *Forwarder) subject(c *Call) *quarantine.TrackedRequest {
	return f.Quarantine.Track(func() poison.Content {
		return poison.Content{Caller: c.Organisation + poison.CallerFromHeader(c.Header), Method: c.Method, Host: c.Host, URI: c.URI, Body: c.Body}
	})
}

// suspected tells whether the request may go to one server at a time only: a hedge or a
// second try beside the first would end two servers at once.
func (s *sending) suspected() bool { return s.subject.Verdict() != poison.Clear }

// quarantined tells whether the request may go to no server.
func (s *sending) quarantined() bool { return s.subject.Verdict() == poison.Quarantined }

// serverEnded notes that a server ended under the call.
func (s *sending) serverEnded(c *choice) {
	s.f.log.Warn("A server ended under a request.", zap.String("id", s.call.ID), zap.String("request", string(s.subject.Fingerprint())),
		zap.String("service", s.service), zap.String("server", c.server.ID), zap.Int("others", c.load))
	s.subject.RecordCrash(c.server.ID)
}

// judge tells the quarantine how the call ended. A failure that a server answered says
// neither: one that is overloaded answers so without having run the request.
func (s *sending) judge(reply *Reply) {
	switch {
	case reply != nil && reply.Status < http.StatusInternalServerError:
		s.subject.RecordCompletion()
	case reply == nil:
		s.subject.RecordNoAnswer()
	}
}

// noServer is the answer to a request that goes to no server, or to no further one.
func (s *sending) noServer() *kinds.Error {
	if !s.quarantined() {
		return s.refuse(kinds.NoServer, "no server of the service takes work")
	}
	return s.refuse(kinds.Quarantined, "each server that ran request "+string(s.subject.Fingerprint())+" crashed").WithRetryAfter(s.subject.RecordRefusal())
}
