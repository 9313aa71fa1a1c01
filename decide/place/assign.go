package place

import (
	"cmp"
	"container/heap"
	"slices"
)

// Assign binds as many samples as there are free places and returns the
// bindings in the order of urgency. Loads of the engines are raised on the way.
func Assign(engines []Engine, samples []Sample) []Choice {
	a := &assigner{engines: engines, median: medianPace(engines), warm: map[string][]int{}, idle: map[want]*candidates{}, slow: map[want]*candidates{}}
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
		return cmp.Or(cmp.Compare(samples[x].Rank, samples[y].Rank), cmp.Compare(samples[y].Left, samples[x].Left))
	})
	var choices []Choice
	for _, i := range order {
		if a.free == 0 {
			break
		}
		at := a.best(&samples[i])
		if at < 0 {
			continue
		}
		a.take(at, samples[i].Prompt)
		choices = append(choices, Choice{Sample: i, Engine: at})
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
	warm map[string][]int
	// idle are the engines of the usual pace that have room, by what samples want of
	// them, and slow those that a fault has slowed down.
	idle, slow map[want]*candidates
}

// want is what samples may differ in by the engines that can make them.
type want struct {
	model string
	floor uint64
	only  uint64
}

func (a *assigner) take(engine int, prompt string) {
	a.engines[engine].Load++
	a.free--
	if prompt != "" && !slices.Contains(a.warm[prompt], engine) {
		a.warm[prompt] = append(a.warm[prompt], engine)
	}
}

// best returns the engine for a sample; -1: none has room, or the sample does better
// to wait.
func (a *assigner) best(s *Sample) int {
	at := a.candidates(s, false).least(s.Avoid)
	if at < 0 {
		return a.bestSlow(s)
	}
	least := a.score(at)
	for _, i := range a.warm[s.Prompt] {
		if !fits(&a.engines[i], s) || s.Avoid[a.engines[i].ID] || isSlow(&a.engines[i], a.median) {
			continue
		}
		if score := a.score(i) - warmGain; score < least {
			at, least = i, score
		}
	}
	return at
}

// bestSlow returns the slow engine for a sample that is in time there all the same, or
// has nowhere else to go; -1: there is none, or the sample waits for another.
func (a *assigner) bestSlow(s *Sample) int {
	slow := a.candidates(s, true)
	at := slow.least(s.Avoid)
	if at < 0 {
		return -1
	}
	inTime := s.Left*a.engines[at].Pace <= slowShare*s.Due
	fewOthers := a.candidates(s, false).serving < slow.serving
	if inTime || fewOthers || s.Waited > slowWait {
		return at
	}
	return -1
}

func (a *assigner) score(engine int) float64 { return score(&a.engines[engine], a.median) }

// candidates are the engines that serve a sample: those of the usual pace, or the slow
// ones.
func (a *assigner) candidates(s *Sample, slow bool) *candidates {
	known := a.idle
	if slow {
		known = a.slow
	}
	key := want{s.Model, s.Floor, s.Only}
	c := known[key]
	if c != nil {
		return c
	}
	c = &candidates{a: a}
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
	known[key] = c
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
	a       *assigner
	entries []candidate
	// serving counts all engines of the kind, with room or without.
	serving int
}

// least returns the engine with the least score that is not avoided; -1: none.
func (c *candidates) least(avoid map[string]bool) int {
	var passed []candidate
	at := -1
	for len(c.entries) > 0 && at < 0 {
		top := &c.entries[0]
		e := &c.a.engines[top.engine]
		switch now := c.a.score(top.engine); {
		case e.Load >= e.Slots:
			heap.Pop(c)
		case now != top.score:
			top.score = now
			heap.Fix(c, 0)
		case avoid[e.ID]:
			passed = append(passed, heap.Pop(c).(candidate))
		default:
			at = top.engine
		}
	}
	for _, p := range passed {
		heap.Push(c, p)
	}
	return at
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
