package once

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"dandelionsill.org/platform"
)

// benchLog is a fakeLog whose appends take appendTime and always succeed.
type benchLog struct {
	*fakeLog
	appendTime time.Duration
}

func (l benchLog) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	time.Sleep(l.appendTime)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	l.addRecord(data)
	return uint64(len(l.records) - 1), nil
}

var _ platform.Log = benchLog{}

// BenchmarkClaim reports claims per append by the number of concurrent callers,
// with a log whose appends take 5 ms.
func BenchmarkClaim(b *testing.B) {
	for _, callers := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			log := benchLog{newFakeLog(), 5 * time.Millisecond}
			table, _ := start(b, log, "a")
			table.cfg.ClaimTimeout = time.Minute
			ctx := context.Background()
			var wg sync.WaitGroup
			jobs := make(chan struct{})
			for range callers {
				wg.Go(func() {
					for range jobs {
						run, _, err := table.Claim(ctx, newRequest())
						if err != nil {
							b.Error(err)
							return
						}
						run.Release()
					}
				})
			}
			claims := 0
			for b.Loop() {
				jobs <- struct{}{}
				claims++
			}
			close(jobs)
			wg.Wait()
			b.ReportMetric(float64(claims)/float64(log.appendCount()), "claims/append")
		})
	}
}

// BenchmarkHeld reports the memory per finished key with a held answer of 300 bytes,
// by the number of keys.
func BenchmarkHeld(b *testing.B) {
	for _, keys := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			var bytes uint64
			for b.Loop() {
				table, stop := start(b, newFakeLog(), "a")
				table.cfg.ClaimTimeout = time.Minute
				before := liveHeapBytes()
				var wg sync.WaitGroup
				for range keys {
					wg.Go(func() {
						run, _, err := table.Claim(context.Background(), newRequest())
						if err != nil {
							b.Error(err)
							return
						}
						run.Start()
						run.Finish(&Answer{Status: 200, Body: make([]byte, 300)})
					})
				}
				wg.Wait()
				table.cfg.Log.(*fakeLog).clearData()
				bytes = liveHeapBytes() - before
				if n := table.Stats().Runs; n != keys {
					b.Fatal(n)
				}
				stop()
			}
			b.ReportMetric(float64(bytes)/float64(keys), "heldB/key")
		})
	}
}

// clearData drops the data of all records, which must not count as the table's memory.
func (l *fakeLog) clearData() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.records {
		l.records[i].Data = nil
	}
}

// liveHeapBytes returns the number of bytes on the heap after a garbage collection.
func liveHeapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
