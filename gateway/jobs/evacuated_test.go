package jobs_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// Failure: the failure domain of one of two engines is evacuated while samples run there. What runs there
// ends there, without a second run elsewhere, and nothing new reaches it. Guards also against a sample that
// gets an engine which is back and has not loaded the weights yet that were named meanwhile.
func TestSamplesOfAnEvacuatedEngineEndThere(t *testing.T) {
	t.Parallel()
	pf := gatewaytest.NewPlatform(t, 2, 1)
	for _, e := range pf.Engines {
		e.EventInterval, e.Events = 5*time.Millisecond, 40
	}
	pf.Engines[1].FailureDomain = "zone-b"
	pf.Register(pf.Engines[1], "ready")
	e := newEntry(t, pf, "a")
	require.Eventually(t, func() bool { return e.View.Current().Servers["engines"][1].FailureDomain == "zone-b" }, gatewaytest.MaxWait, time.Millisecond)
	evacuate := func(over bool) {
		pf.Store.Evacuate("zone-b", over)
		require.Eventually(t, func() bool { return (len(e.View.Current().Evacuated) == 0) == over }, gatewaytest.MaxWait, time.Millisecond)
	}
	e.submit(t, "j", 20, 1) // more than both engines' slots
	require.Eventually(t, func() bool { return len(pf.Engines[1].Arrivals()) == pf.Engines[1].Slots }, gatewaytest.MaxWait, time.Millisecond)
	evacuate(false)
	require.Positive(t, e.runner.RunningAt()[pf.Engines[1].ID])
	started := len(pf.Engines[1].Arrivals())
	requireComplete(t, e.results(t, "j", 20), 40)
	require.Len(t, pf.Engines[1].Arrivals(), started)
	require.Zero(t, resumed(pf.Engines), "none was moved")
	require.Eventually(t, func() bool { return len(e.runner.RunningAt()) == 0 }, gatewaytest.MaxWait, time.Millisecond)

	entry := pf.Engines[0].Entry("ready") // the engine that was not evacuated has the next version
	entry["models"] = []map[string]any{{"name": "m", "version": 2}}
	loadVersion2(t, pf.Engines[0])
	pf.Store.Put(hostedtest.TopicServers, pf.Engines[0].ID, entry)
	evacuate(true)
	require.Eventually(t, func() bool { return e.knowsVersion(pf.Engines[0].ID, 2) }, gatewaytest.MaxWait, time.Millisecond)
	e.submit(t, "k", 20, 2)
	requireComplete(t, e.results(t, "k", 20), 40)
	require.Len(t, pf.Engines[1].Arrivals(), started)
}

// Failure: both engines' failure domains are evacuated. A step waits, and runs once one is back.
func TestStepWaitsWhileAllEnginesAreEvacuated(t *testing.T) {
	t.Parallel()
	pf := gatewaytest.NewPlatform(t, 2, 1)
	e := newEntry(t, pf, "a")
	pf.Store.Evacuate("zone-a", false)
	require.Eventually(t, func() bool { return len(e.View.Current().Evacuated) == 1 }, gatewaytest.MaxWait, time.Millisecond)
	e.submit(t, "j", 8, 1)
	_, results, err := e.service.Results(t.Context(), "j", 0, 0)
	require.Nil(t, err)
	require.Empty(t, results)
	for _, engine := range pf.Engines {
		require.Empty(t, engine.Arrivals())
	}
	pf.Store.Evacuate("zone-a", true)
	requireComplete(t, e.results(t, "j", 8), 5)
}
