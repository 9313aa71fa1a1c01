package place

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// runSeeds replays a load with several seeds and returns the summed outcomes.
func runSeeds(seeds int, newLoad func(seed uint64) load) outcome {
	outs := make([]outcome, seeds)
	var wg sync.WaitGroup
	for i := range outs {
		wg.Go(func() { outs[i] = newLoad(uint64(i)).run() })
	}
	wg.Wait()
	var sum outcome
	for _, o := range outs {
		sum.awaited += o.awaited
		sum.inTime += o.inTime
		sum.late += o.late
		sum.maxUnfinished = max(sum.maxUnfinished, o.maxUnfinished)
		sum.unusedSlot = sum.unusedSlot || o.unusedSlot
		sum.endedStreams += o.endedStreams
	}
	return sum
}

// Guards against a loss of goodput when trainers request more groups than the engines
// can make. Ranked by step age and sample length alone, all groups of a step progress
// together and all complete slightly too late: at three times the groups of a quiet day
// fewer were in time than at 1.6 times. Order instead selects the groups that can be
// made in time and ranks the others behind them.
func TestGoodputHoldsPastCapacity(t *testing.T) {
	const seeds = 2
	at := map[float64]outcome{}
	for _, x := range []float64{1.6, 2.2, 3, 4} {
		at[x] = runSeeds(seeds, func(seed uint64) load { return twoTrainers(x, seed) })
		t.Logf("groups x %.1f: awaited %d, in time %d, late %d, longest unfinished %.0f s", x, at[x].awaited/seeds, at[x].inTime/seeds, at[x].late/seeds, at[x].maxUnfinished)
		require.False(t, at[x].unusedSlot, "a slot was free while a sample could have used it")
	}
	require.Equal(t, at[1.6].awaited, at[1.6].inTime)
	require.GreaterOrEqual(t, float64(at[2.2].inTime), 0.97*float64(at[2.2].awaited))
	for _, x := range []float64{3, 4} {
		require.GreaterOrEqual(t, float64(at[x].inTime), 0.9*float64(at[2.2].inTime), "at %v times", x)
	}
	withoutOrder := runSeeds(seeds, func(seed uint64) load {
		l := twoTrainers(3, seed)
		l.skipOrder = true
		return l
	})
	require.Greater(t, float64(at[3].inTime), 2*float64(withoutOrder.inTime), "ranked by age and length alone: %d", withoutOrder.inTime/seeds)
}

// Guards against long samples that start behind short ones: the longest samples of two
// of four trainers nearly fill the time until their steps are due.
func TestStepsFinishInTimeWhenLongestSampleNearlyFillsDeadline(t *testing.T) {
	for _, x := range []float64{1, 2} {
		o := runSeeds(1, func(seed uint64) load { return fourTrainers(x, seed) })
		t.Logf("groups x %.1f: awaited %d, in time %d, late %d", x, o.awaited, o.inTime, o.late)
		require.False(t, o.unusedSlot, "a slot was free while a sample could have used it")
		require.GreaterOrEqual(t, float64(o.inTime), 0.97*float64(o.awaited))
	}
}

// A weight load takes 2.4 s instead of 0.9 s. If as many engines followed each model as
// usual, their loads would slow each other down until no engine is fresh enough, and
// groups of a quiet day that nine engines could easily make would be late. Instead
// fewer engines follow each model, and the others are left for other work.
func TestGoodputHoldsWhenWeightLoadsAreSlow(t *testing.T) {
	slow := func(bounded bool) outcome {
		return runSeeds(2, func(seed uint64) load {
			l := twoTrainers(1, seed)
			l.loading, l.unboundedFollowing = 2.4, !bounded
			return l
		})
	}
	bounded, unbounded := slow(true), slow(false)
	t.Logf("in time of %d: %d, with all engines following %d", bounded.awaited, bounded.inTime, unbounded.inTime)
	require.GreaterOrEqual(t, float64(bounded.inTime), 0.9*float64(bounded.awaited))
	require.Less(t, unbounded.inTime, bounded.inTime)
}

