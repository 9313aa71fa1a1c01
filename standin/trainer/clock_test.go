package trainer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Groups come faster than the trainer trains, then late: it is idle only from
// the end of what it held until the next group.
func TestClock(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	c := NewClock(start, 2*time.Second)
	require.Equal(t, 3*time.Second, c.AddGroup(at(3)), "nothing to train on before the first group")
	require.Zero(t, c.AddGroup(at(4)))
	require.Equal(t, at(7), c.BusyUntil())
	require.Zero(t, c.AddGroup(at(5)))
	require.Equal(t, time.Second, c.AddGroup(at(10)))
	require.Equal(t, at(12), c.BusyUntil())
}
