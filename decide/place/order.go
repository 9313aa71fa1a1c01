package place

import (
	"cmp"
	"math"
	"slices"
)

// Step is a trainer's step: the samples of a batch job, in groups. Its trainer
// waits until a number of groups is whole, trains, and only then asks for a later
// step.
type Step struct {
	// Turn orders steps by their age, in any unit; lower is older. Steps of one
	// turn are made side by side, the longest samples first.
	Turn int
	// Due is how long until results are due, in seconds; below 0: they are late.
	Due float64
	// Need is the number of groups that the trainer still waits for.
	Need int
	// Model is what makes its samples and Rate what the engines that may make them
	// can, in units of samples' Left a second; 0: as much as Room has.
	Model string
	Rate  float64
}

// Room is what the engines of a service can do for some samples.
type Room struct {
	// Free is the number of places where none runs.
	Free int
	// Rate is the units of samples' Left that can be made in a second; 0: not known.
	Rate float64
	// Pace is the seconds that one unit takes.
	Pace float64
}

// RoomOf is the room that engines have for one process that runs some samples
// there: their places but for those that others have.
func RoomOf(engines []Engine, own map[string]int) Room {
	room := Room{Pace: medianPace(engines)}
	for i := range engines {
		room.Free += max(0, engines[i].Slots-engines[i].Load)
		room.Rate += room.rateOf(&engines[i], own)
	}
	return room
}

// rateOf is an engine's part of the rate.
func (r Room) rateOf(e *Engine, own map[string]int) float64 {
	pace := cmp.Or(e.Pace, r.Pace)
	if pace == 0 {
		return 0
	}
	return float64(max(0, e.Slots-e.Load)+own[e.ID]) / pace
}

// RateFor is the part of the rate that a step of a model can use, whose oldest
// usable version is floor. An engine one version behind the floor, or that loads,
// counts: it is about to serve. One that is further behind does not follow the model.
func (r Room) RateFor(engines []Engine, own map[string]int, model string, floor uint64) float64 {
	rate := 0.0
	for i := range engines {
		e := &engines[i]
		version, serves := e.Versions[model]
		if serves && version+1 >= floor || e.Loading[model] >= floor {
			rate += r.rateOf(e, own)
		}
	}
	return rate
}

// Limits of Order, for trainers that ask for several times what the engines make.
const (
	// usable is the share of the places' time that turns into samples in time: the
	// rest goes to loads of weights, to the tails of steps and to guesses that were
	// too low.
	usable = 0.65
	// surely is the part of a sample's guessed length that it surely has: hints
	// are off by a factor of two and more, and a group must not be passed over for
	// a length that it will not reach.
	surely = 0.4
	// closing is the seconds of all places in which what a step lacks must be made
	// to go before all else.
	closing = 0.5
)

// class is what a group is to its trainer, in the order of places.
type class uint8

const (
	// closes: the last groups of a step, late but soon made. They let the trainer
	// go on, who else waits until it gives the step up.
	closes class = iota
	// timely: it can be made in time beside all others of this class.
	timely
	// late: the trainer waits for it, but it comes too late.
	late
	// surplus: the trainer has enough without it.
	surplus
)

// group is the samples of a step that count only together.
type group struct {
	step    int
	must    bool
	work    float64 // left of all its samples
	longest float64 // left of the longest
	class   class
	samples []int
}

