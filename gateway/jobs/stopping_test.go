package jobs_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	fold "dandelionsill.org/fold/jobs"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/gateway/jobs"
	"dandelionsill.org/gateway/stopping"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// Guards against a batch job that its trainer gives to a stopping process, and that waits until that counts as gone.
func TestStoppingProcessBecomesNoOwner(t *testing.T) {
	t.Parallel()
	pf := gatewaytest.NewPlatform(t, 1, 1)
	a, b := newEntry(t, pf, "a"), newEntry(t, pf, "b")
	stop := stopping.New(stopping.Times{Arrivals: time.Hour, Finish: time.Hour, Answer: time.Hour}, nil)
	a.service.SetStop(stop)
	a.submit(t, "before", 2, 1)
	requireComplete(t, b.results(t, "before", 2), 5)
	stop.Begin()
	a.submit(t, "after", 2, 1) // its runner has not said yet that it leaves
	requireComplete(t, b.results(t, "after", 2), 5)
	for _, data := range pf.Store.Records(jobs.Stream) {
		r, err := fold.Decode(data)
		require.NoError(t, err)
		if r.Acceptance == nil || r.Acceptance.ID != "after" {
			continue
		}
		require.NotNil(t, r.Acceptance.Owner)
		require.NotEqual(t, "a", r.Acceptance.Owner.VM)
	}
}

// Guards against a process that ends before it has released a job that it was given while it stopped.
func TestDrainWaitsForTheReleaseOfAJobGivenMeanwhile(t *testing.T) {
	t.Parallel()
	pf := gatewaytest.NewPlatform(t, 1, 1)
	a, b := newEntry(t, pf, "a"), newEntry(t, pf, "b")
	a.runner.Drain()
	pf.Store.Fail(hostedtest.StoreFaults{AppendTime: 50 * time.Millisecond})
	a.submit(t, "j", 2, 1)
	_, _, unknown := a.service.Results(t.Context(), "j", 0, 0) // reads the log up to its end
	require.Nil(t, unknown)
	require.True(t, a.runner.WaitDrained(t.Context()))
	released := false
	for _, data := range pf.Store.Records(jobs.Stream) {
		r, err := fold.Decode(data)
		require.NoError(t, err)
		for _, id := range r.Releases {
			released = released || id == "j"
		}
	}
	require.True(t, released)
	requireComplete(t, b.results(t, "j", 2), 5)
}
