package permits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A server that may be cold gets more permits within a window than it may, by a burst of asks, hedges
// among them, while places are free, or from a broker that has just taken over from another.
func TestServerThatMayBeColdGetsFewPermits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, _ := fleet(Config{}, times, 1, 1)
		limit := rapid.IntRange(0, 4).Draw(t, "limit")
		b.SetServers(epoch, []Server{{ID: "s00", Slots: 50, IsBounded: true, Grants: limit}, {ID: "s01", Slots: 1}})
		var granted []time.Time
		now := epoch
		record := func(all []Decision) {
			for _, d := range all {
				if d.Kind == Granted && d.Server == "s00" {
					granted = append(granted, now)
					b.Report(now, done(d))
				}
			}
		}
		for i := range rapid.IntRange(0, limit).Draw(t, "taken over") {
			b.InUse(now, AskID{"other", uint64(i + 1)}, "s00")
			granted = append(granted, now)
		}
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * ms)
			record(b.Tick(now))
			record(b.Ask(now, ask(Ask{NoWait: rapid.Bool().Draw(t, "hedge")})))
		}
		for i := range granted {
			within := 0
			for _, at := range granted[i:] {
				if at.Sub(granted[i]) < GrantWindow {
					within++
				}
			}
			require.LessOrEqual(t, within, limit)
		}
	})
}
