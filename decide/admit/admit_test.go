package admit

import (
	"fmt"
	"math"
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

// A caller sends a refused request to another server. If the queue had started a
// refused request, or lost an accepted one, the caller would get two runs or none.
// The test mixes offers, ends, cancellations, changes of the slot count and Leave;
// each request must have exactly one outcome.
func TestEveryRequestHasExactlyOneOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		slots := rapid.IntRange(0, 4).Draw(t, "slots")
		q := New(Config{Slots: slots, MaxQueue: rapid.IntRange(0, 6).Draw(t, "queue")})
		outcomes := make(map[string]string)
		end := func(it *Item, how string) {
			require.Empty(t, outcomes[it.ID], "%s: %s after %s", it.ID, how, outcomes[it.ID])
			outcomes[it.ID] = how
		}
		var waiting, running []*Item
		refuse := func(list []Refused) {
			for _, r := range list {
				end(r.Item, "refused")
			}
		}
		next := func() {
			for {
				it, expired := q.Next(now)
				refuse(expired)
				if it == nil {
					return
				}
				require.LessOrEqual(t, q.Running(), slots, "started more items than there are slots")
				require.True(t, it.Deadline.IsZero() || now.Before(it.Deadline), "started after the deadline")
				end(it, "started")
				running = append(running, it)
			}
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch op := rapid.IntRange(0, 9).Draw(t, "op"); {
			case op < 5:
				tk := Ticket{
					ID: fmt.Sprint(i), Caller: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"),
					Weight: rapid.Float64Range(-1, 4).Draw(t, "weight"), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
					Cost: rapid.Float64Range(0, 5).Draw(t, "cost"),
				}
				if rapid.Bool().Draw(t, "bounded") {
					tk.Deadline = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "left")) * time.Millisecond)
				}
				it, refusal, displaced := q.Offer(now, tk, nil)
				refuse(displaced)
				if refusal != nil {
					outcomes[tk.ID] = "refused"
					continue
				}
				if it.Waiting() {
					waiting = append(waiting, it)
					continue
				}
				require.LessOrEqual(t, q.Running(), slots, "started more items than there are slots")
				end(it, "started")
				running = append(running, it)
			case op < 7 && len(running) > 0:
				k := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				q.Done(now, running[k])
				running = append(running[:k], running[k+1:]...)
				next()
			case op == 7 && len(waiting) > 0:
				it := rapid.SampledFrom(waiting).Draw(t, "cancel")
				if q.Cancel(it) {
					end(it, "cancelled")
				}
			case op == 8:
				slots = rapid.IntRange(0, 4).Draw(t, "slots")
				q.SetSlots(slots)
				next()
			case op == 9 && rapid.IntRange(0, 9).Draw(t, "leave") == 0:
				refuse(q.Leave())
			}
		}
		refuse(q.Leave())
		for _, it := range waiting {
			require.NotEmpty(t, outcomes[it.ID], "%s was accepted and lost", it.ID)
		}
		require.Zero(t, q.Waiting())
		require.Equal(t, len(running), q.Running())
	})
}

// Three callers share an engine by weight. While all of them have work waiting,
// none may get ahead of another's share by more than one request of each: this is
// the bound of start-time fair queueing.
func TestWeightedSharesDeviateWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxCost = 8.0
		callers := []string{"a", "b", "c"}
		weights := make(map[string]float64)
		for _, c := range callers {
			weights[c] = rapid.Float64Range(0.1, 10).Draw(t, "weight")
		}
		q := New(Config{Slots: 1, MaxQueue: 1000})
		running, _, _ := q.Offer(epoch, Ticket{ID: "first", Caller: "z"}, nil)
		offer := func(c string) {
			cost := rapid.Float64Range(0.1, maxCost).Draw(t, "cost")
			_, refusal, _ := q.Offer(epoch, Ticket{Caller: c, Weight: weights[c], Cost: cost}, nil)
			require.Nil(t, refusal)
		}
		for _, c := range callers {
			offer(c)
			offer(c)
		}
		served := make(map[string]float64)
		for range 200 {
			q.Done(epoch, running)
			running, _ = q.Next(epoch)
			served[running.Caller] += running.Cost / running.Weight
			offer(running.Caller)
			for _, a := range callers {
				for _, b := range callers {
					bound := maxCost/weights[a] + maxCost/weights[b] + 1e-6
					require.LessOrEqual(t, math.Abs(served[a]-served[b]), bound, "%s and %s", a, b)
				}
			}
		}
	})
}

