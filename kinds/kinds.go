// Package kinds is the one closed list of error kinds, with the table from a
// kind to what a caller is told: HTTP status, gRPC code, whether the request
// is proven not to have run, and who may retry it.
//
// The promise behind it: when a request is refused as "not run", it truly did
// not run. The compiler carries most of it. A kind that says "not run" has the
// type NotRunKind, and an error of such a kind is made only by a *Held (the
// code still holds the unsent request) or decoded from the refusal of an agent
// that had one. New takes a Kind and so cannot make the claim.
package kinds

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"google.golang.org/grpc/codes"
)

// Kind names a kind of error that makes no claim of "not run".
type Kind string

// NotRunKind names a kind of error that says "not run".
type NotRunKind string

// Kinds without the claim.
const (
	// OutcomeUnknown: the request was sent and its answer was lost; it may
	// have run. Never retried by us.
	OutcomeUnknown Kind = "outcome_unknown"
	// BackendFailed: an idempotent request failed on every server tried.
	BackendFailed Kind = "backend_failed"
	// DeadlineExceeded: an idempotent request ran out of time after it was sent.
	DeadlineExceeded Kind = "deadline_exceeded"
	// SampleDiscarded: the sample's label or freshness could not be proved.
	SampleDiscarded Kind = "sample_discarded"
	// Superseded: a newer owner of the step has been seen.
	Superseded Kind = "superseded"
	// Cancelled: the caller went away or cancelled.
	Cancelled Kind = "cancelled"
	// Internal: a fault of ours.
	Internal Kind = "internal"
)

// Kinds that prove "not run".
const (
	BadRequest       NotRunKind = "bad_request"
	Unauthenticated  NotRunKind = "unauthenticated"
	Forbidden        NotRunKind = "forbidden"
	NotFound         NotRunKind = "not_found"
	TooLarge         NotRunKind = "too_large"
	KeyReused        NotRunKind = "key_reused"         // same idempotency key, other request
	KeyTooOld        NotRunKind = "key_too_old"        // key issued before the window; this try did not run, an earlier one may have
	ClaimedElsewhere NotRunKind = "claimed_elsewhere"  // another live agent owns the key
	RateLimited      NotRunKind = "rate_limited"       // the caller's own limit
	Overloaded       NotRunKind = "overloaded"         // queues are full
	DeadlineTooShort NotRunKind = "deadline_too_short" // can't be met; refused before queueing
	Leaving          NotRunKind = "leaving"            // the server takes no new work
	NoServer         NotRunKind = "no_server"          // nobody ready serves this now
	StaleWeights     NotRunKind = "stale_weights"      // no server is fresh enough yet
	LogUnavailable   NotRunKind = "log_unavailable"    // a claim can't be written now
	RevisionConflict NotRunKind = "revision_conflict"  // a commit lost the race
	NotReady         NotRunKind = "not_ready"          // the process is starting
	Quarantined      NotRunKind = "quarantined"        // each server that runs it crashes
)

// Retrier may repeat a refused or failed request.
type Retrier uint8

const (
	// NoRetry: a repeat would fail alike.
	NoRetry Retrier = iota
	// Entry: the entry itself goes to another backend server.
	Entry
	// Caller: the caller, after Retry-After.
	Caller
	// CallerSameKey: the caller, only with the same idempotency key.
	CallerSameKey
)

// Answer is a row of the table: what an error of a kind tells the caller.
type Answer struct {
	HTTP   int
	GRPC   codes.Code
	NotRun bool
	Retry  Retrier
	// RetryAfter is the advice when the error itself carries none; 0: no header.
	RetryAfter time.Duration
}

var table = map[string]Answer{
	string(OutcomeUnknown):   {http.StatusBadGateway, codes.Unknown, false, CallerSameKey, 0},
	string(BackendFailed):    {http.StatusBadGateway, codes.Unavailable, false, Caller, time.Second},
	string(DeadlineExceeded): {http.StatusGatewayTimeout, codes.DeadlineExceeded, false, Caller, time.Second},
	string(SampleDiscarded):  {http.StatusBadGateway, codes.DataLoss, false, Entry, 0},
	string(Superseded):       {http.StatusConflict, codes.Aborted, false, NoRetry, 0},
	string(Cancelled):        {499, codes.Canceled, false, NoRetry, 0},
	string(Internal):         {http.StatusInternalServerError, codes.Internal, false, Caller, time.Second},

	string(BadRequest):       {http.StatusBadRequest, codes.InvalidArgument, true, NoRetry, 0},
	string(Unauthenticated):  {http.StatusUnauthorized, codes.Unauthenticated, true, NoRetry, 0},
	string(Forbidden):        {http.StatusForbidden, codes.PermissionDenied, true, NoRetry, 0},
	string(NotFound):         {http.StatusNotFound, codes.NotFound, true, NoRetry, 0},
	string(TooLarge):         {http.StatusRequestEntityTooLarge, codes.InvalidArgument, true, NoRetry, 0},
	string(KeyReused):        {http.StatusUnprocessableEntity, codes.FailedPrecondition, true, NoRetry, 0},
	string(KeyTooOld):        {http.StatusUnprocessableEntity, codes.FailedPrecondition, true, NoRetry, 0},
	string(ClaimedElsewhere): {http.StatusServiceUnavailable, codes.Unavailable, true, Entry, time.Second},
	string(RateLimited):      {http.StatusTooManyRequests, codes.ResourceExhausted, true, Caller, time.Second},
	string(Overloaded):       {http.StatusServiceUnavailable, codes.ResourceExhausted, true, Entry, time.Second},
	string(DeadlineTooShort): {http.StatusServiceUnavailable, codes.ResourceExhausted, true, Entry, time.Second},
	string(Leaving):          {http.StatusServiceUnavailable, codes.Unavailable, true, Entry, time.Second},
	string(NoServer):         {http.StatusServiceUnavailable, codes.Unavailable, true, Caller, 2 * time.Second},
	string(StaleWeights):     {http.StatusServiceUnavailable, codes.Unavailable, true, Entry, time.Second},
	string(LogUnavailable):   {http.StatusServiceUnavailable, codes.Unavailable, true, Caller, 5 * time.Second},
	string(RevisionConflict): {http.StatusConflict, codes.Aborted, true, NoRetry, 0},
	string(NotReady):         {http.StatusServiceUnavailable, codes.Unavailable, true, Entry, time.Second},
	string(Quarantined):      {http.StatusServiceUnavailable, codes.FailedPrecondition, true, NoRetry, time.Hour},
}

