package jobs_test

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/decide/residency"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/decide/topology"
	fold "dandelionsill.org/fold/jobs"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/gateway/jobs"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// regional is a platform with an engine and a plain server in each of the regions a and b, and the
// processes on it, whose names begin with their region.
type regional struct {
	*gatewaytest.Platform

	mu    sync.Mutex
	peers map[string]string // addresses by VM
}

func newRegional(t *testing.T, config map[string]any) *regional {
	pf := gatewaytest.NewPlatform(t, 2, 2)
	pf.Topology = topology.New(map[string]string{"zone-a": "a", "zone-b": "b"})
	for _, list := range [][]*hostedtest.Server{pf.Engines, pf.Servers} {
		list[0].FailureDomain, list[1].FailureDomain = "zone-a", "zone-b"
		for _, s := range list {
			pf.Register(s, "ready")
		}
	}
	pf.Store.Put(hostedtest.TopicOperator, "config", config)
	return &regional{Platform: pf, peers: map[string]string{}}
}

// start starts a process that serves its peers. It runs batch jobs if isOwner is set.
func (r *regional) start(t *testing.T, vm string, isOwner bool) *entry {
	p := r.NewProcess(t)
	writer := fold.Writer{VM: vm, Incarnation: "1"}
	e := &entry{Process: p, index: jobs.NewIndex(p.Store, zap.NewNop())}
	e.index.SetPlaces(jobs.Places{Region: vm[:1], RegionOf: func(vm string) string { return vm[:1] }, PeersIn: func(regions residency.Regions) []string {
		var addrs []string
		r.mu.Lock()
		defer r.mu.Unlock()
		for other, addr := range r.peers {
			if other != vm && regions.Allows(other[:1]) {
				addrs = append(addrs, addr)
			}
		}
		return addrs
	}})
	mux := http.NewServeMux()
	mux.Handle(jobs.PathTexts, e.index.Texts)
	mux.HandleFunc(jobs.PathHeldTexts, e.index.Texts.ServeHeldTexts)
	mux.HandleFunc(jobs.PathHeldItem, e.index.Texts.ServeHeldItem)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	r.mu.Lock()
	r.peers[vm] = strings.TrimPrefix(server.URL, "http://")
	r.mu.Unlock()
	e.service = jobs.NewService(e.index, p.Store, writer, 3, 600, zap.NewNop())
	e.service.SetTable(func() *table.Table { return p.View.Current().Table })
	e.runner = jobs.NewRunner(e.index, p.Store, p.Forward, writer, 3, 600, zap.NewNop())
	p.Go(e.index.Run)
	if isOwner {
		p.Go(e.runner.Run)
	}
	require.Eventually(t, e.index.CaughtUp, gatewaytest.MaxWait, time.Millisecond)
	return e
}

// isReleased reports whether an owner has released a job.
func (r *regional) isReleased(t *testing.T, job string) bool {
	for _, data := range r.Store.Records(jobs.Stream) {
		record, err := fold.Decode(data)
		require.NoError(t, err)
		if slices.Contains(record.Releases, job) {
			return true
		}
	}
	return false
}

// Guards against items, scores and texts of a job with allowed regions that reach servers, processes
// or common streams elsewhere, and against results that a client elsewhere can't read.
func TestJobStaysInItsRegions(t *testing.T) {
	t.Parallel()
	r := newRegional(t, hostedtest.InRegions(hostedtest.InRegions(hostedtest.Config(2), "jobs", "a"), "score", "a"))
	b := r.start(t, "b0", true)
	r.start(t, "a0", true)
	b.submit(t, "j", 4, 1)
	results := b.results(t, "j", 4)
	requireComplete(t, results, r.Engines[0].Events)
	require.Empty(t, r.Engines[1].Arrivals())
	require.Empty(t, r.Servers[1].Arrivals())
	inRegion := 0
	for part := range 3 {
		parts := []string{"texts/", "texts.b/", "texts.a/"}
		require.Empty(t, r.Store.Records(parts[0]+string(rune('0'+part))))
		require.Empty(t, r.Store.Records(parts[1]+string(rune('0'+part))))
		inRegion += len(r.Store.Records(parts[2] + string(rune('0'+part))))
	}
	require.Positive(t, inRegion)
	body, err := b.service.Body(t.Context(), "j", "j-i1")
	require.Nil(t, err)
	require.Equal(t, "body of j-i1", string(body))
	for _, result := range results {
		require.Equal(t, "a0", result.Writer)
	}
}

