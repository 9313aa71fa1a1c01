package fleet

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/grpc"

	"dandelionsill.org/confsync"
	"dandelionsill.org/decide/eject"
	"dandelionsill.org/decide/subset"
	"dandelionsill.org/decide/topology"
	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

const testTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeAgent sends the reports that its test puts in a channel.
type fakeAgent struct {
	pb.UnimplementedAgentServer
	reports chan *pb.AgentState
	end     chan struct{} // one receive ends one Watch
	// initial, if set, is the first message of each Watch.
	initial  *pb.AgentState
	requests chan *pb.WatchRequest
}

func (f *fakeAgent) Watch(req *pb.WatchRequest, stream pb.Agent_WatchServer) error {
	select {
	case f.requests <- req:
	default:
	}
	if f.initial != nil {
		if err := stream.Send(f.initial); err != nil {
			return err
		}
	}
	for {
		select {
		case report := <-f.reports:
			if err := stream.Send(report); err != nil {
				return err
			}
		case <-f.end:
			return nil
		case <-stream.Context().Done():
			return nil
		}
	}
}

// vmList is a VM list that the test sets.
type vmList struct {
	mu  sync.Mutex
	vms []platform.VM
	ch  chan struct{}
}

func (l *vmList) VMs() []platform.VM { l.mu.Lock(); defer l.mu.Unlock(); return l.vms }
func (l *vmList) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ch == nil {
		l.ch = make(chan struct{})
	}
	return l.ch
}

func (l *vmList) set(vms ...platform.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = vms
	if l.ch != nil {
		close(l.ch)
		l.ch = nil
	}
}

func startAgent(t testing.TB, name string) (*fakeAgent, platform.VM) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fakeAgent{reports: make(chan *pb.AgentState, 100), end: make(chan struct{}), requests: make(chan *pb.WatchRequest, 100)}
	srv := grpc.NewServer()
	pb.RegisterAgentServer(srv, f)
	served := make(chan struct{})
	go func() { defer close(served); _ = srv.Serve(lis) }()
	t.Cleanup(func() { srv.Stop(); <-served })
	return f, platform.VM{Name: name, Role: "agent", Addr: lis.Addr().String(), FailureDomain: "a", Region: "r", State: platform.VMLive}
}

func report(name string) *pb.AgentState {
	return &pb.AgentState{Name: name, Kind: "service", Serves: "orders", Ready: true, Slots: 4, Incarnation: 1}
}

func startFleet(t testing.TB, list *vmList, change func(*Config)) *Agents {
	view := &confsync.View{Manifest: &manifest.Manifest{}}
	cfg := Config{Name: "e1", FailureDomain: "a", Region: "r", VMs: list, Viewer: confsync.Static{V: view}, Subset: subset.Default, Eject: eject.Default}
	if change != nil {
		change(&cfg)
	}
	a := New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); a.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return a
}

// startReady starts agent vm-1 and Agents, and waits until the agent is ready.
func startReady(t testing.TB, change func(*Config)) (*fakeAgent, *vmList, *Agents) {
	f, vm := startAgent(t, "vm-1")
	list, a := startWithVM(t, vm, change)
	f.reports <- report("vm-1")
	waitFor(t, a, "ready", ready("vm-1"))
	return f, list, a
}

// startWithVM starts Agents with a VM list that holds one VM.
func startWithVM(t testing.TB, vm platform.VM, change func(*Config)) (*vmList, *Agents) {
	list := &vmList{}
	list.set(vm)
	return list, startFleet(t, list, change)
}

// withLongReportTimeout sets a report timeout that no test reaches.
func withLongReportTimeout(c *Config) { c.ReportTimeout = time.Hour }

// waitFor waits until ok is true for the current snapshot.
func waitFor(t testing.TB, a *Agents, what string, ok func(*Snapshot) bool) {
	limit := time.After(testTimeout)
	for {
		changed := a.Changed()
		if ok(a.Snapshot()) {
			return
		}
		select {
		case <-changed:
		case <-limit:
			require.Fail(t, "timed out waiting for: "+what)
		}
	}
}

