package waves_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/decide/waves"
)

const (
	fleetServers = 1500
	fleetDomains = 24
)

func fleet(n, domains int) []waves.Server {
	out := make([]waves.Server, n)
	for i := range out {
		out[i] = waves.Server{Name: fmt.Sprint("s", i), FailureDomain: fmt.Sprint("d", i%domains)}
	}
	return out
}

// The goal is new weights on 1,500 servers within 15 s. Checks the figures of
// the package comment against the plan, and the time if all servers fetched
// from the store.
func TestFleetMakespan(t *testing.T) {
	plan := waves.New("m", 7, fleet(fleetServers, fleetDomains))
	rates := waves.Rates{Bytes: 200e6, StoreBytesPerSecond: 1e9, LinkBytesPerSecond: 750e6}
	require.Equal(t, fleetDomains, plan.StoreFetchers)
	got := plan.Makespan(rates, time.Second)
	direct := time.Duration(float64(fleetServers) * float64(rates.Bytes) / rates.StoreBytesPerSecond * float64(time.Second))
	t.Logf("fetch %v, all swapped %v; all from the store %v", plan.FetchTime(rates), got, direct)
	require.Equal(t, 11500*time.Millisecond, got)
	learnt, last := time.Unix(1000, 0), time.Time{}
	fetch := plan.FetchTime(rates)
	schedule := waves.Schedule{}.Advance(learnt, waves.Timing{Fetch: fetch, Slot: waves.SlotLength(0, time.Second)})
	for wave := range plan.Waves {
		last = plan.SwapStart(schedule, learnt.Add(fetch), wave).Add(time.Second)
	}
	require.Equal(t, got, last.Sub(learnt), "from the start of the last wave")
	require.LessOrEqual(t, plan.Makespan(rates, 2*time.Second), 15*time.Second)
	require.Equal(t, 300*time.Second, direct)
}

func TestSmallFleetFetchesFromTheStore(t *testing.T) {
	for _, s := range fleet(waves.MaxDirectFetchers, 3) {
		require.Empty(t, waves.New("m", 1, fleet(waves.MaxDirectFetchers, 3)).Role(s.Name).Parents)
	}
}

// Any two agents with the same list in any order compute the same plan; every
// server reaches the store through parents of its own failure domain; no wave
// contains all servers, and each contains an even share of every failure
// domain.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 300).Draw(t, "servers")
		servers := fleet(n, rapid.IntRange(1, 5).Draw(t, "domains"))
		version := rapid.Uint64().Draw(t, "version")
		plan := waves.New("m", version, servers)
		other := waves.New("m", version, append(rapid.Permutation(servers).Draw(t, "order"), servers[0]))
		domain, children, seeds := map[string]string{}, map[string]int{}, 0
		for _, s := range servers {
			domain[s.Name] = s.FailureDomain
		}
		byWave := map[int]int{}
		share := map[string]int{}
		for _, s := range servers {
			role := plan.Role(s.Name)
			require.Equal(t, role, other.Role(s.Name))
			byWave[role.Wave]++
			share[fmt.Sprint(s.FailureDomain, role.Wave)]++
			require.Len(t, role.Parents, role.Depth)
			for i, p := range role.Parents {
				require.Equal(t, s.FailureDomain, domain[p])
				require.Equal(t, role.Depth-1-i, plan.Role(p).Depth)
			}
			if role.Depth == 0 {
				seeds++
			} else {
				children[role.Parents[0]]++
			}
		}
		require.Equal(t, plan.StoreFetchers, seeds)
		for _, s := range servers {
			require.Equal(t, children[s.Name], plan.Role(s.Name).Children)
			require.LessOrEqual(t, children[s.Name], waves.FanOut)
		}
		require.Len(t, byWave, min(n, waves.MaxWaves))
		for _, s := range servers {
			for a := range plan.Waves {
				for b := range plan.Waves {
					require.LessOrEqual(t, share[fmt.Sprint(s.FailureDomain, a)]-share[fmt.Sprint(s.FailureDomain, b)], 1)
				}
			}
		}
	})
}

// However late a server's copy arrives, and however long it waits for its own
// streams, its swap does not overlap with another wave's. If late servers
// swapped at once, all servers of a small fleet could be out of service
// together.
func TestWavesDoNotOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		learnt := time.Unix(1000, 0)
		plan := waves.New("m", 1, fleet(rapid.IntRange(2, 9).Draw(t, "servers"), 2))
		swap := time.Duration(rapid.IntRange(1, 5000).Draw(t, "swap ms")) * time.Millisecond
		timing := waves.Timing{Fetch: time.Second, Grace: 2 * time.Second, Slot: waves.SlotLength(0, swap)}
		schedule := waves.Schedule{}.Advance(learnt, timing)
		start := make([]time.Time, plan.Waves)
		for w := range start {
			late := time.Duration(rapid.IntRange(0, 60_000).Draw(t, "late ms")) * time.Millisecond
			hold := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "hold ms")) * time.Millisecond
			ready := learnt.Add(max(late, hold))
			start[w] = plan.SwapStart(schedule, ready, w)
			require.False(t, start[w].Before(ready))
			require.Less(t, start[w].Sub(ready), timing.Slot*time.Duration(plan.Waves))
		}
		for a := range start {
			for b := range a {
				require.GreaterOrEqual(t, start[a].Sub(start[b]).Abs(), swap-time.Nanosecond*4)
			}
		}
	})
}

// A trainer may publish at any pace, also faster than a round of slots. No
// version delays a server's swap by more than two rounds and the running slot,
// and swaps of different waves do not overlap, not even when a new schedule
// starts. If each version started a new schedule, or waves rotated with the
// version, the last wave would never swap.
func TestNewVersionsDoNotDelaySwaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := fleet(rapid.IntRange(2, 9).Draw(t, "servers"), 2)
		slot := time.Duration(rapid.IntRange(1, 16).Draw(t, "slot")) * time.Second / 4
		timing := waves.Timing{Fetch: 2 * time.Second, Grace: 5 * time.Second, Hold: 20 * time.Second, Slot: slot}
		now, schedule := time.Unix(1000, 0), waves.Schedule{}
		pending := map[string]time.Time{} // server -> since when it may swap
		type swap struct {
			wave int
			at   time.Time
		}
		var swaps []swap
		for version := range uint64(40) {
			plan := waves.New("m", version, servers)
			schedule = schedule.Advance(now, timing)
			next := now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "pause ms")) * time.Millisecond)
			for _, s := range servers {
				if _, waits := pending[s.Name]; !waits {
					pending[s.Name] = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "held ms")) * time.Millisecond)
				}
				ready := pending[s.Name]
				if ready.Before(now) {
					ready = now
				}
				wave := plan.Role(s.Name).Wave
				start := plan.SwapStart(schedule, ready, wave)
				require.Less(t, start.Sub(pending[s.Name]), 2*waves.MaxWaves*slot+slot)
				if start.Before(next) {
					swaps = append(swaps, swap{wave, start})
					delete(pending, s.Name)
				}
			}
			now = next
		}
		for i, a := range swaps {
			for _, b := range swaps[:i] {
				if a.wave != b.wave {
					require.GreaterOrEqual(t, a.at.Sub(b.at).Abs(), slot*4/5)
				}
			}
		}
	})
}

func BenchmarkPlanFleet(b *testing.B) {
	servers := fleet(fleetServers, fleetDomains)
	b.ReportAllocs()
	for i := range b.N {
		waves.New("m", uint64(i), servers)
	}
}
