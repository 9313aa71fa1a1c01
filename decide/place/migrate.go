package place

// Running is a sample that runs.
type Running struct {
	Sample
	Engine string
	// Guessed: Left is a guess in the units of engines' Pace, by lengths that were
	// seen; else it only tells the longer of two samples.
	Estimated bool
}

// Leave returns the index of a running sample that should go on elsewhere; -1: none.
// It answers two loads: engines that a fault has slowed down several times, which
// all samples leave, and a fleet of unlike engines, where a step waits for the long
// sample that began at a slower engine because its hint was too low, or that engine's
// pace not known yet. Where no other has room a sample leaves only an engine that a
// fault has slowed down, if it comes late there and is in time elsewhere. The one that gains the most goes first. One at a time
// keeps the room that was seen from being promised twice.
func ChooseMigration(engines []Engine, running []Running) int {
	paces := pacesOf(engines)
	l := &migrator{
		engines: engines, median: quantile(paces, 2), fastPace: quantile(paces, 4),
		byID: make(map[string]*Engine, len(engines)), fastest: map[requirement]*Engine{}, usualByRequirement: map[requirement]bool{},
	}
	if l.median == 0 {
		return -1
	}
	for i := range engines {
		l.byID[engines[i].ID] = &engines[i]
	}
	best, bestGain := -1, 0.0
	for i := range running {
		if gain := l.gain(&running[i]); gain > bestGain {
			best, bestGain = i, gain
		}
	}
	return best
}

// leaver is one Leave.
type migrator struct {
	engines []Engine
	median  float64
	// fast is the pace that is believed of the fastest engines, that of the quarter. A
	// process that reads its streams late and then several events at once measures some
	// paces far too low, and samples followed those from one engine to the next.
	fastPace float64
	byID     map[string]*Engine
	// fastest are the engines with room for each kind of sample; nil: there is none.
	fastest map[requirement]*Engine
	// usuals tells for each kind of sample whether an engine of the usual pace serves it.
	usualByRequirement map[requirement]bool
}

// gain is the seconds that a sample wins at the fastest engine with room for it; 0:
// too little. Samples on engines slowed by a fault come before all others.
func (l *migrator) gain(r *Running) float64 {
	current := l.byID[r.Engine]
	if current == nil || current.Pace <= 0 {
		return 0
	}
	target := l.fastestElsewhere(r)
	if target == nil {
		if l.shouldWaitForSlot(r, current) {
			return faultyEngineBonus + r.Remaining*(current.Pace-l.median)
		}
		return 0
	}
	pace := l.pace(target)
	gain := r.Remaining * (current.Pace - pace)
	switch {
	case current.Pace > slowFactor*l.median && pace <= slowFactor*l.median:
		return faultyEngineBonus + gain
	case r.Estimated && current.Pace > minPaceRatio*pace && gain > minMigrationGain:
		return gain
	default:
		return 0
	}
}

// faulty is more seconds than a sample takes.
const faultyEngineBonus = 1e6

// pace is an engine's as far as it is believed, or the median's where it is not known.
func (l *migrator) pace(e *Engine) float64 {
	if e.Pace > 0 {
		return max(e.Pace, l.fastPace)
	}
	return l.median
}

// elsewhere returns the fastest engine with room for a sample, but those that it
// avoids.
func (l *migrator) fastestElsewhere(r *Running) *Engine {
	key := requirement{r.Model, r.Floor, r.OnlyVersion}
	fastest, known := l.fastest[key]
	if !known {
		fastest = l.searchFastest(&r.Sample, "")
		l.fastest[key] = fastest
	}
	if fastest == nil || fastest.ID != r.Engine && !r.Avoid[fastest.ID] {
		return fastest
	}
	return l.searchFastest(&r.Sample, r.Engine)
}

// shouldWait tells whether a sample does better to wait for a place than to go on at a
// slow engine: it would not begin there any more, and is in time elsewhere.
func (l *migrator) shouldWaitForSlot(r *Running, current *Engine) bool {
	lateHere := r.Remaining*current.Pace > maxSlowShare*r.Due
	inTimeElsewhere := r.Remaining*l.median+minMigrationGain < r.Due
	return r.Estimated && isSlow(current, l.median) && lateHere && inTimeElsewhere && l.hasUsualEngine(r)
}

// usual tells whether an engine of the usual pace serves a sample.
func (l *migrator) hasUsualEngine(r *Running) bool {
	key := requirement{r.Model, r.Floor, r.OnlyVersion}
	known, ok := l.usualByRequirement[key]
	if !ok {
		for i := range l.engines {
			known = known || !isSlow(&l.engines[i], l.median) && serves(&l.engines[i], &r.Sample)
		}
		l.usualByRequirement[key] = known
	}
	return known
}

func (l *migrator) searchFastest(s *Sample, exceptID string) *Engine {
	var fastest *Engine
	for i := range l.engines {
		e := &l.engines[i]
		if e.ID == exceptID || exceptID != "" && s.Avoid[e.ID] || !hasRoomFor(e, s) {
			continue
		}
		if fastest == nil || l.pace(e) < l.pace(fastest) {
			fastest = e
		}
	}
	return fastest
}
