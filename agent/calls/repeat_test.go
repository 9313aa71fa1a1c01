package calls

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/confsync"
	"dandelionsill.org/manifest"
	"dandelionsill.org/wire/pb"
)

// A renewal runs twice. Order: revision 2 sets a new route /renew, which may
// not be repeated, before the catch-all that may; this agent has it, an entry
// does not yet. The entry sends a renewal as one that it may repeat, by the
// catch-all's name. checkRepeat looks that name up and not the path, lets it
// run without go or key, and when the answer breaks the entry sends it again.
func TestNewRouteForbidsRepeatsOfOutdatedEntry(t *testing.T) {
	var runs atomic.Int64
	r := newHarness(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	next := *r.viewer.V
	next.Number = 2
	next.Manifest = &manifest.Manifest{Fleet: next.Manifest.Fleet, Services: map[string]manifest.Service{"orders": {
		Name: "orders", Timeout: testTimeout, Routes: []manifest.Route{
			{Name: "orders.renew", Prefix: "/renew", Repeat: manifest.RepeatNever},
			{Name: "orders.any", Prefix: "/", Repeat: manifest.RepeatAlways},
		},
	}}}
	r.viewer.Static = confsync.Static{V: &next}
	open := newOrder()
	open.Idempotent, open.Route, open.Revision, open.Path = true, "orders.any", 1, "/renew/7"
	out := r.call(t, open)
	require.Zero(t, runs.Load(), "it ran without the entry's go")
	out.requireRefusal(t, "not_ready", true)
}

// A slot is lost for good and the agent's drain never ends. Order: the backend
// server answers 101, which nobody asked for; net/http then hands the bare
// connection over and no longer ends it with the context; the read of the
// answer blocks as long as that connection lives, far beyond the deadline.
func TestSwitchedProtocolFreesTheSlot(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		t.Run(fmt.Sprint("idempotent ", idempotent), func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			testDone := make(chan struct{})
			var serving sync.WaitGroup
			serving.Go(func() {
				for {
					conn, err := lis.Accept()
					if err != nil {
						return
					}
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						fmt.Fprint(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n")
					}
					serving.Go(func() {
						<-testDone
						_ = conn.Close()
					})
				}
			})
			// Before the rig's cleanups, which wait for the handlers.
			defer serving.Wait()
			defer close(testDone)
			defer lis.Close()
			r := newHarnessAt(t, lis.Addr().String())
			short := *r.viewer.V.Manifest
			short.Services = map[string]manifest.Service{"orders": {Name: "orders", Timeout: 100 * time.Millisecond}}
			r.viewer.V.Manifest = &short
			open := newOrder()
			open.DeadlineMs, open.Idempotent = 200, idempotent
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			finish(r.open(t, ctx, open))
			select {
			case <-r.queue.Idle():
			case <-time.After(3 * time.Second):
				require.Fail(t, "the slot is still held long after the deadline and the service's timeout")
			}
		})
	}
}

// Callers wait although the backend server has free capacity. Order: all slots
// are busy; one caller sends the same key four times (it repeats on its own
// short timeouts); all four queue, as nobody has claimed the key yet; each gets
// a slot; one runs, and three hold theirs only to wait for that one's answer.
func TestRepeatsOfOneKeyHoldOneSlot(t *testing.T) {
	hold, renewal := make(chan struct{}), make(chan struct{})
	other := make(chan struct{})
	r := newHarness(t, http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		switch req.URL.Path {
		case "/hold":
			<-hold
		case "/renew":
			<-renewal
		case "/other":
			close(other)
		}
	}))
	var wg sync.WaitGroup
	send := func(open *pb.CallOpen) { wg.Go(func() { r.call(t, open) }) }
	waitForCounts := func(running, queued int) {
		require.Eventually(t, func() bool {
			s := r.queue.Stats()
			return s.Running == running && s.Queued == queued
		}, testTimeout, time.Millisecond)
	}
	for range 4 {
		open := newOrder()
		open.Path = "/hold"
		send(open)
	}
	waitForCounts(4, 0)
	key := newKeyedOrder()
	key.Path = "/renew"
	for range 4 {
		send(key)
	}
	waitForCounts(4, 4)
	close(hold)
	open := newOrder()
	open.Path = "/other"
	require.Eventually(t, func() bool { return r.queue.Stats().Queued == 0 }, testTimeout, time.Millisecond)
	send(open)
	stuck := ""
	select {
	case <-other:
	case <-time.After(3 * time.Second):
		stuck = fmt.Sprintf("%+v", r.queue.Stats())
	}
	close(renewal)
	wg.Wait()
	require.Empty(t, stuck, "the order waits for slots in which nothing runs")
}
