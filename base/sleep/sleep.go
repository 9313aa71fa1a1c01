// Package sleep provides pauses that end early with a context, and jitter for them.
package sleep

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for d and reports whether ctx is still active. If ctx ends first, For
// returns false at once.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}

// Jitter returns a random duration in [d/2, 3d/2); d must be positive. Without
// jitter, all VMs that lose a peer at the same time would retry it at the same
// time.
func Jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
