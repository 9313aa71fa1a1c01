// Package cold bounds what all processes together send one server in any second. A server that has
// just started, or has lost what it had warmed up, ends at a much higher rate; it may become cold
// at any moment, and tells so late. The bound therefore holds for every server of such a service at
// all times, and without a message between the processes that send: each has a share of its own.
// The package does no I/O and reads no clock.
package cold

import (
	"math"
	"slices"
	"time"
)

// Bound is what a cold server takes of all processes together.
type Bound struct {
	Rate   float64 // requests a second
	Excess float64 // by which factor one second may exceed it
	Slack  float64 // requests beyond that in one second
}

// Burst returns the number of requests that may be sent in any second.
func (b Bound) Burst() int { return int(math.Max(0, math.Floor(b.Rate*b.Excess+b.Slack))) }

// Steady returns the number of requests in any second that a server gets while it is known to be
// cold: its rate, and at least one, so that it gets warm.
func (b Bound) Steady() int { return min(b.Burst(), max(1, int(b.Rate))) }

// maxRanks is how many owners of samples have a share of each server. The share of later ones is 0:
// they wait until earlier ones have left.
const maxRanks = 12

// Shares splits a number of requests by the rank of those that send: the first rank gets most, as
// its process has most of the work. The shares never rise with the rank, and their sum is the total.
func Shares(total int) []int {
	ranks := min(maxRanks, total)
	var harmonic float64
	for k := 1; k <= ranks; k++ {
		harmonic += 1 / float64(k)
	}
	shares := make([]int, ranks)
	before, sum := 0, 0.0
	for k := range shares {
		sum += 1 / float64(k+1)
		upTo := int(math.Round(float64(total) * sum / harmonic))
		shares[k], before = upTo-before, upTo
	}
	slices.SortFunc(shares, func(x, y int) int { return y - x })
	return shares
}

const (
	// Second is the span of a window: the second that is bounded, and what a request that was
	// counted may take until it is sent.
	Second = time.Second + 2*MaxSendDelay
	// MaxSendDelay is how long after it was counted a request may be sent.
	MaxSendDelay = 25 * time.Millisecond
)

// Window counts what was sent within the last second.
type Window struct {
	span time.Duration
	sent []time.Time // oldest first
}

// NewWindow returns an empty window of a span.
func NewWindow(span time.Duration) *Window { return &Window{span: span} }

// Used returns how many requests were counted within the span before now.
func (w *Window) Used(now time.Time) int {
	expired := 0
	for expired < len(w.sent) && now.Sub(w.sent[expired]) >= w.span {
		expired++
	}
	w.sent = append(w.sent[:0], w.sent[expired:]...)
	return len(w.sent)
}

// Take counts a request if fewer than limit were counted within the span.
func (w *Window) Take(now time.Time, limit int) bool {
	if w.Used(now) >= limit {
		return false
	}
	w.Add(now)
	return true
}

// Add counts a request.
func (w *Window) Add(now time.Time) { w.sent = append(w.sent, now) }

// Sends counts what one process sends to each server. It is not safe for concurrent use.
type Sends struct {
	quietUntil time.Time
	windows    map[string]*Window // by server
}

// NewSends returns the counts of a process that started at the given time. It sends nothing within
// its first second: an earlier incarnation of it may have used its shares until then.
func NewSends(startedAt time.Time) *Sends {
	return &Sends{quietUntil: startedAt.Add(Second), windows: map[string]*Window{}}
}

// Left returns how many requests may be sent to a server now, with a limit for each second.
func (s *Sends) Left(server string, limit int, now time.Time) int {
	if now.Before(s.quietUntil) {
		return 0
	}
	w := s.windows[server]
	if w == nil {
		return max(0, limit)
	}
	used := w.Used(now)
	if used == 0 {
		delete(s.windows, server)
	}
	return max(0, limit-used)
}

// Take counts a request if it may be sent to the server now.
func (s *Sends) Take(server string, limit int, now time.Time) bool {
	if s.Left(server, limit, now) == 0 {
		return false
	}
	w := s.windows[server]
	if w == nil {
		w = NewWindow(Second)
		s.windows[server] = w
	}
	return w.Take(now, limit)
}
