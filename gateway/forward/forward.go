// Package forward gets one request answered by a server of its service: it
// picks servers, repeats what may be repeated, and tells truthfully whether a
// request that failed has not run.
package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/trace"
	"dandelionsill.org/decide/members"
	"dandelionsill.org/decide/route"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/gateway/backend"
	"dandelionsill.org/gateway/usage"
	"dandelionsill.org/gateway/view"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/quarantine"
)

// Limits of the tries of one request.
const (
	// maxRefusals bounds the servers that may refuse a request unrun before
	// it is given up; they don't count against the route's attempts.
	maxRefusals = 6
	// hedgeShare of the route's objective passes before a safe request is sent
	// to a second server as well. A server that has gone dark answers never,
	// and the objective is then still met by the second one.
	hedgeShare = 0.5
	// defaultHedgeDelay is for routes without an objective.
	defaultHedgeDelay = 300 * time.Millisecond
	// refusedRetryDelay lies between rounds of servers that are all full.
	refusedRetryDelay = 20 * time.Millisecond
	// maxBodyBytes bounds an answer that is read whole, in bytes.
	maxBodyBytes = 32 << 20
	// retryAfter is when callers are told to come back: the time in which a
	// full server ends a few requests.
	retryAfter = 250 * time.Millisecond
	// minAttemptTime is the least time that a try is worth.
	minAttemptTime = 5 * time.Millisecond
)

var (
	attempts = metrics.Counter("forward_tries_total")
	hedges   = metrics.Counter("forward_hedges_total")
)

// Call is a request to be answered by a service.
type Call struct {
	Route  *table.Route
	ID     string
	Method string
	URI    string // path and query
	Host   string
	Header http.Header
	Body   []byte
	// Organisation is whose request it is; empty: nobody's.
	Organisation string
	// Deadline is when the answer is of no more use.
	Deadline time.Time
}

// Reply is the whole answer of a server.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	Server string
	// Failures is how many servers answered the call with an internal error.
	Failures int
}

// Forwarder sends calls to the servers of the view.
type Forwarder struct {
	View *view.View
	Pool *backend.Pool
	// Quarantine keeps requests that crash servers from reaching any.
	Quarantine *quarantine.Quarantine
	// Usage counts the requests of organisations that began to run; nil: nobody does.
	Usage *usage.Counter

	domain      string
	log         *zap.Logger
	serverStats *serverStats
	policy      *route.Policy
}

// New returns a forwarder of a process in a failure domain.
func New(v *view.View, pool *backend.Pool, domain string, log *zap.Logger) *Forwarder {
	policy := &route.Policy{
		Stages:  append(route.HardStages(), route.SoftStages()...),
		Scorers: []route.Scorer{route.LoadScore{}, route.DistanceScore{}, route.ConnectScore{}},
		Picker:  route.LowestScore{},
	}
	return &Forwarder{View: v, Pool: pool, Quarantine: quarantine.New(logs.Part(log, "quarantine")), domain: domain, log: log, serverStats: newServerStats(), policy: policy}
}

// Send returns a server's answer or the reason why there is none. ctx ends
// when the caller has gone.
func (f *Forwarder) Send(ctx context.Context, call Call) (*Reply, *kinds.Error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	s := f.newCallState(call)
	defer s.usage.Done()
	s.outcomes = make(chan outcome, call.Route.MaxAttempts+maxRefusals+1)
	reply, err := s.run(ctx)
	s.reportResult(reply)
	return reply, err
}

// choice is why a server was asked.
type choice struct {
	server          members.Server
	listed          int    // servers of the service
	eligible        int    // of them after the filters
	load            int    // this process's requests there
	reason          string // how it was picked
	skippedEjection bool   // the filter of outliers had to be passed over
}

// outcome is how one try ended.
type outcome struct {
	choice
	reply   *Reply
	err     error
	notRun  bool
	crashed bool // the server's process ended under the request
	ctxDone bool // the request was over before
	took    time.Duration
}

// started tells whether the server started to run the request, as far as can be known: one
// whose connection broke had it.
func (o *outcome) started() bool {
	return !o.notRun && !o.ctxDone && (o.err == nil || !errors.Is(o.err, backend.ErrNotSent))
}

// callState is one call on its way. All fields belong to the goroutine of run.
type callState struct {
	forwarder *Forwarder
	call      Call
	held      *kinds.Held
	service   string
	tried     map[string]bool
	asked     []string // servers in the order in which they were asked
	outcomes  chan outcome
	start     time.Time

	inFlight    int // tries without an outcome
	mayHaveRun  int // tries that may have run, running ones included
	refusals    int
	failures    int      // internal errors that servers answered
	lastFailure *outcome // the newest failure that a server answered itself
	subject     *quarantine.Subject
	usage       *usage.Request
}

