package metrics

import (
	"expvar"
	"testing"

	"github.com/stretchr/testify/require"
)

// expvar panics on a name that is published twice, and a process may build a
// part twice (a test, a reconnect): the second call gets the same counter.
func TestPublishingTwiceReusesTheName(t *testing.T) {
	before := Counter("test_total").Value()
	Counter("test_total").Add(2)
	Counter("test_total").Add(3)
	require.Equal(t, Counter("test_total"), expvar.Get("test_total"))
	require.Equal(t, before+5, Counter("test_total").Value())
	Gauge("test_gauge", func() any { return 1 })
	Gauge("test_gauge", func() any { return 2 })
	require.Equal(t, "2", expvar.Get("test_gauge").String())
}
