package jobs_test

import (
	"strconv"
	"sync/atomic"
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

// crashUnder makes the next n of the servers crash that start a request to a path.
func crashUnder(path string, n int, servers []*hostedtest.Server) {
	left := &atomic.Int64{}
	left.Store(int64(n))
	for _, s := range servers {
		s.Fail(hostedtest.ServerFaults{CrashOn: path, Crashes: left})
	}
}

// Failure: one engine goes down and up again and again, each time under all samples of a step. Guards against
// samples that are run nowhere afterwards, in this step and in a later one at another owner.
func TestSamplesOfAFlappingEngineAreRunAgain(t *testing.T) {
	t.Parallel()
	const samples = 4
	pf := gatewaytest.NewPlatform(t, 1, 1)
	e, other := newEntry(t, pf, "a"), newEntry(t, pf, "b")
	pf.Engines[0].EventInterval = time.Hour
	e.submit(t, "j", samples, 1)
	for i := range poison.QuarantineThreshold + 1 {
		down := pf.Engines[0]
		require.Eventually(t, func() bool { return down.InFlight() == samples }, gatewaytest.MaxWait, time.Millisecond)
		down.Crash()
		pf.Store.Drop(hostedtest.TopicServers, down.ID)
		up := pf.NewEngine(t, "e0-"+strconv.Itoa(i))
		if i < poison.QuarantineThreshold {
			up.EventInterval = time.Hour
		}
		pf.Engines[0] = up
		pf.Register(up, "ready")
	}
	requireComplete(t, e.results(t, "j", samples), pf.Engines[0].Events)
	spec, items := decode(t, "k", hostedtest.Job("j", "m", samples, 1))
	require.Nil(t, other.service.Submit(t.Context(), spec, items))
	requireComplete(t, other.results(t, "k", samples), pf.Engines[0].Events)
}

// Failure: in a burst of crashes several engines end while they run the same sample. Guards against a sample that is
// never placed again although the engines that are left have room, in its job or when it is submitted again.
func TestSampleIsOwedHoweverManyEnginesCrashUnderIt(t *testing.T) {
	t.Parallel()
	const crashes = poison.QuarantineThreshold + 2
	pf := gatewaytest.NewPlatform(t, crashes+1, 1)
	crashUnder("/jobs/x/j-i0", crashes, pf.Engines)
	e := newEntry(t, pf, "a")
	e.submit(t, "j", 6, 1)
	requireComplete(t, e.results(t, "j", 6), pf.Engines[0].Events)
	require.Equal(t, crashes, countCrashed(pf.Engines))

	other := newEntry(t, pf, "b")
	spec, items := decode(t, "k", hostedtest.Job("j", "m", 2, 1))
	require.Nil(t, other.service.Submit(t.Context(), spec, items))
	requireComplete(t, other.results(t, "k", 2), pf.Engines[0].Events)
}

// Failure: in a burst of crashes several servers end while they run the call for one sample's score. Guards against a
// complete text that is never listed, since its score is not requested any more.
func TestScoreIsOwedHoweverManyServersCrashUnderIt(t *testing.T) {
	t.Parallel()
	const crashes = poison.QuarantineThreshold + 1
	pf := gatewaytest.NewPlatform(t, 2, crashes+1)
	crashUnder("/score/j-i0", crashes, pf.Servers)
	e := newEntry(t, pf, "a")
	e.submit(t, "j", 6, 1)
	requireComplete(t, e.results(t, "j", 6), pf.Engines[0].Events)
	require.Equal(t, crashes, countCrashed(pf.Servers))
}