func (f *Forwarder) newCallState(call Call) *callState {
	s := &callState{forwarder: f, call: call, held: kinds.Hold(), service: call.Route.Pick(route.Hash(call.ID)), tried: map[string]bool{}, start: time.Now()}
	s.subject, s.usage = f.newSubject(&s.call), f.Usage.Start(call.Organisation)
	return s
}

func (s *callState) run(ctx context.Context) (*Reply, *kinds.Error) {
	hedge := time.NewTimer(s.hedgeDelay())
	defer hedge.Stop()
	if !s.launch(ctx) {
		return nil, s.noServerError()
	}
	for {
		select {
		case o := <-s.outcomes:
			reply, err, done := s.handleOutcome(ctx, o)
			if done {
				return reply, err
			}
		case <-hedge.C:
			if s.mayRepeat() && !s.isSuspect() && s.launch(ctx) {
				hedges.Add(1)
			}
		case <-ctx.Done():
			return nil, s.contextError(ctx)
		}
	}
}

func (s *callState) hedgeDelay() time.Duration {
	if s.call.Route.Objective <= 0 {
		return defaultHedgeDelay
	}
	return time.Duration(hedgeShare * float64(s.call.Route.Objective))
}

// mayRepeat tells whether one more server may be asked while others may have
// run the request.
func (s *callState) mayRepeat() bool {
	return s.mayHaveRun == 0 || s.call.Route.Repeatable() && s.mayHaveRun < s.call.Route.MaxAttempts
}

// handleOutcome takes the outcome of a try: an answer, one more try, or the failure.
func (s *callState) handleOutcome(ctx context.Context, o outcome) (*Reply, *kinds.Error, bool) {
	s.inFlight--
	if o.notRun {
		s.mayHaveRun--
		s.refusals++
	}
	s.forwarder.logAttempt(&s.call, s.service, &o)
	if o.started() {
		s.usage.Began(o.took)
	}
	if o.crashed {
		s.recordCrash(&o.choice)
	}
	if o.err == nil && !o.notRun {
		if o.reply.Status < http.StatusInternalServerError {
			return o.reply, nil, true
		}
		if o.reply.Status == http.StatusInternalServerError {
			s.failures++
		}
		s.lastFailure = &o
	}
	if s.retry(ctx) || s.inFlight > 0 {
		return nil, nil, false
	}
	if ctx.Err() != nil {
		return nil, s.contextError(ctx), true
	}
	return s.finalFailure()
}

// retry launches one more try where that is allowed and of use.
func (s *callState) retry(ctx context.Context) bool {
	if !s.mayRepeat() || s.refusals > maxRefusals || time.Until(s.call.Deadline) < minAttemptTime {
		return false
	}
	if s.inFlight > 0 && s.isSuspect() {
		return false // one server at a time: the one that has it may end as well
	}
	if s.launch(ctx) {
		return true
	}
	if s.inFlight > 0 || s.isQuarantined() {
		return false
	}
	// Every server had its turn: after a short pause they get another.
	clear(s.tried)
	select {
	case <-time.After(refusedRetryDelay):
	case <-ctx.Done():
		return false
	}
	return s.launch(ctx)
}

// finalFailure is the answer when no try is left.
func (s *callState) finalFailure() (*Reply, *kinds.Error, bool) {
	if s.lastFailure != nil {
		s.lastFailure.reply.Failures = s.failures
		return s.lastFailure.reply, nil, true
	}
	if s.isQuarantined() {
		return nil, s.noServerError(), true
	}
	if s.mayHaveRun == 0 {
		return nil, s.refuse(kinds.Overloaded, "all servers refused the request"), true
	}
	return nil, kinds.New(kinds.OutcomeUnknown, "no whole answer of the servers asked: %v", s.asked), true
}

func (s *callState) contextError(ctx context.Context) *kinds.Error {
	if ctx.Err() == context.Canceled {
		if s.inFlight > 0 {
			s.usage.Began(time.Since(s.start))
		}
		return kinds.New(kinds.Cancelled, "the caller has gone")
	}
	if s.mayHaveRun == 0 {
		return s.refuse(kinds.Overloaded, "no server took the request in time")
	}
	return kinds.New(kinds.DeadlineExceeded, "no answer within %v of the servers asked: %v", time.Since(s.start).Round(time.Millisecond), s.asked)
}

