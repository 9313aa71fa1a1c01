package permits

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/decide/evidence"
	"dandelionsill.org/decide/members"
	decide "dandelionsill.org/decide/permits"
	"dandelionsill.org/decide/topology"
	"dandelionsill.org/wire/pb"
)

const (
	oneWay     = 20 * time.Millisecond // between the regions
	worldSlots = 6
	worldWork  = 25 * time.Millisecond // of a request at a usual server
	objective  = 200 * time.Millisecond
	deadline   = 2 * time.Second
)

// world is a fleet of gateways in two regions, near and far, whose brokers decide as in production,
// with servers that take time.
type world struct {
	t       *testing.T
	ctx     context.Context
	places  *topology.Topology
	members []decide.Member
	servers []members.Server
	nodes   map[string]*Server // by address
	clients map[string][]*Client
	rng     *rand.Rand
	calls   sync.WaitGroup

	mu      sync.Mutex
	cut     chan struct{} // not nil: nothing passes between the regions until it is closed
	slow    map[string]int
	running map[string]int // by server
	most    map[string]int
	counts  map[string]*counts // by region, or by name of a group of calls
}

// counts is what came of a group of calls.
type counts struct{ calls, inTime, late, refused, withoutBroker, away int }

func (c counts) share() float64 { return float64(c.inTime) / float64(c.calls) }
func (c counts) home() float64  { return 1 - float64(c.away)/float64(c.calls) }

func newWorld(t *testing.T, byRegion bool, near, far int) *world {
	places, err := topology.Parse([]string{"n0:near", "n1:near", "n2:near", "f0:far", "f1:far", "f2:far"})
	require.NoError(t, err)
	w := &world{t: t, ctx: t.Context(), places: places, nodes: map[string]*Server{}, clients: map[string][]*Client{}, rng: rand.New(rand.NewPCG(4, 5)),
		slow: map[string]int{}, running: map[string]int{}, most: map[string]int{}, counts: map[string]*counts{}}
	for region, n := range map[string]int{"near": near, "far": far} {
		for i := range n {
			id := fmt.Sprintf("%s-%d", region, i)
			w.servers = append(w.servers, members.Server{ID: id, Name: id, Slots: worldSlots, Region: region, FailureDomain: fmt.Sprintf("%s%d", region[:1], i%3)})
		}
	}
	for i := range 12 {
		region := []string{"near", "far"}[i%2]
		w.members = append(w.members, decide.Member{VM: fmt.Sprintf("vm-%d", i), Addr: fmt.Sprintf("10.0.0.%d:%s", i, region), Region: region, Domain: fmt.Sprintf("%s%d", region[:1], i/2%3)})
	}
	started := time.Now()
	now := func() time.Duration { return time.Since(started) + time.Second }
	for _, m := range w.members {
		ways := topology.NewWays(m.Region)
		server := NewServer(ServerConfig{
			Servers: w.list, Topology: places, Logger: zap.NewNop(), NewBroker: func(string) Broker {
				cfg := decide.DefaultConfig()
				cfg.Way = func(region string) time.Duration { return ways.Estimate(now(), region) }
				return decide.New(cfg, evidence.New(evidence.Default))
			},
		})
		w.nodes[m.Addr] = server
		go server.Run(w.ctx)
		c := NewClient(Config{
			VM: m.VM, Incarnation: "1", FailureDomain: m.Domain, Servers: w.list, Logger: zap.NewNop(), Local: server, Topology: places, ByRegion: byRegion, Ways: ways,
			Members: func() []decide.Member { return w.members }, Now: now,
			Open: func(ctx context.Context, addr string) (Stream, error) { return w.open(ctx, m.Region, addr) },
		})
		go c.Run(w.ctx)
		w.clients[m.Region] = append(w.clients[m.Region], c)
	}
	return w
}

func (w *world) list(string) []members.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers
}

func (w *world) open(ctx context.Context, region, addr string) (Stream, error) {
	inner := openLocal(ctx, w.nodes[addr])
	if strings.HasSuffix(addr, ":"+region) {
		return inner, nil
	}
	if !w.pass(ctx, time.Now().Add(oneWay)) { // the connection's round trip
		return nil, errors.Trace(ctx.Err())
	}
	s := &farStream{world: w, ctx: ctx, inner: inner, requests: make(chan farRequest, 1000), replies: make(chan farReply, 1000)}
	go s.sendAll()
	go s.receiveAll()
	return s, nil
}

