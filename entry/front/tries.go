package front

import (
	"context"

	"dandelionsill.org/decide/route"
	"dandelionsill.org/kinds"
	"dandelionsill.org/quarantine"
)

// Tries decides whether a request may go to another server, and what its
// caller is told when it may not.
type Tries struct {
	*Request
	// Repeatable: the request may run more than once.
	Repeatable bool
	// Max bounds the tries.
	Max int

	count      int
	mayHaveRun bool
	unreached  bool // the last try reached no server
	tried      map[string]bool
	domains    map[string]bool
	subject    *quarantine.TrackedRequest // set by Guard
}

// NewTries returns the tries of a request, none made yet.
func NewTries(r *Request, repeatable bool, most int) *Tries {
	return &Tries{Request: r, Repeatable: repeatable, Max: most, tried: map[string]bool{}, domains: map[string]bool{}}
}

// Count is the number of tries that have begun.
func (t *Tries) Count() int { return t.count }

// Route is what routing must know of the request.
func (t *Tries) Route() *route.Request {
	return &route.Request{Left: t.Left(), Tried: t.tried, TriedDomains: t.domains}
}

// Begin counts a try at a server.
func (t *Tries) Begin() {
	t.count++
	if t.Repeatable {
		t.Held.Send()
	}
}

// Broke says that a try ended without the server's reply. From here on no
// later server's "not run" may reach the caller: it speaks for that server only.
func (t *Tries) Broke() { t.mayHaveRun = true }

// Unreached says that no connection to the server could carry the try: nothing
// of it went on. It returns the proof.
func (t *Tries) Unreached(server string, cause error) *kinds.Error {
	t.unreached = true
	err := kinds.Hold().Refuse(kinds.NotReady, "%s can't be reached", server).WithCause(cause)
	t.Refused(err)
	return err
}

// Refused takes a server's refusal in; one with proof gives the custody back.
func (t *Tries) Refused(err *kinds.Error) {
	if !t.mayHaveRun {
		t.Held.Return(err)
	}
}

// Again tells whether the request may go to another server after err.
func (t *Tries) Again(ctx context.Context, err error, server, domain string) bool {
	t.tried[server] = true
	e, ok := kinds.As(err)
	if ok && e.Ended() != "" {
		t.subject.RecordCrash(e.Ended())
	}
	if !ok || ctx.Err() != nil {
		return false
	}
	if !e.NotRun() && !t.Repeatable {
		return false
	}
	unreached := t.unreached
	t.unreached = false
	if unreached {
		t.domains[domain] = true
	}
	if e.NotRun() && (unreached || kinds.NotRunKind(e.Kind()) == kinds.Leaving) {
		// Free: a planned stop must not use up the budget for failures, neither
		// while the agent refuses nor once it has gone and its connections are
		// refused. It costs no server anything, and each is tried once at most.
		t.count--
		return true
	}
	if serverBroke(e) {
		t.domains[domain] = true
	}
	return t.count < t.Max && repeatElsewhere(e) && t.Retry()
}

// serverBroke tells whether a server failed, rather than refused: its failure
// domain may be failing too.
func serverBroke(e *kinds.Error) bool {
	return e.Kind() == string(kinds.BackendFailed) || e.Kind() == string(kinds.NotReady)
}

// repeatElsewhere tells whether another server may do better.
func repeatElsewhere(e *kinds.Error) bool {
	switch kinds.Kind(e.Kind()) {
	case kinds.BackendFailed, kinds.DeadlineExceeded:
		return true
	}
	return e.Answer().Retry == kinds.Entry
}

// Final is what the caller is told after the last try's error.
func (t *Tries) Final(ctx context.Context, err error) error {
	if !t.mayHaveRun {
		return err
	}
	if ctx.Err() == context.Canceled {
		return kinds.New(kinds.Cancelled, "the caller went away").WithCause(err)
	}
	if ctx.Err() != nil {
		return t.OutOfTime(err)
	}
	if e, ok := kinds.As(err); ok && e.NotRun() {
		return kinds.New(kinds.BackendFailed, "no server gave a whole answer").WithCause(err)
	}
	return err
}

// OutOfTime is the answer when the deadline passes between two tries; last is
// the last try's error, nil where there was none.
func (t *Tries) OutOfTime(last error) error {
	if t.mayHaveRun {
		return kinds.New(kinds.DeadlineExceeded, "the deadline passed").WithCause(last)
	}
	return t.Held.Refuse(kinds.DeadlineTooShort, "the deadline passed before a server took the request").WithCause(last)
}
