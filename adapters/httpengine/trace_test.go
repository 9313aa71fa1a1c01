package httpengine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"dandelionsill.org/platform"
)

// The agent sends its span to the engine as the parent, so that an engine that writes
// spans of its own continues the request's trace.
func TestTraceReachesTheEngine(t *testing.T) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	var got string
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got = r.Header.Get("traceparent") }))
	defer server.Close()
	engine := New(server.URL, "agent")
	defer engine.Close()
	span := trace.NewSpanContext(trace.SpanContextConfig{TraceID: trace.TraceID{1}, SpanID: trace.SpanID{2}, TraceFlags: trace.FlagsSampled})
	for _, c := range []struct {
		ctx  context.Context
		want string
	}{
		{trace.ContextWithSpanContext(t.Context(), span), "00-01000000000000000000000000000000-0200000000000000-01"},
		{t.Context(), ""},
	} {
		s, err := engine.Generate(c.ctx, platform.GenerateJob{ID: "j"})
		require.NoError(t, err)
		require.NoError(t, s.Close())
		require.Equal(t, c.want, got)
	}
}
