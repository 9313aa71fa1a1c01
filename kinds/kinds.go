// Package kinds defines the closed list of error kinds and, for each kind, the
// answer to the caller: HTTP status, gRPC code, whether the request is proven
// not to have run, and who may retry it.
//
// The package guarantees that a request refused as "not run" did not run. Most
// of this is checked by the compiler: a kind that claims "not run" has the type
// NotRunKind, and an error of such a kind is created only by a *Held (the code
// still holds the unsent request) or decoded from the refusal of an agent that
// had one. New takes a Kind and therefore cannot make the claim.
package kinds

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"google.golang.org/grpc/codes"
)

// Kind is the name of an error kind that does not claim "not run".
type Kind string

// NotRunKind is the name of an error kind that claims "not run".
type NotRunKind string

// Kinds that do not claim "not run".
const (
	// OutcomeUnknown: the request was sent and its answer was lost; it may
	// have run. Our processes never retry it.
	OutcomeUnknown Kind = "outcome_unknown"
	// BackendFailed: an idempotent request failed on every server tried.
	BackendFailed Kind = "backend_failed"
	// DeadlineExceeded: the deadline of an idempotent request passed after it was sent.
	DeadlineExceeded Kind = "deadline_exceeded"
	// SampleDiscarded: the sample's label or freshness could not be proved.
	SampleDiscarded Kind = "sample_discarded"
	// Superseded: the step has a newer owner.
	Superseded Kind = "superseded"
	// Cancelled: the caller cancelled or disconnected.
	Cancelled Kind = "cancelled"
	// Internal: a fault in our own processes.
	Internal Kind = "internal"
)

// Kinds that prove "not run".
const (
	BadRequest       NotRunKind = "bad_request"
	Unauthenticated  NotRunKind = "unauthenticated"
	Forbidden        NotRunKind = "forbidden"
	NotFound         NotRunKind = "not_found"
	TooLarge         NotRunKind = "too_large"
	KeyReused        NotRunKind = "key_reused"         // same idempotency key, different request
	KeyTooOld        NotRunKind = "key_too_old"        // key issued before the window; this attempt did not run, an earlier one may have
	ClaimedElsewhere NotRunKind = "claimed_elsewhere"  // another live agent owns the key
	RateLimited      NotRunKind = "rate_limited"       // above the caller's own limit
	Overloaded       NotRunKind = "overloaded"         // queues are full
	DeadlineTooShort NotRunKind = "deadline_too_short" // the deadline can't be met; refused before queueing
	Leaving          NotRunKind = "leaving"            // the server accepts no new work
	NoServer         NotRunKind = "no_server"          // no ready server serves this now
	StaleWeights     NotRunKind = "stale_weights"      // no server is fresh enough yet
	LogUnavailable   NotRunKind = "log_unavailable"    // a claim can't be written now
	RevisionConflict NotRunKind = "revision_conflict"  // another commit came first
	NotReady         NotRunKind = "not_ready"          // the process is starting
	Quarantined      NotRunKind = "quarantined"        // each server that runs the request crashes
)

// Retrier is the party that may repeat a refused or failed request.
type Retrier uint8

const (
	// NoRetry: a repeat would fail in the same way.
	NoRetry Retrier = iota
	// Entry: the entry itself retries on another backend server.
	Entry
	// Caller: the caller, after Retry-After.
	Caller
	// CallerSameKey: the caller, only with the same idempotency key.
	CallerSameKey
)

// Answer is a row of the table: the answer to the caller for errors of one kind.
type Answer struct {
	HTTP   int
	GRPC   codes.Code
	NotRun bool
	Retry  Retrier
	// RetryAfter is used when the error itself carries none; 0: no Retry-After header.
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

// All returns the names of all kinds, in no particular order.
func All() []string {
	names := make([]string, 0, len(table))
	for name := range table {
		names = append(names, name)
	}
	return names
}

// Error is an error of one kind. Its fields are unexported so that other
// packages can't set notRun.
type Error struct {
	kind       string
	msg        string
	notRun     bool
	retryAfter time.Duration
	holder     string
	ended      string
	cause      error
}

// New returns an error that does not claim "not run".
func New(kind Kind, format string, args ...any) *Error {
	return &Error{kind: string(kind), msg: fmt.Sprintf(format, args...)}
}

// Error returns the kind, the message and the cause.
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

// Message returns the text without the kind and the cause.
func (e *Error) Message() string { return e.msg }

// NotRun reports whether the request is proven not to have run.
func (e *Error) NotRun() bool { return e.notRun }

// Holder returns the name of the agent that owns the idempotency key (ClaimedElsewhere).
func (e *Error) Holder() string { return e.holder }

// WithCause returns a copy whose cause is err.
func (e *Error) WithCause(err error) *Error { c := *e; c.cause = err; return &c }

// WithRetryAfter returns a copy that asks the caller to wait d before a retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error { c := *e; c.retryAfter = d; return &c }

// EndedServer returns the incarnation of the backend server that ended while it ran
// the request; "" if none is known to have ended.
func (e *Error) EndedServer() string { return e.ended }

// WithEndedServer returns a copy with the incarnation of a backend server that ended
// while it ran the request.
func (e *Error) WithEndedServer(server string) *Error { c := *e; c.ended = server; return &c }

// WithHolder returns a copy that names the key's owner.
func (e *Error) WithHolder(name string) *Error { c := *e; c.holder = name; return &c }

// Answer returns the table's row for the error's kind. An unknown kind (from a
// newer process) gets the row of Internal. NotRun, and RetryAfter if set, are
// taken from the error itself.
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

// Is reports whether target is an *Error of the same kind; it serves errors.Is.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.kind == e.kind
}

// Of returns the name of err's kind, or "" if err's chain has no *Error.
func Of(err error) string {
	if e, ok := As(err); ok {
		return e.kind
	}
	return ""
}

// As returns the first *Error in err's chain.
func As(err error) (*Error, bool) {
	var e *Error
	ok := errors.As(err, &e)
	return e, ok
}

// Held is the proof that no byte of a request has been sent to the next hop. It
// is not safe for concurrent use: it belongs to the one goroutine that handles
// the request.
type Held struct{ sent bool }

// Hold returns the proof for one request of which nothing has been sent yet.
func Hold() *Held { return &Held{} }

// MarkSent gives up the proof. It must be called before the first byte is sent,
// not after: a failure in between is then answered with OutcomeUnknown, never
// with a false "not run".
func (h *Held) MarkSent() { h.sent = true }

// Sent reports whether the proof was given up.
func (h *Held) Sent() bool { return h.sent }

// RestoreProof restores the proof if the next hop's error proves "not run".
func (h *Held) RestoreProof(proof *Error) {
	if proof != nil && proof.notRun {
		h.sent = false
	}
}

// Refuse returns a "not run" error of the given kind. If the proof was given up
// it returns OutcomeUnknown instead, so that a late refusal can't claim "not run".
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

// ToWire returns the wire form of the *Error in err's chain; an err without one
// becomes Internal.
func ToWire(err error) Refusal {
	e, ok := As(err)
	if !ok {
		e = New(Internal, "%v", err)
	}
	return Refusal{Kind: e.kind, Message: e.Error()[len(e.kind)+2:], Holder: e.holder, Ended: e.ended, NotRun: e.notRun, RetryAfter: e.retryAfter}
}

// FromWire decodes a refusal of the next hop. NotRun is taken from that hop, which
// had the proof.
func FromWire(r Refusal) *Error {
	return &Error{kind: r.Kind, msg: r.Message, holder: r.Holder, ended: r.Ended, notRun: r.NotRun, retryAfter: r.RetryAfter}
}
