package place

import (
	"cmp"
	"container/heap"
	"slices"
)

// Assign binds as many samples as there are free slots and returns the bindings, most
// urgent first. It increments the Load of the engines that it chooses. A lower Rank is
// more urgent; within a rank, samples with more remaining work go first.
func Assign(engines []Engine, samples []Sample) []Choice {
	a := &assigner{engines: engines, median: medianPace(engines), enginesByPrompt: map[string][]int{}, normalPace: map[requirement]*candidates{}, slowPace: map[requirement]*candidates{}}
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

// assigner holds the state of one Assign call. It keeps one heap of engines for each
// distinct requirement, so that assigning a step of 2,048 samples to 1,500 engines
// takes milliseconds.
type assigner struct {
	engines []Engine
	median  float64
	free    int
	// enginesByPrompt holds the engines that this call has given a sample with that
	// prompt.
	enginesByPrompt map[string][]int
	// normalPace holds the engines of normal speed with a free slot, by requirement;
	// slowPace holds those that a fault has slowed down.
	normalPace, slowPace map[requirement]*candidates
}

// requirement is what a sample demands of an engine. Samples with equal requirements
// share one heap of candidates.
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

// bestEngine returns the index of the engine for a sample, or -1 if no engine has a
// free slot or the sample should wait.
func (a *assigner) bestEngine(s *Sample) int {
	engine := a.candidates(s, false).lowest(s.Avoid)
	if engine < 0 {
		return a.bestSlowEngine(s)
	}
	lowestScore := a.score(engine)
	for _, i := range a.enginesByPrompt[s.Prompt] {
		if !hasFreeSlotFor(&a.engines[i], s) || s.Avoid[a.engines[i].ID] || isSlow(&a.engines[i], a.median) {
			continue
		}
		if score := a.score(i) - warmPromptBonus; score < lowestScore {
			engine, lowestScore = i, score
		}
	}
	return engine
}

// bestSlowEngine returns the index of a slow engine for a sample, or -1. A sample gets
// a slow engine if it should still finish in time there, if fewer engines of normal
// speed than slow ones serve it, or if it has waited longer than maxSlowWait.
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

// candidates returns the engines that serve a sample: the slow ones if slow is true,
// otherwise those of normal speed.
func (a *assigner) candidates(s *Sample, slow bool) *candidates {
	byRequirement := a.normalPace
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

// candidate is an engine with its score when it was last computed. Scores only rise
// while samples are bound.
type candidate struct {
	engine int
	score  float64
}

// candidates is a heap of engines, ordered by score and then by index.
type candidates struct {
	parent  *assigner
	entries []candidate
	// serving counts all engines that meet the requirement, with or without a free
	// slot.
	serving int
}

// lowest returns the index of the engine with the lowest score that is not in avoid, or
// -1.
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
