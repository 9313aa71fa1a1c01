package held_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/agent/held"
	"dandelionsill.org/wire/pb"
)

func newSample(step uint64, index int, text string, version uint64) held.Sample {
	return held.Sample{
		ID: &pb.SampleID{Trainer: "tr", Step: step, Group: "g", Index: uint32(index)},
		Done: &pb.GenerateDone{
			Text: text, Tokens: 1, Spans: []*pb.Span{{Version: version, To: 1}},
		},
	}
}

// After any sequence of operations the store respects its bounds on bytes, age,
// floor and outdated steps, and each sample that it holds is the one stored last
// under its key.
func TestStoreBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		const maxBytes = 8000
		s := held.New(held.Config{MaxBytes: maxBytes, MaxAge: time.Minute, Now: func() time.Time { return now }})
		newest, floor := uint64(0), uint64(0)
		last := map[string]string{}
		for i := range rapid.IntRange(1, 60).Draw(t, "operations") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				newest = max(newest, rapid.Uint64Range(newest, newest+2).Draw(t, "step"))
				s.ObserveStep("tr", newest)
			case 1:
				floor++
				s.DropBelow("tr", floor)
			default:
				step := newest + rapid.Uint64Range(0, 1).Draw(t, "ahead")
				index := rapid.IntRange(0, 3).Draw(t, "index")
				text := fmt.Sprint(i, strings.Repeat("x", rapid.IntRange(0, 3000).Draw(t, "bytes")))
				s.Put(newSample(step, index, text, floor+1))
				last[fmt.Sprint(step, index)] = text
			}
			_, bytes := s.Size()
			require.LessOrEqual(t, bytes, int64(maxBytes))
			for step := range newest + 2 {
				got := s.Step("tr", step)
				require.False(t, len(got) > 0 && step+held.KeptSteps < newest)
				for _, h := range got {
					require.GreaterOrEqual(t, h.Done.Spans[0].Version, floor)
					require.Equal(t, last[fmt.Sprint(step, h.ID.Index)], h.Done.Text)
				}
			}
		}
		now = now.Add(2 * time.Minute)
		require.Empty(t, s.Step("tr", newest))
	})
}

// BenchmarkHeldSample reports the heap that one held sample of 8 KB takes besides
// its text, and the overhead that the store counts for it.
func BenchmarkHeldSample(b *testing.B) {
	const n, textBytes = 2000, 8 << 10
	for range b.N {
		s := held.New(held.Config{MaxBytes: 1 << 30})
		before := heapBytes()
		for i := range n {
			s.Put(newSample(1, i, strings.Repeat("x", textBytes), 7))
		}
		b.ReportMetric(float64(heapBytes()-before)/n-textBytes, "B-beside-text/sample")
		_, bytes := s.Size()
		b.ReportMetric(float64(bytes)/n-textBytes, "B-counted/sample")
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
