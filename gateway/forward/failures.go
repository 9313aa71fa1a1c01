package forward

import (
	"context"
	"time"

	"dandelionsill.org/kinds"
)

// finalFailure returns the result of a call that no further attempt is made for: the
// last failure that a server answered, or else an error.
func (s *callState) finalFailure() (*Reply, *kinds.Error, bool) {
	if s.lastFailure != nil {
		s.lastFailure.reply.Failures = s.failures
		return s.lastFailure.reply, nil, true
	}
	if refused := s.refuseStopping(); refused != nil {
		return nil, refused, true
	}
	if s.isQuarantined() || s.mayHaveRun == 0 && s.lacksRegion() {
		return nil, s.noServerError(), true
	}
	if s.mayHaveRun == 0 && s.refusal != nil {
		return nil, s.permitError(), true
	}
	if s.mayHaveRun == 0 {
		return nil, s.refuse(kinds.Overloaded, "all servers refused the request"), true
	}
	return nil, kinds.New(kinds.OutcomeUnknown, "no whole answer of the servers asked: %v", s.asked), true
}

// contextError returns the error of a call whose ctx has ended: the caller
// disconnected, or the deadline passed.
func (s *callState) contextError(ctx context.Context) *kinds.Error {
	if ctx.Err() == context.Canceled {
		if s.inFlight > 0 {
			s.usage.RecordExecution(time.Since(s.start))
		}
		return kinds.New(kinds.Cancelled, "the caller has gone")
	}
	if s.mayHaveRun == 0 {
		return s.refuse(kinds.Overloaded, "no server took the request in time")
	}
	return kinds.New(kinds.DeadlineExceeded, "no answer within %v of the servers asked: %v", time.Since(s.start).Round(time.Millisecond), s.asked)
}

// refuse returns a "not run" error, which becomes "outcome unknown" if an attempt may
// have run.
func (s *callState) refuse(kind kinds.NotRunKind, reason string) *kinds.Error {
	if s.mayHaveRun > 0 {
		s.held.MarkSent()
	}
	return s.held.Refuse(kind, "%s", reason).WithRetryAfter(retryAfter)
}
