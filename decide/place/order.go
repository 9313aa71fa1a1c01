package place

import (
	"cmp"
	"math"
	"slices"
)

// Step is one training step: the samples of a batch job, in groups. Its trainer waits
// until a number of groups is complete, trains, and only then requests a later step.
type Step struct {
	// AgeRank orders steps by age, in any unit; lower is older. Steps of equal AgeRank
	// run concurrently, the longest samples first.
	AgeRank int
	// Due is the time until results are due, in seconds. It is negative if they are
	// late.
	Due float64
	// Need is the number of groups that the trainer still waits for.
	Need int
	// Model is the model that makes the samples. Rate is the throughput of the engines
	// that may make them, in units of Remaining per second; 0 means that of Capacity.
	Model string
	Rate  float64
}

// Capacity is what the engines of a service can process for a set of samples.
type Capacity struct {
	// FreeSlots is the number of unoccupied slots.
	FreeSlots int
	// Rate is the units of Remaining that can be made per second; 0 if it is not known.
	Rate float64
	// Pace is the number of seconds that one unit takes.
	Pace float64
}

// CapacityOf returns the engines' capacity for one process: their free slots and the
// slots that this process already uses. own holds the number of its running samples by
// engine id.
func CapacityOf(engines []Engine, own map[string]int) Capacity {
	capacity := Capacity{Pace: medianPace(engines)}
	for i := range engines {
		capacity.FreeSlots += max(0, engines[i].Slots-engines[i].Load)
		capacity.Rate += capacity.engineRate(&engines[i], own)
	}
	return capacity
}

// engineRate returns an engine's contribution to Rate.
func (c Capacity) engineRate(e *Engine, own map[string]int) float64 {
	pace := cmp.Or(e.Pace, c.Pace)
	if pace == 0 {
		return 0
	}
	return float64(max(0, e.Slots-e.Load)+own[e.ID]) / pace
}

// RateFor returns the part of Rate available to a step of the given model whose oldest
// permitted version is floor. An engine that is one version behind the floor or is
// loading the model counts, because it will serve soon. An engine that is further
// behind does not follow the model.
func (c Capacity) RateFor(engines []Engine, own map[string]int, model string, floor uint64) float64 {
	rate := 0.0
	for i := range engines {
		e := &engines[i]
		version, serves := e.Versions[model]
		if serves && version+1 >= floor || e.Loading[model] >= floor {
			rate += c.engineRate(e, own)
		}
	}
	return rate
}

// Limits of Order, for trainers that request several times what the engines can make.
const (
	// usableShare is the share of slot time that produces results in time. The rest is
	// lost to weight loads, to the ends of steps and to lengths that were
	// underestimated.
	usableShare = 0.65
	// certainShare is the share of a sample's estimated length that it certainly has.
	// Hints are off by a factor of two and more, and a group must not be skipped
	// because of a length that it will not reach.
	certainShare = 0.4
	// finishingSeconds is the number of seconds of all slots within which a step's
	// missing groups must be completed for them to precede all other groups.
	finishingSeconds = 0.5
)

// class is the priority class of a group, highest first.
type class uint8

const (
	// finishing is for the last groups of a step, which are late but soon complete.
	// They let the trainer continue, which otherwise waits until it gives up the step.
	finishing class = iota
	// timely is for groups that can be completed in time together with all others of
	// this class.
	timely
	// late is for groups that the trainer waits for but that will miss their due time.
	late
	// surplus is for groups that the trainer does not need.
	surplus
)

// group is a set of samples of one step that count only together.
type group struct {
	step     int
	required bool
	work     float64 // total Remaining of its samples
	longest  float64 // largest Remaining of its samples
	class    class
	samples  []int
}

// Order ranks samples, including running ones, for scarce slots. It handles trainers
// that request more than the engines can make. Ranked by step age and sample length
// alone, all groups would progress together and nearly all would just miss their due
// time. A group counts only when its last sample is listed, so Order selects as many
// groups as can be completed in time and ranks the others behind them. Groups in
// progress have little work remaining and so stay selected. If all groups can be
// completed in time, the ranks are the steps' AgeRanks, and the longest samples go
// first.
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
		default: // groups of one step share a rank, the longest samples first
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

