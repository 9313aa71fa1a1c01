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

// part is a report's changing part.
func part(seq uint64, running int32) *pb.AgentState {
	return &pb.AgentState{Partial: true, Seq: seq, Ready: true, Running: running}
}

func running(n int32) func(*Snapshot) bool {
	return func(s *Snapshot) bool { return ready("vm-1")(s) && s.ByName["vm-1"].State.Running == n }
}

// Agents send what changed only. If the entry took such a part for the whole,
// the server would lose its pool, and callers would hear no_server although it
// is there. Its heartbeat is older than the entry's newest work: were it taken
// for a report, that work would count as not the entry's own ever after.
func TestPartsMakeAWhole(t *testing.T) {
	f, vm := startAgent(t, "vm-1")
	_, a := listed(t, vm, patient)
	first := report("vm-1")
	first.Seq, first.WarmPrefixes = 1, []uint64{7}
	f.reports <- first
	await(t, a, "ready", ready("vm-1"))
	f.reports <- part(2, 3)
	await(t, a, "running 3", running(3))
	server := a.Snapshot().ByName["vm-1"]
	require.Equal(t, []*Server{server}, a.Snapshot().By[ServicePool("orders")])
	require.Equal(t, []any{int32(4), []uint64{7}, uint64(1)}, []any{server.State.Slots, server.State.WarmPrefixes, server.State.Incarnation})

	defer a.Begin("vm-1")(Abandoned)
	f.reports <- &pb.AgentState{Partial: true}
	changed := part(3, 3)
	changed.WarmPrefixes, changed.WarmChanged, changed.Leaving = []uint64{8, 9}, true, true
	f.reports <- changed
	await(t, a, "leaving", notReady("vm-1"))
	server = a.Snapshot().ByName["vm-1"]
	require.Equal(t, []uint64{8, 9}, server.State.WarmPrefixes)
	require.Equal(t, 1, server.InFlight, "the report holds the work that was begun before it")
	defer a.Begin("vm-1")(Abandoned)
	g := a.agents["vm-1"]
	a.hear(g, g.report)
	require.Equal(t, 1, g.ownAt, "a heartbeat is no report")

	// Another release's bug: a stream that begins with a part says nothing.
	f.end <- struct{}{}
	await(t, a, "lost", func(*Snapshot) bool { return isClosed(a.Lost("vm-1")) })
	f.reports <- part(1, 1)
	require.Eventually(t, func() bool {
		require.False(t, running(1)(a.Snapshot()))
		f.reports <- report("vm-1") // in whichever stream
		return running(0)(a.Snapshot())
	}, generous, 10*time.Millisecond)
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
func TestHeartbeatBringsBackOnlyItsOwn(t *testing.T) {
	f, _, a := startReady(t, patient)
	a.lose(a.agents["vm-1"], errSilent)
	require.True(t, notReady("vm-1")(a.Snapshot()))
	defer a.Begin("vm-1")(Abandoned)
	f.reports <- &pb.AgentState{Partial: true}
	await(t, a, "ready again", ready("vm-1"))
	require.Zero(t, a.Snapshot().ByName["vm-1"].InFlight, "the report is older than this work")
	f.reports <- report("vm-2")
	await(t, a, "not ready", notReady("vm-1"))
	theirs, err := whole(report("vm-2"), &pb.AgentState{Partial: true})
	require.NoError(t, err)
	a.hear(a.agents["vm-1"], theirs)
	require.True(t, notReady("vm-1")(a.Snapshot()))
}

// At full size an entry watches 46 to 342 agents. Their reports together stay
// within its budget, and each still tells its load every 2 s at least.
func TestPaceKeepsTheBudget(t *testing.T) {
	for n := range 400 {
		pace := paceFor(n)
		require.GreaterOrEqual(t, pace, minPace)
		require.LessOrEqual(t, pace, maxPace)
		if pace < maxPace {
			require.LessOrEqual(t, float64(n*reportBytes)/pace.Seconds(), watchBudget+1.0)
		}
	}
	require.Equal(t, maxPace, paceFor(342))
}

// An entry that watched 46 agents comes to watch 146: streams that kept the old
// pace would send three times the budget. They are opened anew, and while that
// is under way the server stays ready: callers would hear no_server otherwise.
func TestNewPaceIsAskedWithoutALoss(t *testing.T) {
	f, vm := startAgent(t, "vm-1")
	f.first = report("vm-1")
	_, a := listed(t, vm, patient)
	await(t, a, "ready", ready("vm-1"))
	require.EqualValues(t, minPace.Milliseconds(), (<-f.asked).MinIntervalMs)
	lost := a.Lost("vm-1")
	a.pace.Store(int64(time.Second))
	f.reports <- &pb.AgentState{Partial: true}
	require.EqualValues(t, 1000, (<-f.asked).MinIntervalMs)
	a.pace.Store(int64(time.Second * 5 / 4))
	require.Eventually(t, func() bool {
		f.reports <- part(2, 2) // in whichever stream
		return running(2)(a.Snapshot())
	}, generous, 10*time.Millisecond)
	require.False(t, isClosed(lost))
	require.Empty(t, f.asked, "a little off is no reason")
}

// A trainer's step takes 326 s in place of 240 while engines stand idle that
// its owner doesn't watch. The owner widens its subset to the trainers' share;
// no server that it had stops being ready for that, and its streams stay. It
// narrows only long after the step's end.
func TestOwnerOfStepsWidens(t *testing.T) {
	const agents = 5
	list, vms := &vmList{}, []platform.VM{}
	for i := range agents {
		f, vm := startAgent(t, fmt.Sprintf("vm-%d", i))
		f.first = report(vm.Name)
		f.first.Kind, f.first.Serves = kindEngine, "m"
		vms = append(vms, vm)
	}
	list.set(vms...)
	owned := make(chan []string, 1)
	owned <- nil
	a := startPicture(t, list, func(c *Config) {
		patient(c)
		c.Subset = subset.Config{Local: 2, Remote: 1}
		c.Owned = func() []string { models := <-owned; owned <- models; return models }
	})
	// Of pools that are not known yet two agents are watched at a time.
	await(t, a, "all pools learnt", func(*Snapshot) bool { _, known := a.members(vms); return allIn(known, ModelPool("m")) })
	await(t, a, "narrow", func(s *Snapshot) bool { return len(s.ByName) == 2 })
	before := a.Snapshot().By[ModelPool("m")]
	<-owned
	owned <- []string{"m"}
	await(t, a, "wide", func(s *Snapshot) bool { return len(s.ByName) == agents })
	for _, server := range before {
		require.Same(t, server, a.Snapshot().ByName[server.Name], "a stream moved")
	}
	<-owned
	owned <- nil
	require.False(t, a.widen(time.Now()), "narrows at once")
	require.True(t, a.widen(time.Now().Add(time.Hour)))
	require.Empty(t, a.subsetNow().MinPicks)
}

func allIn(members []subset.Member, pool string) bool {
	for _, m := range members {
		if m.Pool != pool {
			return false
		}
	}
	return true
}
