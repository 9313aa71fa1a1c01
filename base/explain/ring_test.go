package explain

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace"
)

func TestFindKeepsOrder(t *testing.T) {
	r := New("e1", 1024)
	r.now = func() time.Time { return time.UnixMilli(7) }
	sc := trace.NewSpanContext(trace.SpanContextConfig{TraceID: trace.TraceID{1}, SpanID: trace.SpanID{2}})
	r.Add(trace.ContextWithSpanContext(context.Background(), sc), "route", "r1", "picked a1", "least loaded")
	r.Add(context.Background(), "route", "r2", "refused", "queues full")
	r.Add(context.Background(), "calls", "r1", "sent", "holds a slot")

	found := r.Find("r1")
	require.Len(t, found, 2)
	require.Equal(t, "picked a1", found[0].What)
	require.Equal(t, "01000000000000000000000000000000", found[0].TraceId)
	require.Equal(t, "sent", found[1].What)
	require.Equal(t, int64(7), found[1].AtMs)
	require.Equal(t, "e1", found[1].Process)
	require.Empty(t, r.Find("r3"))
	require.Empty(t, r.Find(""))
	require.Empty(t, (*Ring)(nil).Find("r1"))
}

// A query for a request, sample or group must also return its attempts, whose IDs
// are longer, in order, but not the decisions about an unrelated ID that only has
// the same prefix.
func TestFindIncludesAttempts(t *testing.T) {
	r := New("e1", 1024)
	at := int64(0)
	r.now = func() time.Time { at++; return time.UnixMilli(at) }
	for _, id := range []string{"t/1/g/0/1/7@e1", "t/1/g/0", "t/1/g/01", "t/1/g/1", "r1.ab-1", "r10"} {
		r.Add(context.Background(), "steps", id, id, "")
	}
	for id, want := range map[string][]string{
		"t/1/g/0": {"t/1/g/0/1/7@e1", "t/1/g/0"},
		"t/1/g":   {"t/1/g/0/1/7@e1", "t/1/g/0", "t/1/g/01", "t/1/g/1"},
		"r1":      {"r1.ab-1"},
	} {
		var got []string
		for _, d := range r.Find(id) {
			got = append(got, d.What)
		}
		require.Equal(t, want, got, id)
	}
}

// A process makes millions of decisions while an operator queries one ID: memory
// must stay bounded, the oldest decisions are dropped first, and a reader must
// never see a partly written record.
func TestRingIsBoundedUnderConcurrency(t *testing.T) {
	const writers, each = 8, 5000
	r := New("e1", 256)
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for i := range each {
				id := strconv.Itoa(w*each + i)
				r.Add(context.Background(), "route", id, id, id)
				for _, d := range r.Find(id) {
					require.Equal(t, d.Id, d.What)
				}
			}
		})
	}
	wg.Wait()
	kept := 0
	for id := range writers * each {
		kept += len(r.Find(strconv.Itoa(id)))
	}
	require.LessOrEqual(t, kept, 256)
	require.Greater(t, kept, 200)
}

func TestAddAllocatesNothing(t *testing.T) {
	r := New("e1", 256)
	ctx := context.Background()
	require.Zero(t, testing.AllocsPerRun(100, func() { r.Add(ctx, "route", "r1", "picked", "why") }))
}

func BenchmarkAdd(b *testing.B) {
	r := New("e1", 4096)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		ctx := context.Background()
		for pb.Next() {
			r.Add(ctx, "route", "request-1", "picked a1", "least loaded")
		}
	})
}
