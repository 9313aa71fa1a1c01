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

// trainerRun is a trainer that runs its steps in the background.
type trainerRun struct {
	c      *cluster
	newest atomic.Uint64
	groups atomic.Int32 // received so far
	done   chan struct{}
	steps  []judge.Step
	err    error
}

// startTrainer starts a trainer whose steps have 16 groups of 4 samples.
func (c *cluster) startTrainer(steps, publishEvery int, seed uint64) *trainerRun {
	name := site.TrainerName(1)
	r := &trainerRun{c: c, done: make(chan struct{})}
	r.newest.Store(1)
	cfg := rollout.Config{
		Name: name, Token: site.Token(name), Model: c.site.Deployment.Model,
		Entries: c.site.URLs(site.RoleEntry), Store: c.site.ByName("weights").URL,
		Groups: 16, Samples: 4, MaxTokens: 400, PromptChars: 600, Bound: c.site.Deployment.Bound, Seed: seed,
		Steps: steps, StepTimeout: maxWait, TrainTime: 50 * time.Millisecond,
		PublishEvery: publishEvery, WeightBytes: c.site.WeightSize, NewestVersion: &r.newest,
		OnGroup: func(uint64, trainer.Group) { r.groups.Add(1) },
	}
	go func() {
		defer close(r.done)
		r.steps, r.err = rollout.Run(c.ctx, cfg)
	}()
	return r
}

// waitGroups waits until the trainer has received n more groups or has ended.
func (r *trainerRun) waitGroups(n int32) {
	r.c.t.Helper()
	want := r.groups.Load() + n
	r.c.waitFor("the trainer receives groups", func() error {
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

// waitComplete waits for the end of the last step and requires that every sample was
// received once, complete, correctly labelled and fresh enough.
func (r *trainerRun) waitComplete(steps int) []judge.Step {
	r.c.t.Helper()
	select {
	case <-r.done:
	case <-time.After(2 * maxWait):
		r.c.t.Fatal("the trainer has not finished")
	}
	require.NoError(r.c.t, r.err)
	require.Len(r.c.t, r.steps, steps)
	for i := range r.steps {
		require.True(r.c.t, r.steps[i].IsComplete(), "step %d: %s", r.steps[i].Step, r.steps[i].Error)
	}
	require.Zero(r.c.t, judge.CheckSteps(r.steps, r.c.site.Engine.LengthModel()))
	return r.steps
}

// An engine's agent and later an entry are killed, both during a step. The trainer
// continues at the other entry with the groups that it has and must get the others,
// each sample exactly once.
func TestStepsThroughCrashes(t *testing.T) {
	const seed, steps = 31, 4
	c := startCluster(t, options{seed: seed, engine: site.EngineModel{MeanTokens: 150}})
	r := c.startTrainer(steps, 0, seed)
	r.waitGroups(8)
	c.kill("engine-1")
	r.waitGroups(16)
	c.start(c.site.ByName("engine-1"))
	c.kill("entry-1")
	r.waitComplete(steps)
}

// An engine and its agent are suspended during a step, as when their VM is, and resumed
// after the step has continued without them. What they still send is late: no sample
// may be received twice or with tokens of weights that are too old.
func TestStepsThroughPause(t *testing.T) {
	const seed, steps = 32, 4
	c := startCluster(t, options{seed: seed, engine: site.EngineModel{MeanTokens: 150}})
	r := c.startTrainer(steps, 1, seed)
	vm := c.site.ByName("engine-1")
	r.waitGroups(8)
	c.suspend(vm.Name)
	c.suspend(vm.BackendServer)
	r.waitGroups(24)
	c.resume(vm.BackendServer)
	c.resume(vm.Name)
	r.waitComplete(steps)
}

// The log is down while steps and calls run. What does not need the log must work:
// steps, under an epoch without a claim, reads, and writes without a key. A write with
// a key must still run at most once, or be refused.
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
