package straggle_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/decide/straggle"
)

func servers(free ...int) []straggle.Server {
	names := []string{"vm-a", "vm-b", "vm-c", "vm-d"}
	var out []straggle.Server
	for i, n := range free {
		out = append(out, straggle.Server{Name: names[i], Free: n, StreamRate: 50, Version: 1})
	}
	return out
}

func started(acts []straggle.Action) (samples []int) {
	for _, a := range acts {
		if a.Kind == straggle.Start {
			samples = append(samples, a.Sample)
		}
	}
	return samples
}

func TestStartOrder(t *testing.T) {
	limited := []straggle.Group{{Samples: 2, MaxTokens: 20}, {Samples: 2, MaxTokens: 400}, {Samples: 2, MaxTokens: 200}}
	hinted := []straggle.Group{
		{Samples: 2, MaxTokens: 1000, Hint: 10}, {Samples: 2, MaxTokens: 1000, Hint: 200}, {Samples: 2, MaxTokens: 1000, Hint: 100},
	}
	for name, c := range map[string]struct {
		groups []straggle.Group
		policy straggle.Policy
		want   []int
	}{
		"one probe of each group, then longest first": {limited, straggle.Policy{}, []int{2, 4, 0, 3, 5, 1}},
		"hinted groups need no probe":                 {hinted, straggle.Policy{}, []int{2, 3, 4, 5, 0, 1}},
		"the trainer's order":                         {hinted, straggle.Policy{NoLongestFirst: true}, []int{0, 1, 2, 3, 4, 5}},
	} {
		t.Run(name, func(t *testing.T) {
			p := straggle.New(straggle.Config{Policy: c.policy}, c.groups)
			require.Equal(t, c.want, started(p.Next(0, servers(6))))
		})
	}
}

// The samples of a group run on one server until it reaches the load bound,
// and then spill to the others.
func TestSiblingsShareAServerUntilTheBound(t *testing.T) {
	p := straggle.New(straggle.Config{}, []straggle.Group{{Samples: 12, MaxTokens: 100, Prefix: 7}})
	at := map[string]int{}
	for _, a := range p.Next(0, servers(8, 8, 8)) {
		at[a.Server]++
	}
	most := 0
	for _, n := range at {
		most = max(most, n)
	}
	require.Len(t, at, 3)
	require.GreaterOrEqual(t, most, 5)
	require.Less(t, most, 8)
}

// A fleet that prefers low staleness starts samples on the newest weights
// while servers with these have free slots, and leaves no slot idle for that.
func TestNewestWeightsFirst(t *testing.T) {
	p := straggle.New(straggle.Config{PreferNew: true}, []straggle.Group{{Samples: 12, MaxTokens: 100, Prefix: 7}})
	pool := servers(4, 4, 4)
	pool[1].Version = 2
	acts := p.Next(0, pool)
	require.Len(t, acts, 12)
	for _, a := range acts[:4] {
		require.Equal(t, "vm-b", a.Server)
	}
}

// startPlan starts a plan with one group of n samples on pool and reports
// chunks at a regular pace until the returned time.
func startPlan(t *testing.T, cfg straggle.Config, n int, pool []straggle.Server) (*straggle.Plan, []straggle.Action, time.Duration) {
	p := straggle.New(cfg, []straggle.Group{{Samples: n, MaxTokens: 1000, Hint: 500}})
	acts := p.Next(0, pool)
	require.Len(t, acts, n)
	var now time.Duration
	for i := 1; i <= 10; i++ {
		now += 100 * time.Millisecond
		for _, a := range acts {
			p.Observe(a.Run, 5*i, i, 1, now)
		}
		require.Empty(t, p.Next(now, servers(0, 0)))
	}
	return p, acts, now
}

// A stream stops sending chunks although its server reports free slots, or its
// agent is unresponsive and no longer offered, so that one server is left. In
// both cases the stream is cancelled and its sample started elsewhere equally
// soon, and the silent server gets no new work.
func TestSilentStreamIsRunElsewhere(t *testing.T) {
	t.Run("offered", func(t *testing.T) {
		requireRunElsewhere(t, func(string) []straggle.Server { return servers(1, 1) })
	})
	t.Run("not offered", func(t *testing.T) {
		requireRunElsewhere(t, func(silent string) []straggle.Server {
			return slices.DeleteFunc(servers(1, 1), func(s straggle.Server) bool { return s.Name == silent })
		})
	})
}

