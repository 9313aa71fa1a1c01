package forward_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/poison"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// maxCrashes is how many servers a request may end: three that show what it does, and
// three more retries that were under way or came before all processes had heard of it.
const maxCrashes = 6

// A caller's request crashes each server that runs it. Its caller gets 502 and asks
// again, at any gateway and with a new id, and the servers are back after each attempt.
// In one case over a dozen servers ended so: all four of a service, four times over, and
// other callers found no server meanwhile. The logs had two servers for each attempt,
// "connection broke before the whole answer: unexpected EOF", at gateway after gateway:
// each attempt was a new request to all of them, for nothing but its content is the same,
// and nobody kept what had happened under it.
func TestRequestThatCrashesServersIsStopped(t *testing.T) {
	const attempts = 12
	crash := hostedtest.ServerFaults{CrashOn: "/score/deadly"}
	pf := gatewaytest.NewPlatform(t, 0, 4)
	for _, s := range pf.Plain {
		s.Fail(crash)
	}
	gateways := []*gatewaytest.Process{pf.NewProcess(t), pf.NewProcess(t), pf.NewProcess(t)}
	ended := 0
	for i := range attempts {
		p := gateways[i%len(gateways)]
		reply, err := p.Forward.Send(t.Context(), newCall(t, p, "attempt-"+strconv.Itoa(i), "/score/deadly"))
		require.NotNil(t, err, "%v", reply)
		ended += pf.Revive(t, crash)
		for _, g := range gateways {
			require.Eventually(t, func() bool { return g.Knows(pf) }, gatewaytest.Wait, time.Millisecond)
		}
	}
	require.LessOrEqual(t, ended, maxCrashes, "servers ended under one request")
	p := gateways[0]
	_, err := p.Forward.Send(t.Context(), newCall(t, p, "other", "/score/other"))
	require.Nil(t, err, "other requests are served")
}

// quarantinePath ends as many servers under a path as put it into quarantinePath.
func quarantinePath(t *testing.T, pf *gatewaytest.Platform, p *gatewaytest.Process, path string) {
	crash := hostedtest.ServerFaults{CrashOn: path}
	for _, s := range pf.Plain {
		s.Fail(crash)
	}
	for i := 0; !p.Forward.Quarantine.Empty() || i == 0; i++ {
		_, err := p.Forward.Send(t.Context(), newCall(t, p, "deadly-"+strconv.Itoa(i), path))
		require.NotNil(t, err)
		if err.Kind() == string(kinds.Quarantined) {
			break
		}
		pf.Revive(t, crash)
		require.Eventually(t, func() bool { return p.Knows(pf) }, gatewaytest.Wait, time.Millisecond)
	}
}

// A quarantined request comes again: its caller is told at once that it did not run and
// when to come back, and no server sees it. A write is no exception.
func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	for _, path := range []string{"/score/deadly", "/write/deadly"} {
		pf := gatewaytest.NewPlatform(t, 0, 3)
		p := pf.NewProcess(t)
		quarantinePath(t, pf, p, path)
		before := len(arrivals(pf.Plain))
		_, err := p.Forward.Send(t.Context(), newCall(t, p, "again", path))
		require.Equal(t, string(kinds.Quarantined), err.Kind())
		require.True(t, err.NotRun())
		require.Equal(t, http.StatusServiceUnavailable, err.Answer().HTTP)
		require.InDelta(t, poison.Memory.Seconds(), err.Answer().RetryAfter.Seconds(), gatewaytest.Wait.Seconds())
		require.Len(t, arrivals(pf.Plain), before)
	}
}

// A server ends while it has another caller's request, which the next server answers.
// That request is nothing that ends servers: it is served ever after, and neither the
// store nor the peers hear of it.
func TestBystanderOfACrashIsServed(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 4)
	p := pf.NewProcess(t)
	for range 3 * poison.QuarantineAt {
		// Whichever server gets it first ends, and none after it.
		once := new(atomic.Int64)
		once.Store(1)
		for _, s := range pf.Plain {
			s.Fail(hostedtest.ServerFaults{CrashOn: "/score/bystander", Crashes: once})
		}
		reply, err := p.Forward.Send(t.Context(), newCall(t, p, "bystander", "/score/bystander"))
		require.Nil(t, err)
		require.Equal(t, 200, reply.Status)
		require.Equal(t, 1, pf.Revive(t, hostedtest.ServerFaults{}))
		require.Eventually(t, func() bool { return p.Knows(pf) }, gatewaytest.Wait, time.Millisecond)
		require.True(t, p.Forward.Quarantine.Empty())
	}
	require.Empty(t, pf.Store.Records(hostedtest.TopicCrashes))
}

// A bystander is at two servers that end under another request, which the ends are put
// down to, and is then answered. Two more servers end while they have it, for reasons of
// their own: the answer between stands, and it is served.
func TestAnswerClearsUnsuspectedRequest(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 2)
	p := pf.NewProcess(t)
	c := newCall(t, p, "bystander", "/score/bystander")
	content := poison.Content{Caller: poison.CallerOf(c.Header), Method: c.Method, Host: c.Host, URI: c.URI, Body: c.Body}
	bystander := content.Name()
	q := p.Forward.Quarantine
	for _, server := range []string{"s1", "s2", "s3"} {
		q.Ended("culprit", server)
	}
	q.Ended(bystander, "s1")
	q.Ended(bystander, "s2")
	require.Equal(t, poison.Clear, q.Verdict(bystander))
	_, err := p.Forward.Send(t.Context(), c)
	require.Nil(t, err)
	q.Ended(bystander, "s8")
	q.Ended(bystander, "s9")
	require.Equal(t, poison.Suspect, q.Verdict(bystander))
}

// A stream crashes each server that begins it. It may go on elsewhere, so that each
// attempt ends as many servers as the route allows; the quarantine holds for it alike,
// and its caller is told so instead of being sent to a fourth server.
func TestStreamThatCrashesServersIsStopped(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 5, 0)
	p := pf.NewProcess(t)
	for _, s := range pf.Engines {
		s.Fail(hostedtest.ServerFaults{CrashOn: "/chat/deadly"})
	}
	ended := func() int {
		n := 0
		for _, s := range pf.Engines {
			if s.Crashed() {
				n++
			}
		}
		return n
	}
	send := func(path string) (int, *kinds.Error) {
		c := newCall(t, p, "s", path)
		c.Header.Set(hostedtest.HeaderModel, "m")
		return p.Forward.Stream(t.Context(), c, httptest.NewRecorder())
	}
	_, err := send("/chat/deadly")
	require.False(t, err.NotRun(), "servers ran it")
	require.Equal(t, poison.QuarantineAt, ended())
	_, err = send("/chat/deadly")
	require.Equal(t, string(kinds.Quarantined), err.Kind())
	require.True(t, err.NotRun())
	require.Equal(t, poison.QuarantineAt, ended())
	status, err := send("/chat/other")
	require.Nil(t, err)
	require.Equal(t, 200, status)
}
