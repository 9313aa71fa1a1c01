package place

import "time"

// breakOff ends the streams at an engine that has crashed, as an owner does whose
// connections are refused.
func (r *replay) breakStreams(engine int) {
	id, e := r.fleet.Engines[engine], r.engines[engine]
	for _, s := range e.sortedSamples() {
		r.unplace(s)
		s.avoidUntil[id] = r.now + avoidAfterFailure
		r.out.endedStreams++
	}
	if e.usedSinceTurn && !r.noProbation {
		e.usedSinceTurn = false
		r.excludedUntil[id] = r.now + r.probation.RecordFailure(id).Seconds()
	}
}

// dead tells whether an engine has crashed and is still listed; listed whether its
// entry is there.
func (r *replay) isCrashed(engine int) bool {
	return r.now >= r.crashedAt && float64((engine+faultCycle/2)%faultCycle) < r.crashedShare*faultCycle
}

func (r *replay) isListed(engine int) bool {
	return !r.isCrashed(engine) || r.now < r.crashedAt+staleEntrySeconds
}

// cutIfSilent ends a stream that was silent for too long, as an owner does.
func (r *replay) timeOutIfSilent(engine int, s *replaySample) {
	silent, first := seconds(r.now-s.lastEventAt), s.streamEvents == 0
	if silent < r.timeouts.Limit(first, s.pace) {
		return
	}
	r.out.endedStreams++
	r.timeouts.ObserveTimeout(silent, first)
	r.paces.Observe(r.fleet.Engines[engine], silent, timeAt(r.now))
	s.avoidUntil[r.fleet.Engines[engine]] = r.now + avoidAfterTimeout
	r.unplace(s)
}

// pace is the seconds that an engine takes for an event now.
func (r *replay) pace(engine int) float64 {
	pace := r.engines[engine].pace
	if r.now >= r.slowedAt && float64(engine%faultCycle) < r.slowedShare*faultCycle {
		return pace * r.slowedFactor
	}
	return pace
}

// clock is a moment of virtual time.
func timeAt(now float64) time.Time { return time.Unix(0, 0).Add(seconds(now)) }
