package fresh_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/decide/fresh"
)

func TestCheckChunk(t *testing.T) {
	tests := []struct {
		name               string
		chunk, last, floor uint64
		mixed              bool
		want               fresh.Verdict
	}{
		{"first chunk, fresh", 7, 0, 7, false, fresh.Continue},
		{"same version", 7, 7, 7, false, fresh.Continue},
		{"below the floor", 7, 7, 8, false, fresh.Cancel},
		{"below the floor, mixed", 7, 7, 8, true, fresh.Resume},
		{"another version", 8, 7, 7, false, fresh.Cancel},
		{"another version, mixed", 8, 7, 7, true, fresh.Continue},
		{"older tokens stay, mixed", 8, 7, 8, true, fresh.Continue},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, fresh.CheckChunk(tt.chunk, tt.last, tt.floor, tt.mixed))
		})
	}
}

func TestCheckRaisedFloor(t *testing.T) {
	require.Equal(t, fresh.Continue, fresh.CheckRaisedFloor(8, 8, 8, false))
	require.Equal(t, fresh.Cancel, fresh.CheckRaisedFloor(8, 7, 8, false), "its tokens are too old although the engine is not")
	require.Equal(t, fresh.Continue, fresh.CheckRaisedFloor(8, 7, 8, true))
	require.Equal(t, fresh.Resume, fresh.CheckRaisedFloor(7, 7, 8, true))
	require.Equal(t, fresh.Cancel, fresh.CheckRaisedFloor(7, 0, 8, false))
}

func TestMayResume(t *testing.T) {
	require.True(t, fresh.MayResume(8, 7, 8, true))
	require.False(t, fresh.MayResume(8, 7, 8, false))
	require.True(t, fresh.MayResume(7, 7, 7, false))
	require.False(t, fresh.MayResume(6, 7, 0, true), "a label can't go backwards")
	require.False(t, fresh.MayResume(0, 0, 0, true), "no verified version")
}

func TestMayStartBeforeSwap(t *testing.T) {
	idle := fresh.PendingSwap{TimeToSwap: time.Second}
	stale := fresh.PendingSwap{TimeToSwap: time.Second, PreferNew: true}
	require.True(t, fresh.MayStartBeforeSwap(stale, true, time.Hour))
	require.True(t, fresh.MayStartBeforeSwap(idle, false, time.Second))
	require.False(t, fresh.MayStartBeforeSwap(idle, false, 2*time.Second))
	require.False(t, fresh.MayStartBeforeSwap(idle, false, 0), "no prediction")
	require.False(t, fresh.MayStartBeforeSwap(stale, false, time.Millisecond))
}

// Floors only rise, each trainer's on its own, whatever order they come in.
func TestFloorsOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f fresh.Floors
		want := map[string]uint64{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			trainer := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "trainer")
			floor := fresh.Floor(rapid.Uint64Range(0, 9).Draw(t, "newest"), rapid.Uint64Range(0, 3).Draw(t, "bound"))
			before := want[trainer]
			want[trainer] = max(before, floor)
			got, rose := f.Raise(trainer, floor)
			require.Equal(t, want[trainer], got)
			require.Equal(t, got > before, rose)
			require.Equal(t, want["a"], f.Get("a"))
			require.Equal(t, want["b"], f.Get("b"))
		}
	})
}

// Whatever the engine's versions and however the floor moves, no token that
// goes on was made below the floor in force, and an unmixed sample has one
// version.
func TestNoTokenBelowTheFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mixed := rapid.Bool().Draw(t, "mixed")
		floor, last := uint64(0), uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "chunks") {
			floor += rapid.Uint64Range(0, 1).Draw(t, "rise")
			chunk := rapid.Uint64Range(0, 12).Draw(t, "chunk")
			if fresh.CheckChunk(chunk, last, floor, mixed) != fresh.Continue {
				continue
			}
			require.GreaterOrEqual(t, chunk, floor)
			require.True(t, mixed || last == 0 || chunk == last)
			last = chunk
		}
	})
}
