package jobs_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	fold "dandelionsill.org/fold/jobs"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/gateway/jobs"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// overload is a period in which the store accepts fewer reads than its followers make.
type overload struct {
	entries int
	// readsPerS is the store's rate of reads for all entries together.
	readsPerS int
	slow      time.Duration // of each read
	jobs      int
	// unavailable are the streams that can't be read for a part of the period.
	unavailable []string
	// restarts is how many entries restart meanwhile.
	restarts int
}

var overloads = rapid.Custom(func(t *rapid.T) overload {
	return overload{
		entries:     rapid.IntRange(3, 6).Draw(t, "entries"),
		readsPerS:   rapid.IntRange(5, 40).Draw(t, "reads a second"),
		slow:        time.Duration(rapid.IntRange(0, 80).Draw(t, "ms a read")) * time.Millisecond,
		jobs:        rapid.IntRange(2, 5).Draw(t, "jobs"),
		unavailable: rapid.SampledFrom([][]string{nil, {jobs.Stream}, {"texts"}}).Draw(t, "away"),
		restarts:    rapid.IntRange(0, 2).Draw(t, "restarts"),
	}
})

// A fleet has grown until its followers need more reads than the store accepts: most reads are
// refused, followers fall behind, and some restart and read all records through the same store.
// Meanwhile an entry may answer that it does not know, but never that an accepted job does not
// exist. Afterwards every entry returns every accepted job complete, with the results at the
// same positions.
func TestFollowersOfOverloadedStoreLoseNothing(t *testing.T) {
	t.Parallel()
	for seed := range 6 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			overloads.Example(seed).run(t)
		})
	}
}

func (o overload) run(t *testing.T) {
	t.Logf("%+v", o)
	pf := gatewaytest.NewPlatform(t, 2, 1)
	for _, e := range pf.Engines {
		e.EventInterval, e.Events = 5*time.Millisecond, 40
	}
	var entries []*entry
	for i := range o.entries {
		entries = append(entries, newEntry(t, pf, fmt.Sprintf("n%d", i)))
	}
	pf.Store.Fail(hostedtest.StoreFaults{MaxReadsPerSecond: o.readsPerS, ReadTime: o.slow})
	var accepted []string
	for i := range o.jobs {
		id := fmt.Sprintf("j%d", i)
		if entries[i%o.entries].accepts(t, id) {
			accepted = append(accepted, id)
		}
	}
	for i := range o.restarts {
		entries[i].Stop()
		entries[i] = startEntry(t, pf, fmt.Sprintf("n%d", i), "2")
	}
	if o.unavailable != nil {
		pf.Store.Fail(hostedtest.StoreFaults{MaxReadsPerSecond: o.readsPerS, ReadTime: o.slow, UnavailableTopics: o.unavailable})
	}
	for _, e := range entries {
		for _, id := range accepted {
			requireNeverNotFound(t, e, id)
		}
	}
	pf.Store.Fail(hostedtest.StoreFaults{})
	for _, id := range accepted {
		first := entries[0].results(t, id, 2)
		requireComplete(t, first, 40)
		for _, e := range entries[1:] {
			require.Equal(t, itemOrder(first), itemOrder(e.results(t, id, 2)), "%s at another entry", id)
		}
	}
}

// accepts submits a job and reports whether it is accepted. A trainer would submit a refused job
// again at another entry; the test does not.
func (e *entry) accepts(t *testing.T, id string) bool {
	spec, items := decode(t, id, hostedtest.Job(id, "m", 2, 1))
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	return e.service.Submit(ctx, spec, items) == nil
}

// requireNeverNotFound reads an accepted job once.
func requireNeverNotFound(t *testing.T, e *entry, id string) {
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, _, err := e.service.Results(ctx, id, 0, 0)
	if err != nil {
		require.NotEqual(t, string(kinds.NotFound), err.Kind(), "%s was accepted", id)
	}
}

// itemOrder returns the items in the order of their positions.
func itemOrder(results []fold.Result) []string {
	var ids []string
	for _, r := range results {
		ids = append(ids, r.Item)
	}
	return ids
}
