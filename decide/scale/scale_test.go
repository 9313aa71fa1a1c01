package scale_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/decide/scale"
	"dandelionsill.org/decide/table"
)

const (
	places = 6 // that a server has
	boot   = 14 * time.Second
	mean   = 100 * time.Millisecond
)

var bounds = table.Scaling{Min: 1, Max: 20, Boot: boot}

// unknown is the load if nothing could be measured.
var unknown = &scale.Load{}

// change is a change of a target.
type change struct {
	at     int // s
	target scale.Target
	plan   scale.Plan
}

// fleet plays a service whose servers come a boot time after they were ordered and go at once.
// Each tick is one second.
type fleet struct {
	service *scale.Service
	bounds  table.Scaling
	second  int
	ready   map[string]int
	booting map[string]map[int]int // servers by the second at which they are ready
	cut     map[string]bool        // failure domains whose servers are gone
	// evacuated holds the failure domains that are evacuated. Their servers count as ready and have no
	// places for the load.
	evacuated map[string]bool
	changes   []change
	// short counts the seconds in which demand exceeded the places.
	short int
}

func newFleet(serversPerDomain int, domains ...string) *fleet {
	f := &fleet{service: scale.New(), bounds: bounds, ready: map[string]int{}, booting: map[string]map[int]int{}, cut: map[string]bool{}, evacuated: map[string]bool{}}
	for _, name := range domains {
		f.ready[name], f.booting[name] = serversPerDomain, map[int]int{}
	}
	return f
}

func (f *fleet) now() time.Time { return time.Unix(int64(f.second), 0) }

// load returns the load of a demand in requests that run at a time; those without a place wait.
func (f *fleet) load(demand float64) *scale.Load {
	l := &scale.Load{Known: true, Domains: map[string]scale.Domain{}, AsksPerSecond: demand / mean.Seconds(), MeanTime: mean, Objective: time.Second}
	free := 0
	for name, n := range f.ready {
		if f.cut[name] {
			n = 0
		}
		l.Domains[name] = scale.Domain{Ready: n, Places: n * places, Evacuated: f.evacuated[name]}
		if !f.evacuated[name] {
			free += n * places
		}
	}
	if demand > float64(free) {
		f.short++
		l.Waiting = int(demand) - free
	}
	return l
}

// tick plays one second with a load.
func (f *fleet) tick(load *scale.Load) scale.Plan {
	plan := f.service.Decide(f.now(), load, f.bounds)
	for _, target := range plan.Targets {
		if target.From != target.To {
			f.changes = append(f.changes, change{f.second, target, plan})
		}
		f.order(target)
	}
	f.second++
	for name, due := range f.booting {
		f.ready[name] += due[f.second]
		delete(due, f.second)
	}
	return plan
}

func (f *fleet) order(target scale.Target) {
	coming := f.ready[target.Domain]
	for _, n := range f.booting[target.Domain] {
		coming += n
	}
	switch more := target.To - coming; {
	case more > 0:
		f.booting[target.Domain][f.second+int(f.bounds.Boot.Seconds())] += more
	case more < 0 && target.To < target.From:
		f.ready[target.Domain] = target.To
	}
}

// play plays a demand for some seconds.
func (f *fleet) play(seconds int, demand func(second int) float64) {
	for second := range seconds {
		f.tick(f.load(demand(second)))
	}
}

func constant(demand float64) func(int) float64 { return func(int) float64 { return demand } }

// target returns the newest target of a failure domain.
func (f *fleet) target(domain string) int {
	for _, t := range f.service.Decide(f.now(), unknown, f.bounds).Targets {
		if t.Domain == domain {
			return t.To
		}
	}
	return -1
}

