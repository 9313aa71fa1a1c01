package admit

import "math"

// chooseVictim returns the waiting item that is removed from a full queue to make
// room for a new one, or nil if the new one is refused instead. Without
// displacement, a caller that fills the queue would exclude all others, whatever
// their weight or priority: fairness among waiting items alone is not enough.
//
//   - Items of a lower class are displaced first, down to the places that are
//     reserved for lower classes.
//   - Within a class, the caller with the most waiting items per weight loses one.
//   - Lower classes reclaim their reserved places from higher ones.
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

// fairVictim returns an item of the caller with the most waiting items per weight
// in the same class. It returns nil if that is the new item's caller, or if it
// would keep fewer items per weight than the new item's caller would have.
func (q *Queue) fairVictim(t Ticket) *Item {
	c := q.class(t.Priority)
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

// newestOfLowest returns the newest item of the largest flow in the lowest class
// that qualifies.
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

// largestFlow returns the flow with the most waiting items per weight; nil if no
// item waits.
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
