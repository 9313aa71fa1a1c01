// Package front serves the requests of callers: it finds the route, forwards the
// request or passes it to the batch job service, and writes the answer.
package front

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"dandelionsill.org/base/budget"
	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/trace"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/entry/answer"
	"dandelionsill.org/gateway/forward"
	"dandelionsill.org/gateway/jobs"
	"dandelionsill.org/gateway/pace"
	"dandelionsill.org/gateway/reach"
	"dandelionsill.org/gateway/stopping"
	"dandelionsill.org/gateway/view"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform/hosted"
)

// Limits of requests.
const (
	// defaultDeadline applies to requests that state no deadline.
	defaultDeadline = 10 * time.Second
	// answerMargin is the part of the caller's time that is reserved for sending the
	// answer back.
	answerMargin = 20 * time.Millisecond
	// defaultMaxBodyBytes bounds request bodies if the configuration sets no limit.
	defaultMaxBodyBytes = 32 << 20
	// submitTimeShare is the share of the caller's time that may be used to append a
	// batch job to the log. The rest is enough for the caller to try another gateway.
	submitTimeShare = 0.6
)

var (
	requests = metrics.Counter("front_requests_total")
	answered = metrics.Counter("front_answers_ok_total")
	refusals = metrics.Counter("front_answers_not_run_total")
	failures = metrics.Counter("front_answers_failed_total")
)

// Front is the HTTP handler of callers' requests.
type Front struct {
	View    *view.View
	Forward *forward.Forwarder
	Jobs    *jobs.Service
	Log     *zap.Logger
	Latency *metrics.Histogram
	// Bodies bounds the bodies of requests that are held, and answers to callers that read too slowly are
	// cut off; nil: neither.
	Bodies *budget.Share
	// ReadTime is the time that readers have for a part of an answer, pace.MinTime but for tests.
	ReadTime time.Duration
	// Reach tells when this process is cut off; nil: never. Callers that open a new connection may then
	// get another process.
	Reach *reach.Monitor
	Stop  *stopping.Stop // of this process; nil: it never stops

	inFlight atomic.Int64
}

// HeadBytes returns the size of the largest head that the configuration allows; 0: it is not known.
func (f *Front) HeadBytes() int {
	if snap := f.View.Current(); snap.Table != nil {
		return snap.Table.Limits.HeaderBytes
	}
	return 0
}

// InFlight returns the number of requests that are being served.
func (f *Front) InFlight() int64 { return f.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	requests.Add(1)
	start := time.Now()
	ctx, span := trace.Tracer("gateway: front").Start(r.Context(), "front.serve",
		oteltrace.WithAttributes(attribute.String("id", hosted.AttemptID(r.Header))))
	defer span.End()
	r = r.WithContext(ctx)
	if f.Stop.IsStopping() || f.Reach.IsIsolated() {
		w.Header().Set("Connection", "close")
	}
	if f.Bodies != nil {
		paced := pace.NewWriter(w, hosted.AttemptID(r.Header), f.ReadTime, f.Log)
		defer paced.Finish()
		w = paced
	}
	status, err := f.serve(w, r, start)
	if err != nil {
		status = f.writeError(w, r, err, start)
	}
	f.countAnswer(status)
	f.Latency.Observe(time.Since(start))
}

// countAnswer counts an answer by its status: ok, not run or failed.
func (f *Front) countAnswer(status int) {
	switch {
	case status < http.StatusBadRequest:
		answered.Add(1)
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		refusals.Add(1)
	default:
		failures.Add(1)
	}
}

