// Package subset decides which agents an entry watches. At full size 360
// entries before 1,500 servers must not hold 540,000 streams; every entry
// needs enough servers of each pool, every server enough entries, and a
// replaced VM must move few streams. The choice is a pure function of the two
// member lists, so that it needs no coordinator.
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
	// Pool is what an agent serves; empty while it is not known. Agents of
	// unknown pool form a pool of their own: a few are watched until their
	// first word tells the pool.
	Pool string
}

// Config sizes subsets.
type Config struct {
	// FullBelow: with no more agents than this an entry watches all of them.
	FullBelow int
	// Local and Remote count the agents of each pool that an entry picks in
	// its own failure domain and in each other one.
	Local, Remote int
	// CoverLocal and CoverRemote count the entries that an agent is given in
	// its own failure domain and elsewhere, whatever the entries picked.
	CoverLocal, CoverRemote int
	// MinPicks raises Local and Remote of some pools to at least so much. The
	// order of rank goes on, so that the narrow subset is part of the wide one.
	MinPicks map[string]int
}

// Default suits small sites (a full mesh) and the full size alike.
var Default = Config{FullBelow: 48, Local: 12, Remote: 1, CoverLocal: 2, CoverRemote: 1}

type hashedMember struct {
	Member
	hash uint64
}

type group struct{ domain, pool string }

type ranked struct {
	index  int
	weight uint64
}

// Choose returns the names of the agents that entry self watches, sorted.
// entries should hold self; it is added where a lagging list misses it.
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

// selectPicks marks the agents that self ranks highest in each pool and domain.
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

// selectCovered marks the agents that rank self among their own entries. It is the
// guarantee that picks can't give: by chance alone some agents would be
// picked by nobody and stand idle.
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
		// An agent whose domain has too few entries takes more elsewhere.
		n := cfg.CoverRemote + max(0, cfg.CoverLocal-len(local))
		selected[i] = isInTopOutside(self, agent, entries, n)
	}
}

// isInTop tells whether fewer than n entries outrank me for the agent.
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

// isInTopOutside is ranksAmong over the entries outside of the agent's domain.
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

func byWeight(a, b ranked) int { return cmp.Compare(b.weight, a.weight) }

func hashAll(members []Member) []hashedMember {
	all := make([]hashedMember, len(members))
	for i, m := range members {
		all[i] = hashedMember{m, route.Hash(m.Name)}
	}
	return all
}

func withSelf(entries []Member, self Member) []hashedMember {
	all := hashAll(entries)
	if !slices.ContainsFunc(entries, func(m Member) bool { return m.Name == self.Name }) {
		all = append(all, hashedMember{self, route.Hash(self.Name)})
	}
	return all
}

func names(members []Member) []string {
	out := make([]string, len(members))
	for i, m := range members {
		out[i] = m.Name
	}
	slices.Sort(out)
	return out
}