// Application calls have priority over the samples of a step. While they keep
// arriving, each lower class must still get its share of starts; otherwise a
// trainer's step never ends.
func TestLowerClassesAreNotStarved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lower := rapid.IntRange(1, 4).Draw(t, "lower")
		q := New(Config{Slots: 1, MaxQueue: 1000})
		running, _, _ := q.Offer(epoch, Ticket{}, nil)
		offer := func(p int) {
			_, refusal, _ := q.Offer(epoch, Ticket{Caller: fmt.Sprint(p), Weight: 1, Priority: p}, nil)
			require.Nil(t, refusal)
		}
		for p := range lower + 1 {
			offer(p)
			offer(p)
		}
		startsSince := make(map[int]int)
		bound := int(float64(lower)/DefaultLowerShare) + lower + 1
		highestStarts := 0
		const starts = 300
		for range starts {
			q.Done(epoch, running)
			running, _ = q.Next(epoch)
			offer(running.Priority)
			for p := range lower + 1 {
				startsSince[p]++
			}
			startsSince[running.Priority] = 0
			if running.Priority == lower {
				highestStarts++
			}
			for p, n := range startsSince {
				require.LessOrEqual(t, n, bound, "class %d starves", p)
			}
		}
		require.GreaterOrEqual(t, highestStarts, int(starts*(1-DefaultLowerShare))-1, "the lower classes get more than their share")
	})
}

// One caller fills the queue with its step before another caller's first request
// arrives. Refusing that request would starve the second caller, however fair the
// order of starts is. Instead the newest request of the largest caller loses its
// place without being run.
func TestFullQueueDisplacesLargestCaller(t *testing.T) {
	q := New(Config{Slots: 1, MaxQueue: 10})
	for range 11 {
		_, refusal, _ := q.Offer(epoch, Ticket{Caller: "step", Weight: 1}, nil)
		require.Nil(t, refusal)
	}
	_, refusal, _ := q.Offer(epoch, Ticket{Caller: "step", Weight: 1}, nil)
	require.Equal(t, Overloaded, refusal.Reason)

	it, refusal, displaced := q.Offer(epoch, Ticket{Caller: "app", Weight: 1}, nil)
	require.Nil(t, refusal)
	require.True(t, it.Waiting())
	require.Len(t, displaced, 1)
	require.Equal(t, "step", displaced[0].Item.Caller)

	// A higher class displaces items too, except for the lower class's reserved places.
	for range 30 {
		q.Offer(epoch, Ticket{Caller: "urgent", Weight: 1, Priority: 5}, nil)
	}
	require.Equal(t, 10, q.Waiting())
	require.Equal(t, 1, q.classes[len(q.classes)-1].waiting, "a tenth of the places is reserved for the lower class")
}

// A request whose deadline can't be met is refused before it waits, with the time
// after which a retry may succeed; one that can be met is accepted. A free slot is
// granted whatever the mean says; otherwise one slow hour would cause refusals
// forever.
func TestUnreachableDeadlineIsRefusedBeforeQueueing(t *testing.T) {
	q := New(Config{Slots: 1, MaxQueue: 100})
	now := epoch
	it, _, _ := q.Offer(now, Ticket{}, nil)
	for range 20 { // each takes 100 ms
		_, refusal, _ := q.Offer(now, Ticket{}, nil)
		require.Nil(t, refusal)
		now = now.Add(100 * time.Millisecond)
		q.Done(now, it)
		it, _ = q.Next(now)
	}
	for range 9 {
		q.Offer(now, Ticket{}, nil)
	}
	_, refusal, _ := q.Offer(now, Ticket{Deadline: now.Add(500 * time.Millisecond)}, nil)
	require.Equal(t, DeadlineTooShort, refusal.Reason)
	require.InDelta(t, 0.6, refusal.RetryAfter.Seconds(), 0.15)
	_, refusal, _ = q.Offer(now, Ticket{Deadline: now.Add(3 * time.Second)}, nil)
	require.Nil(t, refusal)

	// The server is stalled and nothing ends, so the estimate must grow with time.
	_, refusal, _ = q.Offer(now.Add(10*time.Second), Ticket{Deadline: now.Add(13 * time.Second)}, nil)
	require.Equal(t, DeadlineTooShort, refusal.Reason)

	free := New(Config{Slots: 1})
	free.rate = q.rate
	_, refusal, _ = free.Offer(now, Ticket{Deadline: now.Add(time.Millisecond)}, nil)
	require.Nil(t, refusal)
}

