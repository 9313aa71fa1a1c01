package permits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/table"
)

// A service is shared if a route to it leaves its callers no time; engines and services with
// patient callers only keep the path without brokers.
func TestSharedServices(t *testing.T) {
	route := func(service string, kind table.Kind, objective, timeout time.Duration) *table.Route {
		return &table.Route{Name: service, Host: "h", Prefix: "/" + service + "/", Kind: kind, LatencyObjective: objective, Timeout: timeout, Targets: []table.Target{{Service: service, Weight: 1}}}
	}
	services := []table.Service{{Name: "impatient"}, {Name: "patient"}, {Name: "engine", Slots: 6}, {Name: "batch"}, {Name: "unstated"}}
	tb, err := table.New(1, []*table.Route{
		route("impatient", table.Safe, 150*time.Millisecond, 1500*time.Millisecond),
		route("patient", table.Safe, 150*time.Millisecond, 2*time.Second),
		route("engine", table.Safe, 150*time.Millisecond, 800*time.Millisecond),
		route("batch", table.Batch, 150*time.Millisecond, 800*time.Millisecond),
		route("unstated", table.Unsafe, 0, 800*time.Millisecond),
	}, services, table.Limits{})
	require.NoError(t, err)
	require.Equal(t, map[string]bool{"impatient": true}, SharedServices(tb, 10))
	require.Empty(t, SharedServices(tb, 0))
}
