package place

import (
	"time"

	"dandelionsill.org/decide/topology"
)

// Costs that are added to the score of an engine, in shares of a full engine.
const (
	// suspectCost is that of an engine in a failure domain that may be lost or cut off: a stream
	// there costs the time until it counts as unreachable.
	suspectCost = 1
)

// Cost returns the Cost of an engine at a distance from the process that places samples. Engines of
// the own region are filled first, since one more sample slows an engine down by little; within a
// region the distance makes no difference to a sample.
func Cost(distance topology.Distance, suspect bool) float64 {
	cost := 0.0
	if distance == topology.OtherRegion {
		cost += distance.Cost(0, 0)
	}
	if suspect {
		cost += suspectCost
	}
	return cost
}

const (
	// suspicionTime is how long a failure domain stays under suspicion without a further sign.
	suspicionTime = 2 * time.Second
	// minFailedEngines is how many engines of a failure domain have to fail within
	// failureTime, without an event from any other, to bring it under suspicion.
	minFailedEngines = 2
	failureTime      = time.Second
)

// Domains knows which failure domains may be lost or cut off. Without it each engine of a lost
// domain is tried with samples of its own. Its zero value is ready to use. It is not safe for
// concurrent use.
type Domains struct {
	failedAt     map[string]map[string]time.Time // by domain and engine
	suspectUntil map[string]time.Time
}

// RecordFailure records that an engine could not be reached or made no event.
func (d *Domains) RecordFailure(domain, engine string, now time.Time) {
	if d.failedAt == nil {
		d.failedAt = map[string]map[string]time.Time{}
	}
	failed := d.failedAt[domain]
	if failed == nil {
		failed = map[string]time.Time{}
		d.failedAt[domain] = failed
	}
	failed[engine] = now
	for other, at := range failed {
		if now.Sub(at) > failureTime {
			delete(failed, other)
		}
	}
	if len(failed) >= minFailedEngines {
		d.Suspect(domain, now)
	}
}

// Suspect brings a failure domain under suspicion, because an owner there has fallen silent.
func (d *Domains) Suspect(domain string, now time.Time) {
	if d.suspectUntil == nil {
		d.suspectUntil = map[string]time.Time{}
	}
	d.suspectUntil[domain] = now.Add(suspicionTime)
}

// RecordEvent records an event from an engine: its failure domain is reachable.
func (d *Domains) RecordEvent(domain string) {
	delete(d.failedAt, domain)
	delete(d.suspectUntil, domain)
}

// IsSuspect reports whether a failure domain is under suspicion.
func (d *Domains) IsSuspect(domain string, now time.Time) bool {
	return now.Before(d.suspectUntil[domain])
}
