package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/adapters/httplog"
	"dandelionsill.org/base/run"
	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
	"dandelionsill.org/standin/engine"
	"dandelionsill.org/standin/logsvc"
	"dandelionsill.org/standin/vms"
	"dandelionsill.org/standin/weights"
	"dandelionsill.org/wire/pb"
)

const (
	// clockTicks is the unit of /proc/PID/stat (USER_HZ).
	clockTicks   = 100
	readyTimeout = 30 * time.Second
)

// BenchmarkProcess runs the real binary of a role in a simulated fleet of full size:
// the log with a full-size manifest, the VM list with 1,860 rows, and the agents that
// it watches or the entries that watch it. One iteration is one second. In the case
// "asking" an engine's agent asks all other agents what they serve during the
// measurement, as it does after each start.
func BenchmarkProcess(b *testing.B) {
	const hour = time.Hour
	b.Run("entry/watched=46/idle", func(b *testing.B) { benchEntryProcess(b, 46, hour) })
	b.Run("entry/watched=46/load", func(b *testing.B) { benchEntryProcess(b, 46, 20*time.Millisecond) })
	b.Run("agent/kind=service/watchers=11", func(b *testing.B) { benchAgentProcess(b, "service", 11, Servers) })
	b.Run("agent/kind=engine/watchers=11/settled", func(b *testing.B) { benchAgentProcess(b, "engine", 11, 1) })
	b.Run("agent/kind=engine/watchers=11/asking", func(b *testing.B) { benchAgentProcess(b, "engine", 11, Servers) })
	b.Run("agent/kind=engine/watchers=82/asking", func(b *testing.B) { benchAgentProcess(b, "engine", 82, Servers) })
}

// simulatedFleet is the simulated environment of one process.
type simulatedFleet struct {
	flags []string // settings for every binary
	list  *vms.VMs
	log   *Traffic
	vms   *Traffic
}

func startFleet(b *testing.B) *simulatedFleet {
	p := &simulatedFleet{list: vms.New(vms.Config{})}
	var logURL, vmsURL string
	logURL, p.log = startServer(b, logsvc.New(logsvc.Config{}))
	vmsURL, p.vms = startServer(b, p.list)
	store, err := weights.New(weights.Config{})
	require.NoError(b, err)
	storeURL, _ := startServer(b, store)
	writer := httplog.New(logURL, "pipeline")
	defer writer.Close()
	_, err = writer.Append(b.Context(), platform.StreamControl, commitRecord(1))
	require.NoError(b, err)
	p.flags = []string{
		"--process.region=region-0", "--process.failure_domain=" + failureDomain(0), "--process.log_level=error",
		"--platform.log=" + logURL, "--platform.vms=" + vmsURL, "--platform.weights=" + storeURL,
		"--keys.manifest_public=" + manifest.FormatPublicKey("pipeline", testKeys["pipeline"]),
	}
	return p
}

// peer stands in for every other process: it answers exchanges and reports an agent's
// state.
type peer struct {
	pb.UnimplementedPeerServer
	singleStateAgent
}

func (peer) Exchange(context.Context, *pb.ExchangeRequest) (*pb.ExchangeReply, error) {
	return &pb.ExchangeReply{Name: "agent-1499", Revision: 1, Hash: manifest.Hash(revisionText(1))}, nil
}

// startPeer starts a peer and returns the address that all other processes share.
func startPeer(b *testing.B) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	srv := run.NewGRPC(lis.Addr().String()).Server
	p := peer{singleStateAgent: singleStateAgent{state: agentState("agent-1499", 64)}}
	pb.RegisterPeerServer(srv, p)
	pb.RegisterAgentServer(srv, p)
	go func() { _ = srv.Serve(lis) }()
	b.Cleanup(srv.Stop)
	return lis.Addr().String()
}

// freeAddr returns a loopback address whose port was free a moment ago.
func freeAddr(b *testing.B) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	defer lis.Close()
	return lis.Addr().String()
}

