package loads

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func engineIDs(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("e%02d", i)
	}
	return out
}

// A step may use the newest version and the one before. If all engines of a model
// loaded each version as soon as it is named, none would serve during a load.
func TestHalfOfAModelsEnginesLoadEachVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 50).Draw(t, "engines")
		fleet := Fleet{Engines: engineIDs(n), Models: []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "models")]}
		current := make([]uint64, n)
		for i := range current {
			current[i] = 1
		}
		for named := uint64(2); named < 9; named++ {
			loading, serving := 0, 0
			for i, e := range fleet.Engines {
				if fleet.Choose(e, current[i], "a", named, fleet.Parity(e, "a")) != nil {
					loading++
					current[i] = named
				}
				if !fleet.Serves(e, "a") {
					require.EqualValues(t, 1, current[i])
					continue
				}
				serving++
				require.GreaterOrEqual(t, current[i]+1, named, "too old for the step of this version")
			}
			require.Positive(t, serving)
			require.LessOrEqual(t, loading, serving/2+1)
			require.GreaterOrEqual(t, loading, serving/2)
		}
	})
}

// Loads limit a large fleet with several models: if every engine followed every model,
// loading the versions named within a few seconds would take longer than those seconds.
func TestEnginesShareTheModels(t *testing.T) {
	for _, test := range []struct{ engines, models, maxModels, followers int }{
		{8, 2, 2, 8}, {9, 2, 2, 9}, {45, 4, 2, 22}, {40, 3, 2, 26}, {3, 1, 1, 3}, {1, 2, 2, 1}, {2, 4, 2, 1}, {1, 4, 4, 1},
	} {
		fleet := Fleet{Engines: engineIDs(test.engines), Models: []string{"a", "b", "c", "d"}[:test.models]}
		for _, m := range fleet.Models {
			serving := 0
			for _, e := range fleet.Engines {
				if fleet.Serves(e, m) {
					serving++
				}
			}
			require.Equal(t, test.followers, serving, "%v", test)
		}
		for _, e := range fleet.Engines {
			models := 0
			for _, m := range fleet.Models {
				if fleet.Serves(e, m) {
					models++
				}
			}
			require.LessOrEqual(t, models, test.maxModels, "%v", test)
		}
	}
}

// Guards against a step whose samples wait for each other's slots while engines are
// free. When a version is named, the engines that load it are busy, and those that
// serve the step meanwhile must amount to the model's whole share.
func TestAModelsShareServesWhileTheOthersLoad(t *testing.T) {
	for _, test := range []struct{ engines, models int }{{44, 4}, {8, 2}, {48, 3}, {73, 6}, {12, 1}} {
		fleet := Fleet{Engines: engineIDs(test.engines), Models: []string{"a", "b", "c", "d", "e", "f"}[:test.models]}
		for _, m := range fleet.Models {
			var ready int
			for _, e := range fleet.Engines {
				if fleet.Serves(e, m) && fleet.Parity(e, m) == 1 {
					ready++
				}
			}
			require.GreaterOrEqual(t, ready, min(test.engines/2, test.engines/test.models), "%v", test)
		}
	}
}

func TestChoose(t *testing.T) {
	fleet := Fleet{Engines: engineIDs(10), Models: []string{"a"}}
	require.Nil(t, fleet.Choose("e00", 4, "a", 4, 0), "nothing newer")
	require.Nil(t, fleet.Choose("gone", 1, "a", 4, 0), "not among the engines")
	require.Nil(t, fleet.Choose("e00", 1, "b", 4, 0), "not among the models")
	require.Nil(t, fleet.Choose("e01", 3, "a", 4, 1), "not its turn")
	require.False(t, fleet.Choose("e00", 3, "a", 4, 0).Urgent)
	require.True(t, fleet.Choose("e01", 2, "a", 4, 1).Urgent, "two versions behind")
}

// Loads slow each other down when many run at the same time, so they run in two waves.
func TestLoadsComeInWaves(t *testing.T) {
	fleet := Fleet{Engines: engineIDs(45), Models: []string{"a", "b", "c", "d"}, LoadTime: time.Second}
	waves := map[time.Duration]int{}
	for _, e := range fleet.Engines {
		if w := fleet.Choose(e, 3, "a", 4, fleet.Parity(e, "a")); w != nil {
			waves[w.Delay]++
		}
	}
	require.Equal(t, map[time.Duration]int{0: 6, time.Second: 5}, waves)
}

// Servers are replaced one after the other: one engine is added, then another removed.
// An engine that has the previous version must not become due at once, together with
// half of the fleet, because its position among the engines has changed.
func TestParityIsKeptWhenTheFleetChanges(t *testing.T) {
	before := Fleet{Engines: engineIDs(10), Models: []string{"a"}}
	after := Fleet{Engines: append([]string{"a-new-one"}, engineIDs(10)...), Models: []string{"a"}}
	kept := before.Parity("e03", "a")
	require.NotEqual(t, kept, after.Parity("e03", "a"), "its position has changed")
	require.Nil(t, after.Choose("e03", 3, "a", 4, kept))
	require.NotNil(t, after.Choose("e03", 4, "a", 5, kept))
}

