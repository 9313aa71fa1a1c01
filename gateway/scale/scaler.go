// Package scale orders the servers of services whose number this system may change. One process
// at a time has the duty to do so. It measures the load of each service, decide/scale decides
// the numbers, and the platform is told those that have changed.
package scale

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/sleep"
	"dandelionsill.org/decide/scale"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/gateway/duties"
	"dandelionsill.org/platform"
)

// Duty is the lease key of the duty to order servers.
const Duty = "scale"

const (
	// DefaultInterval is the usual interval between two decisions.
	DefaultInterval = time.Second
	// loadTimeout bounds the measurement of a service's load.
	loadTimeout = 500 * time.Millisecond
	// maxMeasurements bounds the services whose load is measured at the same time.
	maxMeasurements = 8
)

// Loads measures the loads of services.
type Loads interface {
	// Load returns the current load of a service; an error means that it is unknown, except
	// for the servers if Load.Domains is set.
	Load(ctx context.Context, service table.Service) (scale.Load, error)
}

// Scaler orders servers while this process has the duty. Its state is lost with the duty: a new
// holder starts from the servers that it sees.
type Scaler struct {
	Keeper   *duties.Keeper
	Platform platform.ServerOrderer
	Loads    Loads
	// Table returns the configuration in force; nil: none is known.
	Table func() *table.Table
	VM    string
	// Interval is the time between two decisions, DefaultInterval but for tests.
	Interval time.Duration
	// Now reads a monotonic clock that continues while the VM is suspended.
	Now func() time.Duration
	Log *zap.Logger

	term     duties.Term
	services map[string]*service
	orders   orders

	// stopKeeper ends the keeper's loop; nil: it does not run.
	stopKeeper func()

	mu      sync.Mutex
	targets map[string]int // as last decided, by service and failure domain
}

// service is what the holder knows of one service.
type service struct {
	decider *scale.Service
	unknown bool // the load was unknown, as last logged
}

// measurement is the load of a service as measured.
type measurement struct {
	service table.Service
	load    scale.Load
	err     error
	at      time.Duration // when the measurement was started
}

// Run decides and orders until ctx ends. While no service has bounds for its servers, this process
// neither reads nor writes the duty's lease.
func (s *Scaler) Run(ctx context.Context) {
	metrics.Gauge("scale_targets", func() any { return s.Targets() })
	defer s.deactivate()
	for sleep.For(ctx, s.Interval) {
		services := s.boundedServices()
		if len(services) == 0 {
			s.deactivate()
			continue
		}
		s.activate(ctx)
		term, held := s.Keeper.Term()
		if !held {
			s.endTerm()
			continue
		}
		if term.Token != s.term.Token {
			s.startTerm(term)
		}
		s.decide(ctx, services)
		s.sendOrders(ctx)
	}
}

// boundedServices returns the services whose number of servers is bounded, by name.
func (s *Scaler) boundedServices() []table.Service {
	t := s.Table()
	if t == nil {
		return nil
	}
	var bounded []table.Service
	for _, name := range slices.Sorted(maps.Keys(t.Services)) {
		if t.Services[name].Scaling != nil {
			bounded = append(bounded, t.Services[name])
		}
	}
	return bounded
}

// activate starts to acquire the duty.
func (s *Scaler) activate(ctx context.Context) {
	if s.stopKeeper != nil {
		return
	}
	s.Log.Info("The configuration bounds the servers of some services.")
	ctx, cancel := context.WithCancel(ctx)
	var loop sync.WaitGroup
	loop.Go(func() { s.Keeper.Run(ctx) })
	s.stopKeeper = func() { cancel(); loop.Wait() }
}

// deactivate stops to acquire or renew the duty; a lease that this process has expires.
func (s *Scaler) deactivate() {
	if s.stopKeeper == nil {
		return
	}
	s.Log.Info("No servers are ordered any more: no service has bounds, or the process stops.")
	s.stopKeeper()
	s.stopKeeper = nil
	s.endTerm()
}

