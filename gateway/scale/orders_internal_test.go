package scale

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/scale"
)

// Failure: a failure domain is evacuated while an order for it waits for the platform's interface. Guards
// against an order that is sent meanwhile, or lost.
func TestOrdersForAnEvacuatedDomainWait(t *testing.T) {
	var o orders
	o.put(subject{"s", "x"}, scale.Target{Domain: "x", From: 2, To: 4}, 0)
	o.put(subject{"s", "y"}, scale.Target{Domain: "y", From: 2, To: 3}, 0)
	o.put(subject{"t", "x"}, scale.Target{Domain: "x", From: 2, To: 5}, 0)
	o.withhold("s", []string{"x"})
	require.Equal(t, []subject{{"t", "x"}, {"s", "y"}}, o.next())
	o.withhold("s", nil)
	require.Equal(t, []subject{{"t", "x"}, {"s", "x"}, {"s", "y"}}, o.next())
}
