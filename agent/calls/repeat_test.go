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

// Guards against a renewal that runs twice. How it came about: revision 2 adds a route
// /renew, which must not be repeated, before the catch-all route, which may be. This
// agent has the revision, an entry doesn't have it yet and sends a renewal as a
// repeatable request with the catch-all's name. checkRepeat looked up that name
// instead of matching the path and let the renewal run without CallGo or a key. When
// its answer was lost, the entry sent it again.
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
	require.Zero(t, runs.Load(), "it ran without the entry's CallGo")
	out.requireRefusal(t, "not_ready", true)
}

// Guards against a slot that is never freed, so that the agent's drain doesn't end. How
// it came about: the backend server answers 101 without being asked. net/http then
// returns the raw connection and no longer closes it with the context, so that reading
// the answer blocked until the connection ended, far beyond the deadline.
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
			// These run before the harness's cleanups, which wait for the handlers.
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

// Guards against callers that wait although the backend server has free capacity. How
// it came about: all slots were busy. A caller sent the same key four times, as its
// own timeouts were short. All four were queued, because the key was not claimed yet,
// and later got a slot each. One ran, and the other three held their slots only to
// wait for its answer.
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
	require.Empty(t, stuck, "the order waits although some slots run nothing")
}
