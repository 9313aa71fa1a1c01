package metrics

import (
	"expvar"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against the panic of expvar on a name that is published twice: a process
// may create a part twice (in a test, after a reconnect), so the second call must
// return the same counter or replace the gauge's function.
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
