// Package forward sends a request to a server of its service and returns the answer. It
// picks the servers, retries and hedges where the route allows it, and reports a failed
// request as "not run" only if no server can have run it.
package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"dandelionsill.org/base/budget"
	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/trace"
	"dandelionsill.org/decide/members"
	"dandelionsill.org/decide/residency"
	"dandelionsill.org/decide/route"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/gateway/backend"
	broker "dandelionsill.org/gateway/permits"
	"dandelionsill.org/gateway/reach"
	"dandelionsill.org/gateway/stopping"
	"dandelionsill.org/gateway/usage"
	"dandelionsill.org/gateway/view"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/quarantine"
)

// Limits of the attempts of one request.
const (
	// maxRefusals bounds how many servers may refuse a request without running it
	// before the request fails. Refusals don't count against the route's
	// attempts.
	maxRefusals = 6
	// hedgeShare is the share of the route's objective after which a repeatable request
	// is also sent to a second server. If the first server never answers, the second
	// one can still meet the objective.
	hedgeShare = 0.5
	// defaultHedgeDelay is the hedge delay of routes without an objective.
	defaultHedgeDelay = 300 * time.Millisecond
	// refusedRetryDelay is the pause after every server was tried, before they are
	// tried again.
	refusedRetryDelay = 20 * time.Millisecond
	// maxBodyBytes bounds the body of an answer that is buffered completely.
	maxBodyBytes = 32 << 20
	// maxInternalBodyBytes bounds the body of an answer to a call for a sample, of which only the
	// head is used. Hundreds of such answers may arrive at once.
	maxInternalBodyBytes = 256 << 10
	// retryAfter is the retry delay suggested to callers whose request did not run. A
	// full server completes a few requests in this time.
	retryAfter = 250 * time.Millisecond
	// minAttemptTime is the least time before the deadline in which another attempt is
	// made.
	minAttemptTime = 5 * time.Millisecond
)

var (
	attempts = metrics.Counter("forward_tries_total")
	hedges   = metrics.Counter("forward_hedges_total")
)

// Call is a request to forward to a server of a service.
type Call struct {
	Route  *table.Route
	ID     string
	Method string
	URI    string // path and query
	Host   string
	Header http.Header
	Body   []byte
	// Organisation is the organisation that the request belongs to; empty if there is
	// none.
	Organisation string
	// Priority is the organisation's priority, or else the route's; 0 is the most urgent.
	Priority int
	// Internal means that the system makes the call for a sample.
	Internal bool
	// Deadline is the time after which the answer is of no use.
	Deadline time.Time
	// CallerTimeout is how long the caller says that it will wait; 0: unknown.
	CallerTimeout time.Duration
	// PassOn allows an answer without room to be returned before it is complete. The caller of Send must
	// then use Reply.WriteBody in place of Reply.Body, and Reply.Close.
	PassOn bool
	// Paced means that writes to the caller fail if it reads too slowly.
	Paced bool
	// Regions are the regions in which the request may be served, as of its arrival. At each
	// attempt those of the current configuration bind too.
	Regions residency.Regions
	// Path is the path without escapes, by which routes match; empty: as the route's prefix.
	Path string
	// OnBehalfOf is the organisation whose allowed regions bind although the request is none
	// of its own.
	OnBehalfOf string
	replies    *replySet
	// grantedAt is when the service's broker granted the permit for this attempt, at the earliest; zero:
	// there is none.
	grantedAt time.Time
}

// Reply is the answer of a server, complete unless Call.PassOn is set.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	Server string
	// Failures is the number of servers that answered the call with status 500.
	Failures int
	replyBody
}

// Forwarder sends calls to the servers listed in the view.
type Forwarder struct {
	View *view.View
	Pool *backend.Pool
	// Quarantine withholds requests that crash servers from all servers.
	Quarantine *quarantine.Quarantine
	// Usage counts the started requests of each organisation; nil disables counting.
	Usage *usage.Counter
	// Answers bounds the answers that are held for calls with PassOn; nil: nothing does.
	Answers *budget.Share
	// Bodies bounds the bodies that one server holds; nil: nothing does.
	Bodies *ServerBodies
	Reach  *reach.Monitor // tells when this process is cut off; nil: never
	Stop   *stopping.Stop // of this process; nil: it never stops
	// BearsLostDomains makes the first hedge of a request leave the failure domains that are silent.
	BearsLostDomains bool

	domain      string
	log         *zap.Logger
	serverStats *serverStats
	policy      *route.Policy
	sharing     *sharing // nil: no service is shared
	cold        *coldSends
	durations   routeDurations
}