// ready returns a condition that is true once the server is ready.
func ready(name string) func(*Snapshot) bool {
	return func(s *Snapshot) bool { return s.ByName[name] != nil && s.ByName[name].Ready() }
}

// notReady returns a condition that is true once the server is missing or not
// ready.
func notReady(name string) func(*Snapshot) bool {
	return func(s *Snapshot) bool { return s.ByName[name] == nil || !s.ByName[name].Ready() }
}

// An agent's process crashes while the VM list, which lags behind, still shows
// its VM as live. No request may be sent there, so the end of the Watch alone
// makes the server not ready. After a restart the first report makes it ready.
func TestEndedWatchMarksServerNotReady(t *testing.T) {
	f, _, a := startReady(t, withLongReportTimeout)
	lost := a.Lost("vm-1")
	f.end <- struct{}{}
	<-lost
	waitFor(t, a, "not ready", notReady("vm-1"))
	f.reports <- report("vm-1")
	waitFor(t, a, "ready again", ready("vm-1"))
}

// An agent is frozen (SIGSTOP): the kernel keeps its connection alive and there
// is no error. Without the report timeout, requests would be sent there until
// the connection's keepalive fails.
func TestReportTimeoutMarksServerNotReady(t *testing.T) {
	f, _, a := startReady(t, func(c *Config) { c.ReportTimeout = 100 * time.Millisecond })
	waitFor(t, a, "not ready", notReady("vm-1"))
	f.reports <- report("vm-1")
	waitFor(t, a, "ready again", ready("vm-1"))
}

// A VM leaves. Its agent, the manifest or the VM list, which lags behind, reports
// it. Each of them alone must stop new work there.
func TestLeavingFromAnySource(t *testing.T) {
	cases := map[string]func(f *fakeAgent, list *vmList, vm platform.VM){
		"agent": func(f *fakeAgent, _ *vmList, _ platform.VM) {
			w := report("vm-1")
			w.Leaving = true
			f.reports <- w
		},
		"list": func(_ *fakeAgent, list *vmList, vm platform.VM) {
			vm.State = platform.VMLeaving
			list.set(vm)
		},
		"gone": func(_ *fakeAgent, list *vmList, _ platform.VM) { list.set() },
	}
	for name, leave := range cases {
		t.Run(name, func(t *testing.T) {
			f, vm := startAgent(t, "vm-1")
			list, a := startWithVM(t, vm, nil)
			f.reports <- report("vm-1")
			waitFor(t, a, "ready", ready("vm-1"))
			leave(f, list, vm)
			waitFor(t, a, "not ready", notReady("vm-1"))
		})
	}
	t.Run("manifest", func(t *testing.T) {
		f, vm := startAgent(t, "vm-1")
		_, a := startWithVM(t, vm, func(c *Config) {
			c.Viewer = confsync.Static{V: &confsync.View{Manifest: &manifest.Manifest{Leaving: map[string]bool{"vm-1": true}}}}
		})
		f.reports <- report("vm-1")
		waitFor(t, a, "known", func(s *Snapshot) bool { return s.ByName["vm-1"] != nil })
		require.False(t, a.Snapshot().ByName["vm-1"].Ready())
	})
}

// A VM was replaced and another one got its address, while the VM list still
// shows the old name. A request for the old VM must not reach the new one.
func TestAddressOfAnotherVM(t *testing.T) {
	f, _, a := startReady(t, withLongReportTimeout)
	f.reports <- report("vm-2")
	waitFor(t, a, "not ready", notReady("vm-1"))
}

