package jobs_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	fold "dandelionsill.org/fold/jobs"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/gateway/jobs"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// An entry is asked to stop during an outage of the store. No other process can take over its
// jobs then, so stopping its samples would lose all text since the start of the outage. They
// continue until the store is available again and has stored the release.
func TestDrainingOwnerContinuesInOutage(t *testing.T) {
	t.Parallel()
	pf := gatewaytest.NewPlatform(t, 1, 1)
	pf.Engines[0].EventInterval, pf.Engines[0].Events = 10*time.Millisecond, 300
	a, b := newEntry(t, pf, "a"), newEntry(t, pf, "b")
	a.submit(t, "j", 4, 1)
	require.Eventually(t, func() bool { return reportedEvents(pf, "j") >= 6 }, gatewaytest.MaxWait, time.Millisecond)
	pf.Store.Fail(hostedtest.StoreFaults{Down: true})
	a.runner.Drain()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	require.False(t, a.runner.WaitDrained(ctx))
	require.Equal(t, 4, pf.Engines[0].InFlight())
	pf.Store.Fail(hostedtest.StoreFaults{})
	require.True(t, a.runner.WaitDrained(t.Context()))
	requireComplete(t, b.results(t, "j", 4), 300)
	require.Positive(t, resumed(pf.Engines))
}

// The store is slow with appends. An owner's heartbeats take longer than usual, because each
// waits behind an append of texts. The other processes see that their own appends take as long
// and do not claim its jobs: after a needless claim every sample reads its prompt again.
func TestSlowStoreCausesNoClaims(t *testing.T) {
	t.Parallel()
	pf := gatewaytest.NewPlatform(t, 1, 1)
	pf.Engines[0].EventInterval, pf.Engines[0].Events = 50*time.Millisecond, 100
	a, b := newEntry(t, pf, "a"), newEntry(t, pf, "b")
	a.submit(t, "j", 4, 1)
	pf.Store.Fail(hostedtest.StoreFaults{AppendTime: 700 * time.Millisecond})
	requireComplete(t, b.results(t, "j", 4), 100)
	requireNoClaims(t, pf)
}

// requireNoClaims checks that no process claimed a job.
func requireNoClaims(t *testing.T, pf *gatewaytest.Platform) {
	for _, data := range pf.Store.Records(jobs.Stream) {
		r, err := fold.Decode(data)
		require.NoError(t, err)
		require.Empty(t, r.Claims)
	}
}

// The store carries out the append, but its answer is lost for as long as the trainer waits.
// The entry must not report "not run", because the job does run.
func TestLostAppendIsNotReportedAsNotRun(t *testing.T) {
	t.Parallel()
	pf := gatewaytest.NewPlatform(t, 1, 1)
	e := newEntry(t, pf, "a")
	pf.Store.Fail(hostedtest.StoreFaults{DelayAppends: 300 * time.Millisecond, Topic: jobs.Stream})
	spec, items := decode(t, "j", hostedtest.Job("j", "m", 2, 1))
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	err := e.service.Submit(ctx, spec, items)
	require.NotNil(t, err)
	require.False(t, err.NotRun())
	pf.Store.Fail(hostedtest.StoreFaults{})
	requireComplete(t, e.results(t, "j", 2), 5)
}

// The answer is lost once, but the job is found in the log: it is accepted.
func TestJobFoundInLogIsAccepted(t *testing.T) {
	t.Parallel()
	pf := gatewaytest.NewPlatform(t, 1, 1)
	e := newEntry(t, pf, "a")
	pf.Store.Fail(hostedtest.StoreFaults{LoseAppends: true, Topic: jobs.Stream})
	spec, items := decode(t, "j", hostedtest.Job("j", "m", 2, 1))
	require.Nil(t, e.service.Submit(t.Context(), spec, items))
}

// The store refuses appends: when the trainer's time is up, the answer says that nothing ran
// and when to retry.
func TestRefusingStoreIsReportedAsNotRun(t *testing.T) {
	t.Parallel()
	pf := gatewaytest.NewPlatform(t, 1, 1)
	e := newEntry(t, pf, "a")
	pf.Store.Fail(hostedtest.StoreFaults{ReadOnly: true})
	spec, items := decode(t, "j", hostedtest.Job("j", "m", 2, 1))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	err := e.service.Submit(ctx, spec, items)
	require.True(t, err.NotRun())
	require.Positive(t, err.Answer().RetryAfter)
	pf.Store.Fail(hostedtest.StoreFaults{})
	_, missing := e.service.Body(t.Context(), "j", "j-i0")
	require.Equal(t, string(kinds.NotFound), missing.Kind())
}

// One entry accepts a job, and its trainer submits it again at another entry, which has read
// nothing since: it was partitioned from the store, and still is. It must not report "not run"
// for a job that runs.
func TestEntryThatCannotReadNeverReportsNotRun(t *testing.T) {
	t.Parallel()
	pf := gatewaytest.NewPlatform(t, 1, 1)
	a, b := newEntry(t, pf, "a"), newEntry(t, pf, "b")
	b.Stop()
	a.submit(t, "j", 2, 1)
	pf.Store.Fail(hostedtest.StoreFaults{Down: true})
	spec, items := decode(t, "j", hostedtest.Job("j", "m", 2, 1))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	err := b.service.Submit(ctx, spec, items)
	require.Equal(t, string(kinds.OutcomeUnknown), err.Kind())
}

// A step is complete, and the store becomes unavailable before its trainer has read the last
// results. They are listed, and the process that wrote them still has the texts: every entry
// can return them during the outage.
func TestListedResultsAreReadableInOutage(t *testing.T) {
	t.Parallel()
	pf := gatewaytest.NewPlatform(t, 1, 1)
	a, b := newEntry(t, pf, "a"), newEntry(t, pf, "b")
	peer := httptest.NewServer(a.index.Texts)
	t.Cleanup(peer.Close)
	b.index.Texts.SetPeers(func(vm string) string {
		return map[string]string{"a": strings.TrimPrefix(peer.URL, "http://")}[vm]
	})
	a.submit(t, "j", 4, 1)
	fromA := a.results(t, "j", 4)
	require.True(t, b.index.Sync(t.Context()))
	pf.Store.Fail(hostedtest.StoreFaults{Down: true})
	_, fromB, err := b.service.Results(t.Context(), "j", 0, 0)
	require.Nil(t, err)
	require.Equal(t, fromA, fromB)
}

// A job that this entry has not read about may exist. Without the log the entry can't be sure,
// so it must not answer "not found".
func TestUnknownJobIsNotFoundOnlyWithLog(t *testing.T) {
	t.Parallel()
	pf := gatewaytest.NewPlatform(t, 0, 0)
	e := newEntry(t, pf, "a")
	_, _, err := e.service.Results(t.Context(), "nope", 0, 0)
	require.Equal(t, string(kinds.NotFound), err.Kind())
	pf.Store.Fail(hostedtest.StoreFaults{Down: true})
	_, _, err = e.service.Results(t.Context(), "nope", 0, 0)
	require.Equal(t, string(kinds.LogUnavailable), err.Kind())
}
