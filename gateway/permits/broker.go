package permits

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/decide/evidence"
	"dandelionsill.org/decide/members"
	decide "dandelionsill.org/decide/permits"
	"dandelionsill.org/wire/pb"
)

const (
	// heartbeatInterval is how often a gateway with queued asks is sent something.
	heartbeatInterval = 100 * time.Millisecond
	// gatewayTimeout is how long the permits of a gateway without a stream are remembered. It is
	// longer than a request runs.
	gatewayTimeout = time.Minute
)

// broker connects the decisions for one shard with the gateways' streams.
type broker struct {
	key       shardKey
	cfg       ServerConfig
	startedAt time.Time

	observer observer

	// streams and unusedSince are guarded by Server.mu.
	streams     int
	unusedSince time.Time

	mu       sync.Mutex
	decider  Broker
	servers  []members.Server // as last passed to decider
	renewAt  time.Time        // when the list is passed on again although it has not changed; zero: never
	gateways map[string]*gateway
	waiting  int // asks that were neither granted nor refused
	held     int // permits in use
}

// gateway is what a broker keeps of a gateway.
type gateway struct {
	name, domain, region string
	subscriber           *subscriber // nil: it has no stream
	lostAt               time.Time   // when it lost its stream
	waiting              map[uint64]struct{}
	held                 map[uint64]string // server by permit
}

func newBroker(key shardKey, cfg ServerConfig) *broker {
	return &broker{
		key: key, cfg: cfg, startedAt: cfg.Now(), decider: cfg.NewBroker(key.String()), gateways: map[string]*gateway{},
		observer: observer{log: cfg.Logger.With(zap.Stringer("service", key))},
	}
}

// open registers a gateway's stream, which replaces an earlier one, by its first message.
func (b *broker) open(now time.Time, first *pb.PermitRequest) *subscriber {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh(now)
	g := b.gateways[first.GetGateway()]
	if g == nil {
		g = &gateway{name: first.GetGateway(), waiting: map[uint64]struct{}{}, held: map[uint64]string{}}
		b.gateways[g.name] = g
	}
	if g.subscriber != nil {
		b.detach(now, g, "a newer stream of the gateway")
	}
	g.domain = first.GetFailureDomain()
	g.region = b.cfg.Topology.RegionOf(g.domain)
	g.subscriber = newSubscriber(g, now)
	b.reconcile(now, g, first.GetInUse())
	b.process(now, g, first)
	return g.subscriber
}

// reconcile takes over which permits a gateway uses. Those that were granted on an earlier stream
// and are not among them never arrived.
func (b *broker) reconcile(now time.Time, g *gateway, inUse []*pb.PermitInUse) {
	listed := make(map[uint64]bool, len(inUse))
	for _, permit := range inUse {
		if permit.GetServer() == "" {
			continue
		}
		listed[permit.GetId()] = true
		b.hold(g, permit.GetId(), permit.GetServer())
		b.decider.InUse(now, decide.AskID{Gateway: g.name, Number: permit.GetId()}, permit.GetServer())
	}
	for id := range g.held {
		if !listed[id] {
			b.free(now, g, decide.Report{ID: decide.AskID{Gateway: g.name, Number: id}, Outcome: evidence.Unused})
		}
	}
}

// receive processes a message of a gateway.
func (b *broker) receive(now time.Time, sub *subscriber, req *pb.PermitRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if sub.gateway.subscriber != sub {
		return
	}
	b.refresh(now)
	b.process(now, sub.gateway, req)
}

// process lets places become free before they are asked for.
func (b *broker) process(now time.Time, g *gateway, req *pb.PermitRequest) {
	for _, r := range req.GetReports() {
		b.free(now, g, decodeReport(g.name, r))
	}
	for _, id := range req.GetCancelled() {
		if _, ok := g.waiting[id]; !ok {
			continue // granted meanwhile: the gateway gives the permit back
		}
		b.setWaiting(g, id, false)
		b.deliver(now, b.decider.Cancel(now, decide.AskID{Gateway: g.name, Number: id}))
	}
	for _, ask := range req.GetAsks() {
		if _, ok := g.waiting[ask.GetId()]; ok || g.held[ask.GetId()] != "" {
			continue
		}
		b.setWaiting(g, ask.GetId(), true)
		b.deliver(now, b.decider.Ask(now, decodeAsk(g, ask)))
	}
}

// free reports a permit of a gateway, once.
func (b *broker) free(now time.Time, g *gateway, report decide.Report) {
	server, ok := g.held[report.ID.Number]
	if !ok {
		return
	}
	delete(g.held, report.ID.Number)
	b.held--
	report.Server = server
	b.deliver(now, b.decider.Report(now, report))
}

