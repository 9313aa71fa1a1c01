package trace

import (
	"context"
	"io"
	"sync"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/codes"
	oteltrace "go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
)

const (
	grpcTracer = "grpc"
	// maxFieldBytes bounds the value of a header field, in bytes. W3C Trace Context asks for at least 512 of a trace state.
	maxFieldBytes = 1 << 10
)

// metadataCarrier implements propagation.TextMapCarrier on gRPC metadata.
type metadataCarrier metadata.MD

// Get returns the first value of key, or "".
func (c metadataCarrier) Get(key string) string {
	if values := metadata.MD(c).Get(key); len(values) > 0 {
		return values[0]
	}
	return ""
}

// Set replaces the values of key. A caller's trace state is dropped if it is so long that it could take up most of the header fields
// that a server accepts; the trace goes on without it.
func (c metadataCarrier) Set(key, value string) {
	if len(value) <= maxFieldBytes {
		metadata.MD(c).Set(key, value)
	}
}

// Keys returns all keys, in no particular order.
func (c metadataCarrier) Keys() []string {
	keys := make([]string, 0, len(c))
	for key := range c {
		keys = append(keys, key)
	}
	return keys
}

// UnaryClient is a client interceptor that starts a span for a unary call and
// sends the span's context to the server.
func UnaryClient(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoker grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	ctx, span := startClient(ctx, method)
	err := invoker(ctx, method, req, reply, cc, opts...)
	endSpan(span, err)
	return err
}

// StreamClient is a client interceptor that starts a span which lasts until the
// stream or ctx ends.
func StreamClient(ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string, streamer grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	ctx, span := startClient(ctx, method)
	stream, err := streamer(ctx, desc, cc, method, opts...)
	if err != nil {
		endSpan(span, err)
		return nil, err
	}
	traced := &clientStream{ClientStream: stream, span: span, singleReply: !desc.ServerStreams}
	// A caller that abandons the stream cancels ctx without reading to the end.
	traced.stopAfterFunc = context.AfterFunc(ctx, func() { traced.end(ctx.Err()) })
	return traced, nil
}

// UnaryServer is a server interceptor that continues the client's trace with a
// server span.
func UnaryServer(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	ctx, span := startServer(ctx, info.FullMethod)
	reply, err := handler(ctx, req)
	endSpan(span, err)
	return reply, err
}

// StreamServer is a server interceptor that continues the client's trace with a
// server span, which lasts as long as the handler.
func StreamServer(srv any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	ctx, span := startServer(stream.Context(), info.FullMethod)
	err := handler(srv, &serverStream{ServerStream: stream, ctx: ctx})
	endSpan(span, err)
	return err
}

func startClient(ctx context.Context, method string) (context.Context, oteltrace.Span) {
	if hasNoTrace(ctx) {
		return ctx, oteltrace.SpanFromContext(ctx)
	}
	ctx, span := Tracer(grpcTracer).Start(ctx, method, oteltrace.WithSpanKind(oteltrace.SpanKindClient))
	md, ok := metadata.FromOutgoingContext(ctx)
	if !ok {
		md = metadata.MD{}
	}
	// FromOutgoingContext returned a copy, so writing to md is safe.
	otel.GetTextMapPropagator().Inject(ctx, metadataCarrier(md))
	return metadata.NewOutgoingContext(ctx, md), span
}

func startServer(ctx context.Context, method string) (context.Context, oteltrace.Span) {
	if md, ok := metadata.FromIncomingContext(ctx); ok {
		ctx = otel.GetTextMapPropagator().Extract(ctx, metadataCarrier(md))
	}
	if hasNoTrace(ctx) {
		return ctx, oteltrace.SpanFromContext(ctx)
	}
	return Tracer(grpcTracer).Start(ctx, method, oteltrace.WithSpanKind(oteltrace.SpanKindServer))
}

// hasNoTrace reports whether ctx belongs to no trace. The span of such a ctx does
// nothing.
func hasNoTrace(ctx context.Context) bool {
	return !oteltrace.SpanContextFromContext(ctx).IsValid()
}

func endSpan(span oteltrace.Span, err error) {
	if err != nil && err != io.EOF {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}

// clientStream is a stream that ends its span when the stream ends.
type clientStream struct {
	grpc.ClientStream
	span          oteltrace.Span
	singleReply   bool
	once          sync.Once
	stopAfterFunc func() bool // stops the AfterFunc registered on the stream's context
}

// RecvMsg implements grpc.ClientStream. It ends the span when the stream ends.
func (s *clientStream) RecvMsg(m any) error {
	err := s.ClientStream.RecvMsg(m)
	if err != nil || s.singleReply {
		s.end(err)
		s.stopAfterFunc()
	}
	return err
}

func (s *clientStream) end(err error) { s.once.Do(func() { endSpan(s.span, err) }) }

// serverStream is a stream whose Context carries the server span.
type serverStream struct {
	grpc.ServerStream
	ctx context.Context
}

// Context implements grpc.ServerStream.
func (s *serverStream) Context() context.Context { return s.ctx }