// Weight loads take 2.4 s, and trainers request more than the few engines that follow
// their model can make. If the slots of all engines were counted for each model, too
// many groups would be selected, and all of them would be late together, as without any
// selection.
func TestGoodputHoldsWhenFewEnginesServeEachModel(t *testing.T) {
	at := map[float64]outcome{}
	for _, x := range []float64{1.6, 3} {
		at[x] = runSeeds(3, func(seed uint64) load {
			l := twoTrainers(x, seed)
			l.loading = 2.4
			return l
		})
		t.Logf("groups x %.1f: awaited %d, in time %d, late %d", x, at[x].awaited, at[x].inTime, at[x].late)
	}
	require.GreaterOrEqual(t, float64(at[1.6].inTime), 0.65*float64(at[1.6].awaited))
	require.GreaterOrEqual(t, float64(at[3].inTime), 0.9*float64(at[1.6].inTime))
}

// Guards against starvation: groups that are requested again go first in their step, so
// each group completes at some point, however scarce engines are.
func TestNoGroupStarves(t *testing.T) {
	o := runSeeds(2, func(seed uint64) load {
		l := twoTrainers(4, seed)
		l.duration = 80
		return l
	})
	require.Less(t, o.maxUnfinished, 70.0)
}

// For any trainers, no slot is free while a sample could use it. One more engine delays
// no step much: it only shifts the turns of others slightly.
func TestAddingAnEngineDelaysNoStepMuch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := twoTrainers(rapid.Float64Range(0.5, 1.5).Draw(t, "groups"), rapid.Uint64Range(0, 1000).Draw(t, "seed"))
		l.duration = 6
		l.engines = rapid.IntRange(5, 10).Draw(t, "engines")
		few := l.run()
		l.engines++
		more := l.run()
		require.False(t, few.unusedSlot || more.unusedSlot)
		require.GreaterOrEqual(t, more.inTime+more.late, few.inTime+few.late-2)
	})
}

func TestOrder(t *testing.T) {
	capacity := Capacity{Rate: 100, Pace: 0.1} // 65 units per second are usable
	sample := func(step int, group string, remaining float64) Sample {
		return Sample{Step: step, Group: group, Remaining: remaining}
	}
	must := sample(0, "must", 50)
	must.Required = true
	tests := []struct {
		name    string
		steps   []Step
		samples []Sample
		want    []string // groups in rank order, those of equal rank joined by =
	}{
		{"all in time: ranked by step age", []Step{{AgeRank: 3, Due: 9, Need: 2}, {AgeRank: 4, Due: 9, Need: 1}},
			[]Sample{sample(0, "a", 10), sample(0, "b", 20), sample(1, "c", 5)}, []string{"a=b", "c"}},
		{"the largest group is evicted and ranked last", []Step{{AgeRank: 3, Due: 2, Need: 3}},
			[]Sample{sample(0, "large", 20), sample(0, "large", 60), sample(0, "a", 40), sample(0, "b", 30)}, []string{"a=b", "large"}},
		{"a group in progress has less remaining and stays selected", []Step{{AgeRank: 3, Due: 2, Need: 2}},
			[]Sample{sample(0, "new", 35), sample(0, "new", 35), sample(0, "begun", 33), sample(0, "begun", 32)}, []string{"begun", "new"}},
		{"late groups of a step share a rank", []Step{{AgeRank: 3, Due: -5, Need: 2}},
			[]Sample{sample(0, "a", 90), sample(0, "b", 30)}, []string{"a=b"}},
		{"a surplus group is ranked last", []Step{{AgeRank: 3, Due: 2, Need: 1}},
			[]Sample{sample(0, "a", 40), sample(0, "surplus", 100)}, []string{"a", "surplus"}},
		{"a surplus group is selected where there is capacity", []Step{{AgeRank: 3, Due: 9, Need: 1}},
			[]Sample{sample(0, "a", 40), sample(0, "surplus", 100)}, []string{"a=surplus"}},
		{"a required group is evicted last", []Step{{AgeRank: 3, Due: 2, Need: 2}},
			[]Sample{must, must, sample(0, "short", 40)}, []string{"must", "short"}},
		{"the last groups of a late step go first", []Step{{AgeRank: 3, Due: -1, Need: 1}, {AgeRank: 5, Due: 7, Need: 1}},
			[]Sample{sample(1, "b", 10), sample(0, "last", 40)}, []string{"last", "b"}},
		{"the last groups of a late step have too much work to go first", []Step{{AgeRank: 3, Due: -1, Need: 1}, {AgeRank: 5, Due: 7, Need: 1}},
			[]Sample{sample(0, "late", 60), sample(1, "b", 10)}, []string{"b", "late"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			Order(test.steps, test.samples, capacity)
			require.Equal(t, test.want, ranked(test.samples))
		})
	}
}

