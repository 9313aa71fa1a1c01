package sleep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A loop that retries every minute must end with its process, and not a minute
// later.
func TestForReturnsWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		require.True(t, For(t.Context(), time.Minute))
		require.Equal(t, time.Minute, time.Since(start))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.False(t, For(ctx, time.Minute))
		require.Equal(t, time.Minute+time.Second, time.Since(start))
		require.False(t, For(ctx, 0), "both at once: the end of ctx counts")
	})
}

func TestJitterStaysInBounds(t *testing.T) {
	for range 1000 {
		d := Jitter(time.Second)
		require.GreaterOrEqual(t, d, time.Second/2)
		require.Less(t, d, 3*time.Second/2)
	}
}
