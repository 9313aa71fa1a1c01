// Package waves decides how a new weight version spreads over a model's
// engines: who fetches it from the weight store, who from which fellow agent,
// and in which wave an engine swaps. It is pure: every agent computes the same
// plan from the same list of servers, so nobody coordinates. Agents whose lists
// differ for a moment (the VM list lags) lose time, not correctness: a parent
// without the bytes is passed over for the next one and at last for the store.
//
// The sums at fleet size, which TestFleetMakespan repeats: 1,500 servers in 24
// failure domains, 200 MB a version, a store of 1 GB/s and 750 MB/s of a
// 10 Gb/s link. All from the store: 1,500 * 0.2 = 300 s. One seed per failure
// domain: 24 * 0.2 = 4.8 s. The other 62 of a domain hang below it in a tree of
// fan-out 4: 3 hops, each 4 * 200 MB / 750 MB/s = 1.07 s, 3.2 s together. With
// a swap of 1 s the last of three waves begins 2.5 s later and takes 1 s:
// 4.8 + 3.2 + 2.5 + 1 = 11.5 s of the 15 s. A swap may take 2 s at most there.
// The hops count whole, though agents relay a version's bytes as they come: one
// that fetches late has them from a whole copy.
package waves

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"time"
)

const (
	// MaxDirectFetchers is the largest fleet whose agents all fetch from the store. With
	// 16, eight or nine engines each took an eighth of its rate and versions came
	// later than relayed ones: 0.15 to 0.19 versions behind instead of 0.12 to
	// 0.15 (bench, scenario weights).
	MaxDirectFetchers = 4
	// FanOut is how many children an agent relays to. 2 to 4 take about the
	// same time (fan-out times depth); 4 has the fewest hops that can fail.
	FanOut = 4
	// ServersPerSeed is how many servers of a failure domain one seed carries.
	ServersPerSeed = 100
	// MaxWaves is the number of swap waves of a fleet that is large enough:
	// two thirds of the engines keep serving.
	MaxWaves = 3
)

// Server is one server of the model.
type Server struct{ Name, FailureDomain string }

// Role is one server's part in a plan.
type Role struct {
	// Parents are the agents to fetch from, best first; the store comes after
	// them. Empty: fetch from the store.
	Parents []string
	// Depth is the number of hops to the store's copy, 0 for a seed.
	Depth int
	// Children is how many agents fetch from this one first.
	Children int
	// Wave is in [0, Waves).
	Wave int
}

// Plan is how one version of one model spreads.
type Plan struct {
	// Waves is the number of swap waves; 1 only for a single server.
	Waves int
	// Servers is how many servers the plan has; StoreFetchers of them share the
	// store's rate.
	Servers, StoreFetchers int
	roles                  map[string]Role
}

// New makes the plan. The order of servers does not matter. Seeds and tree
// positions rotate with the version so that no server always bears the load.
// Waves do not: a server whose wave changed with each version could miss its
// slot for ever where versions come faster than a round of slots.
func New(model string, version uint64, servers []Server) *Plan {
	order := sortServers(model, 0, servers)
	p := &Plan{Waves: min(MaxWaves, max(1, len(order))), Servers: len(order), roles: make(map[string]Role, len(order))}
	for i, s := range order {
		p.roles[s.Name] = Role{Wave: i % p.Waves}
	}
	if len(order) <= MaxDirectFetchers {
		p.StoreFetchers = len(order)
		return p
	}
	byDomain := map[string][]string{}
	for _, s := range sortServers(model, version, order) {
		byDomain[s.FailureDomain] = append(byDomain[s.FailureDomain], s.Name)
	}
	for _, names := range byDomain {
		p.StoreFetchers += p.buildTrees(names)
	}
	return p
}

