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

// maxCrashes is how many servers one request may crash: three before it is quarantined,
// and three more by retries that were in flight or arrived before all processes were
// notified.
const maxCrashes = 6

// A request crashes each server that runs it. Its caller gets 502 and retries, at any
// gateway and with a new id, and the servers are restarted between the attempts. In one
// incident over a dozen servers ended this way: all four of a service, four times over,
// and other callers found no server meanwhile. Each attempt ended two servers with "connection
// broke before the whole answer: unexpected EOF". The gateways treated each attempt as
// a new request, since only its content stayed the same, and no process recorded the
// crashes.
func TestRequestThatCrashesServersIsStopped(t *testing.T) {
	const attempts = 12
	crash := hostedtest.ServerFaults{CrashOn: "/score/deadly"}
	pf := gatewaytest.NewPlatform(t, 0, 4)
	for _, s := range pf.Servers {
		s.Fail(crash)
	}
	gateways := []*gatewaytest.Process{pf.NewProcess(t), pf.NewProcess(t), pf.NewProcess(t)}
	ended := 0
	for i := range attempts {
		p := gateways[i%len(gateways)]
		reply, err := p.Forward.Send(t.Context(), newCall(t, p, "attempt-"+strconv.Itoa(i), "/score/deadly"))
		require.NotNil(t, err, "%v", reply)
		ended += pf.ReplaceCrashed(t, crash)
		for _, g := range gateways {
			require.Eventually(t, func() bool { return g.KnowsServersOf(pf) }, gatewaytest.MaxWait, time.Millisecond)
		}
	}
	require.LessOrEqual(t, ended, maxCrashes, "servers ended under one request")
	p := gateways[0]
	_, err := p.Forward.Send(t.Context(), newCall(t, p, "other", "/score/other"))
	require.Nil(t, err, "other requests are served")
}

// quarantinePath crashes servers with requests to the path until it is quarantined.
func quarantinePath(t *testing.T, pf *gatewaytest.Platform, p *gatewaytest.Process, path string) {
	crash := hostedtest.ServerFaults{CrashOn: path}
	for _, s := range pf.Servers {
		s.Fail(crash)
	}
	for i := 0; !p.Forward.Quarantine.Empty() || i == 0; i++ {
		_, err := p.Forward.Send(t.Context(), newCall(t, p, "deadly-"+strconv.Itoa(i), path))
		require.NotNil(t, err)
		if err.Kind() == string(kinds.Quarantined) {
			break
		}
		pf.ReplaceCrashed(t, crash)
		require.Eventually(t, func() bool { return p.KnowsServersOf(pf) }, gatewaytest.MaxWait, time.Millisecond)
	}
}

// A quarantined request is sent again. Its caller immediately gets the answer that it
// did not run and when to retry, and no server receives it. This holds for writes too.
func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	for _, path := range []string{"/score/deadly", "/write/deadly"} {
		pf := gatewaytest.NewPlatform(t, 0, 3)
		p := pf.NewProcess(t)
		quarantinePath(t, pf, p, path)
		before := len(arrivals(pf.Servers))
		_, err := p.Forward.Send(t.Context(), newCall(t, p, "again", path))
		require.Equal(t, string(kinds.Quarantined), err.Kind())
		require.True(t, err.NotRun())
		require.Equal(t, http.StatusServiceUnavailable, err.Answer().HTTP)
		require.InDelta(t, poison.QuarantineTime.Seconds(), err.Answer().RetryAfter.Seconds(), gatewaytest.MaxWait.Seconds())
		require.Len(t, arrivals(pf.Servers), before)
	}
}

// A server ends while it has another caller's request, which the next server answers.
// That request does not crash servers: it must stay served, and neither the store nor
// the peers are notified of the crash.
func TestBystanderOfACrashIsServed(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 4)
	p := pf.NewProcess(t)
	for range 3 * poison.QuarantineThreshold {
		// The first server that gets it crashes, and none after it.
		once := new(atomic.Int64)
		once.Store(1)
		for _, s := range pf.Servers {
			s.Fail(hostedtest.ServerFaults{CrashOn: "/score/bystander", Crashes: once})
		}
		reply, err := p.Forward.Send(t.Context(), newCall(t, p, "bystander", "/score/bystander"))
		require.Nil(t, err)
		require.Equal(t, 200, reply.Status)
		require.Equal(t, 1, pf.ReplaceCrashed(t, hostedtest.ServerFaults{}))
		require.Eventually(t, func() bool { return p.KnowsServersOf(pf) }, gatewaytest.MaxWait, time.Millisecond)
		require.True(t, p.Forward.Quarantine.Empty())
	}
	require.Empty(t, pf.Store.Records(hostedtest.TopicCrashes))
}

// A bystander is at two servers that crash under another request, to which the crashes
// are attributed, and is then answered. Later two more servers end for other reasons
// while they have the bystander. The answer in between clears it of the earlier
// crashes, so that it is still served.
func TestAnswerClearsUnsuspectedRequest(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 2)
	p := pf.NewProcess(t)
	c := newCall(t, p, "bystander", "/score/bystander")
	content := poison.Content{Caller: poison.CallerFromHeader(c.Header), Method: c.Method, Host: c.Host, URI: c.URI, Body: c.Body}
	bystander := content.Fingerprint()
	q := p.Forward.Quarantine
	for _, server := range []string{"s1", "s2", "s3"} {
		q.RecordCrash("culprit", server)
	}
	q.RecordCrash(bystander, "s1")
	q.RecordCrash(bystander, "s2")
	require.Equal(t, poison.Clear, q.Verdict(bystander))
	_, err := p.Forward.Send(t.Context(), c)
	require.Nil(t, err)
	q.RecordCrash(bystander, "s8")
	q.RecordCrash(bystander, "s9")
	require.Equal(t, poison.Suspect, q.Verdict(bystander))
}

// A stream crashes each server that starts it. Since it may be resumed at other
// servers, each attempt ends as many servers as the route allows. The quarantine must
// apply to it as well, and its caller gets the quarantine's error instead of a fourth
// server.
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
	require.Equal(t, poison.QuarantineThreshold, ended())
	_, err = send("/chat/deadly")
	require.Equal(t, string(kinds.Quarantined), err.Kind())
	require.True(t, err.NotRun())
	require.Equal(t, poison.QuarantineThreshold, ended())
	status, err := send("/chat/other")
	require.Nil(t, err)
	require.Equal(t, 200, status)
}
