package permits

import (
	"fmt"
	"strconv"
	"strings"

	"dandelionsill.org/decide/members"
	decide "dandelionsill.org/decide/permits"
	"dandelionsill.org/decide/topology"
)

// shardKey names what one broker decides for: the servers of a service, or a part of them. It
// holds the number of shards, so that gateways that know different numbers of servers agree on
// the servers of a broker.
type shardKey struct {
	service string
	region  string // of the servers; empty: of all regions
	shard   int
	shards  int
}

// String returns the name of the shard in logs: that in messages, and "@region" if it holds the
// servers of one region.
func (k shardKey) String() string {
	if k.region == "" {
		return k.name()
	}
	return k.name() + "@" + k.region
}

// name returns the name of the shard in messages, which name its region apart: the service's, and
// "#shard/shards" if there are several.
func (k shardKey) name() string {
	if k.shards <= 1 {
		return k.service
	}
	return fmt.Sprintf("%s#%d/%d", k.service, k.shard, k.shards)
}

// parseKey returns the shard of a name and a region in a message.
func parseKey(name, region string) shardKey {
	whole := shardKey{service: name, region: region, shards: 1}
	at := strings.LastIndexByte(name, '#')
	if at < 0 {
		return whole
	}
	first, second, ok := strings.Cut(name[at+1:], "/")
	if !ok {
		return whole
	}
	shard, err1 := strconv.Atoi(first)
	shards, err2 := strconv.Atoi(second)
	if err1 != nil || err2 != nil || shard < 0 || shard >= shards {
		return whole
	}
	return shardKey{service: name[:at], region: region, shard: shard, shards: shards}
}

// has reports whether a server belongs to the shard. It stays there when it restarts under its
// name, so that what is known of it is not lost.
func (k shardKey) has(server members.Server, places *topology.Topology) bool {
	if k.region != "" && homeOf(server, places) != k.region {
		return false
	}
	return k.shards <= 1 || decide.ShardOf(server.Name, k.shards) == k.shard
}

// homeOf returns the region whose broker looks after a server. One whose region is unknown belongs
// to the first region, so that it has a broker.
func homeOf(server members.Server, places *topology.Topology) string {
	if server.Region != "" || !places.HasSeveralRegions() {
		return server.Region
	}
	return places.Regions()[0]
}

// isSameList reports whether two lists are one slice. Lists are replaced, never modified.
func isSameList(a, b []members.Server) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
