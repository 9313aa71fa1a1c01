package jobs_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/poison"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/platform/hosted/hostedtest"
)

func countCrashed(servers []*hostedtest.Server) int {
	n := 0
	for _, s := range servers {
		if s.Crashed() {
			n++
		}
	}
	return n
}

// One sample of a step crashes each engine that starts it. A crash of the engine is not counted
// as a failure of the sample, so its owner moved it from engine to engine until none was left
// for the whole step. With the quarantine the fourth engine never gets it: the step's other
// samples are complete, also those that ran at the crashed engines.
func TestSampleThatCrashesEnginesIsQuarantined(t *testing.T) {
	t.Parallel()
	pf := gatewaytest.NewPlatform(t, 6, 1)
	for _, s := range pf.Engines {
		s.Fail(hostedtest.ServerFaults{CrashOn: "/jobs/x/j-i0"})
	}
	e := newEntry(t, pf, "a")
	e.submit(t, "j", 6, 1)
	requireComplete(t, e.results(t, "j", 5), pf.Engines[0].Events)
	require.Eventually(t, func() bool { return countCrashed(pf.Engines) == poison.QuarantineThreshold }, gatewaytest.MaxWait, time.Millisecond)

	// The trainer submits the same sample again, in a later job and at another owner.
	other := newEntry(t, pf, "b")
	spec, items := decode(t, "k", hostedtest.Job("j", "m", 2, 1))
	require.Nil(t, other.service.Submit(t.Context(), spec, items))
	requireComplete(t, other.results(t, "k", 1), pf.Engines[0].Events)
	require.Equal(t, poison.QuarantineThreshold, countCrashed(pf.Engines))
	for _, job := range []string{"j", "k"} {
		_, results, err := other.service.Results(t.Context(), job, 0, 0)
		require.Nil(t, err)
		for _, r := range results {
			require.NotEqual(t, "j-i0", r.Item, "a quarantined sample must not be reported as a result")
		}
	}
}

// The call for one sample's score crashes each server that runs it, and is repeated as long as
// the sample's job is open. The remaining servers score the other samples.
func TestScoreThatCrashesServersIsQuarantined(t *testing.T) {
	t.Parallel()
	pf := gatewaytest.NewPlatform(t, 2, 5)
	for _, s := range pf.Servers {
		s.Fail(hostedtest.ServerFaults{CrashOn: "/score/j-i0"})
	}
	e := newEntry(t, pf, "a")
	e.submit(t, "j", 6, 1)
	requireComplete(t, e.results(t, "j", 5), pf.Engines[0].Events)
	require.Eventually(t, func() bool { return countCrashed(pf.Servers) == poison.QuarantineThreshold }, gatewaytest.MaxWait, time.Millisecond)
	e.submit(t, "k", 4, 1)
	requireComplete(t, e.results(t, "k", 4), pf.Engines[0].Events)
	require.Equal(t, poison.QuarantineThreshold, countCrashed(pf.Servers))
}
