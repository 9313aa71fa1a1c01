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
	AgeRank int
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
type Capacity struct {
	// Free is the number of places where none runs.
	FreeSlots int
	// Rate is the units of samples' Left that can be made in a second; 0: not known.
	Rate float64
	// Pace is the seconds that one unit takes.
	Pace float64
}

// RoomOf is the room that engines have for one process that runs some samples
// there: their places but for those that others have.
func CapacityOf(engines []Engine, own map[string]int) Capacity {
	capacity := Capacity{Pace: medianPace(engines)}
	for i := range engines {
		capacity.FreeSlots += max(0, engines[i].Slots-engines[i].Load)
		capacity.Rate += capacity.engineRate(&engines[i], own)
	}
	return capacity
}

// rateOf is an engine's part of the rate.
func (r Capacity) engineRate(e *Engine, own map[string]int) float64 {
	pace := cmp.Or(e.Pace, r.Pace)
	if pace == 0 {
		return 0
	}
	return float64(max(0, e.Slots-e.Load)+own[e.ID]) / pace
}

// RateFor is the part of the rate that a step of a model can use, whose oldest
// usable version is floor. An engine one version behind the floor, or that loads,
// counts: it is about to serve. One that is further behind does not follow the model.
func (r Capacity) RateFor(engines []Engine, own map[string]int, model string, floor uint64) float64 {
	rate := 0.0
	for i := range engines {
		e := &engines[i]
		version, serves := e.Versions[model]
		if serves && version+1 >= floor || e.Loading[model] >= floor {
			rate += r.engineRate(e, own)
		}
	}
	return rate
}

// Limits of Order, for trainers that ask for several times what the engines make.
const (
	// usable is the share of the places' time that turns into samples in time: the
	// rest goes to loads of weights, to the tails of steps and to guesses that were
	// too low.
	usableShare = 0.65
	// surely is the part of a sample's guessed length that it surely has: hints
	// are off by a factor of two and more, and a group must not be passed over for
	// a length that it will not reach.
	certainShare = 0.4
	// closing is the seconds of all places in which what a step lacks must be made
	// to go before all else.
	finishingSeconds = 0.5
)

// class is what a group is to its trainer, in the order of places.
type class uint8

const (
	// closes: the last groups of a step, late but soon made. They let the trainer
	// go on, who else waits until it gives the step up.
	finishing class = iota
	// timely: it can be made in time beside all others of this class.
	timely
	// late: the trainer waits for it, but it comes too late.
	late
	// surplus: the trainer has enough without it.
	surplus
)

// group is the samples of a step that count only together.
type group struct {
	step     int
	required bool
	work     float64 // left of all its samples
	longest  float64 // left of the longest
	class    class
	samples  []int
}

// Order ranks samples, running ones included, for scarce places. It answers the
// load of trainers that ask for more than the engines can make: with the steps' age
// and the samples' length alone all groups advance together and nearly all miss
// their time by a little. A group counts when its last sample is listed, so that
// the groups which can be made in time are chosen first, as many as possible, and
// the others wait behind them instead of beside them. What has been begun has
// little left and so stays chosen. Where all can be made in time the ranks are the
// steps' turns, and the longest samples go first.
func Order(steps []Step, samples []Sample, capacity Capacity) {
	groups := groupSamples(samples)
	byDue := func(a, b *group) int {
		return cmp.Or(cmp.Compare(steps[a.step].Due, steps[b.step].Due), cmp.Compare(a.step, b.step))
	}
	slices.SortStableFunc(groups, func(a, b *group) int {
		return cmp.Or(byDue(a, b), compareBool(b.required, a.required), cmp.Compare(a.work, b.work))
	})
	classify(steps, groups)
	newGroupSelector(steps, capacity).selectGroups(groups)
	markFinishing(steps, groups, capacity)
	lastRank := math.MinInt
	for i := range steps {
		lastRank = max(lastRank, steps[i].AgeRank)
	}
	slices.SortStableFunc(groups, func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.class, b.class), byDue(a, b), compareBool(b.required, a.required), cmp.Compare(a.work, b.work))
	})
	var previous *group
	for _, g := range groups {
		rank := 0
		switch g.class {
		case finishing:
			rank = math.MinInt
		case timely:
			rank = steps[g.step].AgeRank
		default: // of a step side by side, the longest samples first
			if previous == nil || previous.class != g.class || previous.step != g.step {
				lastRank++
			}
			rank = lastRank
		}
		previous = g
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
func groupSamples(samples []Sample) []*group {
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
		g.required = g.required || s.Required
		g.work += s.Remaining
		g.longest = max(g.longest, s.Remaining)
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
		if !g.required && counted[g.step] > steps[g.step].Need {
			g.class = surplus
		}
	}
}

