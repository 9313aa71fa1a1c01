package capacity

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"dandelionsill.org/adapters/httplog"
	"dandelionsill.org/adapters/httpvms"
	"dandelionsill.org/agent/once"
	fold "dandelionsill.org/fold/once"
	"dandelionsill.org/platform"
	"dandelionsill.org/standin/logsvc"
	"dandelionsill.org/standin/vms"
)

// startServer serves a handler on loopback and counts the bytes of its connections.
func startServer(b *testing.B, h http.Handler) (url string, traffic *Traffic) {
	traffic = &Traffic{}
	srv := httptest.NewUnstartedServer(h)
	srv.Listener = traffic.Listen(srv.Listener)
	srv.Start()
	b.Cleanup(srv.Close)
	return srv.URL, traffic
}

// requestCounter counts the requests that reach the log.
type requestCounter struct {
	http.Handler
	reads, appends atomic.Int64
}

func (c *requestCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		c.appends.Add(1)
	} else {
		c.reads.Add(1)
	}
	c.Handler.ServeHTTP(w, r)
}

// BenchmarkLogPoll reads an empty page: the cost of a long poll that returns nothing
// new. The processor time is that of both sides.
func BenchmarkLogPoll(b *testing.B) {
	url, traffic := startServer(b, logsvc.New(logsvc.Config{}))
	log := httplog.New(url, "agent-0001")
	defer log.Close()
	benchCPU(b, traffic, func() {
		_, err := log.Read(b.Context(), platform.StreamControl, 0, 64, 0)
		require.NoError(b, err)
	})
}

// BenchmarkLogRecord reads one record. The sizes are about those of a step's claim, a
// batch with one idempotency claim, and a manifest.
func BenchmarkLogRecord(b *testing.B) {
	for _, size := range []int{150, 1 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			url, traffic := startServer(b, logsvc.New(logsvc.Config{}))
			log := httplog.New(url, "agent-0001")
			defer log.Close()
			_, err := log.Append(b.Context(), platform.StreamControl, make([]byte, size))
			require.NoError(b, err)
			benchCPU(b, traffic, func() {
				_, err := log.Read(b.Context(), platform.StreamControl, 0, 64, 0)
				require.NoError(b, err)
			})
		})
	}
}

// BenchmarkVMList reads the platform's VM list.
func BenchmarkVMList(b *testing.B) {
	for _, n := range []int{100, 500, Processes} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			standin := vms.New(vms.Config{})
			url, traffic := startServer(b, standin)
			for _, vm := range VMs(n*Entries/Processes, n-n*Entries/Processes) {
				standin.Put(vm)
			}
			list := httpvms.New(url, "agent-0001")
			defer list.Close()
			benchCPU(b, traffic, func() {
				_, err := list.List(b.Context())
				require.NoError(b, err)
			})
		})
	}
}

// benchCPU runs f b.N times and reports the bytes and the processor time per call.
func benchCPU(b *testing.B, traffic *Traffic, f func()) {
	f()
	cpu0, err := CPUTime()
	require.NoError(b, err)
	bytes0 := traffic.Total()
	b.ResetTimer()
	for range b.N {
		f()
	}
	b.StopTimer()
	cpu1, err := CPUTime()
	require.NoError(b, err)
	b.ReportMetric(float64(traffic.Total()-bytes0)/float64(b.N), "wire-B/op")
	b.ReportMetric(float64((cpu1-cpu0).Microseconds())/float64(b.N), "cpu-us/op")
}

// BenchmarkFoldOnce applies claims of idempotency keys and reports the memory per
// claim while its key is within the window.
func BenchmarkFoldOnce(b *testing.B) {
	for _, perBatch := range []int{1, 8} {
		b.Run(fmt.Sprintf("batch=%d", perBatch), func(b *testing.B) {
			records := claimRecords(b.N, perBatch)
			encoded := 0
			for _, r := range records {
				encoded += len(r.Data)
			}
			state := fold.New(fold.Limits{Window: 15 * time.Minute, Skew: 500 * time.Millisecond})
			before := LiveBytes()
			b.ResetTimer()
			for _, r := range records {
				state.Apply(r)
			}
			b.StopTimer()
			after := LiveBytes()
			runtime.KeepAlive(records)
			b.ReportMetric(float64(int64(after)-int64(before))/float64(state.Len()), "B/claim")
			b.ReportMetric(float64(encoded)/float64(state.Len()), "encoded-B/claim")
		})
	}
}

