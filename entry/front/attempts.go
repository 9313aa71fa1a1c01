package front

import (
	"context"

	"dandelionsill.org/decide/route"
	"dandelionsill.org/kinds"
	"dandelionsill.org/quarantine"
)

// Attempts counts the attempts of a request. It decides whether the request may be sent
// to another server, and which error the caller receives if not.
type Attempts struct {
	*Request
	// Repeatable reports that the request may run more than once.
	Repeatable bool
	// MaxAttempts is the maximum number of attempts.
	MaxAttempts int

	count           int
	mayHaveRun      bool
	lastUnreachable bool // the last attempt reached no server
	triedServers    map[string]bool
	failedDomains   map[string]bool
	tracked         *quarantine.TrackedRequest // set by UseQuarantine
}

// NewAttempts returns the Attempts of a request that has made none yet.
func NewAttempts(r *Request, repeatable bool, maxAttempts int) *Attempts {
	return &Attempts{Request: r, Repeatable: repeatable, MaxAttempts: maxAttempts, triedServers: map[string]bool{}, failedDomains: map[string]bool{}}
}

// Count returns the number of attempts started.
func (a *Attempts) Count() int { return a.count }

// Route returns the request as routing needs it.
func (a *Attempts) Route() *route.Request {
	return &route.Request{Remaining: a.Remaining(), Tried: a.triedServers, TriedDomains: a.failedDomains}
}

// StartAttempt counts an attempt at a server.
func (a *Attempts) StartAttempt() {
	a.count++
	if a.Repeatable {
		a.Held.MarkSent()
	}
}

// RecordMayHaveRun records that an attempt may have run: it ended without proof that it
// did not. From now on, the caller must not receive a later server's "not run", which
// covers only that server.
func (a *Attempts) RecordMayHaveRun() { a.mayHaveRun = true }

// RecordUnreachable records that the server could not be connected to, so that no byte
// of the request was sent. It returns the error with that proof.
func (a *Attempts) RecordUnreachable(server string, cause error) *kinds.Error {
	a.lastUnreachable = true
	err := kinds.Hold().Refuse(kinds.NotReady, "%s can't be reached", server).WithCause(cause)
	a.RecordRefusal(err)
	return err
}

// RecordRefusal records a server's refusal. If the refusal proves "not run", the entry
// has the proof for the request again.
func (a *Attempts) RecordRefusal(err *kinds.Error) {
	if !a.mayHaveRun {
		a.Held.RestoreProof(err)
	}
}

// ShouldRetry reports whether the request may be sent to another server after err.
func (a *Attempts) ShouldRetry(ctx context.Context, err error, server, domain string) bool {
	a.triedServers[server] = true
	e, ok := kinds.As(err)
	if ok && e.EndedServer() != "" {
		a.tracked.RecordCrash(e.EndedServer())
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
		// This attempt is not counted. A planned stop must not use up the retry budget,
		// which is for failures: neither while the agent refuses, nor after it has
		// stopped and its connections are refused. Such an attempt costs no server
		// anything, and each server is tried at most once.
		a.count--
		return true
	}
	if isServerFailure(e) {
		a.failedDomains[domain] = true
	}
	return a.count < a.MaxAttempts && isRetryableElsewhere(e) && a.TakeRetry()
}

// isServerFailure reports whether the server failed, rather than refused. In that case
// its failure domain may be failing too.
func isServerFailure(e *kinds.Error) bool {
	return e.Kind() == string(kinds.BackendFailed) || e.Kind() == string(kinds.NotReady)
}

// isRetryableElsewhere reports whether the request may succeed at another server.
func isRetryableElsewhere(e *kinds.Error) bool {
	switch kinds.Kind(e.Kind()) {
	case kinds.BackendFailed, kinds.DeadlineExceeded:
		return true
	}
	return e.Answer().Retry == kinds.Entry
}

// FinalError returns the error that the caller receives after err, the error of the last
// attempt.
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

// DeadlineError returns the error for a deadline that passes between two attempts.
// lastErr is the error of the last attempt, or nil if there was none.
func (a *Attempts) DeadlineError(lastErr error) error {
	if a.mayHaveRun {
		return kinds.New(kinds.DeadlineExceeded, "the deadline passed").WithCause(lastErr)
	}
	return a.Held.Refuse(kinds.DeadlineTooShort, "the deadline passed before a server took the request").WithCause(lastErr)
}
