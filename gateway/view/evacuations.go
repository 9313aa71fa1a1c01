package view

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/decide/members"
	"dandelionsill.org/platform"
)

// backMemory is how long a failure domain counts as back after its evacuation: longer than servers
// need to become warm.
const backMemory = time.Minute

var evacuationsSeen = metrics.Counter("view_evacuations_total")

// evacuation is what the operator's newest record on a failure domain says.
type evacuation struct {
	offset uint64
	over   bool
	since  time.Time // when this process read the record
}

// serversIn counts the known servers of a failure domain.
func (s *Snapshot) serversIn(domain string) int {
	n := 0
	for _, servers := range s.Servers {
		for i := range servers {
			if servers[i].FailureDomain == domain {
				n++
			}
		}
	}
	return n
}

// applyEvacuation applies the operator's record of an evacuation; v.mu is held. Records may be read
// out of order: a complete list from another process may be older than changes that were read.
func (v *View) applyEvacuation(next *Snapshot, offset uint64, change *platform.Evacuation) {
	before, known := v.evacuations[change.FailureDomain]
	if known && offset <= before.offset {
		return
	}
	after := evacuation{offset: offset, over: change.Over, since: v.now()}
	wasActive := known && !before.over
	if wasActive && !after.over {
		after.since = before.since
	}
	v.evacuations[change.FailureDomain] = after
	next.Evacuated, next.BackSince = v.activeEvacuations(), v.recentlyBack()
	switch {
	case wasActive == !after.over:
	case after.over:
		v.log.Info("The evacuation of a failure domain is over.", zap.String("failure_domain", change.FailureDomain),
			zap.Uint64("offset", offset), zap.Duration("took", after.since.Sub(before.since)))
	default:
		evacuationsSeen.Add(1)
		v.log.Info("A failure domain is evacuated.", zap.String("failure_domain", change.FailureDomain),
			zap.Uint64("offset", offset), zap.Int("servers", next.serversIn(change.FailureDomain)))
	}
}

// endUnlisted ends the evacuations that a complete list of all records before an offset lacks;
// v.mu is held.
func (v *View) endUnlisted(next *Snapshot, changes []platform.Change, before uint64) {
	listed := map[string]bool{}
	for _, c := range changes {
		if c.Evacuation != nil {
			listed[c.Evacuation.FailureDomain] = true
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(v.evacuations)) {
		if e := v.evacuations[domain]; !e.over && !listed[domain] && e.offset+1 < before {
			v.applyEvacuation(next, before-1, &platform.Evacuation{FailureDomain: domain, Over: true})
		}
	}
}

// activeEvacuations returns when each failure domain that is being evacuated was; v.mu is held.
func (v *View) activeEvacuations() map[string]time.Time {
	active := map[string]time.Time{}
	for domain, e := range v.evacuations {
		if !e.over {
			active[domain] = e.since
		}
	}
	return active
}

// recentlyBack returns since when each failure domain is back whose evacuation has ended within the
// last backMemory; v.mu is held.
func (v *View) recentlyBack() map[string]time.Time {
	back := map[string]time.Time{}
	for domain, e := range v.evacuations {
		if e.over && v.now().Sub(e.since) < backMemory {
			back[domain] = e.since
		}
	}
	return back
}

// forgetBack publishes a snapshot without the failure domains that have been back for backMemory;
// v.mu is held.
func (v *View) forgetBack() {
	if current := v.current.Load(); len(current.BackSince) > 0 && len(v.recentlyBack()) < len(current.BackSince) {
		next := *current
		next.BackSince = v.recentlyBack()
		next.Servers = next.markServers(next.Servers)
		v.current.Store(&next)
		v.Changed.Notify()
	}
}

// markServers returns the servers of all services with what the snapshot knows of their failure
// domains. Lists in which nothing changes are kept.
func (s *Snapshot) markServers(byService map[string][]members.Server) map[string][]members.Server {
	marked := make(map[string][]members.Server, len(byService))
	for service, servers := range byService {
		marked[service] = s.markList(servers)
	}
	return marked
}

func (s *Snapshot) markList(servers []members.Server) []members.Server {
	out := servers
	for i := range servers {
		domain := servers[i].FailureDomain
		_, isEvacuated := s.Evacuated[domain]
		back := s.BackSince[domain]
		if servers[i].Evacuated == isEvacuated && servers[i].BackSince.Equal(back) {
			continue
		}
		if &out[0] == &servers[0] {
			out = slices.Clone(servers)
		}
		out[i].Evacuated, out[i].BackSince = isEvacuated, back
	}
	return out
}
