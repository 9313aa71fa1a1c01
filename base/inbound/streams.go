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
	maxFields = 4 << 10
	// streamWindow bounds the unread bytes of a stream, and connWindow those that a connection may have on its way.
	streamWindow = 64 << 10
	connWindow   = 1 << 20
	// startTimeout is how long a stream that has ended may take to reach its handler, if it ever does.
	startTimeout = 10 * time.Second
)

// Costs of a stream, in bytes of a budget.
const (
	streamCost = 8 << 10 // a goroutine, the stream's structures and its span
	fieldCost  = 80      // an entry in a map, a slice and two strings
	// firstMessageCost is reserved for the first message before it arrives, so that a call is refused rather than its
	// connection closed. It is enough for a stream's window.
	firstMessageCost = streamWindow
)

// streams bounds the streams of a gRPC server. It is the server's stats.Handler.
type streams struct {
	listener func() *Listener // nil if the server is served without bounds, as tests do
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

// call is one stream and what is reserved for it. It is released when its handler has returned and the stream has ended on its
// connection: a client may reset it while the handler runs, or leave its answer where it is after the handler has returned.
type call struct {
	conn   *Conn
	stream uint32
	room   *budget.Share
	bytes  *budget.Share // for messages and answers; nil: they are not bounded

	mu           sync.Mutex
	held         int64 // of room, for the stream
	first        int64 // of room, for its first message
	messages     int64 // of bytes, for messages that arrive
	answers      int64 // of bytes, for answers that the client has not taken
	unread       int64 // bytes of messages that have arrived and that the handler has not read
	buffers      int64 // cost of the buffers that hold them, beside them
	unsent       int64 // bytes of answers; negative: sent before they were counted
	started      bool
	handlerEnded bool
	streamEnded  bool
	released     bool
}

type callKey struct{}

// admit implements tap.ServerInHandle.
func (s *streams) admit(ctx context.Context, info *tap.Info) (context.Context, error) {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	if conn != nil {
		conn.refusals.settle(conn.arriving.newest) // from here on its refusals are short
	}
	if err := ctx.Err(); err != nil {
		return ctx, status.FromContextError(err).Err()
	}
	if !s.methods()[info.FullMethodName] {
		return ctx, status.Error(codes.Unimplemented, "unknown method")
	}
	if s.listener() == nil {
		return ctx, nil
	}
	if conn == nil {
		return ctx, status.Error(codes.Unavailable, "the connection is closed")
	}
	c := &call{conn: conn, stream: conn.arriving.newest, room: conn.listener.share, bytes: conn.listener.bytes, held: streamCost + fieldsCost(info.Header), first: firstMessageCost}
	if !c.room.Acquire(c.held + c.first) {
		return ctx, status.Error(codes.Unavailable, "no room for the call")
	}
	if !conn.openStream() {
		c.room.Release(c.held + c.first)
		return ctx, status.Error(codes.Unavailable, "the connection is closed")
	}
	conn.setCall(c.stream, c)
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
		c.conn.closeStream()
		c.release()
	}
}

func (c *call) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = true
}

// receive is called when n bytes of messages have arrived. It returns false if there is no room for them.
func (c *call) receive(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread += n
	return c.resize(&c.messages, c.unread+c.buffers-c.first)
}

// receiveFrame is called when a frame of messages begins to arrive, with the cost of its buffer. It returns false if there is no
// room for it.
func (c *call) receiveFrame(cost int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buffers += cost
	return c.resize(&c.messages, c.unread+c.buffers-c.first)
}

// readMessage is called when the handler has read a message of n bytes.
func (c *call) readMessage(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released {
		return
	}
	if n < c.unread {
		c.buffers -= int64(float64(c.buffers) * float64(n) / float64(c.unread)) // which of them held the message is not known
	} else {
		c.buffers = 0
	}
	c.unread -= n
	c.room.Release(c.first)
	c.first = 0
	c.resize(&c.messages, c.unread+c.buffers)
}

// answer is called when n bytes of answers are to be sent, or, if n is negative, have been. It returns false if there is no room
// for them.
func (c *call) answer(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent += n
	return c.resize(&c.answers, c.unsent)
}

// resize changes what is reserved for messages or answers, and returns false if there is no room. The mutex is held.
func (c *call) resize(reserved *int64, size int64) bool {
	if c.released {
		return true
	}
	more := max(0, size) - *reserved
	switch {
	case more < 0:
		c.bytes.Release(-more)
	case !c.bytes.Acquire(more):
		return false
	}
	*reserved += more
	return true
}

// end is called when the handler has returned or the stream has ended, with the field that says so.
func (c *call) end(ended *bool) {
	c.mu.Lock()
	*ended = true
	release := c.handlerEnded && c.streamEnded
	c.mu.Unlock()
	if release {
		c.release()
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
	c.bytes.Release(c.messages + c.answers)
	c.conn.setCall(c.stream, nil)
}

// openStream counts a stream, so that its connection is not closed to make room. It returns false if the connection has made
// room for another one before.
func (c *Conn) openStream() bool {
	c.listener.bounds.mu.Lock()
	defer c.listener.bounds.mu.Unlock()
	if c.left {
		return false
	}
	c.streams++
	c.setWaiting(false)
	return true
}

// closeStream is called when a stream that openStream has counted ends.
func (c *Conn) closeStream() {
	c.listener.bounds.mu.Lock()
	defer c.listener.bounds.mu.Unlock()
	c.streams--
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
	switch event := event.(type) {
	case *stats.InPayload:
		c.readMessage(int64(event.WireLength))
	case *stats.OutPayload:
		if !c.answer(int64(event.WireLength)) {
			c.conn.closeWithoutRoom("an answer that it does not take")
		}
	case *stats.End:
		c.conn.closeStream()
		c.end(&c.handlerEnded)
	}
}
