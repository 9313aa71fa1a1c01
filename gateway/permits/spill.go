package permits

import (
	"context"
	"expvar"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/decide/evidence"
	decide "dandelionsill.org/decide/permits"
)

// Spill is why a permit of another region's broker is used.
type Spill string

const (
	// SpillRefused: the own region's broker refused.
	SpillRefused Spill = "refused"
	// SpillQueued: the own region's broker had the ask in its queue for longer than the way costs.
	SpillQueued Spill = "queued"
	// SpillSlow: the own region's broker had only a server that is ejected, was tried or is slower by
	// more than the way costs.
	SpillSlow Spill = "slow"
)

const (
	// spillTrips is how many round trips to the other region a spilled request costs: that of the
	// ask and its own.
	spillTrips = 2
	// spillMargin is by how much the wait in the own region must be longer than the way. Without it,
	// two regions that are about as full would exchange requests.
	spillMargin = 1.25
	// internalPatience is the part of its objective, one out of so many, that a call of a sample
	// waits in its own region at least: its body is long. At half of it, it would go before callers.
	internalPatience = 4
	// longRequest is how many times its usual time a request may well take.
	longRequest = 2
	// fastestMemory is how long the shortest time of a route holds, and maxFastest the number of
	// routes that are remembered.
	fastestMemory = 10 * time.Second
	maxFastest    = 1024
	// fullLogInterval is the least time between two log lines on a region without a place.
	fullLogInterval = time.Second
)

var (
	spillsAsked  = metrics.Counter("permits_spill_asked_total")
	spillsDenied = metrics.Counter("permits_spill_denied_total")
	spilled      = map[Spill]*expvar.Int{
		SpillRefused: metrics.Counter("permits_spilled_refused_total"),
		SpillQueued:  metrics.Counter("permits_spilled_queued_total"),
		SpillSlow:    metrics.Counter("permits_spilled_slow_total"),
	}
)

// place is a service's servers in a region.
type place struct{ service, region string }

// acquireByRegion asks the broker of the nearest region that may serve the request, and those of
// the others if that has no place in time.
func (c *Client) acquireByRegion(ctx context.Context, service string, ask decide.Ask) (*Permit, *Refusal, error) {
	regions := c.regions(service, ask)
	if len(regions) == 0 {
		return nil, noRegion(ask), nil
	}
	near, others := regions[0], regions[1:]
	if len(others) == 0 {
		return c.acquire(ctx, service, near, c.sentTo(near, ask), nil)
	}
	startedAt := c.cfg.Now()
	s := &spiller{client: c, service: service, near: near, others: others, ask: ask, startedAt: startedAt}
	permit, refusal, err := s.acquireNear(ctx)
	switch {
	case refusal != nil && refusal.Kind != "":
		if other := s.try(ctx, SpillRefused); other != nil {
			permit, refusal = other, nil
		}
	case permit != nil && permit.Spilled == "" && !ask.NoWait && s.isPoor(permit):
		if other := s.try(ctx, SpillSlow); other != nil {
			permit = s.better(permit, other)
		}
	}
	if permit != nil {
		c.observe(ask.Route, permit.expected)
	}
	if permit != nil && permit.Spilled != "" {
		spilled[permit.Spilled].Add(1)
	}
	return permit, refusal, errors.Trace(err)
}

// sentTo returns the ask as the broker of a region has to see it: answers take the way there.
func (c *Client) sentTo(region string, ask decide.Ask) decide.Ask {
	return withTimeLeft(ask, spillTrips*c.cfg.Ways.Estimate(c.cfg.Now(), region))
}

// spiller looks for a place for one request. The nearest region's broker has it in its queue, if
// any has.
type spiller struct {
	client    *Client
	service   string
	near      string
	others    []string
	ask       decide.Ask
	startedAt time.Duration
}

// acquireNear asks the nearest region's broker. While the ask waits there for longer than the way
// to another region takes, that region is asked too, for a place that is free.
func (s *spiller) acquireNear(ctx context.Context) (*Permit, *Refusal, error) {
	nearCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var found chan *Permit
	onQueued := func(estimate time.Duration) {
		if found != nil || s.ask.NoWait {
			return
		}
		found = make(chan *Permit, 1)
		go func() {
			permit := s.tryLater(nearCtx, estimate)
			found <- permit
			if permit != nil {
				cancel()
			}
		}()
	}
	permit, refusal, err := s.client.acquire(nearCtx, s.service, s.near, s.client.sentTo(s.near, s.ask), onQueued)
	if found == nil {
		return permit, refusal, err
	}
	cancel()
	other := <-found
	switch {
	case other == nil:
		return permit, refusal, err
	case permit != nil:
		other.Done(0, evidence.Unused)
		return permit, nil, nil
	}
	return other, nil, nil
}

// tryLater asks the other regions for a place as soon as, and as long as, the wait in the nearest
// one is longer than the way, until ctx ends.
func (s *spiller) tryLater(ctx context.Context, estimate time.Duration) *Permit {
	for {
		worth, way := s.worth()
		waited := s.client.cfg.Now() - s.startedAt
		pause := s.patience(worth) - waited
		if estimate > worth {
			pause, estimate = 0, 0 // from now on by what it has waited
		}
		if !sleep(ctx, pause) {
			return nil
		}
		if permit := s.try(ctx, SpillQueued); permit != nil {
			return permit
		}
		if !sleep(ctx, way) {
			return nil
		}
	}
}

