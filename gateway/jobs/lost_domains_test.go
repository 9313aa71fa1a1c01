package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/fanout"
	"dandelionsill.org/decide/topology"
	"dandelionsill.org/fold/jobs"
)

// Guards against deployments that need not bear the loss of a failure domain, and have one region,
// being served in another way than before: their claims are spread by hash alone.
func TestClaimsAreRankedOnlyWhereDomainsMayBeLostOrRegionsAreSeveral(t *testing.T) {
	several := topology.New(map[string]string{"a": "east", "b": "west"})
	one := topology.New(map[string]string{"a": "east", "b": "east"})
	others := func() []fanout.Member {
		return []fanout.Member{{VM: "vm1", FailureDomain: "b"}, {VM: "vm2", FailureDomain: "b"}}
	}
	owner := jobs.Writer{VM: "vm2", Incarnation: "1"}
	delayWith := func(n *Neighbours) time.Duration {
		r := &Runner{writer: jobs.Writer{VM: "vm0"}, neighbours: n, index: &Index{lastRecordAt: map[jobs.Writer]time.Time{}}, claimDelays: map[jobs.Writer]time.Duration{}}
		return r.takeOverDelay(owner, time.Now())
	}
	spread := delayWith(nil)
	require.NotZero(t, spread)
	place := Neighbours{Self: fanout.Member{VM: "vm0", FailureDomain: "a"}, Others: others, Regions: one}
	require.Equal(t, spread, delayWith(&place))
	place.LostDomains = 1
	require.NotEqual(t, spread, delayWith(&place))
	place.LostDomains, place.Regions = 0, several
	require.NotEqual(t, spread, delayWith(&place))
}