// Load: a day's wave, 20 min long so that it rises by 0.5 places a second. Guards against
// callers that wait because servers are ordered only once there are too few, and against
// servers that stay at night.
func TestWaveIsServedAhead(t *testing.T) {
	f := newFleet(4, "a", "b", "c")
	wave := func(s int) float64 { return 60 - 55*math.Cos(2*math.Pi*float64(s)/1200) }
	f.play(600, wave)
	peak := f.target("a")
	require.GreaterOrEqual(t, peak, 10, "115 places, one of three failure domains lost")
	require.Zero(t, f.short, "seconds in which callers waited")
	f.play(600, func(s int) float64 { return wave(600 + s) })
	f.play(600, constant(5))
	require.Zero(t, f.short)
	require.LessOrEqual(t, f.target("a"), 1)
}

// Load: a rise by 2 places a second, of which a boot time brings more than utilisation leaves
// free. Guards against servers that are ordered for the demand of now only.
func TestRiseIsServedABootTimeAhead(t *testing.T) {
	f := newFleet(4, "a")
	f.play(20, constant(10))
	rise := func(s int) float64 { return 10 + 2*float64(s) }
	f.play(28, rise)
	short := f.short
	f.play(20, func(s int) float64 { return rise(28 + s) })
	require.Equal(t, short, f.short, "nobody waits once the rise has been seen and its first servers have booted")
}

// Load: a dip, and a steep return to what demand was before. Guards against a trend that undoes
// a step down.
func TestReturnFromDipDoesNotFlap(t *testing.T) {
	f := newFleet(20, "a")
	demands := make([]float64, 50)
	for s := range demands {
		demands[s] = 60
		if s >= 24 {
			demands[s] = 20 + 2.5*float64(s-24)
		}
	}
	f.play(len(demands), func(s int) float64 { return demands[s] })
	require.Len(t, f.changes, 2, "down and up")
	requireNoFlap(t, f, demands)
}

// Load: ten times as many requests for 30 s. Guards against a burst that is served after it has
// ended, and against servers that are taken away in the pauses between two bursts.
func TestBurstIsServedAtOnceAndHeld(t *testing.T) {
	f := newFleet(1, "a", "b", "c")
	f.play(60, constant(8))
	f.play(30, constant(80))
	require.Equal(t, 60, f.changes[0].at, "ordered in the first second")
	require.LessOrEqual(t, f.short, int(boot.Seconds()), "seconds in which callers waited")
	peak := f.target("a")
	require.Equal(t, 8, peak, "80 places on two of three failure domains; a single step is no trend")
	f.play(25, constant(8))
	require.Equal(t, peak, f.target("a"))
	short := f.short
	f.play(30, constant(80))
	require.Equal(t, short, f.short, "the second burst finds the servers there")
}

// Load: a step down to a quarter. Guards against one large step, and against steps that follow
// each other before the first has shown its effect.
func TestStepDownIsFollowedSlowly(t *testing.T) {
	f := newFleet(17, "a", "b", "c")
	f.play(60, constant(170))
	require.Empty(t, f.changes)
	f.play(900, constant(40))
	last := map[string]int{}
	for _, c := range f.changes {
		require.Less(t, c.target.To, c.target.From)
		require.LessOrEqual(t, c.target.From-c.target.To, max(1, c.target.From/4))
		if at, stepped := last[c.target.Domain]; stepped {
			require.GreaterOrEqual(t, c.at-at, 30)
		}
		last[c.target.Domain] = c.at
	}
	require.Equal(t, 4, f.target("a"), "40 places on two of three failure domains")
	require.Zero(t, f.short)
}

// Load: none for a long time, with bounds that allow no servers. Guards against a service that loses its last servers and
// stays without: nobody measures its load then, and a new holder does not know where it ran.
func TestLastServersStay(t *testing.T) {
	f := newFleet(4, "a", "b")
	f.bounds.Min = 0
	f.play(1000, constant(0))
	require.Equal(t, 1, f.target("a"))
	require.Equal(t, 1, f.target("b"))
}

