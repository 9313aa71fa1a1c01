package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// offerAll puts the tickets in a queue without slots.
func offerAll(q *Queue, tickets ...Ticket) {
	for _, t := range tickets {
		q.SetMaxQueue(q.Waiting() + 1)
		t.Weight = 1
		q.Offer(epoch, t, nil)
	}
}

// order takes all items that fit and returns their IDs.
func order(q *Queue, fits func(*Item) bool) string {
	var ids string
	for it := q.Take(fits); it != nil; it = q.Take(fits) {
		ids += it.ID
	}
	return ids
}

func anyItem(*Item) bool { return true }

// Load: slots differ, and the first items fit none that is free. They must keep their
// turn, and their caller must not pay for others' starts.
func TestItemsThatDoNotFitKeepTheirTurn(t *testing.T) {
	q := New(Config{})
	offerAll(q,
		Ticket{ID: "1", Caller: "a"}, Ticket{ID: "2", Caller: "b"}, Ticket{ID: "3", Caller: "b"},
		Ticket{ID: "4", Caller: "b"}, Ticket{ID: "5", Caller: "a"}, Ticket{ID: "6", Caller: "c", Priority: -1},
	)
	require.Equal(t, "6", q.Take(func(it *Item) bool { return it.Priority < 0 }).ID)
	require.Equal(t, "3", q.Take(func(it *Item) bool { return it.ID == "3" }).ID)
	require.Nil(t, q.Take(func(*Item) bool { return false }))
	require.Equal(t, "1524", order(q, anyItem))
}

// A search in vain must not earn lower classes starts: after an hour of a full fleet they
// would get all of them.
func TestSearchInVainEarnsNoCredit(t *testing.T) {
	q := New(Config{LowerShare: 0.1})
	for range 10 {
		offerAll(q, Ticket{ID: "h", Caller: "a", Priority: 1}, Ticket{ID: "l", Caller: "a"})
	}
	for range 100 {
		require.Nil(t, q.Take(func(*Item) bool { return false }))
	}
	require.Equal(t, "hhhhhhhhh", order(q, func(it *Item) bool { return q.Waiting() > 11 }))
}

// Failure: an item is lost or taken twice, or the sums that estimates rest on drift, when
// items are taken from the middle, cancelled and displaced.
func TestTakeLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{})
		waiting := map[*Item]bool{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			var it *Item
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0, 1, 2:
				q.SetMaxQueue(q.Waiting() + 1)
				added, refusal, _ := q.Offer(epoch.Add(time.Second), Ticket{
					Caller: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "caller"), Weight: 1,
					Cost:     float64(rapid.IntRange(1, 4).Draw(t, "cost")),
					Priority: rapid.IntRange(0, 1).Draw(t, "priority"),
				}, nil)
				require.Nil(t, refusal)
				waiting[added] = true
				continue
			case 3:
				cost := float64(rapid.IntRange(1, 4).Draw(t, "fits"))
				it = q.Take(func(it *Item) bool { return it.Cost >= cost })
			case 4:
				it = q.Yield()
			case 5:
				it = q.Take(anyItem)
			}
			if it != nil {
				require.True(t, waiting[it], "not waiting")
				require.False(t, it.Waiting())
				delete(waiting, it)
			}
			var cost float64
			for w := range waiting {
				cost += w.Cost
			}
			require.Equal(t, len(waiting), q.Waiting())
			require.InDelta(t, cost, q.Cost(), 1e-9)
		}
		order(q, anyItem)
		require.Zero(t, q.Waiting())
	})
}
