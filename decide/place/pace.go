package place

import (
	"math"
	"time"
)

const (
	// paceWeight is the weight of the newest event in an engine's pace.
	paceWeight = 0.15
	// paceHalfLife is the time after which half of the knowledge of an engine's pace is
	// discarded while it gets no samples. An engine that a fault slowed down for some
	// seconds is tried again after about as long.
	paceHalfLife = 6 * time.Second
)

// PaceEstimator estimates the seconds that each engine takes per event, from the gaps
// between the events of streams. The zero value is ready to use. It is not safe for
// concurrent use.
type PaceEstimator struct {
	engines map[string]*pace
}

type pace struct {
	seconds    float64
	observedAt time.Time
}

// Observe records the gap between two consecutive events of a stream from an engine, of
// which the later came at the given time.
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

// At returns the estimated seconds per event of each known engine at the given time.
// Old estimates are pulled toward the median of all engines.
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