// Load: noise of a third around a constant demand. Guards against flapping.
func TestNoiseDoesNotFlap(t *testing.T) {
	f := newFleet(5, "a", "b", "c")
	rng := rand.New(rand.NewPCG(1, 2))
	f.play(1200, func(int) float64 { return 30 * (2 + rng.Float64()) / 2.5 })
	for i, c := range f.changes {
		for _, earlier := range f.changes[:i] {
			if earlier.target.Domain == c.target.Domain && earlier.target.To < earlier.target.From {
				require.Less(t, c.target.To, c.target.From, "up at %d s after down at %d s", c.at, earlier.at)
			}
		}
	}
}

// Guards against callers of a lost failure domain that wait while its servers could be ordered
// elsewhere, and against a lost failure domain that comes back to too few servers.
func TestShareOfLostDomainGoesElsewhere(t *testing.T) {
	f := newFleet(8, "a", "b", "c")
	f.play(60, constant(80))
	before := f.target("b")
	f.cut["a"] = true
	f.play(60, constant(80))
	require.Zero(t, f.short, "what is left is enough until more are there")
	require.Greater(t, f.target("b"), before)
	require.LessOrEqual(t, f.target("b"), bounds.Max)
	require.Equal(t, 8, f.target("a"))
	f.cut["a"] = false
	f.play(300, constant(80))
	require.Equal(t, before, f.target("b"))
	require.Zero(t, f.short)
}

// Guards against a new holder, or one that knows nothing of the load for a while, that takes
// servers away which callers need, and against orders of its predecessor that it undoes.
func TestUnknownLoadTakesNothingAway(t *testing.T) {
	f := newFleet(4, "a", "b")
	f.booting["a"][10], f.booting["b"][10] = 5, 5 // ordered by the predecessor
	hold := int(scale.Hold(bounds).Seconds())
	for second := range 20 * hold {
		if second%hold < 7 {
			f.tick(unknown)
		} else {
			f.tick(f.load(1))
		}
	}
	require.Empty(t, f.changes, "the load was never known for a whole hold time")
	require.Equal(t, 9, f.target("a"))
	f.play(hold+1, constant(1))
	require.Len(t, f.changes, 2)
	require.Equal(t, 7, f.target("a"))
	f.service = scale.New() // a new holder
	f.play(1, constant(80))
	require.Greater(t, f.target("a"), 7, "what is needed is ordered in the first second")
}

// Guards against a new holder that orders the minimum where its predecessor had ordered more, while the servers of a
// failure domain restart and the load is not known yet.
func TestNewHolderDoesNotOrderMinimumAtOnce(t *testing.T) {
	s, bounds := scale.New(), table.Scaling{Min: 4, Max: 20, Boot: boot}
	restarting := &scale.Load{Domains: map[string]scale.Domain{"a": {Ready: 1, Places: places}, "b": {Ready: 10, Places: 10 * places}}}
	for second := range 28 {
		for _, target := range s.Decide(time.Unix(int64(second), 0), restarting, bounds).Targets {
			require.Equal(t, target.From, target.To, "second %d", second)
		}
	}
	plan := s.Decide(time.Unix(40, 0), restarting, bounds)
	require.Equal(t, scale.Target{Domain: "a", From: 1, To: 4, Reason: "bounds 4 to 20"}, plan.Targets[0])
}

// Guards against an operator who can't fix the number of servers, whatever the load.
func TestEqualBoundsPinTheNumber(t *testing.T) {
	f := newFleet(4, "a", "b")
	f.bounds.Min, f.bounds.Max = 6, 6
	f.tick(unknown)
	require.Empty(t, f.changes, "where the service runs is not known")
	f.tick(&scale.Load{Domains: f.load(10).Domains})
	require.Len(t, f.changes, 2)
	require.Equal(t, "bounds 6 to 6", f.changes[0].target.Reason)
	f.play(300, func(s int) float64 { return float64(s % 90) })
	require.Len(t, f.changes, 2)
	require.Equal(t, 6, f.target("a"))
}

