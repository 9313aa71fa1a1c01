package subset

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func members(prefix string, n, domains, pools int) []Member {
	all := make([]Member, n)
	for i := range all {
		all[i] = Member{
			Name:          fmt.Sprintf("%s-%d", prefix, i),
			FailureDomain: fmt.Sprintf("fd-%d", i%domains),
			Pool:          fmt.Sprintf("pool-%d", i/domains%pools),
		}
	}
	return all
}

func TestSmallSiteGetsFullMesh(t *testing.T) {
	agents := members("vm", 13, 4, 2)
	require.Len(t, Choose(Member{Name: "e"}, nil, agents, Default), 13)
}

func TestFullSizeCoversEveryAgentWithFewStreams(t *testing.T) {
	entries, agents := members("entry", 360, 24, 1), members("vm", 1500, 24, 3)
	watchers := map[string]int{}
	maxStreams, streams := 0, 0
	for _, e := range entries {
		chosen := Choose(e, entries, agents, Default)
		maxStreams = max(maxStreams, len(chosen))
		streams += len(chosen)
		for _, name := range chosen {
			watchers[name]++
		}
	}
	minWatchers := len(entries)
	for _, a := range agents {
		minWatchers = min(minWatchers, watchers[a.Name])
	}
	t.Logf("streams %d, mean %d, most per entry %d, fewest entries per agent %d", streams, streams/360, maxStreams, minWatchers)
	require.GreaterOrEqual(t, minWatchers, Default.CoverLocal+Default.CoverRemote)
	require.Less(t, maxStreams, 200)
}

func drawConfig(t *rapid.T) (entries, agents []Member, cfg Config) {
	domains := rapid.IntRange(1, 6).Draw(t, "domains")
	entries = members("entry", rapid.IntRange(1, 30).Draw(t, "entries"), domains, 1)
	agents = members("vm", rapid.IntRange(1, 80).Draw(t, "agents"), domains, rapid.IntRange(1, 3).Draw(t, "pools"))
	cfg = Config{Local: 3, Remote: 1, CoverLocal: 2, CoverRemote: 1}
	// The tested properties must also hold for an entry that owns steps.
	cfg.MinPicks = map[string]int{"pool-0": rapid.IntRange(0, 9).Draw(t, "wide")}
	return entries, agents, cfg
}

func TestEveryAgentIsCovered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries, agents, cfg := drawConfig(t)
		watchers := map[string]int{}
		for _, e := range entries {
			for _, name := range Choose(e, entries, agents, cfg) {
				watchers[name]++
			}
		}
		want := min(cfg.CoverLocal+cfg.CoverRemote, len(entries))
		for _, a := range agents {
			local := countDomain(entries, a.FailureDomain)
			reachable := min(cfg.CoverLocal, local) + min(cfg.CoverRemote+max(0, cfg.CoverLocal-local), len(entries)-local)
			if watchers[a.Name] < min(want, reachable) {
				t.Fatalf("%s is watched by %d entries", a.Name, watchers[a.Name])
			}
		}
	})
}

func TestEveryGroupGetsItsPicks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries, agents, cfg := drawConfig(t)
		chosen := Choose(entries[0], entries, agents, cfg)
		chosenCount := map[group]int{}
		size := map[group]int{}
		for _, a := range agents {
			g := group{a.FailureDomain, a.Pool}
			size[g]++
			if slices.Contains(chosen, a.Name) {
				chosenCount[g]++
			}
		}
		for g, n := range size {
			want := cfg.Remote
			if g.domain == entries[0].FailureDomain {
				want = cfg.Local
			}
			want = max(want, cfg.MinPicks[g.pool])
			require.GreaterOrEqual(t, chosenCount[g], min(want, n))
		}
	})
}

// VMs are replaced 200 times a day. If the choice depended on positions in the
// list, one new VM would move most streams of all entries at once; with rendezvous
// hashing only the streams to that VM change.
func TestReplacedMembersMoveFewStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries, agents, cfg := drawConfig(t)
		self := entries[0]
		before := Choose(self, entries, agents, cfg)
		removed := rapid.IntRange(0, len(agents)-1).Draw(t, "gone")
		after := Choose(self, entries, slices.Delete(slices.Clone(agents), removed, removed+1), cfg)
		require.LessOrEqual(t, countChanges(before, after), 2, "agent replaced")
		if len(entries) > 1 {
			fewer := slices.Delete(slices.Clone(entries), len(entries)-1, len(entries))
			after = Choose(self, fewer, agents, cfg)
			for _, name := range before {
				require.Contains(t, after, name, "removing an entry must not close streams of the others")
			}
		}
	})
}

func TestOrderOfListsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries, agents, cfg := drawConfig(t)
		want := Choose(entries[0], entries, agents, cfg)
		got := Choose(entries[0], rapid.Permutation(entries).Draw(t, "e"), rapid.Permutation(agents).Draw(t, "a"), cfg)
		require.Equal(t, want, got)
	})
}

// A trainer waits 326 s instead of 240 s for a step while engines outside the
// subset of the entry that owns the step are idle: the step needs 62.5 of 1,500
// engines for itself, and the entry watches 46. While it owns the step, its subset
// of that pool must be large enough; streams that it already has must stay, and
// other pools must not change.
func TestStepOwnersWatchTheirShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries, agents, cfg := drawConfig(t)
		trainers := rapid.IntRange(0, 30).Draw(t, "trainers")
		pool := map[string]bool{}
		for _, a := range agents {
			if a.Pool == "pool-0" {
				pool[a.Name] = true
			}
		}
		cfg.MinPicks = nil
		before := Choose(entries[0], entries, agents, cfg)
		minPicks := PicksForSteps(entries[0], agents, "pool-0", trainers, cfg)
		cfg.MinPicks = map[string]int{"pool-0": minPicks}
		after, inPool := Choose(entries[0], entries, agents, cfg), 0
		require.Subset(t, after, before)
		for _, name := range after {
			if pool[name] {
				inPool++
			} else {
				require.Contains(t, before, name, "agents of other pools must not change")
			}
		}
		require.GreaterOrEqual(t, inPool*max(1, trainers), min(stepShareFactor, max(1, trainers))*len(pool))
		require.LessOrEqual(t, minPicks, max(cfg.Remote, len(pool)))
	})
	entries, agents := members("entry", 360, 24, 1), members("vm", 1500, 24, 1)
	cfg, maxWatched, minWatched := Default, 0, len(agents)
	for _, e := range entries {
		cfg.MinPicks = map[string]int{"pool-0": PicksForSteps(e, agents, "pool-0", 24, Default)}
		n := len(Choose(e, entries, agents, cfg))
		maxWatched, minWatched = max(maxWatched, n), min(minWatched, n)
	}
	t.Logf("an owner of steps watches %d to %d of 1,500 agents", minWatched, maxWatched)
	require.GreaterOrEqual(t, minWatched, 125)
	require.Less(t, maxWatched, 150)
}

// A trainer's steps follow each other within seconds, and VMs come and go. If the
// subset followed each change, some 90 streams would be opened and closed every
// time. It must grow at once, and shrink only long after the last step.
func TestRaisedPicksAreHeld(t *testing.T) {
	var w RaisedPicks
	start := time.Now()
	require.False(t, w.Update(start, nil))
	require.True(t, w.Update(start, map[string]int{"a": 5}))
	require.False(t, w.Update(start, map[string]int{"a": 4}), "the number is not lowered while steps are owned")
	require.True(t, w.Update(start, map[string]int{"a": 6}))
	require.False(t, w.Update(start.Add(raisedHold), nil), "the number is held after the last step")
	require.Equal(t, map[string]int{"a": 6}, w.MinPicks())
	require.True(t, w.Update(start.Add(raisedHold+1), nil))
	require.Empty(t, w.MinPicks())
}

func countDomain(members []Member, domain string) int {
	n := 0
	for _, m := range members {
		if m.FailureDomain == domain {
			n++
		}
	}
	return n
}

func countChanges(before, after []string) int {
	n := 0
	for _, name := range before {
		if !slices.Contains(after, name) {
			n++
		}
	}
	for _, name := range after {
		if !slices.Contains(before, name) {
			n++
		}
	}
	return n
}

func BenchmarkChoose1500x360(b *testing.B) {
	entries, agents := members("entry", 360, 24, 1), members("vm", 1500, 24, 3)
	b.ReportAllocs()
	for b.Loop() {
		Choose(entries[0], entries, agents, Default)
	}
}
