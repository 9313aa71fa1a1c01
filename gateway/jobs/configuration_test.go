package jobs_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	fold "dandelionsill.org/fold/jobs"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/platform"
	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// restart starts another incarnation of a process, which may know no configuration yet, and waits until it owns a job.
func restart(t *testing.T, pf *gatewaytest.Platform, vm string) *entry {
	core, lines := observer.New(zap.InfoLevel)
	e := runEntry(pf.StartProcess(t), fold.Writer{VM: vm, Incarnation: "2"}, zap.New(core))
	require.Eventually(t, func() bool { return lines.FilterMessage("Owning a batch job.").Len() > 0 }, gatewaytest.MaxWait, time.Millisecond)
	return e
}

// copyConfiguration copies the operator's feed as it is now, for processes that can't read it.
func copyConfiguration(t *testing.T, pf *gatewaytest.Platform) {
	store := hosted.NewStore(pf.Store.Addr())
	require.NoError(t, hosted.NewFeeds(store, store).SaveCopy(context.Background(), platform.FeedOperator))
}

// Guards against texts of two versions on a route that wants one: the process that made the first part is replaced by one that
// takes the job before it knows the route, or knows it as it was before.
func TestRestartedOwnerMakesTextsOfOneVersion(t *testing.T) {
	for name, hasCopy := range map[string]bool{"no configuration": false, "older copy": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pf := gatewaytest.NewPlatform(t, 2, 1)
			outage := hostedtest.StoreFaults{UnavailableTopics: []string{hostedtest.TopicOperator, hostedtest.TopicCopies}}
			if hasCopy {
				copyConfiguration(t, pf)
				outage.UnavailableTopics = outage.UnavailableTopics[:1]
			}
			config := hostedtest.Config(2)
			config["routes"].([]map[string]any)[0][hostedtest.FieldSingleVersion] = true
			pf.Store.Put(hostedtest.TopicOperator, "config", config)
			for _, e := range pf.Engines {
				e.EventInterval, e.Events = 5*time.Millisecond, 200
			}
			a := newEntry(t, pf, "a")
			require.Eventually(t, func() bool { return a.View.Current().Table.Version == 2 }, gatewaytest.MaxWait, time.Millisecond)
			a.submit(t, "j", 8, 1)
			require.Eventually(t, func() bool { return reportedEvents(pf, "j") >= 48 }, gatewaytest.MaxWait, time.Millisecond)
			a.Stop()
			require.Eventually(t, func() bool { return pf.Engines[0].InFlight()+pf.Engines[1].InFlight() == 0 }, gatewaytest.MaxWait, time.Millisecond)
			loadVersion2(t, pf.Engines[0])
			pf.Register(pf.Engines[0], "ready")
			pf.Store.Fail(outage)
			a = restart(t, pf, "a")
			if hasCopy {
				require.Eventually(t, func() bool { return pf.Engines[1].InFlight() > 0 }, gatewaytest.MaxWait, time.Millisecond)
				require.Equal(t, uint64(1), a.View.Current().ConfigVersion())
			}
			pf.Store.Fail(hostedtest.StoreFaults{})
			results := a.results(t, "j", 8)
			requireComplete(t, results, 200)
			for _, r := range results {
				require.Len(t, r.Versions, 1, r.Item)
			}
		})
	}
}

// Guards against a job that loses what its route asked for when it was submitted, because the route has changed.
func TestOneVersionHoldsFromTheSubmissionOn(t *testing.T) {
	t.Parallel()
	pf := gatewaytest.NewPlatform(t, 2, 1)
	for _, e := range pf.Engines {
		e.EventInterval, e.Events = 5*time.Millisecond, 200
	}
	a := newEntry(t, pf, "a")
	spec, items := decode(t, "j", hostedtest.Job("j", "m", 8, 1))
	spec.Versions = fold.OneVersion
	require.Nil(t, a.service.Submit(t.Context(), spec, items))
	requireOneVersion(t, pf, a)
}

// Guards against items that are given up after fewer failures than their route allows, because the process that has just
// started knows the route only as it was before.
func TestItemsAreNotGivenUpByAnOldConfiguration(t *testing.T) {
	for name, failing := range map[string]func(*gatewaytest.Platform) []*hostedtest.Server{
		"samples": func(pf *gatewaytest.Platform) []*hostedtest.Server { return pf.Engines },
		"scores":  func(pf *gatewaytest.Platform) []*hostedtest.Server { return pf.Servers },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pf := gatewaytest.NewPlatform(t, 1, 1)
			config := hostedtest.Config(2)
			for _, r := range config["routes"].([]map[string]any) {
				r["max_attempts"] = 1
			}
			pf.Store.Put(hostedtest.TopicOperator, "config", config)
			copyConfiguration(t, pf)
			pf.Store.Put(hostedtest.TopicOperator, "config", hostedtest.Config(3))
			pf.Engines[0].Fail(hostedtest.ServerFaults{Refuse: true})
			a := newEntry(t, pf, "a")
			a.submit(t, "j", 2, 1)
			a.Stop()
			pf.Store.Fail(hostedtest.StoreFaults{UnavailableTopics: []string{hostedtest.TopicOperator}})
			pf.Engines[0].Fail(hostedtest.ServerFaults{})
			for _, s := range failing(pf) {
				s.Fail(hostedtest.ServerFaults{Status: 500})
			}
			a = restart(t, pf, "a")
			require.Eventually(t, func() bool { return executed(failing(pf)) == 2 }, gatewaytest.MaxWait, time.Millisecond)
			require.Equal(t, uint64(2), a.View.Current().ConfigVersion())
			for _, s := range failing(pf) {
				s.Fail(hostedtest.ServerFaults{})
			}
			pf.Store.Fail(hostedtest.StoreFaults{})
			requireComplete(t, a.results(t, "j", 2), 5)
		})
	}
}

// executed counts the requests that servers have run.
func executed(servers []*hostedtest.Server) int {
	n := 0
	for _, s := range servers {
		for _, a := range s.Arrivals() {
			if a.Executed {
				n++
			}
		}
	}
	return n
}
