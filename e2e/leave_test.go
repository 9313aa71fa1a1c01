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

// leaver is the agent that leaves, and leaverServer its backend server.
const (
	leaver       = "service-2"
	leaverServer = "service-2-server"
)

// leave is one way in which a server was taken out of service.
type leave struct {
	how     string
	from    time.Time // the operator's or the platform's word
	leaving time.Time // seen at the agent itself, after it
	until   time.Time // every caller has gone on since
}

// leaving asks whether the agent says that it leaves. One that is gone has left.
func (c *cluster) leaving(name string) bool {
	var st site.Status
	return site.SendJSON(c.ctx, http.MethodGet, c.site.ByName(name).URL+"/v1/status", nil, &st) != nil || st.Leaving
}

// takeOut gives the word by which the server is to leave and waits until its
// agent says so and callers have gone on.
func (w *traffic) takeOut(how string, word func()) leave {
	w.c.t.Helper()
	l := leave{how: how, from: time.Now()}
	word()
	w.c.until("the agent says that it leaves", func() error {
		if !w.c.leaving(leaver) {
			return errors.New("it does not")
		}
		return nil
	})
	l.leaving = time.Now()
	w.turnover()
	l.until = time.Now()
	return l
}

// takeBack takes the word back and waits until the server runs calls again.
func (w *traffic) takeBack(word func()) {
	w.c.t.Helper()
	word()
	before := w.c.runsOf(leaverServer)
	w.c.until("the server works again", func() error {
		if w.c.leaving(leaver) {
			return errors.New("its agent leaves")
		}
		if w.c.runsOf(leaverServer) <= before {
			return errors.New("no call went there")
		}
		return nil
	})
}

func (c *cluster) runsOf(server string) int {
	var t service.Truth
	require.NoError(c.t, site.SendJSON(c.ctx, http.MethodGet, c.site.ByName(server).URL+"/truth?totals=1", nil, &t))
	return t.Runs
}

// withLeaving is the site's manifest with the leaver on its leaving list.
func (c *cluster) withLeaving(note string) []byte {
	return append(c.site.Manifest(note), "\n[leaving]\nservers = "+leaver+"\n"...)
}

// A server is taken out of service by each of the three ways while callers
// read and write: by the manifest, by the VM list and by SIGTERM. Entries
// learn of it at different times, so that the agent itself must refuse what
// still comes. A call that a caller began after the agent had said "leaving"
// must not have run there; every call is answered whole all the same.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	const seed = 81
	c := up(t, options{seed: seed})
	w := c.startTraffic(callers, seed, shares{reads: 0.4, keyed: 0.3})
	w.answered(100)
	vm := c.site.ByName(leaver)
	var leaves []leave

	leaves = append(leaves, w.takeOut("manifest", func() {
		require.NoError(t, c.site.Commit(c.ctx, 2, c.withLeaving("leaving")))
	}))
	w.takeBack(func() { require.NoError(t, c.site.Commit(c.ctx, 3, c.site.Manifest("back"))) })

	leaves = append(leaves, w.takeOut("VM list", func() {
		require.NoError(t, c.site.SetVM(c.ctx, vm, platform.VMLeaving))
	}))
	w.takeBack(func() { require.NoError(t, c.site.SetVM(c.ctx, vm, platform.VMLive)) })

	leaves = append(leaves, w.takeOut("SIGTERM", func() { c.term(leaver) }))
	require.Zero(t, c.exit(leaver))

	calls, runs := w.judged()
	for i := range calls {
		require.True(t, calls[i].Result.OK(), "%+v", calls[i].Result)
	}
	for _, l := range leaves {
		c.leftAlone(l, calls, runs)
	}
}

// leftAlone requires that no call which began after the agent had said
// "leaving", and ended before the server was taken back, ran at it. It logs
// how long after the word the last run began there.
func (c *cluster) leftAlone(l leave, calls []timedCall, runs []service.Run) {
	c.t.Helper()
	var after []string // requests
	for i := range calls {
		if calls[i].from > l.leaving.UnixNano() && calls[i].to < l.until.UnixNano() {
			after = append(after, calls[i].Result.RequestID)
		}
	}
	require.NotEmpty(c.t, after)
	last := int64(0)
	for i := range runs {
		run := &runs[i]
		if run.Server != leaver {
			continue
		}
		require.False(c.t, slices.Contains(after, run.RequestID), "%s: %+v", l.how, run)
		if run.StartedMS <= l.until.UnixMilli() {
			last = max(last, run.StartedMS)
		}
	}
	c.t.Logf("leave by %s: agent says so after %v, last run there began %d ms after the word, %d calls since",
		l.how, l.leaving.Sub(l.from).Round(time.Millisecond), last-l.from.UnixMilli(), len(after))
}

// The log is down when an entry is told to stop while callers read streams
// from it. A planned stop needs no agreement: every stream comes to its end,
// and the process exits with 0.
func TestEntryStopsWithoutTheLog(t *testing.T) {
	const seed, open = 82, 8
	c := up(t, options{seed: seed, engine: long()})
	c.faults("log", logsvc.Faults{Down: true})
	s := c.open(open, seed)
	c.term("entry-1")
	s.whole()
	require.Zero(t, c.exit("entry-1"), fmt.Sprintf("with %d streams", open))
}
