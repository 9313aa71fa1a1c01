// Package scale decides how many servers a service should have in each failure domain, from
// the load that was measured. A Service is the state of the process that decides for one
// service. The package does no I/O and reads no clock.
package scale

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"dandelionsill.org/decide/table"
)

const (
	// minHold is the least time for which a smaller number of servers must have been enough
	// before servers are taken away: short pauses of callers are no reason.
	minHold = 30 * time.Second
	// holdBoots is how many boot times the hold lasts at least. An order that turns out
	// wrong costs callers one boot time.
	holdBoots = 2
	// maxStepShare is the share of a failure domain's servers that one step takes away, so
	// that a wrong step leaves callers most of the servers.
	maxStepShare = 0.25
	// minServers is how many servers of a failure domain stay, even if the bounds allow none:
	// a service without servers has no load to measure, and would stay without.
	minServers = 1
	// reduceMargin is the demand, relative to what was measured, for which a smaller number
	// must have been enough. Demand that only varies would otherwise undo steps down.
	reduceMargin = 1.1
	// lostAfter is how long a failure domain must be without a ready server before it counts
	// as lost; servers that restart are back sooner.
	lostAfter = 5 * time.Second
	// maxGap is the longest time between two measurements for which the load between them
	// counts as known.
	maxGap = 5 * time.Second
)

// Load is the load of a service at a moment. The servers may be known while the rest is not.
type Load struct {
	Known   bool              // all of the load is known, not only the servers
	Domains map[string]Domain // by failure domain; nil: not known
	Waiting int               // requests that wait for a place
	Refused int               // requests refused within the last second
	// AsksPerSecond is the rate of new requests, including the refused ones.
	AsksPerSecond float64
	MeanTime      time.Duration // that a server takes for a request; 0: unknown
	// Objective is the time in which an answer is in time; 0: unknown.
	Objective time.Duration
}

// Domain is a failure domain's part of a load.
type Domain struct {
	Ready   int // servers that take work
	Leaving int // servers that take no more work
	Places  int // requests that the ready servers take at a time
	Running int // requests that run
	// Evacuated means that nothing new is sent to the servers, and no number of them is changed. They
	// count as ready: they take work again once the evacuation ends.
	Evacuated bool
}

// Target is the number of servers that a failure domain should have.
type Target struct {
	Domain   string
	From, To int
	Reason   string
}

// Plan is the outcome of one decision and what it was based on.
type Plan struct {
	Targets  []Target // of all known failure domains, by name
	Known    bool     // the load is known
	Demand   float64  // places that the current load needs
	Forecast float64  // places that the load is expected to need after the boot time
	Needed   int      // servers in each failure domain that takes part; 0 if the load is unknown
	Lost     []string // failure domains whose servers are all gone
	// Evacuated holds the failure domains that the operator evacuates.
	Evacuated []string
}

// Service decides the number of servers of one service. It is not safe for concurrent use.
type Service struct {
	domains map[string]*domain
	// places is how many requests a server takes at a time, as last seen; 0: unknown.
	places  float64
	history history
	// holdSince is when the hold time started: the load has been known without a gap since,
	// and no servers have been taken away.
	holdSince  time.Time
	measuredAt time.Time // when the load was last known
	reducedAt  time.Time // when servers were last taken away; zero: never
}

// domain is a failure domain in which the service runs or has run.
type domain struct {
	target  int
	ordered bool      // this process has changed the target
	seenAt  time.Time // when this process first saw the domain
	// emptySince is when the domain was first seen without a ready server; zero: it has one.
	emptySince time.Time
	seenReady  bool
	lost       bool
	evacuated  bool
}

// takesPart reports whether the domain's servers share the load.
func (d *domain) takesPart() bool { return !d.lost && !d.evacuated }

// New returns the state of a process that knows nothing of the service.
func New() *Service { return &Service{domains: map[string]*domain{}} }

// Hold returns for how long a smaller number of servers must have been enough.
func Hold(bounds table.Scaling) time.Duration { return max(minHold, holdBoots*bounds.Boot) }

// Decide decides the targets from the load measured now. Unknown load changes no target, except
// where the bounds demand it.
func (s *Service) Decide(now time.Time, load *Load, bounds table.Scaling) Plan {
	before := map[string]int{}
	plan := Plan{Known: load.Known}
	s.observeServers(now, load, bounds)
	for _, name := range slices.Sorted(maps.Keys(s.domains)) {
		d := s.domains[name]
		before[name] = d.target
		if d.evacuated {
			plan.Evacuated = append(plan.Evacuated, name)
		}
	}
	reasons := s.applyBounds(now, bounds)
	if load.Known {
		s.restartAfterGap(now)
	}
	if load.Known && s.places > 0 {
		s.assess(now, load, bounds, &plan)
		s.grow(&plan, bounds, reasons)
		s.reduce(now, &plan, bounds, reasons)
	}
	for _, name := range slices.Sorted(maps.Keys(s.domains)) {
		reason := reasons[name]
		if reason == "" {
			reason = plan.unchanged()
		}
		plan.Targets = append(plan.Targets, Target{Domain: name, From: before[name], To: s.domains[name].target, Reason: reason})
	}
	return plan
}

// restartAfterGap restarts the hold time if the load was unknown for too long.
func (s *Service) restartAfterGap(now time.Time) {
	if s.measuredAt.IsZero() || now.Sub(s.measuredAt) > maxGap {
		s.holdSince = now
	}
	s.measuredAt = now
}