// Order ranks samples, running ones included, for scarce places. It answers the
// load of trainers that ask for more than the engines can make: with the steps' age
// and the samples' length alone all groups advance together and nearly all miss
// their time by a little. A group counts when its last sample is listed, so that
// the groups which can be made in time are chosen first, as many as possible, and
// the others wait behind them instead of beside them. What has been begun has
// little left and so stays chosen. Where all can be made in time the ranks are the
// steps' turns, and the longest samples go first.
func Order(steps []Step, samples []Sample, room Room) {
	groups := gather(samples)
	byDue := func(a, b *group) int {
		return cmp.Or(cmp.Compare(steps[a.step].Due, steps[b.step].Due), cmp.Compare(a.step, b.step))
	}
	slices.SortStableFunc(groups, func(a, b *group) int {
		return cmp.Or(byDue(a, b), compareBool(b.must, a.must), cmp.Compare(a.work, b.work))
	})
	classify(steps, groups)
	newChooser(steps, room).choose(groups)
	closeSteps(steps, groups, room)
	behind := math.MinInt
	for i := range steps {
		behind = max(behind, steps[i].Turn)
	}
	slices.SortStableFunc(groups, func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.class, b.class), byDue(a, b), compareBool(b.must, a.must), cmp.Compare(a.work, b.work))
	})
	var before *group
	for _, g := range groups {
		rank := 0
		switch g.class {
		case closes:
			rank = math.MinInt
		case timely:
			rank = steps[g.step].Turn
		default: // of a step side by side, the longest samples first
			if before == nil || before.class != g.class || before.step != g.step {
				behind++
			}
			rank = behind
		}
		before = g
		for _, i := range g.samples {
			samples[i].Rank = rank
		}
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// gather returns the groups of the samples.
func gather(samples []Sample) []*group {
	type key struct {
		step int
		name string
	}
	byKey := map[key]*group{}
	var groups []*group
	for i := range samples {
		s := &samples[i]
		k := key{s.Step, s.Group}
		g := byKey[k]
		if g == nil {
			g = &group{step: s.Step}
			byKey[k] = g
			groups = append(groups, g)
		}
		g.must = g.must || s.Must
		g.work += s.Left
		g.longest = max(g.longest, s.Left)
		g.samples = append(g.samples, i)
	}
	return groups
}

// classify tells the groups that trainers wait for, those with the least work of
// each step, from the surplus. Groups come step by step in the order of preference.
func classify(steps []Step, groups []*group) {
	counted := make([]int, len(steps))
	for _, g := range groups {
		counted[g.step]++
		g.class = late
		if !g.must && counted[g.step] > steps[g.step].Need {
			g.class = surplus
		}
	}
}

// chooser finds the groups that can be made in time: as many as possible, by the
// method of Moore and Hodgson for the fewest late jobs on one machine. All places
// together are taken for one machine of their rate, and those of the engines that
// have a model fresh for another that makes this model's steps alone: where loads
// of weights take long only some engines follow each model.
type chooser struct {
	steps []Step
	room  Room
	// order holds the steps by the time at which they are due, place a step's
	// index in it, work what is chosen of each step.
	order  []int
	place  []int
	work   []float64
	chosen []*group
	// model holds the number of each step's model, byModel sums the work of each
	// while steps are looked at.
	model   []int
	byModel []float64
}

func newChooser(steps []Step, room Room) *chooser {
	c := &chooser{steps: steps, room: room, place: make([]int, len(steps)), work: make([]float64, len(steps)), model: make([]int, len(steps))}
	numbers := map[string]int{}
	for i := range steps {
		c.order = append(c.order, i)
		number, known := numbers[steps[i].Model]
		if !known {
			number = len(numbers)
			numbers[steps[i].Model] = number
		}
		c.model[i] = number
	}
	c.byModel = make([]float64, len(numbers))
	slices.SortStableFunc(c.order, func(a, b int) int { return cmp.Compare(steps[a].Due, steps[b].Due) })
	for place, i := range c.order {
		c.place[i] = place
	}
	return c
}

// choose marks the groups that can be made in time. Groups that trainers wait for
// put out those with the most work; what is surplus comes in where there is room.
func (c *chooser) choose(groups []*group) {
	for _, g := range groups {
		if g.class != late || !c.reachable(g) {
			continue
		}
		c.add(g)
		for {
			place, model := c.overloaded()
			if place < 0 {
				break
			}
			c.putOut(place, model)
		}
	}
	for _, g := range groups {
		if g.class != surplus || !c.reachable(g) {
			continue
		}
		c.work[g.step] += g.work
		if place, _ := c.overloaded(); place < 0 {
			g.class = timely
			continue
		}
		c.work[g.step] -= g.work
	}
}

// reachable tells whether a group may be made in time if it is begun now.
func (c *chooser) reachable(g *group) bool {
	return surely*g.longest*c.room.Pace <= c.steps[g.step].Due
}

func (c *chooser) add(g *group) {
	g.class = timely
	c.work[g.step] += g.work
	c.chosen = append(c.chosen, g)
}

// overloaded returns the place of the first step that can't be in time with all
// that is chosen of it and of those before, and the model whose engines are too
// few; anyModel: all of them are. A place of -1: there is none.
func (c *chooser) overloaded() (place, model int) {
	total := 0.0
	clear(c.byModel)
	for place, i := range c.order {
		s := &c.steps[i]
		total += c.work[i]
		model := c.model[i]
		c.byModel[model] += c.work[i]
		switch {
		case c.work[i] == 0:
		case total > usable*c.room.Rate*s.Due:
			return place, anyModel
		case s.Rate > 0 && c.byModel[model] > usable*s.Rate*s.Due:
			return place, model
		}
	}
	return -1, anyModel
}

// anyModel stands for the steps of all models.
const anyModel = -1

// putOut takes the group with the most work of a model's steps up to a place out.
// Those that were handed in again stay the longest: their trainer can't do without
// them, and put out in each step they would be left for ever.
func (c *chooser) putOut(place, model int) {
	most := -1
	for k, g := range c.chosen {
		if c.place[g.step] <= place && (model == anyModel || model == c.model[g.step]) && (most < 0 || c.before(g, c.chosen[most])) {
			most = k
		}
	}
	g := c.chosen[most]
	g.class = late
	c.work[g.step] -= g.work
	c.chosen = slices.Delete(c.chosen, most, most+1)
	if !slices.ContainsFunc(c.chosen, func(h *group) bool { return h.step == g.step }) {
		c.work[g.step] = 0 // what is left is an error of rounding
	}
}

// before tells whether a is put out rather than b.
func (c *chooser) before(a, b *group) bool {
	if a.must != b.must {
		return b.must
	}
	return a.work > b.work
}

// closeSteps marks the last groups of steps that nothing timely is left of.
func closeSteps(steps []Step, groups []*group, room Room) {
	work := make([]float64, len(steps))
	inTime := make([]bool, len(steps))
	for _, g := range groups {
		switch g.class {
		case late:
			work[g.step] += g.work
		case timely:
			inTime[g.step] = true
		}
	}
	for _, g := range groups {
		if g.class == late && !inTime[g.step] && work[g.step] < closing*room.Rate {
			g.class = closes
		}
	}
}
