package place

import (
	"math"
	"time"
)

const (
	// paceWeight is the weight of the newest event in an engine's pace.
	paceWeight = 0.15
	// paceFades is the time in which half of what is known of an engine's pace is
	// forgotten while it gets no sample: an engine that was slowed by a fault for some
	// seconds is tried again after as many.
	paceHalfLife = 6 * time.Second
)

// Paces learns how long engines take for an event, from the gaps between the events of
// streams. Its zero value knows nothing. It is not safe for concurrent use.
type PaceEstimator struct {
	engines map[string]*pace
}

type pace struct {
	seconds    float64
	observedAt time.Time
}

// Saw notes that two events of a stream at an engine lay apart by a gap at a time.
func (p *PaceEstimator) Observe(engine string, gap time.Duration, at time.Time) {
	if p.engines == nil {
		p.engines = map[string]*pace{}
	}
	e := p.engines[engine]
	if e == nil {
		p.engines[engine] = &pace{gap.Seconds(), at}
		return
	}
	e.seconds += paceWeight * (gap.Seconds() - e.seconds)
	e.observedAt = at
}

// At returns the seconds an event of each engine that is known at a time. What was seen
// long ago of an engine counts less and the median of all more.
func (p *PaceEstimator) At(now time.Time) map[string]float64 {
	paces := make([]float64, 0, len(p.engines))
	for _, e := range p.engines {
		paces = append(paces, e.seconds)
	}
	median := quantile(paces, 2)
	out := make(map[string]float64, len(p.engines))
	for id, e := range p.engines {
		weight := math.Exp2(-now.Sub(e.observedAt).Seconds() / paceHalfLife.Seconds())
		out[id] = median + weight*(e.seconds-median)
	}
	return out
}
