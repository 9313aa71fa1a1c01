package place

import (
	"cmp"
	"maps"
	"slices"
)

// progress makes the events that are due.
func (r *replay) progress() {
	for i, e := range r.engines {
		if r.dead(i) {
			r.breakOff(i)
			continue
		}
		for _, s := range e.inOrder() {
			r.make(i, s)
			switch {
			case s.done():
				r.lengths[s.group.trainer].Learn(s.hint, float64(s.length))
				r.takeBack(s)
			case r.measured:
				r.cutIfSilent(i, s)
			}
		}
	}
}

// inOrder returns what runs in an order that is the same in each run, for what is learnt
// of lengths and paces depends on it.
func (e *replayEngine) inOrder() []*replaySample {
	return slices.SortedFunc(maps.Keys(e.running), func(a, b *replaySample) int { return cmp.Compare(a.id, b.id) })
}

// make makes a sample's events that are due at an engine.
func (r *replay) make(engine int, s *replaySample) {
	for s.next <= r.now && !s.done() {
		if gap := seconds(s.next - s.heard); s.streamed > 0 {
			r.paces.Saw(r.fleet.Engines[engine], gap, clock(s.next))
			r.silence.Next(gap)
		} else {
			r.silence.First(gap)
		}
		s.made++
		s.streamed++
		r.probation.Passed(r.fleet.Engines[engine])
		s.heard = s.next
		s.next += r.pace(engine)
	}
}

func (r *replay) takeBack(s *replaySample) {
	if s.engine >= 0 {
		delete(r.engines[s.engine].running, s)
		s.engine, s.left = -1, r.now
	}
}
