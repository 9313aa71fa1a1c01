package run

import (
	"context"
	"net"
	"net/url"
	"sync"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"dandelionsill.org/base/trace"
)

// Limits of the gRPC server. A peer behind a cut link is found after
// keepaliveTime + keepaliveTimeout; its streams then end.
const (
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 5 * time.Second
	minClientPing    = 5 * time.Second
	maxMessageBytes  = 64 << 20 // exported KV caches are the largest messages
	maxStreams       = 4096     // streams at once per connection
	connectTimeout   = 5 * time.Second
	// closeGracePeriod is the time for replies that are being written. After the
	// drain only endless streams (Watch) are left.
	closeGracePeriod = time.Second
)

var (
	_ transport.Server     = (*GRPCServer)(nil)
	_ transport.Endpointer = (*GRPCServer)(nil)
)

// GRPCServer is a grpc-go server as a kratos transport.Server.
type GRPCServer struct {
	*grpc.Server

	addr       string
	listenOnce sync.Once
	listener   net.Listener
	listenErr  error
}

// NewGRPC returns a server that will listen on addr (IP:port; port 0 picks
// one). It traces each call; opts come behind the defaults and override them.
func NewGRPC(addr string, opts ...grpc.ServerOption) *GRPCServer {
	defaults := []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(trace.UnaryServer),
		grpc.ChainStreamInterceptor(trace.StreamServer),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minClientPing, PermitWithoutStream: true}),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.ConnectionTimeout(connectTimeout),
	}
	return &GRPCServer{Server: grpc.NewServer(append(defaults, opts...)...), addr: addr}
}

// Listen binds the address; Start does it otherwise.
func (s *GRPCServer) Listen() (net.Addr, error) {
	s.listenOnce.Do(func() {
		s.listener, s.listenErr = net.Listen("tcp", s.addr)
	})
	if s.listenErr != nil {
		return nil, errors.Annotatef(s.listenErr, "gRPC listener %s", s.addr)
	}
	return s.listener.Addr(), nil
}

// Endpoint returns the listener's address; kratos binds through it before it
// starts anything, so that a taken port fails the start.
func (s *GRPCServer) Endpoint() (*url.URL, error) {
	addr, err := s.Listen()
	if err != nil {
		return nil, err
	}
	return &url.URL{Scheme: "grpc", Host: addr.String()}, nil
}

// Start serves until Stop.
func (s *GRPCServer) Start(context.Context) error {
	if _, err := s.Listen(); err != nil {
		return err
	}
	if err := s.Serve(s.listener); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return errors.Trace(err)
	}
	return nil
}

// Stop lets running calls end for a short while and then closes what is left.
// It comes after the drain, so that this cuts off no request.
func (s *GRPCServer) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, closeGracePeriod)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.GracefulStop()
	}()
	select {
	case <-done:
	case <-ctx.Done():
		s.Server.Stop()
		<-done
	}
	return nil
}
