package experiment

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/load/site"
	"dandelionsill.org/platform"
	"dandelionsill.org/standin/engine"
	"dandelionsill.org/standin/logsvc"
)

// Load of one run, in wall time.
const (
	usualCalls       = 60 // requests a second to the plain service
	usualCompletions = 8  // a second
	sharedFactor     = 3  // more of both beside two trainers
	overloadFactor   = 2  // requests to the plain service for each that it can run
	overloadCompl    = 40
)

const stallTime = float64(4 * time.Second) // model time

// Scenario is what happens during a run.
type Scenario struct {
	Name         string
	Trainers     int
	NoTrainer        bool    // no trainer: what the application's latency is compared with
	PublishEvery int     // steps between weight versions; 0: none
	Calls        float64 // a second
	OverloadFactor     float64 // calls in place of Calls, as a multiple of the plain service's capacity
	Completions  float64 // a second
	// Crashes: processes die or stand still without notice, so requests in
	// flight there may be cut off.
	Crashes bool
	// script brings the faults about; nil: none.
	script func(ctx context.Context, r *run) error
}

var scenarios = []Scenario{
	{Name: "steady"},
	{Name: "stragglers", script: stragglers},
	{Name: "weights", PublishEvery: 2},
	{Name: "shared", Trainers: 2, PublishEvery: 4, Calls: sharedFactor * usualCalls, Completions: sharedFactor * usualCompletions},
	{Name: "apps", NoTrainer: true, Calls: sharedFactor * usualCalls, Completions: sharedFactor * usualCompletions},
	{Name: "crash", Crashes: true, script: crash},
	{Name: "freeze", Crashes: true, script: freeze},
	{Name: "log-outage", PublishEvery: 3, script: logOutage},
	{Name: "leave", script: leave},
	{Name: "overload", OverloadFactor: overloadFactor, Completions: overloadCompl},
}

// Find returns a scenario by name.
func Find(name string) (Scenario, error) {
	var names []string
	for _, s := range scenarios {
		if s.Name == name {
			return s.withDefaults(), nil
		}
		names = append(names, s.Name)
	}
	return Scenario{}, fmt.Errorf("scenario %q: want one of %s", name, strings.Join(names, ", "))
}

func (s Scenario) withDefaults() Scenario {
	if s.Trainers == 0 && !s.NoTrainer {
		s.Trainers = 1
	}
	if s.Calls == 0 {
		s.Calls = usualCalls
	}
	if s.Completions == 0 {
		s.Completions = usualCompletions
	}
	return s
}

// stragglers: one engine is four times slower throughout, and every now and
// then another one stands still for a moment.
func stragglers(ctx context.Context, r *run) error {
	const slow = 4
	stall := time.Duration(stallTime * r.site.TimeScale)
	engines := r.site.ByRole(site.RoleEngine)
	if err := site.SetFaults(ctx, engines[0], engine.Faults{SlowFactor: slow}); err != nil {
		return errors.Trace(err)
	}
	r.mu.Lock()
	r.slow[engines[0].Name] = slow
	r.mu.Unlock()
	for i := 1; r.until(ctx, float64(i)*0.15); i++ {
		e := engines[1+(int(r.cfg.Seed)+i)%(len(engines)-1)]
		if err := site.SetFaults(ctx, e, engine.Faults{FreezeMS: int(stall.Milliseconds())}); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// crash: the VM of an engine dies whole, then the agent beside a plain
// service, then an entry.
func crash(ctx context.Context, r *run) error {
	r.until(ctx, 0.25)
	vm := r.site.ByName("engine-2")
	if err := r.kill(ctx, vm.Name, vm.BackendServer); err != nil {
		return errors.Trace(err)
	}
	r.until(ctx, 0.45)
	if err := r.kill(ctx, "service-1"); err != nil {
		return errors.Trace(err)
	}
	r.until(ctx, 0.65)
	return r.kill(ctx, "entry-1")
}

// freeze: the VM of an engine, an entry, and the agent beside a plain service
// stand still for a while, one after the other, and go on.
func freeze(ctx context.Context, r *run) error {
	vm := r.site.ByName("engine-1")
	for _, f := range []struct {
		at    float64
		names []string
	}{
		{0.15, []string{vm.Name, vm.BackendServer}},
		{0.45, []string{"entry-2"}},
		{0.70, []string{"service-2"}},
	} {
		r.until(ctx, f.at)
		if err := r.signal(syscall.SIGSTOP, f.names...); err != nil {
			return errors.Trace(err)
		}
		r.until(ctx, f.at+0.15)
		if err := r.signal(syscall.SIGCONT, f.names...); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// logOutage: the log takes and tells nothing for half of the run.
func logOutage(ctx context.Context, r *run) error {
	log := r.site.ByName("log")
	r.until(ctx, 0.2)
	if err := site.SetFaults(ctx, log, logsvc.Faults{Down: true}); err != nil {
		return errors.Trace(err)
	}
	r.until(ctx, configAt-0.1)
	return site.SetFaults(ctx, log, logsvc.Faults{})
}

// leave: an engine, an entry and a plain service's server leave as planned:
// the VM list says so, a moment later SIGTERM comes.
func leave(ctx context.Context, r *run) error {
	const notice = 200 * time.Millisecond
	for _, f := range []struct {
		at   float64
		name string
	}{{0.2, "engine-3"}, {0.4, "entry-2"}, {0.55, "service-2"}} {
		r.until(ctx, f.at)
		p := r.site.ByName(f.name)
		if err := r.site.SetVM(ctx, p, platform.VMLeaving); err != nil {
			return errors.Trace(err)
		}
		sleep.For(ctx, notice)
		if err := r.term(p.Name); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
