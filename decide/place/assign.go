package place

import (
	"cmp"
	"container/heap"
	"slices"
)

// Assign binds as many samples as there are free places and returns the
// bindings in the order of urgency. Loads of the engines are raised on the way.
func Assign(engines []Engine, samples []Sample) []Choice {
	a := &assigner{engines: engines, median: medianPace(engines), enginesByPrompt: map[string][]int{}, usualPace: map[requirement]*candidates{}, slowPace: map[requirement]*candidates{}}
	for i := range engines {
		a.free += max(0, engines[i].Slots-engines[i].Load)
	}
	if a.free == 0 {
		return nil
	}
	order := make([]int, len(samples))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(x, y int) int {
		return cmp.Or(cmp.Compare(samples[x].Rank, samples[y].Rank), cmp.Compare(samples[y].Remaining, samples[x].Remaining))
	})
	var choices []Choice
	for _, i := range order {
		if a.free == 0 {
			break
		}
		engine := a.bestEngine(&samples[i])
		if engine < 0 {
			continue
		}
		a.bind(engine, samples[i].Prompt)
		choices = append(choices, Choice{Sample: i, Engine: engine})
	}
	return choices
}

// assigner is one Assign. Engines stand in a heap for each kind of sample, so that
// a step of 2,048 samples at 1,500 engines takes milliseconds.
type assigner struct {
	engines []Engine
	median  float64
	free    int
	// warm holds the engines that got a sample with a prompt.
	enginesByPrompt map[string][]int
	// idle are the engines of the usual pace that have room, by what samples want of
	// them, and slow those that a fault has slowed down.
	usualPace, slowPace map[requirement]*candidates
}

// want is what samples may differ in by the engines that can make them.
type requirement struct {
	model       string
	floor       uint64
	onlyVersion uint64
}

func (a *assigner) bind(engine int, prompt string) {
	a.engines[engine].Load++
	a.free--
	if prompt != "" && !slices.Contains(a.enginesByPrompt[prompt], engine) {
		a.enginesByPrompt[prompt] = append(a.enginesByPrompt[prompt], engine)
	}
}

// best returns the engine for a sample; -1: none has room, or the sample does better
// to wait.
func (a *assigner) bestEngine(s *Sample) int {
	engine := a.candidates(s, false).lowest(s.Avoid)
	if engine < 0 {
		return a.bestSlowEngine(s)
	}
	lowestScore := a.score(engine)
	for _, i := range a.enginesByPrompt[s.Prompt] {
		if !hasRoomFor(&a.engines[i], s) || s.Avoid[a.engines[i].ID] || isSlow(&a.engines[i], a.median) {
			continue
		}
		if score := a.score(i) - warmPromptBonus; score < lowestScore {
			engine, lowestScore = i, score
		}
	}
	return engine
}

// bestSlow returns the slow engine for a sample that is in time there all the same, or
// has nowhere else to go; -1: there is none, or the sample waits for another.
func (a *assigner) bestSlowEngine(s *Sample) int {
	slow := a.candidates(s, true)
	engine := slow.lowest(s.Avoid)
	if engine < 0 {
		return -1
	}
	inTime := s.Remaining*a.engines[engine].Pace <= maxSlowShare*s.Due
	fewOthers := a.candidates(s, false).serving < slow.serving
	if inTime || fewOthers || s.Waited > maxSlowWait {
		return engine
	}
	return -1
}

func (a *assigner) score(engine int) float64 { return score(&a.engines[engine], a.median) }

// candidates are the engines that serve a sample: those of the usual pace, or the slow
// ones.
func (a *assigner) candidates(s *Sample, slow bool) *candidates {
	byRequirement := a.usualPace
	if slow {
		byRequirement = a.slowPace
	}
	key := requirement{s.Model, s.Floor, s.OnlyVersion}
	c := byRequirement[key]
	if c != nil {
		return c
	}
	c = &candidates{parent: a}
	for i := range a.engines {
		if isSlow(&a.engines[i], a.median) != slow || !serves(&a.engines[i], s) {
			continue
		}
		c.serving++
		if a.engines[i].Load < a.engines[i].Slots {
			c.entries = append(c.entries, candidate{i, a.score(i)})
		}
	}
	heap.Init(c)
	byRequirement[key] = c
	return c
}

// candidate is an engine with its score when it was last looked at. Scores only
// rise while samples are bound.
type candidate struct {
	engine int
	score  float64
}

// candidates is a heap of engines, the least score first, of equal ones the first
// in the list.
type candidates struct {
	parent  *assigner
	entries []candidate
	// serving counts all engines of the kind, with room or without.
	serving int
}

// least returns the engine with the least score that is not avoided; -1: none.
func (c *candidates) lowest(avoid map[string]bool) int {
	var skipped []candidate
	engine := -1
	for len(c.entries) > 0 && engine < 0 {
		top := &c.entries[0]
		e := &c.parent.engines[top.engine]
		switch now := c.parent.score(top.engine); {
		case e.Load >= e.Slots:
			heap.Pop(c)
		case now != top.score:
			top.score = now
			heap.Fix(c, 0)
		case avoid[e.ID]:
			skipped = append(skipped, heap.Pop(c).(candidate))
		default:
			engine = top.engine
		}
	}
	for _, p := range skipped {
		heap.Push(c, p)
	}
	return engine
}

// Len implements heap.Interface.
func (c *candidates) Len() int { return len(c.entries) }

// Less implements heap.Interface.
func (c *candidates) Less(i, j int) bool {
	a, b := c.entries[i], c.entries[j]
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.engine, b.engine)) < 0
}

// Swap implements heap.Interface.
func (c *candidates) Swap(i, j int) { c.entries[i], c.entries[j] = c.entries[j], c.entries[i] }

// Push implements heap.Interface.
func (c *candidates) Push(x any) { c.entries = append(c.entries, x.(candidate)) }

// Pop implements heap.Interface.
func (c *candidates) Pop() any {
	last := c.entries[len(c.entries)-1]
	c.entries = c.entries[:len(c.entries)-1]
	return last
}
