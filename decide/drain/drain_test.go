package drain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a stopping process that starts what it can't end, or refuses what it could.
func TestMayStart(t *testing.T) {
	known := func(n int, mean, longest time.Duration) Durations { return Durations{n, mean, longest} }
	for _, c := range []struct {
		name  string
		m     Moment
		limit time.Duration
		known Durations
		want  bool
	}{
		{"ends by its deadline", Moment{2 * time.Second, false}, 2 * time.Second, Durations{}, true},
		{"nothing known, callers have gone elsewhere", Moment{2 * time.Second, false}, 3 * time.Second, Durations{}, false},
		{"nothing known, callers still arrive", Moment{2 * time.Second, true}, 3 * time.Second, Durations{}, true},
		{"all recent ones were short", Moment{2 * time.Second, false}, 12 * time.Second, known(30, time.Millisecond, time.Second), true},
		{"one recent one was long", Moment{2 * time.Second, false}, 12 * time.Second, known(30, time.Millisecond, 1900*time.Millisecond), false},
		{"too few were seen", Moment{2 * time.Second, false}, 12 * time.Second, known(29, time.Millisecond, time.Second), false},
		{"most would be cut off although callers arrive", Moment{2 * time.Second, true}, 12 * time.Second, known(5, 3*time.Second, 4*time.Second), false},
		{"some would be cut off, callers arrive", Moment{2 * time.Second, true}, 12 * time.Second, known(5, time.Second, 4*time.Second), true},
		{"no time left", Moment{0, true}, 0, known(100, 0, 0), false},
	} {
		require.Equal(t, c.want, MayStart(c.m, c.limit, c.known), c.name)
	}
}

// Guards against a request that is refused and would be started a moment later.
func TestMayStartOnlyTurnsFalse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(-1e9, 2e10).Draw(t, name))
		}
		known := Durations{Observed: rapid.IntRange(0, 60).Draw(t, "observed"), Mean: max(0, duration("mean")), Longest: max(0, duration("longest"))}
		m, limit, later := Moment{duration("left"), rapid.Bool().Draw(t, "callers")}, duration("limit"), max(0, duration("later"))
		before := MayStart(m, limit, known)
		m.Left, m.CallersArrive = m.Left-later, m.CallersArrive && rapid.Bool().Draw(t, "callers later")
		if MayStart(m, limit-later, known) {
			require.True(t, before)
		}
	})
}

// Guards against durations that count for ever, or are forgotten with every new window.
func TestEstimatorForgets(t *testing.T) {
	var e Estimator
	start := time.Now()
	require.Zero(t, e.Durations(start))
	e.Observe(time.Second, start)
	e.Observe(3*time.Second, start)
	require.Equal(t, Durations{2, 2 * time.Second, 3 * time.Second}, e.Durations(start.Add(window)))
	e.Observe(5*time.Second, start.Add(window))
	require.Equal(t, Durations{3, 3 * time.Second, 5 * time.Second}, e.Durations(start.Add(window)))
	require.Equal(t, Durations{1, 5 * time.Second, 5 * time.Second}, e.Durations(start.Add(2*window)))
	require.Zero(t, e.Durations(start.Add(9*window)))
}