func requireRunElsewhere(t *testing.T, offered func(silent string) []straggle.Server) {
	p, acts, now := startPlan(t, straggle.Config{}, 2, servers(1, 1))
	silent, other := acts[0], acts[1]
	for i := 11; i <= 25; i++ {
		now += 100 * time.Millisecond
		p.Observe(other.Run, 5*i, i, 1, now)
		for _, a := range p.Next(now, offered(silent.Server)) {
			if a.Kind == straggle.Cancel && a.Run == silent.Run {
				require.Equal(t, straggle.ReasonNoProgress, a.Reason)
				require.Equal(t, 50, p.ResumableTokens(silent.Sample))
			}
			if a.Kind == straggle.Start {
				require.Equal(t, silent.Sample, a.Sample)
				require.Equal(t, other.Server, a.Server)
				return
			}
		}
	}
	t.Fatal("the sample was not started elsewhere")
}

// A second copy that generates more tokens than were reserved for it is
// cancelled if the hedge budget is exhausted.
func TestHedgeBeyondItsBudgetIsStopped(t *testing.T) {
	p, acts, now := slowPlan(t, straggle.Config{HedgePercent: 100}, 2)
	require.Equal(t, straggle.Hedge, acts[0].Kind)
	p.Started(acts[0].Run, 0)
	for i := 1; ; i++ {
		now += 100 * time.Millisecond
		p.Observe(acts[0].Run, 50*i, i, 2, now)
		if got := p.Next(now, servers(0, 0)); len(got) > 0 {
			require.Equal(t, straggle.Cancel, got[0].Kind)
			require.Equal(t, acts[0].Run, got[0].Run)
			require.InDelta(t, p.HedgeBudget(), 50*i, 50, "no earlier and no later")
			return
		}
	}
}

// slowStreamActions returns what slowPlan's plan does for the slow stream.
func slowStreamActions(t *testing.T, cfg straggle.Config, version uint64) []straggle.Action {
	_, acts, _ := slowPlan(t, cfg, version)
	return acts
}

// slowPlan makes vm-b's stream ten times slower than vm-a's, finishes vm-a's,
// and returns the plan, its next actions and the time.
func slowPlan(t *testing.T, cfg straggle.Config, version uint64) (*straggle.Plan, []straggle.Action, time.Duration) {
	p, acts, now := startPlan(t, cfg, 2, servers(1, 1))
	fast, slow := acts[0], acts[1]
	for i := 11; i <= 60; i++ {
		now += 100 * time.Millisecond
		p.Observe(fast.Run, 5*i, i, 1, now)
		if i%10 == 0 {
			p.Observe(slow.Run, 50+i/2, 10+i/10, 1, now)
		}
		require.Empty(t, p.Next(now, servers(0, 0)))
	}
	_, cancel := p.Finished(fast.Run, 500, now)
	require.Empty(t, cancel)
	pool := servers(1, 1)
	for i := range pool {
		pool[i].Version = version
	}
	now += 100 * time.Millisecond
	return p, p.Next(now, pool), now
}

func TestTailOfASlowServer(t *testing.T) {
	for name, c := range map[string]struct {
		cfg     straggle.Config
		version uint64
		want    []straggle.Kind
	}{
		"moved":                                {straggle.Config{}, 1, []straggle.Kind{straggle.Move}},
		"moved to another version where mixed": {straggle.Config{Mixed: true}, 2, []straggle.Kind{straggle.Move}},
		"hedged where it can't be resumed":     {straggle.Config{HedgePercent: 100}, 2, []straggle.Kind{straggle.Hedge}},
		"hedged where moves are off":           {straggle.Config{HedgePercent: 100, Policy: straggle.Policy{NoMove: true}}, 1, []straggle.Kind{straggle.Hedge}},
		"left alone beyond the budget":         {straggle.Config{HedgePercent: 5}, 2, nil},
		"left alone with hedges off":           {straggle.Config{HedgePercent: 100, Policy: straggle.Policy{NoHedge: true}}, 2, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var got []straggle.Kind
			for _, a := range slowStreamActions(t, c.cfg, c.version) {
				got = append(got, a.Kind)
			}
			require.Equal(t, c.want, got)
		})
	}
}

