package permits

import (
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/decide/members"
	"dandelionsill.org/wire/pb"
)

// Stream is a stream to a broker.
type Stream interface {
	Send(*pb.PermitRequest) error
	Recv() (*pb.PermitReply, error)
}

// ServerConfig holds the settings of a Server.
type ServerConfig struct {
	NewBroker func(service string) Broker
	// Servers returns the servers of a service.
	Servers func(service string) []members.Server
	Now     func() time.Time
	Logger  *zap.Logger
}

// Server runs the brokers of this process.
type Server struct {
	pb.UnimplementedPermitBrokerServer
	cfg ServerConfig
}

// NewServer returns a server without brokers.
func NewServer(cfg ServerConfig) *Server { return &Server{cfg: cfg} }
