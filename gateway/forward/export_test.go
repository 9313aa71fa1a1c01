package forward

import (
	"context"
	"time"

	broker "dandelionsill.org/gateway/permits"
)

// Decide lets a new call get the answer to its ask, and returns the number of attempts that it starts.
func (f *Forwarder) Decide(ctx context.Context, call Call, permit *broker.Permit, err error) int {
	s := f.newCallState(call)
	defer s.usage.Done()
	s.outcomes = make(chan outcome, 1)
	s.hedge = time.NewTimer(time.Hour)
	defer s.hedge.Stop()
	s.asking = 1
	s.handlePermitAnswer(ctx, permitAnswer{permit: permit, err: err})
	return s.inFlight
}
