package trace

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"

	"dandelionsill.org/wire/pb"
)

// traceIDAgent answers Explain and Watch with the trace ID that it received.
type traceIDAgent struct{ pb.UnimplementedAgentServer }

func (traceIDAgent) Explain(ctx context.Context, _ *pb.ExplainRequest) (*pb.ExplainReply, error) {
	return &pb.ExplainReply{Decisions: []*pb.Decision{{TraceId: ID(ctx)}}}, nil
}

func (traceIDAgent) Watch(_ *pb.WatchRequest, stream pb.Agent_WatchServer) error {
	return stream.Send(&pb.AgentState{Name: ID(stream.Context())})
}

func dialAgent(t *testing.T) pb.AgentClient {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := grpc.NewServer(grpc.UnaryInterceptor(UnaryServer), grpc.StreamInterceptor(StreamServer))
	pb.RegisterAgentServer(srv, traceIDAgent{})
	go func() { _ = srv.Serve(lis) }()
	t.Cleanup(srv.Stop)
	conn, err := grpc.NewClient(lis.Addr().String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithUnaryInterceptor(UnaryClient),
		grpc.WithStreamInterceptor(StreamClient))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return pb.NewAgentClient(conn)
}

// A request from the caller to the entry (HTTP) and on to the agent (gRPC) has one
// trace ID, and the file holds one span per hop and side, so that an operator can
// follow the request. A call outside any trace writes no span.
func TestTraceSpansAllHops(t *testing.T) {
	file := filepath.Join(t.TempDir(), "spans")
	stop, err := Start(context.Background(), "e1", Config{Exporter: ExporterFile, File: file, Ratio: 1})
	require.NoError(t, err)
	client := dialAgent(t)

	background, err := client.Explain(context.Background(), &pb.ExplainRequest{})
	require.NoError(t, err)
	require.Empty(t, background.Decisions[0].TraceId)
	header := http.Header{}
	ToHTTP(context.Background(), header, "background")
	require.Empty(t, header)

	ctx, root := Tracer("caller").Start(context.Background(), "root")
	_, caller := ToHTTP(ctx, header, "caller")
	request := &http.Request{Header: header}
	ctx, entry := FromHTTP(request.WithContext(context.Background()), "entry")
	reply, err := client.Explain(ctx, &pb.ExplainRequest{})
	require.NoError(t, err)
	stream, err := client.Watch(ctx, &pb.WatchRequest{})
	require.NoError(t, err)
	state, err := stream.Recv()
	require.NoError(t, err)
	_, err = stream.Recv()
	require.Error(t, err)
	entry.End()
	caller.End()
	root.End()

	id := caller.SpanContext().TraceID().String()
	require.Equal(t, id, reply.Decisions[0].TraceId)
	require.Equal(t, id, state.Name)
	require.NoError(t, stop(context.Background()))
	spans, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, 7, strings.Count(string(spans), `"SpanContext":{"TraceID":"`+id))
	require.Equal(t, 7, strings.Count(string(spans), `"SpanContext":`))
}

// Guards against a span that is never exported: a caller may abandon a stream
// without reading to its end, and the span must still end, or the trace would
// lack the hop that an operator looks for.
func TestAbandonedStreamEndsItsSpan(t *testing.T) {
	ended := make(chan struct{})
	provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(clientSpanNotifier{ended}))
	otel.SetTracerProvider(provider)
	ctx, root := Tracer("caller").Start(context.Background(), "root")
	defer root.End()
	ctx, cancel := context.WithCancel(ctx)
	desc := &grpc.StreamDesc{ServerStreams: true}
	_, err := StreamClient(ctx, desc, nil, "/Watch", func(context.Context, *grpc.StreamDesc, *grpc.ClientConn, string, ...grpc.CallOption) (grpc.ClientStream, error) {
		return nil, nil
	})
	require.NoError(t, err)
	cancel()
	<-ended
}

// clientSpanNotifier is a span processor that closes a channel when a client span
// ends.
type clientSpanNotifier struct{ ended chan struct{} }

func (clientSpanNotifier) OnStart(context.Context, sdktrace.ReadWriteSpan) {}
func (p clientSpanNotifier) OnEnd(span sdktrace.ReadOnlySpan) {
	if span.SpanKind() == oteltrace.SpanKindClient {
		close(p.ended)
	}
}
func (clientSpanNotifier) Shutdown(context.Context) error   { return nil }
func (clientSpanNotifier) ForceFlush(context.Context) error { return nil }

func TestValidate(t *testing.T) {
	require.Error(t, Config{Exporter: "kafka"}.Validate())
	require.Error(t, Config{Exporter: ExporterOTLP}.Validate())
	require.NoError(t, Config{}.Validate())
	_, err := Start(context.Background(), "e1", Config{Exporter: ExporterFile, File: "/nonexistent/x"})
	require.Error(t, err)
}

// Guards against a caller's long trace state that makes calls between processes exceed what their servers accept.
func TestLongTraceStateIsDropped(t *testing.T) {
	for name, c := range map[string]struct {
		members int
		kept    bool
	}{"Ordinary": {2, true}, "Long": {32, false}} {
		t.Run(name, func(t *testing.T) {
			var state oteltrace.TraceState
			for i := range c.members {
				var err error
				state, err = state.Insert(fmt.Sprintf("key%d", i), strings.Repeat("v", 250))
				require.NoError(t, err)
			}
			span := oteltrace.NewSpanContext(oteltrace.SpanContextConfig{TraceID: oteltrace.TraceID{1}, SpanID: oteltrace.SpanID{1}, TraceState: state})
			md := metadata.MD{}
			propagation.TraceContext{}.Inject(oteltrace.ContextWithSpanContext(t.Context(), span), metadataCarrier(md))
			require.Len(t, md.Get("traceparent"), 1)
			require.Equal(t, c.kept, len(md.Get("tracestate")) == 1)
		})
	}
}
