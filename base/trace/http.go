package trace

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	oteltrace "go.opentelemetry.io/otel/trace"
)

// FromHTTP starts a server span for an incoming HTTP request. The span continues
// the trace of the request's headers, or starts a new trace. The caller must end
// the span.
func FromHTTP(r *http.Request, name string) (context.Context, oteltrace.Span) {
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	return Tracer("http").Start(ctx, name, oteltrace.WithSpanKind(oteltrace.SpanKindServer))
}

// ToHTTP starts a client span for an outgoing request and writes its context
// into the headers. The caller must end the span. Outside any trace ToHTTP starts
// no span and leaves the headers unchanged.
func ToHTTP(ctx context.Context, header http.Header, name string) (context.Context, oteltrace.Span) {
	if hasNoTrace(ctx) {
		return ctx, oteltrace.SpanFromContext(ctx)
	}
	ctx, span := Tracer("http").Start(ctx, name, oteltrace.WithSpanKind(oteltrace.SpanKindClient))
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(header))
	return ctx, span
}

// ID returns the trace ID of ctx in hex, or "" if ctx has none.
func ID(ctx context.Context) string {
	sc := oteltrace.SpanContextFromContext(ctx)
	if !sc.HasTraceID() {
		return ""
	}
	return sc.TraceID().String()
}
