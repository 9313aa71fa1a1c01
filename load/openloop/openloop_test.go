package openloop

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Requests that hang must not slow the arrivals down: a loop that waited for
// answers would hide a slow system by asking it less.
func TestArrivalsDoNotWaitForAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var times []time.Duration
		start := time.Now()
		cfg := Config{Rate: 100, Duration: 2 * time.Second, MaxInFlight: 1000, Seed: 1}
		fired, dropped := Run(t.Context(), cfg, func(_ context.Context, i int) {
			mu.Lock()
			times = append(times, time.Since(start))
			mu.Unlock()
			time.Sleep(10 * time.Second)
		})
		require.Len(t, times, fired)
		require.Zero(t, dropped)
		require.InDelta(t, 200, fired, 45)
		for _, at := range times {
			require.Less(t, at, cfg.Duration)
		}
	})
}

func TestBoundInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := Config{Rate: 100, Duration: time.Second, MaxInFlight: 3, Seed: 1}
		fired, dropped := Run(t.Context(), cfg, func(context.Context, int) { time.Sleep(time.Minute) })
		require.Equal(t, 3, fired)
		require.Positive(t, dropped)
	})
}