// pass waits until a message that is due at a time has passed the link; false: ctx ended before.
func (w *world) pass(ctx context.Context, at time.Time) bool {
	if !sleep(ctx, time.Until(at)) {
		return false
	}
	w.mu.Lock()
	cut := w.cut
	w.mu.Unlock()
	if cut == nil {
		return true
	}
	select {
	case <-cut:
		return true
	case <-ctx.Done():
		return false
	}
}

// cutLink holds all messages between the regions until the result is called.
func (w *world) cutLink() (heal func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = make(chan struct{})
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		close(w.cut)
		w.cut = nil
	}
}

// farStream is a stream whose messages take the way between the regions.
type farStream struct {
	world    *world
	ctx      context.Context
	inner    Stream
	requests chan farRequest
	replies  chan farReply
}

type farRequest struct {
	req *pb.PermitRequest
	at  time.Time
}

type farReply struct {
	reply *pb.PermitReply
	err   error
	at    time.Time
}

func (s *farStream) sendAll() {
	for {
		select {
		case r := <-s.requests:
			if !s.world.pass(s.ctx, r.at) || s.inner.Send(r.req) != nil {
				return
			}
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *farStream) receiveAll() {
	for {
		reply, err := s.inner.Recv()
		select {
		case s.replies <- farReply{reply, err, time.Now().Add(oneWay)}:
		case <-s.ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

func (s *farStream) Send(req *pb.PermitRequest) error {
	return passLocal(s.ctx, s.requests, farRequest{req, time.Now().Add(oneWay)})
}

func (s *farStream) Recv() (*pb.PermitReply, error) {
	r, err := takeLocal(s.ctx, s.replies)
	if err != nil {
		return nil, err
	}
	if !s.world.pass(s.ctx, r.at) {
		return nil, s.ctx.Err()
	}
	return r.reply, r.err
}

// offer lets callers in a region make calls at random times, and returns after the last one. Their
// results are counted under the name too.
func (w *world) offer(region, name string, perSecond float64, length time.Duration, ask decide.Ask) {
	end := time.Now().Add(length)
	for {
		w.mu.Lock()
		wait := time.Duration(w.rng.ExpFloat64() / perSecond * float64(time.Second))
		c := w.clients[region][w.rng.IntN(len(w.clients[region]))]
		w.mu.Unlock()
		if time.Now().Add(wait).After(end) {
			time.Sleep(time.Until(end))
			return
		}
		time.Sleep(wait)
		w.calls.Go(func() { w.call(c, region, name, ask) })
	}
}

// call makes a call as a gateway does, without a second attempt.
func (w *world) call(c *Client, region, name string, ask decide.Ask) {
	ask.Route, ask.Objective, ask.Deadline, ask.Repeatable = "lookup", objective, deadline, true
	start := time.Now()
	permit, refusal, err := c.Acquire(w.ctx, "echo", ask)
	if permit != nil {
		w.serve(permit, region)
	}
	took := time.Since(start)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, key := range []string{region, name} {
		if w.counts[key] == nil {
			w.counts[key] = &counts{}
		}
		n := w.counts[key]
		n.calls++
		switch {
		case err != nil:
			n.withoutBroker++
		case refusal != nil:
			n.refused++
		case took <= objective:
			n.inTime++
		default:
			n.late++
		}
		if permit != nil && !strings.HasPrefix(permit.Server, region) {
			n.away++
		}
	}
}

// serve takes the time of a request at the permit's server and on the way.
func (w *world) serve(permit *Permit, region string) {
	way := time.Duration(0)
	if !strings.HasPrefix(permit.Server, region) {
		way = oneWay
	}
	time.Sleep(way)
	w.mu.Lock()
	w.running[permit.Server]++
	w.most[permit.Server] = max(w.most[permit.Server], w.running[permit.Server])
	took := worldWork * time.Duration(max(1, w.slow[permit.Server]))
	w.mu.Unlock()
	time.Sleep(took)
	w.mu.Lock()
	w.running[permit.Server]--
	w.mu.Unlock()
	time.Sleep(way)
	permit.Done(took+2*way, evidence.Answered)
}

// of returns what came of a group of calls.
func (w *world) of(name string) counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.counts[name] == nil {
		return counts{}
	}
	return *w.counts[name]
}

// inUse returns the permits that all brokers count as in use, and their queued asks.
func (w *world) inUse() (held, waiting int) {
	for _, n := range w.nodes {
		held += n.sum(func(b *broker) int { return b.held })
		waiting += n.sum(func(b *broker) int { return b.waiting })
	}
	return held, waiting
}
