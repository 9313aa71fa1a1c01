package calls

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"google.golang.org/grpc"

	"dandelionsill.org/base/trace"
	"dandelionsill.org/wire/pb"
)

// A backend server with spans of its own must be able to continue the caller's trace:
// for a read, an unkeyed write and a keyed write it gets a traceparent with the agent's
// span of this hop.
func TestTraceReachesTheBackend(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	provider, propagator := otel.GetTracerProvider(), otel.GetTextMapPropagator()
	otel.SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder)))
	otel.SetTextMapPropagator(propagation.TraceContext{})
	t.Cleanup(func() {
		otel.SetTracerProvider(provider)
		otel.SetTextMapPropagator(propagator)
	})
	got := make(chan string, 1)
	r := newHarness(t, http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) { got <- req.Header.Get("traceparent") }))
	r.serve(t, grpc.StreamInterceptor(trace.StreamServer))
	read := newOrder()
	read.Idempotent = true
	for _, open := range []*pb.CallOpen{read, newOrder(), newKeyedOrder()} {
		ctx, root := trace.Tracer("caller").Start(t.Context(), "root")
		require.True(t, finish(r.open(t, ctx, open)).complete)
		root.End()
		hop := root.SpanContext()
		for _, s := range recorder.Ended() {
			if s.Name() == "backend POST" && s.SpanContext().TraceID() == hop.TraceID() {
				hop = s.SpanContext()
			}
		}
		require.NotEqual(t, root.SpanContext().SpanID(), hop.SpanID())
		require.Equal(t, "00-"+hop.TraceID().String()+"-"+hop.SpanID().String()+"-01", <-got)
	}
}
