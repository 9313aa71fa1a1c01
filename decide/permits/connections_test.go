package permits

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/evidence"
)

// Load: thin traffic of many gateways. A gateway gets the servers that it is connected to, as long
// as they have room: each new connection costs a round trip and a place.
func TestServersWithConnectionsFirst(t *testing.T) {
	b, _ := fleet(Config{}, times, paces(8, 0, 1)...)
	used := map[string]bool{}
	now := epoch
	for range 40 {
		d := last(b.Ask(now, ask(Ask{Domain: "d1"})))
		used[d.Server] = true
		now = now.Add(25 * ms)
		b.Report(now, Report{ID: d.ID, Server: d.Server, Route: "lookup", Took: 25 * ms, Outcome: evidence.Answered})
		now = now.Add(75 * ms)
	}
	require.Len(t, used, 1)
	require.Len(t, fill(t, b, now), 8*slots, "places count more than connections")
	b.Tick(now.Add(connectionIdle + second))
	require.Empty(t, b.connections)
}
