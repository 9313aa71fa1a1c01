// Package admit decides which request gets a backend server's next free slot,
// and which request is refused before it waits in vain.
//
// It is a bounded queue with strict priority classes (the higher number goes
// first; a small share of starts is kept for the classes below), start-time
// fair queueing between the callers of a class, and refusals made before
// queueing from an estimate of the wait.
//
// The package is pure: no clock, no locks, no goroutines. Times are passed in
// and one goroutine at a time uses a Queue; agent/admission is its concurrent
// shell.
package admit

import (
	"container/heap"
	"container/list"
	"math"
	"slices"
	"time"
)

const (
	// DefaultLowerShare is the share of starts that lower classes get while
	// higher ones wait.
	DefaultLowerShare = 0.1
	// minWeight stands in for a weight that is zero, negative or not a number.
	minWeight = 0.01
)

// Ticket describes one request that asks for a slot.
type Ticket struct {
	ID       string
	Caller   string
	Weight   float64 // fair share between the callers of one class
	Priority int     // the higher class goes first
	Cost     float64 // expected work in any one unit (requests, tokens); 0 counts as 1
	Deadline time.Time
}

// Config sets a queue's bounds.
type Config struct {
	Slots      int     // requests running at once
	MaxQueue   int     // requests waiting at most
	LowerShare float64 // 0: DefaultLowShare
}

// Reason says why a request was refused. Every reason is for a request that
// has not started.
type Reason uint8

const (
	// Overloaded: the queue is full.
	Overloaded Reason = iota + 1
	// DeadlineTooShort: the deadline can't be met, or has passed while waiting.
	DeadlineTooShort
	// Leaving: the backend server takes no new work.
	Leaving
)

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
	RetryAfter time.Duration // when a repeat has a chance; 0: no advice
	Wait       time.Duration // the estimated wait that led to it
}

// Item is a request in the queue's hands, waiting or running.
type Item struct {
	Ticket
	// Tag is the user's own.
	Tag any

	queued  time.Time
	started time.Time
	flow    *flow
	element *list.Element // in flow.items while waiting
	running bool
}

// Waiting tells whether the item still waits in the queue.
func (it *Item) Waiting() bool { return it.element != nil }

// Refused is an item that left the queue without a start.
type Refused struct {
	Item    *Item
	Refusal Refusal
}

// flow is the waiting work of one caller in one class.
type flow struct {
	caller       string
	class        *class
	items        list.List
	cost         float64 // of all waiting items
	weight       float64
	virtualStart float64 // virtual start time of the first item
	index        int     // in class.heap; -1 when idle
}

// class is one priority class.
type class struct {
	priority    int
	flows       map[string]*flow
	heap        flowHeap // backlogged flows by virtual start time
	virtualTime float64  // virtual time: the start tag last served
	waiting     int
	cost        float64
	lastStart   uint64 // start sequence number of its last start
}

// Queue is the bounded queue.
type Queue struct {
	cfg         Config
	classes     []*class // highest priority first
	waiting     int
	running     int
	leaving     bool
	starts      uint64
	lowerCredit float64 // starts that lower classes have earned
	rate        rate
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	if cfg.LowerShare <= 0 || cfg.LowerShare >= 1 {
		cfg.LowerShare = DefaultLowerShare
	}
	return &Queue{cfg: cfg}
}

// Offer asks for a slot. Either the item started at once, or it waits, or it
// is refused. displaced holds items that had to give up their places in a full
// queue to this one: they did not start.
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

// earlyRefusal decides on what can be refused before it waits.
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
	// A free slot is always given: a mean that went up once could otherwise
	// refuse everything and would never be measured again.
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

// overloadRefusal advises to come back when half of the queue has drained at the
// measured rate: a shorter advice would meet the full queue again.
func (q *Queue) overloadRefusal(now time.Time) *Refusal {
	var cost float64
	for _, c := range q.classes {
		cost += c.cost
	}
	return &Refusal{Reason: Overloaded, RetryAfter: q.drainTime(now, cost/2), Wait: q.drainTime(now, cost)}
}