// sortServers removes doubles and orders by failure domain, then by a hash that
// changes with the version. Waves are dealt out in such an order, so that each
// wave takes an even share of each failure domain.
func sortServers(model string, version uint64, servers []Server) []Server {
	rank := make(map[string]uint64, len(servers))
	order := make([]Server, 0, len(servers))
	for _, s := range servers {
		if _, isDuplicate := rank[s.Name]; isDuplicate {
			continue
		}
		rank[s.Name] = hash(model, version, s.Name)
		order = append(order, s)
	}
	slices.SortFunc(order, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain),
			cmp.Compare(rank[a.Name], rank[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	return order
}

// buildTrees lays a failure domain's servers out as one buildTrees per seed and returns
// the number of seeds.
func (p *Plan) buildTrees(names []string) int {
	seeds := (len(names) + ServersPerSeed - 1) / ServersPerSeed
	for i, name := range names {
		if i < seeds {
			continue
		}
		parent := names[(i-seeds)/FanOut]
		parentRole := p.roles[parent]
		r := p.roles[name]
		r.Depth = parentRole.Depth + 1
		r.Parents = append([]string{parent}, parentRole.Parents...)
		p.roles[name] = r
		parentRole.Children++
		p.roles[parent] = parentRole
	}
	return seeds
}

// Role returns a server's part; a server that is not in the plan fetches from
// the store and swaps in the first wave.
func (p *Plan) Role(name string) Role { return p.roles[name] }

// Timing is what the waves' begin depends on. It should be alike for all
// servers, or their slots overlap.
type Timing struct {
	Fetch time.Duration // until the last server should have its copy (FetchTime)
	Grace time.Duration // what running streams get to finish
	Hold  time.Duration // how long at most streams hold up a swap
	Slot  time.Duration // from one wave to the next (SlotLength)
}

// Schedule is the slots in which the waves swap. They come round by round for
// ever: a server whose copy is late or whose streams take longer uses one of a
// later round. If it swapped when it liked, it would do so together with
// another wave. All agents learn the versions at about the same times, and so
// come to the same grid whatever each one serves.
type Schedule struct {
	origin      time.Time // of a slot of the first wave
	from        time.Time // no swap begins earlier on this grid
	activeUntil time.Time // a swap to a version learnt so far has ended by then
	slot        time.Duration
}

// SameSlots tells whether both have the same slots.
func (s Schedule) SameSlots(o Schedule) bool { return s.origin.Equal(o.origin) && s.slot == o.slot }

// Advance returns the grid for a version learnt now. The one in force stays
// until all its waves have had a slot: a trainer that publishes more often
// would move the later waves' slots away for ever. The first wave's slot falls
// on the moment at which the last copy should be there and the grace is over;
// who need not wait for these takes its slot of a round before. Slots of the
// new grid begin after the running one of the old, in which a swap may run.
func (s Schedule) Advance(now time.Time, t Timing) Schedule {
	ready := now.Add(max(t.Fetch, t.Grace))
	next := s
	if s.origin.IsZero() || !now.Before(s.origin.Add(MaxWaves*s.slot)) {
		next = Schedule{origin: ready, from: now, slot: t.Slot}
		if now.Before(s.activeUntil) {
			next.from, next.origin = s.nextSlotStart(now), s.nextSlotStart(ready)
		}
	}
	next.activeUntil = later(ready, now.Add(t.Hold)).Add((MaxWaves + 1) * next.slot)
	return next
}

// nextSlotStart returns the first begin of a slot from t on.
func (s Schedule) nextSlotStart(t time.Time) time.Time {
	return s.origin.Add(ceilDiv(t.Sub(s.origin), s.slot) * s.slot)
}

// SwapStart returns when a server of a wave that may swap from ready on begins.
func (p *Plan) SwapStart(s Schedule, ready time.Time, wave int) time.Time {
	round := s.slot * time.Duration(p.Waves)
	if p.Waves <= 1 || round <= 0 {
		return ready
	}
	ready = later(ready, s.from)
	slot := s.origin.Add(s.slot * time.Duration(wave))
	late := ready.Sub(slot) - s.slot/slotMargin
	slot = slot.Add(ceilDiv(late, round) * round)
	return later(slot, ready)
}

// ceilDiv divides and rounds up, also below 0.
func ceilDiv(a, b time.Duration) time.Duration {
	q := a / b
	if a%b > 0 {
		q++
	}
	return q
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// slotMargin: a slot is a quarter longer than a swap; a fifth of the slot.
const slotMargin = 5

// slotRounding: agents that measured about the same swap time come to the same
// slots.
const slotRounding = 125 * time.Millisecond

// SlotLength returns the time between waves for a measured swap time; before
// the first measurement it is base.
func SlotLength(base, swap time.Duration) time.Duration {
	if swap <= 0 {
		return base
	}
	return (swap + swap/4 + slotRounding - 1) / slotRounding * slotRounding
}

// Rates are what the spread of a version depends on. Rates of 0 are unknown
// and count as no time.
type Rates struct {
	Bytes               int64   // of one version
	StoreBytesPerSecond float64 // bytes a second, shared by all
	LinkBytesPerSecond  float64 // bytes a second out of one agent
}

// FetchTime returns when the last server should have its copy.
func (p *Plan) FetchTime(r Rates) time.Duration {
	depth := 0
	for _, role := range p.roles {
		depth = max(depth, role.Depth)
	}
	seconds := transferSeconds(float64(p.StoreFetchers)*float64(r.Bytes), r.StoreBytesPerSecond) +
		transferSeconds(float64(depth)*FanOut*float64(r.Bytes), r.LinkBytesPerSecond)
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

func transferSeconds(bytes, perSecond float64) float64 {
	if perSecond <= 0 {
		return 0
	}
	return bytes / perSecond
}

// Makespan returns the time from the announcement until the last engine has
// swapped, without grace.
func (p *Plan) Makespan(r Rates, swap time.Duration) time.Duration {
	return p.FetchTime(r) + SlotLength(0, swap)*time.Duration(p.Waves-1) + swap
}

func hash(model string, version uint64, name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(model + "\x00" + strconv.FormatUint(version, 10) + "\x00" + name))
	return h.Sum64()
}
