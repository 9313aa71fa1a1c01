package capacity

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"dandelionsill.org/adapters/httpstore"
	"dandelionsill.org/agent/weights"
	"dandelionsill.org/base/run"
	"dandelionsill.org/confsync"
	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
	standin "dandelionsill.org/standin/weights"
	"dandelionsill.org/wire/pb"
)

const (
	spreadServers = 62 // in one failure domain at full size
	spreadBytes   = 4 << 20
	spreadLimit   = time.Minute // servers without the version after this time count as late
)

// testViewer is a Viewer for which Announce sets the newest weight version.
type testViewer struct {
	mu      sync.Mutex
	view    *confsync.View
	changed chan struct{}
}

func (v *testViewer) View() *confsync.View {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.view
}

func (v *testViewer) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *testViewer) Announce(model string, version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.view
	next.Versions = map[string]uint64{model: version}
	v.view = &next
	close(v.changed)
	v.changed = make(chan struct{})
}

// weightsServer is an agent's server that implements only FetchWeights.
type weightsServer struct {
	pb.UnimplementedAgentServer
	keeper *weights.Keeper
}

func (s weightsServer) FetchWeights(req *pb.FetchWeightsRequest, out grpc.ServerStreamingServer[pb.WeightsPiece]) error {
	return s.keeper.FetchWeights(req, out)
}

// fetchCounter counts the requests that reach the store: fetches of weights and
// queries for the latest version.
type fetchCounter struct {
	http.Handler
	fetches, latestQueries atomic.Int64
}

func (f *fetchCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		if strings.HasSuffix(r.URL.Path, "/latest") {
			f.latestQueries.Add(1)
		} else {
			f.fetches.Add(1)
		}
	}
	f.Handler.ServeHTTP(w, r)
}

// BenchmarkSpread distributes a new version of 4 MB to one failure domain of the full
// fleet. The store's rate is such that the domain's seed takes the given time to
// fetch it, as 24 seeds do that share a store at full size. One iteration is one
// distribution.
func BenchmarkSpread(b *testing.B) {
	for _, seed := range []time.Duration{time.Second, 5 * time.Second} {
		b.Run(fmt.Sprintf("servers=%d/seed=%v", spreadServers, seed), func(b *testing.B) {
			for range b.N {
				benchSpread(b, seed)
			}
		})
	}
}

func benchSpread(b *testing.B, seed time.Duration) {
	perSecond := spreadBytes / seed.Seconds()
	store, err := standin.New(standin.Config{BytesPerSecond: perSecond})
	require.NoError(b, err)
	counter := &fetchCounter{Handler: store}
	url, traffic := startServer(b, counter)
	data := make([]byte, spreadBytes)
	sum := sha256.Sum256(data)
	info := platform.WeightInfo{Model: "model-0", Version: 2, Bytes: spreadBytes, Digest: hex.EncodeToString(sum[:])}
	require.NoError(b, httpstore.New(url, "trainer").Put(b.Context(), info, bytes.NewReader(data)))

	view := &testViewer{changed: make(chan struct{}), view: &confsync.View{
		Manifest: &manifest.Manifest{Fleet: manifest.Fleet{StoreBytesPS: perSecond}, Models: map[string]manifest.Model{"model-0": {}}},
		Versions: map[string]uint64{"model-0": 1},
	}}
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	defer loops.Wait()
	defer cancel()
	keepers := startKeepers(b, ctx, &loops, url, view)
	for _, k := range keepers {
		_, _, err := k.WaitFresh(ctx, 1)
		require.NoError(b, err)
	}
	before := traffic.Out.Load()
	started := time.Now()
	view.Announce("model-0", 2)
	limitedCtx, stop := context.WithTimeout(ctx, spreadLimit)
	defer stop()
	late := 0
	for _, k := range keepers {
		if _, _, err := k.WaitFresh(limitedCtx, 2); err != nil {
			late++
		}
	}
	b.ReportMetric(time.Since(started).Seconds(), "all-swapped-s")
	b.ReportMetric(float64(late), "late")
	b.ReportMetric(float64(counter.fetches.Load()), "store-fetches")
	b.ReportMetric(float64(counter.latestQueries.Load()), "store-asks")
	b.ReportMetric(float64(traffic.Out.Load()-before)/spreadBytes, "store-copies")
	b.ReportMetric(0, "ns/op")
}

func startKeepers(b *testing.B, ctx context.Context, loops *sync.WaitGroup, url string, view confsync.Viewer) []*weights.Keeper {
	peers := make([]weights.Peer, spreadServers)
	listeners := make([]net.Listener, spreadServers)
	for i := range peers {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		listeners[i] = lis
		peers[i] = weights.Peer{Name: agentName(i), Addr: lis.Addr().String(), FailureDomain: "domain-00"}
	}
	var keepers []*weights.Keeper
	for i, p := range peers {
		engine := &unpacedEngine{state: platform.EngineState{Boot: "boot", Model: "model-0", Version: 1, State: "serving"}}
		k := weights.New(weights.Config{
			Server: p.Name, Model: "model-0", FailureDomain: p.FailureDomain, Engine: engine,
			Store: httpstore.New(url, p.Name), Log: &memoryLog{}, View: view, SlotLength: 100 * time.Millisecond,
			Peers: func() []weights.Peer { return append(append([]weights.Peer{}, peers[:i]...), peers[i+1:]...) },
		})
		srv := run.NewGRPC(p.Addr).Server
		pb.RegisterAgentServer(srv, weightsServer{keeper: k})
		loops.Go(func() { _ = srv.Serve(listeners[i]) })
		loops.Go(func() { k.Run(ctx); srv.Stop() })
		keepers = append(keepers, k)
	}
	return keepers
}
