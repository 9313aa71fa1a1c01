package admit

import "math"

// chooseVictim picks the waiting item that gives up its place in a full queue to a
// new one, or nil when the new one has no better claim. Without it a caller
// that fills the queue would shut all others out, whatever their weight or
// priority: fairness between those that wait is not enough.
//
//   - Work of a lower class goes first, but for the room that lower classes keep.
//   - Within a class the caller with the most waiting work per weight goes first.
//   - Classes below the top take back their room from the classes above.
func (q *Queue) chooseVictim(t Ticket) *Item {
	if q.cfg.MaxQueue <= 0 {
		return nil
	}
	reserved := int(math.Ceil(q.cfg.LowerShare * float64(q.cfg.MaxQueue)))
	var lower, higher, same int
	for _, c := range q.classes {
		switch {
		case c.priority < t.Priority:
			lower += c.waiting
		case c.priority > t.Priority:
			higher += c.waiting
		default:
			same += c.waiting
		}
	}
	if lower > reserved {
		return q.newestOfLowest(func(c *class) bool { return c.priority < t.Priority })
	}
	if it := q.fairVictim(t); it != nil {
		return it
	}
	if higher > 0 && same+lower < reserved {
		return q.newestOfLowest(func(c *class) bool { return c.priority > t.Priority })
	}
	return nil
}

// fairVictim picks from the same class the caller that holds clearly more
// places per weight than the new item's caller would.
func (q *Queue) fairVictim(t Ticket) *Item {
	c := q.classFor(t.Priority)
	ownItems := 1.0
	if f := c.flows[t.Caller]; f != nil {
		ownItems += float64(f.items.Len())
	}
	f := c.largestFlow()
	if f == nil || f.caller == t.Caller {
		return nil
	}
	if float64(f.items.Len()-1)/f.weight < ownItems/t.Weight {
		return nil
	}
	return f.items.Back().Value.(*Item)
}

// newestOfLowest picks the newest item of the biggest caller in the lowest class that
// qualifies.
func (q *Queue) newestOfLowest(qualifies func(*class) bool) *Item {
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := q.classes[i]
		if !qualifies(c) {
			continue
		}
		if f := c.largestFlow(); f != nil {
			return f.items.Back().Value.(*Item)
		}
	}
	return nil
}

// largestFlow is the flow with the most waiting items per weight.
func (c *class) largestFlow() *flow {
	var largest *flow
	for _, f := range c.heap {
		if largest == nil || itemsPerWeight(f) > itemsPerWeight(largest) || itemsPerWeight(f) == itemsPerWeight(largest) && f.caller < largest.caller {
			largest = f
		}
	}
	return largest
}

func itemsPerWeight(f *flow) float64 { return float64(f.items.Len()) / f.weight }
