package view

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/platform"
)

var evacuationsSeen = metrics.Counter("view_evacuations_total")

// evacuation is what the operator's newest record on a failure domain says.
type evacuation struct {
	offset uint64
	over   bool
	since  time.Time // when this process read the record
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
	if wasActive == !after.over {
		return
	}
	if after.over {
		v.log.Info("The evacuation of a failure domain is over.", zap.String("failure_domain", change.FailureDomain),
			zap.Uint64("offset", offset), zap.Duration("took", after.since.Sub(before.since)))
	} else {
		evacuationsSeen.Add(1)
		v.log.Info("A failure domain is evacuated.", zap.String("failure_domain", change.FailureDomain), zap.Uint64("offset", offset))
	}
	next.Evacuated = v.activeEvacuations()
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
