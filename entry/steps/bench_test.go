package steps_test

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkStep runs whole steps at one entry with 40 agents of 32 slots and samples of
// 304 tokens in chunks of 8. It reports the processor time per sample, including that of
// the fake agents and the client, and the live heap per sample when all samples are done
// and none was pulled. The slope between the sizes is the cost of a sample.
func BenchmarkStep(b *testing.B) {
	for _, samples := range []int{256, 1024, 2048} {
		b.Run(fmt.Sprint(samples), func(b *testing.B) {
			var cpu time.Duration
			var heap uint64
			for b.Loop() {
				c, h := benchStep(b, samples)
				cpu, heap = cpu+c, max(heap, h)
			}
			b.ReportMetric(float64(cpu.Microseconds())/float64(b.N*samples), "cpu_µs/sample")
			b.ReportMetric(float64(heap)/float64(samples), "heap_B/sample")
			b.ReportMetric(float64(heap), "heap_B")
		})
	}
}

func benchStep(b *testing.B, samples int) (cpu time.Duration, heap uint64) {
	w := newWorld(b)
	defer w.close()
	w.agents(40, 32, 500)
	for _, a := range w.fleet.agents {
		a.chunk, a.length = 8, func(uint64) int { return 304 }
	}
	w.entry("a")
	before, began := liveHeap(), processorTime()
	st := step(samples/8, 8)
	w.post("a", st)
	for done := 0; done < samples; {
		time.Sleep(10 * time.Millisecond)
		done = 0
		for _, a := range w.fleet.agents {
			done += len(a.finishTimes())
		}
	}
	for _, a := range w.fleet.agents {
		a.mu.Lock()
		a.held, a.finishedAt = nil, map[string]time.Time{}
		a.mu.Unlock()
	}
	heap = liveHeap() - before
	got, err := w.collect(w.client("a"), st)
	require.NoError(b, err)
	require.Len(b, got, samples/8)
	return processorTime() - began, heap
}

func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
