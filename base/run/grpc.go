package run

import (
	"context"
	"net"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"dandelionsill.org/base/inbound"
	"dandelionsill.org/base/trace"
)

// Limits of the gRPC server. The streams of a peer that can't be reached any more
// end after keepaliveTime + keepaliveTimeout.
const (
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 5 * time.Second
	// minClientPing is so short that no ping counts as too early. grpc-go queues a frame for each ping that does, which
	// nothing bounds; its answers to pings are bounded.
	minClientPing = time.Nanosecond

	maxMessageBytes = 64 << 20 // exported KV caches are the largest messages
	maxStreams      = 4096     // concurrent streams per connection
	connectTimeout  = 5 * time.Second
	// readBufferBytes is the size of the buffer through which a connection is read: a frame of the usual largest size.
	readBufferBytes = 16 << 10
	// closeGracePeriod is the time that Stop allows for replies that are still being
	// written. After the drain only endless streams (Watch) remain.
	closeGracePeriod = time.Second
)

var (
	_ transport.Server     = (*GRPCServer)(nil)
	_ transport.Endpointer = (*GRPCServer)(nil)
)

// GRPCServer is a grpc-go server that implements kratos's transport.Server.
type GRPCServer struct {
	*grpc.Server
	// Bounds must be set before the server listens; nil: the default bounds.
	Bounds *inbound.Bounds

	addr       string
	listenOnce sync.Once
	listener   atomic.Pointer[inbound.Listener]
	listenErr  error
}

// NewGRPC returns a server that will listen on addr (IP:port; port 0 picks a free
// port) and traces each call. opts override the defaults. It serves within the default
// bounds unless Bounds is set.
func NewGRPC(addr string, opts ...grpc.ServerOption) *GRPCServer {
	s := &GRPCServer{addr: addr}
	defaults := []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(trace.UnaryServer),
		grpc.ChainStreamInterceptor(trace.StreamServer),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minClientPing, PermitWithoutStream: true}),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.ConnectionTimeout(connectTimeout),
		grpc.ReadBufferSize(readBufferBytes),
	}
	defaults = append(defaults, inbound.StreamOptions(s.listener.Load, s.methods)...)
	s.Server = grpc.NewServer(append(defaults, opts...)...)
	return s
}

// methods returns the full names of the server's methods.
func (s *GRPCServer) methods() map[string]bool {
	methods := map[string]bool{}
	for service, info := range s.GetServiceInfo() {
		for _, method := range info.Methods {
			methods["/"+service+"/"+method.Name] = true
		}
	}
	return methods
}

// Listen binds the address and returns it. Further calls return the same result.
// Start calls Listen, so that calling it before is optional.
func (s *GRPCServer) Listen() (net.Addr, error) {
	s.listenOnce.Do(func() {
		var listener *inbound.Listener
		listener, s.listenErr = boundsOrDefault(s.Bounds).Listen(s.addr, inbound.Streams)
		s.listener.Store(listener)
	})
	if s.listenErr != nil {
		return nil, errors.Annotatef(s.listenErr, "gRPC listener %s", s.addr)
	}
	return s.listener.Load().Addr(), nil
}

// Endpoint binds the address and returns it as a URL. kratos calls it before it
// starts any server, so that a port in use fails the start.
func (s *GRPCServer) Endpoint() (*url.URL, error) {
	addr, err := s.Listen()
	if err != nil {
		return nil, err
	}
	return &url.URL{Scheme: "grpc", Host: addr.String()}, nil
}

// Start serves calls until Stop is called.
func (s *GRPCServer) Start(context.Context) error {
	if _, err := s.Listen(); err != nil {
		return err
	}
	if err := s.Serve(s.listener.Load()); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return errors.Trace(err)
	}
	return nil
}

// Stop waits up to closeGracePeriod for running calls to end and then closes the
// rest. It is called after the drain, when no request is in flight any more.
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
