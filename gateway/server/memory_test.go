package server

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/base/inbound"
)

// A body of the largest size that platforms configure fits into the smallest VM on which the gateway runs, besides what is
// guaranteed to connections and heads.
func TestLargestBodyFitsSmallestVM(t *testing.T) {
	held := newHeldMemory(144)
	inbound.New(inbound.Settings{}, held.budget, zap.NewNop())
	require.Greater(t, held.bodies.Most(), int64(32<<20))
}

// A VM without a told amount of memory bounds nothing; on any other, what is held for others stays a part of the memory,
// whatever the uses need, and leaves each its guaranteed part.
func TestHeldMemory(t *testing.T) {
	require.Equal(t, heldMemory{}, newHeldMemory(0))
	for _, memoryMB := range []float64{32, 144, 536} {
		held := newHeldMemory(memoryMB)
		const step = 64 << 10
		taken := 0.0
		for held.bodies.Acquire(step) {
			taken += step
		}
		for held.answers.Acquire(step) {
			taken += step
		}
		for held.texts.Acquire(step) {
			taken += step
		}
		require.LessOrEqual(t, taken, float64(held.budget.Total()))
		require.InDelta(t, answersPart*float64(held.budget.Total()), held.answers.InUse(), step)
		require.InDelta(t, textsPart*float64(held.budget.Total()), held.texts.InUse(), step)
	}
}
