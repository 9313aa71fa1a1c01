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

// mediumSamples returns an engine model whose samples are long enough to be running
// when a fault occurs.
func mediumSamples() site.EngineModel {
	return site.EngineModel{MeanTokens: 150, Sigma: 0.5, LoadTime: 2 * time.Second}
}

// waitPublished waits until the trainer has announced n more versions.
func (r *trainerRun) waitPublished(n uint64) {
	r.c.t.Helper()
	want := r.newest.Load() + n
	r.c.waitFor(fmt.Sprintf("version %d is announced", want), func() error {
		if have := r.newest.Load(); have < want {
			return fmt.Errorf("the newest announced version is %d", have)
		}
		return nil
	})
}

// stepTimes returns the steps' durations.
func (r *trainerRun) stepTimes() []string {
	var list []string
	for i := range r.steps {
		list = append(list, fmt.Sprintf("%.1fs", r.steps[i].Duration.Seconds()))
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

// countMixedRuns counts an engine's streams whose tokens are of several versions.
func (c *cluster) countMixedRuns(server string) int {
	var truth engine.Truth
	require.NoError(c.t, site.SendJSON(c.ctx, http.MethodGet, c.site.ByName(server).URL+"/truth", nil, &truth))
	n := 0
	for i := range truth.Runs {
		if len(truth.Runs[i].ByVersion) > 1 {
			n++
		}
	}
	return n
}

// engineTotals returns the totals that an engine reports; zero if it does not answer.
func (c *cluster) engineTotals(server string) engine.Totals {
	var truth engine.Truth
	_ = site.SendJSON(c.ctx, http.MethodGet, c.site.ByName(server).URL+"/truth?totals=1", nil, &truth)
	return truth.Totals
}

// The entry that owns a step and one of the two engines crash at the same time. The
// trainer continues the step at the other entry with the groups that it has. That
// entry must find the samples that the remaining engine's agent has kept and have the
// others generated again. The trainer must get each sample exactly once.
func TestStepThroughEntryAndEngineCrash(t *testing.T) {
	const seed, steps = 71, 3
	c := startCluster(t, options{seed: seed, engine: mediumSamples()})
	r := c.startTrainer(steps, 0, seed)
	r.waitGroups(8)
	c.signal("entry-1", syscall.SIGKILL)
	c.kill("engine-1-server")
	r.waitGroups(8)
	c.start(c.site.ByName("engine-1-server"))
	c.start(c.site.ByName("entry-1"))
	r.waitGroups(8)
	c.signal("entry-2", syscall.SIGKILL) // the step's new owner
	c.kill("engine-2-server")
	c.start(c.site.ByName("engine-2-server"))
	r.waitComplete(steps)
}

// An agent is suspended while its engine continues to generate tokens. New weights
// are published and served elsewhere until everything that the suspended agent holds
// is older than the trainer's staleness bound. After it is resumed it must forward
// none of the chunks that wait in its sockets, whatever their label. It can't reach
// the weight store, so that its engine stays on the first version and only the
// trainer's floor prevents that further samples are sent to it.
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

// Guards against wrong version labels from an engine that ignores fencing tokens. How
// it comes about: an agent is killed while its order to load weights is delayed. Its
// next incarnation reads the engine's state, finds the old weights and generates
// samples. Then the old order arrives and the engine swaps weights unnoticed. The
// labels are compared with the version in each token's text: none may be wrong, and no
// token may be older than the staleness bound.
func TestAgentKilledMidSwapAtIgnoringEngine(t *testing.T) {
	const seed, steps, agent, server = 73, 4, "engine-1", "engine-1-server"
	model := mediumSamples()
	model.MeanTokens = 350 // so that streams are running when the order arrives
	model.Fencing = "ignores"
	c := startCluster(t, options{seed: seed, engine: model, deployment: eagerSwaps()})
	c.setFaults(server, engine.Faults{OrderDelayMS: 2000})
	r := c.startTrainer(steps, 1, seed)
	c.waitFor("the agent has given an order", func() error {
		if c.checkReady(agent) == nil {
			return errors.New("the agent is still ready")
		}
		return nil
	})
	c.kill(agent)
	c.setFaults(server, engine.Faults{})
	require.Zero(t, c.engineTotals(server).Loads, "the order has arrived too early")
	c.start(c.site.ByName(agent))
	c.waitFor("the next incarnation is ready", func() error { return c.checkReady(agent) })
	loadsAtReady := c.engineTotals(server).Loads
	c.waitFor("the order has arrived", func() error {
		if c.engineTotals(server).Loads == 0 {
			return errors.New("the engine has loaded no weights")
		}
		return nil
	})
	r.waitComplete(steps)
	t.Logf("steps took %v, samples by version %v", r.stepTimes(), r.samplesByVersion())
	t.Logf("%d loads when the next incarnation was ready; %d streams of %s span versions, of %s %d; %+v",
		loadsAtReady, c.countMixedRuns(server), server, "engine-2-server", c.countMixedRuns("engine-2-server"), c.engineTotals(server))
}

// eagerSwaps returns a small deployment whose engines swap weights soon after these
// are announced.
func eagerSwaps() site.Deployment {
	d := site.Small
	d.Weigh = manifest.WeighStaleness
	return d
}

// checkReady returns an error unless a process reports that it is ready.
func (c *cluster) checkReady(name string) error {
	return site.SendJSON(c.ctx, http.MethodGet, c.site.ByName(name).URL+"/readyz", nil, nil)
}

// The log is down from before the first step until after the last one. Steps must run
// under epochs without a claim, and new weights must be announced. The entry that owns
// a step is killed while the step runs; the trainer's attempt number then makes the
// other entry the owner. No step and no announcement may wait for the log.
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
