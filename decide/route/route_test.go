package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/decide/topology"
)

func newCandidate(name string, change func(*Candidate)) Candidate {
	c := Candidate{Name: name, Hash: Hash(name), FailureDomain: "a", Ready: true, Slots: 4, Version: 7}
	if change != nil {
		change(&c)
	}
	return c
}

func newCandidates(n int) []Candidate {
	all := make([]Candidate, n)
	for i := range all {
		all[i] = newCandidate(fmt.Sprintf("vm-%d", i), nil)
	}
	return all
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestFilters(t *testing.T) {
	r := &Request{Floor: 7, Remaining: time.Second, Tried: map[string]bool{"tried": true}, TriedDomains: map[string]bool{"bad": true}}
	cases := []struct {
		filter Filter
		change func(*Candidate)
	}{
		{Ready{}, func(c *Candidate) { c.Ready = false }},
		{NotLeaving{}, func(c *Candidate) { c.Leaving = true }},
		{Untried{}, func(c *Candidate) { c.Name = "tried" }},
		{FreshWeights{}, func(c *Candidate) { c.Version = 6 }},
		{WithinDeadline{}, func(c *Candidate) { c.QueueWait = time.Second }},
		{NotEjected{}, func(c *Candidate) { c.Ejected = true }},
		{OtherDomain{}, func(c *Candidate) { c.FailureDomain = "bad" }},
		{HasFreeSlot{}, func(c *Candidate) { c.ReportedLoad = 4 }},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%T", c.filter), func(t *testing.T) {
			good, bad := newCandidate("s", nil), newCandidate("s", c.change)
			require.True(t, c.filter.Keep(r, &good))
			require.False(t, c.filter.Keep(r, &bad))
		})
	}
}

func TestScorers(t *testing.T) {
	base := newCandidate("s", func(c *Candidate) { c.ReportedLoad = 3; c.StreamRate = 50 })
	slow := newCandidate("s", func(c *Candidate) { c.ReportedLoad = 3; c.StreamRate = 25 })
	far := newCandidate("s", func(c *Candidate) { c.Distance = topology.OtherRegion })
	region := newCandidate("s", func(c *Candidate) { c.Distance = topology.SameRegion })
	require.Equal(t, 1.0, LoadScore{}.Score(nil, &base))
	require.Equal(t, 1.0, SpeedScore{TypicalRate: 50}.Score(nil, &base))
	require.Equal(t, 2.0, SpeedScore{TypicalRate: 50}.Score(nil, &slow))
	require.Equal(t, 1.0, SpeedScore{}.Score(nil, &slow))
	require.Equal(t, 0.0, DistanceScore{}.Score(nil, &base))
	require.Less(t, DistanceScore{}.Score(nil, &region), DistanceScore{}.Score(nil, &far))
}

func TestLoadCorrectsStaleReports(t *testing.T) {
	cases := []struct{ reported, ownAtReport, ownNow, want int }{
		{0, 0, 0, 0},
		{5, 2, 2, 5}, // the report includes our two
		{5, 2, 6, 9}, // four more were sent since the report
		{5, 2, 0, 3}, // ours have ended since the report
		{0, 4, 4, 4}, // the report predates our four
	}
	for _, c := range cases {
		got := Candidate{ReportedLoad: c.reported, OwnLoadAtReport: c.ownAtReport, OwnLoad: c.ownNow}
		require.Equal(t, c.want, got.Load(), "%+v", c)
	}
}

// A burst arrives while the reports show server 0 idle and one request at each
// other server. Without the correction for the entry's own requests, the whole
// burst would go to server 0 and queue there.
func TestStaleReportsCauseNoHerding(t *testing.T) {
	servers := newCandidates(4)
	for i := 1; i < 4; i++ {
		servers[i].ReportedLoad = 1
	}
	rng, scratch := newRand(), &Scratch{}
	policy := &Policy{Stages: HardStages(), Scorers: []Scorer{LoadScore{}}, Picker: LowestScore{}}
	for range 13 {
		choice := policy.Pick(&Request{}, servers, rng, scratch)
		servers[choice.Index].OwnLoad++
	}
	for i := range servers {
		require.Equal(t, 4, servers[i].Load(), servers[i].Name)
	}
}

// Two hundred entries have the same report, in which one server is idle, and each
// sends one request. If each picked the lowest score, all would queue at that
// server.
func TestTwoChoicesSpreadsRequestsOfManyEntries(t *testing.T) {
	hits := map[int]int{}
	for seed := range 200 {
		servers := newCandidates(20)
		for i := 1; i < 20; i++ {
			servers[i].ReportedLoad = 1
		}
		rng := rand.New(rand.NewPCG(uint64(seed), 3))
		choice := ForCalls().Pick(&Request{}, servers, rng, &Scratch{})
		hits[choice.Index]++
	}
	require.Less(t, hits[0], 120)
	require.Greater(t, len(hits), 15)
}

func TestTwoChoicesPicksFromBestShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "n")
		scored := make([]Scored, n)
		scores := make([]float64, n)
		for i := range scored {
			scores[i] = float64(rapid.IntRange(0, 9).Draw(t, "score"))
			scored[i] = Scored{Index: i, Score: scores[i]}
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		index, _ := TwoChoices{BestShare: 0.25}.Pick(nil, scored, rng)
		better := 0
		for _, s := range scores {
			if s < scored[index].Score {
				better++
			}
		}
		if limit := max(2, (n+3)/4); better >= limit {
			t.Fatalf("%d of %d were better than the choice", better, n)
		}
	})
}

func TestSoftStagesAreSkippedWhenNoneIsLeft(t *testing.T) {
	servers := newCandidates(2)
	servers[0].Ejected, servers[1].Ejected = true, true
	choice := ForCalls().Pick(&Request{}, servers, newRand(), &Scratch{})
	require.GreaterOrEqual(t, choice.Index, 0)
	require.Equal(t, StageEjected, choice.SkippedStage)
	servers[1].Ejected = false
	for range 20 {
		require.Equal(t, 1, ForCalls().Pick(&Request{}, servers, newRand(), &Scratch{}).Index)
	}
}

func TestPickReportsTheStageThatLeftNone(t *testing.T) {
	require.Equal(t, StageMembers, ForCalls().Pick(&Request{}, nil, newRand(), &Scratch{}).EmptiedBy)
	servers := newCandidates(1)
	require.Equal(t, StageFresh, ForModels(0).Pick(&Request{Floor: 9}, servers, newRand(), &Scratch{}).EmptiedBy)
	servers[0].QueueWait = time.Minute
	require.Equal(t, StageDeadline, ForCalls().Pick(&Request{Remaining: time.Second}, servers, newRand(), &Scratch{}).EmptiedBy)
}

// Prompts of one popular template overload one engine while others are idle. At
// the load bound they must go to the next server in rendezvous order, and return
// to the first one when its load has dropped.
func TestPrefixAffinitySpillsAtMaxLoad(t *testing.T) {
	servers := newCandidates(8)
	r := &Request{Prefix: PrefixHash("order template")}
	pick := func() Choice { return ForModels(0).Pick(r, servers, newRand(), &Scratch{}) }
	owner := pick().Index
	require.Equal(t, "prefix", pick().Reason)
	servers[owner].ReportedLoad = 12
	spilled := pick()
	require.NotEqual(t, owner, spilled.Index)
	require.Equal(t, "prefix: spilled", spilled.Reason)
	servers[owner].ReportedLoad = 0
	require.Equal(t, owner, pick().Index)
	warm := (owner + 1) % 8
	servers[warm].WarmPrefixes, r.EnginePrefix = []uint64{77}, 77
	require.Equal(t, warm, pick().Index)
}

func TestPrefixAffinityBoundsLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := newCandidates(rapid.IntRange(2, 20).Draw(t, "n"))
		policy, rng, scratch := ForModels(0), newRand(), &Scratch{}
		r := &Request{Prefix: rapid.Uint64Min(1).Draw(t, "prefix")}
		sent := rapid.IntRange(1, 200).Draw(t, "sent")
		for range sent {
			servers[policy.Pick(r, servers, rng, scratch).Index].OwnLoad++
		}
		limit := int(maxPrefixLoadFactor*float64(sent)/float64(len(servers))) + 2
		for i := range servers {
			if servers[i].OwnLoad > limit {
				t.Fatalf("%d of %d on one server, the bound is %d", servers[i].OwnLoad, sent, limit)
			}
		}
	})
}

// A request with an idempotency key is repeated through another entry, which lists
// the servers in another order and sees other loads. The repeat must go to the
// same server; otherwise the first answer has to be fetched from elsewhere.
func TestKeyAffinityIsIndependentOfEntryAndLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := newCandidates(rapid.IntRange(1, 30).Draw(t, "n"))
		r := &Request{Key: Hash(rapid.String().Draw(t, "key"))}
		first := servers[ForKeyed().Pick(r, servers, newRand(), &Scratch{}).Index].Name
		others := rapid.Permutation(servers).Draw(t, "order")
		for i := range others {
			others[i].ReportedLoad = rapid.IntRange(0, 9).Draw(t, "load")
		}
		require.Equal(t, first, others[ForKeyed().Pick(r, others, newRand(), &Scratch{}).Index].Name)
	})
}

func BenchmarkPick(b *testing.B) {
	policies := map[string]func() (*Policy, *Request){
		"calls":  func() (*Policy, *Request) { return ForCalls(), &Request{Remaining: time.Minute} },
		"keyed":  func() (*Policy, *Request) { return ForKeyed(), &Request{Key: 9} },
		"models": func() (*Policy, *Request) { return ForModels(40), &Request{Prefix: 9, Remaining: time.Minute} },
	}
	for name, newPolicy := range policies {
		for _, n := range []int{100, 500, 1500} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				policy, r := newPolicy()
				servers, rng, scratch := newCandidates(n), newRand(), &Scratch{}
				b.ReportAllocs()
				for b.Loop() {
					policy.Pick(r, servers, rng, scratch)
				}
			})
		}
	}
}
