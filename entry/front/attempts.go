package front

import (
	"context"

	"dandelionsill.org/decide/route"
	"dandelionsill.org/kinds"
	"dandelionsill.org/quarantine"
)

// Attempts decides whether a request may go to another server, and what its
// caller is told when it may not.
type Attempts struct {
	*Request
	// Repeatable: the request may run more than once.
	Repeatable bool
	// MaxAttempts bounds the tries.
	MaxAttempts int

	count           int
	mayHaveRun      bool
	lastUnreachable bool // the last try reached no server
	triedServers    map[string]bool
	failedDomains   map[string]bool
	tracked         *quarantine.TrackedRequest // set by Guard
}

// NewAttempts returns the tries of a request, none made yet.
func NewAttempts(r *Request, repeatable bool, maxAttempts int) *Attempts {
	return &Attempts{Request: r, Repeatable: repeatable, MaxAttempts: maxAttempts, triedServers: map[string]bool{}, failedDomains: map[string]bool{}}
}

// Count is the number of tries that have begun.
func (a *Attempts) Count() int { return a.count }

// Route is what routing must know of the request.
func (a *Attempts) Route() *route.Request {
	return &route.Request{Remaining: a.Remaining(), Tried: a.triedServers, TriedDomains: a.failedDomains}
}

// StartAttempt counts a try at a server.
func (a *Attempts) StartAttempt() {
	a.count++
	if a.Repeatable {
		a.Held.Send()
	}
}

// RecordMayHaveRun says that a try ended without the server's reply. From here on no
// later server's "not run" may reach the caller: it speaks for that server only.
func (a *Attempts) RecordMayHaveRun() { a.mayHaveRun = true }

// RecordUnreachable says that no connection to the server could carry the try: nothing
// of it went on. It returns the proof.
func (a *Attempts) RecordUnreachable(server string, cause error) *kinds.Error {
	a.lastUnreachable = true
	err := kinds.Hold().Refuse(kinds.NotReady, "%s can't be reached", server).WithCause(cause)
	a.RecordRefusal(err)
	return err
}

// RecordRefusal takes a server's refusal in; one with proof gives the custody back.
func (a *Attempts) RecordRefusal(err *kinds.Error) {
	if !a.mayHaveRun {
		a.Held.Return(err)
	}
}

// ShouldRetry tells whether the request may go to another server after err.
func (a *Attempts) ShouldRetry(ctx context.Context, err error, server, domain string) bool {
	a.triedServers[server] = true
	e, ok := kinds.As(err)
	if ok && e.Ended() != "" {
		a.tracked.RecordCrash(e.Ended())
	}
	if !ok || ctx.Err() != nil {
		return false
	}
	if !e.NotRun() && !a.Repeatable {
		return false
	}
	unreachable := a.lastUnreachable
	a.lastUnreachable = false
	if unreachable {
		a.failedDomains[domain] = true
	}
	if e.NotRun() && (unreachable || kinds.NotRunKind(e.Kind()) == kinds.Leaving) {
		// Free: a planned stop must not use up the budget for failures, neither
		// while the agent refuses nor once it has gone and its connections are
		// refused. It costs no server anything, and each is tried once at most.
		a.count--
		return true
	}
	if isServerFailure(e) {
		a.failedDomains[domain] = true
	}
	return a.count < a.MaxAttempts && isRetryableElsewhere(e) && a.TakeRetry()
}

// isServerFailure tells whether a server failed, rather than refused: its failure
// domain may be failing too.
func isServerFailure(e *kinds.Error) bool {
	return e.Kind() == string(kinds.BackendFailed) || e.Kind() == string(kinds.NotReady)
}

// isRetryableElsewhere tells whether another server may do better.
func isRetryableElsewhere(e *kinds.Error) bool {
	switch kinds.Kind(e.Kind()) {
	case kinds.BackendFailed, kinds.DeadlineExceeded:
		return true
	}
	return e.Answer().Retry == kinds.Entry
}

// FinalError is what the caller is told after the last try's error.
func (a *Attempts) FinalError(ctx context.Context, err error) error {
	if !a.mayHaveRun {
		return err
	}
	if ctx.Err() == context.Canceled {
		return kinds.New(kinds.Cancelled, "the caller went away").WithCause(err)
	}
	if ctx.Err() != nil {
		return a.DeadlineError(err)
	}
	if e, ok := kinds.As(err); ok && e.NotRun() {
		return kinds.New(kinds.BackendFailed, "no server gave a whole answer").WithCause(err)
	}
	return err
}

// DeadlineError is the answer when the deadline passes between two tries; last is
// the last try's error, nil where there was none.
func (a *Attempts) DeadlineError(lastErr error) error {
	if a.mayHaveRun {
		return kinds.New(kinds.DeadlineExceeded, "the deadline passed").WithCause(lastErr)
	}
	return a.Held.Refuse(kinds.DeadlineTooShort, "the deadline passed before a server took the request").WithCause(lastErr)
}
