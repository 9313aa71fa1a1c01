// Package admission makes the queue of decide/admit usable by concurrent goroutines,
// which wait in it for one of the backend server's slots.
package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"dandelionsill.org/decide/admit"
	"dandelionsill.org/kinds"
)

// Config sets the limits of a Queue.
type Config struct {
	Slots    int // maximum number of requests running at the backend server
	MaxQueue int // maximum number of waiting requests
}

// Stats is a snapshot of a Queue.
type Stats struct {
	Slots, Running, Queued int
	// WaitEstimate is the estimated wait of a request of weight 1 and default
	// priority that arrives now.
	WaitEstimate time.Duration
}

// Queue assigns the backend server's slots to requests. It is safe for concurrent use.
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

// OnChange sets a function that is called, without locks held, after operations that
// may change the counts of Stats. It must be called before the first Acquire.
func (q *Queue) OnChange(f func()) { q.onChange = f }

// waiter is one goroutine in Acquire.
type waiter struct {
	// decision receives nil (the slot is held) or the refusal, once.
	decision chan *admit.Refusal
}

// Acquire waits for a slot. The release function may be called more than once.
// Every error proves that the request did not start, except Cancelled, which means
// that the caller has disconnected and receives no answer.
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
	// The goroutine, or the whole VM, may have been suspended since the decision.
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

// wait waits for the decision on a waiting item. It returns nil if the item got its
// slot.
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
		// The decision was made in the meantime. If the item got a slot, it is
		// released again.
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

// done frees the item's slot and starts waiting items.
func (q *Queue) done(item *admit.Item) {
	q.mu.Lock()
	now := q.now()
	q.queue.Done(now, item)
	q.startWaiting(now)
	q.updateIdle()
	q.mu.Unlock()
	q.notify()
}

// startWaiting starts waiting items while slots are free, and refuses expired ones.
// q.mu is held.
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

// Leave refuses all new and waiting requests. Running requests continue.
func (q *Queue) Leave() {
	q.mu.Lock()
	sendRefusals(q.queue.Leave())
	q.updateIdle()
	q.mu.Unlock()
	q.notify()
}

// Rejoin accepts new requests again after Leave.
func (q *Queue) Rejoin() {
	q.mu.Lock()
	q.queue.Rejoin()
	q.mu.Unlock()
	q.notify()
}

// Idle returns a channel that is closed once no request runs or waits. After Leave
// the queue then stays idle until Rejoin.
func (q *Queue) Idle() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.idle
}

// Stats returns the current counts.
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

// SetSlots changes the number of slots. Running requests are not interrupted.
func (q *Queue) SetSlots(n int) {
	q.mu.Lock()
	q.queue.SetSlots(n)
	q.startWaiting(q.now())
	q.mu.Unlock()
	q.notify()
}

// SetMaxQueue changes the maximum number of waiting requests. Requests that already
// wait stay in the queue.
func (q *Queue) SetMaxQueue(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.SetMaxQueue(n)
}

// updateIdle closes or replaces the idle channel according to the counts. q.mu is
// held.
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

// notify calls the OnChange function. q.mu is not held.
func (q *Queue) notify() {
	if q.onChange != nil {
		q.onChange()
	}
}

// sendRefusals sends each refusal to the waiter of its item.
func sendRefusals(refusals []admit.Refused) {
	for _, r := range refusals {
		refusal := r.Refusal
		r.Item.Tag.(*waiter).decision <- &refusal
	}
}

// refused returns the error for a refusal. It may create a new proof of "not run",
// because a refused request did not get a slot and only requests with a slot are
// sent.
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
