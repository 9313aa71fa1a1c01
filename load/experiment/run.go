// Package experiment runs one scenario against a site of real processes: the
// trainers and callers, the faults, and at the end the account. It starts no
// process; it signals those whose pids their starter wrote down.
package experiment

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/load/judge"
	"dandelionsill.org/load/report"
	"dandelionsill.org/load/rollout"
	"dandelionsill.org/load/site"
	"dandelionsill.org/standin/engine"
)

const (
	configAt      = 0.75 // of the run: when a new revision is committed
	configTimeout = 10 * time.Second
	stepTimeout   = 45 * time.Second
)

// Workload is the size of a trainer's step. Zero fields take defaults.
type Workload struct {
	Groups      int
	Samples     int
	MaxTokens   int
	PromptChars int
	// MaxAhead is how many steps may be whole but not trained when a trainer asks
	// for the next one.
	MaxAhead int
	// TrainTime is the model time of the training on a step; 0: that of the ideal
	// step, so that trainer and engines are in balance.
	TrainTime time.Duration
}

func (w Workload) withDefaults() Workload {
	if w.Groups == 0 {
		w.Groups = 256
	}
	if w.Samples == 0 {
		w.Samples = 8
	}
	if w.MaxTokens == 0 {
		w.MaxTokens = 1200
	}
	if w.PromptChars == 0 {
		w.PromptChars = 1000
	}
	return w
}

// Config of a run.
type Config struct {
	Site     *site.Site
	Scenario Scenario
	Seed     uint64
	Duration      time.Duration // no step and no call begins later
	Workload Workload
}

// run is one run in progress.
type run struct {
	cfg     Config
	site    *site.Site
	started time.Time
	newest  atomic.Uint64

	mu     sync.Mutex
	dead   map[string]bool    // killed or told to leave
	slow   map[string]float64 // engines that are so many times slower
	lostTo engine.Totals      // totals of engines that were killed, read just before
	steps  []judge.Step
	ideals []time.Duration
	config time.Duration
}

// Run runs the scenario and returns its row. What callers were told goes to w.
func Run(ctx context.Context, cfg Config, w io.Writer) (report.Row, error) {
	cfg.Workload = cfg.Workload.withDefaults()
	r := &run{cfg: cfg, site: cfg.Site, started: time.Now(), dead: map[string]bool{}, slow: map[string]float64{}}
	r.newest.Store(1)
	if factor := cfg.Scenario.OverloadFactor; factor > 0 {
		r.cfg.Scenario.Calls = factor * r.site.ServiceCapacity()
	}
	apps := newApps(r)
	var all sync.WaitGroup
	errs := make(chan error, 2+cfg.Scenario.Trainers)
	begin := func(f func(context.Context) error) {
		all.Go(func() { errs <- f(ctx) })
	}
	begin(r.commit)
	if cfg.Scenario.script != nil {
		begin(func(ctx context.Context) error { return cfg.Scenario.script(ctx, r) })
	}
	for i := range cfg.Scenario.Trainers {
		begin(func(ctx context.Context) error { return r.train(ctx, i) })
	}
	apps.run(ctx)
	all.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return report.Row{}, errors.Annotatef(err, "%s %s", cfg.Scenario.Name, cfg.Site.Policy)
		}
	}
	fmt.Fprintf(w, "answers %v, dropped %d\n", apps.kinds(), apps.dropped)
	fmt.Fprintf(w, "plain service: %.0f calls/s asked, %.0f/s answered, %.0f/s can be run\n",
		r.cfg.Scenario.Calls, apps.goodput(), r.site.ServiceCapacity())
	for i := range r.steps {
		s := &r.steps[i]
		fmt.Fprintf(w, "%s step %d: %d ms, ideal %d ms, trainer idle %d ms\n",
			s.Trainer, s.Step, s.Duration.Milliseconds(), r.ideals[i].Milliseconds(), s.IdleTime.Milliseconds())
	}
	return r.account(ctx, apps)
}

// until waits for a share of the run to pass; false when ctx ended or the run
// is over.
func (r *run) until(ctx context.Context, share float64) bool {
	due := r.started.Add(time.Duration(share * float64(r.cfg.Duration)))
	sleep.For(ctx, time.Until(due))
	return ctx.Err() == nil && share < 1
}

