package admit

import "slices"

// The methods of this file serve a user that keeps its own count of slots and asks
// for the first item that fits a slot: slots that differ don't fit every item. Such
// a queue has no slots of its own, so that Offer never starts an item.

// Take removes and returns the first waiting item, in the order of starts, that
// fits; nil if none does. The item does not count as running.
func (q *Queue) Take(fits func(*Item) bool) *Item {
	if q.waiting == 0 {
		return nil
	}
	credit := q.lowerCredit
	chosen := q.chooseClass()
	it := chosen.firstFit(fits)
	if it == nil {
		q.lowerCredit = credit
		it = q.firstFitExcept(chosen, fits)
	}
	if it == nil {
		return nil
	}
	f := it.flow
	c := f.class
	// Items that were passed over keep their turn: the class's virtual time
	// follows the flow that is first, not the one that was taken from.
	c.virtualTime = max(c.virtualTime, c.heap[0].virtualStart)
	f.virtualStart += it.Cost / it.Weight
	q.starts++
	c.lastStart = q.starts
	q.remove(it)
	return it
}

// Yield removes and returns the waiting item that is missed least: the newest one
// of the caller with the most in the lowest class; nil if none waits.
func (q *Queue) Yield() *Item {
	it := q.newestOfLowest(func(*class) bool { return true })
	if it != nil {
		q.remove(it)
	}
	return it
}

// Cost returns the cost of all waiting items.
func (q *Queue) Cost() float64 {
	var cost float64
	for _, c := range q.classes {
		cost += c.cost
	}
	return cost
}

// CostAhead returns the cost of the waiting items that would start before t.
func (q *Queue) CostAhead(t Ticket) float64 { return q.costAhead(normalize(t)) }

// firstFitExcept returns the first item that fits in the other classes.
func (q *Queue) firstFitExcept(not *class, fits func(*Item) bool) *Item {
	for _, c := range q.classes {
		if c == not {
			continue
		}
		if it := c.firstFit(fits); it != nil {
			return it
		}
	}
	return nil
}

// firstFit returns the first item of the class that fits; nil if none does.
func (c *class) firstFit(fits func(*Item) bool) *Item {
	if c.waiting == 0 {
		return nil
	}
	if it := c.heap[0].firstFit(fits); it != nil || len(c.heap) == 1 {
		return it
	}
	flows := slices.Clone(c.heap)
	slices.SortFunc(flows, func(a, b *flow) int {
		if (flowHeap{a, b}).Less(0, 1) {
			return -1
		}
		return 1
	})
	for _, f := range flows[1:] {
		if it := f.firstFit(fits); it != nil {
			return it
		}
	}
	return nil
}

// firstFit returns the caller's first item that fits; nil if none does.
func (f *flow) firstFit(fits func(*Item) bool) *Item {
	for e := f.items.Front(); e != nil; e = e.Next() {
		if it := e.Value.(*Item); fits(it) {
			return it
		}
	}
	return nil
}
