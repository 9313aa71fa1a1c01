package cold

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/decide/table"
)

var epoch = time.Unix(1_800_000_000, 0)

func TestBound(t *testing.T) {
	b := Bound{Rate: 13, Excess: 1.5, Slack: 5}
	require.Equal(t, 24, b.Burst())
	require.Equal(t, 13, b.Steady())
	require.Equal(t, 1, Bound{Rate: 0.2, Excess: 1, Slack: 1}.Steady())
	require.Equal(t, 0, Bound{Rate: 0.2, Excess: 1}.Steady())
}

// Shares that sum to more than the total, or that rise with the rank, break the bound.
func TestSharesFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 300).Draw(t, "total")
		shares, sum := Shares(total), 0
		for i, s := range shares {
			sum += s
			if i > 0 {
				require.LessOrEqual(t, s, shares[i-1])
			}
		}
		require.Equal(t, total, sum)
		require.Zero(t, Place{}.Share(total))
		require.Zero(t, Place{Rank: maxRanks + 1}.Share(total))
		parts := Split(total, Uses{Samples: rapid.Bool().Draw(t, "samples"), Callers: rapid.Bool().Draw(t, "callers"), Granted: rapid.Bool().Draw(t, "granted")})
		require.Equal(t, total, parts.Samples+parts.Broker+parts.Other+parts.Floor)
	})
}

// A share that is larger while the server is known to be cold breaks the bound as long as others don't
// know it.
func TestSharesOfAColdServerAreNoLarger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bound{Rate: float64(rapid.IntRange(0, 400).Draw(t, "rate")) / 4, Excess: 1 + rapid.Float64Range(0, 1).Draw(t, "excess"), Slack: float64(rapid.IntRange(0, 9).Draw(t, "slack"))}
		uses := Uses{Samples: rapid.Bool().Draw(t, "samples"), Callers: rapid.Bool().Draw(t, "callers"), Granted: rapid.Bool().Draw(t, "granted")}
		warm, known := b.Parts(uses, false), b.Parts(uses, true)
		require.LessOrEqual(t, known.Floor, warm.Floor)
		require.LessOrEqual(t, known.Broker+known.Other, warm.Broker+warm.Other)
		for rank := range maxRanks + 2 {
			p := Place{Rank: rank, Known: rank, Settled: true, Fresh: true}
			require.LessOrEqual(t, b.SampleShare(uses, p, true), b.SampleShare(uses, p, false))
		}
	})
}

// Processes without a grant that together send more than the floor, because a few have not heard of
// the newest ones, break the bound.
func TestFloorsFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 60).Draw(t, "total")
		n := rapid.IntRange(1, 64).Draw(t, "processes")
		var all []string
		for i := range n {
			all = append(all, fmt.Sprintf("vm-%d", i))
		}
		unknown := rapid.IntRange(0, (n-1)/(roomShare+1)).Draw(t, "unknown")
		sum := 0
		for i, name := range all {
			known := all
			if i < n-unknown { // those that were there before have not heard of the newest
				known = all[:n-unknown]
			}
			sum += FloorShare(total, "s-1", name, known)
		}
		require.LessOrEqual(t, sum, total)
	})
	require.Zero(t, FloorShare(6, "s-1", "vm-1", nil))
}

// A window that forgets a request before a second has passed lets through more than its limit in
// some second.
func TestWindowSlides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 5).Draw(t, "limit")
		sends := NewSends(epoch)
		var sent []time.Time
		now := epoch
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if sends.Take("s", limit, now) {
				sent = append(sent, now.Add(time.Duration(rapid.IntRange(0, int(MaxSendDelay/time.Millisecond)).Draw(t, "delay"))*time.Millisecond))
			}
		}
		requireBound(t, sent, limit)
		for _, at := range sent {
			require.False(t, at.Before(epoch.Add(time.Second)), "within the second after its start")
		}
	})
}

// requireBound requires that no second has more than limit of the times.
func requireBound(t require.TestingT, sent []time.Time, limit int) {
	slices.SortFunc(sent, time.Time.Compare)
	for i := range sent {
		inSecond := 0
		for _, at := range sent[i:] {
			if at.Sub(sent[i]) <= time.Second {
				inSecond++
			}
		}
		require.LessOrEqual(t, inSecond, limit)
	}
}

func TestUsesOf(t *testing.T) {
	to := func(service string, kind table.Kind) *table.Route {
		return &table.Route{Kind: kind, Targets: []table.Target{{Service: service, Weight: 1}}}
	}
	tbl := &table.Table{Routes: []*table.Route{to("engines", table.Batch), to("plain", table.Safe), to("both", table.Batch), to("both", table.Stream)}}
	require.Equal(t, Uses{Samples: true}, UsesOf(tbl, "engines", false))
	require.Equal(t, Uses{Callers: true, Granted: true}, UsesOf(tbl, "plain", true))
	require.Equal(t, Uses{Samples: true, Callers: true}, UsesOf(tbl, "both", false))
	require.Equal(t, Parts{Samples: 24}, Split(24, Uses{Samples: true}))
	require.Equal(t, Parts{Broker: 16, Other: 4, Floor: 4}, Split(24, Uses{Callers: true, Granted: true}))
	require.Equal(t, Parts{Samples: 12, Floor: 12}, Split(24, Uses{Samples: true, Callers: true}))
}
