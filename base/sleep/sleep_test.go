package sleep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a slow stop: a loop that retries every minute must end when its
// process stops, not up to a minute later.
func TestForReturnsWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		require.True(t, For(t.Context(), time.Minute))
		require.Equal(t, time.Minute, time.Since(start))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.False(t, For(ctx, time.Minute))
		require.Equal(t, time.Minute+time.Second, time.Since(start))
		require.False(t, For(ctx, 0), "when both have ended, ctx decides")
	})
}

func TestJitterStaysInBounds(t *testing.T) {
	for range 1000 {
		d := Jitter(time.Second)
		require.GreaterOrEqual(t, d, time.Second/2)
		require.Less(t, d, 3*time.Second/2)
	}
}