// fleetOf draws a fleet of one to four failure domains.
func fleetOf(t *rapid.T) *fleet {
	names := []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "domains")]
	f := newFleet(rapid.IntRange(1, 20).Draw(t, "servers"), names...)
	f.bounds.Min = rapid.IntRange(0, 5).Draw(t, "min")
	f.bounds.Max = f.bounds.Min + rapid.IntRange(1, 20).Draw(t, "more")
	f.bounds.Boot = time.Duration(rapid.IntRange(0, 40).Draw(t, "boot_s")) * time.Second
	return f
}

// Load: any. Targets stay within the bounds and do not flap.
func TestTargetsStayWithinBoundsAndDoNotFlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fleetOf(t)
		var demands []float64
		for _, length := range rapid.SliceOfN(rapid.IntRange(1, 90), 1, 8).Draw(t, "lengths") {
			level := rapid.Float64Range(0, 300).Draw(t, "level")
			for range length {
				demands = append(demands, level*rapid.Float64Range(0.8, 1).Draw(t, "noise"))
				plan := f.tick(&scale.Load{Known: true, Domains: f.load(0).Domains, AsksPerSecond: demands[len(demands)-1] / mean.Seconds(), MeanTime: mean})
				for _, target := range plan.Targets {
					require.GreaterOrEqual(t, target.To, f.bounds.Min)
					require.LessOrEqual(t, target.To, f.bounds.Max)
				}
			}
		}
		requireNoFlap(t, f, demands)
	})
}

// requireNoFlap checks that a step up follows a step down within the boot time only if demand has
// risen above all that it was in the hold time before the step down. demands is by second.
func requireNoFlap(t require.TestingT, f *fleet, demands []float64) {
	downAt := map[string]int{}
	for _, c := range f.changes {
		if c.target.To < c.target.From {
			downAt[c.target.Domain] = c.at
			continue
		}
		down, stepped := downAt[c.target.Domain]
		if !stepped || c.at-down > int(f.bounds.Boot.Seconds()) {
			continue
		}
		for at := max(0, down-int(scale.Hold(f.bounds).Seconds())); at <= down; at++ {
			require.Greater(t, demands[c.at], demands[at], "down at %d s, up at %d s", down, c.at)
		}
	}
}

// Load: constant. Once the number has met the demand it never changes again.
func TestConstantLoadSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fleetOf(t)
		demand := rapid.Float64Range(0, 300).Draw(t, "demand")
		f.play(1500, constant(demand))
		for i, c := range f.changes {
			for _, earlier := range f.changes[:i] {
				if earlier.target.Domain == c.target.Domain {
					require.Less(t, c.target.To, c.target.From, "only the steps down to the demand follow")
				}
			}
		}
		settled := len(f.changes)
		f.play(600, constant(demand))
		require.Len(t, f.changes, settled)
	})
}

// Load: any history. More demand never leads to fewer servers, all else equal.
func TestTargetIsMonotoneInDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lower := fleetOf(t)
		higher := newFleet(0)
		higher.bounds, higher.ready, higher.booting = lower.bounds, lower.ready, lower.booting
		levels := rapid.SliceOfN(rapid.Float64Range(0, 200), 1, 120).Draw(t, "levels")
		for _, level := range levels[1:] {
			load := lower.load(level)
			lower.service.Decide(lower.now(), load, lower.bounds)
			higher.service.Decide(lower.now(), load, lower.bounds)
			lower.second++
		}
		more := lower.load(levels[0])
		less := *more
		more.AsksPerSecond += rapid.Float64Range(0, 500).Draw(t, "rate")
		more.Waiting += rapid.IntRange(0, 500).Draw(t, "waiting")
		more.MeanTime += time.Duration(rapid.IntRange(0, 500).Draw(t, "mean_ms")) * time.Millisecond
		few := lower.service.Decide(lower.now(), &less, lower.bounds)
		many := higher.service.Decide(lower.now(), more, lower.bounds)
		require.Len(t, many.Targets, len(few.Targets))
		for i := range few.Targets {
			require.GreaterOrEqual(t, many.Targets[i].To, few.Targets[i].To, fmt.Sprint(few, many))
		}
	})
}
