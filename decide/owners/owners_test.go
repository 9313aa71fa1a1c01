package owners

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/decide/topology"
)

// newFleet returns the gateways of three failure domains, all heard; every fourth one is small.
func newFleet(n int) []Process {
	fleet := make([]Process, n)
	for i := range fleet {
		fleet[i] = Process{VM: fmt.Sprintf("vm-%d", i), FailureDomain: fmt.Sprintf("zone-%d", i%3), Small: i%4 == 0, Heard: true}
	}
	return fleet
}

// claimsOf simulates the claims of an owner's jobs: when each process that is not lost claims,
// unless a claim was known to it before, which takes known.
func claimsOf(owner Process, fleet []Process, isLost func(*Process) bool, known time.Duration) (claims []Process, at time.Duration) {
	type claim struct {
		by Process
		at time.Duration
	}
	var all []claim
	for i, p := range fleet {
		if !isLost(&p) {
			others := slices.Delete(slices.Clone(fleet), i, i+1)
			all = append(all, claim{p, ClaimDelay(owner, "1", p, others, nil)})
		}
	}
	slices.SortFunc(all, func(a, b claim) int { return int(a.at - b.at) })
	for _, c := range all {
		if c.at < all[0].at+known {
			claims = append(claims, c.by)
		}
	}
	return claims, all[0].at
}

// Guards against a herd of claims and against one process that gets everything when a failure
// domain with ten owners under full load is lost: each owner's jobs are claimed at once, by few
// processes, and the owners' by several.
func TestLostDomainIsClaimedWithoutHerd(t *testing.T) {
	for _, size := range []int{30, 600} {
		fleet := newFleet(size)
		isLost := func(p *Process) bool { return p.FailureDomain == "zone-0" }
		claimants := map[string]int{}
		for i := range 10 {
			claims, at := claimsOf(fleet[3*i], fleet, isLost, 50*time.Millisecond)
			require.Zero(t, at)
			require.Len(t, claims, 1, "owner %d of %d", i, size)
			require.False(t, claims[0].Small)
			claimants[claims[0].VM]++
		}
		require.GreaterOrEqual(t, len(claimants), 5)
		for vm, n := range claimants {
			require.LessOrEqual(t, n, 3, vm)
		}
		// The log takes 300 ms for a claim, as under the load of a lost domain.
		claims, _ := claimsOf(fleet[0], fleet, isLost, 300*time.Millisecond)
		require.LessOrEqual(t, len(claims), 5)
	}
}

// Guards against jobs that nobody claims: whoever else is lost, one that is left claims within a
// second.
func TestSomebodyClaims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(rapid.IntRange(2, 60).Draw(t, "gateways"))
		lost := map[string]bool{"vm-0": true}
		for i := range fleet[:len(fleet)-1] {
			lost[fleet[i].VM] = i == 0 || rapid.Bool().Draw(t, fleet[i].VM)
			fleet[i].Heard = rapid.Bool().Draw(t, "heard "+fleet[i].VM)
		}
		_, at := claimsOf(fleet[0], fleet, func(p *Process) bool { return lost[p.VM] }, 50*time.Millisecond)
		if at > time.Second {
			t.Fatalf("claimed after %v", at)
		}
	})
}

// Guards against claims from another region while the owner's region has a process left, and
// against owners chosen across the link.
func TestOwnRegionGoesFirst(t *testing.T) {
	regions := topology.New(map[string]string{"a": "x", "b": "x", "c": "y"})
	owner := Process{VM: "o", FailureDomain: "a"}
	near := Process{VM: "n", FailureDomain: "b", Heard: true}
	far := Process{VM: "f", FailureDomain: "c", Heard: true}
	require.Zero(t, ClaimDelay(owner, "1", near, []Process{far}, regions))
	require.Positive(t, ClaimDelay(owner, "1", far, []Process{near}, regions))
	domain := func(d string) string { return d }
	own, other := Split([]string{"c", "b", "a"}, domain, "a", regions)
	require.Equal(t, []string{"b", "a"}, own)
	require.Equal(t, []string{"c"}, other)
	own, other = Split([]string{"c", "b", "a"}, domain, "a", topology.New(map[string]string{"a": "x", "b": "x"}))
	require.Equal(t, []string{"c", "b", "a"}, own)
	require.Empty(t, other)
}
