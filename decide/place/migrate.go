package place

// Running is a sample that is running on an engine.
type Running struct {
	Sample
	Engine string
	// Estimated reports whether Remaining was estimated from observed lengths and so is
	// in units of the engines' Pace. Otherwise Remaining only orders samples by length.
	Estimated bool
}

// ChooseMigration returns the index of a running sample that should continue on another
// engine, or -1. It covers two cases. An engine made several times slower by a fault
// times loses all its samples. In a fleet of engines with different speeds, a step
// waits for a long sample that started on a slower engine because its hint was too low
// or the engine's pace was not yet known.
//
// If no other engine has a free slot, a sample leaves only an engine that a fault has
// slowed down, and only if it would be late there and in time elsewhere. The sample
// that gains the most is chosen. Migrating one at a time keeps the same free slot from
// being used for two samples.
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

// migrator holds the state of one ChooseMigration call.
type migrator struct {
	engines []Engine
	median  float64
	// fastPace is the first quartile of the engines' paces; no engine is believed to be
	// faster. A process that reads its streams late and then receives several events at
	// once measures some paces far too low, and samples would follow these from engine
	// to engine.
	fastPace float64
	byID     map[string]*Engine
	// fastest holds the fastest engine with a free slot for each requirement; nil if
	// there is none.
	fastest map[requirement]*Engine
	// usualByRequirement caches for each requirement whether an engine of normal speed
	// serves it.
	usualByRequirement map[requirement]bool
}

// gain returns the seconds that a sample saves on the fastest engine with a free slot
// for it, or 0 if it should stay. Samples on engines slowed by a fault get
// faultyEngineBonus on top, so that they precede all others.
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

// faultyEngineBonus is more seconds than any sample takes.
const faultyEngineBonus = 1e6

// pace returns the pace assumed for an engine: at least fastPace, or the median if it
// is not known.
func (l *migrator) pace(e *Engine) float64 {
	if e.Pace > 0 {
		return max(e.Pace, l.fastPace)
	}
	return l.median
}

// fastestElsewhere returns the fastest engine with a free slot for a sample, without
// its current engine and those that it avoids; nil if there is none.
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

// shouldWaitForSlot reports whether a sample should leave a slow engine and wait for a
// slot elsewhere: it is not expected to finish there early enough to be started there,
// but would finish in time on an engine of normal speed.
func (l *migrator) shouldWaitForSlot(r *Running, current *Engine) bool {
	lateHere := r.Remaining*current.Pace > maxSlowShare*r.Due
	inTimeElsewhere := r.Remaining*l.median+minMigrationGain < r.Due
	return r.Estimated && isSlow(current, l.median) && lateHere && inTimeElsewhere && l.hasUsualEngine(r)
}

// hasUsualEngine reports whether an engine of normal speed serves a sample.
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
