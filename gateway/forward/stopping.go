package forward

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/decide/drain"
	"dandelionsill.org/gateway/stopping"
	"dandelionsill.org/kinds"
)

// maxTimedRoutes bounds the routes whose durations are kept.
const maxTimedRoutes = 4096

var (
	stopRefusals = metrics.Counter("forward_stop_refusals_total")
	stopCutOffs  = metrics.Counter("forward_stop_unknown_outcomes_total")
)

// routeDurations holds how long the requests of each route take.
type routeDurations struct {
	mu      sync.Mutex
	byRoute map[string]*drain.Estimator
}

// observe records a request that a server answered with success.
func (d *routeDurations) observe(route string, took time.Duration) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.byRoute[route]
	if e == nil {
		e = &drain.Estimator{}
		d.add(route, e, now)
	}
	e.Observe(took, now)
}

// add adds a route, if there is room once routes without recent requests are dropped; mu is held.
func (d *routeDurations) add(route string, e *drain.Estimator, now time.Time) {
	if d.byRoute == nil {
		d.byRoute = map[string]*drain.Estimator{}
	}
	if len(d.byRoute) >= maxTimedRoutes {
		for name, known := range d.byRoute {
			if known.Durations(now).Observed == 0 {
				delete(d.byRoute, name)
			}
		}
	}
	if len(d.byRoute) < maxTimedRoutes {
		d.byRoute[route] = e
	}
}

// of returns what is known of a route.
func (d *routeDurations) of(route string) drain.Durations {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.byRoute[route]; e != nil {
		return e.Durations(time.Now())
	}
	return drain.Durations{}
}

// mayStart reports whether the request may be sent to a server as far as the stop of this process is concerned. One that a
// server may have run already goes on, since its caller could not safely send it elsewhere.
func (s *callState) mayStart() bool {
	moment, isStopping := s.forwarder.Stop.Moment()
	return !isStopping || s.mayHaveRun > 0 || drain.MayStart(moment, time.Until(s.call.Deadline), s.forwarder.durations.of(s.call.Route.Name))
}

// refuseStopping returns the refusal of a request that may not start because this process stops; nil: it may.
func (s *callState) refuseStopping() *kinds.Error {
	if s.mayStart() {
		return nil
	}
	stopRefusals.Add(1)
	moment, _ := s.forwarder.Stop.Moment()
	known, limit := s.forwarder.durations.of(s.call.Route.Name), time.Until(s.call.Deadline)
	s.forwarder.log.Info("This process stops before the request could end.", zap.String("id", s.call.ID), zap.String("route", s.call.Route.Name),
		zap.Duration("left", moment.Left), zap.Bool("callers_arrive", moment.CallersArrive), zap.Duration("deadline", limit), zap.Int("observed", known.Observed),
		zap.Duration("mean", known.Mean), zap.Duration("longest", known.Longest), zap.Duration("waited", time.Since(s.start)))
	return s.refuse(kinds.Leaving, "this process stops before the request could end").WithRetryAfter(stopping.RetryAfter)
}

// endAtStop returns the final answer or error of a call that this process can't wait for any longer, and true; false: the
// call goes on. Answers that are there go first.
func (s *callState) endAtStop() (*Reply, *kinds.Error, bool) {
	if len(s.outcomes) > 0 {
		return nil, nil, false
	}
	err := s.errorAtStop()
	if err != nil && s.lastFailure != nil {
		return s.finalFailure()
	}
	return nil, err, err != nil
}

// errorAtStop returns the error of a call whose caller has got nothing and will get nothing, because this process stops;
// nil: it may go on.
func (s *callState) errorAtStop() *kinds.Error {
	if !s.forwarder.Stop.HasEnded() || s.mayHaveRun == 0 {
		return s.refuseStopping()
	}
	stopCutOffs.Add(1)
	if s.inFlight > 0 {
		s.usage.RecordExecution(time.Since(s.start))
	}
	return kinds.New(kinds.OutcomeUnknown, "this process stops; no answer yet of the servers asked: %v", s.asked)
}
