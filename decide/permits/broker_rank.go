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
	VM    string
	Addr  string
	Small bool // a VM with little processor time
}

// Ranked returns the gateways in the order in which they are a shard's broker: by
// rendezvous hash of service and shard, small VMs after all others. All gateways with
// the same list agree without an election.
func Ranked(service string, shard int, members []Member) []Member {
	key := route.Hash(service + "/" + strconv.Itoa(shard))
	out := slices.Clone(members)
	slices.SortFunc(out, func(x, y Member) int {
		if x.Small != y.Small {
			if x.Small {
				return 1
			}
			return -1
		}
		wx, wy := route.Rendezvous(key, route.Hash(x.VM)), route.Rendezvous(key, route.Hash(y.VM))
		return cmp.Or(cmp.Compare(wy, wx), cmp.Compare(x.VM, y.VM))
	})
	return out
}

// Shards returns the number of brokers of a service with this many servers.
func Shards(servers int) int { return max(1, (servers+serversPerShard-1)/serversPerShard) }

// ShardOf returns the shard of a server, by its name.
func ShardOf(server string, shards int) int {
	return int(route.Hash(server) % uint64(max(1, shards)))
}
