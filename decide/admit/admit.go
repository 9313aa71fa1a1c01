// Package admit decides which request gets a backend server's next free slot,
// and which request is refused because waiting would be pointless.
//
// It is a bounded queue with strict priority classes (the higher number goes
// first; a small share of starts is reserved for lower classes), start-time fair
// queueing between the callers of a class, and early refusals that are based on
// an estimate of the wait.
//
// The package has no clock, locks or goroutines. Times are passed in, and a Queue
// must not be used concurrently; agent/admission wraps it for concurrent use.
package admit

import (
	"container/heap"
	"container/list"
	"math"
	"slices"
	"time"
)

const (
	// DefaultLowerShare is the share of starts reserved for lower classes while
	// higher classes have requests waiting.
	DefaultLowerShare = 0.1
	// minWeight replaces a weight that is smaller, infinite or not a number.
	minWeight = 0.01
)

// Ticket describes a request that asks for a slot.
type Ticket struct {
	ID       string
	Caller   string
	Weight   float64   // share relative to the other callers of the class
	Priority int       // the higher class goes first
	Cost     float64   // expected work, in one unit for all requests (requests or tokens); 0 counts as 1
	Deadline time.Time // zero: none
}

// Config sets the bounds of a Queue.
type Config struct {
	Slots      int     // maximum number of running requests
	MaxQueue   int     // maximum number of waiting requests
	LowerShare float64 // between 0 and 1, both exclusive; otherwise DefaultLowerShare
}

// Reason is why a request was refused. A refused request was never started.
type Reason uint8

const (
	// Overloaded means that the queue is full.
	Overloaded Reason = iota + 1
	// DeadlineTooShort means that the deadline can't be met, or passed while the
	// request waited.
	DeadlineTooShort
	// Leaving means that the backend server accepts no new work.
	Leaving
)

// String returns the name of the reason.
func (r Reason) String() string {
	switch r {
	case Overloaded:
		return "overloaded"
	case DeadlineTooShort:
		return "deadline too short"
	case Leaving:
		return "leaving"
	}
	return "none"
}

// Refusal is a decision not to run a request.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // after which a retry may succeed; 0: no advice
	Wait       time.Duration // estimated wait at refusal; for an expired item, the time that it waited
}

// Item is a request that is waiting or running.
type Item struct {
	Ticket
	// Tag is data of the package's user; the queue does not read it.
	Tag any

	queued  time.Time
	started time.Time
	flow    *flow
	element *list.Element // in flow.items while waiting; nil otherwise
	running bool
}

// Waiting reports whether the item is still waiting in the queue.
func (it *Item) Waiting() bool { return it.element != nil }

// Refused is an item that left the queue without being started.
type Refused struct {
	Item    *Item
	Refusal Refusal
}

// flow holds the waiting items of one caller in one class.
type flow struct {
	caller       string
	class        *class
	items        list.List
	cost         float64 // sum over the waiting items
	weight       float64
	virtualStart float64 // virtual start time of the first item
	index        int     // in class.heap; -1 when no items wait
}

// class holds the waiting items of one priority.
type class struct {
	priority    int
	flows       map[string]*flow
	heap        flowHeap // backlogged flows by virtual start time
	virtualTime float64  // virtual start time of the item started last
	waiting     int
	cost        float64
	lastStart   uint64 // value of Queue.starts at the last start from this class
}

// Queue is a bounded queue in front of a fixed number of slots.
type Queue struct {
	cfg         Config
	classes     []*class // highest priority first
	waiting     int
	running     int
	leaving     bool
	starts      uint64  // number of items started from the queue
	lowerCredit float64 // starts that lower classes have earned and not used
	rate        rate
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	if cfg.LowerShare <= 0 || cfg.LowerShare >= 1 {
		cfg.LowerShare = DefaultLowerShare
	}
	return &Queue{cfg: cfg}
}

