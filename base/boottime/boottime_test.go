package boottime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestNowGoesForward(t *testing.T) {
	first := Now()
	require.Positive(t, first)
	require.GreaterOrEqual(t, Now(), first)
}

// Guards against requests that count in a wrong window after the time of day has jumped.
func TestClockFollowsOnlyStepsThatLast(t *testing.T) {
	var boot, step time.Duration
	begin := time.Unix(1_000_000, 0)
	c := newClock(func() time.Time { return begin.Add(boot + step) }, func() time.Duration { return boot })
	at := func(after time.Duration) time.Time { boot = after; return c.Now() }
	require.Equal(t, begin.Add(time.Second), at(time.Second))
	step = -2 * time.Second
	require.Equal(t, begin.Add(2*time.Second), at(2*time.Second))
	step = 0
	require.Equal(t, begin.Add(8*time.Second), at(8*time.Second))
	step = 50 * time.Millisecond
	require.Equal(t, begin.Add(9*time.Second+step), at(9*time.Second), "a correction")
	step = time.Minute
	at(10 * time.Second)
	require.Equal(t, begin.Add(39*time.Second+50*time.Millisecond), at(39*time.Second))
	require.Equal(t, begin.Add(40*time.Second+step), at(40*time.Second), "a step that lasts")
}
