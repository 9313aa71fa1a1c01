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

// harness is one agent's Handler with a gRPC client, a backend server and a log.
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

// newHarness returns a harness whose backend server has the given handler.
func newHarness(t *testing.T, backend http.Handler) *harness {
	srv := httptest.NewServer(backend)
	t.Cleanup(srv.Close)
	return newHarnessAt(t, strings.TrimPrefix(srv.URL, "http://"))
}

// newHarnessAt returns a harness whose backend server has the given address.
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

// serve starts a gRPC server for the agent and connects a new client to it.
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

// waitIdle waits until nothing runs or waits in the queue.
func (r *harness) waitIdle(t *testing.T) {
	select {
	case <-r.queue.Idle():
	case <-time.After(testTimeout):
		t.Fatal("the queue is not idle: a run does not end")
	}
}

// newOrder returns a write without a key.
func newOrder() *pb.CallOpen {
	return &pb.CallOpen{
		RequestId: uuid.NewString(), Caller: "shop", Service: "orders", Method: http.MethodPost, Path: "/orders?box=3",
		Body: []byte("one box"), DeadlineMs: testTimeout.Milliseconds(), Weight: 1, Revision: 1,
	}
}

// newKeyedOrder returns a write with a new idempotency key.
func newKeyedOrder() *pb.CallOpen {
	open := newOrder()
	open.IdempotencyKey = uuid.Must(uuid.NewV7()).String()
	return open
}

// reply holds what an entry has received when the stream has ended.
type reply struct {
	ready     bool
	head      *pb.CallHead
	body      string
	complete  bool
	refusal   *pb.Refusal
	streamErr error
}

// call sends a request as an entry that answers CallReady with CallGo.
func (r *harness) call(t *testing.T, open *pb.CallOpen) reply {
	t.Helper()
	stream := r.open(t, t.Context(), open)
	return finish(stream)
}

// open starts a stream and sends CallOpen.
func (r *harness) open(t *testing.T, ctx context.Context, open *pb.CallOpen) pb.Agent_CallClient {
	t.Helper()
	stream, err := r.client.Call(ctx)
	require.NoError(t, err)
	require.NoError(t, stream.Send(&pb.CallSend{Part: &pb.CallSend_Open{Open: open}}))
	return stream
}

// finish receives until the stream ends and answers CallReady with CallGo.
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

// requireRefusal requires a refusal of the given kind and proof.
func (o reply) requireRefusal(t *testing.T, kind string, notRun bool) {
	t.Helper()
	require.NotNil(t, o.refusal, "%+v", o)
	require.Equal(t, kind, o.refusal.Kind, o.refusal.Message)
	require.Equal(t, notRun, o.refusal.NotRun, o.refusal.Message)
	require.False(t, o.complete)
}
