package permits

import (
	"cmp"
	"slices"
	"time"

	"dandelionsill.org/decide/admit"
)

// estimateMargin is by how much a wait may be longer than estimated. An estimate that is
// too short makes a late answer, one that is too long a refusal that wasn't needed.
const estimateMargin = 1.2

// shortageMemory is how long places count as short after an ask that could have been in time
// was refused.
const shortageMemory = 200 * time.Millisecond

// lane is a group of queued asks.
type lane int

const (
	laneInternal lane = iota
	laneCallers
	// laneLate holds callers' asks that can't be answered in time any more. They are
	// served when nobody else can use a place.
	laneLate
	laneCount
)

// lanes holds a queue for each group. They have no slots: places belong to servers.
type lanes [laneCount]*admit.Queue

func newLanes(cfg Config) lanes {
	var l lanes
	for i := range l {
		l[i] = admit.New(admit.Config{LowerShare: cfg.LowerShare})
	}
	return l
}

// waiter is an ask that is being decided on or waits.
type waiter struct {
	Ask
	lane      lane
	item      *admit.Item // nil: does not wait
	arrived   time.Time
	objective time.Time     // an answer after it is late
	deadline  time.Time     // an answer after it is of no use
	typical   time.Duration // of the route; 0: unknown
	cost      float64       // typical seconds
}

// newWaiter returns an ask with absolute times and its lane.
func (b *Broker) newWaiter(a Ask) *waiter {
	a.Deadline = min(max(a.Deadline, 0), maxDeadline)
	a.Objective = min(max(a.Objective, 0), a.Deadline)
	a.Priority = min(max(a.Priority, 0), maxPriority)
	w := &waiter{
		Ask:       a,
		arrived:   b.now,
		objective: b.now.Add(a.Objective),
		deadline:  b.now.Add(a.Deadline),
		typical:   max(0, b.evidence.TypicalTime(a.Route)),
	}
	w.cost = b.cost(w.typical)
	switch {
	case a.Internal:
		w.lane = laneInternal
	case b.missesObjective(w):
		w.lane = laneLate
	default:
		w.lane = laneCallers
	}
	return w
}

// cost returns the expected seconds of a request, the mean over all routes if this one
// is unknown, and 1 if nothing is known.
func (b *Broker) cost(typical time.Duration) float64 {
	return cmp.Or(typical.Seconds(), b.stats.mean.Seconds(), 1)
}

// ticket returns what admit's queue needs to know.
func (w *waiter) ticket() admit.Ticket {
	caller := w.Organisation
	if w.Internal {
		caller = ""
	}
	return admit.Ticket{Caller: caller, Weight: 1, Priority: -w.Priority, Cost: w.cost}
}

// fastest returns the expected time of the request at the fastest server; 0: unknown.
func (b *Broker) fastest(w *waiter) time.Duration { return b.timeAt(w, b.capacity.bestPace) }

// missesObjective reports whether an answer can't be in time, even if the request is
// sent now.
func (b *Broker) missesObjective(w *waiter) bool {
	return b.now.Add(b.fastest(w)).After(w.objective) || !b.now.Before(w.objective)
}

// isTooLate reports whether an ask that would wait this long is refused at once: an
// internal one if its answer would be of no use, a caller's if it would be late. A caller's
// ask that can't be in time in any case waits only while all others find places: else those
// would take each place that becomes free, and it would be held until its deadline for nothing.
func (b *Broker) isTooLate(w *waiter, wait time.Duration) bool {
	until := w.deadline
	switch w.lane {
	case laneCallers:
		until = w.objective
	case laneLate:
		if b.isShort() {
			return true
		}
	}
	return b.now.Add(scale(wait, estimateMargin) + b.fastest(w)).After(until)
}

// isShort reports whether places are so short that asks which could be in time are refused.
func (b *Broker) isShort() bool { return b.now.Sub(b.turnedAway) < shortageMemory }

