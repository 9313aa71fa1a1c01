package admit

import (
	"math"
	"time"
)

// smoothing is the weight of a new measurement in the moving averages.
const smoothing = 0.1

// maxEstimate bounds every estimate, so that sums can't overflow.
const maxEstimate = time.Hour

// rate measures how fast the server works, as time per cost: ratios of
// exponentially weighted moving averages.
type rate struct {
	serviceSeconds, serviceCost float64 // per item: time from start to end, cost
	gapSeconds, gapCost         float64 // per item: time since the previous end while others waited, cost
	// lastEnd is the time of the last end after which items still waited, or, if
	// there was none since, when the last free slot was taken. Zero: neither.
	lastEnd time.Time
}

// observeSaturation records that the last free slot was taken.
func (r *rate) observeSaturation(now time.Time) {
	if r.lastEnd.IsZero() {
		r.lastEnd = now
	}
}

// observeEnd records the end of an item. othersWait reports whether items wait for
// its slot: only then does the time between two ends measure the drain rate.
func (r *rate) observeEnd(now, started time.Time, cost float64, othersWait bool) {
	updateMean(&r.serviceSeconds, now.Sub(started).Seconds())
	updateMean(&r.serviceCost, cost)
	if !othersWait {
		r.lastEnd = time.Time{}
		return
	}
	if !r.lastEnd.IsZero() {
		updateMean(&r.gapSeconds, now.Sub(r.lastEnd).Seconds())
		updateMean(&r.gapCost, cost)
	}
	r.lastEnd = now
}

// updateMean updates a moving average; the first measurement counts in full.
func updateMean(m *float64, x float64) {
	if *m == 0 {
		*m = x
		return
	}
	*m += smoothing * (x - *m)
}

// serviceTime returns the expected time from start to end of an item of this
// cost; 0 if nothing has been measured.
func (r *rate) serviceTime(cost float64) time.Duration {
	if r.serviceCost == 0 {
		return 0
	}
	return toDuration(cost * r.serviceSeconds / r.serviceCost)
}

// secondsPerCost returns the expected time, in seconds, in which one unit of
// waiting cost is started; 0 if nothing has been measured.
func (r *rate) secondsPerCost(slots int) float64 {
	if r.serviceCost == 0 {
		return 0
	}
	one := r.serviceSeconds / r.serviceCost
	if r.gapCost == 0 {
		return one / float64(max(1, slots))
	}
	// While something runs, an item ends at least once per service time. The gap
	// is measured only while others wait, and a request that is refused because
	// of it does not wait. The service time therefore bounds the gap; otherwise a
	// gap that was long once would never be measured again.
	return min(r.gapSeconds/r.gapCost, one)
}

// drainTime returns the expected time until this much waiting cost has been
// started.
func (q *Queue) drainTime(now time.Time, cost float64) time.Duration {
	r := &q.rate
	d := toDuration(cost * r.secondsPerCost(q.cfg.Slots))
	if !r.lastEnd.IsZero() {
		// If the server is stalled, no item ends and nothing is measured. The time
		// since the last end, beyond a mean service time, is added to the wait.
		d += max(0, now.Sub(r.lastEnd)-toDuration(r.serviceSeconds))
	}
	return min(d, maxEstimate)
}

// Wait returns the estimated time that a request offered now would wait for a
// slot.
func (q *Queue) Wait(now time.Time, t Ticket) time.Duration {
	if q.waiting == 0 && q.running < q.cfg.Slots {
		return 0
	}
	t = normalize(t)
	return q.drainTime(now, q.costAhead(t)+t.Cost)
}

// costAhead returns the cost of the waiting items that would start before t.
func (q *Queue) costAhead(t Ticket) float64 {
	var higher, lower, same float64
	for _, c := range q.classes {
		switch {
		case c.priority > t.Priority:
			higher += c.cost
		case c.priority == t.Priority:
			same = c.costAhead(t)
		default:
			lower += c.cost
		}
	}
	costAhead := higher + same
	return costAhead + min(lower, costAhead*q.cfg.LowerShare/(1-q.cfg.LowerShare))
}

// costAhead returns the cost of the items in this class that would start before a
// new item of t's caller: all waiting items of that caller, and of every other
// caller as much as its share allows until then.
func (c *class) costAhead(t Ticket) float64 {
	start := c.virtualTime
	var own float64
	if f := c.flows[t.Caller]; f != nil {
		own = f.cost
		start = max(start, f.virtualStart) + f.cost/t.Weight
	}
	sum := own
	for _, f := range c.heap {
		if f.caller == t.Caller || f.virtualStart > start {
			continue
		}
		first := f.items.Front().Value.(*Item).Cost
		sum += min(f.cost, first+(start-f.virtualStart)*f.weight)
	}
	return sum
}

// toDuration converts seconds to a duration of at most maxEstimate.
func toDuration(s float64) time.Duration {
	if math.IsNaN(s) || s > maxEstimate.Seconds() {
		return maxEstimate
	}
	return time.Duration(s * float64(time.Second))
}