// All returns the names of every kind.
func All() []string {
	names := make([]string, 0, len(table))
	for name := range table {
		names = append(names, name)
	}
	return names
}

// Error is an error of one kind. Its fields are private so that NotRun can't
// be set by hand.
type Error struct {
	kind       string
	msg        string
	notRun     bool
	retryAfter time.Duration
	holder     string
	ended      string
	cause      error
}

// New makes an error that does not claim "not run".
func New(kind Kind, format string, args ...any) *Error {
	return &Error{kind: string(kind), msg: fmt.Sprintf(format, args...)}
}

func (e *Error) Error() string {
	if e.cause != nil {
		return e.kind + ": " + e.msg + ": " + e.cause.Error()
	}
	return e.kind + ": " + e.msg
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Kind returns the kind's name.
func (e *Error) Kind() string { return e.kind }

// Message returns the text without the kind.
func (e *Error) Message() string { return e.msg }

// NotRun tells whether the request is proven not to have run.
func (e *Error) NotRun() bool { return e.notRun }

// Holder names the agent that owns the idempotency key (ClaimedElsewhere).
func (e *Error) Holder() string { return e.holder }

// WithCause returns a copy with a cause.
func (e *Error) WithCause(err error) *Error { c := *e; c.cause = err; return &c }

// WithRetryAfter returns a copy that tells when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error { c := *e; c.retryAfter = d; return &c }

// EndedServer names the start of the backend server that ended under the request; empty:
// none is known to have.
func (e *Error) EndedServer() string { return e.ended }

// WithEndedServer returns a copy that names the start of a backend server which ended under
// the request.
func (e *Error) WithEndedServer(server string) *Error { c := *e; c.ended = server; return &c }

// WithHolder returns a copy that names the key's owner.
func (e *Error) WithHolder(name string) *Error { c := *e; c.holder = name; return &c }

// Answer returns the table's row; an unknown kind (from a newer process)
// answers as Internal but keeps its own NotRun.
func (e *Error) Answer() Answer {
	a, ok := table[e.kind]
	if !ok {
		a = table[string(Internal)]
	}
	a.NotRun = e.notRun
	if e.retryAfter > 0 {
		a.RetryAfter = e.retryAfter
	}
	return a
}

// Is makes errors.Is(err, kinds.Overloaded-like sentinel) work by kind.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.kind == e.kind
}

// Of returns err's kind name, or "" when it has none.
func Of(err error) string {
	if e, ok := As(err); ok {
		return e.kind
	}
	return ""
}

// As finds the *Error in err's chain.
func As(err error) (*Error, bool) {
	var e *Error
	ok := errors.As(err, &e)
	return e, ok
}

// Held is proof that the holder still has a request of which no byte went on.
// It is not safe for concurrent use: it belongs to the one goroutine that
// handles the request.
type Held struct{ sent bool }

// Hold starts the custody of one request, before any byte of it goes on.
func Hold() *Held { return &Held{} }

// MarkSent gives the proof up. It is called before the first byte goes on, not
// after: a failure in between then answers "outcome unknown", never a false
// "not run".
func (h *Held) MarkSent() { h.sent = true }

// Sent tells whether the proof was given up.
func (h *Held) Sent() bool { return h.sent }

// RestoreProof takes the proof back after the next hop itself proved "not run".
func (h *Held) RestoreProof(proof *Error) {
	if proof != nil && proof.notRun {
		h.sent = false
	}
}

// Refuse makes a "not run" error. Where the proof was given up it makes
// OutcomeUnknown instead: the table can't be made to lie by a late refusal.
func (h *Held) Refuse(kind NotRunKind, format string, args ...any) *Error {
	if h.sent {
		return New(OutcomeUnknown, "%s after the request was sent: %s", kind, fmt.Sprintf(format, args...))
	}
	return &Error{kind: string(kind), msg: fmt.Sprintf(format, args...), notRun: true}
}

// Refusal is the wire form of an Error.
type Refusal struct {
	Kind, Message, Holder, Ended string
	NotRun                       bool
	RetryAfter                   time.Duration
}

// ToWire returns the wire form of err; any other error becomes Internal.
func ToWire(err error) Refusal {
	e, ok := As(err)
	if !ok {
		e = New(Internal, "%v", err)
	}
	return Refusal{Kind: e.kind, Message: e.Error()[len(e.kind)+2:], Holder: e.holder, Ended: e.ended, NotRun: e.notRun, RetryAfter: e.retryAfter}
}

// FromWire decodes a refusal of the next hop. NotRun is that hop's proof.
func FromWire(r Refusal) *Error {
	return &Error{kind: r.Kind, msg: r.Message, holder: r.Holder, ended: r.Ended, notRun: r.NotRun, retryAfter: r.RetryAfter}
}
