package server

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"dandelionsill.org/agent/admission"
	"dandelionsill.org/agent/calls"
	"dandelionsill.org/base/explain"
	"dandelionsill.org/base/run"
	"dandelionsill.org/base/settings"
	"dandelionsill.org/confsync"
	"dandelionsill.org/kinds"
	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

const testTimeout = 20 * time.Second

// fakeViewer is a Viewer and a VM list whose content the test sets.
type fakeViewer struct {
	mu      sync.Mutex
	view    *confsync.View
	vms     []platform.VM
	changed chan struct{}
}

func (s *fakeViewer) View() *confsync.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

func (s *fakeViewer) VMs() []platform.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vms
}

func (s *fakeViewer) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *fakeViewer) Announce(string, uint64) {}

func (s *fakeViewer) set(view *confsync.View, vms ...platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view, s.vms = view, vms
	close(s.changed)
	s.changed = make(chan struct{})
}

func revision(number uint64, leaving ...string) *confsync.View {
	m := &manifest.Manifest{
		Fleet:    manifest.Fleet{MaxBodyBytes: 1 << 20},
		Services: map[string]manifest.Service{"orders": {Name: "orders", Concurrency: 2, Queue: 5, Timeout: testTimeout}},
		Leaving:  map[string]bool{},
	}
	for _, name := range leaving {
		m.Leaving[name] = true
	}
	return &confsync.View{Number: number, Manifest: m}
}

// testAgent is an agent with its backend server, and a connection to the agent
// like an entry's.
type testAgent struct {
	server *Server
	viewer *fakeViewer
	client pb.AgentClient
}

func newTestAgent(t *testing.T, backend http.Handler) *testAgent {
	srv := httptest.NewServer(backend)
	t.Cleanup(srv.Close)
	return newTestAgentAt(t, strings.TrimPrefix(srv.URL, "http://"))
}

func newTestAgentAt(t *testing.T, addr string) *testAgent {
	r := &testAgent{viewer: &fakeViewer{changed: make(chan struct{}), view: revision(1)}}
	queue := admission.New(admission.Config{Slots: 1, MaxQueue: 1})
	ring := explain.New("agent-1", 16)
	handler := calls.New(calls.Config{Service: "orders", Backend: addr, Queue: queue, Viewer: r.viewer, Explain: ring})
	r.server = New(Config{
		Settings: Settings{
			Common:  settings.Common{Process: settings.Process{Name: "agent-1", Listen: "127.0.0.1:7301", FailureDomain: "a", Region: "r"}},
			Backend: Backend{Kind: KindService, Addr: addr, Serves: "orders", HealthInterval: 10 * time.Millisecond},
		},
		Viewer: r.viewer, VMs: r.viewer, Queue: queue, Calls: handler, Explain: ring,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.server.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		handler.Close()
	})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer()
	pb.RegisterAgentServer(server, r.server)
	go func() { _ = server.Serve(lis) }()
	t.Cleanup(server.Stop)
	conn, err := run.NewClient(lis.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	r.client = pb.NewAgentClient(conn)
	return r
}

// awaitState waits for a state through Watch, as an entry does.
func (r *testAgent) awaitState(t *testing.T, description string, match func(*pb.AgentState) bool) *pb.AgentState {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	stream, err := r.client.Watch(ctx, &pb.WatchRequest{Watcher: "entry-1"})
	require.NoError(t, err)
	var seq uint64
	for {
		state, err := stream.Recv()
		require.NoError(t, err, description)
		require.Greater(t, state.Seq, seq)
		seq = state.Seq
		if match(state) {
			return state
		}
	}
}

func (r *testAgent) awaitReady(t *testing.T) {
	r.awaitState(t, "ready", func(s *pb.AgentState) bool { return s.Ready && s.Slots == 2 })
}

// sendOrder sends an order, answers CallReady with CallGo, and returns the body,
// whether it was complete, and a refusal if there was one.
func sendOrder(client pb.AgentClient, open *pb.CallOpen) (body string, complete bool, refusal *pb.Refusal, _ error) {
	stream, err := client.Call(context.Background())
	if err != nil {
		return "", false, nil, err
	}
	if err := stream.Send(&pb.CallSend{Part: &pb.CallSend_Open{Open: open}}); err != nil {
		return "", false, nil, err
	}
	for {
		msg, err := stream.Recv()
		if err == io.EOF {
			return body, complete, refusal, nil
		}
		if err != nil {
			return body, complete, refusal, err
		}
		if msg.GetReady() != nil {
			_ = stream.Send(&pb.CallSend{Part: &pb.CallSend_Go{Go: &pb.CallGo{}}})
		}
		body += string(msg.GetBody())
		complete = complete || msg.GetEnd() != nil
		if msg.GetRefusal() != nil {
			refusal = msg.GetRefusal()
		}
	}
}

func newOrder() *pb.CallOpen {
	return &pb.CallOpen{
		RequestId: uuid.NewString(), Caller: "shop", Service: "orders", Method: http.MethodPost, Path: "/orders",
		DeadlineMs: testTimeout.Milliseconds(), Weight: 1, Revision: 1,
	}
}

// An entry that starts to watch gets the state at once, and later each change
// without asking, also those set by the manifest.
func TestWatch(t *testing.T) {
	r := newTestAgent(t, http.NotFoundHandler())
	first := r.awaitState(t, "first", func(*pb.AgentState) bool { return true })
	require.Equal(t, "agent-1", first.Name)
	require.Equal(t, "127.0.0.1:7301", first.Addr)
	require.NotZero(t, first.Incarnation)
	r.awaitReady(t)
	r.viewer.set(revision(2))
	r.awaitState(t, "revision 2", func(s *pb.AgentState) bool { return s.Revision == 2 })

	_, _, refusal, err := sendOrder(r.client, &pb.CallOpen{Service: "stock", RequestId: "r-1"})
	require.NoError(t, err)
	require.True(t, refusal.NotRun)
	explained, err := r.client.Explain(t.Context(), &pb.ExplainRequest{Id: "r-1"})
	require.NoError(t, err)
	require.Len(t, explained.Decisions, 1)
	require.Equal(t, "refused, not run: not_found", explained.Decisions[0].What)

	w := httptest.NewRecorder()
	r.server.ServeStatus(func() []string { return []string{"10.0.0.1:1"} })(w, httptest.NewRequest(http.MethodGet, "/v1/status", nil))
	var status run.Status
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &status))
	require.Equal(t, run.Status{Name: "agent-1", Role: "agent", Revision: 2, Incarnation: r.server.Incarnation(), Ready: true, Peers: []string{"10.0.0.1:1"}}, status)
}

