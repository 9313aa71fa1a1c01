package admit

import (
	"math"
	"time"
)

// smoothing is the weight of a new measurement in the moving means.
const smoothing = 0.1

// maxEstimate bounds every estimate, so that sums can't overflow.
const maxEstimate = time.Hour

// rate measures how fast the server works, as ratios of exponentially
// weighted means: time over cost.
type rate struct {
	serviceSeconds, serviceCost float64 // per item: seconds from start to end, cost
	gapSeconds, gapCost         float64 // between ends while others waited
	lastEnd                     time.Time
}

// observeSaturation notes that the last free slot was taken.
func (r *rate) observeSaturation(now time.Time) {
	if r.lastEnd.IsZero() {
		r.lastEnd = now
	}
}

// observeEnd measures an item's end. waited tells whether others wait for its slot:
// only then does the time between two ends tell the drain rate.
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

func updateMean(m *float64, x float64) {
	if *m == 0 {
		*m = x
		return
	}
	*m += smoothing * (x - *m)
}

// serviceTime is the expected time from start to end of an item of this cost.
func (r *rate) serviceTime(cost float64) time.Duration {
	if r.serviceCost == 0 {
		return 0
	}
	return toDuration(cost * r.serviceSeconds / r.serviceCost)
}

// secondsPerCost is the time in seconds in which one unit of waiting cost is started.
func (r *rate) secondsPerCost(slots int) float64 {
	if r.serviceCost == 0 {
		return 0
	}
	one := r.serviceSeconds / r.serviceCost
	if r.gapCost == 0 {
		return one / float64(max(1, slots))
	}
	// While something runs an item ends within a service time. The gap is
	// measured only while others wait, and none wait who are refused by it: it
	// must not outlive what the service time has since shown.
	return min(r.gapSeconds/r.gapCost, one)
}

// drainTime is the expected time until this much waiting cost has been started.
func (q *Queue) drainTime(now time.Time, cost float64) time.Duration {
	r := &q.rate
	d := toDuration(cost * r.secondsPerCost(q.cfg.Slots))
	if !r.lastEnd.IsZero() {
		// A server that stands still ends nothing and so measures nothing: the
		// time without an end beyond a usual service time counts as wait.
		d += max(0, now.Sub(r.lastEnd)-toDuration(r.serviceSeconds))
	}
	return min(d, maxEstimate)
}

// Wait estimates how long a request that comes now would wait for its slot.
func (q *Queue) Wait(now time.Time, t Ticket) time.Duration {
	if q.waiting == 0 && q.running < q.cfg.Slots {
		return 0
	}
	t = normalize(t)
	return q.drainTime(now, q.costAhead(t)+t.Cost)
}

// costAhead is the cost of the waiting work that would start before t.
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
	ahead := higher + same
	return ahead + min(lower, ahead*q.cfg.LowerShare/(1-q.cfg.LowerShare))
}

// costAhead is the cost in this class that starts before a new item of t's caller:
// the caller's own backlog and of each other caller what its share gives it
// until then.
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

func toDuration(s float64) time.Duration {
	if math.IsNaN(s) || s > maxEstimate.Seconds() {
		return maxEstimate
	}
	return time.Duration(s * float64(time.Second))
}
