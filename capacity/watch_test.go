package capacity

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"dandelionsill.org/agent/admission"
	"dandelionsill.org/agent/server"
	"dandelionsill.org/confsync"
	"dandelionsill.org/decide/eject"
	"dandelionsill.org/decide/subset"
	"dandelionsill.org/entry/fleet"
	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

// agentsEnv makes the test binary serve the agents of BenchmarkWatch in a process of
// their own, so that the entry's processor time and memory are measured without them.
const agentsEnv = "DANDELION_CAPACITY_AGENTS"

func TestMain(m *testing.M) {
	if spec := os.Getenv(agentsEnv); spec != "" {
		if err := serveAgents(spec, os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// agentState returns the state that an engine's agent reports, with the given number
// of warm prefixes.
func agentState(name string, warm int) *pb.AgentState {
	s := &pb.AgentState{
		Name: name, Addr: "10.12.34.56:7100", FailureDomain: "domain-07", Region: "region-3",
		Kind: "engine", Serves: "model-3", Incarnation: uint64(time.Now().UnixMilli()), Ready: true,
		Version: 1234, Slots: 32, Running: 29, Queued: 7, TokensPerS: 1066.7, StreamTokensPerS: 36.8,
		QueueWaitMs: 850, Revision: 4300 * 365, Seq: 1 << 24,
	}
	for i := range warm {
		s.WarmPrefixes = append(s.WarmPrefixes, 0x9e3779b97f4a7c15*uint64(i+1))
	}
	return s
}

// BenchmarkAgentState encodes one state and reports its size.
func BenchmarkAgentState(b *testing.B) {
	for _, warm := range []int{0, 64} {
		b.Run(fmt.Sprintf("warm=%d", warm), func(b *testing.B) {
			state := agentState("agent-0001", warm)
			for b.Loop() {
				_, _ = proto.Marshal(state)
			}
			b.ReportMetric(float64(proto.Size(state)), "B/state")
		})
	}
}

// serveAgents serves agents until its input ends. spec is "COUNT LOAD WARM": the
// number of agents and the times between two changes of the load and of the warm
// prefixes. It writes the agents' addresses and then, after each line of input, the
// bytes that their connections have carried and its processor time in ns.
func serveAgents(spec string, in io.Reader, out io.Writer) error {
	fields := strings.Fields(spec)
	count, err := strconv.Atoi(fields[0])
	if err != nil {
		return err
	}
	load, err := time.ParseDuration(fields[1])
	if err != nil {
		return err
	}
	warm, err := time.ParseDuration(fields[2])
	if err != nil {
		return err
	}
	var traffic Traffic
	for i := range count {
		addr, err := serveAgent(i, load, warm, &traffic)
		if err != nil {
			return err
		}
		fmt.Fprintln(out, addr)
	}
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		cpu, err := CPUTime()
		if err != nil {
			return err
		}
		fmt.Fprintln(out, traffic.Total(), int64(cpu))
	}
	return lines.Err()
}

// serveAgent runs the real agent's server with an engine stand-in and returns its
// address.
func serveAgent(i int, load, warm time.Duration, traffic *Traffic) (net.Addr, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	var set server.Settings
	set.Process.Name, set.Process.Listen = agentName(i), "10.12.34.56:7100"
	set.Process.FailureDomain, set.Process.Region = failureDomain(i), "region-3"
	set.Backend = server.Backend{
		Kind: server.KindEngine, Serves: "model-3", Addr: lis.Addr().String(), HealthInterval: time.Minute,
	}
	engine := &engineStandIn{warm: warm, started: time.Now()}
	agent := server.New(server.Config{
		Settings: set, Viewer: confsync.Static{V: &confsync.View{Number: 1 << 20, Manifest: &manifest.Manifest{}}},
		VMs: fixedVMs(nil), Queue: admission.New(admission.Config{Slots: 32}), Generator: engine,
	})
	srv := grpc.NewServer()
	pb.RegisterAgentServer(srv, agent)
	go func() { _ = srv.Serve(traffic.Listen(lis)) }()
	go agent.Run(context.Background())
	go func() {
		for range time.Tick(load) {
			agent.TriggerPublish()
		}
	}()
	return lis.Addr(), nil
}

// engineStandIn is an engine whose load differs each time it is read.
type engineStandIn struct {
	server.Generator // nil: methods that a watch does not call panic
	warm             time.Duration
	started          time.Time
	reads            int
}

func (e *engineStandIn) FillState(s *pb.AgentState) {
	e.reads++
	load := agentState(s.Name, 64)
	s.Version, s.Slots, s.Running, s.Queued = load.Version, load.Slots, int32(e.reads%32), int32(e.reads%7)
	s.TokensPerS, s.StreamTokensPerS = load.TokensPerS+float64(e.reads), load.StreamTokensPerS+float64(e.reads)
	s.QueueWaitMs = int64(e.reads % 1000)
	s.WarmPrefixes = load.WarmPrefixes
	s.WarmPrefixes[0] = uint64(1 + time.Since(e.started)/e.warm)
}

// agentsProcess is a process that runs serveAgents.
type agentsProcess struct {
	in    io.WriteCloser
	out   *bufio.Scanner
	addrs []string
}

func startAgents(b *testing.B, count int, load, warm time.Duration) *agentsProcess {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d %v %v", agentsEnv, count, load, warm))
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	require.NoError(b, err)
	out, err := cmd.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, cmd.Start())
	b.Cleanup(func() { _ = in.Close(); _ = cmd.Wait() })
	p := &agentsProcess{in: in, out: bufio.NewScanner(out)}
	for range count {
		require.True(b, p.out.Scan())
		p.addrs = append(p.addrs, p.out.Text())
	}
	return p
}

// usage returns the bytes carried and the processor time used so far.
func (p *agentsProcess) usage(b *testing.B) (bytes int64, cpu time.Duration) {
	_, err := fmt.Fprintln(p.in)
	require.NoError(b, err)
	require.True(b, p.out.Scan())
	text, ns, _ := strings.Cut(p.out.Text(), " ")
	bytes, err = strconv.ParseInt(text, 10, 64)
	require.NoError(b, err)
	n, err := strconv.ParseInt(ns, 10, 64)
	require.NoError(b, err)
	return bytes, time.Duration(n)
}

// fixedVMs is a VM list that never changes.
type fixedVMs []platform.VM

func (v fixedVMs) VMs() []platform.VM       { return v }
func (v fixedVMs) Changed() <-chan struct{} { return nil }

// BenchmarkWatch runs an entry's fleet that watches agents in another process. One
// iteration is one second. load and warm are the times between two changes of an
// agent's load and of its warm prefixes.
func BenchmarkWatch(b *testing.B) {
	const hour = time.Hour
	for _, agents := range []int{10, 46, 146, 342, 500} {
		for _, c := range []struct{ load, warm time.Duration }{{hour, hour}, {20 * time.Millisecond, 10 * time.Second}} {
			b.Run(fmt.Sprintf("agents=%d/load=%v/warm=%v", agents, c.load, c.warm), func(b *testing.B) {
				benchWatch(b, agents, c.load, c.warm)
			})
		}
	}
}

func benchWatch(b *testing.B, agents int, load, warm time.Duration) {
	process := startAgents(b, agents, load, warm)
	vms := VMs(0, agents)
	for i := range vms {
		vms[i].Addr = process.addrs[i]
	}
	before := LiveBytes()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	entryFleet := fleet.New(fleet.Config{
		Name: "entry-0001", FailureDomain: failureDomain(0), Region: "region-0", VMs: fixedVMs(vms),
		Viewer: confsync.Static{V: &confsync.View{Manifest: &manifest.Manifest{}}},
		Subset: subset.Config{FullBelow: agents}, Eject: eject.Default,
	})
	done := make(chan struct{})
	go func() { defer close(done); entryFleet.Run(ctx) }()
	defer func() { cancel(); <-done }()
	require.Eventually(b, func() bool { return len(entryFleet.Snapshot().ByName) == agents }, time.Minute, 10*time.Millisecond)
	bytes0, remote0 := process.usage(b)
	cpu0, err := CPUTime()
	require.NoError(b, err)
	started := time.Now()
	b.ResetTimer()
	for range b.N {
		<-time.After(time.Second)
	}
	b.StopTimer()
	seconds := time.Since(started).Seconds()
	cpu1, err := CPUTime()
	require.NoError(b, err)
	bytes1, remote1 := process.usage(b)
	b.ReportMetric(100*(cpu1-cpu0).Seconds()/seconds, "entry-%core")
	b.ReportMetric(100*(remote1-remote0).Seconds()/seconds/float64(agents), "agent-%core/watcher")
	b.ReportMetric(float64(bytes1-bytes0)/seconds/1e3, "KB/s")
	b.ReportMetric(float64(bytes1-bytes0)/seconds/float64(agents), "B/s/agent")
	b.ReportMetric(float64(LiveBytes()-before)/float64(agents)/1e3, "entry-KB/agent")
	b.ReportMetric(0, "ns/op")
}