// estimate returns how long the ask would wait for a place. It is unknown for a route
// without a typical time.
func (b *Broker) estimate(w *waiter) (wait time.Duration, known bool) {
	rate := b.drainRate() * b.usefulShare(w)
	if w.typical == 0 || rate <= 0 {
		return 0, false
	}
	ahead := b.lanes[w.lane].CostAhead(w.ticket())
	if w.lane == laneLate {
		ahead += b.lanes[laneInternal].Cost() + b.lanes[laneCallers].Cost()
	}
	return seconds((ahead + w.cost) / (rate * b.share(w.lane))), true
}

// share returns the share of the places that serves a lane while both internal calls
// and callers wait.
func (b *Broker) share(l lane) float64 {
	others := 0
	switch l {
	case laneInternal:
		others = b.lanes[laneCallers].Waiting()
	case laneCallers:
		others = b.lanes[laneInternal].Waiting()
	}
	if others > 0 {
		return 0.5
	}
	return 1
}

// enqueue puts the ask in its queue, in which the least urgent ask yields if it is full,
// and appends the decisions.
func (b *Broker) enqueue(out []Decision, w *waiter, wait time.Duration) []Decision {
	q := b.lanes[w.lane]
	if len(b.waiters) < b.cfg.MaxQueue {
		q.SetMaxQueue(q.Waiting() + 1)
	} else if victim := b.yieldFor(w); victim != nil {
		out = append(out, b.settle(victim, Overloaded, 0, "yielded to a more urgent ask"))
		q.SetMaxQueue(q.Waiting() + 1)
	} else {
		q.SetMaxQueue(q.Waiting())
	}
	it, refusal, displaced := q.Offer(b.now, w.ticket(), w)
	for _, d := range displaced {
		victim := d.Item.Tag.(*waiter)
		b.forgetWaiter(victim)
		out = append(out, b.settle(victim, Overloaded, 0, "yielded to a more urgent ask"))
	}
	if refusal != nil {
		return append(out, b.settle(w, Overloaded, wait, "the queue is full"))
	}
	w.item = it
	b.waiters[w.ID] = w
	if w.Regions.IsRestricted() {
		b.restricted++
	}
	return append(out, Decision{ID: w.ID, Kind: Queued, Wait: wait, Reason: "no place is free"})
}

// yieldFor takes an ask of another lane out of the full queue in favour of w: a late one,
// or one of a group that has more than its half. Nil: the lane of w has to yield.
func (b *Broker) yieldFor(w *waiter) *waiter {
	if w.lane == laneLate {
		return nil
	}
	other := laneCallers
	if w.lane == laneCallers {
		other = laneInternal
	}
	half := b.cfg.MaxQueue / 2
	from := laneLate
	if b.lanes[laneLate].Waiting() == 0 {
		if b.lanes[other].Waiting() <= half || b.lanes[w.lane].Waiting() >= half {
			return nil
		}
		from = other
	}
	victim := b.lanes[from].Yield().Tag.(*waiter)
	b.forgetWaiter(victim)
	return victim
}

// drop takes a queued ask out of the queue.
func (b *Broker) drop(w *waiter) {
	b.lanes[w.lane].Cancel(w.item)
	b.forgetWaiter(w)
}

// forgetWaiter removes an ask that is no longer in the queue.
func (b *Broker) forgetWaiter(w *waiter) {
	if b.waiters[w.ID] == w && w.Regions.IsRestricted() {
		b.restricted--
	}
	delete(b.waiters, w.ID)
	w.item = nil
}

// moveToLate puts a queued ask that can't be answered in time any more behind all others.
func (b *Broker) moveToLate(w *waiter) {
	b.lanes[w.lane].Cancel(w.item)
	w.lane = laneLate
	q := b.lanes[laneLate]
	q.SetMaxQueue(q.Waiting() + 1)
	w.item, _, _ = q.Offer(b.now, w.ticket(), w)
}

