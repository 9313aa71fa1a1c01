package run

import (
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"dandelionsill.org/base/trace"
)

// Reconnect delays and limits of gRPC connections. grpc-go's default reconnect delay
// grows to two minutes, but a replaced VM must be reached within seconds.
const (
	reconnectBaseDelay  = 200 * time.Millisecond
	reconnectMaxDelay   = 3 * time.Second
	reconnectMultiplier = 1.6
	reconnectJitter     = 0.2
	dialTimeout         = 2 * time.Second
)

// NewClient returns a connection to the process at addr (IP:port). The connection
// is established at first use and each call is traced. opts override the defaults.
func NewClient(addr string, opts ...grpc.DialOption) (*grpc.ClientConn, error) {
	defaults := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithChainUnaryInterceptor(trace.UnaryClient),
		grpc.WithChainStreamInterceptor(trace.StreamClient),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  reconnectBaseDelay,
				Multiplier: reconnectMultiplier,
				Jitter:     reconnectJitter,
				MaxDelay:   reconnectMaxDelay,
			},
			MinConnectTimeout: dialTimeout,
		}),
	}
	conn, err := grpc.NewClient("passthrough:///"+addr, append(defaults, opts...)...)
	return conn, errors.Annotatef(err, "gRPC client of %s", addr)
}