// worth returns the least wait in the nearest region above which the way to the next one is worth
// it, and that way.
func (s *spiller) worth() (wait, way time.Duration) {
	way = s.client.cfg.Ways.Estimate(s.client.cfg.Now(), s.others[0])
	wait = time.Duration(spillMargin * spillTrips * float64(way))
	if s.ask.Internal {
		wait = max(wait, s.ask.Objective/internalPatience)
	}
	return wait, way
}

// patience returns after which wait another region is asked whose wait was not expected to be that
// long: as long as an answer from there can still be in time.
func (s *spiller) patience(worth time.Duration) time.Duration {
	if s.ask.Internal || s.ask.Objective <= 0 {
		return worth
	}
	way := s.client.cfg.Ways.Estimate(s.client.cfg.Now(), s.others[0])
	inTime := s.ask.Objective - time.Duration(spillMargin*spillTrips*float64(way)) - spillTrips*s.client.fastestOf(s.ask.Route)
	return min(worth, max(inTime, way))
}

// isPoor reports whether a permit is for a server that is ejected or was to be avoided, or for one
// that is slower than the fastest by more than the way to another region costs, or so slow that a
// request of some length would be late there, but not in the other region.
func (s *spiller) isPoor(p *Permit) bool {
	worth, _ := s.worth()
	fastest := s.client.fastestOf(s.ask.Route)
	switch {
	case p.lastChoice:
		return true
	case fastest <= 0 || p.expected <= fastest:
		return false
	}
	left := s.ask.Objective - (s.client.cfg.Now() - s.startedAt)
	isRisky := !s.ask.Internal && longRequest*p.expected > left && longRequest*fastest+worth < left
	return isRisky || p.expected > fastest+worth
}

// try asks the brokers of the other regions for a free place, one after the other; nil: none has
// one. A region that had none is not asked again for the time of a way.
func (s *spiller) try(ctx context.Context, why Spill) *Permit {
	c := s.client
	for _, region := range s.others {
		now := c.cfg.Now()
		ask := withTimeLeft(s.ask, now-s.startedAt)
		if ctx.Err() != nil || c.isFull(place{s.service, region}, now) || ask.Deadline <= spillTrips*c.cfg.Ways.Estimate(now, region) {
			continue
		}
		ask.Spill = true
		ask.NoWait = ask.NoWait || why == SpillSlow
		spillsAsked.Add(1)
		permit, refusal, err := c.acquire(ctx, s.service, region, c.sentTo(region, ask), nil)
		if permit != nil {
			permit.Spilled = why
			return permit
		}
		spillsDenied.Add(1)
		if ctx.Err() != nil {
			return nil
		}
		if !c.setFull(place{s.service, region}) {
			continue
		}
		fields := []zap.Field{zap.String("service", s.service), zap.String("region", region), zap.String("near", s.near), zap.String("why", string(why)), zap.Error(err)}
		if refusal != nil {
			fields = append(fields, zap.String("refused", string(refusal.Kind)), zap.String("reason", refusal.Reason))
		}
		c.cfg.Logger.Info("Another region has no place.", fields...)
	}
	return nil
}

// better returns the permit whose server is trusted, or whose answer is expected first, and gives
// the other one back.
func (s *spiller) better(near, other *Permit) *Permit {
	way := s.client.cfg.Ways.Estimate(s.client.cfg.Now(), other.Region)
	isSooner := other.expected > 0 && other.expected+way < near.expected
	if isSooner || near.lastChoice && !other.lastChoice {
		near.Done(0, evidence.Unused)
		return other
	}
	other.Done(0, evidence.Unused)
	return near
}

// fastest is the shortest time in which an answer was expected lately.
type fastest struct {
	expected, at time.Duration
}

// observe records when an answer is expected.
func (c *Client) observe(route string, expected time.Duration) {
	if expected <= 0 {
		return
	}
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.fastest[route]; ok && now-known.at <= fastestMemory && known.expected <= expected {
		return
	}
	if len(c.fastest) >= maxFastest {
		clear(c.fastest)
	}
	c.fastest[route] = fastest{expected, now}
}

// fastestOf returns the shortest time in which an answer was expected lately; 0: unknown.
func (c *Client) fastestOf(route string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fastest[route].expected
}

// fullRegion is a region that had no place for requests of this one.
type fullRegion struct {
	until    time.Duration // it is not asked before
	loggedAt time.Duration
}

func (c *Client) isFull(p place, now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now < c.full[p].until
}

// setFull records that a region has no place. It reports whether that is to be logged.
func (c *Client) setFull(p place) bool {
	now := c.cfg.Now()
	way := c.cfg.Ways.Estimate(now, p.region)
	c.mu.Lock()
	defer c.mu.Unlock()
	known, isKnown := c.full[p]
	isDue := !isKnown || now-known.loggedAt >= fullLogInterval
	if isDue {
		known.loggedAt = now
	}
	known.until = now + way
	c.full[p] = known
	return isDue
}

// sleep waits for a time. It reports whether ctx has not ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
