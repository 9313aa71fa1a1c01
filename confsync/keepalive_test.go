package confsync

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/fold/control"
)

// Without a commit for ten times the log's retention, some process reappends the
// revision and the versions in time. Even after all processes have stopped, a
// new one finds both in the log.
func TestReappendOutlivesRetention(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		s.log.retain = retention
		s.startMany(5)
		s.log.commit(revision(1, "a"))
		s.get("p2").Announce("m", 4)
		sleep.For(context.Background(), 10*retention)
		appended := len(s.log.records)
		// The revision is reappended every R/8 to 3R/8; one record carries both.
		require.Greater(t, appended, 20)
		require.Less(t, appended, 90)
		s.stopAll()
		fresh := s.start("p9")
		s.awaitRevision(inForceLimit, 1)
		require.Equal(t, uint64(4), fresh.View().Versions["m"])
	})
}

// The log is down when the revision should be reappended, and the times of all
// processes pass meanwhile. When the log is available again, only few of them
// reappend the revision.
func TestReappendAfterOutage(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		s.startMany(50)
		s.log.commit(revision(1, "a"))
		s.awaitRevision(inForceLimit, 1)
		s.log.setFaults(func(l *fakeLog) { l.down = true })
		sleep.For(context.Background(), retention*7/16)
		s.log.setFaults(func(l *fakeLog) { l.down = false })
		sleep.For(context.Background(), retention/16+time.Minute)
		require.Contains(t, []int{2, 3}, len(s.log.retained()), "reappended once, with at most one duplicate")
	})
}

// All processes of a fleet draw their times to reappend. Those whose time comes
// before the first one's record reaches them append as well. For any size of the
// fleet there are few duplicates, and the first append is in time.
func TestFewDoubleReappends(t *testing.T) {
	const rounds, appendTime, retention = 200, 2 * time.Second, time.Hour
	random := rand.New(rand.NewPCG(1, 2))
	for _, w := range []window{normalWindow(retention), lateWindow(retention)} {
		for _, processes := range []int{1, 13, 360, 1860, maxProcesses} {
			doubles, maxDoubles := 0, 0
			for range rounds {
				due := make([]time.Duration, processes)
				for i := range due {
					due[i] = w.draw(random.Float64())
				}
				slices.Sort(due)
				require.Less(t, due[0], retention/2)
				firstAfter, _ := slices.BinarySearch(due, due[0]+appendTime)
				doubles += firstAfter - 1
				maxDoubles = max(maxDoubles, firstAfter-1)
			}
			t.Logf("window %v, %d processes: %.3f doubles on average, %d at most", w, processes, float64(doubles)/rounds, maxDoubles)
			require.LessOrEqual(t, float64(doubles)/rounds, 0.5)
			require.LessOrEqual(t, maxDoubles, 5)
		}
	}
}

func TestDrawStaysInWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := time.Duration(rapid.Int64Range(int64(time.Minute), int64(365*24*time.Hour)).Draw(t, "retention"))
		u := rapid.Float64Range(0, 0.9999999999).Draw(t, "u")
		after := normalWindow(r).draw(u)
		require.GreaterOrEqual(t, after, r/8)
		require.Less(t, after, r/2)
		now := time.Unix(1_800_000_000, 0)
		age := time.Duration(rapid.Int64Range(-int64(r), int64(r)).Draw(t, "age"))
		due := dueAt(control.NewestCopy{Time: now.Add(-age)}, now, after)
		require.False(t, due.After(now.Add(after)), "a log clock that is ahead can't delay the reappend")
	})
}
