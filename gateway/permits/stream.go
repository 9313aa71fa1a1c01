package permits

import (
	"context"

	"github.com/juju/errors"
	"google.golang.org/grpc"

	"dandelionsill.org/base/run"
	"dandelionsill.org/wire/pb"
)

const (
	// bufferBytes is the size of a connection's buffers. Messages have a few hundred bytes, and a
	// broker has a connection to each gateway.
	bufferBytes = 4 << 10
	// windowBytes is the size of flow control windows. It is fixed, since gRPC would otherwise
	// measure the connection with each message, which costs as many bytes as the message.
	windowBytes = 64 << 10
)

// Stream is a gateway's end of a stream to a broker.
type Stream interface {
	Send(*pb.PermitRequest) error
	Recv() (*pb.PermitReply, error)
}

// NewGRPC returns a server that listens on addr (IP:port) for gateways' streams.
func NewGRPC(addr string, s *Server) *run.GRPCServer {
	server := run.NewGRPC(addr, grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
		grpc.StaticStreamWindowSize(windowBytes), grpc.StaticConnWindowSize(windowBytes))
	pb.RegisterPermitBrokerServer(server.Server, s)
	return server
}

// openGRPC opens a stream with a connection of its own to addr (IP:port), until ctx ends.
func openGRPC(ctx context.Context, addr string) (Stream, error) {
	conn, err := run.NewClient(addr, grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithStaticStreamWindowSize(windowBytes), grpc.WithStaticConnWindowSize(windowBytes))
	if err != nil {
		return nil, errors.Trace(err)
	}
	context.AfterFunc(ctx, func() { conn.Close() })
	stream, err := pb.NewPermitBrokerClient(conn).Exchange(ctx)
	return stream, errors.Trace(err)
}

// localStream is a stream to a broker of this process. The messages sent must not be modified.
type localStream struct {
	ctx      context.Context
	requests chan *pb.PermitRequest
	replies  chan *pb.PermitReply
}

// openLocal opens a stream to a server of this process, until ctx ends.
func openLocal(ctx context.Context, s *Server) Stream {
	ctx, cancel := context.WithCancelCause(ctx)
	stream := &localStream{ctx: ctx, requests: make(chan *pb.PermitRequest), replies: make(chan *pb.PermitReply)}
	go func() { cancel(s.exchange(ctx, brokerEnd{stream})) }()
	return stream
}

// Send implements Stream.
func (s *localStream) Send(req *pb.PermitRequest) error { return passLocal(s.ctx, s.requests, req) }

// Recv implements Stream.
func (s *localStream) Recv() (*pb.PermitReply, error) { return takeLocal(s.ctx, s.replies) }

// brokerEnd is the broker's end of a localStream.
type brokerEnd struct{ stream *localStream }

// Send implements brokerStream.
func (b brokerEnd) Send(reply *pb.PermitReply) error {
	return passLocal(b.stream.ctx, b.stream.replies, reply)
}

// Recv implements brokerStream.
func (b brokerEnd) Recv() (*pb.PermitRequest, error) {
	return takeLocal(b.stream.ctx, b.stream.requests)
}

func passLocal[M any](ctx context.Context, to chan<- M, message M) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case to <- message:
		return nil
	}
}

func takeLocal[M any](ctx context.Context, from <-chan M) (M, error) {
	select {
	case <-ctx.Done():
		var none M
		return none, context.Cause(ctx)
	case message := <-from:
		return message, nil
	}
}