// A VM is removed from the list while it still sends an answer. The connection
// must stay open until that work has ended, or the answer is lost.
func TestRetiredConnectionClosesAfterItsCalls(t *testing.T) {
	_, list, a := startReady(t, nil)
	end := a.Begin("vm-1")
	g := a.agents["vm-1"]
	list.set()
	waitFor(t, a, "gone", func(s *Snapshot) bool { return s.ByName["vm-1"] == nil })
	afterGrace := time.Now().Add(2 * retireGracePeriod)
	a.maintain(afterGrace)
	require.NotEqual(t, "SHUTDOWN", g.conn.GetState().String())
	end(OK)
	// Work that started from an older snapshot is counted only by the connection.
	ctx, cancel := context.WithCancel(context.Background())
	_, err := g.client.Watch(ctx, &pb.WatchRequest{})
	require.NoError(t, err)
	a.maintain(afterGrace)
	require.NotEqual(t, "SHUTDOWN", g.conn.GetState().String())
	cancel()
	require.Eventually(t, func() bool { return g.conn.openCalls.Load() == 0 }, testTimeout, time.Millisecond)
	a.maintain(afterGrace.Add(-2 * retireGracePeriod))
	require.NotEqual(t, "SHUTDOWN", g.conn.GetState().String())
	require.Eventually(t, func() bool { a.maintain(afterGrace); return g.conn.GetState().String() == "SHUTDOWN" }, testTimeout, time.Millisecond)
}

// One server of four fails each request and is ejected. When all four fail, the
// largest share that may be ejected keeps most of the pool in use.
func TestFailingServersAreEjectedUpToMaxShare(t *testing.T) {
	list, vms := &vmList{}, []platform.VM{}
	for i := range 4 {
		f, vm := startAgent(t, fmt.Sprintf("vm-%d", i))
		f.reports <- report(vm.Name)
		vms = append(vms, vm)
	}
	list.set(vms...)
	a := startFleet(t, list, nil)
	waitFor(t, a, "all", func(s *Snapshot) bool { return len(s.ByPool[ServicePool("orders")]) == 4 })
	failRequests := func(name string) {
		for range 5 {
			a.Begin(name)(Failed)
		}
	}
	countEjected := func(s *Snapshot) (n int) {
		for _, server := range s.ByName {
			if server.Ejected {
				n++
			}
		}
		return n
	}
	failRequests("vm-2")
	waitFor(t, a, "ejected", func(s *Snapshot) bool { return s.ByName["vm-2"].Ejected })
	for _, vm := range vms {
		failRequests(vm.Name)
	}
	a.maintain(time.Now())
	require.Equal(t, 1, countEjected(a.Snapshot()))
}

// Operators must be able to see why a server got no work for a while. One line
// is logged when it is ejected and one when it is readmitted, as its ejection
// ended or its agent restarted.
func TestEjectionIsLogged(t *testing.T) {
	for name, readmit := range map[string]func(*Agents, *fakeAgent){
		"ejection ended": func(a *Agents, _ *fakeAgent) { a.maintain(time.Now().Add(time.Hour)) },
		"restarted": func(_ *Agents, f *fakeAgent) {
			restarted := report("vm-2")
			restarted.Incarnation++
			f.reports <- restarted
		},
	} {
		t.Run(name, func(t *testing.T) {
			list, vms, agents := &vmList{}, []platform.VM{}, map[string]*fakeAgent{}
			for i := range 4 {
				f, vm := startAgent(t, fmt.Sprintf("vm-%d", i))
				f.reports <- report(vm.Name)
				vms, agents[vm.Name] = append(vms, vm), f
			}
			list.set(vms...)
			core, lines := observer.New(zap.InfoLevel)
			a := startFleet(t, list, func(c *Config) { c.Logger = zap.New(core) })
			waitFor(t, a, "all", func(s *Snapshot) bool { return len(s.ByPool[ServicePool("orders")]) == 4 })
			for range 5 {
				a.Begin("vm-2")(Failed)
			}
			waitFor(t, a, "ejected", func(s *Snapshot) bool { return s.ByName["vm-2"].Ejected })
			readmit(a, agents["vm-2"])
			waitFor(t, a, "back", func(s *Snapshot) bool { return !s.ByName["vm-2"].Ejected })
			var messages []string
			for _, line := range lines.FilterField(zap.String("vm", "vm-2")).All() {
				messages = append(messages, line.Message)
			}
			require.Equal(t, []string{"fleet: An outlier is ejected from its pool.", "fleet: An ejected server is back in its pool."}, messages)
		})
	}
}