// serve answers the request and returns the status, or returns the error to write.
func (f *Front) serve(w http.ResponseWriter, r *http.Request, start time.Time) (int, *kinds.Error) {
	held := kinds.Hold()
	snap := f.View.Current()
	if snap.Table == nil {
		return 0, held.Refuse(kinds.NotReady, "no configuration yet")
	}
	if m, isStopping := f.Stop.Moment(); isStopping && m.Left <= 0 {
		return 0, held.Refuse(kinds.Leaving, "this process stops now").WithRetryAfter(stopping.RetryAfter)
	}
	call, err := hosted.ParseCall(r)
	if err != nil {
		return 0, held.Refuse(kinds.BadRequest, "%v", err)
	}
	if call.Kind != hosted.CallNone {
		ctx, release := f.Stop.Bound(r.Context())
		defer release()
		r = r.WithContext(ctx)
		if refused := f.authorizeJob(r.Context(), snap, r, call.Job); refused != nil {
			return 0, refused
		}
		return f.serveJobCall(w, r, call)
	}
	route := snap.Table.Match(r.Host, r.URL.Path)
	if route == nil && !f.View.IsFresh() {
		return 0, held.Refuse(kinds.NotReady, "no route in version %d, which may not be the newest", snap.Table.Version)
	}
	if route == nil {
		return 0, held.Refuse(kinds.NotFound, "no route in version %d", snap.Table.Version)
	}
	organisation, refused := f.identify(snap, r, route.Public)
	if refused != nil {
		return 0, refused
	}
	deadline := start.Add(answerTimeout(r, route))
	room := f.Bodies.Reserve()
	defer room.Release()
	body, failed := f.readBody(w, r, &room, snap.Table.Limits.BodyBytes, f.Stop.Earliest(deadline))
	if failed != nil {
		room.Release()
		return f.refuseBody(w, r, failed, start), nil
	}
	if route.Kind == table.Batch {
		return f.submitJob(w, r, route, organisation.Name, body, start)
	}
	return f.proxy(w, r, route, organisation, body, deadline)
}

// callerTimeout returns how long the caller waits for an answer, as stated in the
// request.
func callerTimeout(r *http.Request) time.Duration {
	if left := hosted.Deadline(r.Header); left > 0 {
		return left
	}
	return defaultDeadline
}

// answerTimeout returns how long the request may take: the caller's timeout or the
// route's, whichever is less, minus answerMargin but at least half of it.
func answerTimeout(r *http.Request, route *table.Route) time.Duration {
	left := callerTimeout(r)
	if route.Timeout > 0 && route.Timeout < left {
		left = route.Timeout
	}
	return max(left-answerMargin, left/2)
}

// proxy forwards the request to a server and writes its answer.
func (f *Front) proxy(w http.ResponseWriter, r *http.Request, route *table.Route, organisation table.Organisation, body []byte, deadline time.Time) (int, *kinds.Error) {
	call := forward.Call{
		Route: route, ID: hosted.AttemptID(r.Header), Method: r.Method, URI: r.RequestURI, Host: r.Host,
		Header: forward.EndToEnd(r.Header), Body: body, Deadline: deadline, CallerTimeout: hosted.Deadline(r.Header),
		Organisation: organisation.Name, Priority: organisation.PriorityOr(route.Priority),
		Path: r.URL.Path, Regions: route.Regions.And(organisation.Regions),
		// An HTTP/1.0 caller would take an answer of unknown length that breaks off for a complete one.
		PassOn: r.ProtoAtLeast(1, 1), Paced: f.Bodies != nil,
	}
	if route.Kind == table.Stream {
		return f.Forward.Stream(r.Context(), call, w)
	}
	reply, err := f.Forward.Send(r.Context(), call)
	if err != nil {
		return 0, err
	}
	defer reply.Close()
	forward.CopyHeader(w.Header(), reply.Header)
	if length := reply.Length(); length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(reply.Status)
	if err := reply.WriteBody(r.Context(), w); err != nil {
		f.Log.Info("An answer broke off.", zap.String("id", call.ID), zap.String("server", reply.Server), zap.Error(err))
		panic(http.ErrAbortHandler)
	}
	return reply.Status, nil
}

