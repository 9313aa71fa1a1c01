package permits

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Load: one organisation crowds 200 others at a service whose places are all in use.
func TestOverviewNamesWhoCrowds(t *testing.T) {
	b, _ := fleet(Config{}, times, 1)
	const others = 200
	patient := Ask{Objective: time.Minute, Deadline: time.Minute}
	use := func(organisation string, n int) {
		for range n {
			a := patient
			a.Organisation = organisation
			b.Ask(epoch, ask(a))
		}
	}
	use("large", slots+30)
	for i := range others {
		use(fmt.Sprintf("small-%03d", i), 1)
	}
	internal := patient
	internal.Internal = true
	b.Ask(epoch, ask(internal))
	b.Ask(epoch, ask(Ask{NoWait: true, Objective: time.Minute, Deadline: time.Minute}))
	b.Ask(epoch, ask(Ask{Objective: ms, Deadline: 2 * ms}))

	o := b.Overview(epoch.Add(700*ms), 3)
	require.Equal(t, Waiting{Internal: 1, Callers: 30 + others}, o.Waiting)
	require.Equal(t, []int{slots, slots}, []int{o.Places, o.InUse})
	require.Equal(t, Refusals{NoWait: 1, DeadlineTooShort: 1}, o.Refused)
	require.Equal(t, 2, o.Refused.Total())
	require.Equal(t, 700*ms, o.OldestWait)
	require.Positive(t, o.DrainRate)
	require.Equal(t, 1+others, o.Organisations)
	require.Equal(t, []OrganisationLoad{{"large", 30, slots}, {"small-000", 1, 0}, {"small-001", 1, 0}}, o.Top)
	require.Zero(t, b.Overview(epoch.Add(2*time.Second), 3).Refused.Total(), "after a second")
}

// Failure: the last server leaves. Refusals are counted with that reason.
func TestOverviewWithoutServers(t *testing.T) {
	b, _ := fleet(Config{}, times)
	b.Ask(epoch, ask(Ask{}))
	require.Equal(t, Overview{Refused: Refusals{NoServer: 1}, Top: []OrganisationLoad{}}, b.Overview(epoch, 3))
}
