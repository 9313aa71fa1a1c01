package place

import (
	"cmp"
	"maps"
	"slices"
)

// makeEvents makes the events that are due.
func (r *replay) makeEvents() {
	for i, e := range r.engines {
		if r.isCrashed(i) {
			r.breakStreams(i)
			continue
		}
		for _, s := range e.sortedSamples() {
			r.make(i, s)
			switch {
			case s.done():
				r.lengths[s.group.trainer].Observe(s.hint, float64(s.length))
				r.unplace(s)
			case r.measuredPaces:
				r.timeOutIfSilent(i, s)
			}
		}
	}
}

// sortedSamples returns the running samples in an order that is the same in each run,
// because the learned lengths and paces depend on it.
func (e *replayEngine) sortedSamples() []*replaySample {
	return slices.SortedFunc(maps.Keys(e.running), func(a, b *replaySample) int { return cmp.Compare(a.id, b.id) })
}

// make makes a sample's due events on an engine.
func (r *replay) make(engine int, s *replaySample) {
	for s.nextEventAt <= r.now && !s.done() {
		if gap := seconds(s.nextEventAt - s.lastEventAt); s.streamEvents > 0 {
			r.paces.Observe(r.fleet.Engines[engine], gap, timeAt(s.nextEventAt))
			r.timeouts.ObserveNext(gap)
		} else {
			r.timeouts.ObserveFirst(gap)
		}
		s.made++
		s.streamEvents++
		r.probation.RecordSuccess(r.fleet.Engines[engine])
		s.lastEventAt = s.nextEventAt
		s.nextEventAt += r.pace(engine)
	}
}

func (r *replay) unplace(s *replaySample) {
	if s.engine >= 0 {
		delete(r.engines[s.engine].running, s)
		s.engine, s.unplacedSince = -1, r.now
	}
}
