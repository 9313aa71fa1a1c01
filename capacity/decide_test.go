package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dandelionsill.org/decide/route"
	"dandelionsill.org/decide/straggle"
	"dandelionsill.org/decide/subset"
	"dandelionsill.org/decide/topology"
	"dandelionsill.org/decide/waves"
)

// serverCounts are the numbers of servers at which the benchmarks measure.
var serverCounts = []int{100, 500, Servers}

// entriesFor returns the number of entries for a number of servers, in the
// proportion of the full size.
func entriesFor(servers int) int { return max(1, servers*Entries/Servers) }

// BenchmarkSubset chooses one entry's subset and reports its size.
func BenchmarkSubset(b *testing.B) {
	for _, servers := range serverCounts {
		for _, pools := range []int{1, 4, 12} {
			b.Run(fmt.Sprintf("servers=%d/pools=%d", servers, pools), func(b *testing.B) {
				entries, agents := EntryMembers(entriesFor(servers)), AgentMembers(servers, pools)
				n := 0
				for i := 0; b.Loop(); i++ {
					n += len(subset.Choose(entries[i%len(entries)], entries, agents, subset.Default))
				}
				b.ReportMetric(float64(n)/float64(b.N), "agents/entry")
				b.ReportMetric(float64(n)/float64(b.N)*float64(len(entries))/float64(servers), "entries/agent")
			})
		}
	}
}

// BenchmarkSubsetOwner chooses the subset of an entry that owns a step of one of a
// pool's trainers and reports how many of the pool's agents it has. The 24 trainers
// of the full size are spread over the pools.
func BenchmarkSubsetOwner(b *testing.B) {
	for _, servers := range serverCounts {
		for _, pools := range []int{1, 4, 12} {
			b.Run(fmt.Sprintf("servers=%d/pools=%d", servers, pools), func(b *testing.B) {
				entries, agents := EntryMembers(entriesFor(servers)), AgentMembers(servers, pools)
				pool, n := agents[0].Pool, 0
				for i := 0; b.Loop(); i++ {
					self, cfg := entries[i%len(entries)], subset.Default
					cfg.MinPicks = map[string]int{pool: subset.PicksForSteps(self, agents, pool, Trainers/pools, cfg)}
					n += countPool(subset.Choose(self, entries, agents, cfg), agents, pool)
				}
				b.ReportMetric(float64(n)/float64(b.N), "of-pool/entry")
			})
		}
	}
}

func countPool(names []string, agents []subset.Member, pool string) int {
	n := 0
	for _, a := range agents {
		if _, found := slices.BinarySearch(names, a.Name); found && a.Pool == pool {
			n++
		}
	}
	return n
}

// BenchmarkLearnPools starts an entry that does not know yet which pool each agent
// serves. It learns the pools of the agents that it watches and chooses its subset
// again each second (fleet.maintenanceInterval), until a round finds no new pool.
func BenchmarkLearnPools(b *testing.B) {
	for _, servers := range serverCounts {
		b.Run(fmt.Sprintf("servers=%d/pools=4", servers), func(b *testing.B) {
			rounds, connects, known := 0, 0, 0
			for b.Loop() {
				rounds, connects, known = learnPools(servers, 4)
			}
			b.ReportMetric(float64(rounds), "rounds")
			b.ReportMetric(float64(connects), "connects")
			b.ReportMetric(float64(known), "known")
		})
	}
}

func learnPools(servers, pools int) (rounds, connects, known int) {
	entries, actual := EntryMembers(entriesFor(servers)), AgentMembers(servers, pools)
	agents := slices.Clone(actual)
	indexByName := map[string]int{}
	for i := range agents {
		agents[i].Pool = ""
		indexByName[agents[i].Name] = i
	}
	watched := map[string]bool{}
	for learned := true; learned; rounds++ {
		learned = false
		next := map[string]bool{}
		for _, name := range subset.Choose(entries[0], entries, agents, subset.Default) {
			next[name] = true
			if !watched[name] {
				connects++
			}
			if a := &agents[indexByName[name]]; a.Pool == "" {
				a.Pool, learned = actual[indexByName[name]].Pool, true
				known++
			}
		}
		watched = next
	}
	return rounds, connects, known
}

