// Package owners decides which process claims the jobs of an owner that is gone, and which owner
// gets a new job, so that the loss of a failure domain costs little. It does no I/O and reads no
// clock.
package owners

import (
	"cmp"
	"time"

	"dandelionsill.org/decide/route"
	"dandelionsill.org/decide/topology"
)

// Process is a process that may own jobs.
type Process struct {
	VM            string
	FailureDomain string
	// Small: it can't run a complete step.
	Small bool
	// Heard: it has written to the log lately.
	Heard bool
}

const (
	// claimStep is how much later each further process claims. A claim is known to all others
	// within it unless the log is slow.
	claimStep = 60 * time.Millisecond
	// maxClaimRank bounds the processes that claim one after the other. The others follow spread
	// over claimSpread: they claim only if all before them have failed.
	maxClaimRank = 6
	claimSpread  = 500 * time.Millisecond
)

// ClaimDelay returns how long a process lets others claim the jobs of a lost owner first. It is
// the same for all jobs of that owner, so that they continue in one process, and differs between
// owners, so that the jobs of a lost failure domain are shared out. incarnation is that of the
// owner's process. Processes of the owner's failure domain come last, because they are likely lost
// or cut off as well, then those that nobody has heard lately, then small ones; the others come
// first if they are in the owner's region, where its texts and engines are near.
//
// Processes need not agree on the others: the log decides between claims.
func ClaimDelay(owner Process, incarnation string, self Process, others []Process, regions *topology.Topology) time.Duration {
	rank := 0
	own := precedenceOf(&owner, incarnation, &self, regions)
	for i := range others {
		if others[i].VM != self.VM && precedenceOf(&owner, incarnation, &others[i], regions).compare(own) < 0 {
			rank++
		}
	}
	if rank < maxClaimRank {
		return time.Duration(rank) * claimStep
	}
	const resolution = 1 << 16
	return maxClaimRank*claimStep + time.Duration(own.hash%resolution)*claimSpread/resolution
}

// precedence orders the processes that may claim an owner's jobs; lower goes first.
type precedence struct {
	class int
	hash  uint64
	vm    string
}

func (p precedence) compare(o precedence) int {
	return cmp.Or(cmp.Compare(p.class, o.class), cmp.Compare(p.hash, o.hash), cmp.Compare(p.vm, o.vm))
}

func precedenceOf(owner *Process, incarnation string, p *Process, regions *topology.Topology) precedence {
	class := 0
	for _, drawback := range []bool{
		p.FailureDomain != "" && p.FailureDomain == owner.FailureDomain,
		!p.Heard,
		p.Small,
		regions.Distance(owner.FailureDomain, p.FailureDomain) == topology.OtherRegion,
	} {
		class <<= 1
		if drawback {
			class |= 1
		}
	}
	return precedence{class: class, hash: route.Hash(owner.VM + incarnation + p.VM), vm: p.VM}
}

// Split divides owners into those in the region of a failure domain and those in other regions,
// both in their order. Without several regions all are near.
func Split[T any](owners []T, domainOf func(T) string, domain string, regions *topology.Topology) (near, far []T) {
	if !regions.HasSeveralRegions() {
		return owners, nil
	}
	for _, o := range owners {
		if regions.Distance(domain, domainOf(o)) == topology.OtherRegion {
			far = append(far, o)
		} else {
			near = append(near, o)
		}
	}
	return near, far
}
