package inbound

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"dandelionsill.org/base/budget"
	_ "dandelionsill.org/base/inbound/grpcenv" // before grpc is initialized
)

// Limits of gRPC streams.
const (
	// maxFields bounds the header fields of a stream in the measure of HTTP/2: 32 bytes a field and its own.
	maxFields = 16 << 10
	// streamWindow bounds the unread bytes of a stream, and connWindow those that a connection may have on its way.
	streamWindow = 64 << 10
	connWindow   = 1 << 20
	// startTimeout is how long a stream that has ended may take to reach its handler, if it ever does.
	startTimeout = 10 * time.Second
)

// Costs of a stream, in bytes of a budget.
const (
	streamCost = 4 << 10 // a goroutine and the stream's structures
	fieldCost  = 80      // an entry in a map, a slice and two strings
	// firstMessageCost is the cost of streamWindow bytes, until the first message has been read.
	firstMessageCost = streamWindow
)

// streams bounds the streams of a gRPC server. It is the server's stats.Handler.
type streams struct {
	listener func() *Listener // nil before the server listens
	methods  func() map[string]bool
}

// StreamOptions returns the options of a gRPC server that bound its streams. listener returns its listener, and methods the
// full names of its methods; both are called while it serves.
func StreamOptions(listener func() *Listener, methods func() map[string]bool) []grpc.ServerOption {
	s := &streams{listener, sync.OnceValue(methods)}
	return []grpc.ServerOption{
		grpc.StatsHandler(s), grpc.InTapHandle(s.admit), grpc.MaxHeaderListSize(maxFields),
		grpc.StaticStreamWindowSize(streamWindow), grpc.StaticConnWindowSize(connWindow),
	}
}

// call is one stream and what is reserved for it. It is released when its handler has returned, not when the client resets it:
// the handler may still run then.
type call struct {
	conn *Conn
	room *budget.Share

	mu       sync.Mutex
	held     int64 // reserved for the stream
	first    int64 // reserved for its first message
	started  bool
	released bool
}

type callKey struct{}

// admit implements tap.ServerInHandle.
func (s *streams) admit(ctx context.Context, info *tap.Info) (context.Context, error) {
	if err := ctx.Err(); err != nil {
		return ctx, status.FromContextError(err).Err()
	}
	if !s.methods()[info.FullMethodName] {
		return ctx, status.Error(codes.Unimplemented, "unknown method")
	}
	conn, _ := ctx.Value(connKey{}).(*Conn)
	if conn == nil {
		return ctx, nil // not from a Listener
	}
	c := &call{conn: conn, room: conn.listener.share, held: streamCost + fieldsCost(info.Header), first: firstMessageCost}
	if !c.room.Acquire(c.held + c.first) {
		return ctx, status.Error(codes.Unavailable, "no room for the call")
	}
	conn.addStream(1)
	context.AfterFunc(ctx, c.clientEnded)
	return context.WithValue(ctx, callKey{}, c), nil
}

// fieldsCost returns the cost of header fields.
func fieldsCost(fields metadata.MD) int64 {
	sum := 0
	for name, values := range fields {
		for _, value := range values {
			sum += fieldCost + len(name) + len(value)
		}
	}
	return int64(sum)
}

// clientEnded is called when a stream's context ends. A stream whose handler has not been started is released later, since
// gRPC tells of the end only of those that it has started.
func (c *call) clientEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.started && !c.released {
		time.AfterFunc(startTimeout, c.releaseUnlessStarted)
	}
}

func (c *call) releaseUnlessStarted() {
	c.mu.Lock()
	started := c.started
	c.mu.Unlock()
	if !started {
		c.release()
	}
}

func (c *call) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = true
}

// readMessage is called when a message has been read.
func (c *call) readMessage() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.released && c.first > 0 {
		c.room.Release(c.first)
		c.first = 0
	}
}

func (c *call) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released {
		return
	}
	c.released = true
	c.room.Release(c.held + c.first)
	c.conn.addStream(-1)
}

// addStream counts the open streams of a connection. One without any may be closed to make room.
func (c *Conn) addStream(n int) {
	c.listener.bounds.mu.Lock()
	defer c.listener.bounds.mu.Unlock()
	c.streams += n
	c.setWaiting(c.streams == 0)
}

// TagConn implements stats.Handler.
func (s *streams) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	if l := s.listener(); l != nil {
		if conn := l.find(info.RemoteAddr); conn != nil {
			return context.WithValue(ctx, connKey{}, conn)
		}
	}
	return ctx
}

// HandleConn implements stats.Handler.
func (s *streams) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (s *streams) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	if c, ok := ctx.Value(callKey{}).(*call); ok {
		c.start()
	}
	return ctx
}

// HandleRPC implements stats.Handler.
func (s *streams) HandleRPC(ctx context.Context, event stats.RPCStats) {
	c, ok := ctx.Value(callKey{}).(*call)
	if !ok {
		return
	}
	switch event.(type) {
	case *stats.InPayload:
		c.readMessage()
	case *stats.End:
		c.release()
	}
}
