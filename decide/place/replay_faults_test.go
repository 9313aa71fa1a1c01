package place

import "time"

// breakStreams ends the streams on a crashed engine, as an owner does when its
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

// isCrashed reports whether an engine has crashed, and isListed whether its entry still
// exists.
func (r *replay) isCrashed(engine int) bool {
	return r.now >= r.crashedAt && float64((engine+faultCycle/2)%faultCycle) < r.crashedShare*faultCycle
}

func (r *replay) isListed(engine int) bool {
	return !r.isCrashed(engine) || r.now < r.crashedAt+staleEntrySeconds
}

// timeOutIfSilent ends a stream that was silent for too long, as an owner does.
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

// pace returns the seconds that an engine takes for an event now.
func (r *replay) pace(engine int) float64 {
	pace := r.engines[engine].pace
	if r.now >= r.slowedAt && float64(engine%faultCycle) < r.slowedShare*faultCycle {
		return pace * r.slowedFactor
	}
	return pace
}

// timeAt converts seconds of virtual time to a time.Time.
func timeAt(now float64) time.Time { return time.Unix(0, 0).Add(seconds(now)) }
