package fetch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/decide/fetch"
)

const kb = 1 << 10

func TestWindowGrowsWithQuickFullAnswers(t *testing.T) {
	var w fetch.Window
	first := w.KB()
	w.Answered(first, first*kb, 10*time.Millisecond)
	require.Equal(t, 2*first, w.KB())
	for range 10 {
		w.Answered(w.KB(), w.KB()*kb, fetch.Quick)
	}
	require.Equal(t, 1024, w.KB(), "the largest answer that the log gives")
}

func TestWindowKeepsItsSizeOnPartAnswers(t *testing.T) {
	var w fetch.Window
	first := w.KB()
	w.Answered(first, 100, time.Millisecond)
	w.Answered(first, 100, time.Minute)
	require.Equal(t, first, w.KB(), "a read that waited for a record tells nothing")
}

// Reads that ran side by side are given up at the same moment. Were each to halve the
// size, a process with eight of them would go on with the smallest after one hiccup.
func TestReadsSideBySideShrinkTheWindowOnce(t *testing.T) {
	var w fetch.Window
	first := w.KB()
	for range 8 {
		w.CutOff(first)
	}
	require.Equal(t, first/2, w.KB())
}

func TestLarger(t *testing.T) {
	require.Equal(t, 256, fetch.Larger(128))
	require.Equal(t, 1024, fetch.Larger(1000))
	require.Zero(t, fetch.Larger(1024))
}

// Whatever comes, a process goes on reading, and no read asks for more than the log
// gives at once.
func TestWindowStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w fetch.Window
		for range rapid.IntRange(1, 200).Draw(t, "reads") {
			asked := w.KB()
			if rapid.Bool().Draw(t, "cut") {
				w.CutOff(asked)
			} else {
				w.Answered(asked, rapid.IntRange(0, asked*kb).Draw(t, "got"), time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms"))*time.Millisecond)
			}
			require.GreaterOrEqual(t, w.KB(), 32)
			require.LessOrEqual(t, w.KB(), 1024)
		}
	})
}
