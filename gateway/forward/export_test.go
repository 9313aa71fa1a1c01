package forward

import (
	"context"
	"net/http"
	"time"

	"dandelionsill.org/decide/evidence"
	"dandelionsill.org/decide/members"
	"dandelionsill.org/gateway/backend"
	broker "dandelionsill.org/gateway/permits"
)

// Decide lets a call that is at a number of servers get the answer to its ask, and returns the number
// of its attempts and asks from then on.
func (f *Forwarder) Decide(ctx context.Context, call Call, inFlight int, permit *broker.Permit, err error) int {
	return f.step(call, func(s *callState) {
		s.asking, s.inFlight, s.mayHaveRun = 1, inFlight, inFlight
		s.handlePermitAnswer(ctx, permitAnswer{permit: permit, err: err})
	})
}

// Refuse lets a new call get the refusal of its first server, and returns the number of attempts and
// asks that it starts.
func (f *Forwarder) Refuse(ctx context.Context, call Call) int {
	return f.step(call, func(s *callState) {
		s.inFlight, s.mayHaveRun = 1, 1
		s.handleOutcome(ctx, outcome{notRun: true, reply: &Reply{Status: http.StatusServiceUnavailable}})
	})
}

// RefuseHedge lets a call that its first server failed get the refusal of a permit for a hedge, and
// returns the number of attempts and asks that it starts.
func (f *Forwarder) RefuseHedge(ctx context.Context, call Call) int {
	return f.step(call, func(s *callState) {
		s.asking, s.mayHaveRun = 1, 1
		s.handlePermitAnswer(ctx, permitAnswer{noWait: true, refusal: &broker.Refusal{}})
	})
}

func (f *Forwarder) step(call Call, do func(*callState)) int {
	s := f.newCallState(call)
	defer s.usage.Done()
	s.outcomes = make(chan outcome, 1)
	s.hedge = time.NewTimer(time.Hour)
	defer s.hedge.Stop()
	do(s)
	return s.inFlight + s.asking
}

// UnsentOutcome returns the evidence of an attempt whose connection was not opened.
func UnsentOutcome(ctxDone bool, took time.Duration) evidence.Outcome {
	return outcomeOf(&outcome{err: backend.ErrNotSent, notRun: true, ctxDone: ctxDone, took: took})
}

// IsChecked reports whether requests to the server are checked before they are sent.
func (f *Forwarder) IsChecked(server members.Server) bool {
	return f.cold.beforeSend(&Call{}, server) != nil
}

// MaySend reports whether a call with a permit that was granted at a time may be sent to the server now.
func (f *Forwarder) MaySend(call Call, server members.Server, grantedAt time.Time) bool {
	call.grantedAt = grantedAt
	return f.cold.beforeSend(&call, server)()
}
