package permits

import (
	"context"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"dandelionsill.org/base/run"
	decide "dandelionsill.org/decide/permits"
	"dandelionsill.org/wire/pb"
)

// loadKnownAfter is how long a broker has to run until its load is that of the service: gateways
// that used another broker open their streams meanwhile.
const loadKnownAfter = 2 * time.Second

// Load implements pb.PermitBrokerServer. It adds up the shards of the service that have their
// broker here.
func (s *Server) Load(_ context.Context, req *pb.ServiceLoadRequest) (*pb.ServiceLoadReply, error) {
	now := s.cfg.Now()
	reply := &pb.ServiceLoadReply{}
	for _, b := range s.all() {
		if b.key.service != req.GetService() {
			continue
		}
		if now.Sub(b.startedAt) < loadKnownAfter {
			return &pb.ServiceLoadReply{}, nil
		}
		addLoad(reply, b.load())
	}
	return reply, nil
}

// addLoad adds the load of a shard.
func addLoad(reply *pb.ServiceLoadReply, load decide.Load) {
	reply.Known = true
	reply.Waiting += uint32(load.Waiting)
	reply.Refused += uint32(load.Refused)
	before := reply.AsksPerS
	reply.AsksPerS += float32(load.AsksPerSecond)
	if reply.AsksPerS > 0 {
		sum := before*float32(reply.MeanUs) + float32(load.AsksPerSecond)*float32(toMicros(load.Mean))
		reply.MeanUs = uint32(sum / reply.AsksPerS)
	}
	for _, d := range load.Domains {
		reply.Domains = append(reply.Domains, &pb.DomainLoad{
			FailureDomain: d.Domain, Servers: uint32(d.Servers), Places: uint32(d.Places), Running: uint32(d.Running),
		})
	}
}

// Brokers returns the brokers of a service's shards, each once, for calls of Load. It returns none
// if a shard has no broker that works.
func (c *Client) Brokers(service string) []pb.PermitBrokerClient {
	seen := map[string]bool{}
	var brokers []pb.PermitBrokerClient
	for _, key := range c.keys(service) {
		if key.region != "" {
			c.shard(key).keepOpen() // a region without callers has a broker too
		}
		member, ok := c.shard(key).member()
		if !ok {
			return nil
		}
		if !seen[member.VM] {
			seen[member.VM] = true
			brokers = append(brokers, &loadClient{client: c, member: member})
		}
	}
	return brokers
}

// keepOpen opens a stream to the broker if there is none, and keeps it from being idle.
func (s *shardClient) keepOpen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.client.cfg.Now()
	if session := s.choose(now); session != nil {
		session.lastAskAt = now
	}
}

// member returns the broker that is asked for permits now.
func (s *shardClient) member() (decide.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		return s.current.member, true
	}
	return s.best(s.client.cfg.Now())
}

// loadClient asks a broker for its load, by a connection for each call: only one process of all
// asks, and seldom.
type loadClient struct {
	client *Client
	member decide.Member
}

// Load implements pb.PermitBrokerClient.
func (l *loadClient) Load(ctx context.Context, req *pb.ServiceLoadRequest, opts ...grpc.CallOption) (*pb.ServiceLoadReply, error) {
	if cfg := &l.client.cfg; cfg.Local != nil && l.member.VM == cfg.VM {
		return cfg.Local.Load(ctx, req)
	}
	conn, err := run.NewClient(l.member.Addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer conn.Close()
	reply, err := pb.NewPermitBrokerClient(conn).Load(ctx, req, opts...)
	return reply, errors.Annotatef(err, "load at broker %s", l.member.VM)
}

// Exchange implements pb.PermitBrokerClient. Permits are asked for by Acquire.
func (l *loadClient) Exchange(context.Context, ...grpc.CallOption) (grpc.BidiStreamingClient[pb.PermitRequest, pb.PermitReply], error) {
	return nil, status.Error(codes.Unimplemented, "this client is for loads")
}
