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

const grpcTracer = "grpc"

// metadataCarrier puts the trace context into gRPC metadata.
type metadataCarrier metadata.MD

// Get returns the first value of a key.
func (c metadataCarrier) Get(key string) string {
	if values := metadata.MD(c).Get(key); len(values) > 0 {
		return values[0]
	}
	return ""
}

// Set replaces a key's values.
func (c metadataCarrier) Set(key, value string) { metadata.MD(c).Set(key, value) }

// Keys lists the keys.
func (c metadataCarrier) Keys() []string {
	keys := make([]string, 0, len(c))
	for key := range c {
		keys = append(keys, key)
	}
	return keys
}

// UnaryClient starts a client span for a unary call and sends its context.
func UnaryClient(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoker grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	ctx, span := startClient(ctx, method)
	err := invoker(ctx, method, req, reply, cc, opts...)
	endSpan(span, err)
	return err
}

// StreamClient starts a client span that lasts until the stream ends.
func StreamClient(ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string, streamer grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	ctx, span := startClient(ctx, method)
	stream, err := streamer(ctx, desc, cc, method, opts...)
	if err != nil {
		endSpan(span, err)
		return nil, err
	}
	traced := &clientStream{ClientStream: stream, span: span, singleReply: !desc.ServerStreams}
	// A caller that gives the stream up cancels ctx without reading to the end.
	traced.stopAfterFunc = context.AfterFunc(ctx, func() { traced.end(ctx.Err()) })
	return traced, nil
}

// UnaryServer continues the caller's trace with a server span.
func UnaryServer(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	ctx, span := startServer(ctx, info.FullMethod)
	reply, err := handler(ctx, req)
	endSpan(span, err)
	return reply, err
}

// StreamServer continues the caller's trace with a server span that lasts as
// long as the handler.
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
	// FromOutgoingContext returned a copy, so that writing to it is safe.
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

// hasNoTrace tells that ctx belongs to no trace. Its span is then one that does
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

// clientStream ends its span with the stream.
type clientStream struct {
	grpc.ClientStream
	span          oteltrace.Span
	singleReply   bool
	once          sync.Once
	stopAfterFunc func() bool // releases the hook on the context
}

func (s *clientStream) RecvMsg(m any) error {
	err := s.ClientStream.RecvMsg(m)
	if err != nil || s.singleReply {
		s.end(err)
		s.stopAfterFunc()
	}
	return err
}

func (s *clientStream) end(err error) { s.once.Do(func() { endSpan(s.span, err) }) }

// serverStream hands the span's context to the handler.
type serverStream struct {
	grpc.ServerStream
	ctx context.Context
}

func (s *serverStream) Context() context.Context { return s.ctx }