// Offer asks for a slot. It returns the item, started or waiting, or else a
// refusal. displaced are items that were removed from a full queue to make room
// for this one; they were not started.
func (q *Queue) Offer(now time.Time, t Ticket, tag any) (it *Item, refusal *Refusal, displaced []Refused) {
	t = normalize(t)
	if r := q.earlyRefusal(now, t); r != nil {
		return nil, r, nil
	}
	it = &Item{Ticket: t, Tag: tag, queued: now}
	if q.waiting == 0 && q.running < q.cfg.Slots {
		q.startItem(now, it)
		return it, nil, nil
	}
	if q.waiting >= q.cfg.MaxQueue {
		victim := q.chooseVictim(t)
		if victim == nil {
			return nil, q.overloadRefusal(now), nil
		}
		q.remove(victim)
		displaced = append(displaced, Refused{victim, *q.overloadRefusal(now)})
	}
	q.push(it)
	return it, nil, displaced
}

// earlyRefusal returns the refusal of a request that can be refused without
// waiting, or nil. It does not check whether the queue is full.
func (q *Queue) earlyRefusal(now time.Time, t Ticket) *Refusal {
	if q.leaving {
		return &Refusal{Reason: Leaving}
	}
	if t.Deadline.IsZero() {
		return nil
	}
	if Expired(now, t.Deadline) {
		return &Refusal{Reason: DeadlineTooShort}
	}
	// A free slot is always granted. Otherwise a mean that has become too high
	// could refuse every request and would never be measured again.
	if q.waiting == 0 && q.running < q.cfg.Slots {
		return nil
	}
	wait := q.Wait(now, t)
	late := now.Add(wait + q.rate.serviceTime(t.Cost)).Sub(t.Deadline)
	if late < 0 {
		return nil
	}
	return &Refusal{Reason: DeadlineTooShort, RetryAfter: min(late, wait), Wait: wait}
}

// overloadRefusal returns a refusal with the advice to retry when half of the
// queue has drained at the measured rate: after a shorter time the queue would
// probably be full again.
func (q *Queue) overloadRefusal(now time.Time) *Refusal {
	var cost float64
	for _, c := range q.classes {
		cost += c.cost
	}
	return &Refusal{Reason: Overloaded, RetryAfter: q.drainTime(now, cost/2), Wait: q.drainTime(now, cost)}
}

// Next starts the next item if a slot is free, and returns nil otherwise. expired
// are items whose deadline passed while they waited; they were not started.
func (q *Queue) Next(now time.Time) (it *Item, expired []Refused) {
	for q.running < q.cfg.Slots && q.waiting > 0 {
		it := q.pop()
		if Expired(now, it.Deadline) {
			expired = append(expired, Refused{it, Refusal{Reason: DeadlineTooShort, Wait: now.Sub(it.queued)}})
			continue
		}
		q.startItem(now, it)
		return it, expired
	}
	return nil, expired
}

// Done releases the slot of a running item. It does nothing if the item is not
// running.
func (q *Queue) Done(now time.Time, it *Item) {
	if !it.running {
		return
	}
	it.running = false
	q.running--
	q.rate.observeEnd(now, it.started, it.Cost, q.waiting > 0)
}

// Cancel removes a waiting item. It returns false if the item is not waiting.
func (q *Queue) Cancel(it *Item) bool {
	if !it.Waiting() {
		return false
	}
	q.remove(it)
	return true
}

// Leave makes the queue refuse all new requests and returns the items that were
// waiting; they were not started. Running items continue.
func (q *Queue) Leave() []Refused {
	q.leaving = true
	var out []Refused
	for q.waiting > 0 {
		out = append(out, Refused{q.pop(), Refusal{Reason: Leaving}})
	}
	return out
}

// Rejoin makes the queue accept requests again after Leave.
func (q *Queue) Rejoin() { q.leaving = false }

// SetSlots changes the number of slots. Items that are running continue even if
// there are fewer slots than that.
func (q *Queue) SetSlots(n int) { q.cfg.Slots = n }

// SetMaxQueue changes the maximum number of waiting items. Items that already
// wait stay.
func (q *Queue) SetMaxQueue(n int) { q.cfg.MaxQueue = n }

// Slots returns the number of slots.
func (q *Queue) Slots() int { return q.cfg.Slots }

// Running returns the number of running items.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of waiting items.
func (q *Queue) Waiting() int { return q.waiting }

