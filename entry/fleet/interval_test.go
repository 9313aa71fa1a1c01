package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/subset"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

// partialReport returns a state that holds only the fields that change often.
func partialReport(seq uint64, running int32) *pb.AgentState {
	return &pb.AgentState{Partial: true, Seq: seq, Ready: true, Running: running}
}

// hasRunning returns a condition that is true once vm-1 is ready and has n
// requests running.
func hasRunning(n int32) func(*Snapshot) bool {
	return func(s *Snapshot) bool { return ready("vm-1")(s) && s.ByName["vm-1"].State.Running == n }
}

// Agents send only the fields that changed. If the entry took a partial state for
// a complete one, the server would lose its pool and callers would get no_server
// although there is one. A heartbeat carries a load that is older than the
// entry's newest work. If it counted as a report, that work would be counted as
// another entry's until the next report.
func TestPartialReportsAreMerged(t *testing.T) {
	f, vm := startAgent(t, "vm-1")
	_, a := startWithVM(t, vm, withLongReportTimeout)
	first := report("vm-1")
	first.Seq, first.WarmPrefixes = 1, []uint64{7}
	f.reports <- first
	waitFor(t, a, "ready", ready("vm-1"))
	f.reports <- partialReport(2, 3)
	waitFor(t, a, "running 3", hasRunning(3))
	server := a.Snapshot().ByName["vm-1"]
	require.Equal(t, []*Server{server}, a.Snapshot().ByPool[ServicePool("orders")])
	require.Equal(t, []any{int32(4), []uint64{7}, uint64(1)}, []any{server.State.Slots, server.State.WarmPrefixes, server.State.Incarnation})

	defer a.Begin("vm-1")(Abandoned)
	f.reports <- &pb.AgentState{Partial: true}
	changed := partialReport(3, 3)
	changed.WarmPrefixes, changed.WarmChanged, changed.Leaving = []uint64{8, 9}, true, true
	f.reports <- changed
	waitFor(t, a, "leaving", notReady("vm-1"))
	server = a.Snapshot().ByName["vm-1"]
	require.Equal(t, []uint64{8, 9}, server.State.WarmPrefixes)
	require.Equal(t, 1, server.InFlightAtReport, "the report includes the work that was started before it")
	defer a.Begin("vm-1")(Abandoned)
	g := a.agents["vm-1"]
	a.handleReport(g, g.report)
	require.Equal(t, 1, g.inFlightAtReport, "a heartbeat must not count as a report")

	// A faulty agent of another release may start a stream with a partial
	// state. It must be ignored.
	f.end <- struct{}{}
	waitFor(t, a, "lost", func(*Snapshot) bool { return isClosed(a.Lost("vm-1")) })
	f.reports <- partialReport(1, 1)
	require.Eventually(t, func() bool {
		require.False(t, hasRunning(1)(a.Snapshot()))
		f.reports <- report("vm-1") // read by the old or the new stream
		return hasRunning(0)(a.Snapshot())
	}, testTimeout, 10*time.Millisecond)
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// A frozen agent resumes. The heartbeat that it sends first must make it ready
// again, as the next report may be a long time away. On a stream whose address
// answers for another VM, a heartbeat is that VM's and must not make this one
// ready.
func TestHeartbeatRestoresOnlyItsOwnVM(t *testing.T) {
	f, _, a := startReady(t, withLongReportTimeout)
	a.markLost(a.agents["vm-1"], errReportTimeout)
	require.True(t, notReady("vm-1")(a.Snapshot()))
	defer a.Begin("vm-1")(Abandoned)
	f.reports <- &pb.AgentState{Partial: true}
	waitFor(t, a, "ready again", ready("vm-1"))
	require.Zero(t, a.Snapshot().ByName["vm-1"].InFlightAtReport, "the last report is older than this work")
	f.reports <- report("vm-2")
	waitFor(t, a, "not ready", notReady("vm-1"))
	otherVMState, err := mergeState(report("vm-2"), &pb.AgentState{Partial: true})
	require.NoError(t, err)
	a.handleReport(a.agents["vm-1"], otherVMState)
	require.True(t, notReady("vm-1")(a.Snapshot()))
}

// At full size an entry watches 46 to 342 agents. Their reports together must
// stay within the budget, and each agent must still report its load at least
// every 2 s.
func TestReportIntervalKeepsTheBudget(t *testing.T) {
	for n := range 400 {
		interval := reportIntervalFor(n)
		require.GreaterOrEqual(t, interval, minReportInterval)
		require.LessOrEqual(t, interval, maxReportInterval)
		if interval < maxReportInterval {
			require.LessOrEqual(t, float64(n*reportBytes)/interval.Seconds(), reportBudget+1.0)
		}
	}
	require.Equal(t, maxReportInterval, reportIntervalFor(342))
}

// An entry that watched 46 agents now watches 146. Streams with the old report
// interval would send three times the budget, so they are opened again. Meanwhile
// the server must stay ready, or callers would get no_server.
func TestNewIntervalReopensStreamWithoutLoss(t *testing.T) {
	f, vm := startAgent(t, "vm-1")
	f.initial = report("vm-1")
	_, a := startWithVM(t, vm, withLongReportTimeout)
	waitFor(t, a, "ready", ready("vm-1"))
	require.EqualValues(t, minReportInterval.Milliseconds(), (<-f.requests).MinIntervalMs)
	lost := a.Lost("vm-1")
	a.reportInterval.Store(int64(time.Second))
	f.reports <- &pb.AgentState{Partial: true}
	require.EqualValues(t, 1000, (<-f.requests).MinIntervalMs)
	a.reportInterval.Store(int64(time.Second * 5 / 4))
	require.Eventually(t, func() bool {
		f.reports <- partialReport(2, 2) // read by the old or the new stream
		return hasRunning(2)(a.Snapshot())
	}, testTimeout, 10*time.Millisecond)
	require.False(t, isClosed(lost))
	require.Empty(t, f.requests, "a small difference must not open the stream again")
}

// A trainer's step took 326 s instead of 240 s, as engines that its owner did not
// watch were idle. The owner must enlarge its subset to the trainer's share of the
// engines. Its servers must stay ready and keep their streams meanwhile. The
// subset shrinks only long after the end of the step.
func TestStepOwnerWatchesMoreAgents(t *testing.T) {
	const agents = 5
	list, vms := &vmList{}, []platform.VM{}
	for i := range agents {
		f, vm := startAgent(t, fmt.Sprintf("vm-%d", i))
		f.initial = report(vm.Name)
		f.initial.Kind, f.initial.Serves = kindEngine, "m"
		vms = append(vms, vm)
	}
	list.set(vms...)
	owned := make(chan []string, 1)
	owned <- nil
	a := startFleet(t, list, func(c *Config) {
		withLongReportTimeout(c)
		c.Subset = subset.Config{Local: 2, Remote: 1}
		c.OwnedModels = func() []string { models := <-owned; owned <- models; return models }
	})
	// While agents' pools are unknown, two agents are watched at a time.
	waitFor(t, a, "all pools known", func(*Snapshot) bool { _, known := a.subsetMembers(vms); return allInPool(known, ModelPool("m")) })
	waitFor(t, a, "small subset", func(s *Snapshot) bool { return len(s.ByName) == 2 })
	before := a.Snapshot().ByPool[ModelPool("m")]
	<-owned
	owned <- []string{"m"}
	waitFor(t, a, "enlarged subset", func(s *Snapshot) bool { return len(s.ByName) == agents })
	for _, server := range before {
		require.Same(t, server, a.Snapshot().ByName[server.Name], "the stream was opened again")
	}
	<-owned
	owned <- nil
	require.False(t, a.updateRaisedPicks(time.Now()), "the subset must not shrink at once")
	require.True(t, a.updateRaisedPicks(time.Now().Add(time.Hour)))
	require.Empty(t, a.subsetConfig().MinPicks)
}

// allInPool reports whether all members are in pool.
func allInPool(members []subset.Member, pool string) bool {
	for _, m := range members {
		if m.Pool != pool {
			return false
		}
	}
	return true
}