// New returns a forwarder for a process in the failure domain.
func New(v *view.View, pool *backend.Pool, domain string, log *zap.Logger) *Forwarder {
	policy := &route.Policy{
		Stages: slices.Concat(route.HardStages(), []route.Stage{{Name: route.StageRegions, Filter: route.InRegions{}}},
			route.SoftStages(), []route.Stage{{Name: route.StageRoom, Filter: route.HasRoom{}, Soft: true}}),
		Scorers: []route.Scorer{route.LoadScore{}, route.DistanceScore{}, route.ConnectScore{}},
		Picker:  route.LowestScore{},
	}
	return &Forwarder{View: v, Pool: pool, Quarantine: quarantine.New(logs.Part(log, "quarantine")), domain: domain, log: log, serverStats: newServerStats(), policy: policy, cold: &coldSends{}}
}

// Send forwards the call and returns a server's answer, or the error to report to the
// caller. ctx must end when the caller disconnects.
func (f *Forwarder) Send(ctx context.Context, call Call) (*Reply, *kinds.Error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	call.replies = f.newReplySet(&call)
	s := f.newCallState(call)
	defer s.usage.Done()
	s.outcomes = make(chan outcome, call.Route.MaxAttempts+maxRefusals+2)
	reply, err := s.run(ctx)
	s.reportResult(reply)
	if reply != nil && reply.Status < http.StatusInternalServerError {
		f.durations.observe(call.Route.Name, time.Since(s.start))
	}
	call.replies.closeOthers(reply)
	return reply, err
}

// choice is the server picked for an attempt, with the reason for the pick.
type choice struct {
	server          members.Server
	listed          int            // servers of the service
	eligible        int            // servers that passed the filters
	load            int            // requests of this process in flight at the server
	reason          string         // why the policy picked the server
	skippedEjection bool           // the policy had to skip the filter of ejected servers
	permit          *broker.Permit // nil: the server was picked without a broker
	grantedAt       time.Time      // as Call.grantedAt
	asked           time.Duration  // how long its broker was asked for it
}

// outcome is the result of one attempt.
type outcome struct {
	choice
	reply   *Reply
	err     error
	notRun  bool
	crashed bool // the server's process ended while it had the request
	ctxDone bool // the request's context had ended before the attempt did
	took    time.Duration
}

// started reports whether the server started to run the request, as far as can be
// known. A request whose connection broke counts as started.
func (o *outcome) started() bool {
	return !o.notRun && !o.ctxDone && (o.err == nil || !errors.Is(o.err, backend.ErrNotSent))
}

// callState is the state of one call that is being forwarded. All fields belong to the
// goroutine of run or Stream.
type callState struct {
	forwarder       *Forwarder
	call            Call
	held            *kinds.Held
	service         string
	tried           map[string]bool
	asked           []string // ids of the servers asked, in that order
	askedDomains    []string // their failure domains
	hedgedElsewhere bool     // a hedge was asked for that avoids askedDomains
	outcomes        chan outcome
	start           time.Time

	inFlight    int // attempts without an outcome
	mayHaveRun  int // attempts that may have run, those in flight included
	refusals    int
	failures    int      // answers with status 500
	lastFailure *outcome // the latest answer with a status of 500 or more
	subject     *quarantine.TrackedRequest
	usage       *usage.Request

	permitAnswers chan permitAnswer
	asking        int // asks for permits without an answer
	withoutBroker bool
	refusal       *broker.Refusal // the broker's latest
	hedge         *time.Timer
	withheld      int // servers that may be cold and had got their requests at the last pick
}

func (f *Forwarder) newCallState(call Call) *callState {
	s := &callState{forwarder: f, call: call, held: kinds.Hold(), service: call.Route.Pick(route.Hash(call.ID)), tried: map[string]bool{}, start: time.Now()}
	s.subject, s.usage = f.newSubject(&s.call), f.Usage.Start(call.Organisation)
	s.permitAnswers = make(chan permitAnswer)
	return s
}

