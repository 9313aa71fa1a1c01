package calls

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"dandelionsill.org/kinds"
	"dandelionsill.org/manifest"
	"dandelionsill.org/standin/logsvc"
	"dandelionsill.org/standin/service"
	"dandelionsill.org/wire/pb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A complete answer ends with the end mark. The backend server gets the caller's path,
// headers and ids, but no hop-by-hop headers.
func TestCompleteAnswer(t *testing.T) {
	var got *http.Request
	r := newHarness(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		got = req
		w.Header().Set("X-Order", "7")
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("Keep-Alive", "timeout=5")
		w.WriteHeader(http.StatusCreated)
		fmt.Fprint(w, "order 7")
	}))
	for _, open := range []*pb.CallOpen{newOrder(), newKeyedOrder(), {
		Service: "orders", Method: http.MethodGet, Path: "/orders/7", Idempotent: true, RequestId: "r", DeadlineMs: 10_000, Revision: 1,
	}} {
		open.Headers = []*pb.Header{{Name: "X-Shop", Value: "a"}, {Name: "Connection", Value: "X-Secret"}, {Name: "X-Secret", Value: "b"}, {Name: "Upgrade", Value: "h2c"}}
		out := r.call(t, open)
		require.Nil(t, out.refusal)
		require.True(t, out.complete)
		require.Equal(t, !open.Idempotent, out.ready)
		require.EqualValues(t, http.StatusCreated, out.head.Status)
		require.Equal(t, "order 7", out.body)
		for _, h := range out.head.Headers {
			require.NotContains(t, []string{"Connection", "Keep-Alive"}, h.Name)
			// If the connection closes, net/http's server replaces its handler's
			// Connection header, so that nothing marks X-Hop as hop-by-hop.
			require.False(t, open.Idempotent && h.Name == "X-Hop")
		}
		require.Equal(t, open.Path, got.RequestURI)
		require.Equal(t, open.RequestId, got.Header.Get("X-Request-Id"))
		require.Equal(t, open.IdempotencyKey, got.Header.Get("Idempotency-Key"))
		require.Equal(t, "a", got.Header.Get("X-Shop"))
		require.Empty(t, got.Header.Get("X-Secret")+got.Header.Get("Upgrade")+got.Header.Get("User-Agent"))
	}
}

// The entry crashes or gives up before it sends CallGo and answers "not run" to its
// caller, so nothing may reach the backend server. The key stays usable.
func TestNothingRunsWithoutGo(t *testing.T) {
	for name, giveUp := range map[string]func(stream pb.Agent_CallClient, cancel func()){
		"entry dies":     func(_ pb.Agent_CallClient, cancel func()) { cancel() },
		"entry gives up": func(stream pb.Agent_CallClient, _ func()) { _ = stream.CloseSend() },
		"no go": func(stream pb.Agent_CallClient, _ func()) {
			_ = stream.Send(&pb.CallSend{Part: &pb.CallSend_Body{Body: []byte("more")}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			backend := service.New(service.Config{})
			r := newHarness(t, backend)
			open := newKeyedOrder()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			stream := r.open(t, ctx, open)
			msg, err := stream.Recv()
			require.NoError(t, err)
			require.NotNil(t, msg.GetReady())
			giveUp(stream, cancel)
			r.waitIdle(t)
			require.Zero(t, backend.Truth(0, true).Runs)
			require.True(t, r.call(t, open).complete)
			require.Equal(t, 1, backend.Truth(0, true).Runs)
		})
	}
}

// The entry crashes after CallGo, while the order runs. The run continues to its end.
// The caller repeats the order through another entry and gets the run's answer.
func TestRunContinuesWithoutItsEntry(t *testing.T) {
	running, release := make(chan struct{}), make(chan struct{})
	var runs atomic.Int64
	r := newHarness(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		runs.Add(1)
		close(running)
		select {
		case <-release:
			fmt.Fprint(w, "order 7")
		case <-req.Context().Done(): // the agent cancelled the request
		}
	}))
	open := newKeyedOrder()
	ctx, cancel := context.WithCancel(t.Context())
	stream := r.open(t, ctx, open)
	go finish(stream)
	<-running
	abandoned := callsAbandoned.Value()
	cancel()
	require.Eventually(t, func() bool { return callsAbandoned.Value() > abandoned }, testTimeout, time.Millisecond)
	repeated := make(chan reply)
	go func() { repeated <- r.call(t, open) }()
	close(release)
	out := <-repeated
	require.True(t, out.complete)
	require.True(t, out.head.Replayed)
	require.Equal(t, "order 7", out.body)
	require.EqualValues(t, 1, runs.Load())
}

