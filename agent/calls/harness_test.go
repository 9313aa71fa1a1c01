package calls

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"dandelionsill.org/adapters/httplog"
	"dandelionsill.org/agent/admission"
	"dandelionsill.org/agent/once"
	"dandelionsill.org/base/explain"
	"dandelionsill.org/base/run"
	"dandelionsill.org/confsync"
	fold "dandelionsill.org/fold/once"
	"dandelionsill.org/manifest"
	"dandelionsill.org/standin/logsvc"
	"dandelionsill.org/wire/pb"
)

const testTimeout = 20 * time.Second

// harness is one agent's call path between a real gRPC client and a backend server.
type harness struct {
	pb.UnimplementedAgentServer
	handler *Handler
	queue   *admission.Queue
	log     *logsvc.Log
	client  pb.AgentClient
	viewer  *viewer
}

type viewer struct{ confsync.Static }

func (r *harness) Call(stream pb.Agent_CallServer) error { return r.handler.Call(stream) }

func newHarness(t *testing.T, backend http.Handler) *harness {
	srv := httptest.NewServer(backend)
	t.Cleanup(srv.Close)
	return newHarnessAt(t, strings.TrimPrefix(srv.URL, "http://"))
}

func newHarnessAt(t *testing.T, addr string) *harness {
	r := &harness{log: logsvc.New(logsvc.Config{}), queue: admission.New(admission.Config{Slots: 4, MaxQueue: 16})}
	logServer := httptest.NewServer(r.log)
	t.Cleanup(logServer.Close)
	r.viewer = &viewer{confsync.Static{V: &confsync.View{Number: 1, Manifest: &manifest.Manifest{
		Fleet:    manifest.Fleet{MaxBodyBytes: 1 << 20, KeyWindow: time.Hour, ClockSkew: time.Second},
		Services: map[string]manifest.Service{"orders": {Name: "orders", Timeout: testTimeout}},
	}}}}
	client := httplog.New(logServer.URL, "agent-1")
	t.Cleanup(client.Close)
	table := once.New(once.Config{
		Owner:   fold.Owner{Name: "agent-1", Incarnation: uuid.NewString()},
		Service: "orders", Log: client,
		Limits: func() once.Limits { return once.Limits{Window: time.Hour, Skew: time.Second} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		table.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	r.handler = New(Config{Service: "orders", Backend: addr, Queue: r.queue, Once: table, Viewer: r.viewer, Explain: explain.New("agent-1", 64)})
	t.Cleanup(r.handler.Close)
	r.serve(t)
	return r
}

// serve puts the agent behind a gRPC server of its own, with a new client.
func (r *harness) serve(t *testing.T, opts ...grpc.ServerOption) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer(opts...)
	pb.RegisterAgentServer(server, r)
	go func() { _ = server.Serve(lis) }()
	t.Cleanup(server.Stop)
	conn, err := run.NewClient(lis.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	r.client = pb.NewAgentClient(conn)
}

// waitIdle waits until no run is left.
func (r *harness) waitIdle(t *testing.T) {
	select {
	case <-r.queue.Idle():
	case <-time.After(testTimeout):
		t.Fatal("a run does not end")
	}
}

func newOrder() *pb.CallOpen {
	return &pb.CallOpen{
		RequestId: uuid.NewString(), Caller: "shop", Service: "orders", Method: http.MethodPost, Path: "/orders?box=3",
		Body: []byte("one box"), DeadlineMs: testTimeout.Milliseconds(), Weight: 1, Revision: 1,
	}
}

func newKeyedOrder() *pb.CallOpen {
	open := newOrder()
	open.IdempotencyKey = uuid.Must(uuid.NewV7()).String()
	return open
}

// reply is what an entry has got when the stream ended.
type reply struct {
	ready     bool
	head      *pb.CallHead
	body      string
	complete  bool
	refusal   *pb.Refusal
	streamErr error
}

// call plays an entry that says go.
func (r *harness) call(t *testing.T, open *pb.CallOpen) reply {
	t.Helper()
	stream := r.open(t, t.Context(), open)
	return finish(stream)
}

func (r *harness) open(t *testing.T, ctx context.Context, open *pb.CallOpen) pb.Agent_CallClient {
	t.Helper()
	stream, err := r.client.Call(ctx)
	require.NoError(t, err)
	require.NoError(t, stream.Send(&pb.CallSend{Part: &pb.CallSend_Open{Open: open}}))
	return stream
}

func finish(stream pb.Agent_CallClient) (out reply) {
	for {
		msg, err := stream.Recv()
		if err != nil {
			out.streamErr = err
			return out
		}
		switch p := msg.Part.(type) {
		case *pb.CallReply_Ready:
			out.ready = true
			_ = stream.Send(goMessage)
		case *pb.CallReply_Head:
			out.head = p.Head
		case *pb.CallReply_Body:
			out.body += string(p.Body)
		case *pb.CallReply_End:
			out.complete = p.End.BodyBytes == int64(len(out.body))
		case *pb.CallReply_Refusal:
			out.refusal = p.Refusal
		}
	}
}

var goMessage = &pb.CallSend{Part: &pb.CallSend_Go{Go: &pb.CallGo{}}}

func (o reply) requireRefusal(t *testing.T, kind string, notRun bool) {
	t.Helper()
	require.NotNil(t, o.refusal, "%+v", o)
	require.Equal(t, kind, o.refusal.Kind, o.refusal.Message)
	require.Equal(t, notRun, o.refusal.NotRun, o.refusal.Message)
	require.False(t, o.complete)
}