// A VM was suspended: its monotonic clock did not advance, and the caller's
// deadline passed long ago. Either clock alone must be enough to detect this.
func TestExpiredByEitherClock(t *testing.T) {
	now := time.Now()
	deadline := now.Add(time.Second)
	require.False(t, Expired(now, deadline))
	require.True(t, Expired(now.Add(time.Second), deadline))
	suspended := now
	// The first word of a time.Time holds the wall clock's seconds from bit 30 on;
	// the monotonic reading, in the second word, is not changed.
	*(*uint64)(unsafe.Pointer(&suspended)) += 2 << 30
	require.Equal(t, 2*time.Second, suspended.Round(0).Sub(now.Round(0)))
	require.Zero(t, suspended.Sub(now))
	require.True(t, Expired(suspended, deadline))
	require.False(t, Expired(now, time.Time{}))
}

func BenchmarkOfferNextDone(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			names := make([]string, callers)
			for i := range names {
				names[i] = fmt.Sprint(i)
			}
			q := New(Config{Slots: 1, MaxQueue: 2 * callers})
			it, _, _ := q.Offer(epoch, Ticket{}, nil)
			deadline := epoch.Add(time.Hour)
			for i := range callers {
				q.Offer(epoch, Ticket{Caller: names[i], Weight: 1}, nil)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q.Offer(epoch, Ticket{Caller: names[i%callers], Weight: 1, Deadline: deadline}, nil)
				q.Done(epoch, it)
				it, _ = q.Next(epoch)
			}
		})
	}
}

// The server stalls once for a minute while a request waits, and is fast from then
// on. The gap between two ends is measured only while others wait, and every
// request that would wait is refused because of the old gap, so that the gap is
// never measured again. Callers then get deadline_too_short from a server that
// would serve them in 10 ms, and entries avoid it.
func TestOneStallDoesNotInflateLaterEstimates(t *testing.T) {
	q := New(Config{Slots: 1, MaxQueue: 10})
	now := time.Unix(1e6, 0)
	run := func(took time.Duration) {
		it, refusal, _ := q.Offer(now, Ticket{Caller: "shop", Weight: 1}, nil)
		require.Nil(t, refusal)
		now = now.Add(took)
		q.Done(now, it)
	}
	stalled, _, _ := q.Offer(now, Ticket{Caller: "shop", Weight: 1}, nil)
	_, refusal, _ := q.Offer(now, Ticket{Caller: "shop", Weight: 1}, nil)
	require.Nil(t, refusal)
	now = now.Add(time.Minute)
	q.Done(now, stalled)
	next, _ := q.Next(now)
	now = now.Add(10 * time.Millisecond)
	q.Done(now, next)
	for range 10_000 {
		run(10 * time.Millisecond)
	}
	_, refusal, _ = q.Offer(now, Ticket{Caller: "shop", Weight: 1}, nil)
	require.Nil(t, refusal)
	_, refusal, _ = q.Offer(now, Ticket{Caller: "shop", Weight: 1, Deadline: now.Add(5 * time.Second)}, nil)
	require.Nil(t, refusal, "refused for a wait of %v", q.Wait(now, Ticket{Caller: "shop", Weight: 1}))
}
