package fleet

import (
	"context"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc"

	"dandelionsill.org/base/run"
)

// countedConn is a connection that counts its open calls. A retired connection
// must not be closed during a call, and only the connection itself sees all of
// them: a request may pick a server from an older snapshot and start after the
// server was retired, or after a VM with the same name replaced it.
type countedConn struct {
	*grpc.ClientConn
	openCalls atomic.Int64
}

func dial(addr string) (*countedConn, error) {
	conn, err := run.NewClient(addr,
		grpc.WithDisableRetry(),
		grpc.WithStaticStreamWindowSize(streamWindow),
		grpc.WithStaticConnWindowSize(connWindow),
		grpc.WithReadBufferSize(connBufferSize),
		grpc.WithWriteBufferSize(connBufferSize))
	if err != nil {
		return nil, err
	}
	return &countedConn{ClientConn: conn}, nil
}

// Invoke makes a unary call, which counts as open until it returns.
func (c *countedConn) Invoke(ctx context.Context, method string, args, reply any, opts ...grpc.CallOption) error {
	c.openCalls.Add(1)
	defer c.openCalls.Add(-1)
	return c.ClientConn.Invoke(ctx, method, args, reply, opts...)
}

// NewStream opens a stream, which counts as open until it or its context has
// ended.
func (c *countedConn) NewStream(ctx context.Context, desc *grpc.StreamDesc, method string, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	c.openCalls.Add(1)
	stream, err := c.ClientConn.NewStream(ctx, desc, method, opts...)
	if err != nil {
		c.openCalls.Add(-1)
		return nil, err
	}
	counted := &countedStream{ClientStream: stream, conn: c}
	counted.stopHook = context.AfterFunc(ctx, counted.end)
	return counted, nil
}

type countedStream struct {
	grpc.ClientStream
	conn     *countedConn
	once     sync.Once
	stopHook func() bool // unregisters end from the context
}

func (s *countedStream) RecvMsg(m any) error {
	err := s.ClientStream.RecvMsg(m)
	if err != nil {
		s.end()
		s.stopHook()
	}
	return err
}

func (s *countedStream) end() { s.once.Do(func() { s.conn.openCalls.Add(-1) }) }
