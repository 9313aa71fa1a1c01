package cold

import (
	"slices"

	"dandelionsill.org/decide/route"
	"dandelionsill.org/decide/table"
)

// Uses is by which ways requests reach the servers of a service.
type Uses struct {
	Samples bool // owners of batch jobs send samples
	Callers bool // other requests are forwarded
	Granted bool // those need a permit of the service's broker
}

// UsesOf returns the uses of a service according to a routing table.
func UsesOf(t *table.Table, service string, granted bool) Uses {
	uses := Uses{Granted: granted}
	for _, r := range t.Routes {
		if !slices.ContainsFunc(r.Targets, func(target table.Target) bool { return target.Service == service }) {
			continue
		}
		if r.Kind == table.Batch {
			uses.Samples = true
		} else {
			uses.Callers = true
		}
	}
	return uses
}

// Parts is how the requests that a server takes in any second are split over the ways by which
// they come. The sum is at most the total.
type Parts struct {
	Samples int // of all owners of batch jobs
	Broker  int // granted by the service's broker
	Other   int // granted by a broker that is new, or that others may have replaced
	Floor   int // of all processes without a grant
}

// Split splits a total over the uses.
func Split(total int, uses Uses) Parts {
	var p Parts
	rest := total
	switch {
	case uses.Samples && !uses.Callers:
		return Parts{Samples: total}
	case uses.Samples:
		p.Samples = total / 2
		rest -= p.Samples
	}
	if uses.Granted {
		granted := rest * 5 / 6
		p.Other = granted / 5
		p.Broker = granted - p.Other
		rest -= granted
	}
	p.Floor = rest
	return p
}

// Parts returns how the requests that a server takes in any second are split. No part is larger
// while the server is known to be cold: some processes know it later than others.
func (b Bound) Parts(uses Uses, isCold bool) Parts {
	p := Split(b.Burst(), uses)
	if !isCold {
		return p
	}
	c := Split(b.Steady(), uses)
	return Parts{Samples: min(p.Samples, c.Samples), Broker: min(p.Broker, c.Broker), Other: min(p.Other, c.Other), Floor: min(p.Floor, c.Floor)}
}

// SampleShare returns how many samples the owner at a place may send a server in any second.
func (b Bound) SampleShare(uses Uses, p Place, isCold bool) int {
	share := p.Share(b.Parts(uses, false).Samples)
	if isCold {
		share = min(share, p.Share(b.Parts(uses, true).Samples))
	}
	return share
}

// roomShare is the share of processes for which room is left that others may not know yet.
const roomShare = 8

// FloorShare returns how many requests a process may send a server in any second without asking
// anybody, of what all processes may send so. Each process has the same part; what is left goes to
// those that rank first for the server, so that each server has others. The list of processes
// holds the process itself.
func FloorShare(total int, server, process string, processes []string) int {
	n := len(processes) + len(processes)/roomShare
	if n == 0 {
		return 0
	}
	key := route.Hash(server)
	own := route.Rendezvous(key, route.Hash(process))
	ahead := 0
	for _, other := range processes {
		if other != process && route.Rendezvous(key, route.Hash(other)) >= own {
			ahead++
		}
	}
	share := total / n
	if unknown := n - len(processes); ahead+unknown < total%n {
		share++
	}
	return share
}