// One server of four answers twenty times slower than the others. Each request
// there would be a straggler, so its time alone gets it ejected. An engine's
// answers differ in length, so its stream rate is evaluated instead.
func TestSlowServerIsEjected(t *testing.T) {
	for kind, addSample := range map[string]func(l *workTracker, s *Server, slow bool){
		"service": func(l *workTracker, s *Server, slow bool) {
			duration := 50 * time.Millisecond
			if slow {
				duration = time.Second
			}
			l.recordOutcome(s, OK, duration)
		},
		kindEngine: func(l *workTracker, s *Server, slow bool) {
			w := report(s.Name)
			w.Kind, w.Running, w.StreamTokensPerS = kindEngine, 1, 40
			if slow {
				w.StreamTokensPerS = 2
			}
			l.recordOutcome(s, OK, time.Minute)
			l.recordStreamRate(w)
			delete(l.sampledAt, s.Name)
		},
	} {
		t.Run(kind, func(t *testing.T) {
			l, members := newWorkTracker(eject.Default), []string{"vm-0", "vm-1", "vm-2", "vm-3"}
			for range 5 {
				for _, name := range members {
					w := report(name)
					w.Kind = kind
					addSample(l, &Server{Name: name, Kind: kind, State: w}, name == "vm-2")
				}
			}
			ejected, readmitted := l.evaluate(time.Now(), map[string][]string{poolOf(&pb.AgentState{Kind: kind, Serves: "orders"}): members})
			require.Equal(t, []string{"vm-2"}, ejected)
			require.Empty(t, readmitted)
			require.Equal(t, map[string]bool{"vm-2": true}, l.ejected)
		})
	}
}

// The last report of a server shows it as idle, and then this entry sends it a
// burst of requests. The candidate's load must include the burst.
func TestCandidatesIncludeOwnLoad(t *testing.T) {
	_, _, a := startReady(t, nil)
	for range 3 {
		defer a.Begin("vm-1")(Abandoned)
	}
	pool := a.Snapshot().ByPool[ServicePool("orders")]
	candidates := Candidates(a, pool, "r", nil)
	require.Equal(t, 3, candidates[0].Load())
	require.Equal(t, topology.SameDomain, candidates[0].Distance)
}

// BenchmarkWatchedAgent reports the entry's memory for one watched agent. The
// fake agents run in the same process and are included, so the result is an
// upper bound.
func BenchmarkWatchedAgent(b *testing.B) {
	const agents = 120
	list, vms := &vmList{}, []platform.VM{}
	fakes := []*fakeAgent{}
	for i := range agents {
		f, vm := startAgent(b, fmt.Sprintf("vm-%d", i))
		fakes = append(fakes, f)
		vms = append(vms, vm)
	}
	for b.Loop() {
		for i, f := range fakes {
			f.reports <- report(vms[i].Name)
		}
		before := memoryInUse()
		list.set(vms...)
		a := New(Config{Name: "e1", VMs: list, Viewer: confsync.Static{V: &confsync.View{}}, Subset: subset.Config{FullBelow: agents}, Eject: eject.Default})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); a.Run(ctx) }()
		waitFor(b, a, "all", func(s *Snapshot) bool { return len(s.ByName) == agents })
		b.ReportMetric(float64(memoryInUse()-before)/agents/1024, "KB/agent")
		cancel()
		<-done
	}
}

func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// An entry has just started and the VM list contains an agent that has not
// reported yet. If the entry were ready now, it would refuse its first requests
// with no_server.
func TestWaitForReports(t *testing.T) {
	f, vm := startAgent(t, "vm-1")
	list := &vmList{}
	a := startFleet(t, list, nil)
	done := make(chan struct{})
	go func() { defer close(done); a.WaitForReports(context.Background(), testTimeout) }()
	list.set(vm)
	require.Eventually(t, func() bool { return a.CountWatched() == 1 }, testTimeout, time.Millisecond)
	select {
	case <-done:
		require.Fail(t, "settled before the first report")
	default:
	}
	f.reports <- report("vm-1")
	<-done
	require.True(t, ready("vm-1")(a.Snapshot()))
}