// Runs finish, fail, stall and are found finished elsewhere in any order. Each
// sample is always queued, running or finished; no usable slot is free while a
// sample waits; a sample has at most two copies; and tokens wasted by hedges
// stay within their budget, except for those generated between two decisions.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := straggle.Config{HedgePercent: rapid.Float64Range(0, 30).Draw(t, "hedge"), Mixed: rapid.Bool().Draw(t, "mixed"), PreferNew: rapid.Bool().Draw(t, "prefer new")}
		var groups []straggle.Group
		total := 0
		for range rapid.IntRange(1, 8).Draw(t, "groups") {
			g := straggle.Group{Samples: rapid.IntRange(1, 6).Draw(t, "samples"), MaxTokens: 400, Prefix: rapid.Uint64().Draw(t, "prefix")}
			total += g.Samples
			groups = append(groups, g)
		}
		p := straggle.New(cfg, groups)
		d := newDriver(p)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			d.now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
			d.randomEvent(t, total)
			free := d.decide(t)
			st := p.Stats()
			require.Equal(t, total, st.Queued+st.Running+st.Finished)
			require.Equal(t, len(d.finished), st.Finished)
			if st.Queued > d.countBackoffs() {
				require.LessOrEqual(t, free, 0, "a free slot while %d samples wait", st.Queued)
			}
			for s, n := range d.copiesBySample() {
				require.LessOrEqual(t, n, 2)
				require.False(t, d.finished[s], "a finished sample runs")
			}
			require.LessOrEqual(t, st.HedgeWasted, p.HedgeBudget()+d.maxTokensBetweenDecisions, "hedge budget")
		}
	})
}

// BenchmarkStep runs a whole step of 2,048 samples on 40 servers with 32
// slots.
func BenchmarkStep(b *testing.B) {
	b.ReportAllocs()
	calls := 0
	for b.Loop() {
		s := newSim(straggle.Config{HedgePercent: 5}, 40, 32, 256, 8, 1024, 1)
		s.beforeNext = func(*sim) { calls++ }
		s.run()
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(calls), "µs/Next(with_sim)")
}

// BenchmarkNext makes one decision, including a measurement, with all slots in
// use.
func BenchmarkNext(b *testing.B) {
	s := newSim(straggle.Config{HedgePercent: 5}, 40, 32, 256, 8, 1024, 1)
	for s.now < 3*time.Second {
		for _, a := range s.plan.Next(s.now, s.serverView()) {
			s.apply(a)
		}
		s.now += simStep
		s.advance()
	}
	view := s.serverView()
	b.ReportAllocs()
	for b.Loop() {
		s.now += 60 * time.Millisecond
		s.plan.Next(s.now, view)
	}
}

// Each mechanism must be worth its cost on steps with several times as many
// samples as slots. Without longest-first order, long samples that start late
// delay the end of the step; without affinity, engines compute each prompt
// several times while all of their streams wait.
func TestMechanismsShortenSteps(t *testing.T) {
	mean := func(p straggle.Policy) (ratio float64, cold int) {
		const seeds = 6
		for seed := range uint64(seeds) {
			s := newSim(straggle.Config{Policy: p}, 4, 16, 112, 8, 1200, seed)
			ratio += s.run().Seconds() / s.idealMakespan() / seeds
			cold += s.coldStarts
		}
		return ratio, cold
	}
	all, warm := mean(straggle.Policy{})
	inOrder, _ := mean(straggle.Policy{NoLongestFirst: true})
	spread, cold := mean(straggle.Policy{NoAffinity: true})
	t.Logf("of the ideal makespan: %.3f, %.3f in the trainer's order, %.3f without affinity; prompts computed: %d, %d without affinity",
		all, inOrder, spread, warm, cold)
	require.Less(t, all, 1.12)
	require.Less(t, all, inOrder-0.03)
	require.Less(t, float64(warm), 0.8*float64(cold))
}