func claimRecords(claims, perBatch int) []platform.Record {
	var records []platform.Record
	now, incarnation := time.Now(), uuid.NewString()
	for n := 0; n < claims; n += perBatch {
		batch := fold.Batch{Owner: fold.Owner{Name: agentName(n / perBatch % 100), Incarnation: incarnation}, Seq: uint64(n)}
		for range min(perBatch, claims-n) {
			batch.Claims = append(batch.Claims, newClaim())
		}
		records = append(records, platform.Record{Offset: uint64(len(records)), Time: now, Data: fold.Encode(batch)})
	}
	return records
}

func newClaim() fold.Claim {
	id := uuid.Must(uuid.NewV7())
	return fold.Claim{Key: fold.Key{Caller: fmt.Sprintf("caller-%d", id[15]%200), ID: id}, Hash: fold.Hash(uuid.New())}
}

// BenchmarkOnce runs agents of one service that together claim 190 keys a second. One
// iteration is one second. The processor time is per agent and includes its share
// of the log stand-in's.
func BenchmarkOnce(b *testing.B) {
	for _, agents := range []int{4, 20, 100} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) { benchOnce(b, agents, RequestsPerSecond*keyedRequestShare) })
	}
}

func benchOnce(b *testing.B, agents int, claimsPerSecond float64) {
	standin := &requestCounter{Handler: logsvc.New(logsvc.Config{Rate: 300, Burst: 60})}
	url, traffic := startServer(b, standin)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	// The manifest's defaults: 300 appends/s, half of them for claims.
	limits := once.Limits{Window: 15 * time.Minute, Skew: 500 * time.Millisecond, MinInterval: 5 * time.Millisecond, AppendsPerS: 150}
	var tables []*once.Table
	for i := range agents {
		log := httplog.New(url, agentName(i))
		t := once.New(once.Config{
			Owner: fold.Owner{Name: agentName(i), Incarnation: uuid.NewString()}, Service: "orders", Log: log,
			Limits: func() once.Limits { return limits },
		})
		tables = append(tables, t)
		wg.Go(func() { t.Run(ctx); log.Close() })
	}
	var mu sync.Mutex
	var waited time.Duration
	claimed, refused := 0, 0
	claim := func(t *once.Table) {
		started := time.Now()
		c := newClaim()
		run, _, err := t.Claim(ctx, once.Request{Key: c.Key, Hash: c.Hash})
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			refused++
			return
		}
		claimed++
		waited += time.Since(started)
		run.Start()
		run.FinishUnknown()
	}
	feed := func(seconds int) {
		tick := time.NewTicker(time.Duration(float64(time.Second) / claimsPerSecond))
		defer tick.Stop()
		for i := range int(claimsPerSecond * float64(seconds)) {
			<-tick.C
			wg.Go(func() { claim(tables[i%agents]) })
		}
	}
	feed(2) // until the agents know how many of them share the append rate
	mu.Lock()
	claimed, refused, waited = 0, 0, 0
	mu.Unlock()
	reads0, appends0 := standin.reads.Load(), standin.appends.Load()
	cpu0, err := CPUTime()
	require.NoError(b, err)
	bytes0, started := traffic.Total(), time.Now()
	b.ResetTimer()
	feed(b.N)
	b.StopTimer()
	seconds := time.Since(started).Seconds()
	cpu1, err := CPUTime()
	require.NoError(b, err)
	reads1, appends1 := standin.reads.Load(), standin.appends.Load()
	mu.Lock()
	defer mu.Unlock()
	b.ReportMetric(float64(appends1-appends0)/seconds, "appends/s")
	b.ReportMetric(float64(reads1-reads0)/seconds, "log-reads/s")
	b.ReportMetric(float64(traffic.Total()-bytes0)/seconds/float64(agents)/1e3, "KB/s/agent")
	b.ReportMetric(100*(cpu1-cpu0).Seconds()/seconds/float64(agents), "%core/agent")
	b.ReportMetric(float64(waited.Milliseconds())/float64(max(1, claimed)), "ms/claim")
	b.ReportMetric(float64(refused)/seconds, "refused/s")
	b.ReportMetric(0, "ns/op")
}
