package server

import (
	"context"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"go.uber.org/zap"

	"dandelionsill.org/base/boottime"
	"dandelionsill.org/base/inbound"
	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/metrics"
	"dandelionsill.org/decide/evidence"
	decide "dandelionsill.org/decide/fanout"
	"dandelionsill.org/decide/members"
	decidepermits "dandelionsill.org/decide/permits"
	"dandelionsill.org/decide/topology"
	"dandelionsill.org/gateway/forward"
	"dandelionsill.org/gateway/permits"
	"dandelionsill.org/gateway/view"
	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/wire/pb"
)

// newBroker returns the broker of a service. ways are those of this process; nil: there is one
// region.
func newBroker(ways *topology.Ways) permits.Broker {
	cfg := decidepermits.DefaultConfig()
	if ways != nil {
		cfg.Way = func(region string) time.Duration { return ways.Estimate(boottime.Now(), region) }
	}
	return decidepermits.New(cfg, evidence.New(evidence.Default))
}

// newWays returns the measured ways of a process to other regions; nil: there is one region.
func newWays(places *topology.Topology, domain string) *topology.Ways {
	if !places.HasSeveralRegions() {
		return nil
	}
	ways := topology.NewWays(places.RegionOf(domain))
	metrics.Gauge("permits_ways", func() any { return ways.All(boottime.Now()) })
	return ways
}

// sharing holds the parts of a gateway by which the places at servers are shared out. A nil
// pointer is valid and does nothing.
type sharing struct {
	addr   string
	server *permits.Server
	client *permits.Client
	// ownServer and ownClient decide for this process alone while no broker answers.
	ownServer *permits.Server
	ownClient *permits.Client
}

// newSharing returns the parts for permits of a process; nil if they are disabled in the settings.
func newSharing(cfg *Gateway, self decide.Member, incarnation string, peers *hosted.Peers, v *view.View, f *forward.Forwarder, log *zap.Logger) *sharing {
	if cfg.Permits.Listen == "" {
		return nil
	}
	servers := func(service string) []members.Server { return v.Current().Servers[service] }
	places, ways := v.Topology, newWays(v.Topology, self.FailureDomain)
	newParts := func(members func() []decidepermits.Member, byRegion bool, grants grantsFunc, log *zap.Logger) (*permits.Server, *permits.Client) {
		server := permits.NewServer(permits.ServerConfig{
			NewBroker: func(string) permits.Broker { return newBroker(ways) }, Servers: servers, Topology: places, Grants: grants, Logger: log,
		})
		return server, permits.NewClient(permits.Config{
			VM: self.VM, Incarnation: incarnation, FailureDomain: self.FailureDomain, Servers: servers, Local: server, Members: members, Logger: log,
			Topology: places, ByRegion: byRegion, Ways: ways,
		})
	}
	s := &sharing{addr: cfg.Permits.Listen}
	s.ownServer, s.ownClient = newParts(func() []decidepermits.Member { return brokers(self, nil, places) }, false, ownGrants(f), logs.Part(log, "own"))
	// Made last: the gauges are those of the newest server.
	members := func() []decidepermits.Member { return brokers(self, peers.Members(), places) }
	s.server, s.client = newParts(members, cfg.Permits.ByRegion, fleetGrants(f, v, self.VM, members), log)
	return s
}

// brokers returns the gateways that serve brokers. Their failure domains count if their regions are
// known.
func brokers(self decide.Member, others []decide.Member, places *topology.Topology) []decidepermits.Member {
	found := make([]decidepermits.Member, 0, len(others)+1)
	add := func(m decide.Member) {
		if m.Permits != "" {
			member := decidepermits.Member{VM: m.VM, Addr: m.Permits, Small: m.Small, Region: places.RegionOf(m.FailureDomain)}
			if member.Region != "" {
				member.Domain = m.FailureDomain
			}
			found = append(found, member)
		}
	}
	add(self)
	for _, m := range others {
		add(m)
	}
	return found
}

// use makes the forwarder ask for permits.
func (s *sharing) use(f *forward.Forwarder, maxPatience float64) {
	if s != nil {
		f.UsePermits(&permits.Fallback{Fleet: s.client, Own: s.ownClient}, maxPatience)
	}
}

// brokers returns how the brokers of a service are found; nil: there are none.
func (s *sharing) brokers() func(service string) []pb.PermitBrokerClient {
	if s == nil {
		return nil
	}
	return s.client.Brokers
}

// run starts the loops that end with ctx.
func (s *sharing) run(ctx context.Context, loop func(func())) {
	if s == nil {
		return
	}
	for _, server := range []*permits.Server{s.server, s.ownServer} {
		loop(func() { server.Run(ctx) })
	}
	for _, client := range []*permits.Client{s.client, s.ownClient} {
		loop(func() { client.Run(ctx) })
	}
}

// servers returns the listener for other gateways.
func (s *sharing) servers(bounds *inbound.Bounds) []transport.Server {
	if s == nil {
		return nil
	}
	server := permits.NewGRPC(s.addr, s.server)
	server.Bounds = bounds
	return []transport.Server{server}
}

// leave ends this process's brokers.
func (s *sharing) leave() {
	if s != nil {
		s.server.Leave()
	}
}
