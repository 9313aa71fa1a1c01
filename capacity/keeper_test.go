package capacity

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"dandelionsill.org/adapters/httplog"
	"dandelionsill.org/base/run"
	"dandelionsill.org/confsync"
	"dandelionsill.org/fold/control"
	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
	"dandelionsill.org/standin/logsvc"
	"dandelionsill.org/wire/pb"
)

var (
	signer   = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	testKeys = manifest.Keys{"pipeline": signer.Public().(ed25519.PublicKey)}
)

// fleetManifest returns the manifest of a full-size fleet: 12 models, 24 services,
// 24 trainers and 200 callers.
func fleetManifest() []byte { return ManifestText(12, 24, Trainers, 200) }

// revisionText returns fleetManifest with content that differs in each revision.
func revisionText(number uint64) []byte {
	return append(fleetManifest(), fmt.Sprintf("\n# revision %d\n", number)...)
}

func commitRecord(number uint64) []byte {
	text := revisionText(number)
	return control.EncodeCommit(fmt.Sprintf("commit/%d", number), manifest.Sign(signer, "pipeline", number, number-1, text))
}

// BenchmarkFoldControl applies commits of a full-size manifest. This includes the
// signature check, parsing and validation.
func BenchmarkFoldControl(b *testing.B) {
	records := make([]platform.Record, b.N)
	for i := range records {
		records[i] = platform.Record{Offset: uint64(i), Time: time.Now(), Data: commitRecord(uint64(i + 1))}
	}
	state := control.New(testKeys)
	before := LiveBytes()
	b.ResetTimer()
	for _, r := range records {
		state.Apply(r)
	}
	b.StopTimer()
	after := LiveBytes()
	runtime.KeepAlive(records)
	require.EqualValues(b, b.N, state.Revision().Number)
	b.ReportMetric(float64(len(fleetManifest())), "manifest-B")
	b.ReportMetric(float64(len(records[0].Data)), "record-B")
	b.ReportMetric(float64(int64(after)-int64(before))/1e3, "state-KB")
}

// BenchmarkKeeper runs the complete control plane of n processes against one log:
// reading the log's tail, anti-entropy and rumours. One iteration is one second with
// the given number of changes. The processor time is per process and includes its
// share of the log stand-in's. The bytes are those that one process exchanges, in
// both directions, with the log and with its peers, as client and as server.
func BenchmarkKeeper(b *testing.B) {
	for _, n := range []int{10, 100, Entries} {
		for _, changes := range []int{0, 1} {
			b.Run(fmt.Sprintf("processes=%d/changes=%d", n, changes), func(b *testing.B) { benchKeeper(b, n, changes) })
		}
	}
}

// settleTime is how long connections and pools take to reach a steady state.
const settleTime = 5 * time.Second

// cluster runs n Keepers and counts the traffic between them and with the log.
type cluster struct {
	keepers                 []*confsync.Keeper
	peerTraffic, logTraffic *Traffic
	appendRecord            func(data []byte) error
}

func startCluster(b *testing.B, n int) *cluster {
	url, traffic := startServer(b, logsvc.New(logsvc.Config{}))
	c := &cluster{peerTraffic: &Traffic{}, logTraffic: traffic}
	writer := httplog.New(url, "pipeline")
	c.appendRecord = func(data []byte) error {
		_, err := writer.Append(context.Background(), platform.StreamControl, data)
		return err
	}
	require.NoError(b, c.appendRecord(commitRecord(1)))
	listeners, addrs := make([]net.Listener, n), make([]string, n)
	for i := range n {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		listeners[i], addrs[i] = lis, lis.Addr().String()
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var servers []*grpc.Server
	for i := range n {
		log := httplog.New(url, agentName(i))
		k, err := confsync.New(confsync.Config{
			Name: agentName(i), Addr: addrs[i], Log: log, Keys: testKeys, Peers: func() []string { return addrs },
		})
		require.NoError(b, err)
		c.keepers = append(c.keepers, k)
		srv := run.NewGRPC(addrs[i]).Server
		pb.RegisterPeerServer(srv, k)
		wg.Go(func() { _ = srv.Serve(c.peerTraffic.Listen(listeners[i])) })
		wg.Go(func() { k.Run(ctx); log.Close() })
		servers = append(servers, srv)
	}
	b.Cleanup(wg.Wait)
	b.Cleanup(func() {
		cancel()
		for _, srv := range servers {
			srv.Stop()
		}
	})
	return c
}

// waitInForce waits until all processes have a revision and returns how long that
// took.
func (c *cluster) waitInForce(b *testing.B, number uint64) time.Duration {
	started := time.Now()
	for _, k := range c.keepers {
		for {
			changed := k.Changed()
			if k.View().Number >= number {
				break
			}
			select {
			case <-changed:
			case <-time.After(time.Minute):
				b.Fatal("a revision is not in force after a minute")
			}
		}
	}
	return time.Since(started)
}

func benchKeeper(b *testing.B, n, changes int) {
	before := LiveBytes()
	c := startCluster(b, n)
	c.waitInForce(b, 1)
	<-time.After(settleTime)
	peers0, log0 := c.peerTraffic.Total(), c.logTraffic.Total()
	cpu0, err := CPUTime()
	require.NoError(b, err)
	started, number := time.Now(), uint64(1)
	var slowest time.Duration
	b.ResetTimer()
	for range b.N {
		second := time.After(time.Second)
		for range changes {
			number++
			require.NoError(b, c.appendRecord(commitRecord(number)))
			slowest = max(slowest, c.waitInForce(b, number))
		}
		<-second
	}
	b.StopTimer()
	seconds := time.Since(started).Seconds()
	cpu1, err := CPUTime()
	require.NoError(b, err)
	processSeconds := seconds * float64(n)
	b.ReportMetric(100*(cpu1-cpu0).Seconds()/processSeconds, "%core")
	b.ReportMetric(2*float64(c.peerTraffic.Total()-peers0)/processSeconds, "peers-B/s")
	b.ReportMetric(float64(c.logTraffic.Total()-log0)/processSeconds, "log-B/s")
	b.ReportMetric(float64(LiveBytes()-before)/float64(n)/1e3, "KB/process")
	b.ReportMetric(slowest.Seconds(), "in-force-s")
	b.ReportMetric(0, "ns/op")
}
