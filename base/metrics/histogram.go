package metrics

import (
	"expvar"
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// bucketBounds are the inclusive upper bounds of a Histogram's buckets.
var bucketBounds = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
}

// Histogram counts latencies in fixed buckets. It is safe for concurrent use.
type Histogram struct {
	buckets [14]atomic.Int64 // the last one counts latencies above all bounds
	sum     atomic.Int64     // nanoseconds
}

// NewHistogram returns the histogram with the given name; the first call creates
// and publishes it.
func NewHistogram(name string) *Histogram {
	publishMu.Lock()
	defer publishMu.Unlock()
	if h, ok := expvar.Get(name).(*Histogram); ok {
		return h
	}
	h := &Histogram{}
	expvar.Publish(name, h)
	return h
}

// Observe records one latency.
func (h *Histogram) Observe(d time.Duration) {
	bucket := 0
	for bucket < len(bucketBounds) && d > bucketBounds[bucket] {
		bucket++
	}
	h.buckets[bucket].Add(1)
	h.sum.Add(int64(d))
}

// String returns a JSON object with the count of each bucket (named by its upper
// bound in milliseconds), the total count and the sum in milliseconds.
func (h *Histogram) String() string {
	var b strings.Builder
	b.WriteString("{")
	total := int64(0)
	for i := range h.buckets {
		n := h.buckets[i].Load()
		total += n
		bound := "inf"
		if i < len(bucketBounds) {
			bound = fmt.Sprint(bucketBounds[i].Milliseconds())
		}
		fmt.Fprintf(&b, "%q: %d, ", "le_"+bound+"_ms", n)
	}
	fmt.Fprintf(&b, "\"count\": %d, \"sum_ms\": %d}", total, h.sum.Load()/int64(time.Millisecond))
	return b.String()
}
