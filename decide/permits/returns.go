package permits

import (
	"math"
	"time"
)

const (
	// minRetryAfter is the shortest advice: a caller that returns sooner meets the
	// same queue.
	minRetryAfter = 20 * time.Millisecond
	// returnShare is the part of a deadline that the advice takes at most, so that the
	// caller has time left for its return.
	returnShare = 3

	// drainWindow is the shortest time over which the rate of ends is measured, and
	// drainWindowMax the longest; between them it ends with drainWindowEnds ends.
	drainWindow     = 100 * time.Millisecond
	drainWindowMax  = time.Second
	drainWindowEnds = 8
	// drainMemory is how long a measured rate is used after the servers were last busy.
	drainMemory = 2 * time.Second
	// drainSmoothing is the weight of a new window in the average.
	drainSmoothing = 0.3

	// maxEstimate bounds every estimate, so that sums can't overflow.
	maxEstimate = time.Hour
)

// returns spreads the returns of refused asks over time: each gets the next free turn
// at the rate at which the servers work.
type returns struct {
	next time.Time
}

// advise returns after which time the ask of a refused request is likely to be granted.
// drain is the time in which the queue is served, each the time for this ask, deadline
// the time left to the ask.
func (r *returns) advise(now time.Time, drain, each, deadline time.Duration) time.Duration {
	turn := now.Add(drain)
	if r.next.After(turn) {
		turn = r.next
	}
	longest := max(minRetryAfter, deadline/returnShare)
	after := max(minRetryAfter, turn.Sub(now))
	if after > longest {
		return longest
	}
	r.next = turn.Add(each)
	return after
}

// retryAfter returns the advice for an ask that is refused.
func (b *Broker) retryAfter(w *waiter) time.Duration {
	if w.NoWait {
		return minRetryAfter // its gateway does not return with it
	}
	rate := b.drainRate()
	if rate <= 0 || b.capacity.places == 0 { // nothing says when a server takes work
		return max(minRetryAfter, w.Deadline/returnShare)
	}
	l := laneCallers
	waiting := b.lanes[laneCallers].Cost() + b.lanes[laneLate].Cost()
	if w.Internal {
		l = laneInternal
		waiting = b.lanes[laneInternal].Cost()
	}
	rate *= b.share(l)
	return b.returns.advise(b.now, seconds(waiting/rate), seconds(w.cost/rate), w.Deadline)
}

// drainRate returns the typical seconds of work that the servers do in a second: as
// measured while they were busy, else as their places and paces promise; 0: unknown.
func (b *Broker) drainRate() float64 {
	if rate := b.drain.get(b.now); rate > 0 {
		return rate
	}
	return b.capacity.rate
}

// drain measures how fast places become free while all of them are in use.
type drain struct {
	rate     float64 // typical seconds a second
	measured time.Time
	start    time.Time // of the window; zero: the servers are not busy
	cost     float64   // of the requests that ended in the window
	ends     int
}

// add records the end of a request.
func (d *drain) add(cost float64) {
	d.cost += cost
	d.ends++
}

// advance moves to the time. busy says whether no place is free or asks wait.
func (d *drain) advance(now time.Time, busy bool) {
	if !busy {
		d.start = time.Time{}
		return
	}
	if d.start.IsZero() {
		d.restart(now)
		return
	}
	length := now.Sub(d.start)
	if length < drainWindow || d.ends < drainWindowEnds && length < drainWindowMax {
		return
	}
	rate := d.cost / length.Seconds()
	if d.get(now) > 0 {
		rate = d.rate + drainSmoothing*(rate-d.rate)
	}
	d.rate, d.measured = rate, now
	d.restart(now)
}

// restart begins a window.
func (d *drain) restart(now time.Time) { d.start, d.cost, d.ends = now, 0, 0 }

// get returns the rate; 0 if it is unknown or old.
func (d *drain) get(now time.Time) float64 {
	if d.measured.IsZero() || now.Sub(d.measured) > drainMemory {
		return 0
	}
	return d.rate
}

// seconds converts seconds to a duration of at most maxEstimate.
func seconds(s float64) time.Duration {
	if math.IsNaN(s) || s > maxEstimate.Seconds() {
		return maxEstimate
	}
	return time.Duration(s * float64(time.Second))
}

// scale returns d times x, at most maxEstimate.
func scale(d time.Duration, x float64) time.Duration { return seconds(d.Seconds() * x) }
