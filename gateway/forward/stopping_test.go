package forward_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	decide "dandelionsill.org/decide/permits"
	"dandelionsill.org/gateway/forward"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/gateway/permits"
	"dandelionsill.org/gateway/stopping"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// Times of the stops in these tests, by a clock that the tests set.
const (
	lastArrival = time.Minute
	lastFinish  = 2 * time.Minute
	lastAnswer  = 3 * time.Minute
)

// stoppable makes a forwarder's process stoppable and returns the clock of its stop.
func stoppable(f *forward.Forwarder) *atomic.Int64 {
	clock := &atomic.Int64{}
	f.Stop = stopping.New(stopping.Times{Arrivals: lastArrival, Finish: lastFinish, Answer: lastAnswer}, func() time.Duration { return time.Duration(clock.Load()) })
	return clock
}

// callUntil returns a call that ends by itself only after the process has stopped.
func callUntil(t *testing.T, p *gatewaytest.Process, path string) forward.Call {
	call := newCall(t, p, "r", path)
	call.Deadline = time.Now().Add(2 * lastAnswer)
	return call
}

// signalledWaiter answers no ask and tells of the first one.
type signalledWaiter struct{ asked chan struct{} }

func (w signalledWaiter) Acquire(ctx context.Context, _ string, _ decide.Ask) (*permits.Permit, *permits.Refusal, error) {
	close(w.asked)
	<-ctx.Done()
	return nil, nil, ctx.Err()
}

// Guards against a request that waits for a place at a server until its process is killed.
func TestWaitingRequestIsRefusedOnceItCannotFinish(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	p, waiting := pf.NewProcess(t), signalledWaiter{make(chan struct{})}
	f, lines := newSharing(p, waiting)
	clock := stoppable(f)
	refused := make(chan *kinds.Error)
	go func() {
		_, err := f.Send(t.Context(), callUntil(t, p, "/score/x"))
		refused <- err
	}()
	<-waiting.asked
	f.Stop.Begin()
	clock.Store(int64(lastArrival))
	err := <-refused
	require.Equal(t, string(kinds.Leaving), err.Kind())
	require.True(t, err.NotRun())
	require.Positive(t, err.Answer().RetryAfter)
	require.Empty(t, arrivals(pf.Servers))
	require.Len(t, lines.FilterMessage("This process stops before the request could end.").All(), 1)
}

// Guards against requests of a stopping process that are refused although they can end, or sent although they
// can't: those that callers sent before they were sent elsewhere, short ones, and those whose server refused them.
func TestStoppingProcessStartsWhatCanFinish(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	p := pf.NewProcess(t)
	clock := stoppable(p.Forward)
	send := func(path string, deadline time.Duration) *kinds.Error {
		call := newCall(t, p, "r", path)
		call.Deadline = time.Now().Add(deadline)
		_, err := p.Forward.Send(t.Context(), call)
		return err
	}
	for range 30 {
		require.Nil(t, send("/score/x", 2*lastAnswer))
	}
	p.Forward.Stop.Begin()
	require.Nil(t, send("/write/x", 2*lastAnswer), "while callers arrive")
	clock.Store(int64(lastArrival))
	require.Equal(t, string(kinds.Leaving), send("/write/x", 2*lastAnswer).Kind(), "too few were seen")
	require.Nil(t, send("/write/x", lastFinish-lastArrival), "ends by its deadline")
	require.Nil(t, send("/score/x", 2*lastAnswer), "all recent ones were short")
	require.Len(t, arrivals(pf.Servers), 33)
	clock.Store(int64(lastFinish))
	require.Equal(t, string(kinds.Leaving), send("/score/x", 2*lastAnswer).Kind(), "no time left")
	require.Len(t, arrivals(pf.Servers), 33)
}

// Guards against callers whose connection breaks when their process is killed, although nothing has been written to it.
func TestUnansweredCallersGetAFinalAnswerBeforeTheKill(t *testing.T) {
	for name, call := range map[string]func(*gatewaytest.Process) *kinds.Error{
		"request": func(p *gatewaytest.Process) *kinds.Error {
			_, err := p.Forward.Send(t.Context(), callUntil(t, p, "/write/x"))
			return err
		},
		"stream": func(p *gatewaytest.Process) *kinds.Error {
			call := callUntil(t, p, "/chat/x")
			route := *call.Route
			route.Resumable = false // the silence of its server is no reason to end it
			call.Route = &route
			_, err := p.Forward.Stream(t.Context(), call, httptest.NewRecorder())
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			pf := gatewaytest.NewPlatform(t, 1, 1)
			p := pf.NewProcess(t)
			servers := append(pf.Engines, pf.Servers...)
			for _, s := range servers {
				s.Fail(hostedtest.ServerFaults{Unresponsive: true})
			}
			clock := stoppable(p.Forward)
			failed := make(chan *kinds.Error)
			go func() { failed <- call(p) }()
			require.Eventually(t, func() bool { return len(arrivals(servers)) == 1 }, gatewaytest.MaxWait, time.Millisecond)
			p.Forward.Stop.Begin()
			clock.Store(int64(lastAnswer))
			err := <-failed
			require.Equal(t, string(kinds.OutcomeUnknown), err.Kind())
			require.False(t, err.NotRun())
			require.Len(t, arrivals(servers), 1)
		})
	}
}

// Guards against a server's answer that is thrown away because another server has none when the process is killed, and against a
// second attempt that is waited for until the kill.
func TestFailureThatIsThereIsAnsweredBeforeTheKill(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 2)
	p := pf.NewProcess(t)
	clock := stoppable(p.Forward)
	for _, s := range pf.Servers {
		s.Fail(hostedtest.ServerFaults{Status: http.StatusInternalServerError})
	}
	call := callUntil(t, p, "/score/x")
	route := *call.Route
	route.MaxAttempts = 10_000
	call.Route = &route
	replies := make(chan *forward.Reply)
	go func() {
		reply, _ := p.Forward.Send(t.Context(), call)
		replies <- reply
	}()
	require.Eventually(t, func() bool { return len(arrivals(pf.Servers)) > 10 }, gatewaytest.MaxWait, time.Millisecond)
	p.Forward.Stop.Begin()
	clock.Store(int64(lastAnswer))
	reply := <-replies
	require.NotNil(t, reply)
	require.Equal(t, http.StatusInternalServerError, reply.Status)
}

// Guards against a stream that a caller has begun to read and that is ended before its process is.
func TestBegunStreamGoesOnWhileItsProcessStops(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 2, 0)
	for _, e := range pf.Engines {
		e.Events = 40
		e.Fail(hostedtest.ServerFaults{BreakAfter: 20})
	}
	p := pf.NewProcess(t)
	clock := stoppable(p.Forward)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := callUntil(t, p, "/chat/x")
		call.Header.Set(hostedtest.HeaderModel, "m")
		_, _ = p.Forward.Stream(r.Context(), call, w)
	}))
	t.Cleanup(srv.Close)
	resp, err := http.Get(srv.URL)
	require.NoError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	reader := hosted.NewEventReader(resp.Body)
	for event := 1; event <= 40; event++ {
		got, err := reader.Next()
		require.NoError(t, err)
		require.Equal(t, event, got.ID)
		if event == 1 {
			p.Forward.Stop.Begin()
			clock.Store(int64(lastAnswer))
			<-waitForEnd(p.Forward.Stop)
		}
	}
}

// waitForEnd returns a channel that is closed when the time for answers is over.
func waitForEnd(stop *stopping.Stop) <-chan struct{} {
	ended := make(chan struct{})
	stop.AfterEnd(func() { close(ended) })
	return ended
}
