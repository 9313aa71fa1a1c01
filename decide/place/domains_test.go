package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/topology"
)

// Guards against samples that cross the link while engines of the own region have slots, and
// against samples that wait while those of the other region have some. The load is a step of 30
// samples at four engines of six slots in each region.
func TestOwnRegionIsFilledFirst(t *testing.T) {
	var engines []Engine
	for i := range 8 {
		e := engine(fmt.Sprintf("e%d", i), 6, 0)
		if i%2 == 1 {
			e.Cost = Cost(topology.OtherRegion, false)
		}
		engines = append(engines, e)
	}
	samples := make([]Sample, 30)
	for i := range samples {
		samples[i] = sample(fmt.Sprint(i), float64(30-i))
	}
	far := 0
	for n, c := range Assign(engines, samples) {
		if c.Engine%2 == 1 {
			far++
			require.GreaterOrEqual(t, n, 24, "a sample left its region while a slot was free")
		}
	}
	require.Equal(t, 6, far)
}

// Guards against samples that try each engine of a failure domain which is lost, and against a
// domain that is avoided although it makes events.
func TestLostDomainIsUsedLast(t *testing.T) {
	var d Domains
	now := time.Unix(1000, 0)
	d.RecordFailure("a", "e1", now)
	d.RecordFailure("a", "e1", now)
	require.False(t, d.IsSuspect("a", now), "one engine")
	d.RecordEvent("a")
	d.RecordFailure("a", "e2", now)
	require.False(t, d.IsSuspect("a", now), "another made an event meanwhile")
	d.RecordFailure("a", "e3", now.Add(2*time.Second))
	require.False(t, d.IsSuspect("a", now.Add(2*time.Second)), "long apart")
	d.RecordFailure("a", "e4", now.Add(2*time.Second))
	require.True(t, d.IsSuspect("a", now.Add(3*time.Second)))
	require.False(t, d.IsSuspect("b", now.Add(3*time.Second)))
	require.False(t, d.IsSuspect("a", now.Add(5*time.Second)), "suspicion ends")
	d.Suspect("b", now)
	require.True(t, d.IsSuspect("b", now))
	d.RecordEvent("b")
	require.False(t, d.IsSuspect("b", now))

	suspect, other := engine("suspect", 6, 0), engine("other", 6, 5)
	suspect.Cost = Cost(topology.SameRegion, true)
	require.Equal(t, []Choice{{0, 1}, {1, 0}}, Assign([]Engine{suspect, other}, []Sample{sample("a", 2), sample("b", 1)}))
	require.Zero(t, Cost(topology.SameRegion, false))
}
