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
	initialKB := w.KB()
	w.RecordAnswer(initialKB, initialKB*kb, 10*time.Millisecond)
	require.Equal(t, 2*initialKB, w.KB())
	for range 10 {
		w.RecordAnswer(w.KB(), w.KB()*kb, fetch.QuickAnswer)
	}
	require.Equal(t, 1024, w.KB(), "the largest answer that the log gives")
}

func TestWindowKeepsItsSizeOnPartialAnswers(t *testing.T) {
	var w fetch.Window
	initialKB := w.KB()
	w.RecordAnswer(initialKB, 100, time.Millisecond)
	w.RecordAnswer(initialKB, 100, time.Minute)
	require.Equal(t, initialKB, w.KB(), "a read that waited for a record carries no information")
}

// Concurrent reads time out at the same moment. If each halved the size, a process with
// eight of them would continue with the smallest size after a single interruption.
func TestConcurrentReadsShrinkTheWindowOnce(t *testing.T) {
	var w fetch.Window
	initialKB := w.KB()
	for range 8 {
		w.RecordTimeout(initialKB)
	}
	require.Equal(t, initialKB/2, w.KB())
}

func TestLargerKB(t *testing.T) {
	require.Equal(t, 256, fetch.LargerKB(128))
	require.Equal(t, 1024, fetch.LargerKB(1000))
	require.Zero(t, fetch.LargerKB(1024))
}

// For any sequence of answers, a process continues to read, and no read requests more
// than the log gives at once.
func TestWindowStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w fetch.Window
		for range rapid.IntRange(1, 200).Draw(t, "reads") {
			asked := w.KB()
			if rapid.Bool().Draw(t, "cut") {
				w.RecordTimeout(asked)
			} else {
				w.RecordAnswer(asked, rapid.IntRange(0, asked*kb).Draw(t, "got"), time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms"))*time.Millisecond)
			}
			require.GreaterOrEqual(t, w.KB(), 32)
			require.LessOrEqual(t, w.KB(), 1024)
		}
	})
}
