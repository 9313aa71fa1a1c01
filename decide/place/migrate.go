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
// engine, or -1. It covers two cases. All samples migrate from an engine that a fault
// has made several times slower. In a fleet of engines with different speeds, long
// samples migrate to faster engines, because a step would otherwise wait for a long
// sample that started on a slower engine when its hint was too low or the engine's pace
// was not yet known.
//
// If no other engine has a free slot, a sample leaves only an engine that a fault has
// slowed down, and only if it would be late there and in time elsewhere. The sample
// that saves the most time is chosen. Migrating one at a time keeps the same free slot
// from being used for two samples.
func ChooseMigration(engines []Engine, running []Running) int {
	paces := pacesOf(engines)
	m := &migrator{
		engines: engines, median: quantile(paces, 2), fastPace: quantile(paces, 4),
		byID: make(map[string]*Engine, len(engines)), fastest: map[requirement]*Engine{}, normalByRequirement: map[requirement]bool{},
	}
	if m.median == 0 {
		return -1
	}
	for i := range engines {
		m.byID[engines[i].ID] = &engines[i]
	}
	best, bestGain := -1, 0.0
	for i := range running {
		if gain := m.gain(&running[i]); gain > bestGain {
			best, bestGain = i, gain
		}
	}
	return best
}

// migrator holds the state of one ChooseMigration call.
type migrator struct {
	engines []Engine
	median  float64
	// fastPace is the first quartile of the engines' paces; no engine is assumed to be
	// faster. A process that reads its streams late and then receives several events at
	// once measures some paces far too low, and samples would follow these from engine
	// to engine.
	fastPace float64
	byID     map[string]*Engine
	// fastest holds the fastest engine with a free slot for each requirement; nil if
	// there is none.
	fastest map[requirement]*Engine
	// normalByRequirement caches for each requirement whether an engine of normal speed
	// serves it.
	normalByRequirement map[requirement]bool
}

// gain returns the seconds that a sample saves on the fastest engine with a free slot
// for it, or 0 if it should stay. Samples on engines slowed by a fault get
// faultyEngineBonus on top, so that they precede all others.
func (m *migrator) gain(r *Running) float64 {
	current := m.byID[r.Engine]
	if current == nil || current.Pace <= 0 {
		return 0
	}
	target := m.fastestElsewhere(r)
	if target == nil {
		if m.shouldWaitForSlot(r, current) {
			return faultyEngineBonus + r.Remaining*(current.Pace-m.median)
		}
		return 0
	}
	pace := m.pace(target)
	gain := r.Remaining * (current.Pace - pace)
	switch {
	case current.Pace > slowFactor*m.median && pace <= slowFactor*m.median:
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
func (m *migrator) pace(e *Engine) float64 {
	if e.Pace > 0 {
		return max(e.Pace, m.fastPace)
	}
	return m.median
}

// fastestElsewhere returns the fastest engine with a free slot for a sample, without
// its current engine and those that it avoids; nil if there is none.
func (m *migrator) fastestElsewhere(r *Running) *Engine {
	key := requirement{r.Model, r.Floor, r.OnlyVersion}
	fastest, known := m.fastest[key]
	if !known {
		fastest = m.searchFastest(&r.Sample, "")
		m.fastest[key] = fastest
	}
	if fastest == nil || fastest.ID != r.Engine && !r.Avoid[fastest.ID] {
		return fastest
	}
	return m.searchFastest(&r.Sample, r.Engine)
}

// shouldWaitForSlot reports whether a sample should leave a slow engine and wait for a
// slot elsewhere: it is not expected to finish there early enough to be started there,
// but would finish in time on an engine of normal speed.
func (m *migrator) shouldWaitForSlot(r *Running, current *Engine) bool {
	lateHere := r.Remaining*current.Pace > maxSlowShare*r.Due
	inTimeElsewhere := r.Remaining*m.median+minMigrationGain < r.Due
	return r.Estimated && isSlow(current, m.median) && lateHere && inTimeElsewhere && m.hasNormalEngine(r)
}

// hasNormalEngine reports whether an engine of normal speed serves a sample.
func (m *migrator) hasNormalEngine(r *Running) bool {
	key := requirement{r.Model, r.Floor, r.OnlyVersion}
	known, ok := m.normalByRequirement[key]
	if !ok {
		for i := range m.engines {
			known = known || !isSlow(&m.engines[i], m.median) && serves(&m.engines[i], &r.Sample)
		}
		m.normalByRequirement[key] = known
	}
	return known
}

// searchFastest returns the fastest engine with a free slot for a sample; nil if there is
// none. If exceptID is not empty, it excludes that engine and those that the sample avoids.
func (m *migrator) searchFastest(s *Sample, exceptID string) *Engine {
	var fastest *Engine
	for i := range m.engines {
		e := &m.engines[i]
		if e.ID == exceptID || exceptID != "" && s.Avoid[e.ID] || !hasFreeSlotFor(e, s) {
			continue
		}
		if fastest == nil || m.pace(e) < m.pace(fastest) {
			fastest = e
		}
	}
	return fastest
}
