package server

import (
	"time"

	"dandelionsill.org/decide/members"
	decidepermits "dandelionsill.org/decide/permits"
	"dandelionsill.org/gateway/forward"
	"dandelionsill.org/gateway/view"
	"dandelionsill.org/platform/hosted"
)

// soleAfter is how long after its start a process counts its brokers as the only ones, if it is the
// first in rank: the process that was the first before has learnt of it by then.
const soleAfter = 8 * time.Second

// grantsFunc returns how many permits for a server a broker may grant, as permits.ServerConfig.Grants.
type grantsFunc func(server *members.Server, region string, shard int, now time.Time) (int, bool)

// forwarders returns the names of all processes that forward requests; none before they are known.
func forwarders(peers *hosted.Peers, self string) []string {
	select {
	case <-peers.Loaded():
	default:
		return nil
	}
	names := []string{self}
	for _, m := range peers.Members() {
		names = append(names, m.VM)
	}
	return names
}

// ownGrants returns the grants of the broker that decides for this process alone.
func ownGrants(f *forward.Forwarder) grantsFunc {
	return func(server *members.Server, _ string, _ int, now time.Time) (int, bool) {
		return f.FloorGrants(server, now)
	}
}

// fleetGrants returns the grants of this process's brokers for all gateways. A broker beside the first
// in rank is at work while some gateways don't reach that: it grants little, and so does a first one
// that may not know that another is the first now.
func fleetGrants(f *forward.Forwarder, v *view.View, self string, brokers func() []decidepermits.Member) grantsFunc {
	startedAt := time.Now()
	return func(server *members.Server, region string, shard int, now time.Time) (int, bool) {
		if _, isBounded := f.FloorGrants(server, now); !isBounded {
			return 0, false
		}
		ranked := decidepermits.Ranked(server.Service, region, shard, brokers())
		isSole := v.IsFresh() && len(ranked) > 0 && ranked[0].VM == self && now.Sub(startedAt) >= soleAfter
		return f.BrokerGrants(server, isSole, now)
	}
}