// train runs trainer i.
func (r *run) train(ctx context.Context, i int) error {
	w := r.cfg.Workload
	name := site.TrainerName(i + 1)
	cfg := rollout.Config{
		Name: name, Token: site.Token(name), Model: r.site.Deployment.Model,
		Entries: r.site.URLs(site.RoleEntry), Store: r.site.ByName("weights").URL,
		Groups: w.Groups / r.cfg.Scenario.Trainers, Samples: w.Samples, MaxTokens: w.MaxTokens,
		PromptChars: w.PromptChars, Bound: r.site.Deployment.Bound, Seed: r.cfg.Seed + uint64(i)<<32,
		Duration: r.cfg.Duration, StepTimeout: stepTimeout,
		TrainTime: r.trainTime(), MaxAhead: w.MaxAhead,
		WeightBytes: r.site.WeightSize, NewestVersion: &r.newest, OnStep: r.stepDone,
	}
	if r.site.Policy == site.PolicyHints {
		lengths := r.site.Engine.LengthModel()
		cfg.KnownLengths = &lengths
	}
	if i == 0 {
		cfg.PublishEvery = r.cfg.Scenario.PublishEvery
	}
	_, err := rollout.Run(ctx, cfg)
	return errors.Annotate(err, name)
}

// trainTime is the wall time of the training on one step. Two trainers that
// share the engines have a half of the step each and the same time for it.
func (r *run) trainTime() time.Duration {
	w := r.cfg.Workload
	train := w.TrainTime
	if train == 0 {
		lengths := make([]int, w.Groups*w.Samples)
		for i := range lengths {
			lengths[i] = r.site.Engine.LengthModel().Tokens(fmt.Sprint(i), uint64(i), w.MaxTokens)
		}
		train = r.site.Engine.IdealTime(lengths, float64(r.site.Deployment.Engines))
	}
	return time.Duration(float64(train) * r.site.TimeScale)
}

// speed is what an engine does at present, as a share of a whole one.
func (r *run) speed(agent site.Process) float64 {
	switch slow := r.slow[agent.BackendServer]; {
	case r.dead[agent.Name]:
		return 0
	case slow > 1:
		return 1 / slow
	}
	return 1
}

func (r *run) stepDone(s judge.Step) {
	lengths := make([]int, 0, len(s.Samples))
	for _, m := range s.Samples {
		lengths = append(lengths, r.site.Engine.LengthModel().Tokens(m.Prompt, m.Seed, m.MaxTokens))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	engines := 0.0
	for _, p := range r.site.ByRole(site.RoleAgent) {
		if p.Serves == r.site.Deployment.Model {
			engines += r.speed(p)
		}
	}
	ideal := float64(r.site.Engine.IdealTime(lengths, engines)) * r.site.TimeScale
	r.steps = append(r.steps, s)
	r.ideals = append(r.ideals, time.Duration(ideal))
}

// commit brings a new revision and measures how long it takes until every
// process that lives holds it.
func (r *run) commit(ctx context.Context) error {
	if !r.until(ctx, configAt) {
		return ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	const second = 2
	if err := r.site.Commit(ctx, second, r.site.Manifest("second revision")); err != nil {
		return errors.Trace(err)
	}
	accepted := time.Now()
	var living []site.Process
	r.mu.Lock()
	for _, p := range r.site.AgentsAndEntries() {
		if !r.dead[p.Name] {
			living = append(living, p)
		}
	}
	r.mu.Unlock()
	err := site.WaitRevision(ctx, living, second)
	r.mu.Lock()
	r.config = time.Since(accepted)
	r.mu.Unlock()
	return errors.Trace(err)
}

// kill ends processes as a crash of their VM does. An engine's account is
// read first: it dies with it.
func (r *run) kill(ctx context.Context, names ...string) error {
	for _, name := range names {
		p := r.site.ByName(name)
		if p.Role != site.RoleEngine {
			continue
		}
		t, err := engineTotals(ctx, p)
		if err != nil {
			return errors.Trace(err)
		}
		r.mu.Lock()
		r.lostTo.Tokens += t.Tokens
		r.mu.Unlock()
	}
	r.markDead(names...)
	return r.signal(syscall.SIGKILL, names...)
}

func (r *run) term(name string) error {
	r.markDead(name)
	return r.signal(syscall.SIGTERM, name)
}

func (r *run) markDead(names ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		r.dead[name] = true
	}
}

// signal sends a signal to processes of the site by the pids that their
// starter wrote down.
func (r *run) signal(sig syscall.Signal, names ...string) error {
	for _, name := range names {
		pid, err := r.site.PID(name)
		if err != nil {
			return errors.Trace(err)
		}
		if err := syscall.Kill(pid, sig); err != nil {
			return errors.Annotatef(err, "%v to %s", sig, name)
		}
	}
	return nil
}