// Guards against a process that returns or reads texts which it may not read.
func TestProcessElsewhereServesNoTexts(t *testing.T) {
	t.Parallel()
	r := newRegional(t, hostedtest.Config(2))
	b := r.start(t, "b0", false)
	for path, handler := range map[string]http.HandlerFunc{`[{"part": 0, "offset": 0, "item": "i", "regions": "a"}]`: b.index.Texts.ServeHeldTexts, `{"job": "j", "item": "i", "ref": {"rg": "a"}}`: b.index.Texts.ServeHeldItem} {
		w := httptest.NewRecorder()
		handler(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(path)))
		require.Equal(t, http.StatusForbidden, w.Code)
	}
}

// The only process in a job's regions is lost. Guards against a takeover by one elsewhere: the job
// waits until a process is in its regions again, which continues it.
func TestJobWaitsForAnOwnerInItsRegions(t *testing.T) {
	t.Parallel()
	r := newRegional(t, hostedtest.InRegions(hostedtest.Config(2), "jobs", "a"))
	r.Engines[0].EventInterval, r.Engines[0].Events = 20*time.Millisecond, 100
	a, b := r.start(t, "a0", true), r.start(t, "b0", true)
	a.submit(t, "j", 2, 1)
	require.Eventually(t, func() bool { return len(r.Engines[0].Arrivals()) == 2 }, gatewaytest.MaxWait, time.Millisecond)
	a.Stop()
	a2 := r.start(t, "a1", true)
	requireComplete(t, b.results(t, "j", 2), 100)
	require.True(t, a2.index.Sync(t.Context()))
	require.Empty(t, r.Engines[1].Arrivals())
	for _, data := range r.Store.Records(jobs.Stream) {
		record, err := fold.Decode(data)
		require.NoError(t, err)
		if record.VM == "b0" {
			require.Empty(t, record.Claims)
		}
	}
}

// The regions of a job's route change while its samples run. Guards against samples that are sent on
// to engines whose region is no longer allowed, and against an owner outside that keeps the job.
func TestRegionsThatChangeDuringAJobBind(t *testing.T) {
	t.Parallel()
	r := newRegional(t, hostedtest.InRegions(hostedtest.Config(2), "jobs", "a", "b"))
	for _, e := range r.Engines {
		e.EventInterval, e.Events = 10*time.Millisecond, 150
	}
	b := r.start(t, "b0", true)
	b.submit(t, "j", 8, 1)
	require.Eventually(t, func() bool { return len(r.Engines[0].Arrivals())+len(r.Engines[1].Arrivals()) == 8 }, gatewaytest.MaxWait, time.Millisecond)
	require.NotEmpty(t, r.Engines[1].Arrivals())
	r.Store.Put(hostedtest.TopicOperator, "config", hostedtest.InRegions(hostedtest.Config(3), "jobs", "a"))
	require.Eventually(t, func() bool { return r.isReleased(t, "j") }, gatewaytest.MaxWait, time.Millisecond)
	before := len(r.Engines[1].Arrivals())
	r.start(t, "a0", true)
	results := b.results(t, "j", 8)
	requireComplete(t, results, 150)
	require.Len(t, r.Engines[1].Arrivals(), before)
	for _, result := range results {
		require.Equal(t, "a0", result.Writer)
	}
}

// A job was accepted, its regions have changed so that no region is left, and its trainer submits it
// again. Guards against the answer "not run" for a job that runs, at a process that has not read of it
// too, and against a new job that is accepted although no region may serve it.
func TestJobWithoutCommonRegionIsRefusedOnlyIfUnknown(t *testing.T) {
	t.Parallel()
	r := newRegional(t, hostedtest.InRegions(hostedtest.Config(2), "jobs", "a"))
	a := r.start(t, "a0", false)
	a.submit(t, "j", 2, 1)
	none, _ := table.New(3, []*table.Route{{Name: "jobs", Host: "app.example", Prefix: "/jobs/", Targets: []table.Target{{Service: "s", Weight: 1}}, Regions: residency.Only([]string{"a"}).And(residency.Only([]string{"b"}))}}, []table.Service{{Name: "s"}}, table.Limits{})
	for _, e := range []*entry{a, r.start(t, "b0", false)} {
		e.service.SetTable(func() *table.Table { return none })
		spec, items := decode(t, "j", hostedtest.Job("j", "m", 2, 1))
		require.Nil(t, e.service.Submit(t.Context(), spec, items))
		spec, items = decode(t, "new", hostedtest.Job("new", "m", 2, 1))
		err := e.service.Submit(t.Context(), spec, items)
		require.Equal(t, string(kinds.NoServer), err.Kind())
		require.True(t, err.NotRun())
	}
}
