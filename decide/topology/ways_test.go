package topology

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func TestCostGrowsWithDistance(t *testing.T) {
	require.Zero(t, SameDomain.Cost(0, 0))
	require.Equal(t, domainCost, SameRegion.Cost(40*ms, 25*ms), "a way within the region is not rated")
	require.Equal(t, regionCost, OtherRegion.Cost(0, 25*ms))
	require.Equal(t, regionCost, OtherRegion.Cost(40*ms, 0))
	require.InDelta(t, regionCost+1.6, OtherRegion.Cost(40*ms, 25*ms), 1e-9)
	require.InDelta(t, regionCost+maxWayCost, OtherRegion.Cost(time.Minute, ms), 1e-9)
}

// Guards against a time limit that a usual round trip reaches, at first use, with jitter and after
// the way has become longer. Load: answers with up to half of the way as jitter.
func TestLimitIsLongerThanUsualRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := NewWays("a")
		trip := time.Duration(rapid.IntRange(1, 90).Draw(t, "trip")) * ms
		now := time.Duration(0)
		for range 50 {
			jitter := time.Duration(rapid.Float64Range(0, 0.5).Draw(t, "jitter") * float64(trip))
			require.Greater(t, w.Limit(now, "b", 50*ms), trip+jitter)
			w.Observe(now, "b", trip+jitter)
			now += 100 * ms
		}
		require.Less(t, w.Limit(now, "b", 50*ms), 50*ms+4*trip)
	})
}

func TestWaysHoldForATime(t *testing.T) {
	w := NewWays("a")
	require.Equal(t, unknownWay, w.Estimate(0, "b"))
	w.Observe(0, "a", ms)
	w.Observe(0, "", ms)
	w.Observe(0, "b", 40*ms)
	w.Observe(0, "b", time.Minute) // held up by a process
	require.Equal(t, map[string]time.Duration{"b": 40 * ms}, w.All(wayMemory))
	require.Equal(t, 50*ms, w.Limit(0, "a", 50*ms), "the own region keeps its limit")
	require.Equal(t, 50*ms, w.Limit(0, "", 50*ms), "an unknown region too")
	require.Negative(t, w.NearestFirst(0, "a", "b"))
	require.Negative(t, w.NearestFirst(0, "b", "c"), "an unknown way counts as longest")
	require.Empty(t, w.All(wayMemory+ms))
	require.Equal(t, unknownWay, w.Estimate(wayMemory+ms, "b"))
	w.Observe(wayMemory+ms, "b", 60*ms)
	require.Equal(t, 60*ms, w.Estimate(wayMemory+ms, "b"))
}

// Guards against a process without regions having ways.
func TestNoWays(t *testing.T) {
	var w *Ways
	w.Observe(0, "b", ms)
	require.Zero(t, w.Estimate(0, "b"))
	require.Equal(t, 50*ms, w.Limit(0, "b", 50*ms))
	require.Empty(t, w.All(0))
}
