package calls

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/kinds"
)

// crashingServer is a backend server that closes the connection of each request without
// an answer and, if endsProcess is set, stops listening as a process that ended.
type crashingServer struct {
	addr        string
	lis         net.Listener
	endsProcess atomic.Bool
	hold        chan struct{} // if not nil, requests wait until it is closed

	arrived atomic.Int32 // number of requests received
}

// start listens at addr, or at a new address the first time, and serves.
func (s *crashingServer) start(t *testing.T) {
	lis, err := net.Listen("tcp", s.addr)
	require.NoError(t, err)
	s.lis, s.addr = lis, lis.Addr().String()
	closeListener := sync.OnceFunc(func() { _ = lis.Close() }) // a second Close would return before the first has finished
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		s.arrived.Add(1)
		if s.hold != nil {
			<-s.hold
		}
		if s.endsProcess.Load() {
			closeListener()
		}
		panic(http.ErrAbortHandler)
	})}
	server.SetKeepAlivesEnabled(false)
	served := make(chan struct{})
	go func() { defer close(served); _ = server.Serve(lis) }()
	t.Cleanup(func() { _ = server.Close(); <-served })
}

// A backend server ends during a request, is restarted at the same address and ends
// during the next request. Each refusal names the incarnation that ended, so that the
// entry can distinguish one end seen by two requests from two ends. A connection that
// only breaks reports no end.
func TestEndOfBackendServerIsReported(t *testing.T) {
	s := &crashingServer{addr: "127.0.0.1:0"}
	s.start(t)
	r := newHarnessAt(t, s.addr)
	once, repeatable := newOrder(), newOrder()
	repeatable.Idempotent = true

	incompleteAnswer := r.call(t, repeatable)
	incompleteAnswer.requireRefusal(t, string(kinds.BackendFailed), false)
	require.Empty(t, incompleteAnswer.refusal.GetEnded())

	s.endsProcess.Store(true)
	first := r.call(t, repeatable)
	first.requireRefusal(t, string(kinds.BackendFailed), false)
	require.NotEmpty(t, first.refusal.GetEnded())

	refused := r.call(t, repeatable)
	require.True(t, refused.refusal.GetNotRun())
	require.Empty(t, refused.refusal.GetEnded(), "it ended during another request")

	s.start(t)
	second := r.call(t, once)
	second.requireRefusal(t, string(kinds.OutcomeUnknown), false)
	require.NotEmpty(t, second.refusal.GetEnded())
	require.NotEqual(t, first.refusal.GetEnded(), second.refusal.GetEnded())
}

// Two requests are at the backend server when it ends: both refusals name the same
// incarnation.
func TestRequestsOfOneEndReportOneIncarnation(t *testing.T) {
	s := &crashingServer{addr: "127.0.0.1:0", hold: make(chan struct{})}
	s.endsProcess.Store(true)
	s.start(t)
	r := newHarnessAt(t, s.addr)
	replies := make(chan reply, 2)
	for range 2 {
		open := newOrder()
		open.Idempotent = true
		stream := r.open(t, t.Context(), open)
		go func() { replies <- finish(stream) }()
	}
	require.Eventually(t, func() bool { return s.arrived.Load() == 2 }, testTimeout, time.Millisecond)
	close(s.hold)
	one, two := <-replies, <-replies
	require.NotEmpty(t, one.refusal.GetEnded())
	require.Equal(t, one.refusal.GetEnded(), two.refusal.GetEnded())
}
