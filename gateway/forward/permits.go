package forward

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/decide/evidence"
	"dandelionsill.org/decide/permits"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/gateway/backend"
	broker "dandelionsill.org/gateway/permits"
	"dandelionsill.org/kinds"
)

// maxUnsharedRefusals bounds how many servers may refuse a request of a shared service
// while there is no broker. More would multiply the load on servers that are full.
const maxUnsharedRefusals = 2

// darkAfter is after which time without a connection a server counts as unreachable although the
// request was given up: a machine that works accepts connections within a few milliseconds.
const darkAfter = 50 * time.Millisecond

var permitsUnused = metrics.Counter("forward_permits_unused_total")

// Permits grants permits for requests to the servers of shared services.
type Permits interface {
	// Acquire returns a permit, or a refusal, or an error if no broker is available.
	Acquire(ctx context.Context, service string, ask permits.Ask) (*broker.Permit, *broker.Refusal, error)
}

// sharing decides which services are shared and describes requests to their broker.
type sharing struct {
	permits     Permits
	maxPatience float64
	current     atomic.Pointer[sharedServices] // nil before the first request
}

// sharedServices is what one version of the routing table says of shared services.
type sharedServices struct {
	table  *table.Table
	shared map[string]bool

	mu      sync.Mutex
	longest map[string]time.Duration // longest time that a caller stated, by route
}

// UsePermits makes requests to shared services ask for permits. A service is shared if a
// route to it has a timeout of at most maxPatience objectives.
func (f *Forwarder) UsePermits(p Permits, maxPatience float64) {
	f.sharing = &sharing{permits: p, maxPatience: maxPatience}
}

// IsShared reports whether the places of the service are shared out.
func (f *Forwarder) IsShared(service string) bool {
	return f.sharing.isShared(f.View.Current().Table, service)
}

// isShared reports whether the service is shared according to the table; never if s is nil.
func (s *sharing) isShared(t *table.Table, service string) bool {
	return s != nil && t != nil && s.servicesOf(t).shared[service]
}

// servicesOf returns what the table says, which is derived once for each table.
func (s *sharing) servicesOf(t *table.Table) *sharedServices {
	if current := s.current.Load(); current != nil && current.table == t {
		return current
	}
	derived := &sharedServices{table: t, shared: permits.SharedServices(t, s.maxPatience), longest: map[string]time.Duration{}}
	s.current.Store(derived)
	return derived
}

// sinceFirstAttempt returns how long ago a caller made its first attempt: a caller states the
// time that it has left, and states the same time at each first attempt. More than the route's
// timeout has no effect on the request, and counts as that.
func (s *sharing) sinceFirstAttempt(t *table.Table, r *table.Route, stated time.Duration) time.Duration {
	if stated <= 0 {
		return 0
	}
	if r.Timeout > 0 {
		stated = min(stated, r.Timeout)
	}
	services := s.servicesOf(t)
	services.mu.Lock()
	defer services.mu.Unlock()
	services.longest[r.Name] = max(services.longest[r.Name], stated)
	return services.longest[r.Name] - stated
}

// ask describes the call's request to the broker.
func (s *callState) ask(noWait bool) permits.Ask {
	c, sharing := &s.call, s.forwarder.sharing
	elapsed := time.Since(s.start) + sharing.sinceFirstAttempt(s.forwarder.View.Current().Table, c.Route, c.CallerTimeout)
	return permits.Ask{
		Domain: s.forwarder.domain, Route: c.Route.Name, Organisation: c.Organisation, Internal: c.Internal, Priority: c.Priority,
		Objective: max(0, c.Route.LatencyObjective-elapsed), Deadline: time.Until(c.Deadline), Repeatable: c.Route.Repeatable(), NoWait: noWait, Avoid: s.avoid(noWait),
		Regions: s.regions(),
	}
}

// maxAvoidedServers bounds the servers that an ask names for their failure domain.
const maxAvoidedServers = 64