// sweep refuses the queued asks whose chance has passed. Those that can't be in time any
// more are refused as well while places are short, and else moved behind all.
func (b *Broker) sweep() []Decision {
	var out []Decision
	short := b.isShort()
	for _, w := range b.sortedWaiters(func(w *waiter) bool {
		return b.isHopeless(w) || w.lane == laneLate && short || w.lane == laneCallers && b.missesObjective(w)
	}) {
		if !b.isHopeless(w) && !short {
			b.moveToLate(w)
			continue
		}
		b.drop(w)
		out = append(out, b.settle(w, DeadlineTooShort, b.now.Sub(w.arrived), "waited until no answer could come in time"))
	}
	return out
}

// isHopeless reports whether an answer would be of no use if the request were sent now.
func (b *Broker) isHopeless(w *waiter) bool { return !b.now.Before(w.deadline.Add(-b.fastest(w))) }

// refuseAll refuses all queued asks.
func (b *Broker) refuseAll(why Refusal, reason string) []Decision {
	var out []Decision
	for _, w := range b.sortedWaiters(func(*waiter) bool { return true }) {
		b.drop(w)
		out = append(out, b.refuse(w, why, b.now.Sub(w.arrived), reason))
	}
	return out
}

// sortedWaiters returns the queued asks that match, the oldest first.
func (b *Broker) sortedWaiters(match func(*waiter) bool) []*waiter {
	var out []*waiter
	for _, w := range b.waiters {
		if match(w) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(x, y *waiter) int {
		return cmp.Or(x.arrived.Compare(y.arrived), cmp.Compare(x.ID.Gateway, y.ID.Gateway), cmp.Compare(x.ID.Number, y.ID.Number))
	})
	return out
}

// dispatch grants free places to queued asks and appends the decisions. Asks with allowed regions may
// get places that do not count as free.
func (b *Broker) dispatch(out []Decision) []Decision {
	for (b.capacity.free > 0 || b.restricted > 0) && len(b.waiters) > 0 {
		d, ok := b.grantNext()
		if !ok {
			break
		}
		out = append(out, d)
	}
	b.drain.advance(b.now, b.capacity.free == 0 || len(b.waiters) > 0)
	return out
}

// grantNext grants a place to the first queued ask that can use one. Callers come first, since
// they have little time, but internal calls whose time is running out have half of the work.
func (b *Broker) grantNext() (Decision, bool) {
	if b.internalShare <= b.callersShare {
		if w, i, why := b.takeFrom(laneInternal, b.isUrgent); w != nil {
			return b.grant(w, i, why), true
		}
	}
	for _, l := range [laneCount]lane{laneCallers, laneInternal, laneLate} {
		if w, i, why := b.takeFrom(l, anyWaiter); w != nil {
			return b.grant(w, i, why), true
		}
	}
	return Decision{}, false
}

func anyWaiter(*waiter) bool { return true }

// isUrgent reports whether an internal ask has waited for half of its objective, or for a third of
// its deadline while places are short. The rest is enough for the request and a second attempt.
func (b *Broker) isUrgent(w *waiter) bool {
	patience := w.Objective / 2
	if b.isShort() {
		patience = max(patience, w.Deadline/3)
	}
	return b.now.Sub(w.arrived) >= patience
}

// takeFrom takes the first ask of a lane that matches and can use a free place, and returns
// the place's server.
func (b *Broker) takeFrom(l lane, matches func(*waiter) bool) (w *waiter, i int, why string) {
	var late []*waiter
	it := b.lanes[l].Take(func(it *admit.Item) bool {
		w := it.Tag.(*waiter)
		if !matches(w) {
			return false
		}
		if l == laneCallers && b.missesObjective(w) {
			late = append(late, w)
			return false
		}
		i, why = b.pick(w, inTime)
		return i >= 0
	})
	for _, w := range late {
		b.moveToLate(w)
	}
	if it == nil {
		return nil, 0, ""
	}
	w = it.Tag.(*waiter)
	b.forgetWaiter(w)
	return w, i, why
}
