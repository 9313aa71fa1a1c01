package fanout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/decide/fanout"
)

// newFleet returns the gateways of a fleet, spread evenly over failure domains; every third one
// is small.
func newFleet(gateways, domains int) []fanout.Member {
	fleet := make([]fanout.Member, gateways)
	for i := range fleet {
		fleet[i] = fanout.Member{
			VM: fmt.Sprintf("entry-%d", i), Addr: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250),
			FailureDomain: fmt.Sprintf("zone-%d", i%domains), Small: i%3 == 0,
		}
	}
	return fleet
}

// treeOf returns the tree of a gateway of the fleet.
func treeOf(fleet []fanout.Member, self int) *fanout.Tree {
	others := append(append([]fanout.Member{}, fleet[:self]...), fleet[self+1:]...)
	return fanout.NewTree(fleet[self], others)
}

func nobodyDead(string) bool { return false }

// Guards against a load on the log that grows with the number of processes: only a few processes
// of each failure domain read from it, at every size, and no gateway gets too many children.
func TestFewProcessesReadFromLog(t *testing.T) {
	const domains = 5
	for _, gateways := range []int{101, 300, 633, 1300, 2000} {
		fleet := newFleet(gateways, domains)
		direct := 0
		children := map[string]int{}
		for i := range fleet {
			parent, ok := treeOf(fleet, i).Parent(nobodyDead)
			if !ok {
				direct++
				continue
			}
			children[parent.VM]++
		}
		require.Equal(t, 3*domains, direct, "%d gateways", gateways)
		for vm, n := range children {
			require.LessOrEqual(t, n, 32, vm)
		}
		for i := range gateways { // agents
			agent := fanout.Member{VM: fmt.Sprintf("engine-%d", i), FailureDomain: fleet[i].FailureDomain}
			parent, ok := fanout.NewTree(agent, fleet).Parent(nobodyDead)
			require.True(t, ok)
			require.Equal(t, agent.FailureDomain, parent.FailureDomain)
			children[parent.VM]++
		}
		for vm, n := range children {
			require.LessOrEqual(t, n, 64, vm)
		}
	}
}

// Guards against a process that no longer reads anything after many others have failed, and
// against records that pass through so many processes that they are too old.
func TestEveryProcessReachesLogAfterFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(rapid.IntRange(101, 250).Draw(t, "gateways"), rapid.IntRange(1, 6).Draw(t, "domains"))
		deadShare := rapid.IntRange(0, 95).Draw(t, "dead %")
		dead, index := map[string]bool{}, map[string]int{}
		for i, m := range fleet {
			index[m.VM] = i
			dead[m.VM] = rapid.IntRange(0, 99).Draw(t, m.VM) < deadShare
		}
		isDead := func(vm string) bool { return dead[vm] }
		trees := make([]*fanout.Tree, len(fleet))
		for i := range fleet {
			trees[i] = treeOf(fleet, i)
		}
		for i, m := range fleet {
			hops := 0
			for at := i; ; hops++ {
				parent, ok := trees[at].Parent(isDead)
				if !ok {
					break
				}
				if dead[parent.VM] || parent.FailureDomain != m.FailureDomain {
					t.Fatalf("%s reads from %s", fleet[at].VM, parent.VM)
				}
				at = index[parent.VM]
			}
			if hops > 3 {
				t.Fatalf("%s is %d hops from the log", m.VM, hops)
			}
		}
	})
}

// Guards against processes that read from each other in a circle because each believes others to
// have failed.
func TestDisagreeingProcessesFormNoCycle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(rapid.IntRange(101, 200).Draw(t, "gateways"), 1)
		index := map[string]int{}
		for i, m := range fleet {
			index[m.VM] = i
		}
		seed := rapid.Uint64().Draw(t, "beliefs")
		at := rapid.IntRange(0, len(fleet)-1).Draw(t, "start")
		for hops := 0; ; hops++ {
			believer := uint64(at)
			parent, ok := treeOf(fleet, at).Parent(func(vm string) bool { return (seed>>(believer%13))%3 == uint64(index[vm])%3 })
			if !ok {
				return
			}
			if hops > len(fleet) {
				t.Fatal("cycle")
			}
			at = index[parent.VM]
		}
	})
}

// Guards against processes that never read again because the roots alone can't reach the log, and
// against all processes reading from a log that can't be reached by any.
func TestStaleRootsAreJoinedByOthers(t *testing.T) {
	fleet := newFleet(500, 5)
	for staleFor, want := range map[time.Duration]int{0: 15, 2 * time.Second: 15, 3 * time.Second: 30, 10 * time.Second: 120, time.Hour: 500} {
		direct := 0
		for i := range fleet {
			roots, isRoot := treeOf(fleet, i).Roots(nobodyDead, staleFor)
			if isRoot {
				direct++
			}
			require.LessOrEqual(t, len(roots), want/5)
		}
		require.Equal(t, want, direct, staleFor)
	}
	agent := fanout.NewTree(fanout.Member{VM: "engine", FailureDomain: "zone-0"}, fleet)
	_, isRoot := agent.Roots(nobodyDead, time.Hour)
	require.False(t, isRoot)
}

// Guards against a small fleet that depends on other processes for no gain.
func TestSmallFleetReadsFromLog(t *testing.T) {
	fleet := newFleet(100, 3)
	for i := range fleet {
		tree := treeOf(fleet, i)
		require.False(t, tree.IsUsed())
		_, ok := tree.Parent(nobodyDead)
		require.False(t, ok)
	}
}

// Guards against a parent that is asked again at once after it gave no answer, and against one
// that loses its place, or its other streams, because it did not follow one for a moment.
func TestFailuresExpire(t *testing.T) {
	var f fanout.Failures
	now := time.Unix(1000, 0)
	f.RecordStale("a", "feed", now)
	require.True(t, f.IsStale("a", "feed", now))
	require.False(t, f.IsStale("a", "jobs", now))
	require.False(t, f.IsDead("a", now))
	require.False(t, f.IsStale("a", "feed", now.Add(time.Second)))
	for range 10 {
		f.RecordNoAnswer("b", now)
	}
	require.True(t, f.IsDead("b", now.Add(29*time.Second)))
	require.False(t, f.IsDead("b", now.Add(31*time.Second)))
	f.RecordAnswer("b", "jobs")
	require.False(t, f.IsDead("b", now))
	require.False(t, f.IsDead("unknown", now))
}
