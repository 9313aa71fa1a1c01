package place

import (
	"fmt"
	"math"
)

// load is what trainers ask of the engines of one service.
type load struct {
	engines, slots int
	pace           float64 // seconds an event, at an engine of speed 1
	// speeds are how many times as long the engines take, in turn; none: 1 for all.
	slownessFactors []float64
	loading         float64 // seconds a load of weights
	loadsAtOnce     int     // that don't slow each other down
	trainers        []trainer
	stepInterval    float64 // seconds between steps by the schedule
	dueAfter        float64 // seconds until a step's results are due
	giveUpAfter     float64 // seconds until its trainer gives it up
	duration        float64 // seconds in which steps are asked for
	hintError       float64 // standard deviation of the logarithm of a hint's error
	seed            uint64
	// byAge leaves Order out.
	skipOrder bool
	// unbounded: engines follow models as if loads took no time.
	unboundedFollowing bool
	// alike: engines of unlike speed are taken for equal ones.
	assumeEqualPaces bool
	// slowed is the share of the engines that take slowedBy times as long from
	// slowedAt on.
	slowedShare, slowedFactor, slowedAt float64
	// crashed is the share of the engines that crash at crashedAt and stay listed.
	crashedShare, crashedAt float64
	// measured: paces are what the gaps between events tell, and silent streams are
	// cut, in place of the true paces.
	measuredPaces bool
	// anyPlace lets samples begin at slowed engines as at others, noProbation lets them
	// go to crashed ones as long as these are listed, and impatient cuts streams at
	// engines that are known to be slow.
	allowSlowEngines, noProbation, ignoreKnownPace bool
}

// trainer is one trainer with a model of its own.
type trainer struct {
	groups, groupSize int
	awaitedShare      float64 // of a step's groups that it waits for
	trainSeconds      float64 // seconds
	meanEvents        float64 // mean of a sample; one in twelve is five times as long
	spread, maxEvents float64
}

// twoTrainers ask for x times the groups that nine engines make on a quiet day.
func twoTrainers(x float64, seed uint64) load {
	return load{
		engines: 9, slots: 8, pace: 0.0314, loading: 0.9, loadsAtOnce: 2, stepInterval: 4, dueAfter: 7.5, giveUpAfter: 12, duration: 34, hintError: 0.5, seed: seed,
		trainers: []trainer{
			{groups: int(math.Round(9 * x)), groupSize: 8, awaitedShare: 0.9, trainSeconds: 0.5, meanEvents: 31, spread: 0.8, maxEvents: 176},
			{groups: int(math.Round(18 * x)), groupSize: 4, awaitedShare: 0.9, trainSeconds: 1, meanEvents: 31, spread: 0.8, maxEvents: 176},
		},
	}
}

// sixTrainers ask for x times the groups of a quiet day of 73 engines, of which each
// third takes 1.3 times as long. A long sample takes seven seconds of the 7.5 in which
// its step is due, at the faster ones.
func sixTrainers(x float64, seed uint64) load {
	l := load{
		engines: 73, slots: 6, pace: 0.0745, slownessFactors: []float64{1, 1, 1.3}, loading: 0.9, loadsAtOnce: 15, stepInterval: 4, dueAfter: 7.5, giveUpAfter: 12, duration: 34, hintError: 0.5, seed: seed,
	}
	for _, t := range []trainer{
		{groups: 10, trainSeconds: 1, meanEvents: 5.3, spread: 0.9, maxEvents: 45}, {groups: 9, trainSeconds: 1, meanEvents: 12.9, spread: 0.84, maxEvents: 93},
		{groups: 9, trainSeconds: 1, meanEvents: 13.4, spread: 0.9, maxEvents: 96}, {groups: 9, trainSeconds: 0.5, meanEvents: 6.3, spread: 0.84, maxEvents: 45},
		{groups: 9, trainSeconds: 0.5, meanEvents: 13, spread: 0.9, maxEvents: 96}, {groups: 10, trainSeconds: 0.5, meanEvents: 13, spread: 0.9, maxEvents: 93},
	} {
		t.groups, t.groupSize, t.awaitedShare = int(math.Round(float64(t.groups)*x)), 8, 0.9
		l.trainers = append(l.trainers, t)
	}
	return l
}

// fourTrainers ask for x times the groups of a quiet day of 44 engines. Two have samples
// of which the longest take seven seconds of the 7.5 in which their step is due; half of
// the engines' places stand free in the mean, and all are wanted when a step comes.
func fourTrainers(x float64, seed uint64) load {
	l := load{
		engines: 44, slots: 6, pace: 0.0475, loading: 0.9, loadsAtOnce: 9, stepInterval: 4, dueAfter: 7.5, giveUpAfter: 12, duration: 34, hintError: 0.5, seed: seed,
	}
	for _, t := range []trainer{
		{groups: 14, trainSeconds: 1, meanEvents: 8.45, spread: 0.9, maxEvents: 60}, {groups: 15, trainSeconds: 1, meanEvents: 20.5, spread: 0.84, maxEvents: 148},
		{groups: 15, trainSeconds: 1, meanEvents: 21.3, spread: 0.9, maxEvents: 153}, {groups: 16, trainSeconds: 0.5, meanEvents: 10, spread: 0.84, maxEvents: 72},
	} {
		t.groups, t.groupSize, t.awaitedShare = int(math.Round(float64(t.groups)*x)), 8, 0.9
		l.trainers = append(l.trainers, t)
	}
	return l
}

// slowedFleet is six trainers that ask for about what the engines can make, a fourth of
// which a fault then slows down by a factor. Their paces are learnt from what streams
// show.
func slowedFleet(factor float64, seed uint64) load {
	l := sixTrainers(2.6, seed)
	l.slowedShare, l.slowedFactor, l.slowedAt, l.measuredPaces = 0.25, factor, 3, true
	return l
}

func (r *replay) group(t int, name string) *replayGroup {
	spec := r.trainers[t]
	g := &replayGroup{trainer: t, name: name, requestedAt: r.now}
	for i := range spec.groupSize {
		length := r.drawLength(spec)
		hint := 30 * float64(length) * math.Exp(r.hintError*r.rng.NormFloat64())
		g.samples = append(g.samples, &replaySample{id: fmt.Sprintf("%s.%d", name, i), group: g, length: length, hint: hint, engine: -1, unplacedSince: r.now, avoidUntil: map[string]float64{}})
	}
	return g
}

func (r *replay) drawLength(t trainer) int {
	const longShare, longTimes = 0.08, 5
	x := math.Exp(t.spread*r.rng.NormFloat64()-t.spread*t.spread/2) / (1 + longShare*(longTimes-1))
	if r.rng.Float64() < longShare {
		x *= longTimes
	}
	return int(max(1, min(t.maxEvents, x*t.meanEvents)))
}