// Engines load more slowly than usual. If as many followed each model as usual, all
// would load at the same time, slow each other down and be too old for the next step.
func TestNoMoreEnginesFollowThanCanLoadInTime(t *testing.T) {
	for _, test := range []struct {
		took, every time.Duration
		follow      int // of nine engines, with two models
	}{
		{0, 0, 9},
		{time.Second, 0, 9}, // naming interval not known yet
		{900 * time.Millisecond, 4 * time.Second, 8},
		{1800 * time.Millisecond, 4 * time.Second, 4},
		{2400 * time.Millisecond, 4 * time.Second, 3},
		{20 * time.Second, 4 * time.Second, 2}, // one of each parity
		{2400 * time.Millisecond, 8 * time.Second, 6},
	} {
		fleet := Fleet{Engines: engineIDs(9), Models: []string{"a", "b"}, LoadTime: test.took, NamingInterval: test.every}
		following := 0
		for _, e := range fleet.Engines {
			if fleet.Serves(e, "a") {
				following++
			}
		}
		require.Equal(t, test.follow, following, "%v every %v", test.took, test.every)
	}
}

// For any fleet, the loads of two versions fit into the time of two versions.
func TestLoadsFitIntoAvailableTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := Fleet{
			Engines: engineIDs(rapid.IntRange(2, 60).Draw(t, "engines")), Models: []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "models")],
			LoadTime:       time.Duration(rapid.IntRange(100, 9000).Draw(t, "took ms")) * time.Millisecond,
			NamingInterval: time.Duration(rapid.IntRange(1000, 9000).Draw(t, "every ms")) * time.Millisecond,
		}
		following := 0
		for _, e := range fleet.Engines {
			if fleet.Serves(e, "a") {
				following++
			}
		}
		require.Positive(t, following)
		if following <= minWindow {
			return
		}
		busy := float64(following*len(fleet.Models)) * fleet.LoadTime.Seconds() / (2 * fleet.NamingInterval.Seconds())
		require.LessOrEqual(t, busy, float64(maxParallelLoads(len(fleet.Engines))))
	})
}

func TestLoadTimeEstimator(t *testing.T) {
	var l LoadTimeEstimator
	require.Equal(t, initialLoadTime, l.LoadTime(), "no load observed")
	l.ObservePeers(2 * time.Second)
	require.Equal(t, initialLoadTime, l.LoadTime(), "a quick load may be listed this late")
	l.ObservePeers(6 * time.Second)
	require.Equal(t, 4500*time.Millisecond, l.LoadTime(), "no peer is listed yet")
	l.ObserveOwn(3 * time.Second)
	l.ObserveOwn(5 * time.Second)
	require.Equal(t, 4*time.Second, l.LoadTime(), "a longer load may have been slowed down by others")
	l.ObserveOwn(2 * time.Second)
	require.Equal(t, 2*time.Second, l.LoadTime())
	l.VersionNamed()
	require.Equal(t, 2*time.Second, l.LoadTime())
	for range 30 {
		l.VersionNamed()
	}
	require.Less(t, l.LoadTime(), time.Second, "an engine that stopped loading tries again")
}

func TestCadenceEstimator(t *testing.T) {
	var c CadenceEstimator
	start := time.Unix(1000, 0)
	c.VersionNamed(start, 1)
	require.Zero(t, c.NamingInterval())
	c.VersionNamed(start.Add(4*time.Second), 1)
	require.Equal(t, 4*time.Second, c.NamingInterval())
	c.VersionNamed(start.Add(12*time.Second), 2)
	require.Equal(t, 4*time.Second, c.NamingInterval(), "two versions in one observation count as two intervals")
	c.VersionNamed(start.Add(20*time.Second), 1)
	require.Equal(t, 6*time.Second, c.NamingInterval())
}

// A model's samples may use half of the engines only. Guards against a step whose samples share a few
// engines because most of those that follow the model may not be used: as many follow it as without
// the limit, if there are that many, and both parities do.
func TestModelOfSomeEnginesIsFollowedByThem(t *testing.T) {
	all := engineIDs(32)
	for _, usable := range []int{32, 24, 16, 8, 2} {
		fleet := Fleet{Engines: all[32-usable:], Models: []string{"a", "b", "c"}, Total: 32}
		for _, model := range fleet.Models {
			var followers []string
			parities := map[Parity]int{}
			for _, e := range all {
				if fleet.Serves(e, model) {
					followers = append(followers, e)
					parities[fleet.Parity(e, model)]++
				}
			}
			require.Len(t, followers, min(usable, 21))
			require.Subset(t, fleet.Engines, followers)
			require.InDelta(t, parities[0], parities[1], 1)
		}
	}
}