// The backend server runs the order and closes the connection without an answer. On a
// connection that has carried requests before, net/http would repeat such a request
// by itself, and the order would run twice. The caller must get outcome_unknown, and
// so must each repeat with the key.
func TestBrokenConnectionIsNotRepeated(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		for _, body := range []string{"", "one box"} {
			t.Run(method+body, func(t *testing.T) {
				backend := service.New(service.Config{})
				r := newHarness(t, backend)
				for range 3 {
					require.True(t, r.call(t, newKeyedOrder()).complete)
				}
				open := newKeyedOrder()
				open.Method, open.Body = method, []byte(body)
				backend.Faults.Apply(service.Faults{DropAfter: 1, MaxFaultyRequests: 1})
				r.call(t, open).requireRefusal(t, string(kinds.OutcomeUnknown), false)
				r.call(t, open).requireRefusal(t, string(kinds.OutcomeUnknown), false)
				require.Equal(t, 1, backend.Truth(0, false).ByKey[open.IdempotencyKey])
			})
		}
	}
}

// The answer ends in the middle, or its end can't be detected. It must not get an end
// mark, or the entry would send half an answer to the caller as a complete one.
func TestIncompleteAnswerHasNoEndMark(t *testing.T) {
	truncated := service.New(service.Config{})
	truncated.Faults.Apply(service.Faults{DropInBody: 1})
	noLength := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\nhalf an ans")
			_ = conn.Close()
		}
	})
	for name, backend := range map[string]http.Handler{"cut": truncated, "no length": noLength} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, backend)
			r.call(t, newOrder()).requireRefusal(t, string(kinds.OutcomeUnknown), false)
			read := newOrder()
			read.Idempotent = true
			r.call(t, read).requireRefusal(t, string(kinds.BackendFailed), false)
		})
	}
}

// The backend server is down and refuses connections, which proves "not run" for every
// kind of request. A keyed request runs when the server is up again.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := lis.Addr().String()
	require.NoError(t, lis.Close())
	r := newHarnessAt(t, addr)
	open := newKeyedOrder()
	read := newOrder()
	read.Idempotent = true
	for _, o := range []*pb.CallOpen{open, newOrder(), read} {
		r.call(t, o).requireRefusal(t, string(kinds.NotReady), true)
	}
	lis, err = net.Listen("tcp", addr)
	require.NoError(t, err)
	backend := service.New(service.Config{})
	server := &http.Server{Handler: backend}
	go func() { _ = server.Serve(lis) }()
	defer server.Close()
	require.True(t, r.call(t, open).complete)
	require.Equal(t, 1, backend.Truth(0, true).Runs)
}

// The agent is suspended after the entry sent CallGo and resumes a minute later (only
// the wall clock shows it, as after a VM suspension). The caller's deadline has passed:
// nothing may be sent, and the key stays unstarted.
func TestResumedAgentSendsNothingLate(t *testing.T) {
	backend := service.New(service.Config{})
	r := newHarness(t, backend)
	var readings atomic.Int64
	r.handler.now = func() time.Time {
		if readings.Add(1) == 1 { // when the request arrives
			return time.Now()
		}
		return time.Now().Round(0).Add(time.Minute)
	}
	open := newKeyedOrder()
	r.call(t, open).requireRefusal(t, string(kinds.DeadlineTooShort), true)
	require.Zero(t, backend.Truth(0, true).Runs)
	r.handler.now = time.Now
	require.True(t, r.call(t, open).complete)
}

// The backend server does not answer in time. As the request was sent, the error is
// outcome_unknown, or deadline_exceeded for an idempotent request, but never "not run".
func TestNoAnswerInTime(t *testing.T) {
	backend := service.New(service.Config{})
	backend.Faults.Apply(service.Faults{Hang: true})
	r := newHarness(t, backend)
	r.viewer.V.Manifest.Services["orders"] = manifest.Service{Name: "orders", Timeout: 300 * time.Millisecond}
	open := newKeyedOrder()
	open.DeadlineMs = 200
	r.call(t, open).requireRefusal(t, string(kinds.OutcomeUnknown), false)
	read := newOrder()
	read.Idempotent, read.DeadlineMs = true, 200
	r.call(t, read).requireRefusal(t, string(kinds.DeadlineExceeded), false)
	r.waitIdle(t) // until the service's timeout frees the slot
	open.DeadlineMs = testTimeout.Milliseconds()
	r.call(t, open).requireRefusal(t, string(kinds.OutcomeUnknown), false)
	require.Equal(t, 1, backend.Truth(0, false).ByKey[open.IdempotencyKey])
}

