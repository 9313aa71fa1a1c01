package permits

import (
	"cmp"
	"slices"
	"strconv"

	"dandelionsill.org/decide/route"
)

// serversPerShard is the number of servers that one broker looks after: its work for an
// ask grows with their number.
const serversPerShard = 32

// Member is a gateway that may be a broker.
type Member struct {
	VM     string
	Addr   string
	Small  bool   // a VM with little processor time
	Domain string // failure domain; empty: unknown
	Region string // of the failure domain; empty: unknown
}

// Ranked returns the gateways in the order in which they are the broker of a shard of a region's
// servers, or of all servers if region is empty: by rendezvous hash, those of the region before
// all others, and small VMs after others. The second one, the standby, lies in another failure
// domain than the first if there is one. All gateways with the same list agree without an election.
func Ranked(service, region string, shard int, members []Member) []Member {
	name := service
	if region != "" {
		name += "@" + region
	}
	key := route.Hash(name + "/" + strconv.Itoa(shard))
	class := func(m Member) int {
		c := 0
		if region != "" && m.Region != region {
			c += 2
		}
		if m.Small {
			c++
		}
		return c
	}
	out := slices.Clone(members)
	slices.SortFunc(out, func(x, y Member) int {
		wx, wy := route.Rendezvous(key, route.Hash(x.VM)), route.Rendezvous(key, route.Hash(y.VM))
		return cmp.Or(cmp.Compare(class(x), class(y)), cmp.Compare(wy, wx), cmp.Compare(x.VM, y.VM))
	})
	spreadStandby(out, class)
	return out
}

// spreadStandby moves the first gateway to the second rank that is of the same class as the one
// there, and in another failure domain than the first.
func spreadStandby(ranked []Member, class func(Member) int) {
	if len(ranked) < 2 || ranked[0].Domain == "" {
		return
	}
	for i, m := range ranked[1:] {
		if class(m) != class(ranked[1]) {
			return
		}
		if m.Domain != "" && m.Domain != ranked[0].Domain {
			copy(ranked[2:], ranked[1:i+1])
			ranked[1] = m
			return
		}
	}
}

// Shards returns the number of brokers of a service with this many servers.
func Shards(servers int) int { return max(1, (servers+serversPerShard-1)/serversPerShard) }

// ShardOf returns the shard of a server, by its name.
func ShardOf(server string, shards int) int {
	return int(route.Hash(server) % uint64(max(1, shards)))
}