// submitJob accepts a batch job.
func (f *Front) submitJob(w http.ResponseWriter, r *http.Request, route *table.Route, organisation string, body []byte, start time.Time) (int, *kinds.Error) {
	if r.Method != http.MethodPost {
		return 0, kinds.Hold().Refuse(kinds.NotFound, "batch jobs are posted")
	}
	spec, items, err := hosted.DecodeJob(r, body)
	if err != nil {
		return 0, kinds.Hold().Refuse(kinds.BadRequest, "%v", err)
	}
	spec.DueMS, spec.Organisation, spec.Versions = route.Due.Milliseconds(), organisation, jobs.VersionRule(route, f.View.IsConfirmed())
	left := callerTimeout(r)
	ctx, cancel := context.WithDeadline(r.Context(), start.Add(time.Duration(submitTimeShare*float64(left))))
	defer cancel()
	ctx, release := f.Stop.Bound(ctx)
	defer release()
	failed := f.Jobs.Submit(ctx, spec, items)
	f.Log.Info("Batch job submission handled.", zap.String("job", spec.ID), zap.Int("step", spec.Step), zap.Int("items", len(items)),
		zap.Duration("took", time.Since(start)), zap.Error(errorOrNil(failed)))
	if failed != nil {
		return 0, failed
	}
	w.WriteHeader(http.StatusAccepted)
	return http.StatusAccepted, nil
}

// errorOrNil converts err to an error, without turning a nil *kinds.Error into a
// non-nil error.
func errorOrNil(err *kinds.Error) error {
	if err == nil {
		return nil
	}
	return err
}

// serveJobCall answers a request about an existing batch job: its results, the body of
// an item, or its end.
func (f *Front) serveJobCall(w http.ResponseWriter, r *http.Request, call hosted.Call) (int, *kinds.Error) {
	switch call.Kind {
	case hosted.CallTerminate:
		left := callerTimeout(r)
		ctx, cancel := context.WithTimeout(r.Context(), left-left/5)
		defer cancel()
		if err := f.Jobs.End(ctx, call.Job); err != nil {
			return 0, err
		}
		return writeJSON(w, []byte("{}")), nil
	case hosted.CallItemBody:
		body, err := f.Jobs.Body(r.Context(), call.Job, call.Item)
		if err != nil {
			return 0, err
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
		return http.StatusOK, nil
	default:
		start := time.Now()
		total, results, err := f.Jobs.Results(r.Context(), call.Job, call.After, call.Wait)
		if err != nil {
			return 0, err
		}
		f.Log.Info("Results read.", zap.String("job", call.Job), zap.Int("after", call.After), zap.Int("results", len(results)),
			zap.Int("items", total), zap.Duration("wait", call.Wait), zap.Duration("took", time.Since(start)))
		data, encodeErr := hosted.EncodeResults(total, call.After, results)
		if encodeErr != nil {
			return 0, kinds.New(kinds.Internal, "%v", encodeErr)
		}
		return writeJSON(w, data), nil
	}
}

func writeJSON(w http.ResponseWriter, data []byte) int {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
	return http.StatusOK
}

// writeError logs err and writes it to the caller, marked as not executed only if the
// request did not run. It returns the status.
func (f *Front) writeError(w http.ResponseWriter, r *http.Request, err *kinds.Error, start time.Time) int {
	id := hosted.AttemptID(r.Header)
	row := err.Answer()
	f.Log.Info("Request failed.", zap.String("id", id), zap.String("method", r.Method), zap.String("host", r.Host),
		zap.String("path", r.URL.Path), zap.String("kind", err.Kind()), zap.Bool("not_run", row.NotRun), zap.Int("status", row.HTTP),
		zap.Uint64("config", f.View.Current().ConfigVersion()), zap.Duration("took", time.Since(start)), zap.String("why", err.Message()))
	if err.Kind() == string(kinds.Cancelled) {
		panic(http.ErrAbortHandler) // the caller has disconnected
	}
	if row.NotRun {
		hosted.SetNotExecuted(w.Header())
	}
	body, status := answer.Body(id, err)
	if body.Error.RetryAfterMS > 0 {
		hosted.SetRetryAfter(w.Header(), time.Duration(body.Error.RetryAfterMS)*time.Millisecond)
	}
	hosted.SetAttemptID(w.Header(), id)
	answer.JSON(w, id, status, body)
	return status
}

// Drain waits until no request is being served. It returns an error if ctx ends first.
func (f *Front) Drain(ctx context.Context) error {
	const pollInterval = 20 * time.Millisecond
	for f.inFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "%d requests in flight", f.inFlight.Load())
		case <-time.After(pollInterval):
		}
	}
	return nil
}
