package jobs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/decide/fanout"
	"dandelionsill.org/decide/topology"
	fold "dandelionsill.org/fold/jobs"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/gateway/jobs"
)

// placeIn starts processes in failure domains that know of each other.
func placeIn(t *testing.T, pf *gatewaytest.Platform, regions *topology.Topology, domains ...string) []*entry {
	var members []fanout.Member
	for i, domain := range domains {
		members = append(members, fanout.Member{VM: fmt.Sprint("vm", i), Addr: fmt.Sprintf("vm%d:1", i), FailureDomain: domain})
	}
	var entries []*entry
	for i, self := range members {
		others := append(append([]fanout.Member{}, members[:i]...), members[i+1:]...)
		n := &jobs.Neighbours{Self: self, Others: func() []fanout.Member { return others }, Regions: regions, LostDomains: 1}
		p, writer := pf.NewProcess(t), fold.Writer{VM: self.VM, Incarnation: "1"}
		e := &entry{Process: p, index: jobs.NewIndex(p.Store, zap.NewNop())}
		e.service = jobs.NewService(e.index, p.Store, writer, 3, 600, zap.NewNop())
		e.runner = jobs.NewRunner(e.index, p.Store, p.Forward, writer, 3, 600, zap.NewNop())
		e.service.SetNeighbours(n)
		e.runner.SetNeighbours(n)
		e.index.Texts.SetNeighbours(n)
		p.Go(e.index.Run)
		p.Go(e.runner.Run)
		require.Eventually(t, e.index.CaughtUp, gatewaytest.MaxWait, time.Millisecond)
		entries = append(entries, e)
	}
	return entries
}

// claimsIn returns the claims in the log by the VM of their process.
func claimsIn(t *testing.T, pf *gatewaytest.Platform) map[string]int {
	claims := map[string]int{}
	for _, data := range pf.Store.Records(jobs.Stream) {
		r, err := fold.Decode(data)
		require.NoError(t, err)
		claims[r.Writer.VM] += len(r.Claims)
	}
	return claims
}

// Guards against steps that nobody continues, that many claim, or whose text so far is lost, after
// a failure domain with their owner is gone. Load: three steps in hand when it goes, seven
// processes.
func TestStepsOfLostDomainGoOn(t *testing.T) {
	t.Parallel()
	pf := gatewaytest.NewPlatform(t, 4, 2)
	for _, e := range pf.Engines {
		e.EventInterval, e.Events = 20*time.Millisecond, 150
	}
	entries := placeIn(t, pf, nil, "a", "a", "b", "b", "b", "c", "c")
	for i := range 3 {
		entries[0].submit(t, fmt.Sprint("j", i), 6, 1)
	}
	require.Eventually(t, func() bool { return reportedEvents(pf, "j0") >= 12 }, gatewaytest.MaxWait, time.Millisecond)
	entries[0].Stop()
	entries[1].Stop()
	for i := range 3 {
		requireComplete(t, entries[6].results(t, fmt.Sprint("j", i), 6), 150)
	}
	require.Positive(t, resumed(pf.Engines))
	claims := claimsIn(t, pf)
	claimants := 0
	for vm, n := range claims {
		if n > 0 {
			claimants++
			require.NotContains(t, []string{"vm0", "vm1"}, vm)
		}
	}
	require.LessOrEqual(t, claimants, 2)
}

// Guards against an owner across the link while the caller's region has a process, and against
// another owner than before in one region. Load: a process has a step in hand.
func TestOwnerIsOfCallersRegion(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		regions map[string]string
		domains []string
		submit  int
		want    func(first, second string) bool
	}{
		{"two regions", map[string]string{"a": "x", "b": "y"}, []string{"a", "b"}, 1, func(first, second string) bool { return first == "vm0" && second == "vm1" }},
		{"one region", map[string]string{"a": "x", "b": "x"}, []string{"a", "b"}, 1, func(first, second string) bool { return first == second }},
		{"one domain", nil, []string{"a", "a"}, 1, func(first, second string) bool { return first == second }},
	} {
		pf := gatewaytest.NewPlatform(t, 2, 1)
		for _, e := range pf.Engines {
			e.EventInterval, e.Events = 20*time.Millisecond, 100
		}
		entries := placeIn(t, pf, topology.New(test.regions), test.domains...)
		require.Eventually(t, func() bool { return len(claimsIn(t, pf)) == len(entries) }, gatewaytest.MaxWait, time.Millisecond, "all have told their capacity")
		require.True(t, entries[test.submit].index.Sync(t.Context()))
		entries[0].submit(t, "first", 2, 1)
		require.Eventually(t, func() bool { return reportedEvents(pf, "first") >= 6 }, gatewaytest.MaxWait, time.Millisecond)
		entries[test.submit].submit(t, "second", 2, 1)
		requireComplete(t, entries[1].results(t, "second", 2), 100)
		owners := map[string]string{}
		for _, data := range pf.Store.Records(jobs.Stream) {
			r, err := fold.Decode(data)
			require.NoError(t, err)
			if r.Acceptance != nil {
				owners[r.Acceptance.Spec.ID] = r.Writer.VM
				if r.Acceptance.Owner != nil {
					owners[r.Acceptance.Spec.ID] = r.Acceptance.Owner.VM
				}
			}
		}
		require.True(t, test.want(owners["first"], owners["second"]), "%s: %v", test.name, owners)
	}
}