func (s *Scaler) startTerm(term duties.Term) {
	s.endTerm()
	s.term = term
	s.Log.Info("Ordering servers from now on.", zap.Uint64("token", term.Token))
}

// endTerm drops all that this process decided as the holder.
func (s *Scaler) endTerm() {
	s.term, s.services, s.orders = duties.Term{}, map[string]*service{}, orders{}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets = map[string]int{}
}

// Targets returns the numbers of servers as last decided by this process, by service and failure
// domain. It is safe for concurrent use.
func (s *Scaler) Targets() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.targets)
}

// decide measures the load of the services and decides their numbers of servers.
func (s *Scaler) decide(ctx context.Context, bounded []table.Service) {
	targets := map[string]int{}
	for _, m := range s.measure(ctx, bounded) {
		state := s.services[m.service.Name]
		if state == nil {
			state = &service{decider: scale.New()}
			s.services[m.service.Name] = state
		}
		s.logKnown(state, &m)
		m.load.Known = m.err == nil
		plan := state.decider.Decide(time.Unix(0, 0).Add(s.Now()), &m.load, *m.service.Scaling)
		s.orders.withhold(m.service.Name, plan.Evacuated)
		for _, target := range plan.Targets {
			subject := subject{m.service.Name, target.Domain}
			targets[subject.String()] = target.To
			if target.To != target.From {
				s.logChange(&m, &plan, target)
				s.orders.put(subject, target, s.Now())
			}
		}
	}
	isBounded := func(name string) bool {
		return slices.ContainsFunc(bounded, func(b table.Service) bool { return b.Name == name })
	}
	maps.DeleteFunc(s.services, func(name string, _ *service) bool { return !isBounded(name) })
	s.orders.retain(isBounded)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets = targets
}

// measure measures the loads of services, several at the same time.
func (s *Scaler) measure(ctx context.Context, bounded []table.Service) []measurement {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	measurements := make([]measurement, len(bounded))
	var running sync.WaitGroup
	slots := make(chan struct{}, maxMeasurements)
	for i, b := range bounded {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			m := measurement{service: b, at: s.Now()}
			m.load, m.err = s.Loads.Load(ctx, b)
			measurements[i] = m
		})
	}
	running.Wait()
	return measurements
}

// logKnown logs when the load of a service becomes unknown or known again.
func (s *Scaler) logKnown(state *service, m *measurement) {
	unknown := m.err != nil
	if unknown == state.unknown {
		return
	}
	state.unknown = unknown
	if unknown {
		s.Log.Warn("The load of a service is unknown; no servers are taken away.", zap.String("service", m.service.Name), zap.Error(m.err))
		return
	}
	s.Log.Info("The load of a service is known again.", zap.String("service", m.service.Name))
}

func (s *Scaler) logChange(m *measurement, plan *scale.Plan, target scale.Target) {
	load := &m.load
	here := load.Domains[target.Domain]
	s.Log.Info("Number of servers changed.", zap.String("service", m.service.Name), zap.String("domain", target.Domain),
		zap.Int("from", target.From), zap.Int("to", target.To), zap.String("why", target.Reason),
		zap.Bool("load_known", plan.Known), zap.Float64("demand", plan.Demand), zap.Float64("forecast", plan.Forecast), zap.Int("needed", plan.Needed), zap.Strings("lost", plan.Lost), zap.Strings("evacuated", plan.Evacuated),
		zap.Int("waiting", load.Waiting), zap.Int("refused", load.Refused), zap.Float64("asks_per_s", load.AsksPerSecond), zap.Duration("mean", load.MeanTime), zap.Duration("objective", load.Objective),
		zap.Int("ready", here.Ready), zap.Int("leaving", here.Leaving), zap.Int("places", here.Places), zap.Int("running", here.Running),
		zap.Duration("load_age", s.Now()-m.at), zap.Uint64("token", s.term.Token))
}

// subject is a service in a failure domain.
type subject struct{ service, domain string }

func (s subject) String() string { return fmt.Sprintf("%s/%s", s.service, s.domain) }
