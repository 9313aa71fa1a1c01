package jobs

import (
	"time"

	"dandelionsill.org/decide/fanout"
	"dandelionsill.org/decide/owners"
	"dandelionsill.org/decide/topology"
	"dandelionsill.org/fold/jobs"
)

// Neighbours is what a process knows of where the gateways are.
type Neighbours struct {
	Self fanout.Member
	// Others returns all other gateways.
	Others  func() []fanout.Member
	Regions *topology.Topology
	// LostDomains is how many failure domains may be lost at the same time; 0: the loss of a whole one is
	// not prepared for.
	LostDomains int
}

// bearsLostDomains reports whether the loss of a whole failure domain is prepared for.
func (n *Neighbours) bearsLostDomains() bool { return n != nil && n.LostDomains > 0 }

// ranksClaims reports whether lost owners' jobs are claimed in an order that regards places.
func (n *Neighbours) ranksClaims() bool {
	return n.bearsLostDomains() || n.regions().HasSeveralRegions()
}

// domainOf returns the failure domain of a gateway's VM; empty: unknown.
func (n *Neighbours) domainOf(vm string) string {
	if n == nil {
		return ""
	}
	if vm == n.Self.VM {
		return n.Self.FailureDomain
	}
	for _, m := range n.Others() {
		if m.VM == vm {
			return m.FailureDomain
		}
	}
	return ""
}

// domain returns the failure domain of this process.
func (n *Neighbours) domain() string {
	if n == nil {
		return ""
	}
	return n.Self.FailureDomain
}

// regions returns where failure domains are; nil: unknown.
func (n *Neighbours) regions() *topology.Topology {
	if n == nil {
		return nil
	}
	return n.Regions
}

// isFar reports whether a failure domain lies in another region than this process.
func (n *Neighbours) isFar(domain string) bool {
	return n.regions().Distance(n.domain(), domain) == topology.OtherRegion
}

// isFarAddr reports whether the gateway at an address lies in another region.
func (n *Neighbours) isFarAddr(addr string) bool {
	if !n.regions().HasSeveralRegions() {
		return false
	}
	for _, m := range n.Others() {
		if m.Addr == addr {
			return n.isFar(m.FailureDomain)
		}
	}
	return false
}

// splitOwners divides owners into those in the region of this process and the others.
func (n *Neighbours) splitOwners(all []jobs.OwnerLoad) (near, far []jobs.OwnerLoad) {
	return owners.Split(all, func(o jobs.OwnerLoad) string { return n.domainOf(o.Owner.VM) }, n.domain(), n.regions())
}

// claimDelay returns how long this process lets others claim the jobs of a lost owner first;
// isHeard reports whether a process has written to the log lately.
func (n *Neighbours) claimDelay(owner jobs.Writer, isHeard func(vm string) bool) time.Duration {
	members := n.Others()
	others := make([]owners.Process, 0, len(members))
	lost := owners.Process{VM: owner.VM, FailureDomain: n.domainOf(owner.VM)}
	for i := range members {
		if m := &members[i]; m.VM != owner.VM {
			others = append(others, owners.Process{VM: m.VM, FailureDomain: m.FailureDomain, Small: m.Small, Heard: isHeard(m.VM)})
		}
	}
	self := owners.Process{VM: n.Self.VM, FailureDomain: n.Self.FailureDomain, Small: n.Self.Small, Heard: true}
	return owners.ClaimDelay(lost, owner.Incarnation, self, others, n.Regions)
}

// recentWriters returns the VMs whose processes have written to the log lately; mu is held.
func (x *Index) recentWriters(now time.Time) map[string]bool {
	recent := map[string]bool{}
	for w := range x.lastRecordAt {
		if x.silenceOf(w, now) <= maxCandidateSilence {
			recent[w.VM] = true
		}
	}
	return recent
}
