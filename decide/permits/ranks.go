package permits

import (
	"cmp"
	"slices"
	"time"

	"dandelionsill.org/decide/route"
)

// maxShardServers is the number of servers for which one broker decides.
const maxShardServers = 32

// Member is a gateway that may be a broker.
type Member struct {
	VM   string
	Addr string // IP:port of its gRPC listener
	// Small: the VM has little processor time, and ranks after all others.
	Small bool
}

// Ranked returns the members in the order in which they are the broker of a service's shard.
func Ranked(service string, shard int, members []Member) []Member {
	ranked := slices.Clone(members)
	score := make(map[string]uint64, len(ranked))
	for _, m := range ranked {
		score[m.VM] = route.Hash(service + "\x00" + string(rune(shard)) + "\x00" + m.VM)
	}
	slices.SortFunc(ranked, func(a, b Member) int {
		if a.Small != b.Small {
			if a.Small {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(score[b.VM], score[a.VM]), cmp.Compare(a.VM, b.VM))
	})
	return ranked
}

// Shards returns the number of shards of a service with a number of servers.
func Shards(servers int) int { return max(1, (servers+maxShardServers-1)/maxShardServers) }

// ShardOf returns the shard of a server.
func ShardOf(server string, shards int) int {
	return int(route.Hash(server) % uint64(max(1, shards)))
}

// Load is the load of a service, as far as one broker knows it.
type Load struct {
	Domains       []DomainLoad
	Waiting       int // queued asks
	Refused       int // asks refused within the last second
	AsksPerSecond float64
	Mean          time.Duration // mean time of an answer
}

// DomainLoad is the load of the servers of a failure domain.
type DomainLoad struct {
	Domain                   string
	Servers, Places, Running int
}
