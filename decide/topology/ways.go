package topology

import (
	"math"
	"sync"
	"time"
)

const (
	// wayMemory is how long a measured way holds without a new measurement.
	wayMemory = 30 * time.Second
	// unknownWay stands for a way that was not measured: longer than between regions of one
	// continent, so that the first limit is too long rather than too short.
	unknownWay = 100 * time.Millisecond
	// maxRoundTrip bounds what is taken for a way. A longer answer was held up by a process.
	maxRoundTrip = time.Second
	// The weights of a new measurement in the mean and in the deviation, and the deviations that a
	// limit allows, are those of TCP's retransmission timer (RFC 6298).
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 4

	maxRank = time.Duration(math.MaxInt64)
)

// Ways holds the round trips from one process to the other regions, as measured by its messages
// that pass. The nil pointer is valid and knows none. It is safe for concurrent use.
type Ways struct {
	own string // region of the process

	mu   sync.Mutex
	ways map[string]way // by region
}

// way is the measured round trip to a region.
type way struct {
	mean, deviation time.Duration
	at              time.Duration // of the last measurement
}

// NewWays returns the ways of a process in a region; empty: unknown.
func NewWays(own string) *Ways { return &Ways{own: own, ways: map[string]way{}} }

// Observe records that a message to a region was answered after a time. The own region is not
// measured: nothing depends on it. now is a time of a monotonic clock.
func (w *Ways) Observe(now time.Duration, region string, took time.Duration) {
	if w == nil || region == "" || region == w.own || took <= 0 || took > maxRoundTrip {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	old, known := w.ways[region]
	if !known || now-old.at > wayMemory {
		w.ways[region] = way{mean: took, deviation: took / 2, at: now}
		return
	}
	diff := took - old.mean
	w.ways[region] = way{
		mean:      old.mean + time.Duration(meanWeight*float64(diff)),
		deviation: old.deviation + time.Duration(deviationWeight*float64(max(diff, -diff)-old.deviation)),
		at:        now,
	}
}

// RoundTrip returns the mean round trip to a region; false: it was not measured lately.
func (w *Ways) RoundTrip(now time.Duration, region string) (time.Duration, bool) {
	measured, known := w.get(now, region)
	return measured.mean, known
}

// Estimate returns the round trip to a region, the longest assumed one if it is unknown, and 0 to
// the own region.
func (w *Ways) Estimate(now time.Duration, region string) time.Duration {
	if w == nil || region == "" || region == w.own {
		return 0
	}
	if measured, known := w.get(now, region); known {
		return measured.mean
	}
	return unknownWay
}

// Limit returns how long an answer from a region may take whose time limit in the own region is
// base. A round trip that is no longer than usual never reaches it.
func (w *Ways) Limit(now time.Duration, region string, base time.Duration) time.Duration {
	limit := base + w.Estimate(now, region)
	if measured, known := w.get(now, region); known {
		limit += deviations * measured.deviation
	}
	return limit
}

// All returns the measured ways that hold, by region.
func (w *Ways) All(now time.Duration) map[string]time.Duration {
	all := map[string]time.Duration{}
	if w == nil {
		return all
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for region, measured := range w.ways {
		if now-measured.at <= wayMemory {
			all[region] = measured.mean
		}
	}
	return all
}

func (w *Ways) get(now time.Duration, region string) (way, bool) {
	if w == nil {
		return way{}, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	measured, known := w.ways[region]
	if !known || now-measured.at > wayMemory {
		return way{}, false
	}
	return measured, true
}
