package poison_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/decide/poison"
)

var start = time.Unix(1_800_000_000, 0)

func crash(request string, server int, at time.Time) poison.Crash {
	return poison.Crash{Request: poison.Fingerprint(request), Server: "s" + strconv.Itoa(server), At: at}
}

func verdict(tracker *poison.Tracker, request string, now time.Time) poison.Verdict {
	return tracker.Status(poison.Fingerprint(request)).Verdict(now)
}

func TestQuarantineAfterThresholdCrashes(t *testing.T) {
	tracker := poison.NewTracker()
	require.Equal(t, poison.Clear, verdict(tracker, "r", start))
	for server := range poison.QuarantineThreshold - 1 {
		require.True(t, tracker.Add(crash("r", server, start), start))
		require.Equal(t, poison.Suspect, verdict(tracker, "r", start))
	}
	require.False(t, tracker.Add(crash("r", 0, start), start), "a server ends once, however many tell of it")
	require.Equal(t, poison.Suspect, verdict(tracker, "r", start))
	tracker.Add(crash("r", 7, start), start)
	require.Equal(t, poison.Quarantined, verdict(tracker, "r", start))
	require.Equal(t, start.Add(poison.QuarantineTime), tracker.Status("r").ReleaseTime())
	require.Equal(t, poison.Clear, verdict(tracker, "other", start))
}

// A request is on its way to a server that another one ends, and is answered by the
// next. It is no suspect any more, however often that happens to it.
func TestBystanderIsClearedByAnAnswer(t *testing.T) {
	tracker := poison.NewTracker()
	for server := range 3 * poison.QuarantineThreshold {
		tracker.Add(crash("bystander", server, start), start)
		require.NotEqual(t, poison.Quarantined, verdict(tracker, "bystander", start))
		require.Len(t, tracker.Clear("bystander"), 1)
		require.Equal(t, poison.Clear, verdict(tracker, "bystander", start))
	}
}

// All servers of a small service end one after the other, and a bystander's retries
// meet the request that ends them each time. Its ends are attributed to the other as soon
// as one server ended without it; the other's stay its own.
func TestBystanderAtEveryCrashIsClear(t *testing.T) {
	tracker := poison.NewTracker()
	for server := range poison.QuarantineThreshold + 1 {
		tracker.Add(crash("poison", server, start), start)
		if server < poison.QuarantineThreshold {
			tracker.Add(crash("bystander", server, start), start)
		}
	}
	require.Equal(t, poison.Quarantined, verdict(tracker, "poison", start))
	require.Equal(t, poison.Clear, verdict(tracker, "bystander", start))
	require.Len(t, tracker.Statuses(), 2, "nothing is forgotten by it")
	require.Empty(t, tracker.Expire(start))
}

// After the quarantine one server is enough for the next: a request that still ends
// servers costs one in each, not three.
func TestProbationAfterQuarantine(t *testing.T) {
	tracker := poison.NewTracker()
	for server := range poison.QuarantineThreshold {
		tracker.Add(crash("r", server, start), start)
	}
	later := start.Add(poison.QuarantineTime)
	require.Equal(t, poison.Suspect, verdict(tracker, "r", later))
	tracker.Add(crash("r", 9, later), later)
	require.Equal(t, poison.Quarantined, verdict(tracker, "r", later))
	require.Equal(t, poison.Clear, verdict(tracker, "r", later.Add(2*poison.QuarantineTime)))
	require.NotEmpty(t, tracker.Expire(later.Add(2*poison.QuarantineTime)))
	require.Empty(t, tracker.Statuses())
}

// A clock that is ahead must not make a quarantine longer, and what is long over is
// not taken from a store that still has it.
func TestCrashTimesAreBounded(t *testing.T) {
	tracker := poison.NewTracker()
	for server := range poison.QuarantineThreshold {
		tracker.Add(crash("r", server, start.Add(24*time.Hour)), start)
	}
	require.Equal(t, start.Add(poison.QuarantineTime), tracker.Status("r").ReleaseTime())
	require.False(t, tracker.Add(crash("old", 1, start.Add(-3*poison.QuarantineTime)), start))
}