// observeServers updates what is known of the failure domains.
func (s *Service) observeServers(now time.Time, load *Load, bounds table.Scaling) {
	if load.Domains == nil {
		return
	}
	servers, places := 0, 0
	for name, seen := range load.Domains {
		d := s.domains[name]
		if d == nil && seen.Evacuated && seen.Ready+seen.Leaving == 0 {
			continue // the service has no server there
		}
		if d == nil {
			d = &domain{target: seen.Ready, seenAt: now}
			s.domains[name] = d
		}
		// Servers that an earlier holder has ordered may still appear.
		if !d.ordered {
			d.target = max(d.target, min(seen.Ready, bounds.Max))
		}
		servers += seen.Ready
		places += seen.Places
	}
	if servers > 0 && places > 0 {
		s.places = float64(places) / float64(servers)
	}
	for name, d := range s.domains {
		d.observe(now, load.Domains[name].Ready, bounds.Boot)
		d.evacuated = load.Domains[name].Evacuated
	}
}

// observe records the number of ready servers.
func (d *domain) observe(now time.Time, ready int, boot time.Duration) {
	if ready > 0 {
		d.emptySince, d.seenReady, d.lost = time.Time{}, true, false
		return
	}
	if d.emptySince.IsZero() {
		d.emptySince = now
	}
	limit := lostAfter
	if !d.seenReady { // its first servers may still boot
		limit += holdBoots * boot
	}
	d.lost = d.target > 0 && now.Sub(d.emptySince) >= limit
}

// applyBounds moves all targets into the bounds and returns the reasons of the changes. Where an earlier
// holder may have ordered more servers than are seen, they are awaited first; the platform itself keeps
// to the bounds.
func (s *Service) applyBounds(now time.Time, bounds table.Scaling) map[string]string {
	reasons := map[string]string{}
	for name, d := range s.domains {
		if d.evacuated {
			continue
		}
		if d.target < bounds.Min && bounds.Min < bounds.Max && !d.ordered && now.Sub(d.seenAt) < Hold(bounds) {
			continue
		}
		if to := min(max(d.target, bounds.Min), bounds.Max); to != d.target {
			d.target, d.ordered = to, true
			reasons[name] = fmt.Sprintf("bounds %d to %d", bounds.Min, bounds.Max)
		}
	}
	return reasons
}

// assess computes what the load needs.
func (s *Service) assess(now time.Time, load *Load, bounds table.Scaling, plan *Plan) {
	plan.Demand = load.demand()
	plan.Forecast = plan.Demand
	// Within a boot time after a step down only demand itself is a reason for a step up: a
	// trend that undid the step would make the number flap.
	if s.reducedAt.IsZero() || now.Sub(s.reducedAt) > bounds.Boot {
		plan.Forecast += s.history.rise(now, bounds.Boot, plan.Demand)
	}
	for _, name := range slices.Sorted(maps.Keys(s.domains)) {
		if s.domains[name].lost {
			plan.Lost = append(plan.Lost, name)
		}
	}
	taking := s.count((*domain).takesPart)
	if taking == 0 { // the servers have nowhere else to go
		taking = cmp.Or(len(s.domains)-len(plan.Evacuated), len(s.domains))
	}
	plan.Needed = min(max(needed(plan.Forecast, s.places, taking), bounds.Min), bounds.Max)
	s.history.add(now, plan.Demand, needed(plan.Forecast*reduceMargin, s.places, taking), Hold(bounds))
}

// count counts the failure domains that match.
func (s *Service) count(match func(*domain) bool) int {
	n := 0
	for _, d := range s.domains {
		if match(d) {
			n++
		}
	}
	return n
}

// grow raises the targets to what is needed, at once: callers wait meanwhile. A lost or evacuated
// failure domain keeps its number for when it is back; the others take its share.
func (s *Service) grow(plan *Plan, bounds table.Scaling, reasons map[string]string) {
	noneTakesPart := s.count((*domain).takesPart) == 0
	for name, d := range s.domains {
		if d.target >= plan.Needed || d.evacuated || d.lost && !noneTakesPart {
			continue
		}
		d.target, d.ordered = plan.Needed, true
		reasons[name] = plan.growthReason(bounds)
	}
}

func (p *Plan) growthReason(bounds table.Scaling) string {
	reason := "demand"
	switch {
	case len(p.Evacuated) > 0:
		reason = fmt.Sprintf("share of evacuated failure domains %v", p.Evacuated)
	case len(p.Lost) > 0:
		reason = fmt.Sprintf("share of lost failure domains %v", p.Lost)
	case p.Forecast > p.Demand:
		reason = "demand rises"
	}
	if p.Needed == bounds.Max {
		reason += ", up to the maximum"
	}
	return reason
}

// reduce takes a step down if fewer servers have been enough for the whole hold time. A lost or
// evacuated failure domain keeps its number.
func (s *Service) reduce(now time.Time, plan *Plan, bounds table.Scaling, reasons map[string]string) {
	hold := Hold(bounds)
	if now.Sub(s.holdSince) < hold {
		return
	}
	enough := min(max(s.history.maxEnough(), bounds.Min, minServers), bounds.Max)
	for name, d := range s.domains {
		if !d.takesPart() {
			continue
		}
		step := max(1, int(maxStepShare*float64(d.target)))
		to := max(enough, d.target-step)
		if to >= d.target {
			continue
		}
		d.target, d.ordered = to, true
		s.holdSince, s.reducedAt = now, now
		reasons[name] = fmt.Sprintf("%d have been enough for %v", enough, hold)
	}
}

// unchanged returns why a target has not changed.
func (p *Plan) unchanged() string {
	if !p.Known {
		return "load unknown"
	}
	return "enough"
}
