// Package experiment runs one scenario against a site of real processes: it runs
// the trainers and callers, injects the faults and computes the result row. It
// starts no process and signals only those whose PIDs their starter wrote to the
// PID files.
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
	configCommitShare = 0.75 // share of the run after which a new revision is committed
	configTimeout     = 10 * time.Second
	stepTimeout       = 45 * time.Second
)

// Workload defines the steps of a trainer. Zero fields take defaults, except
// MaxAhead.
type Workload struct {
	Groups      int // per step
	Samples     int // per group
	MaxTokens   int // per sample
	PromptChars int
	// MaxAhead is how many delivered steps may wait for their training when a
	// trainer requests the next step.
	MaxAhead int
	// TrainTime is the model time of the training on a step; 0 means the ideal time
	// of a step, so that trainer and engines are balanced.
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

// Config holds the settings of a run.
type Config struct {
	Site     *site.Site
	Scenario Scenario
	Seed     uint64
	Duration time.Duration // no step and no call starts later
	Workload Workload
}

// run is the state of one run.
type run struct {
	cfg     Config
	site    *site.Site
	started time.Time
	newest  atomic.Uint64

	mu           sync.Mutex
	stopped      map[string]bool    // processes that were killed or terminated
	slowFactors  map[string]float64 // by how much engines were slowed down
	killedTotals engine.Totals      // totals of the killed engines, read just before the kill
	steps        []judge.Step
	idealTimes   []time.Duration
	configTime   time.Duration
}

// Run runs the scenario and returns its row. It prints the outcomes of the calls
// and the times of the steps to w.
func Run(ctx context.Context, cfg Config, w io.Writer) (report.Row, error) {
	cfg.Workload = cfg.Workload.withDefaults()
	r := &run{cfg: cfg, site: cfg.Site, started: time.Now(), stopped: map[string]bool{}, slowFactors: map[string]float64{}}
	r.newest.Store(1)
	if factor := cfg.Scenario.OverloadFactor; factor > 0 {
		r.cfg.Scenario.Calls = factor * r.site.ServiceCapacity()
	}
	callers := newApps(r)
	var wg sync.WaitGroup
	errs := make(chan error, 2+cfg.Scenario.Trainers)
	start := func(f func(context.Context) error) {
		wg.Go(func() { errs <- f(ctx) })
	}
	start(r.commitRevision)
	if cfg.Scenario.injectFaults != nil {
		start(func(ctx context.Context) error { return cfg.Scenario.injectFaults(ctx, r) })
	}
	for i := range cfg.Scenario.Trainers {
		start(func(ctx context.Context) error { return r.runTrainer(ctx, i) })
	}
	callers.sendAll(ctx)
	wg.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return report.Row{}, errors.Annotatef(err, "%s %s", cfg.Scenario.Name, cfg.Site.Policy)
		}
	}
	fmt.Fprintf(w, "answers %v, dropped %d\n", callers.countOutcomes(), callers.dropped)
	fmt.Fprintf(w, "plain service: %.0f calls/s asked, %.0f/s answered, %.0f/s can be run\n",
		r.cfg.Scenario.Calls, callers.goodput(), r.site.ServiceCapacity())
	for i := range r.steps {
		s := &r.steps[i]
		fmt.Fprintf(w, "%s step %d: %d ms, ideal %d ms, trainer idle %d ms\n",
			s.Trainer, s.Step, s.Duration.Milliseconds(), r.idealTimes[i].Milliseconds(), s.IdleTime.Milliseconds())
	}
	return r.buildRow(ctx, callers)
}

// waitUntil waits until a share of the run's duration has passed. It returns false
// if ctx has ended or share is 1 or more.
func (r *run) waitUntil(ctx context.Context, share float64) bool {
	due := r.started.Add(time.Duration(share * float64(r.cfg.Duration)))
	sleep.For(ctx, time.Until(due))
	return ctx.Err() == nil && share < 1
}

// runTrainer runs trainer i, counted from 0.
func (r *run) runTrainer(ctx context.Context, i int) error {
	w := r.cfg.Workload
	name := site.TrainerName(i + 1)
	cfg := rollout.Config{
		Name: name, Token: site.Token(name), Model: r.site.Deployment.Model,
		Entries: r.site.URLs(site.RoleEntry), Store: r.site.ByName("weights").URL,
		Groups: w.Groups / r.cfg.Scenario.Trainers, Samples: w.Samples, MaxTokens: w.MaxTokens,
		PromptChars: w.PromptChars, Bound: r.site.Deployment.Bound, Seed: r.cfg.Seed + uint64(i)<<32,
		Duration: r.cfg.Duration, StepTimeout: stepTimeout,
		TrainTime: r.trainTime(), MaxAhead: w.MaxAhead,
		WeightBytes: r.site.WeightSize, NewestVersion: &r.newest, OnStep: r.recordStep,
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

// trainTime returns the wall time of the training on one step. Two trainers that
// share the engines each have one half of the step's groups, and the same time.
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

// relativeSpeed returns the current speed of the agent's engine as a share of its
// speed without faults. The caller holds r.mu.
func (r *run) relativeSpeed(agent site.Process) float64 {
	switch slow := r.slowFactors[agent.BackendServer]; {
	case r.stopped[agent.Name]:
		return 0
	case slow > 1:
		return 1 / slow
	}
	return 1
}

// recordStep stores a step with the ideal time for its samples on the engines that
// run at present.
func (r *run) recordStep(s judge.Step) {
	lengths := make([]int, 0, len(s.Samples))
	for _, m := range s.Samples {
		lengths = append(lengths, r.site.Engine.LengthModel().Tokens(m.Prompt, m.Seed, m.MaxTokens))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	engines := 0.0
	for _, p := range r.site.ByRole(site.RoleAgent) {
		if p.Serves == r.site.Deployment.Model {
			engines += r.relativeSpeed(p)
		}
	}
	ideal := float64(r.site.Engine.IdealTime(lengths, engines)) * r.site.TimeScale
	r.steps = append(r.steps, s)
	r.idealTimes = append(r.idealTimes, time.Duration(ideal))
}

// commitRevision commits a new revision and measures how long it takes until the
// revision is in force at all running agents and entries.
func (r *run) commitRevision(ctx context.Context) error {
	if !r.waitUntil(ctx, configCommitShare) {
		return ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	const secondRevision = 2
	if err := r.site.Commit(ctx, secondRevision, r.site.Manifest("second revision")); err != nil {
		return errors.Trace(err)
	}
	committedAt := time.Now()
	var running []site.Process
	r.mu.Lock()
	for _, p := range r.site.AgentsAndEntries() {
		if !r.stopped[p.Name] {
			running = append(running, p)
		}
	}
	r.mu.Unlock()
	err := site.WaitRevision(ctx, running, secondRevision)
	r.mu.Lock()
	r.configTime = time.Since(committedAt)
	r.mu.Unlock()
	return errors.Trace(err)
}

// kill kills processes, as a crash of their VM does. It reads the totals of an
// engine first, as they are lost with the process.
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
		r.killedTotals.Tokens += t.Tokens
		r.mu.Unlock()
	}
	r.markStopped(names...)
	return r.signal(syscall.SIGKILL, names...)
}

// terminate sends SIGTERM to a process.
func (r *run) terminate(name string) error {
	r.markStopped(name)
	return r.signal(syscall.SIGTERM, name)
}

func (r *run) markStopped(names ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		r.stopped[name] = true
	}
}

// signal sends a signal to processes of the site, using the PIDs that their
// starter wrote to the PID files.
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