// Next starts the next item if a slot is free. expired are items whose
// deadline passed while they waited: they did not start.
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

// Done frees a running item's slot.
func (q *Queue) Done(now time.Time, it *Item) {
	if !it.running {
		return
	}
	it.running = false
	q.running--
	q.rate.observeEnd(now, it.started, it.Cost, q.waiting > 0)
}

// Cancel takes a waiting item out of the queue; false when it no longer waits.
func (q *Queue) Cancel(it *Item) bool {
	if !it.Waiting() {
		return false
	}
	q.remove(it)
	return true
}

// Leave refuses all new work from now on and returns all that waited. None of
// it started. Running items go on to their end.
func (q *Queue) Leave() []Refused {
	q.leaving = true
	var out []Refused
	for q.waiting > 0 {
		out = append(out, Refused{q.pop(), Refusal{Reason: Leaving}})
	}
	return out
}

// Rejoin takes new work again after Leave.
func (q *Queue) Rejoin() { q.leaving = false }

// SetSlots changes the number of slots. Fewer slots cut off nothing that runs.
func (q *Queue) SetSlots(n int) { q.cfg.Slots = n }

// SetMaxQueue changes the bound of the queue. What waits already stays.
func (q *Queue) SetMaxQueue(n int) { q.cfg.MaxQueue = n }

// Slots returns the number of slots.
func (q *Queue) Slots() int { return q.cfg.Slots }

// Running returns how many items hold a slot.
func (q *Queue) Running() int { return q.running }

// Waiting returns how many items wait.
func (q *Queue) Waiting() int { return q.waiting }

// Expired tells whether a deadline has passed by the monotonic or by the wall
// clock. The monotonic clock stands still while a VM is suspended: an agent
// that looked at it alone would start work whose caller gave up long ago. A
// wall clock that was set forward refuses too early, which is harmless.
func Expired(now, deadline time.Time) bool {
	if deadline.IsZero() {
		return false
	}
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}

func normalize(t Ticket) Ticket {
	if !(t.Weight >= minWeight) || math.IsInf(t.Weight, 1) {
		t.Weight = minWeight
	}
	if !(t.Cost > 0) || math.IsInf(t.Cost, 1) {
		t.Cost = 1
	}
	return t
}

func (q *Queue) startItem(now time.Time, it *Item) {
	it.running = true
	it.started = now
	q.running++
	if q.running == q.cfg.Slots {
		q.rate.observeSaturation(now)
	}
}

func (q *Queue) push(it *Item) {
	c := q.classFor(it.Priority)
	f := c.flows[it.Caller]
	if f == nil {
		f = &flow{caller: it.Caller, class: c, index: -1}
		c.flows[it.Caller] = f
	}
	f.weight = it.Weight
	if f.items.Len() == 0 {
		// A caller that was idle has no claim on the past.
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

// pop takes the item whose turn it is.
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

// chooseClass picks the class: the highest that waits, but for the share of starts
// that the classes below have earned. Of those, the one longest without a
// start is next, so that each gets its turn and none starves.
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

// remove takes a waiting item out of all counts.
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
		// The end of a busy period: shares of the past are forgotten and the
		// memory of idle callers with them.
		clear(c.flows)
		c.cost, c.virtualTime = 0, 0
		return
	}
	if f.virtualStart <= c.virtualTime {
		delete(c.flows, f.caller)
	}
}

func (q *Queue) classFor(priority int) *class {
	i, ok := slices.BinarySearchFunc(q.classes, priority, func(c *class, p int) int { return p - c.priority })
	if ok {
		return q.classes[i]
	}
	c := &class{priority: priority, flows: make(map[string]*flow)}
	q.classes = slices.Insert(q.classes, i, c)
	return c
}

// flowHeap orders flows by virtual start time, then by name so that equal
// queues decide alike.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	if h[i].virtualStart != h[j].virtualStart {
		return h[i].virtualStart < h[j].virtualStart
	}
	return h[i].caller < h[j].caller
}
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.index = -1
	return f
}
