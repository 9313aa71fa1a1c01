// Package fanout decides from which process each process reads the streams of the log that all
// of them follow. If every process read them from the log, its bandwidth would have to grow with
// the square of the fleet: the number of readers times the entries that all servers write.
//
// The gateways of each failure domain form a tree, or those of each region that is far from the
// log. A few roots read from the log; every other process reads from its parent, which serves the
// records it has read itself. Each process derives the tree from the list of gateways and from the
// parents that have failed it, so that processes need not agree: a parent always ranks before its
// children, whatever else they believe to have failed, so that no cycle exists. The package does no
// I/O and reads no clock.
package fanout

import (
	"cmp"
	"slices"
	"time"

	"dandelionsill.org/decide/route"
	"dandelionsill.org/decide/topology"
)

// Shape of the tree.
const (
	// minGateways is the number of gateways above which trees are used. The log serves fewer
	// processes directly with a fraction of its bandwidth.
	minGateways = 100
	// rootCount is the number of roots in a failure domain. Any of them suffices.
	rootCount = 3
	// childCount is the number of children of a gateway. Two levels below the roots then hold
	// 3,171 gateways of a failure domain, and a parent answers some 600 reads a second.
	childCount = 32
	// agentCount is the number of agents of a gateway that has some, if there are as many agents as
	// gateways. The other gateways serve nobody, and need to read less often.
	agentCount = 16
	// staleStep is longer than most outages of the log. After maxDoublings, all gateways of a large
	// failure domain read from it.
	staleStep    = 3 * time.Second
	maxDoublings = 10
	// regionStaleStep is shorter, because a tree of a region has a single root at first.
	regionStaleStep = time.Second
)

// farRoundTrip is the round trip to the log above which a region is far from it. Within a region
// a round trip takes a few milliseconds, and a level of a tree adds more than that.
const farRoundTrip = 10 * time.Millisecond

// IsFar reports whether processes read through those of their region: there are several regions,
// and the shortest round trip to the log that a process has measured is one between regions. 0
// means that none was measured.
func IsFar(regions *topology.Topology, roundTrip time.Duration) bool {
	return roundTrip > farRoundTrip && regions.HasSeveralRegions()
}

// MaxAge is the age above which a parent's answer is of no use. It is the sum of what the levels
// of a tree add, and below the time after which a process no longer counts as up to date.
const MaxAge = 800 * time.Millisecond

// Member is a gateway.
type Member struct {
	VM            string
	Addr          string // IP:port of its listener for peers
	FailureDomain string
	// Small: the VM has little processor time and bandwidth, and ranks after all others.
	Small bool
	// Permits is the IP:port of its brokers of permits; empty: it serves none.
	Permits string
}

// Tree holds the gateways that may be ancestors of one process, in the order of their rank. It is
// immutable.
type Tree struct {
	ranked []Member // those that precede this process
	// agent: this process has no rank and no children. It is a child of any gateway that may have
	// children; hash chooses which one.
	agent bool
	hash  uint64
	used  bool // processes read through each other
	shape shape
}

// shape is how many gateways of a tree read from the log.
type shape struct {
	roots int
	// staleRoots is their number once the roots have not followed the log for a moment. It doubles
	// each staleStep.
	staleRoots int
	staleStep  time.Duration
}

var (
	domainShape = shape{roots: rootCount, staleRoots: rootCount, staleStep: staleStep}
	regionShape = shape{roots: 1, staleRoots: 2, staleStep: regionStaleStep}
)

// NewTree returns the tree of a process, in which it reads directly if others is short; others
// are the other gateways. An agent has no address.
func NewTree(self Member, others []Member) *Tree {
	t := &Tree{agent: self.Addr == "", hash: route.Hash(self.VM), used: len(others) >= minGateways && self.FailureDomain != "", shape: domainShape}
	if t.used {
		t.rank(self, others, func(m *Member) bool { return m.FailureDomain == self.FailureDomain })
	}
	return t
}

// NewRegionTree returns the tree of a process in a region from which the log is far. It holds the
// gateways of the region, however few they are, and has one root, so that the streams cross the
// link between the regions once. Another gateway becomes the root as soon as the first one is
// silent.
func NewRegionTree(self Member, others []Member, regions *topology.Topology) *Tree {
	region := regions.RegionOf(self.FailureDomain)
	t := &Tree{agent: self.Addr == "", hash: route.Hash(self.VM), used: region != "", shape: regionShape}
	if t.used {
		t.rank(self, others, func(m *Member) bool { return regions.RegionOf(m.FailureDomain) == region })
	}
	return t
}

// rank sets the gateways that precede the process among those that belong to its tree.
func (t *Tree) rank(self Member, others []Member, belongs func(m *Member) bool) {
	for i := range others {
		if m := &others[i]; m.Addr != "" && belongs(m) {
			t.ranked = append(t.ranked, *m)
		}
	}
	slices.SortFunc(t.ranked, compareRank)
	if !t.agent {
		rank, _ := slices.BinarySearchFunc(t.ranked, self, compareRank)
		t.ranked = t.ranked[:rank]
	}
}

// IsUsed reports whether the fleet is large enough for trees.
func (t *Tree) IsUsed() bool { return t.used }

// compareRank orders gateways in the same way in every process. VMs of one rack or image have
// similar names, so that the order is that of hashes.
func compareRank(a, b Member) int {
	if a.Small != b.Small {
		if a.Small {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(route.Hash(a.VM), route.Hash(b.VM)), cmp.Compare(a.VM, b.VM))
}

// IsDirect reports whether the process reads from the log if no gateway has failed.
func (t *Tree) IsDirect() bool {
	_, ok := t.parentAmong(t.ranked)
	return !ok
}

// Parent returns the gateway to read from; false: read from the log. Gateways for which isDead
// returns true count as gone, so that others take their place.
func (t *Tree) Parent(isDead func(vm string) bool) (Member, bool) {
	return t.parentAmong(t.alive(isDead))
}

// Roots returns the gateways that read from the log, as far as they precede the process, and
// whether the process is one of them itself. staleFor is how long none of them has followed the
// log: their number then doubles every few seconds, because it may be only they that can't reach the
// log. If it can't be reached at all, few processes read from it when it is available again.
func (t *Tree) Roots(isDead func(vm string) bool, staleFor time.Duration) (roots []Member, isRoot bool) {
	count := t.shape.staleRoots << min(staleFor/t.shape.staleStep, maxDoublings)
	alive := t.alive(isDead)
	return alive[:min(len(alive), count)], !t.agent && len(alive) < count
}

// alive returns the gateways that precede the process and do not count as gone.
func (t *Tree) alive(isDead func(vm string) bool) []Member {
	alive := make([]Member, 0, len(t.ranked))
	for _, m := range t.ranked {
		if !isDead(m.VM) {
			alive = append(alive, m)
		}
	}
	return alive
}

func (t *Tree) parentAmong(alive []Member) (Member, bool) {
	if t.agent {
		if len(alive) == 0 {
			return Member{}, false
		}
		return alive[t.hash%uint64(min(len(alive), 2*t.shape.roots+len(alive)/agentCount))], true
	}
	if len(alive) < t.shape.roots {
		return Member{}, false
	}
	return alive[(len(alive)-t.shape.roots)/childCount], true
}