// run starts attempts until there is an answer or an error to return.
func (s *callState) run(ctx context.Context) (*Reply, *kinds.Error) {
	s.hedge = time.NewTimer(s.hedgeDelay())
	defer s.hedge.Stop()
	if refused := s.refuseStopping(); refused != nil {
		return nil, refused
	}
	if !s.launch(ctx) {
		return nil, s.noServerError()
	}
	for {
		recheck := s.forwarder.Stop.Recheck()
		if reply, err, done := s.endAtStop(); done {
			return reply, err
		}
		select {
		case o := <-s.outcomes:
			reply, err, done := s.handleOutcome(ctx, o)
			if done {
				return reply, err
			}
		case a := <-s.permitAnswers:
			reply, err, done := s.handlePermitAnswer(ctx, a)
			if done {
				return reply, err
			}
		case <-s.hedge.C:
			s.startHedge(ctx)
		case <-recheck:
		case <-ctx.Done():
			s.logNoPermit(s.asking)
			return nil, s.contextError(ctx)
		}
	}
}

// startHedge sends the request to a second server as well, if that is allowed. At a shared
// service it does so only if a place is free.
func (s *callState) startHedge(ctx context.Context) {
	switch {
	case !s.mayRepeat() || s.isSuspect():
	case !s.isShared():
		if s.launch(ctx) {
			hedges.Add(1)
		}
	case s.inFlight > 0 && s.asking == 0 && s.refusals <= maxRefusals:
		s.acquire(ctx, true)
	}
}

// isShared reports whether an attempt needs a permit.
func (s *callState) isShared() bool {
	return !s.withoutBroker && s.forwarder.IsShared(s.service)
}

func (s *callState) hedgeDelay() time.Duration {
	if s.call.Route.LatencyObjective <= 0 {
		return defaultHedgeDelay
	}
	return time.Duration(hedgeShare * float64(s.call.Route.LatencyObjective))
}

// mayRepeat reports whether the request may be sent to another server, given how many
// servers may have run it.
func (s *callState) mayRepeat() bool {
	return s.mayHaveRun == 0 || s.call.Route.Repeatable() && s.mayHaveRun < s.call.Route.MaxAttempts
}

