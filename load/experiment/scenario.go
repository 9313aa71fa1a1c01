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
	defaultCalls        = 60 // requests per second to the plain service
	defaultCompletions  = 8  // per second
	sharedFactor        = 3  // factor on both rates in the scenarios shared and apps
	overloadFactor      = 2  // rate as a multiple of the plain service's capacity
	overloadCompletions = 40
)

const stallTime = float64(4 * time.Second) // model time

// Scenario defines the load and the faults of a run.
type Scenario struct {
	Name           string
	Trainers       int
	NoTrainer      bool    // no trainer runs; the reference for the application's latency
	PublishEvery   int     // steps between weight versions; 0: no new versions
	Calls          float64 // a second
	OverloadFactor float64 // if not 0, sets Calls to this multiple of the plain service's capacity
	Completions    float64 // a second
	// Crashes means that processes crash or freeze without notice, so that requests
	// in flight there may be interrupted.
	Crashes bool
	// injectFaults causes the faults during the run; nil: no faults.
	injectFaults func(ctx context.Context, r *run) error
}

var scenarios = []Scenario{
	{Name: "steady"},
	{Name: "stragglers", injectFaults: stragglers},
	{Name: "weights", PublishEvery: 2},
	{Name: "shared", Trainers: 2, PublishEvery: 4, Calls: sharedFactor * defaultCalls, Completions: sharedFactor * defaultCompletions},
	{Name: "apps", NoTrainer: true, Calls: sharedFactor * defaultCalls, Completions: sharedFactor * defaultCompletions},
	{Name: "crash", Crashes: true, injectFaults: crash},
	{Name: "freeze", Crashes: true, injectFaults: freeze},
	{Name: "log-outage", PublishEvery: 3, injectFaults: logOutage},
	{Name: "leave", injectFaults: leave},
	{Name: "overload", OverloadFactor: overloadFactor, Completions: overloadCompletions},
}

// Find returns the scenario with the given name. The error for an unknown name
// lists the known ones.
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
		s.Calls = defaultCalls
	}
	if s.Completions == 0 {
		s.Completions = defaultCompletions
	}
	return s
}

// stragglers slows one engine down by a factor of four for the whole run and
// repeatedly freezes one of the others for a short time.
func stragglers(ctx context.Context, r *run) error {
	const slow = 4
	stall := time.Duration(stallTime * r.site.TimeScale)
	engines := r.site.ByRole(site.RoleEngine)
	if err := site.SetFaults(ctx, engines[0], engine.Faults{SlowFactor: slow}); err != nil {
		return errors.Trace(err)
	}
	r.mu.Lock()
	r.slowFactors[engines[0].Name] = slow
	r.mu.Unlock()
	for i := 1; r.waitUntil(ctx, float64(i)*0.15); i++ {
		e := engines[1+(int(r.cfg.Seed)+i)%(len(engines)-1)]
		if err := site.SetFaults(ctx, e, engine.Faults{FreezeMS: int(stall.Milliseconds())}); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// crash kills the backend server and the agent of an engine, then the agent of a
// plain service, then an entry.
func crash(ctx context.Context, r *run) error {
	r.waitUntil(ctx, 0.25)
	vm := r.site.ByName("engine-2")
	if err := r.kill(ctx, vm.Name, vm.BackendServer); err != nil {
		return errors.Trace(err)
	}
	r.waitUntil(ctx, 0.45)
	if err := r.kill(ctx, "service-1"); err != nil {
		return errors.Trace(err)
	}
	r.waitUntil(ctx, 0.65)
	return r.kill(ctx, "entry-1")
}

// freeze suspends and resumes, one after the other, the VM of an engine, an entry
// and the agent of a plain service.
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
		r.waitUntil(ctx, f.at)
		if err := r.signal(syscall.SIGSTOP, f.names...); err != nil {
			return errors.Trace(err)
		}
		r.waitUntil(ctx, f.at+0.15)
		if err := r.signal(syscall.SIGCONT, f.names...); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// logOutage makes the log unavailable for almost half of the run.
func logOutage(ctx context.Context, r *run) error {
	log := r.site.ByName("log")
	r.waitUntil(ctx, 0.2)
	if err := site.SetFaults(ctx, log, logsvc.Faults{Down: true}); err != nil {
		return errors.Trace(err)
	}
	r.waitUntil(ctx, configCommitShare-0.1)
	return site.SetFaults(ctx, log, logsvc.Faults{})
}

// leave stops the agents of an engine and of a plain service and an entry as
// planned: each is marked as leaving in the VM list and receives SIGTERM shortly
// after.
func leave(ctx context.Context, r *run) error {
	const signalDelay = 200 * time.Millisecond
	for _, f := range []struct {
		at   float64
		name string
	}{{0.2, "engine-3"}, {0.4, "entry-2"}, {0.55, "service-2"}} {
		r.waitUntil(ctx, f.at)
		p := r.site.ByName(f.name)
		if err := r.site.SetVM(ctx, p, platform.VMLeaving); err != nil {
			return errors.Trace(err)
		}
		sleep.For(ctx, signalDelay)
		if err := r.terminate(p.Name); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