// A run is abandoned (its timeout passed) while its connection is being opened, and the
// caller gets "not run". net/http may write to the connection afterwards and must
// find the gate closed, or the order would run after all.
func TestClosedGateAllowsNoWrite(t *testing.T) {
	g := &gate{held: kinds.Hold(), now: time.Now}
	require.True(t, g.fail(context.DeadlineExceeded).NotRun())
	require.ErrorIs(t, g.allowWrite(), errAbandoned)
	g = &gate{held: kinds.Hold(), now: time.Now}
	require.NoError(t, g.allowWrite())
	require.Equal(t, string(kinds.OutcomeUnknown), g.fail(context.DeadlineExceeded).Kind())
	require.NoError(t, g.allowWrite(), "the rest of a request that was sent in part")
}

// Requests that must not reach the backend server.
func TestRefusedBeforeSending(t *testing.T) {
	backend := service.New(service.Config{})
	r := newHarness(t, backend)
	modified := func(change func(*pb.CallOpen)) *pb.CallOpen {
		open := newKeyedOrder()
		change(open)
		return open
	}
	first := newKeyedOrder()
	require.True(t, r.call(t, first).complete)
	for kind, open := range map[kinds.NotRunKind]*pb.CallOpen{
		kinds.NotFound:   modified(func(o *pb.CallOpen) { o.Service = "stock" }),
		kinds.TooLarge:   modified(func(o *pb.CallOpen) { o.Body = make([]byte, 1<<20+1) }),
		kinds.BadRequest: modified(func(o *pb.CallOpen) { o.IdempotencyKey = "7" }),
		kinds.KeyReused:  modified(func(o *pb.CallOpen) { o.IdempotencyKey, o.Body = first.IdempotencyKey, []byte("two boxes") }),
	} {
		r.call(t, open).requireRefusal(t, string(kind), true)
	}
	r.call(t, modified(func(o *pb.CallOpen) { o.Path = "http://10.0.0.1/x" })).requireRefusal(t, string(kinds.BadRequest), true)

	r.log.Faults.Apply(logsvc.Faults{Down: true})
	out := r.call(t, newKeyedOrder())
	out.requireRefusal(t, string(kinds.LogUnavailable), true)
	require.Positive(t, out.refusal.RetryAfterMs)
	require.True(t, r.call(t, first).head.Replayed, "an answer that is held needs no log")
	r.queue.Leave()
	require.True(t, r.call(t, first).head.Replayed, "and no slot")
	r.call(t, newOrder()).requireRefusal(t, string(kinds.Leaving), true)
	require.Equal(t, 1, backend.Truth(0, true).Runs)
}

// A revision that forbids repeats has reached the agent but not the entry. As the entry
// would send the request again after a failure, it must be refused.
func TestNewerRevisionForbidsRepeats(t *testing.T) {
	backend := service.New(service.Config{})
	r := newHarness(t, backend)
	r.viewer.V.Number = 5
	r.viewer.V.Manifest.Services["orders"] = manifest.Service{Routes: []manifest.Route{{Name: "write", Prefix: "/", Repeat: manifest.RepeatNever}}}
	open := newOrder()
	open.Idempotent, open.Route, open.Revision = true, "write", 4
	r.call(t, open).requireRefusal(t, string(kinds.NotReady), true)
	open.Revision = 5
	require.True(t, r.call(t, open).complete)
}

// An answer larger than the limit for bodies can't be held and is outcome_unknown. A
// redirect is an answer like any other: following it would send the request again.
func TestRedirectsAndLargeAnswers(t *testing.T) {
	var runs atomic.Int64
	r := newHarness(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		runs.Add(1)
		if req.URL.Path == "/redirect" {
			http.Redirect(w, req, "/again", http.StatusTemporaryRedirect)
			return
		}
		_, _ = w.Write(make([]byte, 1<<20+1))
	}))
	r.call(t, newOrder()).requireRefusal(t, string(kinds.OutcomeUnknown), false)
	open := newOrder()
	open.Method, open.Body, open.Path = http.MethodGet, nil, "/redirect"
	out := r.call(t, open)
	require.True(t, out.complete)
	require.EqualValues(t, http.StatusTemporaryRedirect, out.head.Status)
	require.EqualValues(t, 2, runs.Load())
}