// avoid returns the servers that the next attempt must not go to: those asked before, and for the
// first hedge all of the failure domains that are silent if whole ones may be lost, so that a request is
// not sent twice into a domain that is cut off. It names no domains if no server would be left.
func (s *callState) avoid(isHedge bool) []string {
	avoid := slices.Clone(s.asked)
	if !s.forwarder.BearsLostDomains || !isHedge || s.inFlight == 0 || s.hedgedElsewhere {
		return avoid
	}
	s.hedgedElsewhere = true
	servers, regions, left := s.forwarder.View.Current().Servers[s.service], s.regions(), false
	for i := range servers {
		switch {
		case !slices.Contains(s.askedDomains, servers[i].FailureDomain):
			left = left || servers[i].TakesWork() && regions.Allows(servers[i].Region)
		case !slices.Contains(s.asked, servers[i].ID):
			avoid = append(avoid, servers[i].ID)
		}
	}
	if !left || len(avoid) > maxAvoidedServers {
		return slices.Clone(s.asked)
	}
	return avoid
}

// permitAnswer is the answer to an ask.
type permitAnswer struct {
	permit  *broker.Permit
	refusal *broker.Refusal
	err     error
	noWait  bool
	took    time.Duration
}

// acquire asks for a permit in the background. The answer arrives in s.permitAnswers, or the
// permit is returned if ctx ends before.
func (s *callState) acquire(ctx context.Context, noWait bool) {
	s.asking++
	ask, start := s.ask(noWait), time.Now()
	go func() {
		a := permitAnswer{noWait: noWait}
		a.permit, a.refusal, a.err = s.forwarder.sharing.permits.Acquire(ctx, s.service, ask)
		a.took = time.Since(start)
		select {
		case s.permitAnswers <- a:
		case <-ctx.Done():
			if a.permit != nil {
				returnUnused(a.permit)
			}
		}
	}()
}

// returnUnused gives a permit back for which nothing was sent.
func returnUnused(p *broker.Permit) {
	permitsUnused.Add(1)
	p.Done(0, evidence.Unused)
}

// handlePermitAnswer starts an attempt with a permit, or decides without one. It returns the
// final answer or error and true, or false if an attempt is in flight or an ask is pending.
func (s *callState) handlePermitAnswer(ctx context.Context, a permitAnswer) (*Reply, *kinds.Error, bool) {
	s.asking--
	switch {
	case ctx.Err() != nil:
		if a.permit != nil {
			returnUnused(a.permit)
		}
		s.logNoPermit(s.asking + 1)
		return nil, s.contextError(ctx), true
	case a.permit != nil:
		if s.usePermit(ctx, a) {
			return nil, nil, false
		}
	case a.err != nil:
		s.withoutBroker = true
		s.forwarder.log.Info("No broker.", zap.String("id", s.call.ID), zap.String("service", s.service), zap.Duration("took", a.took), zap.Error(a.err))
		if !a.noWait && s.retry(ctx) {
			return nil, nil, false
		}
	default:
		s.forwarder.log.Info("Permit refused.", zap.String("id", s.call.ID), zap.String("service", s.service), zap.String("organisation", s.call.Organisation),
			zap.String("why", string(a.refusal.Kind)), zap.String("reason", a.refusal.Reason), zap.String("broker", a.refusal.Broker), nonEmpty(zap.String("region", a.refusal.Region)),
			zap.Duration("retry_after", a.refusal.RetryAfter), zap.Duration("wait", a.refusal.Wait), zap.Bool("hedge", a.noWait), zap.Duration("took", a.took))
		s.refusal = a.refusal
	}
	if a.noWait && s.inFlight > 0 {
		s.hedge.Reset(s.hedgeDelay()) // a place may be free later
	}
	if s.inFlight > 0 || s.asking > 0 {
		return nil, nil, false
	}
	if a.noWait && s.retry(ctx) { // the attempt beside which it was asked for has failed meanwhile
		return nil, nil, false
	}
	return s.finalFailure()
}