// handleOutcome records the outcome of an attempt. It returns the final answer or error
// and true, or false if an attempt is in flight or was started.
func (s *callState) handleOutcome(ctx context.Context, o outcome) (*Reply, *kinds.Error, bool) {
	s.inFlight--
	if o.notRun {
		s.mayHaveRun--
		s.refusals++
	}
	s.forwarder.logAttempt(&s.call, s.service, &o)
	if o.started() {
		s.usage.RecordExecution(o.took)
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
	if s.retry(ctx) || s.inFlight > 0 || s.asking > 0 {
		return nil, nil, false
	}
	if ctx.Err() != nil {
		return nil, s.contextError(ctx), true
	}
	return s.finalFailure()
}

// retry starts another attempt and returns true, if one is allowed, there is time for
// it, and a server can be picked.
func (s *callState) retry(ctx context.Context) bool {
	if ctx.Err() != nil || !s.mayRepeat() || s.refusals > s.maxRefusals() || time.Until(s.call.Deadline) < minAttemptTime {
		return false
	}
	if (s.inFlight > 0 || s.asking > 0) && s.isSuspect() {
		return false // one server at a time, since the one that has the request may crash too
	}
	if s.launch(ctx) {
		return true
	}
	if s.inFlight > 0 || s.isQuarantined() {
		return false
	}
	// All servers have been tried: try them again after a short pause.
	clear(s.tried)
	select {
	case <-time.After(refusedRetryDelay):
	case <-ctx.Done():
		return false
	}
	return s.launch(ctx)
}

// maxRefusals bounds how many servers may refuse the request.
func (s *callState) maxRefusals() int {
	if s.withoutBroker {
		return maxUnsharedRefusals
	}
	return maxRefusals
}

// launch starts an attempt at another server, or asks for the permit that it needs. It
// returns false if no server can be picked, none is in an allowed region, the request is quarantined, or
// this process stops before it could end.
func (s *callState) launch(ctx context.Context) bool {
	if s.isQuarantined() || s.lacksRegion() || !s.mayStart() {
		return false
	}
	if s.isShared() {
		s.acquire(ctx, false)
		return true
	}
	c, ok := s.pick()
	if !ok {
		return false
	}
	s.startAttempt(ctx, c)
	return true
}

// startAttempt sends the request to the chosen server.
func (s *callState) startAttempt(ctx context.Context, c choice) {
	s.tried[c.server.ID] = true
	s.asked, s.askedDomains = append(s.asked, c.server.ID), append(s.askedDomains, c.server.FailureDomain)
	s.inFlight++
	s.mayHaveRun++
	attempts.Add(1)
	if (c.permit != nil || s.withoutBroker) && s.inFlight == 1 { // it waited for its broker
		s.hedge.Reset(s.hedgeDelay())
	}
	call := s.call
	call.grantedAt = c.grantedAt
	go func() { s.outcomes <- s.forwarder.attempt(ctx, call, s.service, c) }()
}

// pick chooses the server of the next attempt; false means that none is eligible.
func (s *callState) pick() (choice, bool) {
	servers := s.forwarder.View.Current().Servers[s.service]
	candidates := s.forwarder.serverStats.candidates(s.service, s.forwarder.domain, s.forwarder.View.Topology, servers, time.Now())
	s.forwarder.markReach(candidates, servers)
	s.forwarder.Bodies.markFull(candidates, len(s.call.Body))
	s.withheld = s.forwarder.cold.markWithheld(s.service, servers, candidates, time.Now())
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	picked := s.forwarder.policy.Pick(&route.Request{Tried: s.tried, Regions: s.regions()}, candidates, rng, &route.Scratch{})
	if picked.Index < 0 {
		return choice{}, false
	}
	return choice{
		server: servers[picked.Index], listed: len(servers), eligible: picked.Eligible, load: picked.Load, reason: picked.Reason,
		skippedEjection: picked.SkippedStage == route.StageEjected,
	}, true
}

// attempt sends the request to one server and reads its complete answer.
func (f *Forwarder) attempt(ctx context.Context, call Call, service string, c choice) outcome {
	start := time.Now()
	server := c.server
	ctx, span := trace.Tracer("gateway: forward").Start(ctx, "forward.try",
		oteltrace.WithAttributes(attribute.String("id", call.ID), attribute.String("server", server.ID)))
	defer span.End()
	f.serverStats.attemptStarted(server.ID)
	o := outcome{choice: c}
	if o.err = f.Bodies.acquire(ctx, call.Deadline, server.ID, len(call.Body)); o.err != nil {
		return f.endUnsent(o, start)
	}
	if o.err = f.checkStillAllowed(&call, service, server.ID); o.err != nil {
		f.Bodies.release(server.ID, len(call.Body))
		return f.endUnsent(o, start)
	}
	start = time.Now()
	o.reply, o.err = f.exchange(ctx, call, server)
	f.Bodies.release(server.ID, len(call.Body))
	if errors.Is(o.err, backend.ErrWithheld) {
		return f.endUnsent(o, start)
	}
	o.took = time.Since(start)
	o.notRun = errors.Is(o.err, backend.ErrNotSent) || o.err == nil && hosted.NotExecuted(o.reply.Status, o.reply.Header)
	o.ctxDone = ctx.Err() != nil
	o.crashed = !o.ctxDone && errors.Is(o.err, backend.ErrBroken) && f.ServerCrashed(ctx, service, server)
	if c.permit != nil {
		c.permit.Done(o.took, outcomeOf(&o))
	}
	f.countCrossing(&call, &o)
	f.serverStats.attemptEnded(service, server.ID, o.took, !o.ctxDone && (o.err != nil || o.reply.Status >= http.StatusInternalServerError))
	return o
}

func (f *Forwarder) exchange(ctx context.Context, call Call, server members.Server) (*Reply, error) {
	answer, err := f.open(ctx, call, server)
	if err != nil {
		return nil, err
	}
	if call.replies != nil {
		return f.receive(&call, server, answer)
	}
	defer answer.Close()
	limit := int64(maxBodyBytes)
	if call.Internal {
		limit = maxInternalBodyBytes
	}
	body, err := answer.ReadAll(limit)
	if err != nil {
		return nil, err
	}
	if !isSigned(answer) {
		return nil, errors.Annotate(backend.ErrBroken, "success without a signature")
	}
	return &Reply{Status: answer.Status, Header: answer.Header, Body: body, Server: server.ID}, nil
}
