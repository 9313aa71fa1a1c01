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

// partialReport is a report's changing partialReport.
func partialReport(seq uint64, running int32) *pb.AgentState {
	return &pb.AgentState{Partial: true, Seq: seq, Ready: true, Running: running}
}

func hasRunning(n int32) func(*Snapshot) bool {
	return func(s *Snapshot) bool { return ready("vm-1")(s) && s.ByName["vm-1"].State.Running == n }
}

// Agents send what changed only. If the entry took such a part for the whole,
// the server would lose its pool, and callers would hear no_server although it
// is there. Its heartbeat is older than the entry's newest work: were it taken
// for a report, that work would count as not the entry's own ever after.
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
	require.Equal(t, 1, server.InFlightAtReport, "the report holds the work that was begun before it")
	defer a.Begin("vm-1")(Abandoned)
	g := a.agents["vm-1"]
	a.handleReport(g, g.report)
	require.Equal(t, 1, g.inFlightAtReport, "a heartbeat is no report")

	// Another release's bug: a stream that begins with a part says nothing.
	f.end <- struct{}{}
	waitFor(t, a, "lost", func(*Snapshot) bool { return isClosed(a.Lost("vm-1")) })
	f.reports <- partialReport(1, 1)
	require.Eventually(t, func() bool {
		require.False(t, hasRunning(1)(a.Snapshot()))
		f.reports <- report("vm-1") // in whichever stream
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

// A frozen agent thaws: the heartbeat that it sends first makes it ready again,
// as nothing else may come for long. On a stream whose address answers for
// another VM a heartbeat makes nobody ready: it is that other VM's.
func TestHeartbeatRestoresOnlyItsOwnVM(t *testing.T) {
	f, _, a := startReady(t, withLongReportTimeout)
	a.markLost(a.agents["vm-1"], errReportTimeout)
	require.True(t, notReady("vm-1")(a.Snapshot()))
	defer a.Begin("vm-1")(Abandoned)
	f.reports <- &pb.AgentState{Partial: true}
	waitFor(t, a, "ready again", ready("vm-1"))
	require.Zero(t, a.Snapshot().ByName["vm-1"].InFlightAtReport, "the report is older than this work")
	f.reports <- report("vm-2")
	waitFor(t, a, "not ready", notReady("vm-1"))
	otherVMState, err := mergeState(report("vm-2"), &pb.AgentState{Partial: true})
	require.NoError(t, err)
	a.handleReport(a.agents["vm-1"], otherVMState)
	require.True(t, notReady("vm-1")(a.Snapshot()))
}

// At full size an entry watches 46 to 342 agents. Their reports together stay
// within its budget, and each still tells its load every 2 s at least.
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

// An entry that watched 46 agents comes to watch 146: streams that kept the old
// pace would send three times the budget. They are opened anew, and while that
// is under way the server stays ready: callers would hear no_server otherwise.
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
		f.reports <- partialReport(2, 2) // in whichever stream
		return hasRunning(2)(a.Snapshot())
	}, testTimeout, 10*time.Millisecond)
	require.False(t, isClosed(lost))
	require.Empty(t, f.requests, "a little off is no reason")
}

// A trainer's step takes 326 s in place of 240 while engines stand idle that
// its owner doesn't watch. The owner widens its subset to the trainers' share;
// no server that it had stops being ready for that, and its streams stay. It
// narrows only long after the step's end.
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
	// Of pools that are not known yet two agents are watched at a time.
	waitFor(t, a, "all pools learnt", func(*Snapshot) bool { _, known := a.subsetMembers(vms); return allInPool(known, ModelPool("m")) })
	waitFor(t, a, "narrow", func(s *Snapshot) bool { return len(s.ByName) == 2 })
	before := a.Snapshot().ByPool[ModelPool("m")]
	<-owned
	owned <- []string{"m"}
	waitFor(t, a, "wide", func(s *Snapshot) bool { return len(s.ByName) == agents })
	for _, server := range before {
		require.Same(t, server, a.Snapshot().ByName[server.Name], "a stream moved")
	}
	<-owned
	owned <- nil
	require.False(t, a.updateRaisedPicks(time.Now()), "narrows at once")
	require.True(t, a.updateRaisedPicks(time.Now().Add(time.Hour)))
	require.Empty(t, a.subsetConfig().MinPicks)
}

func allInPool(members []subset.Member, pool string) bool {
	for _, m := range members {
		if m.Pool != pool {
			return false
		}
	}
	return true
}
