package e2e

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/load/site"
	"dandelionsill.org/manifest"
	"dandelionsill.org/standin/engine"
	"dandelionsill.org/standin/logsvc"
)

// mediumSamples long enough for a fault to meet them while they run.
func mediumSamples() site.EngineModel {
	return site.EngineModel{MeanTokens: 150, Sigma: 0.5, LoadTime: 2 * time.Second}
}

// waitPublished waits until the trainer has announced n more versions.
func (r *trainerRun) waitPublished(n uint64) {
	r.c.t.Helper()
	want := r.newest.Load() + n
	r.c.waitFor(fmt.Sprintf("version %d is announced", want), func() error {
		if have := r.newest.Load(); have < want {
			return fmt.Errorf("version %d is", have)
		}
		return nil
	})
}

// stepTimes are the steps' durations.
func (r *trainerRun) stepTimes() []string {
	var list []string
	for i := range r.steps {
		list = append(list, fmt.Sprintf("%.1fs", r.steps[i].Took.Seconds()))
	}
	return list
}

// samplesByVersion counts the samples by the version of their first token.
func (r *trainerRun) samplesByVersion() map[uint64]int {
	count := map[uint64]int{}
	for i := range r.steps {
		for _, m := range r.steps[i].Samples {
			count[m.Spans[0].Version]++
		}
	}
	return count
}

// countMixedRuns counts an engine's streams whose tokens came of several versions.
func (c *cluster) countMixedRuns(server string) int {
	var truth engine.Truth
	require.NoError(c.t, site.Send(c.ctx, http.MethodGet, c.site.Get(server).URL+"/truth", nil, &truth))
	n := 0
	for i := range truth.Runs {
		if len(truth.Runs[i].ByVersion) > 1 {
			n++
		}
	}
	return n
}

// engineTotals are an engine's own sums; zero while it does not answer.
func (c *cluster) engineTotals(server string) engine.Totals {
	var truth engine.Truth
	_ = site.Send(c.ctx, http.MethodGet, c.site.Get(server).URL+"/truth?totals=1", nil, &truth)
	return truth.Totals
}

// The entry that owns a step and one of the two engines die at the same
// moment. The trainer takes the step to the other entry with the groups that
// it holds; that entry finds what the living engine's agent has kept and has
// the rest made again. Each sample comes once.
func TestStepThroughEntryAndEngineCrash(t *testing.T) {
	const seed, steps = 71, 3
	c := startCluster(t, options{seed: seed, engine: mediumSamples()})
	r := c.startTrainer(steps, 0, seed)
	r.waitGroups(8)
	c.signal("entry-1", syscall.SIGKILL)
	c.kill("engine-1-server")
	r.waitGroups(8)
	c.start(c.site.Get("engine-1-server"))
	c.start(c.site.Get("entry-1"))
	r.waitGroups(8)
	c.signal("entry-2", syscall.SIGKILL) // the other owner as well
	c.kill("engine-2-server")
	c.start(c.site.Get("engine-2-server"))
	r.waitComplete(steps)
}

// An agent alone is frozen while its engine goes on making tokens. New weights
// are published and served elsewhere until everything that the frozen agent
// held is below the trainer's bound. Thawed, it must pass on none of the
// chunks that wait in its sockets, under no label. It can't reach the store, so
// that its engine stays on the first weights and is of no more use: only the
// trainer's floor keeps further samples away from it.
func TestAgentSuspendedWhileWeightsChange(t *testing.T) {
	const seed, steps = 72, 5
	c := startCluster(t, options{seed: seed, engine: mediumSamples()})
	c.restart("engine-1", "--platform.weights", "http://127.0.0.1:1")
	r := c.startTrainer(steps, 1, seed)
	r.waitGroups(8)
	c.suspend("engine-1")
	r.waitPublished(c.site.Deployment.Bound + 1)
	c.resume("engine-1")
	r.waitComplete(steps)
	t.Logf("steps took %v, samples by version %v", r.stepTimes(), r.samplesByVersion())
}

// Engines obey any order, also one with an old fencing token. An agent is
// killed while its order is on its way, and its next life starts: it reads the
// engine back, finds it serving the old weights and has samples made. Then the
// order arrives, and the engine swaps under the new life's feet. Labels are
// held against the version in each token's own text; none may be wrong, and no
// token older than the bound.
func TestAgentKilledMidSwapAtIgnoringEngine(t *testing.T) {
	const seed, steps, agent, server = 73, 4, "engine-1", "engine-1-server"
	model := mediumSamples()
	model.MeanTokens = 350 // so that streams run when the order comes
	model.Fencing = "ignores"
	c := startCluster(t, options{seed: seed, engine: model, deployment: eagerSwaps()})
	c.setFaults(server, engine.Faults{OrderDelayMS: 2000})
	r := c.startTrainer(steps, 1, seed)
	c.waitFor("the agent has given an order", func() error {
		if c.checkReady(agent) == nil {
			return errors.New("it serves")
		}
		return nil
	})
	c.kill(agent)
	c.setFaults(server, engine.Faults{})
	require.Zero(t, c.engineTotals(server).Loads, "the order has not come yet")
	c.start(c.site.Get(agent))
	c.waitFor("the next life is ready", func() error { return c.checkReady(agent) })
	loadsAtReady := c.engineTotals(server).Loads
	c.waitFor("the order has come", func() error {
		if c.engineTotals(server).Loads == 0 {
			return errors.New("it has not")
		}
		return nil
	})
	r.waitComplete(steps)
	t.Logf("steps took %v, samples by version %v", r.stepTimes(), r.samplesByVersion())
	t.Logf("%d loads when the next life was ready; %d streams of %s span versions, of %s %d; %+v",
		loadsAtReady, c.countMixedRuns(server), server, "engine-2-server", c.countMixedRuns("engine-2-server"), c.engineTotals(server))
}

// eagerSwaps is a small site whose engines swap weights soon after they are
// announced.
func eagerSwaps() site.Deployment {
	d := site.Small
	d.Weigh = manifest.WeighStaleness
	return d
}

// checkReady asks a process whether it takes work.
func (c *cluster) checkReady(name string) error {
	return site.Send(c.ctx, http.MethodGet, c.site.Get(name).URL+"/readyz", nil, nil)
}

// The log is down from before the first step to after the last one. Steps run
// under epochs without a claim, new weights are announced all the same, and
// the entry that owns a step is killed in the middle: the trainer's own
// attempt decides that the other entry is the owner. Nothing waits for the
// log.
func TestStepsAndWeightsWithoutTheLog(t *testing.T) {
	const seed, steps = 74, 2
	c := startCluster(t, options{seed: seed, engine: mediumSamples()})
	c.setFaults("log", logsvc.Faults{Down: true})
	r := c.startTrainer(steps, 1, seed)
	r.waitGroups(8)
	c.kill("entry-1")
	done := r.waitComplete(steps)
	require.Equal(t, uint64(steps), done[steps-1].Newest)
	t.Logf("steps took %v, samples by version %v", r.stepTimes(), r.samplesByVersion())
}
