// Package waves plans how a new weight version spreads over a model's engines:
// which agents fetch it from the weight store, which from another agent, and
// in which wave each engine swaps. It does no I/O. Every agent computes the
// same plan from the same list of servers, so no coordination is needed.
// Agents whose lists differ for a moment (the VM list lags) lose time, not
// correctness: if a parent does not have the bytes, the agent tries the next
// parent and finally the store.
//
// Figures at fleet size, which TestFleetMakespan checks: 1,500 servers in 24
// failure domains, 200 MB per version, a store that delivers 1 GB/s, and
// 750 MB/s of a 10 Gb/s link.
//
//   - If all servers fetched from the store: 1,500 * 0.2 s = 300 s.
//   - One seed per failure domain: 24 * 0.2 s = 4.8 s.
//   - The other 62 servers of a domain form a tree of fan-out 4 below the seed:
//     3 hops, each 4 * 200 MB / 750 MB/s = 1.07 s, together 3.2 s.
//   - With a swap of 1 s the last of three waves starts 2.5 s later and takes
//     1 s: 4.8 + 3.2 + 2.5 + 1 = 11.5 s of the allowed 15 s.
//
// A swap may take at most 2 s at this size. Each hop counts in full, although
// agents relay the bytes of a version as they arrive: an agent that fetches
// late reads from a complete copy.
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
	// MaxDirectFetchers is the size of the largest fleet in which all agents
	// fetch from the store. With a limit of 16, each of eight or nine engines
	// got an eighth of the store's rate, and versions arrived later than
	// relayed ones: 0.15 to 0.19 versions behind instead of 0.12 to 0.15.
	MaxDirectFetchers = 4
	// FanOut is the number of children that an agent relays to. 2 to 4 take
	// about the same time (fan-out times depth); 4 has the fewest hops that can
	// fail.
	FanOut = 4
	// ServersPerSeed is the maximum number of servers of a failure domain that
	// one seed serves.
	ServersPerSeed = 100
	// MaxWaves is the number of swap waves of a fleet with enough servers: two
	// thirds of the engines keep serving.
	MaxWaves = 3
)

// Server is one server of the model.
type Server struct{ Name, FailureDomain string }

// Role is one server's part in a plan.
type Role struct {
	// Parents are the agents to fetch from, in order of preference; the store
	// comes after them. If empty, the agent fetches from the store.
	Parents []string
	// Depth is the number of hops to the agent that fetches from the store, 0
	// for a seed.
	Depth int
	// Children is the number of agents whose first parent is this one.
	Children int
	// Wave is in [0, Waves).
	Wave int
}

// Plan describes how one version of one model spreads.
type Plan struct {
	// Waves is the number of swap waves; 1 only for a single server.
	Waves int
	// Servers is the number of servers in the plan. StoreFetchers of them fetch
	// from the store and share its rate.
	Servers, StoreFetchers int
	roles                  map[string]Role
}

// New computes the plan; the order of servers does not matter. Seeds and tree
// positions rotate with the version, so that no server always bears the load.
// Waves do not rotate: if a server's wave changed with each version, it could
// miss its slot for ever where versions are published faster than a round of
// slots.
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

// sortServers removes duplicates and sorts by failure domain, then by a hash
// that changes with the version. Assigning waves in this order gives each wave
// an even share of each failure domain.
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

// buildTrees arranges the servers of a failure domain in one tree per seed and
// returns the number of seeds.
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

// Role returns a server's part in the plan. A server that is not in the plan
// fetches from the store and swaps in the first wave.
func (p *Plan) Role(name string) Role { return p.roles[name] }

// Timing is what the start of the waves depends on. It should be about the
// same on all servers, otherwise their slots overlap.
type Timing struct {
	Fetch time.Duration // until the last server should have its copy (FetchTime)
	Grace time.Duration // how long running streams may take to finish
	Hold  time.Duration // how long streams may delay a swap at most
	Slot  time.Duration // from the start of one wave to the next (SlotLength)
}

// Schedule is the sequence of time slots in which the waves swap. The slots of all
// waves repeat round after round: a server whose copy is late, or whose
// streams take longer, uses a slot of a later round. If it swapped at any
// other time, its swap could overlap with that of another wave. All agents
// learn of versions at about the same times and therefore compute the same
// schedule, whatever version each of them serves.
type Schedule struct {
	origin      time.Time // start of a slot of the first wave
	from        time.Time // no swap starts earlier on this schedule
	activeUntil time.Time // swaps to the versions learned so far have ended by then
	slot        time.Duration
}

// SameSlots reports whether both schedules have the same slots.
func (s Schedule) SameSlots(o Schedule) bool { return s.origin.Equal(o.origin) && s.slot == o.slot }

// Advance returns the schedule after a version that was learned at now. The
// current schedule stays until each wave has had a slot; otherwise a trainer
// that publishes more often than that would postpone the slots of the later
// waves for ever. In a new schedule the first wave's slot starts when the last
// copy should have arrived and the grace period has ended; a server that need
// not wait for these uses its slot of an earlier round. Slots of the new
// schedule start after the running slot of the old one, in which a swap may be
// in progress.
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

// nextSlotStart returns the first start of a slot at or after t.
func (s Schedule) nextSlotStart(t time.Time) time.Time {
	return s.origin.Add(ceilDiv(t.Sub(s.origin), s.slot) * s.slot)
}

// SwapStart returns when a server of the given wave starts its swap if it may
// swap from ready on.
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

// ceilDiv divides and rounds up, for negative a too.
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

// slotMargin is the share of a slot, as a divisor, that is not needed for the
// swap: a slot is a quarter longer than a swap, so a fifth of it is spare.
const slotMargin = 5

// slotRounding is the unit that slots are rounded up to, so that agents that
// measured similar swap times use the same slots.
const slotRounding = 125 * time.Millisecond

// SlotLength returns the time from one wave to the next for a measured swap
// time, or base before the first measurement.
func SlotLength(base, swap time.Duration) time.Duration {
	if swap <= 0 {
		return base
	}
	return (swap + swap/4 + slotRounding - 1) / slotRounding * slotRounding
}

// Rates holds what the spread of a version depends on. A rate of 0 is unknown
// and counts as no time.
type Rates struct {
	Bytes               int64   // size of one version
	StoreBytesPerSecond float64 // of the store, shared by all servers
	LinkBytesPerSecond  float64 // out of one agent
}

// FetchTime returns the time from the announcement until the last server
// should have its copy.
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
// swapped, without the grace period.
func (p *Plan) Makespan(r Rates, swap time.Duration) time.Duration {
	return p.FetchTime(r) + SlotLength(0, swap)*time.Duration(p.Waves-1) + swap
}

func hash(model string, version uint64, name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(model + "\x00" + strconv.FormatUint(version, 10) + "\x00" + name))
	return h.Sum64()
}
