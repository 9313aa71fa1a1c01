package subset

import (
	"maps"
	"time"
)

const (
	// stepShareFactor is how many times the fair share of a pool an entry watches
	// while it owns steps: pool / trainers would do if all of it were free,
	// and others' work is on it.
	stepShareFactor = 2
	// maxStepAgents bounds it, as each watched agent has its cost: at the 24
	// trainers of docs/CAPACITY.md it is far, with four it is their share.
	maxStepAgents = 384
	// raisedHold is how long a pool stays wide after the last step's end. Steps
	// follow each other; without it each would open and close the streams.
	raisedHold = time.Minute
)

// PicksForSteps returns how many agents of a pool entry self should pick in each
// failure domain (Config.Wide) while it owns steps there: a step of one of the
// pool's trainers must get its share of the servers out of this entry alone.
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

// picksInDomain is how many agents of a group are picked at a width.
func picksInDomain(minPicks int, local bool, cfg Config) int {
	if local {
		return max(minPicks, cfg.Local)
	}
	return max(minPicks, cfg.Remote)
}

// RaisedPicks remembers which pools an entry keeps wide. The zero value is ready.
type RaisedPicks struct {
	pools map[string]raised
}

type raised struct {
	minPicks int
	until    time.Time
}

// Update tells the widths that owned steps need now, by pool. A pool that is no
// longer named stays wide for a while, and none gets narrower before it ends:
// a pool's size changes with each VM and would move streams each time. It
// reports whether Wide changed.
func (w *RaisedPicks) Update(now time.Time, needed map[string]int) bool {
	before := w.MinPicks()
	for pool, held := range w.pools {
		if _, named := needed[pool]; !named && now.After(held.until) {
			delete(w.pools, pool)
		}
	}
	for pool, minPicks := range needed {
		if w.pools == nil {
			w.pools = map[string]raised{}
		}
		w.pools[pool] = raised{max(minPicks, w.pools[pool].minPicks), now.Add(raisedHold)}
	}
	return !maps.Equal(before, w.MinPicks())
}

// MinPicks returns what Config.MinPicks should be.
func (w *RaisedPicks) MinPicks() map[string]int {
	minPicks := make(map[string]int, len(w.pools))
	for pool, held := range w.pools {
		minPicks[pool] = held.minPicks
	}
	return minPicks
}
