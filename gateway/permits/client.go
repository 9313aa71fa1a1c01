package permits

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"dandelionsill.org/base/boottime"
	"dandelionsill.org/base/trace"
	"dandelionsill.org/decide/members"
	decide "dandelionsill.org/decide/permits"
	"dandelionsill.org/decide/topology"
)

const (
	// idleTimeout is how long a stream stays open without asks and permits.
	idleTimeout = 5 * time.Second
	// regionalIdleTimeout is that of a stream to a region's broker. To open one takes three round
	// trips, which a spilled request has no time for; open, it costs a ping in ten seconds.
	regionalIdleTimeout = 30 * time.Second
	// cleanInterval is how often streams are checked for it.
	cleanInterval = time.Second
	// maxShardsAsked bounds the shards that are asked for one request. A service with several
	// shards has many servers, so that two shards without a free place show that there is none.
	maxShardsAsked = 2
	// maxDraws bounds the servers that are drawn in order to find so many shards.
	maxDraws = 8
)

// Config holds the settings of a Client.
type Config struct {
	VM            string // of this process
	Incarnation   string // of this process
	FailureDomain string // of this process
	// Topology says in which regions processes are; nil: in one.
	Topology *topology.Topology
	// ByRegion: with several regions, the servers of each region have brokers of their own.
	ByRegion bool
	// Ways holds the round trips to other regions; nil: there is one region.
	Ways *topology.Ways
	// Members returns the gateways that serve brokers, this process included if it does.
	Members func() []decide.Member
	// Servers returns the servers of a service.
	Servers func(service string) []members.Server
	// Local serves the brokers of this process without a connection; nil: it serves none.
	Local *Server
	// Now reads a monotonic clock that continues while the VM is suspended; nil: boottime.Now.
	Now func() time.Duration
	// Open opens a stream to the broker at an address (IP:port), which lasts until ctx ends; nil:
	// by gRPC.
	Open   func(ctx context.Context, addr string) (Stream, error)
	Logger *zap.Logger
}

// Client asks brokers for permits. It is safe for concurrent use.
type Client struct {
	cfg Config
	// ctx ends all streams.
	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup // goroutines of streams

	mu       sync.Mutex
	shards   map[shardKey]*shardClient
	byRegion map[string]regionalServers // by service
	full     map[place]fullRegion
	fastest  map[string]fastest // by route
}

// NewClient returns a client without streams. Run must be called.
func NewClient(cfg Config) *Client {
	if cfg.Now == nil {
		cfg.Now = boottime.Now
	}
	if cfg.Open == nil {
		cfg.Open = openGRPC
	}
	c := &Client{cfg: cfg, shards: map[shardKey]*shardClient{}, byRegion: map[string]regionalServers{}, full: map[place]fullRegion{}, fastest: map[string]fastest{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Run closes streams that are not used. It closes all of them when ctx ends; there is no broker
// for this process any more then.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(cleanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.close()
			return
		case <-ticker.C:
		}
		for _, s := range c.all() {
			s.closeIdle()
		}
	}
}

func (c *Client) close() {
	c.cancel()
	for _, s := range c.all() {
		s.closeAll()
	}
	c.loops.Wait()
}

// Acquire asks for a permit for one request to the service and waits for the decision. Exactly
// one result is not nil. ask.ID and ask.Domain are filled in. The error is ErrNoBroker, upon which
// the caller decides by itself, or that of ctx.
func (c *Client) Acquire(ctx context.Context, service string, ask decide.Ask) (*Permit, *Refusal, error) {
	ctx, span := trace.Tracer("gateway: permits").Start(ctx, "permits.acquire", oteltrace.WithAttributes(attribute.String("service", service)))
	defer span.End()
	asked.Add(1)
	ask.Domain = c.cfg.FailureDomain
	ask.Region = c.region()
	permit, refusal, err := c.decide(ctx, service, ask)
	switch {
	case permit != nil:
		granted.Add(1)
		span.SetAttributes(attribute.String("server", permit.Server), attribute.String("reason", permit.Reason))
	case refusal != nil:
		refused.Add(1)
		span.SetAttributes(attribute.String("refused", string(refusal.Kind)))
	default:
		span.SetAttributes(attribute.String("error", err.Error()))
		if errors.Is(err, ErrNoBroker) {
			withoutBroker.Add(1)
		}
	}
	return permit, refusal, err
}

// decide asks the brokers of all regions, or of one after the other.
func (c *Client) decide(ctx context.Context, service string, ask decide.Ask) (*Permit, *Refusal, error) {
	switch {
	case ask.Regions.AllowsNone():
		return nil, noRegion(ask), nil
	case c.isByRegion():
		return c.acquireByRegion(ctx, service, ask)
	default:
		return c.acquire(ctx, service, "", ask, nil)
	}
}

// acquire asks the shard of a random server of a region, or of all if region is empty, and another
// one if there is no place in the first. onQueued, if not nil, is told the estimated wait.
func (c *Client) acquire(ctx context.Context, service, region string, ask decide.Ask, onQueued func(time.Duration)) (*Permit, *Refusal, error) {
	var refusal *Refusal
	var err error
	startedAt := c.cfg.Now()
	for _, key := range c.choose(service, region) {
		permit, newRefusal, newErr := c.shard(key).acquire(ctx, withTimeLeft(ask, c.cfg.Now()-startedAt), onQueued)
		if permit != nil {
			return permit, nil, nil
		}
		if newRefusal != nil {
			refusal = sooner(refusal, newRefusal)
		}
		err = newErr
		if ctx.Err() != nil || newRefusal != nil && newRefusal.Kind == decide.DeadlineTooShort {
			break
		}
	}
	if refusal != nil {
		return nil, refusal, nil
	}
	return nil, nil, errors.Trace(err)
}

// sooner returns the refusal that lets the caller return earlier.
func sooner(a, b *Refusal) *Refusal {
	if a != nil && a.RetryAfter <= b.RetryAfter {
		return a
	}
	return b
}

// withTimeLeft returns the ask as it is after some time.
func withTimeLeft(ask decide.Ask, elapsed time.Duration) decide.Ask {
	ask.Objective = max(0, ask.Objective-elapsed)
	ask.Deadline = max(0, ask.Deadline-elapsed)
	return ask
}

// choose returns the shards to ask, in their order. A random server's shard comes first, so that
// a shard is asked in proportion to its servers.
func (c *Client) choose(service, region string) []shardKey {
	servers := c.servers(service, region)
	shards := decide.Shards(len(servers))
	if shards <= 1 {
		return []shardKey{{service: service, region: region, shards: 1}}
	}
	var keys []shardKey
	for range maxDraws {
		name := servers[rand.IntN(len(servers))].Name
		key := shardKey{service: service, region: region, shard: decide.ShardOf(name, shards), shards: shards}
		if !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
		if len(keys) == maxShardsAsked {
			break
		}
	}
	return keys
}

func (c *Client) shard(key shardKey) *shardClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.shards[key]
	if s == nil {
		s = newShardClient(c, key)
		c.shards[key] = s
	}
	return s
}

func (c *Client) all() []*shardClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	shards := make([]*shardClient, 0, len(c.shards))
	for _, s := range c.shards {
		shards = append(shards, s)
	}
	return shards
}