// refuse makes a "not run" error, which turns into "outcome unknown" where a
// try may have run.
func (s *callState) refuse(kind kinds.NotRunKind, reason string) *kinds.Error {
	if s.mayHaveRun > 0 {
		s.held.Send()
	}
	return s.held.Refuse(kind, "%s", reason).WithRetryAfter(retryAfter)
}

// launch sends the request to one more server; false: there is none.
func (s *callState) launch(ctx context.Context) bool {
	if s.isQuarantined() {
		return false
	}
	c, ok := s.pick()
	if !ok {
		return false
	}
	s.tried[c.server.ID] = true
	s.asked = append(s.asked, c.server.ID)
	s.inFlight++
	s.mayHaveRun++
	attempts.Add(1)
	go func() { s.outcomes <- s.forwarder.attempt(ctx, s.call, s.service, c) }()
	return true
}

func (s *callState) pick() (choice, bool) {
	servers := s.forwarder.View.Now().Servers[s.service]
	candidates := s.forwarder.serverStats.candidates(s.service, s.forwarder.domain, servers, time.Now())
	for i := range candidates {
		candidates[i].Connected = s.forwarder.Pool.Kept(servers[i].Addr)
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	picked := s.forwarder.policy.Pick(&route.Request{Tried: s.tried}, candidates, rng, &route.Scratch{})
	if picked.Index < 0 {
		return choice{}, false
	}
	return choice{
		server: servers[picked.Index], listed: len(servers), eligible: picked.Eligible, load: picked.Load, reason: picked.Reason,
		skippedEjection: picked.SkippedStage == route.StageEjected,
	}, true
}

// attempt sends the request to one server and reads its whole answer.
func (f *Forwarder) attempt(ctx context.Context, call Call, service string, c choice) outcome {
	start := time.Now()
	server := c.server
	ctx, span := trace.Tracer("gateway: forward").Start(ctx, "forward.try",
		oteltrace.WithAttributes(attribute.String("id", call.ID), attribute.String("server", server.ID)))
	defer span.End()
	f.serverStats.attemptStarted(server.ID)
	o := outcome{choice: c}
	o.reply, o.err = f.exchange(ctx, call, server)
	o.took = time.Since(start)
	o.notRun = errors.Is(o.err, backend.ErrNotSent) || o.err == nil && hosted.NotExecuted(o.reply.Status, o.reply.Header)
	o.ctxDone = ctx.Err() != nil
	o.crashed = !o.ctxDone && errors.Is(o.err, backend.ErrBroken) && f.ServerCrashed(ctx, service, server)
	f.serverStats.attemptEnded(service, server.ID, o.took, !o.ctxDone && (o.err != nil || o.reply.Status >= http.StatusInternalServerError))
	return o
}

// ServerCrashed tells whether a connection that broke under a request shows that the
// server's process ended. One that leaves ends by itself, whatever it runs.
func (f *Forwarder) ServerCrashed(ctx context.Context, service string, server members.Server) bool {
	listed, known := f.View.Now().Server(service, server.ID)
	return known && !listed.Leaving && f.Pool.Ended(ctx, server.Addr)
}

func (f *Forwarder) exchange(ctx context.Context, call Call, server members.Server) (*Reply, error) {
	answer, err := f.open(ctx, call, server)
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	body, err := answer.ReadAll(maxBodyBytes)
	if err != nil {
		return nil, err
	}
	// A success without the server's signature is not the server's answer.
	if answer.Status < http.StatusMultipleChoices && hosted.Seal(answer.Header) == "" {
		return nil, errors.Annotate(backend.ErrBroken, "success without a signature")
	}
	return &Reply{Status: answer.Status, Header: answer.Header, Body: body, Server: server.ID}, nil
}

// logAttempt writes one line for a try: why that server, and how it ended.
func (f *Forwarder) logAttempt(call *Call, service string, o *outcome) {
	status := 0
	if o.reply != nil {
		status = o.reply.Status
	}
	message := "Try."
	if o.err != nil || status >= http.StatusMultipleChoices {
		message = "Try failed."
	}
	f.log.Info(message, zap.String("id", call.ID), zap.String("service", service), zap.String("server", o.server.ID),
		zap.Uint64("config", f.View.Now().Table.Version), zap.Int("listed", o.listed), zap.Int("left", o.eligible), zap.Int("load", o.load),
		zap.String("picked", o.reason), zap.Bool("outliers_too", o.skippedEjection), zap.Int("status", status), zap.Bool("not_run", o.notRun),
		zap.Duration("took", o.took), zap.Error(o.err))
}