// The engines that follow one model make a fifth of what all engines make. Of this
// model's groups only those that these engines can make in time are selected; all of
// the other model's are.
func TestOrderUsesRateOfEachModelsEngines(t *testing.T) {
	steps := []Step{{AgeRank: 3, Due: 2, Need: 2, Model: "few", Rate: 20}, {AgeRank: 3, Due: 2, Need: 1, Model: "many", Rate: 80}}
	samples := []Sample{{Step: 0, Group: "short", Remaining: 10}, {Step: 0, Group: "long", Remaining: 30}, {Step: 1, Group: "other", Remaining: 60}}
	Order(steps, samples, Capacity{Rate: 100, Pace: 0.01})
	require.Equal(t, []string{"short=other", "long"}, ranked(samples))
}

func TestRateFor(t *testing.T) {
	fresh, behind, far, loading := engine("fresh", 8, 8), engine("behind", 8, 2), engine("far", 8, 0), engine("loading", 8, 0)
	behind.Versions, far.Versions = map[string]uint64{"m": 4}, map[string]uint64{"m": 3}
	loading.Versions, loading.Loading = nil, map[string]uint64{"m": 6}
	engines := []Engine{fresh, behind, far, loading}
	capacity := Capacity{Pace: 0.5}
	own := map[string]int{"fresh": 3}
	require.InDelta(t, 2*(3+6+8), capacity.RateFor(engines, own, "m", 5), 1e-9, "own and free slots, without the engine that is far behind")
	require.Zero(t, capacity.RateFor(engines, own, "other", 5))
}

// ranked returns the groups in rank order.
func ranked(samples []Sample) []string {
	byRank := map[int]string{}
	var ranks []int
	for _, s := range samples {
		switch names, known := byRank[s.Rank]; {
		case !known:
			byRank[s.Rank] = s.Group
			ranks = append(ranks, s.Rank)
		case names != s.Group && len(names) < 20:
			byRank[s.Rank] = fmt.Sprintf("%s=%s", names, s.Group)
		}
	}
	var out []string
	slices.Sort(ranks)
	for _, rank := range ranks {
		out = append(out, byRank[rank])
	}
	return out
}

// Hints are in tokens and lengths in events, and hints are inaccurate. The estimator
// predicts the length of samples from observed ones and returns no estimate from too
// few.
func TestLengths(t *testing.T) {
	var l LengthEstimator
	_, known := l.Estimate(300)
	require.False(t, known)
	for i := range 200 {
		length := float64(10 + i%50)
		l.Observe(30*length, length)
	}
	got, known := l.Estimate(900)
	require.True(t, known)
	require.InDelta(t, 30, got, 0.5)
	l.Observe(0, 10)
	got, _ = l.Estimate(0)
	require.InDelta(t, 31, got, 5, "the mean without a hint")

	var same LengthEstimator
	for range 20 {
		same.Observe(500, 10)
	}
	got, _ = same.Estimate(5000)
	require.InDelta(t, 10, got, 0.1, "equal hints carry no information")
	require.InDelta(t, 4, Remaining(10, 6), 0)
	require.InDelta(t, 10, Remaining(10, 20), 0, "the sample has exceeded its estimate")
}

// A step of 2,048 samples in groups of 8, in a fleet of 1,500 engines with 8 slots
// each.
func BenchmarkOrderAndAssignFleet(b *testing.B) {
	samples := make([]Sample, 2048)
	for i := range samples {
		samples[i] = sample("s", float64(i*7919%100))
		samples[i].Group = fmt.Sprint(i / 8)
		samples[i].Prompt = samples[i].Group
	}
	steps := []Step{{Due: 5, Need: 230}}
	b.ReportAllocs()
	for b.Loop() {
		engines := make([]Engine, 1500)
		for i := range engines {
			engines[i] = engine("e", 8, 7+i%2)
		}
		Order(steps, samples, Capacity{Rate: 12000 / 0.04, Pace: 0.04})
		Assign(engines, samples)
	}
}

