package permits

import (
	"fmt"
	"strconv"
	"strings"

	"dandelionsill.org/decide/members"
	decide "dandelionsill.org/decide/permits"
)

// shardKey names what one broker decides for: the servers of a service, or a part of them. It
// holds the number of shards, so that gateways that know different numbers of servers agree on
// the servers of a broker.
type shardKey struct {
	service string
	shard   int
	shards  int
}

// String returns the name of the shard in messages: the service's, and "#shard/shards" if there
// are several.
func (k shardKey) String() string {
	if k.shards <= 1 {
		return k.service
	}
	return fmt.Sprintf("%s#%d/%d", k.service, k.shard, k.shards)
}

// parseKey is the inverse of shardKey.String.
func parseKey(name string) shardKey {
	whole := shardKey{service: name, shards: 1}
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
	return shardKey{service: name[:at], shard: shard, shards: shards}
}

// has reports whether a server belongs to the shard. It stays there when it restarts under its
// name, so that what is known of it is not lost.
func (k shardKey) has(server members.Server) bool {
	return k.shards <= 1 || decide.ShardOf(server.Name, k.shards) == k.shard
}

// isSameList reports whether two lists are one slice. Lists are replaced, never modified.
func isSameList(a, b []members.Server) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
