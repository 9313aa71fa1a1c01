package loads

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("e%02d", i)
	}
	return out
}

// A step may use the newest version and the one before. Were all engines to
// load each version as it is named, none would serve for the time of a load.
func TestHalfOfTheEnginesLoadEachVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 50).Draw(t, "engines")
		engines, models := names(n), []string{"a", "b"}
		have := make([]uint64, n)
		for i := range have {
			have[i] = 1
		}
		for named := uint64(2); named < 9; named++ {
			loading := 0
			for i, e := range engines {
				if Choose(e, have[i], engines, models, "a", named, time.Second) != nil {
					loading++
					have[i] = named
				}
				require.GreaterOrEqual(t, have[i]+1, named, "too old for the step of this version")
			}
			require.LessOrEqual(t, loading, n/2+1)
			require.GreaterOrEqual(t, loading, n/2)
		}
	})
}

func TestChoose(t *testing.T) {
	engines, models := names(10), []string{"a", "b"}
	require.Nil(t, Choose("e00", 4, engines, models, "a", 4, time.Second), "nothing newer")
	require.Nil(t, Choose("gone", 1, engines, models, "a", 4, time.Second), "not among the engines")
	urgent := Choose("e01", 2, engines, models, "a", 4, time.Second)
	require.NotNil(t, urgent, "two versions behind")
	require.True(t, urgent.Urgent)
	turn := Choose("e00", 3, engines, models, "a", 4, time.Second)
	require.False(t, turn.Urgent)
	require.NotEqual(t, turn == nil, Choose("e00", 3, engines, models, "b", 4, time.Second) == nil, "the models take turns")
}

// Loads slow each other down when many run at once, so they come in waves of a
// fifth of the engines.
func TestLoadsComeInWaves(t *testing.T) {
	engines := names(45)
	waves := map[time.Duration]int{}
	for _, e := range engines {
		if w := Choose(e, 3, engines, []string{"a"}, "a", 4, time.Second); w != nil {
			waves[w.Wait]++
		}
	}
	require.Equal(t, map[time.Duration]int{0: 9, time.Second: 9, 2 * time.Second: 5}, waves)
}
