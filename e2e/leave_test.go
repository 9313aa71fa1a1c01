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

// leavingAgent is the agent that leaves, and leavingServer its backend server.
const (
	leavingAgent  = "service-2"
	leavingServer = "service-2-server"
)

// removal is one way in which a server was taken out of service.
type removal struct {
	method     string
	orderedAt  time.Time // the operator's or the platform's word
	reportedAt time.Time // seen at the agent itself, after it
	finishedAt time.Time // every caller has gone on since
}

// isLeaving asks whether the agent says that it leaves. One that is gone has left.
func (c *cluster) isLeaving(name string) bool {
	var st site.Status
	return site.Send(c.ctx, http.MethodGet, c.site.Get(name).URL+"/v1/status", nil, &st) != nil || st.Leaving
}

// removeServer gives the word by which the server is to leave and waits until its
// agent says so and callers have gone on.
func (w *traffic) removeServer(method string, order func()) removal {
	w.c.t.Helper()
	l := removal{method: method, orderedAt: time.Now()}
	order()
	w.c.waitFor("the agent says that it leaves", func() error {
		if !w.c.isLeaving(leavingAgent) {
			return errors.New("it does not")
		}
		return nil
	})
	l.reportedAt = time.Now()
	w.waitTurnover()
	l.finishedAt = time.Now()
	return l
}

// restoreServer takes the word back and waits until the server runs calls again.
func (w *traffic) restoreServer(order func()) {
	w.c.t.Helper()
	order()
	before := w.c.countRuns(leavingServer)
	w.c.waitFor("the server works again", func() error {
		if w.c.isLeaving(leavingAgent) {
			return errors.New("its agent leaves")
		}
		if w.c.countRuns(leavingServer) <= before {
			return errors.New("no call went there")
		}
		return nil
	})
}

func (c *cluster) countRuns(server string) int {
	var t service.Truth
	require.NoError(c.t, site.Send(c.ctx, http.MethodGet, c.site.Get(server).URL+"/truth?totals=1", nil, &t))
	return t.Runs
}

// manifestWithLeaving is the site's manifest with the leaver on its leaving list.
func (c *cluster) manifestWithLeaving(note string) []byte {
	return append(c.site.Manifest(note), "\n[leaving]\nservers = "+leavingAgent+"\n"...)
}

// A server is taken out of service by each of the three ways while callers
// read and write: by the manifest, by the VM list and by SIGTERM. Entries
// learn of it at different times, so that the agent itself must refuse what
// still comes. A call that a caller began after the agent had said "leaving"
// must not have run there; every call is answered whole all the same.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	const seed = 81
	c := startCluster(t, options{seed: seed})
	w := c.startTraffic(callerCount, seed, callShares{reads: 0.4, keyed: 0.3})
	w.waitAnswered(100)
	vm := c.site.Get(leavingAgent)
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
	for _, l := range removals {
		c.requireNoNewRuns(l, calls, runs)
	}
}

// requireNoNewRuns requires that no call which began after the agent had said
// "leaving", and ended before the server was taken back, ran at it. It logs
// how long after the word the last run began there.
func (c *cluster) requireNoNewRuns(l removal, calls []timedCall, runs []service.Run) {
	c.t.Helper()
	var after []string // requests
	for i := range calls {
		if calls[i].startedAt > l.reportedAt.UnixNano() && calls[i].endedAt < l.finishedAt.UnixNano() {
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
		require.False(c.t, slices.Contains(after, run.RequestID), "%s: %+v", l.method, run)
		if run.StartedMS <= l.finishedAt.UnixMilli() {
			last = max(last, run.StartedMS)
		}
	}
	c.t.Logf("leave by %s: agent says so after %v, last run there began %d ms after the word, %d calls since",
		l.method, l.reportedAt.Sub(l.orderedAt).Round(time.Millisecond), last-l.orderedAt.UnixMilli(), len(after))
}

// The log is down when an entry is told to stop while callers read streams
// from it. A planned stop needs no agreement: every stream comes to its end,
// and the process exits with 0.
func TestEntryStopsWithoutTheLog(t *testing.T) {
	const seed, open = 82, 8
	c := startCluster(t, options{seed: seed, engine: longSamples()})
	c.setFaults("log", logsvc.Faults{Down: true})
	s := c.openStreams(open, seed)
	c.terminate("entry-1")
	s.waitComplete()
	require.Zero(t, c.waitExit("entry-1"), fmt.Sprintf("with %d streams", open))
}
