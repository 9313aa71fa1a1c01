package subset

import (
	"maps"
	"time"
)

const (
	// stepShareFactor is how many times its fair share of a pool (the pool's size
	// divided by the number of trainers) an entry watches while it owns steps. The
	// fair share alone would be enough only if no other work ran on the servers.
	stepShareFactor = 2
	// maxStepAgents limits that number, because each watched agent has a cost. With
	// the 24 trainers of docs/CAPACITY.md it is far from reached; with four it is
	// about the fair share of each.
	maxStepAgents = 384
	// raisedHold is how long a pool keeps its raised number of picks after its last
	// step has ended. Steps follow each other closely; otherwise the streams would
	// be opened and closed for each step.
	raisedHold = time.Minute
)

// PicksForSteps returns how many agents of the pool entry self must pick in each
// failure domain (Config.MinPicks) while it owns steps there. A step of one of
// the pool's trainers must get its share of the servers from this entry alone.
func PicksForSteps(self Member, agents []Member, pool string, trainers int, cfg Config) int {
	sizes := map[string]int{}
	total := 0
	for _, a := range agents {
		if a.Pool == pool {
			sizes[a.FailureDomain]++
			total++
		}
	}
	trainers = max(trainers, 1)
	want := min(total, maxStepAgents, (stepShareFactor*total+trainers-1)/trainers)
	for n := cfg.Remote; ; n++ {
		picked := 0
		for domain, size := range sizes {
			picked += min(size, picksInDomain(n, domain == self.FailureDomain, cfg))
		}
		if picked >= want {
			return n
		}
	}
}

// picksInDomain returns how many agents of a pool are picked in the entry's own
// domain (local) or in another one, given the pool's minPicks.
func picksInDomain(minPicks int, local bool, cfg Config) int {
	if local {
		return max(minPicks, cfg.Local)
	}
	return max(minPicks, cfg.Remote)
}

// RaisedPicks remembers for which pools an entry picks more agents than the
// default. The zero value is ready to use.
type RaisedPicks struct {
	pools map[string]raised
}

type raised struct {
	minPicks int
	until    time.Time
}

// Update sets the numbers of picks that owned steps need now, by pool. A pool that
// is no longer listed keeps its number for raisedHold, and no number is lowered
// before that: a pool's size changes with every VM, and lowering it each time
// would move streams. Update reports whether MinPicks has changed.
func (r *RaisedPicks) Update(now time.Time, needed map[string]int) bool {
	before := r.MinPicks()
	for pool, held := range r.pools {
		if _, named := needed[pool]; !named && now.After(held.until) {
			delete(r.pools, pool)
		}
	}
	for pool, minPicks := range needed {
		if r.pools == nil {
			r.pools = map[string]raised{}
		}
		r.pools[pool] = raised{max(minPicks, r.pools[pool].minPicks), now.Add(raisedHold)}
	}
	return !maps.Equal(before, r.MinPicks())
}

// MinPicks returns the value for Config.MinPicks.
func (r *RaisedPicks) MinPicks() map[string]int {
	minPicks := make(map[string]int, len(r.pools))
	for pool, held := range r.pools {
		minPicks[pool] = held.minPicks
	}
	return minPicks
}