// The backend server goes down and comes up again. The agent reports this
// itself, so that entries stop sending before their requests fail.
func TestBackendServerDownAndUp(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := newTestAgentAt(t, lis.Addr().String())
	r.awaitReady(t)
	require.NoError(t, lis.Close())
	r.awaitState(t, "down", func(s *pb.AgentState) bool { return !s.Ready })
	lis, err = net.Listen("tcp", lis.Addr().String())
	require.NoError(t, err)
	defer lis.Close()
	r.awaitReady(t)
}

// A server is taken out of service, in each of the three ways, while one order
// waits and others run. Each running one gets its complete answer; the waiting
// one and all new ones are refused by the agent itself with "not run", so that
// the entry sends them elsewhere. Drain returns only after the running ones.
func TestLeavingRefusesAndDrains(t *testing.T) {
	for name, leave := range map[string]func(*testAgent){
		"signal":   func(r *testAgent) { r.server.Stop() },
		"manifest": func(r *testAgent) { r.viewer.set(revision(2, "agent-1")) },
		"VM list":  func(r *testAgent) { r.viewer.set(revision(1), platform.VM{Name: "agent-1", State: platform.VMLeaving}) },
	} {
		t.Run(name, func(t *testing.T) {
			running, release := make(chan struct{}, 3), make(chan struct{})
			releaseOrders := sync.OnceFunc(func() { close(release) })
			r := newTestAgent(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				running <- struct{}{}
				<-release
				fmt.Fprint(w, "order 7")
			}))
			t.Cleanup(releaseOrders)
			r.awaitReady(t)
			type outcome struct {
				body             string
				complete, notRun bool
				err              error
			}
			results := make(chan outcome, 3)
			for range 3 {
				go func() {
					body, complete, refusal, err := sendOrder(r.client, newOrder())
					if refusal != nil {
						body = refusal.Kind
					}
					results <- outcome{body, complete, refusal.GetNotRun(), err}
				}()
			}
			<-running
			<-running
			r.awaitState(t, "one waits", func(s *pb.AgentState) bool { return s.Queued == 1 })

			leave(r)
			require.Equal(t, outcome{body: string(kinds.Leaving), notRun: true}, <-results)
			r.awaitState(t, "leaving", func(s *pb.AgentState) bool { return s.Leaving })
			_, _, refusal, err := sendOrder(r.client, newOrder())
			require.NoError(t, err)
			require.Equal(t, string(kinds.Leaving), refusal.Kind)
			require.True(t, refusal.NotRun)

			short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			require.Error(t, r.server.Drain(short), "an order is in flight")
			drained := make(chan error)
			go func() { drained <- r.server.Drain(t.Context()) }()
			releaseOrders()
			require.NoError(t, <-drained)
			for range 2 {
				require.Equal(t, outcome{body: "order 7", complete: true}, <-results)
			}
		})
	}
}

// Operators remove the VM from the manifest's leaving list: the server accepts
// work again, but never once its process is stopping.
func TestManifestRevokesLeaving(t *testing.T) {
	r := newTestAgent(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }))
	r.awaitReady(t)
	r.viewer.set(revision(2, "agent-1"))
	r.awaitState(t, "leaving", func(s *pb.AgentState) bool { return s.Leaving })
	r.viewer.set(revision(3))
	r.awaitState(t, "back", func(s *pb.AgentState) bool { return !s.Leaving })
	_, complete, _, err := sendOrder(r.client, newOrder())
	require.NoError(t, err)
	require.True(t, complete)
	r.server.Stop()
	r.viewer.set(revision(4))
	r.awaitState(t, "revision 4", func(s *pb.AgentState) bool { return s.Revision == 4 && s.Leaving })
}
