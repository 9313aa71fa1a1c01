package forward

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"dandelionsill.org/decide/members"
	"dandelionsill.org/decide/poison"
	"dandelionsill.org/kinds"
	"dandelionsill.org/quarantine"
)

// newSubject returns the call's request as a subject of the quarantine; nil if it is no subject: a call for
// an accepted sample is owed like the sample, and is never what makes servers crash.
func (f *Forwarder) newSubject(c *Call) *quarantine.TrackedRequest {
	if c.Internal {
		return nil
	}
	return f.Quarantine.Track(func() poison.Content {
		return poison.Content{Caller: c.Organisation + poison.CallerFromHeader(c.Header), Method: c.Method, Host: c.Host, URI: c.URI, Body: c.Body}
	})
}

// isSuspect reports whether the request must be sent to one server at a time: with a
// hedge or a second attempt in parallel it could crash two servers at once.
func (s *callState) isSuspect() bool { return s.subject.Verdict() != poison.Clear }

// isQuarantined reports whether the request must not be sent to any server.
func (s *callState) isQuarantined() bool { return s.subject.Verdict() == poison.Quarantined }

// recordCrash records that a server crashed while it had the request.
func (s *callState) recordCrash(c *choice) {
	s.forwarder.log.Warn("A server ended under a request.", zap.String("id", s.call.ID), zap.String("request", string(s.subject.Fingerprint())),
		zap.String("service", s.service), zap.String("server", c.server.ID), zap.Int("others", c.load))
	s.subject.RecordCrash(c.server.ID)
}

// ServerCrashed reports whether the server's process ended, after a connection broke
// while it carried a request. A server that takes no work any more is expected to end, so its
// end is not counted as a crash.
func (f *Forwarder) ServerCrashed(ctx context.Context, service string, server members.Server) bool {
	listed, known := f.View.Current().Server(service, server.ID)
	return known && listed.TakesWork() && f.Pool.ServerEnded(ctx, server.Addr)
}

// reportResult reports the result of the call to the quarantine. Nothing is reported
// for a failure that a server answered: an overloaded server answers so without having
// run the request.
func (s *callState) reportResult(reply *Reply) {
	switch {
	case reply != nil && reply.Status < http.StatusInternalServerError:
		s.subject.RecordCompletion()
	case reply == nil:
		s.subject.RecordNoAnswer()
	}
}

// noServerError returns the error of a request for which no server is left, or which is
// quarantined.
func (s *callState) noServerError() *kinds.Error {
	switch {
	case s.isQuarantined():
		return s.refuse(kinds.Quarantined, "each server that ran request "+string(s.subject.Fingerprint())+" crashed").WithRetryAfter(s.subject.RecordRefusal())
	case s.lacksRegion():
		return s.noRegionError()
	case s.withheld > 0:
		return s.refuse(kinds.Overloaded, "the servers may be cold and have got their requests of this second")
	}
	return s.refuse(kinds.NoServer, "no server of the service takes work")
}
