package fanout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/decide/fanout"
	"dandelionsill.org/decide/topology"
)

// Guards against a region that nobody reads the log for, that several read it for, or whose
// processes read from each other in a circle, whoever they believe to be gone.
func TestRegionTreeHasOneRoot(t *testing.T) {
	regions := map[string]string{}
	for i := range 6 {
		regions[fmt.Sprintf("zone-%d", i)] = fmt.Sprintf("region-%d", i%2)
	}
	top := topology.New(regions)
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(rapid.IntRange(2, 200).Draw(t, "gateways"), 6)
		dead, index := map[string]bool{}, map[string]int{}
		for i, m := range fleet {
			index[m.VM], dead[m.VM] = i, rapid.IntRange(0, 99).Draw(t, m.VM) < 40
		}
		isDead := func(vm string) bool { return dead[vm] }
		tree := func(i int) *fanout.Tree {
			return fanout.NewRegionTree(fleet[i], append(append([]fanout.Member{}, fleet[:i]...), fleet[i+1:]...), top)
		}
		direct, alive := map[string]int{}, map[string]bool{}
		for i, m := range fleet {
			if dead[m.VM] {
				continue
			}
			region := top.RegionOf(m.FailureDomain)
			alive[region] = true
			if _, ok := tree(i).Parent(isDead); !ok {
				direct[region]++
			}
			hops := 0
			for at := i; ; hops++ {
				parent, ok := tree(at).Parent(isDead)
				if !ok {
					break
				}
				if dead[parent.VM] || top.RegionOf(parent.FailureDomain) != region || hops > 3 {
					t.Fatalf("%s reads from %s", fleet[at].VM, parent.VM)
				}
				at = index[parent.VM]
			}
		}
		for region := range alive {
			if direct[region] != 1 {
				t.Fatalf("%d processes of %s read from the log", direct[region], region)
			}
		}
	})
}

// Guards against processes near the log, or in one region, that count as far.
func TestIsFar(t *testing.T) {
	two := topology.New(map[string]string{"a": "x", "b": "y"})
	require.True(t, fanout.IsFar(two, 40*time.Millisecond))
	require.False(t, fanout.IsFar(two, 3*time.Millisecond))
	require.False(t, fanout.IsFar(two, 0))
	require.False(t, fanout.IsFar(topology.New(map[string]string{"a": "x"}), time.Second))
	require.False(t, fanout.IsFar(nil, time.Second))
	require.False(t, fanout.NewRegionTree(fanout.Member{VM: "v", FailureDomain: "unknown"}, nil, two).IsUsed())
}
