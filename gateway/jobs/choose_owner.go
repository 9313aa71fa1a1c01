package jobs

import (
	"slices"
	"time"

	"dandelionsill.org/decide/residency"
	"dandelionsill.org/decide/route"
	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/gateway/reach"
	"dandelionsill.org/gateway/stopping"
)

// SetNeighbours sets what is known of the other gateways. It must be called before the first call.
func (s *Service) SetNeighbours(n *Neighbours) { s.neighbours = n }

// SetReach sets the monitor that tells when this process is cut off: calls then don't wait for the
// log. It must be called before the first call.
func (s *Service) SetReach(m *reach.Monitor) { s.reach = m }

// SetStop sets the stop of this process, which makes it own no further jobs. It must be called before the first call.
func (s *Service) SetStop(stop *stopping.Stop) { s.stop = stop }

// chooseOwner chooses the process that runs a job with that many items; nil: this process.
// It prefers an owner of earlier jobs with a recent heartbeat and enough capacity: such an
// owner has connections to the engines, and knows their pace and what else runs there.
// With a new owner for each step, seven of ten connections were opened for that alone.
// Otherwise the owner is this process, or another process with enough capacity if this one
// is too small.
//
// With several regions it prefers processes of this one's region, where the caller is. Only processes
// in the allowed regions are chosen; if none is known there, or this process stops, the job has no owner until
// a process claims it.
func (s *Service) chooseOwner(items int, allowed residency.Regions) *jobs.Writer {
	s.index.mu.Lock()
	defer s.index.mu.Unlock()
	eligible := s.index.state.EligibleOwners()
	if allowed.IsRestricted() {
		eligible = slices.DeleteFunc(eligible, func(o jobs.OwnerLoad) bool { return !allowed.Allows(s.index.places.regionOf(o.Owner.VM)) })
	}
	isStopping := s.stop.IsStopping()
	if isStopping { // the log may not say yet that this process leaves
		eligible = slices.DeleteFunc(eligible, func(o jobs.OwnerLoad) bool { return o.Owner == s.writer })
	}
	mayOwn := s.index.places.allows(allowed) && !isStopping
	canRun := mayOwn && s.capacity >= items
	near, far := s.neighbours.splitOwners(eligible)
	owner := s.chooseAmong(near, items, canRun)
	if owner == nil && !canRun {
		owner = s.chooseAmong(far, items, false)
	}
	if owner == nil && !mayOwn {
		return &jobs.Writer{}
	}
	return owner
}

// chooseAmong chooses one of the processes for chooseOwner; nil: none, or this one if it can run the
// job. index.mu is held.
func (s *Service) chooseAmong(eligible []jobs.OwnerLoad, items int, canRun bool) *jobs.Writer {
	var candidate *jobs.Writer
	for _, o := range eligible {
		silence := s.index.silenceOf(o.Owner, time.Now())
		switch {
		case o.Items+items > capacityOrDefault(o.Capacity):
		case o.Items > 0 && silence <= maxOwnerSilence, silence <= maxOwnerSilence && o.Capacity >= fullStepItems:
			return &o.Owner
		case candidate == nil && silence <= maxCandidateSilence && o.Capacity >= fullStepItems:
			candidate = &o.Owner
		}
	}
	if canRun {
		return nil
	}
	return candidate
}

func capacityOrDefault(reported int) int {
	if reported == 0 {
		return defaultOwnerCapacity
	}
	return reported
}

// Capacity returns how many items a VM can own at a time. A stream has 27 events of 350 B a
// second, which are appended to the log, and takes about 0.1% of a core. Items beyond the
// engines' slots only wait, for 3 KB of memory each. One owner with all steps of a service
// can choose among all of their items, while two owners compete for slots, so that fewer
// groups are complete in time. A share of processor and link is left for callers.
func Capacity(cpuShare, linkMbps float64) int {
	const (
		itemsPerCore = 2000
		itemsPerMbps = 2
		maxItems     = 1600
	)
	return int(min(maxItems, itemsPerCore*cpuShare, itemsPerMbps*linkMbps))
}

// maxCandidates is the mean number of idle processes that append heartbeats in a large fleet. Each
// heartbeat is read by all gateways: those of all gateways would cost the square of the fleet, and
// take the time that the stream's appends have.
const maxCandidates = 48

// IsCandidate reports whether the process of a VM is one of those that append heartbeats while
// they are idle, so that a step can be given to them. processes is the number of gateways.
func IsCandidate(vm string, processes int) bool {
	return route.Hash(vm)%uint64(max(1, processes)) < maxCandidates
}