func benchEntryProcess(b *testing.B, watched int, load time.Duration) {
	p := startFleet(b)
	agents := startAgents(b, watched, load, 10*time.Second)
	other := startPeer(b)
	for i, vm := range VMs(Entries, Servers) {
		vm.Addr = other
		if at := i - Entries; at >= 0 && at < watched {
			vm.Addr = agents.addrs[at]
		} else if at >= watched {
			vm.Role = "other" // listed, but in no subset
		}
		p.list.Put(vm)
	}
	flags := append(p.flags, "--process.name=entry-0000", "--subset.full_below="+strconv.Itoa(watched))
	proc := startBinary(b, "dandelion-entry", flags)
	sent0, _ := agents.usage(b)
	proc.measure(b)
	sent1, _ := agents.usage(b)
	b.ReportMetric(float64(sent1-sent0)/proc.window.Seconds()/1e3, "watch-KB/s")
}

func benchAgentProcess(b *testing.B, kind string, watchers, listedAgents int) {
	p := startFleet(b)
	other := startPeer(b)
	for i, vm := range VMs(Entries, Servers) {
		vm.Addr = other
		if i >= Entries+listedAgents {
			vm.Role = "other" // listed, but not asked by the agent
		}
		p.list.Put(vm)
	}
	cfg := engine.DefaultConfig()
	cfg.Model = "model-3"
	backend := httptest.NewServer(engine.New(cfg))
	b.Cleanup(backend.Close)
	serves := map[string]string{"engine": "model-3", "service": "service-1"}[kind]
	proc := startBinary(b, "dandelion-agent", append(p.flags,
		"--process.name=agent-0000", "--backend.kind="+kind, "--backend.serves="+serves,
		"--backend.addr="+strings.TrimPrefix(backend.URL, "http://")))
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	for i := range watchers {
		conn, err := run.NewClient(proc.grpc)
		require.NoError(b, err)
		defer conn.Close()
		stream, err := pb.NewAgentClient(conn).Watch(ctx, &pb.WatchRequest{Watcher: fmt.Sprint("entry-", i)})
		require.NoError(b, err)
		go func() {
			for {
				if _, err := stream.Recv(); err != nil {
					return
				}
			}
		}()
	}
	proc.measure(b)
}

// binary is a running process of the system.
type binary struct {
	cmd        *exec.Cmd
	grpc, http string
	window     time.Duration
}

// startBinary builds and starts a role's binary and waits until it is live.
func startBinary(b *testing.B, name string, flags []string) *binary {
	path := filepath.Join(b.TempDir(), name)
	out, err := exec.Command("go", "build", "-o", path, "../cmd/"+name).CombinedOutput()
	require.NoError(b, err, string(out))
	p := &binary{grpc: freeAddr(b), http: freeAddr(b)}
	p.cmd = exec.Command(path, append(flags, "--process.listen="+p.grpc, "--process.http="+p.http)...)
	p.cmd.Stderr = os.Stderr
	require.NoError(b, p.cmd.Start())
	b.Cleanup(func() { _ = p.cmd.Process.Kill(); _ = p.cmd.Wait() })
	require.Eventually(b, func() bool {
		resp, err := http.Get("http://" + p.http + "/livez")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, readyTimeout, 50*time.Millisecond)
	return p
}

// measure waits for settleTime and then reports the process's processor time and
// memory.
func (p *binary) measure(b *testing.B) {
	<-time.After(settleTime)
	cpu0, started := p.cpu(b), time.Now()
	b.ResetTimer()
	for range b.N {
		<-time.After(time.Second)
	}
	b.StopTimer()
	p.window = time.Since(started)
	b.ReportMetric(100*(p.cpu(b)-cpu0).Seconds()/p.window.Seconds(), "%core")
	b.ReportMetric(p.status(b, "VmRSS")/1e3, "rss-MB")
	b.ReportMetric(p.status(b, "RssAnon")/1e3, "anon-MB")
	b.ReportMetric(0, "ns/op")
}

func (p *binary) cpu(b *testing.B) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	require.NoError(b, err)
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	var ticks int64
	for _, f := range fields[11:13] { // utime and stime
		n, err := strconv.ParseInt(f, 10, 64)
		require.NoError(b, err)
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicks
}

// status returns a field of /proc/PID/status in kB.
func (p *binary) status(b *testing.B, field string) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(b, err)
	_, rest, ok := strings.Cut(string(data), field+":")
	require.True(b, ok, field)
	kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	require.NoError(b, err)
	return kb
}
