// Package admission is the concurrent shell of decide/admit: goroutines wait
// in it for one of the backend server's slots.
package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"dandelionsill.org/decide/admit"
	"dandelionsill.org/kinds"
)

// Config sets the bounds.
type Config struct {
	Slots    int // requests running at once at the backend server
	MaxQueue int // requests waiting at most
}

// Stats is a moment's picture.
type Stats struct {
	Slots, Running, Queued int
	// WaitEstimate is what a request of the default class that comes now
	// would wait.
	WaitEstimate time.Duration
}

// Queue hands out the slots. It is safe for concurrent use.
type Queue struct {
	now func() time.Time

	mu       sync.Mutex
	queue    *admit.Queue
	idle     chan struct{} // closed while nothing runs or waits
	busy     bool
	onChange func()
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	q := &Queue{
		now:   time.Now,
		queue: admit.New(admit.Config{Slots: cfg.Slots, MaxQueue: cfg.MaxQueue}),
		idle:  make(chan struct{}),
	}
	close(q.idle)
	return q
}

// OnChange sets a function that is called, without locks held, after each
// change of the Stats' counts. Set it before the first Acquire.
func (q *Queue) OnChange(f func()) { q.onChange = f }

// waiter is one goroutine in Acquire.
type waiter struct {
	// decision gets nil (the slot is held) or the refusal, once.
	decision chan *admit.Refusal
}

// Acquire waits for a slot. The release function is safe to call more than
// once. Every error proves that the request did not start, but for Cancelled
// (the caller went away), which nobody hears.
func (q *Queue) Acquire(ctx context.Context, t admit.Ticket) (release func(), _ *kinds.Error) {
	w := &waiter{decision: make(chan *admit.Refusal, 1)}
	q.mu.Lock()
	item, refusal, displaced := q.queue.Offer(q.now(), t, w)
	sendRefusals(displaced)
	q.updateIdle()
	mustWait := item != nil && item.Waiting()
	q.mu.Unlock()
	defer q.notify()
	if refusal != nil {
		return nil, refused(*refusal)
	}
	if mustWait {
		if err := q.wait(ctx, item, w); err != nil {
			return nil, err
		}
	}
	// The goroutine, or the whole VM, may have stood still between the
	// decision and here.
	if admit.Expired(q.now(), t.Deadline) {
		q.done(item)
		return nil, refused(admit.Refusal{Reason: admit.DeadlineTooShort})
	}
	var once atomic.Bool
	return func() {
		if once.CompareAndSwap(false, true) {
			q.done(item)
		}
	}, nil
}

// wait returns nil once it holds the slot.
func (q *Queue) wait(ctx context.Context, item *admit.Item, w *waiter) *kinds.Error {
	var deadlinePassed <-chan time.Time
	if !item.Deadline.IsZero() {
		timer := time.NewTimer(item.Deadline.Sub(q.now()))
		defer timer.Stop()
		deadlinePassed = timer.C
	}
	select {
	case r := <-w.decision:
		if r != nil {
			return refused(*r)
		}
		return nil
	case <-ctx.Done():
	case <-deadlinePassed:
	}
	q.mu.Lock()
	removed := q.queue.Cancel(item)
	q.updateIdle()
	q.mu.Unlock()
	if !removed {
		// The verdict came in the meantime; a slot that was won is given back.
		if r := <-w.decision; r != nil {
			return refused(*r)
		}
		q.done(item)
	}
	if ctx.Err() == context.Canceled {
		return kinds.New(kinds.Cancelled, "the caller went away while the request waited")
	}
	return refused(admit.Refusal{Reason: admit.DeadlineTooShort})
}

// done frees a slot and starts who is next.
func (q *Queue) done(item *admit.Item) {
	q.mu.Lock()
	now := q.now()
	q.queue.Done(now, item)
	q.startWaiting(now)
	q.updateIdle()
	q.mu.Unlock()
	q.notify()
}

// startWaiting starts waiting items while slots are free.
func (q *Queue) startWaiting(now time.Time) {
	for {
		item, expired := q.queue.Next(now)
		sendRefusals(expired)
		if item == nil {
			return
		}
		item.Tag.(*waiter).decision <- nil
	}
}

// Leave refuses all new work and all that still waits. What runs goes on.
func (q *Queue) Leave() {
	q.mu.Lock()
	sendRefusals(q.queue.Leave())
	q.updateIdle()
	q.mu.Unlock()
	q.notify()
}

// Rejoin takes new work again after Leave.
func (q *Queue) Rejoin() {
	q.mu.Lock()
	q.queue.Rejoin()
	q.mu.Unlock()
	q.notify()
}

// Idle returns a channel that is closed once nothing runs and nothing waits.
// After Leave that stays true until Rejoin.
func (q *Queue) Idle() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.idle
}

// Stats returns the counts of this moment.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Stats{
		Slots:        q.queue.Slots(),
		Running:      q.queue.Running(),
		Queued:       q.queue.Waiting(),
		WaitEstimate: q.queue.Wait(q.now(), admit.Ticket{Weight: 1}),
	}
}

// SetSlots changes the number of slots; nothing that runs is cut off.
func (q *Queue) SetSlots(n int) {
	q.mu.Lock()
	q.queue.SetSlots(n)
	q.startWaiting(q.now())
	q.mu.Unlock()
	q.notify()
}

// SetMaxQueue changes how many requests may wait; what waits already stays.
func (q *Queue) SetMaxQueue(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.SetMaxQueue(n)
}

// updateIdle keeps the idle channel in step with the counts.
func (q *Queue) updateIdle() {
	busy := q.queue.Running()+q.queue.Waiting() > 0
	if busy == q.busy {
		return
	}
	q.busy = busy
	if busy {
		q.idle = make(chan struct{})
		return
	}
	close(q.idle)
}

func (q *Queue) notify() {
	if q.onChange != nil {
		q.onChange()
	}
}

func sendRefusals(refusals []admit.Refused) {
	for _, r := range refusals {
		refusal := r.Refusal
		r.Item.Tag.(*waiter).decision <- &refusal
	}
}

// refused makes the error. The proof of "not run" is fresh because a refused
// request has not been given a slot, and only the holder of one sends.
func refused(r admit.Refusal) *kinds.Error {
	held := kinds.Hold()
	switch r.Reason {
	case admit.Leaving:
		return held.Refuse(kinds.Leaving, "the backend server is leaving")
	case admit.Overloaded:
		return held.Refuse(kinds.Overloaded, "the queue is full, about %v of work waits", r.Wait.Round(time.Millisecond)).
			WithRetryAfter(r.RetryAfter)
	default:
		return held.Refuse(kinds.DeadlineTooShort, "the deadline can't be met, the wait is about %v", r.Wait.Round(time.Millisecond)).
			WithRetryAfter(r.RetryAfter)
	}
}
