package boottime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestNowIsMonotonic(t *testing.T) {
	first := Now()
	require.Positive(t, first)
	require.GreaterOrEqual(t, Now(), first)
}

// Guards against requests that are counted in a wrong window after the time of day has
// jumped.
func TestClockFollowsOnlyLastingSteps(t *testing.T) {
	var boot, step time.Duration
	start := time.Unix(1_000_000, 0)
	c := newClock(func() time.Time { return start.Add(boot + step) }, func() time.Duration { return boot })
	nowAfter := func(after time.Duration) time.Time { boot = after; return c.Now() }
	require.Equal(t, start.Add(time.Second), nowAfter(time.Second))
	step = -2 * time.Second
	require.Equal(t, start.Add(2*time.Second), nowAfter(2*time.Second))
	step = 0
	require.Equal(t, start.Add(8*time.Second), nowAfter(8*time.Second))
	step = 50 * time.Millisecond
	require.Equal(t, start.Add(9*time.Second+step), nowAfter(9*time.Second), "a correction")
	step = time.Minute
	nowAfter(10 * time.Second)
	require.Equal(t, start.Add(39*time.Second+50*time.Millisecond), nowAfter(39*time.Second))
	require.Equal(t, start.Add(40*time.Second+step), nowAfter(40*time.Second), "a step that lasts")
}
