// Package subset decides which agents an entry watches. If each of 360 entries
// watched all of 1,500 servers, there would be 540,000 streams. With subsets,
// every entry has enough servers of each pool, every server has enough entries,
// and the replacement of a VM moves few streams. The choice is a pure function of
// the two member lists, so that no coordinator is needed.
package subset

import (
	"cmp"
	"slices"

	"dandelionsill.org/decide/route"
)

// Member is an entry or an agent.
type Member struct {
	Name          string
	FailureDomain string
	// Pool is the pool that an agent serves; empty while it is unknown and for
	// entries. Agents of unknown pool form a pool of their own: a few of them are
	// watched until their first report names their pool.
	Pool string
}

// Config sets the size of subsets.
type Config struct {
	// FullBelow is the largest number of agents at which every entry watches all
	// of them.
	FullBelow int
	// Local and Remote are how many agents of each pool an entry picks in its own
	// failure domain and in each other one.
	Local, Remote int
	// CoverLocal and CoverRemote are how many entries in its own failure domain
	// and in other ones are assigned to each agent, regardless of what the entries pick.
	CoverLocal, CoverRemote int
	// MinPicks raises Local and Remote for some pools to at least this number. The
	// ranking is the same, so that the larger subset contains the smaller one.
	MinPicks map[string]int
}

// Default is a full mesh for small sites and also suits the full size.
var Default = Config{FullBelow: 48, Local: 12, Remote: 1, CoverLocal: 2, CoverRemote: 1}

// hashedMember is a member with the hash of its name.
type hashedMember struct {
	Member
	hash uint64
}

// group is the agents of one pool in one failure domain.
type group struct{ domain, pool string }

// ranked is an agent's index and its rendezvous weight for the entry.
type ranked struct {
	index  int
	weight uint64
}

// Choose returns the sorted names of the agents that entry self watches. self is
// added to entries if it is missing, because the list may be out of date.
func Choose(self Member, entries, agents []Member, cfg Config) []string {
	if len(agents) <= cfg.FullBelow {
		return names(agents)
	}
	all := hashAll(agents)
	hashedSelf := hashedMember{self, route.Hash(self.Name)}
	selected := make([]bool, len(all))
	selectPicks(hashedSelf, all, cfg, selected)
	selectCovered(hashedSelf, withSelf(entries, self), all, cfg, selected)
	var out []string
	for i := range all {
		if selected[i] {
			out = append(out, all[i].Name)
		}
	}
	slices.Sort(out)
	return out
}

// selectPicks selects the agents that self ranks highest in each pool and domain.
func selectPicks(self hashedMember, agents []hashedMember, cfg Config, selected []bool) {
	groups := map[group][]ranked{}
	for i := range agents {
		g := group{agents[i].FailureDomain, agents[i].Pool}
		groups[g] = append(groups[g], ranked{i, route.Rendezvous(self.hash, agents[i].hash)})
	}
	for g, members := range groups {
		count := picksInDomain(cfg.MinPicks[g.pool], g.domain == self.FailureDomain, cfg)
		slices.SortFunc(members, byWeight)
		for _, m := range members[:min(count, len(members))] {
			selected[m.index] = true
		}
	}
}

// selectCovered selects the agents that rank self among their assigned entries.
// selectPicks can't guarantee that every agent is watched: by chance some agents
// would be picked by no entry and stay idle.
func selectCovered(self hashedMember, entries, agents []hashedMember, cfg Config, selected []bool) {
	var local []hashedMember
	byDomain := map[string][]hashedMember{}
	for _, e := range entries {
		byDomain[e.FailureDomain] = append(byDomain[e.FailureDomain], e)
	}
	for i := range agents {
		if selected[i] {
			continue
		}
		agent := &agents[i]
		local = byDomain[agent.FailureDomain]
		if agent.FailureDomain == self.FailureDomain {
			selected[i] = isInTop(self, agent, local, cfg.CoverLocal)
			continue
		}
		// An agent whose domain has too few entries is assigned more in other domains.
		n := cfg.CoverRemote + max(0, cfg.CoverLocal-len(local))
		selected[i] = isInTopOutside(self, agent, entries, n)
	}
}

// isInTop reports whether fewer than n entries rank higher than self for the agent.
func isInTop(self hashedMember, agent *hashedMember, entries []hashedMember, n int) bool {
	ownWeight, higher := route.Rendezvous(agent.hash, self.hash), 0
	for i := range entries {
		if route.Rendezvous(agent.hash, entries[i].hash) > ownWeight {
			higher++
		}
		if higher >= n {
			return false
		}
	}
	return n > 0
}

// isInTopOutside is isInTop over the entries outside the agent's failure domain.
func isInTopOutside(self hashedMember, agent *hashedMember, entries []hashedMember, n int) bool {
	ownWeight, higher := route.Rendezvous(agent.hash, self.hash), 0
	for i := range entries {
		if entries[i].FailureDomain == agent.FailureDomain {
			continue
		}
		if route.Rendezvous(agent.hash, entries[i].hash) > ownWeight {
			higher++
		}
		if higher >= n {
			return false
		}
	}
	return n > 0
}

// byWeight orders by rendezvous weight, highest first.
func byWeight(a, b ranked) int { return cmp.Compare(b.weight, a.weight) }

func hashAll(members []Member) []hashedMember {
	all := make([]hashedMember, len(members))
	for i, m := range members {
		all[i] = hashedMember{m, route.Hash(m.Name)}
	}
	return all
}

// withSelf returns the entries with their hashes, and self if it is missing.
func withSelf(entries []Member, self Member) []hashedMember {
	all := hashAll(entries)
	if !slices.ContainsFunc(entries, func(m Member) bool { return m.Name == self.Name }) {
		all = append(all, hashedMember{self, route.Hash(self.Name)})
	}
	return all
}

// names returns the sorted names of the members.
func names(members []Member) []string {
	out := make([]string, len(members))
	for i, m := range members {
		out[i] = m.Name
	}
	slices.Sort(out)
	return out
}
