package place

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func engine(id string, slots, load int) Engine {
	return Engine{ID: id, Slots: slots, Load: load, Versions: map[string]uint64{"m": 5}}
}

func sample(id string, remaining float64) Sample {
	return Sample{ID: id, Model: "m", Floor: 4, Remaining: remaining}
}

func TestAssign(t *testing.T) {
	stale := engine("stale", 8, 0)
	stale.Versions = map[string]uint64{"m": 3}
	loading := engine("loading", 8, 0)
	loading.Versions = map[string]uint64{}
	slow := engine("slow", 8, 0)
	slow.Pace = 0.13
	usual, usual2 := engine("usual", 8, 6), engine("usual2", 8, 6)
	usual.Pace, usual2.Pace = 0.037, 0.037
	avoiding := sample("a", 1)
	avoiding.Avoid = map[string]bool{"e1": true}
	carried := sample("carried", 1)
	carried.Rank = -1
	newer := engine("newer", 8, 0)
	newer.Versions = map[string]uint64{"m": 6}
	only := sample("only", 1)
	only.OnlyVersion = 5
	tests := []struct {
		name    string
		engines []Engine
		samples []Sample
		want    []Choice
	}{
		{"the longest first if slots are scarce", []Engine{engine("e1", 1, 0)}, []Sample{sample("s", 1), sample("l", 9)}, []Choice{{1, 0}}},
		{"rank takes precedence over length", []Engine{engine("e1", 1, 0)}, []Sample{sample("l", 9), carried}, []Choice{{1, 0}}},
		{"the engine with the most free slots", []Engine{engine("e1", 8, 5), engine("e2", 8, 2)}, []Sample{sample("s", 1)}, []Choice{{0, 1}}},
		{"nothing if all engines are full", []Engine{engine("e1", 8, 8)}, []Sample{sample("s", 1)}, nil},
		{"no engine with weights older than the floor", []Engine{stale}, []Sample{sample("s", 1)}, nil},
		{"no engine that is loading the model", []Engine{loading}, []Sample{sample("s", 1)}, nil},
		{"no engine on which it failed recently", []Engine{engine("e1", 8, 0), engine("e2", 8, 7)}, []Sample{avoiding}, []Choice{{0, 1}}},
		{"only the version that started it", []Engine{newer, engine("e1", 8, 7)}, []Sample{only}, []Choice{{0, 1}}},
		{"a slow engine last", []Engine{slow, usual, usual2}, []Sample{sample("s", 1)}, []Choice{{0, 1}}},
		{"a slow engine rather than none", []Engine{slow}, []Sample{sample("s", 1)}, []Choice{{0, 0}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, Assign(test.engines, test.samples))
		})
	}
}

// Siblings share a prompt that an engine reads once. They go to the same engine if
// others have as many free slots, but not so many that another stays idle.
func TestSiblingsShareAnEngineWithinASlot(t *testing.T) {
	siblings := make([]Sample, 4)
	for i := range siblings {
		siblings[i] = sample("s", 1)
		siblings[i].Prompt = "p"
	}
	choices := Assign([]Engine{engine("e1", 8, 0), engine("e2", 8, 0)}, siblings)
	count := map[int]int{}
	for _, c := range choices {
		count[c.Engine]++
	}
	require.Equal(t, map[int]int{0: 2, 1: 2}, count)
	require.Equal(t, choices[0].Engine, choices[1].Engine)
}

func TestHasOnlyVersion(t *testing.T) {
	only := sample("only", 1)
	only.OnlyVersion = 5
	require.True(t, HasOnlyVersion([]Engine{engine("full", 8, 8)}, &only))
	only.OnlyVersion = 4
	require.False(t, HasOnlyVersion([]Engine{engine("newer", 8, 0)}, &only))
}

func TestChooseMigration(t *testing.T) {
	slow, usual, full := engine("slow", 8, 2), engine("usual", 8, 3), engine("full", 8, 8)
	slow.Pace, usual.Pace, full.Pace = 0.12, 0.037, 0.038
	at := func(id string, remaining float64) Running {
		return Running{Sample: sample(id, remaining), Engine: "slow"}
	}
	require.Equal(t, 1, ChooseMigration([]Engine{slow, usual, full}, []Running{at("short", 1), at("long", 9)}), "the longest sample migrates")
	require.Equal(t, -1, ChooseMigration([]Engine{slow, full, full}, []Running{at("long", 9)}), "no free slot elsewhere")
	require.Equal(t, -1, ChooseMigration([]Engine{usual, full}, []Running{{Sample: sample("s", 1), Engine: "usual"}}), "not slow")
	require.Equal(t, -1, ChooseMigration([]Engine{engine("unknown", 8, 0)}, []Running{at("s", 1)}), "no pace is known")
}