// chooser finds the groups that can be made in time: as many as possible, by the
// method of Moore and Hodgson for the fewest late jobs on one machine. All places
// together are taken for one machine of their rate, and those of the engines that
// have a model fresh for another that makes this model's steps alone: where loads
// of weights take long only some engines follow each model.
type groupSelector struct {
	steps    []Step
	capacity Capacity
	// order holds the steps by the time at which they are due, place a step's
	// index in it, work what is chosen of each step.
	stepsByDue []int
	position   []int
	work       []float64
	chosen     []*group
	// model holds the number of each step's model, byModel sums the work of each
	// while steps are looked at.
	modelNumbers []int
	workByModel  []float64
}

func newGroupSelector(steps []Step, capacity Capacity) *groupSelector {
	c := &groupSelector{steps: steps, capacity: capacity, position: make([]int, len(steps)), work: make([]float64, len(steps)), modelNumbers: make([]int, len(steps))}
	numbers := map[string]int{}
	for i := range steps {
		c.stepsByDue = append(c.stepsByDue, i)
		number, known := numbers[steps[i].Model]
		if !known {
			number = len(numbers)
			numbers[steps[i].Model] = number
		}
		c.modelNumbers[i] = number
	}
	c.workByModel = make([]float64, len(numbers))
	slices.SortStableFunc(c.stepsByDue, func(a, b int) int { return cmp.Compare(steps[a].Due, steps[b].Due) })
	for position, i := range c.stepsByDue {
		c.position[i] = position
	}
	return c
}

// choose marks the groups that can be made in time. Groups that trainers wait for
// put out those with the most work; what is surplus comes in where there is room.
func (c *groupSelector) selectGroups(groups []*group) {
	for _, g := range groups {
		if g.class != late || !c.canFinishInTime(g) {
			continue
		}
		c.add(g)
		for {
			position, model := c.firstOverloaded()
			if position < 0 {
				break
			}
			c.evict(position, model)
		}
	}
	for _, g := range groups {
		if g.class != surplus || !c.canFinishInTime(g) {
			continue
		}
		c.work[g.step] += g.work
		if position, _ := c.firstOverloaded(); position < 0 {
			g.class = timely
			continue
		}
		c.work[g.step] -= g.work
	}
}

// reachable tells whether a group may be made in time if it is begun now.
func (c *groupSelector) canFinishInTime(g *group) bool {
	return certainShare*g.longest*c.capacity.Pace <= c.steps[g.step].Due
}

func (c *groupSelector) add(g *group) {
	g.class = timely
	c.work[g.step] += g.work
	c.chosen = append(c.chosen, g)
}

// overloaded returns the place of the first step that can't be in time with all
// that is chosen of it and of those before, and the model whose engines are too
// few; anyModel: all of them are. A place of -1: there is none.
func (c *groupSelector) firstOverloaded() (position, model int) {
	total := 0.0
	clear(c.workByModel)
	for position, i := range c.stepsByDue {
		s := &c.steps[i]
		total += c.work[i]
		model := c.modelNumbers[i]
		c.workByModel[model] += c.work[i]
		switch {
		case c.work[i] == 0:
		case total > usableShare*c.capacity.Rate*s.Due:
			return position, anyModel
		case s.Rate > 0 && c.workByModel[model] > usableShare*s.Rate*s.Due:
			return position, model
		}
	}
	return -1, anyModel
}

// anyModel stands for the steps of all models.
const anyModel = -1

// putOut takes the group with the most work of a model's steps up to a place out.
// Those that were handed in again stay the longest: their trainer can't do without
// them, and put out in each step they would be left for ever.
func (c *groupSelector) evict(position, model int) {
	largest := -1
	for k, g := range c.chosen {
		if c.position[g.step] <= position && (model == anyModel || model == c.modelNumbers[g.step]) && (largest < 0 || c.evictsFirst(g, c.chosen[largest])) {
			largest = k
		}
	}
	g := c.chosen[largest]
	g.class = late
	c.work[g.step] -= g.work
	c.chosen = slices.Delete(c.chosen, largest, largest+1)
	if !slices.ContainsFunc(c.chosen, func(h *group) bool { return h.step == g.step }) {
		c.work[g.step] = 0 // what is left is an error of rounding
	}
}

// before tells whether a is put out rather than b.
func (c *groupSelector) evictsFirst(a, b *group) bool {
	if a.required != b.required {
		return b.required
	}
	return a.work > b.work
}

// closeSteps marks the last groups of steps that nothing timely is left of.
func markFinishing(steps []Step, groups []*group, capacity Capacity) {
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
		if g.class == late && !inTime[g.step] && work[g.step] < finishingSeconds*capacity.Rate {
			g.class = finishing
		}
	}
}