// A third of the engines takes 1.3 times as long. A step waits for the long samples of
// nearly all its groups, and one that starts on a slower engine finishes after the step
// is due. Its trainer, which requests the step after next when this one is complete,
// would fall further and further behind. Slots are not scarce: the faster engines have
// slots for all samples.
func TestLongSamplesRunAtFastEngines(t *testing.T) {
	play := func(alike bool) outcome {
		return runSeeds(2, func(seed uint64) load {
			l := sixTrainers(1, seed)
			l.assumeEqualPaces = alike
			return l
		})
	}
	unlike, alike := play(false), play(true)
	t.Logf("in time of %d: %d, with engines assumed equal %d; late %d, %d", unlike.awaited, unlike.inTime, alike.inTime, unlike.late, alike.late)
	require.GreaterOrEqual(t, float64(unlike.inTime), 0.99*float64(unlike.awaited))
	require.Less(t, float64(alike.inTime), 0.97*float64(unlike.inTime))
}

// A fourth of the engines becomes 3.5 times slower while slots are scarce. Their slots
// are free as soon as the others are taken, so the most urgent samples started there,
// and one sample in eight made its group late. A sample must start on such an engine
// only if it finishes there well in time, and must leave it otherwise.
func TestGoodputHoldsWhenEnginesSlowDown(t *testing.T) {
	play := func(allowSlowEngines bool) outcome {
		return runSeeds(2, func(seed uint64) load {
			l := slowedFleet(3.5, seed)
			l.allowSlowEngines = allowSlowEngines
			return l
		})
	}
	chosen, anywhere := play(false), play(true)
	t.Logf("in time of %d: %d, with any free slot taken %d", chosen.awaited, chosen.inTime, anywhere.inTime)
	require.GreaterOrEqual(t, float64(chosen.inTime), 0.9*float64(chosen.awaited))
	require.Greater(t, chosen.inTime, anywhere.inTime)
}

// A fourth of the engines becomes six times slower, so that an event takes 0.46 s
// there. Each stream timed out after one event, 18,000 times in half a minute. Since a
// timeout did not change the engine's known pace, the next sample took the free slot.
func TestStreamsAtSlowEnginesDoNotTimeOutForever(t *testing.T) {
	play := func(ignoringPace bool) outcome {
		return runSeeds(1, func(seed uint64) load {
			l := slowedFleet(6, seed)
			l.duration, l.ignoreKnownPace = 18, ignoringPace
			return l
		})
	}
	withPace, ignoringPace := play(false), play(true)
	t.Logf("streams timed out: %d, with the usual limits alone %d; groups in time of %d: %d, %d", withPace.endedStreams, ignoringPace.endedStreams, withPace.awaited, withPace.inTime, ignoringPace.inTime)
	require.Less(t, withPace.endedStreams, ignoringPace.endedStreams/4)
}

// A fifth of the engines crashes and stays listed for some seconds. Their slots appear
// free, so the most urgent samples tried one crashed engine after the other, six at a
// time, while other samples took the slots that became free elsewhere.
func TestCrashedEnginesAreRarelyTried(t *testing.T) {
	play := func(noProbation bool) outcome {
		return runSeeds(1, func(seed uint64) load {
			l := sixTrainers(3.5, seed)
			l.duration, l.crashedShare, l.crashedAt, l.measuredPaces, l.noProbation = 14, 0.2, 6, true, noProbation
			return l
		})
	}
	withProbation, withoutProbation := play(false), play(true)
	t.Logf("streams broken off: %d, without probation %d; groups in time of %d: %d, %d", withProbation.endedStreams, withoutProbation.endedStreams, withProbation.awaited, withProbation.inTime, withoutProbation.inTime)
	require.Less(t, withProbation.endedStreams, withoutProbation.endedStreams/3)
}

// An engine that fails gets no samples for a pause that grows with each failure, then
// one sample until it has made an event. Neither the load of other callers nor its
// earlier samples change this.
func TestProbation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Probation
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		own := rapid.IntRange(0, slots).Draw(t, "own")
		load := own + rapid.IntRange(0, slots-own).Draw(t, "others'")
		require.Equal(t, slots, p.Slots("a", slots, load, own))
		pause := time.Duration(0)
		for range rapid.IntRange(1, 6).Draw(t, "failures") {
			next := p.RecordFailure("a")
			require.GreaterOrEqual(t, next, pause)
			pause = next
		}
		require.LessOrEqual(t, pause, time.Second)
		require.Equal(t, slots, p.Slots("b", slots, load, own))
		free := p.Slots("a", slots, load, own) - load
		require.LessOrEqual(t, own+free, max(1, own))
		p.RecordSuccess("a")
		require.Equal(t, slots, p.Slots("a", slots, load, own))
		require.Equal(t, minProbationPause, p.RecordFailure("a"))
	})
}
