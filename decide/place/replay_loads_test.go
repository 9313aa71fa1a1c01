package place

import (
	"fmt"
	"math"
)

// load describes what trainers request from the engines of one service, and the faults.
type load struct {
	engines, slots int
	pace           float64 // seconds per event on an engine with factor 1
	// slownessFactors are the engines' factors on pace, applied in turn; empty means 1
	// for all.
	slownessFactors []float64
	loading         float64 // seconds per weight load
	loadsAtOnce     int     // number of loads that do not slow each other down
	trainers        []trainer
	stepInterval    float64 // scheduled seconds between steps
	dueAfter        float64 // seconds until a step's results are due
	giveUpAfter     float64 // seconds after which a trainer gives up a step
	duration        float64 // seconds during which steps are requested
	hintError       float64 // standard deviation of the logarithm of a hint's error
	seed            uint64
	// skipOrder omits Order, so that samples are ranked by step age and length alone.
	skipOrder bool
	// unboundedFollowing makes engines follow models as if loads took no time.
	unboundedFollowing bool
	// assumeEqualPaces treats engines of different speeds as equal.
	assumeEqualPaces bool
	// slowedShare is the share of the engines that become slowedFactor times slower at
	// slowedAt.
	slowedShare, slowedFactor, slowedAt float64
	// crashedShare is the share of the engines that crash at crashedAt but stay listed.
	crashedShare, crashedAt float64
	// measuredPaces replaces the true paces by those measured from the gaps between
	// events, and makes silent streams time out.
	measuredPaces bool
	// allowSlowEngines lets samples start on slowed engines as on others. noProbation
	// lets samples go to crashed engines while these are listed. ignoreKnownPace
	// applies the usual time limit to streams from engines that are known to be slow.
	allowSlowEngines, noProbation, ignoreKnownPace bool
}

// trainer is a trainer with its own model.
type trainer struct {
	groups, groupSize int
	awaitedShare      float64 // of a step's groups that it waits for
	trainSeconds      float64 // seconds
	meanEvents        float64 // mean of a sample; one sample in twelve is five times as long
	spread, maxEvents float64
}

// twoTrainers request x times the groups that nine engines make on a quiet day.
func twoTrainers(x float64, seed uint64) load {
	return load{
		engines: 9, slots: 8, pace: 0.0314, loading: 0.9, loadsAtOnce: 2, stepInterval: 4, dueAfter: 7.5, giveUpAfter: 12, duration: 34, hintError: 0.5, seed: seed,
		trainers: []trainer{
			{groups: int(math.Round(9 * x)), groupSize: 8, awaitedShare: 0.9, trainSeconds: 0.5, meanEvents: 31, spread: 0.8, maxEvents: 176},
			{groups: int(math.Round(18 * x)), groupSize: 4, awaitedShare: 0.9, trainSeconds: 1, meanEvents: 31, spread: 0.8, maxEvents: 176},
		},
	}
}

// sixTrainers request x times the groups that 73 engines make on a quiet day. Every
// third engine takes 1.3 times as long. On the faster engines, a long sample takes
// seven of the 7.5 s until its step is due.
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

// fourTrainers request x times the groups that 44 engines make on a quiet day. Two have
// samples of which the longest take seven of the 7.5 s until their step is due. On
// average half of the slots are free; all of them are needed when a step arrives.
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

// slowedFleet is a load of six trainers that request about what the engines can make. A
// fault then makes a fourth of the engines slower by a factor. Paces are measured from
// the streams.
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
