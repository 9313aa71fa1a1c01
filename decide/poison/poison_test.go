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
	require.False(t, tracker.Add(crash("r", 0, start), start), "a server crashes once, however many processes report it")
	require.Equal(t, poison.Suspect, verdict(tracker, "r", start))
	tracker.Add(crash("r", 7, start), start)
	require.Equal(t, poison.Quarantined, verdict(tracker, "r", start))
	require.Equal(t, start.Add(poison.QuarantineTime), tracker.Status("r").ReleaseTime())
	require.Equal(t, poison.Clear, verdict(tracker, "other", start))
}

// A bystander runs at a server that another request crashes, and is answered by the next
// server. The answer must clear it, however often this happens.
func TestBystanderIsClearedByAnAnswer(t *testing.T) {
	tracker := poison.NewTracker()
	for server := range 3 * poison.QuarantineThreshold {
		tracker.Add(crash("bystander", server, start), start)
		require.NotEqual(t, poison.Quarantined, verdict(tracker, "bystander", start))
		require.Len(t, tracker.Clear("bystander"), 1)
		require.Equal(t, poison.Clear, verdict(tracker, "bystander", start))
	}
}

// All servers of a small service crash in turn, and each retry of a bystander runs beside
// the poison request. Its crashes must be attributed to the poison request as soon as one
// server crashed without the bystander.
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
	require.Len(t, tracker.Statuses(), 2, "attribution removes no request")
	require.Empty(t, tracker.Expire(start))
}

// A single crash during probation must start the next quarantine, so that a request that
// still crashes servers costs one server per quarantine and not three.
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

// The clock of another process may be ahead, which must not make a quarantine longer. A
// crash that has expired must not be recorded again from a store that still holds it.
func TestCrashTimesAreBounded(t *testing.T) {
	tracker := poison.NewTracker()
	for server := range poison.QuarantineThreshold {
		tracker.Add(crash("r", server, start.Add(24*time.Hour)), start)
	}
	require.Equal(t, start.Add(poison.QuarantineTime), tracker.Status("r").ReleaseTime())
	require.False(t, tracker.Add(crash("old", 1, start.Add(-3*poison.QuarantineTime)), start))
}

// A flood of suspects must not grow the tracker without bound. The requests with the fewest
// crashes are evicted, so that a quarantined request stays quarantined.
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

// Two trackers that receive the same crashes, in any order and any number of times, must
// agree. Fewer than QuarantineThreshold crashes never quarantine a request; so many crashes
// quarantine the request that has the most of all. A tracker is empty once all crashes
// have been removed one by one.
func TestTrackersWithSameCrashesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		crashes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) poison.Crash {
			return crash(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "request"), rapid.IntRange(0, 4).Draw(t, "server"), start)
		}), 0, 20).Draw(t, "crashes")
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

// Servers crash in turn under one request, each with any bystanders, some of which are
// answered in between. The culprit must be quarantined from the third crash on, whichever
// bystanders ran beside it. Answered bystanders and those with fewer crashes must be clear.
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

// BenchmarkFingerprint measures the cost for each request while any request is suspected,
// with a body of the usual 600 B.
func BenchmarkFingerprint(b *testing.B) {
	c := poison.Content{Method: "POST", Host: "app.example", URI: "/orders/81723", Body: make([]byte, 600)}
	for b.Loop() {
		_ = c.Fingerprint()
	}
}

// BenchmarkStatuses measures the cost of one crash: all statuses are computed again, here
// for a full tracker.
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