// hasUsableSlot reports whether there is a free slot that a sample should have taken.
func hasUsableSlot(engines []Engine, s *Sample) bool {
	median := medianPace(engines)
	usual, slow := 0, 0
	for i := range engines {
		switch e := &engines[i]; {
		case !serves(e, s):
		case isSlow(e, median):
			slow++
		default:
			usual++
		}
	}
	return slices.ContainsFunc(engines, func(e Engine) bool {
		waits := isSlow(&e, median) && usual >= slow && s.Remaining*e.Pace > maxSlowShare*s.Due && s.Waited <= maxSlowWait
		return !waits && !s.Avoid[e.ID] && hasFreeSlotFor(&e, s)
	})
}

// For any load, no engine gets more samples than it has slots, no sample goes to an
// engine that may not make it, and no sample waits while a slot is free. The exception
// is a free slot on a slow engine, if at least as many engines of normal speed serve
// the sample, it would be late there and it has not waited long.
func TestAssignInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := make([]Engine, rapid.IntRange(0, 6).Draw(t, "engines"))
		for i := range engines {
			engines[i] = engine(string(rune('a'+i)), rapid.IntRange(1, 4).Draw(t, "slots"), rapid.IntRange(0, 5).Draw(t, "load"))
			engines[i].Versions["m"] = rapid.Uint64Range(3, 6).Draw(t, "version")
			engines[i].Pace = rapid.Float64Range(0, 1).Draw(t, "pace")
		}
		before := append([]Engine(nil), engines...)
		samples := make([]Sample, rapid.IntRange(0, 12).Draw(t, "samples"))
		for i := range samples {
			samples[i] = sample("s", rapid.Float64Range(0, 9).Draw(t, "left"))
			samples[i].Floor = rapid.Uint64Range(3, 6).Draw(t, "floor")
			samples[i].Due = rapid.Float64Range(-1, 40).Draw(t, "due")
			samples[i].Waited = rapid.Float64Range(0, 4).Draw(t, "waited")
		}
		placed := map[int]bool{}
		for _, c := range Assign(engines, samples) {
			require.False(t, placed[c.Sample])
			placed[c.Sample] = true
			require.GreaterOrEqual(t, engines[c.Engine].Versions["m"], samples[c.Sample].Floor)
		}
		for i, e := range engines {
			require.LessOrEqual(t, e.Load, max(e.Slots, before[i].Load))
		}
		for i := range samples {
			if !placed[i] {
				require.False(t, hasUsableSlot(engines, &samples[i]), "a usable slot stayed free")
			}
		}
	})
}

// A whole step of one trainer in a fleet of 45 engines.
func BenchmarkAssignStep(b *testing.B) {
	samples := make([]Sample, 136)
	for i := range samples {
		samples[i] = sample("s", float64(i*7919%100))
		samples[i].Prompt = string(rune('a' + i/8))
	}
	for b.Loop() {
		engines := make([]Engine, 45)
		for i := range engines {
			engines[i] = engine("e", 6, i%4)
		}
		Assign(engines, samples)
	}
}

