package confsync

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"dandelionsill.org/fold/control"
	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

// fleetModels and fleetManifest are the sizes of docs/CAPACITY.md.
const (
	fleetModels   = 24
	fleetManifest = 48 << 10
)

// newBenchKeeper returns a Keeper with a revision of the given size and versions
// of some models.
func newBenchKeeper(b *testing.B, manifestBytes, models int) *Keeper {
	k := newIdleKeeper(b)
	k.offerRevision("bench", sizedRevision(1, manifestBytes))
	for i := range models {
		k.Announce(fmt.Sprintf("drafting-model-%02d", i), 100)
	}
	require.Equal(b, uint64(1), k.View().Number)
	return k
}

// sizedRevision returns a revision whose manifest has about size bytes. As in a
// real one, most of them describe callers.
func sizedRevision(number uint64, size int) *pb.SignedRevision {
	var text strings.Builder
	fmt.Fprintf(&text, "[fleet]\nname = f\nlog_retention = 24h\n[service registry]\n[route registry.all]\nprefix = /\nrepeat = always\n")
	for i := 0; text.Len() < size; i++ {
		fmt.Fprintf(&text, "[caller app-%04d]\ntoken_sha256 = %064x\nallow = registry\nrate = 20\n", i, i+1)
	}
	return manifest.Sign(signer, "k", number, number-1, []byte(text.String()))
}

// BenchmarkExchange measures one anti-entropy exchange over loopback between two
// processes with the same state, with the time of both ends.
func BenchmarkExchange(b *testing.B) {
	for _, models := range []int{1, fleetModels, 4 * fleetModels} {
		for _, kept := range []bool{true, false} {
			b.Run(fmt.Sprintf("models=%d/kept=%t", models, kept), func(b *testing.B) {
				server, client := newBenchKeeper(b, fleetManifest, models), newBenchKeeper(b, fleetManifest, models)
				addr := serveKeeper(b, server)
				before, beforeWire := exchangeBytes.Value(), wireBytes.Load()
				for b.Loop() {
					require.True(b, client.exchange(context.Background(), addr))
					if !kept {
						client.peers.Close()
						client.peers = newExchangeConns()
					}
				}
				// Both keepers count, so each message is counted twice.
				b.ReportMetric(float64(exchangeBytes.Value()-before)/2/float64(b.N), "msg-B/op")
				b.ReportMetric(float64(wireBytes.Load()-beforeWire)/float64(b.N), "wire-B/op")
			})
		}
	}
}

// BenchmarkPush measures how a process takes over a manifest from a peer:
// verifying the signature, parsing and publishing.
func BenchmarkPush(b *testing.B) {
	for _, size := range []int{1 << 10, fleetManifest, 4 * fleetManifest} {
		b.Run(fmt.Sprintf("manifest=%dKB", size>>10), func(b *testing.B) {
			k := newIdleKeeper(b)
			number := uint64(0)
			for b.Loop() {
				b.StopTimer()
				number++
				push := sizedRevision(number, size)
				b.StartTimer()
				k.offerRevision("bench", push)
			}
			require.Equal(b, number, k.View().Number)
			b.ReportMetric(float64(proto.Size(sizedRevision(1, size))), "rev-B")
		})
	}
}

// BenchmarkApply measures applying commits from the log.
func BenchmarkApply(b *testing.B) {
	for _, size := range []int{1 << 10, fleetManifest, 4 * fleetManifest} {
		b.Run(fmt.Sprintf("manifest=%dKB", size>>10), func(b *testing.B) {
			k := newIdleKeeper(b)
			number := uint64(0)
			var bytes int
			for b.Loop() {
				b.StopTimer()
				number++
				data := control.EncodeCommit(fmt.Sprint(number), sizedRevision(number, size))
				bytes = len(data)
				b.StartTimer()
				k.apply([]platform.Record{{Offset: number - 1, Time: time.Now(), Data: data}})
				k.recordReachable(number, number)
			}
			require.Equal(b, number, k.View().Number)
			b.ReportMetric(float64(bytes), "record-B")
		})
	}
}

// BenchmarkChoose measures choosing the peers of a round.
func BenchmarkChoose(b *testing.B) {
	for _, peers := range []int{20, 360, 1860, 7440} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			k := newIdleKeeper(b)
			addrs := make([]string, peers)
			for i := range addrs {
				addrs[i] = fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)
			}
			k.cfg.Peers = func() []string { return addrs }
			for b.Loop() {
				require.Len(b, k.choosePeers(spreadFanout*exchangeAttempts), spreadFanout*exchangeAttempts)
			}
		})
	}
}
