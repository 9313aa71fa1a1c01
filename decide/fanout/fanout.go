// Package fanout decides from which process each process reads the streams of the log that all
// of them follow. If every process read them from the log, its bandwidth would have to grow with
// the square of the fleet: the number of readers times the entries that all servers write.
//
// The gateways of each failure domain form a tree. A few roots read from the log; every other
// process reads from its parent, which serves the records it has read itself. Each process
// derives the tree from the list of gateways and from the parents that have failed it, so that
// processes need not agree: a parent always ranks before its children, whatever else they believe
// to have failed, so that no cycle exists. The package does no I/O and reads no clock.
package fanout

import (
	"cmp"
	"slices"
	"time"

	"dandelionsill.org/decide/route"
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
)

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
	used  bool // the fleet is large enough
}

// NewTree returns the tree of a process, in which it reads directly if others is short; others
// are the other gateways. An agent has no address.
func NewTree(self Member, others []Member) *Tree {
	t := &Tree{agent: self.Addr == "", hash: route.Hash(self.VM), used: len(others) >= minGateways && self.FailureDomain != ""}
	if !t.used {
		return t
	}
	for _, m := range others {
		if m.FailureDomain == self.FailureDomain && m.Addr != "" {
			t.ranked = append(t.ranked, m)
		}
	}
	slices.SortFunc(t.ranked, compareRank)
	if !t.agent {
		rank, _ := slices.BinarySearchFunc(t.ranked, self, compareRank)
		t.ranked = t.ranked[:rank]
	}
	return t
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
// log: their number then doubles every staleStep, because it may be only they that can't reach the
// log. If it can't be reached at all, few processes read from it when it is available again.
func (t *Tree) Roots(isDead func(vm string) bool, staleFor time.Duration) (roots []Member, isRoot bool) {
	count := rootCount << min(staleFor/staleStep, maxDoublings)
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
		return alive[t.hash%uint64(min(len(alive), 2*rootCount+len(alive)/agentCount))], true
	}
	if len(alive) < rootCount {
		return Member{}, false
	}
	return alive[(len(alive)-rootCount)/childCount], true
}
