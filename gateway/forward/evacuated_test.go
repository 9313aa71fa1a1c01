package forward_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/evidence"
	"dandelionsill.org/decide/members"
	"dandelionsill.org/decide/topology"
	"dandelionsill.org/gateway/forward"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// newDomains returns a platform with one server in each of two failure domains, and a process.
func newDomains(t *testing.T) (*gatewaytest.Platform, *gatewaytest.Process) {
	pf := gatewaytest.NewPlatform(t, 0, 2)
	pf.Servers[1].FailureDomain = "zone-b"
	pf.Register(pf.Servers[1], "ready")
	p := pf.NewProcess(t)
	require.Eventually(t, func() bool { return p.View.Current().Servers["plain"][1].FailureDomain == "zone-b" }, gatewaytest.MaxWait, time.Millisecond)
	return pf, p
}

// evacuate begins or ends the evacuation of a failure domain and waits until the process knows it.
func evacuate(t *testing.T, pf *gatewaytest.Platform, p *gatewaytest.Process, domain string, over bool) {
	pf.Store.Evacuate(domain, over)
	require.Eventually(t, func() bool {
		_, active := p.View.Current().Evacuated[domain]
		return active != over
	}, gatewaytest.MaxWait, time.Millisecond)
}

// Load: fifty requests while one of two failure domains is evacuated, then all of them. Guards
// against requests that reach an evacuated server, and against callers that wait for their deadline
// where no server takes work.
func TestRequestsReachNoEvacuatedServer(t *testing.T) {
	pf, p := newDomains(t)
	evacuate(t, pf, p, "zone-a", false)
	for range 50 {
		_, err := p.Forward.Send(t.Context(), newCall(t, p, "r", "/score/x"))
		require.Nil(t, err)
	}
	require.Empty(t, pf.Servers[0].Arrivals())
	evacuate(t, pf, p, "zone-b", false)
	arrived := len(pf.Servers[1].Arrivals())
	call := newCall(t, p, "none", "/score/x")
	call.Deadline = time.Now().Add(time.Hour)
	_, err := p.Forward.Send(t.Context(), call)
	require.NotNil(t, err)
	require.Equal(t, string(kinds.NoServer), err.Kind())
	require.True(t, err.Answer().NotRun)
	require.Positive(t, err.Answer().RetryAfter)
	require.Len(t, pf.Servers[1].Arrivals(), arrived)
	evacuate(t, pf, p, "zone-a", true)
	_, err = p.Forward.Send(t.Context(), newCall(t, p, "back", "/score/x"))
	require.Nil(t, err)
	require.Len(t, pf.Servers[0].Arrivals(), 1)
}

// Failure: a request waits at the only server for room for its body, and the server's failure domain
// is evacuated meanwhile. Guards against a send long after the server was chosen.
func TestWaitingRequestIsNotSentToAServerThatWasEvacuatedMeanwhile(t *testing.T) {
	testWaitingRequest(t, func(pf *gatewaytest.Platform, p *gatewaytest.Process) { evacuate(t, pf, p, "zone-a", false) })
}

// Failure: as before, but the server's region is no longer allowed.
func TestWaitingRequestIsNotSentToARegionThatItLeftMeanwhile(t *testing.T) {
	testWaitingRequest(t, func(pf *gatewaytest.Platform, p *gatewaytest.Process) {
		pf.Store.Put(hostedtest.TopicOperator, "config", hostedtest.InRegions(hostedtest.Config(2), "write", "b"))
		require.Eventually(t, func() bool { return p.View.Current().Table.Version == 2 }, gatewaytest.MaxWait, time.Millisecond)
	})
}

// testWaitingRequest tests that a request which waits for room is not sent after a change.
func testWaitingRequest(t *testing.T, change func(*gatewaytest.Platform, *gatewaytest.Process)) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	pf.Topology = topology.New(map[string]string{"zone-a": "a"})
	p := pf.NewProcess(t)
	gate := make(chan struct{})
	body := bytes.Repeat([]byte("b"), 60<<10)
	held := holdServer(t, pf, p, 0, int64(len(body)), gate)
	p.Forward.Bodies = forward.NewServerBodies(64 << 10)
	send := func(id string) <-chan *kinds.Error {
		done := make(chan *kinds.Error, 1)
		call := newCall(t, p, id, "/write/x")
		call.Body, call.Deadline = body, time.Now().Add(gatewaytest.MaxWait)
		go func() {
			_, err := p.Forward.Send(t.Context(), call)
			done <- err
		}()
		return done
	}
	first := send("first")
	require.Eventually(t, func() bool { return held.Load() > 0 }, gatewaytest.MaxWait, time.Millisecond)
	second := send("second")
	require.Eventually(t, func() bool { return p.Forward.InFlight()[pf.Servers[0].ID] == 2 }, gatewaytest.MaxWait, time.Millisecond)
	change(pf, p)
	close(gate)
	require.Nil(t, <-first, "what runs there ends there")
	err := <-second
	require.NotNil(t, err)
	require.True(t, err.Answer().NotRun)
	require.Eventually(t, func() bool { return len(p.Forward.InFlight()) == 0 }, gatewaytest.MaxWait, time.Millisecond)
}

// Failure: a broker that does not know of an evacuation yet grants a place there. Guards against a
// permit that is used, and against one that is not given back.
func TestPermitAtAnEvacuatedServerIsGivenBack(t *testing.T) {
	pf, p := newDomains(t)
	behind := p.View.Current().Servers["plain"]
	s := share(t, pf, fixedEvidence{limit: 1}, func(*gatewaytest.Process) []members.Server { return behind })
	evacuate(t, pf, s.proc, "zone-a", false)
	for range 10 {
		_, err := s.proc.Forward.Send(t.Context(), newCall(t, s.proc, "r", "/score/x"))
		require.Nil(t, err)
	}
	require.Empty(t, pf.Servers[0].Arrivals())
	s.await(0, 0)
	s.hold().Done(0, evidence.Unused)
}

// Failure: a server of an evacuated failure domain is shut down while it runs a request. Guards
// against a request that counts as one that crashes servers.
func TestEndOfAnEvacuatedServerIsNoCrash(t *testing.T) {
	pf, p := newDomains(t)
	evacuate(t, pf, p, "zone-b", false)
	pf.Servers[1].Close()
	server := p.View.Current().Servers["plain"][1]
	require.False(t, p.Forward.ServerCrashed(t.Context(), "plain", server))
	evacuate(t, pf, p, "zone-b", true)
	require.True(t, p.Forward.ServerCrashed(t.Context(), "plain", server))
}