// BenchmarkPick picks a server for one request.
func BenchmarkPick(b *testing.B) {
	policies := map[string]*route.Policy{"calls": route.ForCalls(), "keyed": route.ForKeyed(), "models": route.ForModels(50)}
	for _, servers := range serverCounts {
		for _, name := range []string{"calls", "keyed", "models"} {
			b.Run(fmt.Sprintf("servers=%d/policy=%s", servers, name), func(b *testing.B) {
				rng := rand.New(rand.NewPCG(1, 2))
				candidates := newCandidates(servers, rng)
				var scratch route.Scratch
				for i := 0; b.Loop(); i++ {
					r := &route.Request{Prefix: uint64(i%64 + 1), Key: uint64(i + 1), Floor: 5}
					policies[name].Pick(r, candidates, rng, &scratch)
				}
			})
		}
	}
}

func newCandidates(n int, rng *rand.Rand) []route.Candidate {
	all := make([]route.Candidate, n)
	for i := range all {
		all[i] = route.Candidate{
			Name: agentName(i), Hash: route.Hash(agentName(i)), FailureDomain: failureDomain(i),
			Distance: topology.Distance(i % 3), Ready: true, Version: 7, Slots: 32,
			ReportedLoad: rng.IntN(32), StreamRate: 40 + 20*rng.Float64(), WarmPrefixes: make([]uint64, 64),
		}
	}
	return all
}

// BenchmarkWaves plans the rollout of one version. The fetch time and makespan are
// computed from the plan for 200 MB, a store of 1 GB/s, links of 750 MB/s and swaps
// of 1 s.
func BenchmarkWaves(b *testing.B) {
	rates := waves.Rates{Bytes: 200e6, StoreBytesPerSecond: 1e9, LinkBytesPerSecond: 750e6}
	for _, servers := range serverCounts {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			fleet := WaveServers(servers)
			var plan *waves.Plan
			for b.Loop() {
				plan = waves.New("model-0", 7, fleet)
			}
			b.ReportMetric(plan.FetchTime(rates).Seconds(), "fetch-s")
			b.ReportMetric(plan.Makespan(rates, time.Second).Seconds(), "makespan-s")
		})
	}
}

// BenchmarkStraggle runs one scheduler pass over the plan of a complete step, with
// every slot taken and progress on each stream.
func BenchmarkStraggle(b *testing.B) {
	for _, servers := range []int{10, 35, 60, 100, 500, Servers} {
		b.Run(fmt.Sprintf("samples=%d/servers=%d", StepSamples, servers), func(b *testing.B) {
			plan, view, runs := runningStep(servers)
			chunks, now := 1, time.Second
			for b.Loop() {
				now += 60 * time.Millisecond // long enough for each pass to measure
				chunks++
				for _, run := range runs {
					plan.Observe(run, chunks*8, chunks, 1, now)
				}
				plan.Next(now, view)
			}
			b.ReportMetric(float64(len(runs)), "streams")
		})
	}
}

// runningStep returns a plan whose samples fill the servers' slots, the servers and
// the runs.
func runningStep(servers int) (*straggle.Plan, []straggle.Server, []straggle.RunID) {
	const group = 16
	groups := make([]straggle.Group, StepSamples/group)
	for i := range groups {
		groups[i] = straggle.Group{Samples: group, MaxTokens: math.MaxInt32, Prefix: uint64(i + 1)}
	}
	plan := straggle.New(straggle.Config{Mixed: true, HedgePercent: 5}, groups)
	view := make([]straggle.Server, servers)
	for i := range view {
		view[i] = straggle.Server{Name: agentName(i), Free: 32, StreamRate: 30, Version: 1}
	}
	var runs []straggle.RunID
	for _, a := range plan.Next(0, slices.Clone(view)) {
		runs = append(runs, a.Run)
		plan.Started(a.Run, 0)
		plan.Observe(a.Run, 8, 1, 1, 500*time.Millisecond)
	}
	for i := range view {
		view[i].Free, view[i].Running = 0, 32
	}
	return plan, view, runs
}
