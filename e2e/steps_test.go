package e2e

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/load/judge"
	"dandelionsill.org/load/rollout"
	"dandelionsill.org/load/site"
	"dandelionsill.org/standin/logsvc"
	"dandelionsill.org/trainer"
)

// trainerRun runs a trainer's steps in the background.
type trainerRun struct {
	c      *cluster
	newest atomic.Uint64
	groups atomic.Int32 // that came
	done   chan struct{}
	steps  []judge.Step
	err    error
}

// startTrainer starts a trainer: steps of 16 groups with 4 samples.
func (c *cluster) startTrainer(steps, publishEvery int, seed uint64) *trainerRun {
	name := site.TrainerName(1)
	r := &trainerRun{c: c, done: make(chan struct{})}
	r.newest.Store(1)
	cfg := rollout.Config{
		Name: name, Token: site.Token(name), Model: c.site.Deployment.Model,
		Entries: c.site.URLs(site.RoleEntry), Store: c.site.Get("weights").URL,
		Groups: 16, Samples: 4, MaxTokens: 400, PromptChars: 600, Bound: c.site.Deployment.Bound, Seed: seed,
		Steps: steps, StepTimeout: maxWait, Train: 50 * time.Millisecond,
		PublishEvery: publishEvery, WeightBytes: c.site.WeightSize, Newest: &r.newest,
		OnGroup: func(uint64, trainer.Group) { r.groups.Add(1) },
	}
	go func() {
		defer close(r.done)
		r.steps, r.err = rollout.Run(c.ctx, cfg)
	}()
	return r
}

// waitGroups waits until n more groups have come.
func (r *trainerRun) waitGroups(n int32) {
	r.c.t.Helper()
	want := r.groups.Load() + n
	r.c.waitFor("groups come", func() error {
		select {
		case <-r.done:
			return nil
		default:
		}
		if r.groups.Load() < want {
			return context.DeadlineExceeded
		}
		return nil
	})
}

// waitComplete waits for the last step's end and requires that every sample came
// once, waitComplete, truly labelled and fresh enough.
func (r *trainerRun) waitComplete(steps int) []judge.Step {
	r.c.t.Helper()
	select {
	case <-r.done:
	case <-time.After(2 * maxWait):
		r.c.t.Fatal("the trainer still waits")
	}
	require.NoError(r.c.t, r.err)
	require.Len(r.c.t, r.steps, steps)
	for i := range r.steps {
		require.True(r.c.t, r.steps[i].Whole(), "step %d: %s", r.steps[i].Step, r.steps[i].Error)
	}
	require.Zero(r.c.t, judge.Steps(r.steps, r.c.site.Engine.Lengths()))
	return r.steps
}

// An engine's agent is killed and later an entry, both in the middle of a
// step. The trainer goes to the other entry with what it holds; it must get
// the rest, each sample once.
func TestStepsThroughCrashes(t *testing.T) {
	const seed, steps = 31, 4
	c := startCluster(t, options{seed: seed, engine: site.EngineModel{MeanTokens: 150}})
	r := c.startTrainer(steps, 0, seed)
	r.waitGroups(8)
	c.kill("engine-1")
	r.waitGroups(16)
	c.start(c.site.Get("engine-1"))
	c.kill("entry-1")
	r.waitComplete(steps)
}

// The VM of an engine stands still, agent and engine, in the middle of a step
// and wakes up when the step has gone on without it. What it still sends is
// late: no sample may come twice or with tokens of weights that are too old.
func TestStepsThroughPause(t *testing.T) {
	const seed, steps = 32, 4
	c := startCluster(t, options{seed: seed, engine: site.EngineModel{MeanTokens: 150}})
	r := c.startTrainer(steps, 1, seed)
	vm := c.site.Get("engine-1")
	r.waitGroups(8)
	c.suspend(vm.Name)
	c.suspend(vm.Beside)
	r.waitGroups(24)
	c.resume(vm.Beside)
	c.resume(vm.Name)
	r.waitComplete(steps)
}

// The log is down while a step runs and callers call. What needs no agreement
// goes on: the step under an epoch without a claim, reads, and writes without
// a key. A write with a key runs at most once all the same, or is refused.
func TestLogOutage(t *testing.T) {
	const seed, steps = 33, 3
	c := startCluster(t, options{seed: seed})
	w := c.startTraffic(callerCount, seed, callShares{reads: 0.4, keyed: 0.3})
	w.waitAnswered(100)
	c.setFaults("log", logsvc.Faults{Down: true})
	r := c.startTrainer(steps, 0, seed)
	r.waitComplete(steps)
	w.waitAnswered(200)
	c.setFaults("log", logsvc.Faults{})
	w.waitAnswered(200)
	calls, _ := w.verify()
	for i := range calls {
		if calls[i].Result.Key == "" {
			require.True(t, calls[i].Result.OK(), "needs no log: %+v", calls[i].Result)
		}
	}
}
