package e2e

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/load/site"
	"dandelionsill.org/platform"
	"dandelionsill.org/standin/logsvc"
	"dandelionsill.org/standin/service"
)

// leavingAgent is the agent that is taken out of service, and leavingServer is its
// backend server.
const (
	leavingAgent  = "service-2"
	leavingServer = "service-2-server"
)

// removal records how and when a server was taken out of service.
type removal struct {
	method     string
	orderedAt  time.Time // before the operator or the platform ordered it
	reportedAt time.Time // after the agent reported that it is leaving
	finishedAt time.Time // after every caller had completed a later call
}

// isLeaving reports whether an agent is leaving or does not answer any more.
func (c *cluster) isLeaving(name string) bool {
	var st site.Status
	return site.SendJSON(c.ctx, http.MethodGet, c.site.ByName(name).URL+"/v1/status", nil, &st) != nil || st.Leaving
}

// removeServer calls order to take the server out of service. It waits until its agent
// reports that it is leaving and every caller has completed a later call.
func (t *traffic) removeServer(method string, order func()) removal {
	t.c.t.Helper()
	r := removal{method: method, orderedAt: time.Now()}
	order()
	t.c.waitFor("the agent reports that it is leaving", func() error {
		if !t.c.isLeaving(leavingAgent) {
			return errors.New("the agent does not report that it is leaving")
		}
		return nil
	})
	r.reportedAt = time.Now()
	t.waitTurnover()
	r.finishedAt = time.Now()
	return r
}

// restoreServer calls order to put the server back into service and waits until it
// runs calls again.
func (t *traffic) restoreServer(order func()) {
	t.c.t.Helper()
	order()
	before := t.c.countRuns(leavingServer)
	t.c.waitFor("the server runs calls again", func() error {
		if t.c.isLeaving(leavingAgent) {
			return errors.New("the agent is still leaving")
		}
		if t.c.countRuns(leavingServer) <= before {
			return errors.New("the server has run no new call")
		}
		return nil
	})
}

func (c *cluster) countRuns(server string) int {
	var t service.Truth
	require.NoError(c.t, site.SendJSON(c.ctx, http.MethodGet, c.site.ByName(server).URL+"/truth?totals=1", nil, &t))
	return t.Runs
}

// manifestWithLeaving returns the site's manifest with leavingAgent in its leaving
// list.
func (c *cluster) manifestWithLeaving(note string) []byte {
	return append(c.site.Manifest(note), "\n[leaving]\nservers = "+leavingAgent+"\n"...)
}

// A server is taken out of service in each of three ways while callers read and write:
// by the manifest, by the VM list and by SIGTERM. Entries learn of it at different
// times, so that the agent itself must refuse the requests that still arrive. A call
// that started after the agent had reported that it is leaving must not run there, and
// every call must get a complete answer.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	const seed = 81
	c := startCluster(t, options{seed: seed})
	w := c.startTraffic(callerCount, seed, callShares{reads: 0.4, keyed: 0.3})
	w.waitAnswered(100)
	vm := c.site.ByName(leavingAgent)
	var removals []removal

	removals = append(removals, w.removeServer("manifest", func() {
		require.NoError(t, c.site.Commit(c.ctx, 2, c.manifestWithLeaving("leaving")))
	}))
	w.restoreServer(func() { require.NoError(t, c.site.Commit(c.ctx, 3, c.site.Manifest("back"))) })

	removals = append(removals, w.removeServer("VM list", func() {
		require.NoError(t, c.site.SetVM(c.ctx, vm, platform.VMLeaving))
	}))
	w.restoreServer(func() { require.NoError(t, c.site.SetVM(c.ctx, vm, platform.VMLive)) })

	removals = append(removals, w.removeServer("SIGTERM", func() { c.terminate(leavingAgent) }))
	require.Zero(t, c.waitExit(leavingAgent))

	calls, runs := w.verify()
	for i := range calls {
		require.True(t, calls[i].Result.OK(), "%+v", calls[i].Result)
	}
	for _, r := range removals {
		c.requireNoNewRuns(r, calls, runs)
	}
}

// requireNoNewRuns requires that the server ran no call that started after its agent had
// reported that it is leaving and ended before finishedAt. It logs how long after the
// order the server's last run started.
func (c *cluster) requireNoNewRuns(r removal, calls []timedCall, runs []service.Run) {
	c.t.Helper()
	var after []string // request ids
	for i := range calls {
		if calls[i].startedAt > r.reportedAt.UnixNano() && calls[i].endedAt < r.finishedAt.UnixNano() {
			after = append(after, calls[i].Result.RequestID)
		}
	}
	require.NotEmpty(c.t, after)
	last := int64(0)
	for i := range runs {
		run := &runs[i]
		if run.Server != leavingAgent {
			continue
		}
		require.False(c.t, slices.Contains(after, run.RequestID), "%s: %+v", r.method, run)
		if run.StartedMS <= r.finishedAt.UnixMilli() {
			last = max(last, run.StartedMS)
		}
	}
	c.t.Logf("removal by %s: reported by the agent after %v, last run started %d ms after the order, %d later calls",
		r.method, r.reportedAt.Sub(r.orderedAt).Round(time.Millisecond), last-r.orderedAt.UnixMilli(), len(after))
}

// An entry gets SIGTERM while the log is down and callers read streams from it. A
// planned stop does not need the log: every stream must be completed, and the process
// must exit with 0.
func TestEntryStopsWithoutTheLog(t *testing.T) {
	const seed, open = 82, 8
	c := startCluster(t, options{seed: seed, engine: longSamples()})
	c.setFaults("log", logsvc.Faults{Down: true})
	s := c.openStreams(open, seed)
	c.terminate("entry-1")
	s.waitComplete()
	require.Zero(t, c.waitExit("entry-1"), fmt.Sprintf("with %d streams", open))
}
