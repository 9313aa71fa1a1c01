// Package front is the first stage of every request of an application caller. It checks
// the request id, the caller, its limits, its deadline and the body. A request that can
// be refused here is refused at once, with the reason.
package front

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	oteltrace "go.opentelemetry.io/otel/trace"

	"dandelionsill.org/base/budget"
	"dandelionsill.org/base/explain"
	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/trace"
	"dandelionsill.org/confsync"
	"dandelionsill.org/decide/limit"
	"dandelionsill.org/entry/answer"
	"dandelionsill.org/entry/auth"
	"dandelionsill.org/kinds"
	"dandelionsill.org/manifest"
)

const part = "entry: front"

// DefaultMaxTimeout is the default maximum of the timeout that a caller may ask for.
const DefaultMaxTimeout = time.Hour

// WriteSlack is the time after its deadline during which a caller may still read its
// answer.
const WriteSlack = 5 * time.Second

// fallbackTimeout is used if neither the request nor the manifest sets a timeout.
const fallbackTimeout = 30 * time.Second

var (
	requestsTotal = metrics.Counter("entry_requests_total")
	refusedTotal  = metrics.Counter("entry_refused_total")
	failedTotal   = metrics.Counter("entry_failed_total")
)

// Config configures a Front.
type Config struct {
	Viewer confsync.Viewer
	// Entries returns the number of live entries among which a caller's limits are
	// shared. If nil, this entry enforces the full limits.
	Entries func() int
	// MaxBody is the maximum body size in bytes; the manifest's maximum applies too. 0
	// means that only the manifest's applies.
	MaxBody int64
	// Bodies bounds the bodies of all requests together; nil: it does not.
	Bodies     *budget.Share
	MaxTimeout time.Duration
	Ring       *explain.Ring
	Now        func() time.Time
}

// Front admits callers' requests.
type Front struct {
	cfg      Config
	limiters sync.Map // caller name -> *limit.Limiter

	mu       sync.Mutex // guards inFlight, draining and idle
	inFlight int
	draining bool
	idle     chan struct{}

	inFlightGauge atomic.Int64
}

// Request is a request of a caller. When a Handler receives it, it was admitted.
type Request struct {
	ID       string
	HTTP     *http.Request
	View     *confsync.View
	Caller   manifest.Caller
	Body     []byte
	Deadline time.Time
	// Held proves that no byte of the request was sent on.
	Held *kinds.Held
	// TakeRetry takes a retry from the caller's budget. It returns false if the budget
	// is exhausted.
	TakeRetry func() bool
}

// Remaining returns the time until the deadline.
func (r *Request) Remaining() time.Duration { return time.Until(r.Deadline) }

// Handler serves an admitted request. A returned error is sent as the answer, so a
// Handler may return one only if it has written nothing.
type Handler func(ctx context.Context, w http.ResponseWriter, r *Request) error

// New returns a Front.
func New(cfg Config) *Front {
	if cfg.MaxTimeout <= 0 {
		cfg.MaxTimeout = DefaultMaxTimeout
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Entries == nil {
		cfg.Entries = func() int { return 1 }
	}
	f := &Front{cfg: cfg}
	metrics.Gauge("entry_requests_in_flight", func() any { return f.inFlightGauge.Load() })
	return f
}

// Handle wraps a Handler; name is the name of its span.
func (f *Front) Handle(name string, h Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		requestsTotal.Add(1)
		// The connection still has the write deadline of the previous request.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		ctx, span := trace.FromHTTP(hr, name)
		defer span.End()
		id, err := RequestID(hr)
		if err == nil {
			span.SetAttributes(attribute.String("request.id", id))
			err = f.serve(ctx, span, w, hr, id, h)
		}
		if err != nil {
			f.answerError(ctx, span, w, id, err)
		}
	})
}

// serve runs all checks, the cheapest first, and then the handler.
func (f *Front) serve(ctx context.Context, span oteltrace.Span, w http.ResponseWriter, hr *http.Request, id string, h Handler) error {
	r := &Request{ID: id, HTTP: hr, View: f.cfg.Viewer.View(), Held: kinds.Hold()}
	if !f.startRequest() {
		w.Header().Set("Connection", "close")
		return r.Held.Refuse(kinds.Leaving, "this entry is stopping")
	}
	defer f.endRequest()
	caller, refusal := auth.Caller(r.View, hr)
	if refusal != nil {
		return refusal
	}
	r.Caller = caller
	span.SetAttributes(attribute.String("caller", caller.Name), attribute.Int64("revision", int64(r.View.Number)))
	timeout, refusal := f.timeout(r)
	if refusal != nil {
		return refusal
	}
	r.Deadline = f.cfg.Now().Add(timeout)
	// Without a write deadline, a caller that reads nothing would keep its answer and
	// its slot, and block a planned stop, forever: a context does not end a blocked
	// write.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout + WriteSlack))
	limiter := f.limiter(caller)
	if refusal := limiter.Admit(f.cfg.Now(), r.Held); refusal != nil {
		return refusal
	}
	defer limiter.Release()
	r.TakeRetry = limiter.TakeRetry
	room := f.cfg.Bodies.Reserve()
	defer room.Release()
	if refusal := f.readBody(w, r, &room); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	return h(ctx, w, r)
}

// limiter returns the caller's limiter with the current limits.
func (f *Front) limiter(caller manifest.Caller) *limit.Limiter {
	limits := limit.Limits{
		Rate:          caller.Rate,
		Burst:         caller.Burst,
		MaxConcurrent: caller.MaxConcurrent,
		RetryPercent:  caller.RetryPercent,
	}.Share(f.cfg.Entries())
	now := f.cfg.Now()
	loaded, ok := f.limiters.Load(caller.Name)
	if !ok {
		loaded, _ = f.limiters.LoadOrStore(caller.Name, limit.New(limits, now))
	}
	limiter := loaded.(*limit.Limiter)
	limiter.SetLimits(limits, now)
	return limiter
}

// answerError sends an error as the answer and adds a decision record.
func (f *Front) answerError(ctx context.Context, span oteltrace.Span, w http.ResponseWriter, id string, err error) {
	kind := kinds.Of(err)
	if e, ok := kinds.As(err); ok && e.NotRun() {
		refusedTotal.Add(1)
	} else {
		failedTotal.Add(1)
	}
	span.SetStatus(codes.Error, kind)
	span.SetAttributes(attribute.String("error.kind", kind))
	f.cfg.Ring.Add(ctx, part, id, "answered "+kind, err.Error())
	answer.Error(w, id, err)
}

// startRequest counts a request as in flight. It returns false if the entry is stopping.
func (f *Front) startRequest() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return false
	}
	f.inFlight++
	f.inFlightGauge.Store(int64(f.inFlight))
	return true
}

func (f *Front) endRequest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight--
	f.inFlightGauge.Store(int64(f.inFlight))
	if f.draining && f.inFlight == 0 {
		close(f.idle)
	}
}

// Drain refuses new requests (with "not run", so that the caller may send them
// elsewhere) and returns once those in flight, including open streams, have ended.
func (f *Front) Drain(ctx context.Context) error {
	f.mu.Lock()
	if !f.draining {
		f.draining = true
		f.idle = make(chan struct{})
		if f.inFlight == 0 {
			close(f.idle)
		}
	}
	idle := f.idle
	f.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