// logNoPermit logs that the call ended while it waited for the answers to some asks. A call with
// an attempt in flight waited for a second one, which says nothing.
func (s *callState) logNoPermit(asks int) {
	if asks == 0 || s.inFlight > 0 {
		return
	}
	s.forwarder.log.Info("No permit in time.", zap.String("id", s.call.ID), zap.String("service", s.service), zap.String("organisation", s.call.Organisation),
		zap.Int("refusals", s.refusals), zap.Duration("took", time.Since(s.start)))
}

// usePermit starts the attempt that a permit allows, or asks for another one if its server is
// not known here or leaves. It returns false if neither is allowed; a suspect is at one server
// at a time.
func (s *callState) usePermit(ctx context.Context, a permitAnswer) bool {
	server, known := s.forwarder.View.Current().Server(s.service, a.permit.Server)
	isAllowed := s.regions().Allows(server.Region) // they may have changed since the ask
	if known && isAllowed && server.TakesWork() && s.mayRepeat() && s.mayStart() && !s.isQuarantined() && (s.inFlight == 0 || !s.isSuspect()) {
		c := choice{server: server, eligible: 1, listed: len(s.forwarder.View.Current().Servers[s.service]), reason: "permit: " + a.permit.Reason, permit: a.permit, asked: a.took}
		if !a.permit.IsOwn {
			c.grantedAt = time.Now().Add(-a.permit.Age())
		}
		if s.inFlight > 0 {
			hedges.Add(1)
		}
		s.startAttempt(ctx, c)
		return true
	}
	returnUnused(a.permit)
	s.forwarder.log.Info("Permit not used.", zap.String("id", s.call.ID), zap.String("server", a.permit.Server), zap.Bool("known", known), zap.Bool("leaving", server.Leaving), zap.Bool("evacuated", server.Evacuated),
		zap.Bool("region_allowed", isAllowed), zap.String("region", server.Region))
	s.asked = append(s.asked, a.permit.Server)
	s.refusals++
	if a.noWait || s.lacksRegion() || s.refusals > maxRefusals || !s.mayRepeat() || !s.mayStart() || s.isQuarantined() || s.inFlight > 0 && s.isSuspect() {
		return false
	}
	s.acquire(ctx, false)
	return true
}

// permitError returns the error of a call that got no permit and was sent to no server.
func (s *callState) permitError() *kinds.Error {
	kind := kinds.Overloaded
	switch s.refusal.Kind {
	case permits.DeadlineTooShort:
		kind = kinds.DeadlineTooShort
	case permits.NoServer:
		kind = kinds.NoServer
	}
	return s.refuse(kind, "no place at a server in time; wait "+s.refusal.Wait.Round(time.Millisecond).String()).WithRetryAfter(max(s.refusal.RetryAfter, time.Millisecond))
}

// permitFields returns the fields of a log line on an attempt: which broker granted its permit
// how long that took, of which region it is, and why not of the own one.
func permitFields(c *choice) []zap.Field {
	if c.permit == nil {
		return nil
	}
	return []zap.Field{zap.String("broker", c.permit.Broker), zap.Duration("waited", c.asked), nonEmpty(zap.String("region", c.permit.Region)), nonEmpty(zap.String("spilled", string(c.permit.Spilled)))}
}

// nonEmpty returns a string field, which is left out if its value is empty.
func nonEmpty(f zap.Field) zap.Field {
	if f.String == "" {
		return zap.Skip()
	}
	return f
}

// outcomeOf returns how an attempt ended, as evidence on its server.
func outcomeOf(o *outcome) evidence.Outcome {
	isUnsent := o.err != nil && o.notRun
	switch {
	case errors.Is(o.err, errNoRoom), errors.Is(o.err, backend.ErrWithheld):
		return evidence.Unused
	case isUnsent && (!o.ctxDone || o.took >= darkAfter):
		return evidence.Unreachable
	case o.ctxDone:
		return evidence.Abandoned
	case o.notRun:
		return evidence.Refused
	case o.err != nil || o.reply.Status >= http.StatusInternalServerError:
		return evidence.Failed
	default:
		return evidence.Answered
	}
}