// Only one version may continue a sample, and the only engine that has this version
// breaks off each stream after an event. Engines with newer weights are free, and the
// trainer waits for this sample alone. It must restart on one of them, unless its text
// is worth more than the time that staying costs.
func TestShouldRestart(t *testing.T) {
	old, fresh := engine("old", 8, 1), engine("fresh", 8, 1)
	old.Versions, fresh.Versions = map[string]uint64{"m": 1}, map[string]uint64{"m": 2}
	old.Pace, fresh.Pace = 0.03, 0.03
	full := fresh
	full.Load = full.Slots
	unknown := func(e Engine) Engine { e.Pace = 0; return e }
	tests := []struct {
		name      string
		engines   []Engine
		only      uint64
		remaining float64
		progress  Progress
		want      bool
	}{
		{"an event in each stream", []Engine{old, fresh}, 1, 30, Progress{Made: 3, MadeByOwner: 3, OwnerSeconds: 1.3, BrokenStreams: 3}, true},
		{"the first stream breaks off after one event", []Engine{old, fresh}, 1, 30, Progress{Made: 1, MadeByOwner: 1, OwnerSeconds: 0.5, BrokenStreams: 1}, true},
		{"one break near the end of the text", []Engine{old, fresh}, 1, 20, Progress{Made: 140, MadeByOwner: 140, OwnerSeconds: 4.7, BrokenStreams: 1}, false},
		{"taken over late, one break", []Engine{old, fresh}, 1, 20, Progress{Made: 140, MadeByOwner: 0, OwnerSeconds: 0.05, BrokenStreams: 1}, false},
		{"it waits for a slot, no stream broke", []Engine{old, fresh}, 1, 30, Progress{Made: 3, MadeByOwner: 3, OwnerSeconds: 9}, false},
		{"no engine has delivered two events, two breaks", []Engine{unknown(old), unknown(fresh)}, 1, 30, Progress{Made: 2, MadeByOwner: 2, OwnerSeconds: 0.5, BrokenStreams: 2}, true},
		{"no engine has delivered two events, one break", []Engine{unknown(old), unknown(fresh)}, 1, 30, Progress{Made: 1, MadeByOwner: 1, OwnerSeconds: 0.1, BrokenStreams: 1}, false},
		{"no other engine has a free slot", []Engine{old, full}, 1, 30, Progress{Made: 3, MadeByOwner: 3, OwnerSeconds: 1.3, BrokenStreams: 3}, false},
		{"no other engine exists", []Engine{old}, 1, 30, Progress{Made: 3, MadeByOwner: 3, OwnerSeconds: 1.3, BrokenStreams: 3}, false},
		{"any version may continue it", []Engine{old, fresh}, 0, 30, Progress{Made: 3, MadeByOwner: 3, OwnerSeconds: 1.3, BrokenStreams: 3}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := Sample{Model: "m", Floor: 1, OnlyVersion: test.only, Remaining: test.remaining}
			require.Equal(t, test.want, ShouldRestart(test.engines, &s, test.progress))
		})
	}
}

// An engine is 1.3 times slower than the others. A long sample saves seconds by
// continuing elsewhere, a short one saves less than the migration costs. Without an
// estimate, from a hint alone, this is unknown.
func TestLongSampleMigratesFromSlightlySlowEngine(t *testing.T) {
	slower, usual, full := engine("slower", 8, 3), engine("usual", 8, 3), engine("full", 8, 8)
	slower.Pace, usual.Pace, full.Pace = 0.1, 0.075, 0.05
	engines := []Engine{slower, usual, full, usual}
	at := func(id string, remaining float64, estimated bool) Running {
		return Running{Sample: sample(id, remaining), Engine: "slower", Estimated: estimated}
	}
	require.Equal(t, 2, ChooseMigration(engines, []Running{at("short", 10, true), at("long", 40, true), at("longer", 50, true)}))
	require.Equal(t, -1, ChooseMigration(engines, []Running{at("short", 10, true), at("hinted", 500, false)}))
	mismeasured := engine("odd", 8, 0) // measured far too low
	mismeasured.Pace = 0.04
	fewer := []Engine{usual, usual, usual, mismeasured, usual}
	require.Equal(t, -1, ChooseMigration(fewer, []Running{{Sample: sample("long", 50), Engine: "usual", Estimated: true}}))
	avoiding := at("long", 40, true)
	avoiding.Avoid = map[string]bool{"usual": true}
	require.Equal(t, -1, ChooseMigration(engines, []Running{avoiding}))
}

// Samples leave an engine that a fault has slowed down, so its pace is no longer
// measured. It must be tried again some seconds later; otherwise it would count as slow
// and stay unused for the rest of the day.
func TestPaceEstimatesDecay(t *testing.T) {
	now := time.Unix(1000, 0)
	var paces PaceEstimator
	require.Empty(t, paces.At(now))
	for range 50 {
		paces.Observe("a", 75*time.Millisecond, now)
		paces.Observe("b", 75*time.Millisecond, now)
		paces.Observe("slow", 260*time.Millisecond, now)
	}
	require.InDelta(t, 0.26, paces.At(now)["slow"], 0.01)
	later := paces.At(now.Add(2 * paceHalfLife))
	require.InDelta(t, 0.075, later["a"], 0.001)
	require.Less(t, later["slow"], slowFactor*0.075)
}
