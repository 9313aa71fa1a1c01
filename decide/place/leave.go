package place

// Running is a sample that runs.
type Running struct {
	Sample
	Engine string
	// Guessed: Left is a guess in the units of engines' Pace, by lengths that were
	// seen; else it only tells the longer of two samples.
	Guessed bool
}

// Leave returns the index of a running sample that should go on elsewhere; -1: none.
// It answers two loads: engines that a fault has slowed down several times, which
// all samples leave, and a fleet of unlike engines, where a step waits for the long
// sample that began at a slower engine because its hint was too low, or that engine's
// pace not known yet. Where no other has room a sample leaves only an engine that a
// fault has slowed down, if it comes late there and is in time elsewhere. The one that gains the most goes first. One at a time
// keeps the room that was seen from being promised twice.
func Leave(engines []Engine, running []Running) int {
	paces := pacesOf(engines)
	l := &leaver{
		engines: engines, median: quantile(paces, 2), fast: quantile(paces, 4),
		byID: make(map[string]*Engine, len(engines)), fastest: map[want]*Engine{}, usuals: map[want]bool{},
	}
	if l.median == 0 {
		return -1
	}
	for i := range engines {
		l.byID[engines[i].ID] = &engines[i]
	}
	found, most := -1, 0.0
	for i := range running {
		if gain := l.gain(&running[i]); gain > most {
			found, most = i, gain
		}
	}
	return found
}

// leaver is one Leave.
type leaver struct {
	engines []Engine
	median  float64
	// fast is the pace that is believed of the fastest engines, that of the quarter. A
	// process that reads its streams late and then several events at once measures some
	// paces far too low, and samples followed those from one engine to the next.
	fast float64
	byID map[string]*Engine
	// fastest are the engines with room for each kind of sample; nil: there is none.
	fastest map[want]*Engine
	// usuals tells for each kind of sample whether an engine of the usual pace serves it.
	usuals map[want]bool
}

// gain is the seconds that a sample wins at the fastest engine with room for it; 0:
// too little. Samples on engines slowed by a fault come before all others.
func (l *leaver) gain(r *Running) float64 {
	here := l.byID[r.Engine]
	if here == nil || here.Pace <= 0 {
		return 0
	}
	there := l.elsewhere(r)
	if there == nil {
		if l.shouldWait(r, here) {
			return faulty + r.Left*(here.Pace-l.median)
		}
		return 0
	}
	pace := l.pace(there)
	gain := r.Left * (here.Pace - pace)
	switch {
	case here.Pace > slowFactor*l.median && pace <= slowFactor*l.median:
		return faulty + gain
	case r.Guessed && here.Pace > apart*pace && gain > leaveCost:
		return gain
	default:
		return 0
	}
}

// faulty is more seconds than a sample takes.
const faulty = 1e6

// pace is an engine's as far as it is believed, or the median's where it is not known.
func (l *leaver) pace(e *Engine) float64 {
	if e.Pace > 0 {
		return max(e.Pace, l.fast)
	}
	return l.median
}

// elsewhere returns the fastest engine with room for a sample, but those that it
// avoids.
func (l *leaver) elsewhere(r *Running) *Engine {
	key := want{r.Model, r.Floor, r.Only}
	fastest, known := l.fastest[key]
	if !known {
		fastest = l.search(&r.Sample, "")
		l.fastest[key] = fastest
	}
	if fastest == nil || fastest.ID != r.Engine && !r.Avoid[fastest.ID] {
		return fastest
	}
	return l.search(&r.Sample, r.Engine)
}

// shouldWait tells whether a sample does better to wait for a place than to go on at a
// slow engine: it would not begin there any more, and is in time elsewhere.
func (l *leaver) shouldWait(r *Running, here *Engine) bool {
	lateHere := r.Left*here.Pace > slowShare*r.Due
	inTimeElsewhere := r.Left*l.median+leaveCost < r.Due
	return r.Guessed && isSlow(here, l.median) && lateHere && inTimeElsewhere && l.usual(r)
}

// usual tells whether an engine of the usual pace serves a sample.
func (l *leaver) usual(r *Running) bool {
	key := want{r.Model, r.Floor, r.Only}
	known, ok := l.usuals[key]
	if !ok {
		for i := range l.engines {
			known = known || !isSlow(&l.engines[i], l.median) && serves(&l.engines[i], &r.Sample)
		}
		l.usuals[key] = known
	}
	return known
}

func (l *leaver) search(s *Sample, but string) *Engine {
	var fastest *Engine
	for i := range l.engines {
		e := &l.engines[i]
		if e.ID == but || but != "" && s.Avoid[e.ID] || !fits(e, s) {
			continue
		}
		if fastest == nil || l.pace(e) < l.pace(fastest) {
			fastest = e
		}
	}
	return fastest
}
