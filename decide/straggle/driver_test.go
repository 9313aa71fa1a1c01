package straggle_test

import (
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/decide/straggle"
)

// driver exercises a plan with random events: it holds the runs that the plan
// has started and ends them in any way.
type driver struct {
	plan                      *straggle.Plan
	now                       time.Duration
	runs                      []*driverRun
	finished                  map[int]bool
	backoffEnds               []time.Duration
	maxTokensBetweenDecisions int // of all runs together
}

type driverRun struct {
	straggle.Action
	tokens, chunks int
	last           time.Duration
}

func newDriver(p *straggle.Plan) *driver {
	return &driver{plan: p, finished: map[int]bool{}}
}

func (d *driver) removeRun(id straggle.RunID) {
	d.runs = slices.DeleteFunc(d.runs, func(r *driverRun) bool { return r.Run == id })
}

func (d *driver) copiesBySample() map[int]int {
	n := map[int]int{}
	for _, r := range d.runs {
		n[r.Sample]++
	}
	return n
}

func (d *driver) countBackoffs() int {
	n := 0
	for _, at := range d.backoffEnds {
		if at > d.now {
			n++
		}
	}
	return n
}

func (d *driver) cancel(t *rapid.T, acts []straggle.Action) {
	for _, a := range acts {
		require.Equal(t, straggle.Cancel, a.Kind)
		d.removeRun(a.Run)
	}
}

// randomEvent lets streams generate tokens and then makes one random thing
// happen: a result is found elsewhere, a run finishes or a run is lost.
func (d *driver) randomEvent(t *rapid.T, total int) {
	made := 0
	for _, r := range d.runs {
		if n := rapid.IntRange(0, 20).Draw(t, "tokens"); n > 0 && r.tokens+n < 400 {
			r.tokens, r.chunks, r.last = r.tokens+n, r.chunks+1, d.now
			made += n
			d.plan.Observe(r.Run, r.tokens, r.chunks, 1, d.now)
		}
	}
	d.maxTokensBetweenDecisions = max(d.maxTokensBetweenDecisions, 2*made+400)
	if rapid.IntRange(0, 9).Draw(t, "found elsewhere") == 0 {
		s := rapid.IntRange(0, total-1).Draw(t, "sample")
		won, acts := d.plan.FinishedElsewhere(s, 50)
		require.Equal(t, !d.finished[s], won)
		d.finished[s] = true
		d.cancel(t, acts)
	}
	if len(d.runs) == 0 {
		return
	}
	r := d.runs[rapid.IntRange(0, len(d.runs)-1).Draw(t, "run")]
	switch rapid.IntRange(0, 3).Draw(t, "end") {
	case 0:
		d.removeRun(r.Run)
		won, acts := d.plan.Finished(r.Run, max(1, r.tokens), d.now)
		require.True(t, won)
		d.finished[r.Sample] = true
		d.cancel(t, acts)
		won, _ = d.plan.Finished(r.Run, max(1, r.tokens), d.now)
		require.False(t, won, "a late second result")
	case 1:
		d.removeRun(r.Run)
		backoff := time.Duration(rapid.IntRange(0, 3).Draw(t, "backoff")) * 200 * time.Millisecond
		d.plan.Lost(r.Run, rapid.IntRange(0, r.tokens).Draw(t, "keep"), backoff, d.now)
		d.backoffEnds = append(d.backoffEnds, d.now+backoff)
	}
}

// decide carries out the plan's decisions and returns the number of slots that
// are still free.
func (d *driver) decide(t *rapid.T) int {
	const slots = 3
	at := map[string]int{}
	for _, r := range d.runs {
		at[r.Server]++
	}
	pool := servers(slots-at["vm-a"], slots-at["vm-b"], slots-at["vm-c"])
	free := 0
	for _, s := range pool {
		free += max(0, s.Free)
	}
	for _, a := range d.plan.Next(d.now, pool) {
		switch a.Kind {
		case straggle.Cancel:
			d.removeRun(a.Run)
		default:
			d.plan.Started(a.Run, 0)
			d.runs = append(d.runs, &driverRun{Action: a, last: d.now})
			free--
		}
	}
	if d.hasStalls(pool) {
		return 0 // not all of the free slots are usable
	}
	return free
}

// hasStalls reports whether the plan may have excluded a server because of a
// stall.
func (d *driver) hasStalls([]straggle.Server) bool { return d.plan.Stats().Stalls > 0 }