// Expired reports whether the deadline has passed by the monotonic or by the wall
// clock; a zero deadline never passes. The monotonic clock stops while a VM is
// suspended: an agent that checked it alone would start work that the caller gave
// up long ago. A wall clock that is set forward causes an early refusal, which is
// harmless.
func Expired(now, deadline time.Time) bool {
	if deadline.IsZero() {
		return false
	}
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}

// normalize replaces a weight or cost that can't be used in computations.
func normalize(t Ticket) Ticket {
	if !(t.Weight >= minWeight) || math.IsInf(t.Weight, 1) {
		t.Weight = minWeight
	}
	if !(t.Cost > 0) || math.IsInf(t.Cost, 1) {
		t.Cost = 1
	}
	return t
}

// startItem gives the item a slot.
func (q *Queue) startItem(now time.Time, it *Item) {
	it.running = true
	it.started = now
	q.running++
	if q.running == q.cfg.Slots {
		q.rate.observeSaturation(now)
	}
}

// push adds an item to the waiting items of its caller and class.
func (q *Queue) push(it *Item) {
	c := q.class(it.Priority)
	f := c.flows[it.Caller]
	if f == nil {
		f = &flow{caller: it.Caller, class: c, index: -1}
		c.flows[it.Caller] = f
	}
	f.weight = it.Weight
	if f.items.Len() == 0 {
		// An idle caller earns no share for the time that it was idle.
		f.virtualStart = max(f.virtualStart, c.virtualTime)
		heap.Push(&c.heap, f)
	}
	it.flow = f
	it.element = f.items.PushBack(it)
	f.cost += it.Cost
	c.cost += it.Cost
	c.waiting++
	q.waiting++
}

// pop removes and returns the next item to start.
func (q *Queue) pop() *Item {
	c := q.chooseClass()
	f := c.heap[0]
	it := f.items.Front().Value.(*Item)
	c.virtualTime = f.virtualStart
	f.virtualStart += it.Cost / it.Weight
	q.starts++
	c.lastStart = q.starts
	q.remove(it)
	return it
}

// chooseClass returns the class to start from: the highest one with waiting
// items, except for the share of starts that is reserved for lower classes. Among
// the lower classes it is the one whose last start is the longest ago, so that
// none of them starves.
func (q *Queue) chooseClass() *class {
	var highest, lowerClass *class
	for _, c := range q.classes {
		switch {
		case c.waiting == 0:
		case highest == nil:
			highest = c
		case lowerClass == nil || c.lastStart < lowerClass.lastStart:
			lowerClass = c
		}
	}
	if lowerClass == nil {
		return highest
	}
	q.lowerCredit += q.cfg.LowerShare
	if q.lowerCredit < 1 {
		return highest
	}
	q.lowerCredit--
	return lowerClass
}

// remove removes a waiting item and updates all counts.
func (q *Queue) remove(it *Item) {
	f, c := it.flow, it.flow.class
	f.items.Remove(it.element)
	it.element = nil
	f.cost -= it.Cost
	c.cost -= it.Cost
	c.waiting--
	q.waiting--
	if f.items.Len() > 0 {
		heap.Fix(&c.heap, f.index)
		return
	}
	f.cost = 0
	heap.Remove(&c.heap, f.index)
	if c.waiting == 0 {
		// The busy period of this class has ended: past shares no longer count, and
		// the entries of idle callers are released.
		clear(c.flows)
		c.cost, c.virtualTime = 0, 0
		return
	}
	if f.virtualStart <= c.virtualTime {
		delete(c.flows, f.caller)
	}
}

// class returns the class of a priority and creates it if needed.
func (q *Queue) class(priority int) *class {
	i, ok := slices.BinarySearchFunc(q.classes, priority, func(c *class, p int) int { return p - c.priority })
	if ok {
		return q.classes[i]
	}
	c := &class{priority: priority, flows: make(map[string]*flow)}
	q.classes = slices.Insert(q.classes, i, c)
	return c
}

// flowHeap orders flows by virtual start time, then by caller name so that the
// order is deterministic.
type flowHeap []*flow

// Len implements heap.Interface.
func (h flowHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h flowHeap) Less(i, j int) bool {
	if h[i].virtualStart != h[j].virtualStart {
		return h[i].virtualStart < h[j].virtualStart
	}
	return h[i].caller < h[j].caller
}

// Swap implements heap.Interface.
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.index = -1
	return f
}
