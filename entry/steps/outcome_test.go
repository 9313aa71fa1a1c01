package steps_test

import (
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/entry/fleet"
	"dandelionsill.org/entry/steps"
)

// outcomeCounter is a fleet that counts the failures reported of its servers.
type outcomeCounter struct {
	*fakeFleet
	failed atomic.Int64
}

func (f *outcomeCounter) Begin(name string) func(fleet.Outcome) {
	end := f.fakeFleet.Begin(name)
	return func(o fleet.Outcome) {
		if o == fleet.Failed {
			f.failed.Add(1)
		}
		end(o)
	}
}

// Nothing fails in a long step. Some of its samples wait in an agent's queue and are sent to
// another server that has a free slot; others are moved, and their old streams end as
// cancelled. If the entry reported these as failures, healthy engines would be ejected for
// trainers and application callers alike.
func TestLongStepReportsNoFailures(t *testing.T) {
	inBubble(t, func(w *world) {
		w.agents(3, 4, 100)
		for _, a := range w.fleet.agents {
			a.length = func(seed uint64) int { return 80 + int(seed*7919)%320 }
		}
		counter := &outcomeCounter{fakeFleet: w.fleet}
		w.entry("a", func(c *steps.Config) { c.Fleet = counter })
		w.run(w.client("a"), step(16, 8))
		require.Zero(t, counter.failed.Load())
	})
}