// deliver passes decisions to the streams of their gateways. Permits that can't be delivered are
// given back, which may lead to further decisions.
func (b *broker) deliver(now time.Time, decisions []decide.Decision) {
	for len(decisions) > 0 {
		d := decisions[0]
		decisions = decisions[1:]
		if b.pass(d) || d.Kind != decide.Granted {
			continue
		}
		decisions = append(decisions, b.decider.Report(now, decide.Report{ID: d.ID, Server: d.Server, Outcome: evidence.Unused})...)
	}
}

// pass reports whether the gateway of a decision has a stream.
func (b *broker) pass(d decide.Decision) bool {
	g := b.gateways[d.ID.Gateway]
	if g == nil || g.subscriber == nil {
		return false
	}
	if d.Kind != decide.Queued {
		b.setWaiting(g, d.ID.Number, false)
	}
	if d.Kind == decide.Granted {
		b.hold(g, d.ID.Number, d.Server)
	}
	g.subscriber.add(d)
	return true
}

// unsent gives back the permits among decisions that could not be sent.
func (b *broker) unsent(now time.Time, decisions []decide.Decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.giveBack(now, decisions)
}

func (b *broker) giveBack(now time.Time, decisions []decide.Decision) {
	for _, d := range decisions {
		if g := b.gateways[d.ID.Gateway]; g != nil && d.Kind == decide.Granted {
			b.free(now, g, decide.Report{ID: d.ID, Outcome: evidence.Unused})
		}
	}
}

// close removes a stream.
func (b *broker) close(now time.Time, sub *subscriber) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if sub.gateway.subscriber == sub {
		b.detach(now, sub.gateway, "closed")
	}
}

// detach ends the stream of a gateway: its asks are forgotten, and its permits end with their
// requests' deadlines unless it opens another stream.
func (b *broker) detach(now time.Time, g *gateway, why string) {
	sub := g.subscriber
	g.subscriber, g.lostAt = nil, now
	sub.end(why)
	lost := len(g.waiting)
	b.waiting -= lost
	clear(g.waiting)
	b.deliver(now, b.decider.Forget(now, g.name))
	b.giveBack(now, sub.take(now))
	if lost+len(g.held) > 0 {
		b.cfg.Logger.Info("A gateway's stream ended.", zap.Stringer("service", b.key), zap.String("gateway", g.name), zap.String("why", sub.why),
			zap.Int("asks", lost), zap.Int("permits", len(g.held)))
	}
}

// tick lets time pass.
func (b *broker) tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh(now)
	if b.waiting+b.held > 0 {
		b.deliver(now, b.decider.Tick(now))
	}
	for name, g := range b.gateways {
		if g.subscriber != nil {
			g.subscriber.heartbeat(now, len(g.waiting) > 0)
			continue
		}
		if now.Sub(g.lostAt) >= gatewayTimeout {
			b.reconcile(now, g, nil)
			delete(b.gateways, name)
		}
	}
}

const (
	// rampInterval is how often the places of servers that have just been taken back are passed on.
	rampInterval = 100 * time.Millisecond
	// grantsInterval is how often the grants of servers that may be cold are passed on. They depend on
	// the time, on the other brokers and on the store, also while no entry of a server changes.
	grantsInterval = 500 * time.Millisecond
)

// refresh passes on the list of servers if it has changed, or what holds of a server for a time only.
func (b *broker) refresh(now time.Time) {
	servers := b.cfg.Servers(b.key.service)
	if isSameList(servers, b.servers) && (b.renewAt.IsZero() || now.Before(b.renewAt)) {
		return
	}
	b.servers, b.renewAt = servers, time.Time{}
	var own []decide.Server
	for _, s := range servers {
		if b.key.has(s, b.cfg.Topology) {
			server := decide.Server{ID: s.ID, Name: s.Name, Domain: s.FailureDomain, Region: s.Region, Slots: s.SlotsAt(now), Leaving: !s.TakesWork(), Evacuated: s.Evacuated}
			if b.cfg.Grants != nil {
				server.Grants, server.IsBounded = b.cfg.Grants(&s, b.key.region, b.key.shard, now)
			}
			switch {
			case s.IsRamping(now):
				b.renewAt = now.Add(rampInterval)
			case server.IsBounded && b.renewAt.IsZero():
				b.renewAt = now.Add(grantsInterval)
			}
			own = append(own, server)
		}
	}
	b.deliver(now, b.decider.SetServers(now, own))
}

func (b *broker) load() decide.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.decider.Load()
}

func (b *broker) hold(g *gateway, id uint64, server string) {
	if _, ok := g.held[id]; !ok {
		b.held++
	}
	g.held[id] = server
}

// setWaiting records whether an ask waits for its decision.
func (b *broker) setWaiting(g *gateway, id uint64, waits bool) {
	before := len(g.waiting)
	if waits {
		g.waiting[id] = struct{}{}
	} else {
		delete(g.waiting, id)
	}
	b.waiting += len(g.waiting) - before
}