// groupSamples collects the samples into groups.
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

// classify marks the groups that trainers wait for as late and the others as surplus.
// Trainers wait for the required groups and those with the least work of each step.
// groups must be sorted by step and then by preference.
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

// groupSelector selects as many groups as possible that can be completed in time. It
// uses the Moore-Hodgson algorithm, which minimizes the number of late jobs on one
// machine. All slots together are treated as one machine with their total rate. The
// engines with a fresh version of a model are in addition treated as a machine for the
// steps of this model only, because only some engines follow each model where weight
// loads take long.
type groupSelector struct {
	steps    []Step
	capacity Capacity
	// stepsByDue holds the indexes of the steps by due time, position the index of each
	// step in stepsByDue, and work the selected work of each step.
	stepsByDue []int
	position   []int
	work       []float64
	chosen     []*group
	// modelNumbers holds the number of each step's model. workByModel is scratch space
	// for the selected work of each model.
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

// selectGroups marks the groups that can be completed in time as timely. Groups that
// trainers wait for evict the selected groups with the most work; surplus groups are
// added where capacity is left.
func (sel *groupSelector) selectGroups(groups []*group) {
	for _, g := range groups {
		if g.class != late || !sel.canFinishInTime(g) {
			continue
		}
		sel.add(g)
		for {
			position, model := sel.firstOverloaded()
			if position < 0 {
				break
			}
			sel.evict(position, model)
		}
	}
	for _, g := range groups {
		if g.class != surplus || !sel.canFinishInTime(g) {
			continue
		}
		sel.work[g.step] += g.work
		if position, _ := sel.firstOverloaded(); position < 0 {
			g.class = timely
			continue
		}
		sel.work[g.step] -= g.work
	}
}

// canFinishInTime reports whether a group may be completed in time if it starts now.
func (sel *groupSelector) canFinishInTime(g *group) bool {
	return certainShare*g.longest*sel.capacity.Pace <= sel.steps[g.step].Due
}

func (sel *groupSelector) add(g *group) {
	g.class = timely
	sel.work[g.step] += g.work
	sel.chosen = append(sel.chosen, g)
}

// firstOverloaded returns the position of the first step that cannot be in time with
// the work selected for it and for the steps before it, and the model whose engines are
// overloaded, or anyModel if all engines together are. It returns position -1 if there
// is no such step.
func (sel *groupSelector) firstOverloaded() (position, model int) {
	total := 0.0
	clear(sel.workByModel)
	for position, i := range sel.stepsByDue {
		s := &sel.steps[i]
		total += sel.work[i]
		model := sel.modelNumbers[i]
		sel.workByModel[model] += sel.work[i]
		switch {
		case sel.work[i] == 0:
		case total > usableShare*sel.capacity.Rate*s.Due:
			return position, anyModel
		case s.Rate > 0 && sel.workByModel[model] > usableShare*s.Rate*s.Due:
			return position, model
		}
	}
	return -1, anyModel
}

// anyModel stands for the steps of all models.
const anyModel = -1

// evict removes the group with the most work from the steps of a model up to a
// position. Required groups are evicted last: their trainer cannot continue without them, and
// evicted in each step they would never be completed.
func (sel *groupSelector) evict(position, model int) {
	largest := -1
	for k, g := range sel.chosen {
		if sel.position[g.step] <= position && (model == anyModel || model == sel.modelNumbers[g.step]) && (largest < 0 || sel.evictsFirst(g, sel.chosen[largest])) {
			largest = k
		}
	}
	g := sel.chosen[largest]
	g.class = late
	sel.work[g.step] -= g.work
	sel.chosen = slices.Delete(sel.chosen, largest, largest+1)
	if !slices.ContainsFunc(sel.chosen, func(h *group) bool { return h.step == g.step }) {
		sel.work[g.step] = 0 // clear the rounding error
	}
}

// evictsFirst reports whether a is evicted in preference to b.
func (sel *groupSelector) evictsFirst(a, b *group) bool {
	if a.required != b.required {
		return b.required
	}
	return a.work > b.work
}

// markFinishing marks the late groups of steps that have no timely group and little
// work remaining as finishing.
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
