package permits

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/metrics"
	"dandelionsill.org/decide/members"
	"dandelionsill.org/decide/topology"
	"dandelionsill.org/wire/pb"
)

const (
	// tickInterval is how often the queues of brokers are looked through.
	tickInterval = 50 * time.Millisecond
	// refusalLogInterval is the least time between two log lines on refused streams.
	refusalLogInterval = 10 * time.Second
	// brokerTimeout is how long a broker is kept without a stream.
	brokerTimeout = 10 * time.Second
)

var (
	streamsRefused = metrics.Counter("permits_streams_refused_total")
	streamsStalled = metrics.Counter("permits_streams_stalled_total")
)

// ServerConfig holds the settings of a Server.
type ServerConfig struct {
	// NewBroker returns the broker of a service, or of a shard of its servers.
	NewBroker func(service string) Broker
	// Servers returns the servers of a service. A list is replaced when it changes, not modified.
	Servers func(service string) []members.Server
	// Topology says in which regions gateways are; nil: in one.
	Topology *topology.Topology
	// Grants returns how many permits for a server of a region's shard its broker may grant in any
	// decide.GrantWindow; false: any number. nil: any number at all.
	Grants func(server *members.Server, region string, shard int, now time.Time) (int, bool)
	// Now reads a monotonic clock; nil: time.Now.
	Now    func() time.Time
	Logger *zap.Logger
}

// Server runs the brokers of this process. It is safe for concurrent use.
type Server struct {
	pb.UnimplementedPermitBrokerServer
	cfg      ServerConfig
	refusals *zap.Logger   // limited, since a faulty process may try again and again
	started  chan struct{} // has a value after the first broker was added
	leaving  chan struct{} // closed by Leave

	mu        sync.Mutex
	brokers   map[shardKey]*broker
	isLeaving bool
}

// NewServer returns a server without brokers.
func NewServer(cfg ServerConfig) *Server {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	s := &Server{
		cfg: cfg, refusals: logs.Limited(cfg.Logger, refusalLogInterval),
		started: make(chan struct{}, 1), leaving: make(chan struct{}), brokers: map[shardKey]*broker{},
	}
	metrics.Gauge("permits_brokers", func() any { return len(s.all()) })
	metrics.Gauge("permits_queue_length", func() any { return s.sum(func(b *broker) int { return b.waiting }) })
	metrics.Gauge("permits_in_use", func() any { return s.sum(func(b *broker) int { return b.held }) })
	return s
}

// Run lets time pass for the brokers until ctx ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.started:
		}
		for s.tick() {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}
}

// tick reports whether there are brokers.
func (s *Server) tick() bool {
	now := s.cfg.Now()
	brokers := s.all()
	for _, b := range brokers {
		b.tick(now)
		b.observe(now)
		s.drop(b, now)
	}
	return len(brokers) > 0
}

// Leave ends all streams and refuses new ones, so that gateways use other brokers at once. Asks
// that are sent after it returned get no decision. It is called when the process starts to stop.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isLeaving {
		s.isLeaving = true
		close(s.leaving)
	}
}

// Exchange implements pb.PermitBrokerServer.
func (s *Server) Exchange(stream grpc.BidiStreamingServer[pb.PermitRequest, pb.PermitReply]) error {
	return s.exchange(stream.Context(), stream)
}

// brokerStream is a gateway's stream as its broker sees it.
type brokerStream interface {
	Send(*pb.PermitReply) error
	Recv() (*pb.PermitRequest, error)
}

// exchange serves a stream. Its receiving and its sending goroutine end soon after it returns,
// because the stream's context ends then.
func (s *Server) exchange(ctx context.Context, stream brokerStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetService() == "" || first.GetGateway() == "" {
		streamsRefused.Add(1)
		s.refusals.Warn("A stream is refused.", zap.String("gateway", first.GetGateway()), zap.String("service", first.GetService()), zap.String("why", "no gateway or no service"))
		return status.Error(codes.InvalidArgument, "gateway and service must not be empty")
	}
	b := s.join(parseKey(first.GetService(), first.GetRegion()))
	if b == nil {
		return errLeaving
	}
	defer s.part(b)
	sub := b.open(s.cfg.Now(), first)
	defer func() { b.close(s.cfg.Now(), sub) }()
	failed := make(chan error, 2)
	go func() { failed <- s.receive(b, sub, stream) }()
	go func() { failed <- s.send(ctx, b, sub, stream) }()
	select {
	case err = <-failed:
		return err
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	case <-sub.ended:
		return status.Error(codes.Aborted, sub.why)
	case <-s.leaving:
		return errLeaving
	}
}

var errLeaving = status.Error(codes.Unavailable, "this gateway is stopping")

// hasLeft reports whether Leave was called.
func (s *Server) hasLeft() bool {
	select {
	case <-s.leaving:
		return true
	default:
		return false
	}
}

// receive passes on what a gateway sends until its stream ends or this process leaves.
func (s *Server) receive(b *broker, sub *subscriber, stream brokerStream) error {
	for {
		req, err := stream.Recv()
		if err != nil {
			return err
		}
		if s.hasLeft() {
			return errLeaving
		}
		b.receive(s.cfg.Now(), sub, req)
	}
}

// send sends decisions to a gateway until its stream ends.
func (s *Server) send(ctx context.Context, b *broker, sub *subscriber, stream brokerStream) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-sub.wake:
		}
		decisions := sub.take(s.cfg.Now())
		reply := &pb.PermitReply{}
		for _, d := range decisions {
			reply.Decisions = append(reply.Decisions, encodeDecision(d))
		}
		if err := stream.Send(reply); err != nil {
			b.unsent(s.cfg.Now(), decisions)
			return err
		}
	}
}

// join returns the broker of a shard for one more stream; nil: the process is stopping.
func (s *Server) join(key shardKey) *broker {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isLeaving {
		return nil
	}
	b := s.brokers[key]
	if b == nil {
		b = newBroker(key, s.cfg)
		s.brokers[key] = b
		s.cfg.Logger.Info("This process is the broker of a service.", zap.Stringer("service", key))
	}
	b.streams++
	select {
	case s.started <- struct{}{}:
	default:
	}
	return b
}

// part undoes join.
func (s *Server) part(b *broker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.streams--
	b.unusedSince = s.cfg.Now()
}

// drop removes a broker that had no stream for a while.
func (s *Server) drop(b *broker, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.streams > 0 || now.Sub(b.unusedSince) < brokerTimeout {
		return
	}
	delete(s.brokers, b.key)
	s.cfg.Logger.Info("This process is no longer the broker of a service.", zap.Stringer("service", b.key))
}

func (s *Server) all() []*broker {
	s.mu.Lock()
	defer s.mu.Unlock()
	brokers := make([]*broker, 0, len(s.brokers))
	for _, b := range s.brokers {
		brokers = append(brokers, b)
	}
	return brokers
}

// sum adds up a number of all brokers.
func (s *Server) sum(number func(*broker) int) int {
	total := 0
	for _, b := range s.all() {
		b.mu.Lock()
		total += number(b)
		b.mu.Unlock()
	}
	return total
}
