package server

import (
	decide "dandelionsill.org/decide/fanout"
	"dandelionsill.org/decide/residency"
	"dandelionsill.org/decide/topology"
	gatewayjobs "dandelionsill.org/gateway/jobs"
	"dandelionsill.org/platform/hosted"
)

// peerList is the list of gateways.
type peerList interface {
	Addrs() []string
	Members() []decide.Member
	FailureDomain(vm string) string
}

// newPlaces returns where the gateways are, for batch jobs with allowed regions.
func newPlaces(t *topology.Topology, peers peerList, ownDomain string) gatewayjobs.Places {
	return gatewayjobs.Places{
		Region:   t.RegionOf(ownDomain),
		RegionOf: func(vm string) string { return t.RegionOf(peers.FailureDomain(vm)) },
		PeersIn:  func(regions residency.Regions) []string { return peersIn(t, peers, regions) },
	}
}

// peersIn returns the addresses of the other gateways in regions.
func peersIn(t *topology.Topology, peers peerList, regions residency.Regions) []string {
	if !regions.IsRestricted() {
		return peers.Addrs()
	}
	var addrs []string
	for _, m := range peers.Members() {
		if regions.Allows(t.RegionOf(m.FailureDomain)) {
			addrs = append(addrs, m.Addr)
		}
	}
	return addrs
}

// limitRelays makes calls about texts with allowed regions go through gateways in these regions only.
func limitRelays(store *hosted.Store, t *topology.Topology, peers peerList) {
	store.LimitPeers(func(topic string) []string { return peersIn(t, peers, gatewayjobs.RegionsOfTopic(topic)) })
}