// A flood of suspects pushes out those under which the fewest servers ended, so that
// one which is in quarantine stays there; the ledger does not grow with them.
func TestTrackerIsBounded(t *testing.T) {
	tracker := poison.NewTracker()
	for server := range poison.QuarantineThreshold {
		tracker.Add(crash("r", server, start), start)
	}
	for i := range 3 * poison.MaxRequests {
		at := start.Add(time.Duration(i) * time.Millisecond)
		tracker.Add(crash(fmt.Sprintf("flood %d", i), i, at), at)
	}
	require.Len(t, tracker.Statuses(), poison.MaxRequests)
	require.Equal(t, poison.Quarantined, verdict(tracker, "r", start.Add(time.Minute)))
	for server := range 100 {
		tracker.Add(crash("r", server, start), start)
	}
	require.Less(t, tracker.Status("r").Crashes, 100)
}

// Whatever is told in whatever order and however often: two ledgers that heard the
// same crashes hold the same; fewer than QuarantineAt servers make no quarantine, and
// so many do for the request under which most ended; and what was removed one by one is
// as if it had never come.
func TestTrackersWithSameCrashesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		crashes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) poison.Crash {
			return crash(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "request"), rapid.IntRange(0, 4).Draw(t, "server"), start)
		}), 0, 20).Draw(t, "told")
		one, two := poison.NewTracker(), poison.NewTracker()
		servers := map[poison.Fingerprint]map[string]bool{"a": {}, "b": {}}
		for _, c := range crashes {
			one.Add(c, start)
			servers[c.Request][c.Server] = true
		}
		for _, c := range rapid.Permutation(append(crashes, crashes...)).Draw(t, "again") {
			two.Add(c, start)
		}
		require.Equal(t, one.Statuses(), two.Statuses())
		for request, ended := range servers {
			quarantined := one.Status(request).Verdict(start) == poison.Quarantined
			if len(ended) < poison.QuarantineThreshold {
				require.False(t, quarantined)
			} else if len(ended) >= len(servers["a"]) && len(ended) >= len(servers["b"]) {
				require.True(t, quarantined)
			}
		}
		for _, c := range crashes {
			one.Remove(c.Request, c.Key())
		}
		require.Empty(t, one.Statuses())
	})
}

// Servers end one after the other under one request, each with any others on their way
// to it; some of these are answered in between. It is in quarantine from the third server
// on, whoever was beside it. An answered one is clear, and so is each under which fewer
// servers ended.
func TestCulpritIsFoundAmongBystanders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := poison.NewTracker()
		bystanders := []string{"a", "b", "c"}
		crashCounts := map[string]int{}
		for server := range rapid.IntRange(1, 5).Draw(t, "servers") {
			present := append(rapid.SliceOfDistinct(rapid.SampledFrom(bystanders), rapid.ID).Draw(t, "present"), "culprit")
			for _, request := range rapid.Permutation(present).Draw(t, "order") {
				tracker.Add(crash(request, server, start), start)
				crashCounts[request]++
			}
			if answered := rapid.SampledFrom(append(bystanders, "")).Draw(t, "answered"); answered != "" {
				tracker.Clear(poison.Fingerprint(answered))
				delete(crashCounts, answered)
			}
			require.Equal(t, server+1 >= poison.QuarantineThreshold, verdict(tracker, "culprit", start) == poison.Quarantined)
			for _, b := range bystanders {
				if crashCounts[b] < crashCounts["culprit"] {
					require.Equal(t, poison.Clear, verdict(tracker, b, start), b)
				}
			}
		}
	})
}

// A name is made of each request while anything is suspected: 600 B are the usual body.
func BenchmarkFingerprint(b *testing.B) {
	c := poison.Content{Method: "POST", Host: "app.example", URI: "/orders/81723", Body: make([]byte, 600)}
	for b.Loop() {
		_ = c.Fingerprint()
	}
}

// What is known is made anew with each server's end, here of a full ledger.
func BenchmarkStatuses(b *testing.B) {
	tracker := poison.NewTracker()
	for i := range poison.MaxRequests {
		for server := range poison.QuarantineThreshold {
			tracker.Add(crash(fmt.Sprint(i), i+server, start), start)
		}
	}
	for b.Loop() {
		_ = tracker.Statuses()
	}
}
