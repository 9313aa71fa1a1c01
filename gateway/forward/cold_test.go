package forward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/members"
	"dandelionsill.org/gateway/forward"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// newColdProcess starts a process for a service whose servers may be cold and get so many requests in
// any second, and waits until it sends.
func newColdProcess(t *testing.T, rate float64, processes ...string) (*gatewaytest.Platform, *gatewaytest.Process) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	pf.Store.Put(hostedtest.TopicOperator, "config", hostedtest.Cold(hostedtest.Config(2), "plain", rate))
	p := pf.NewProcess(t)
	p.Forward.UseColdBounds(1, 0, "vm-0", func() []string { return processes })
	return pf, p
}

// A burst of requests reaches a server that may be cold, and ends it: beyond its share the process
// refuses them at once, as not run.
func TestBurstAtAServerThatMayBeCold(t *testing.T) {
	pf, p := newColdProcess(t, 1, "vm-0")
	send := func() *kinds.Error {
		_, err := p.Forward.Send(t.Context(), newCall(t, p, "r", "/write/x"))
		return err
	}
	require.Eventually(t, func() bool { return send() == nil }, gatewaytest.MaxWait, time.Millisecond)
	const burst = 20
	refused := 0
	for range burst {
		if err := send(); err != nil {
			refused++
			require.True(t, err.NotRun())
			require.Positive(t, err.Answer().RetryAfter)
		}
	}
	require.Positive(t, refused)
	require.Len(t, pf.Servers[0].Arrivals(), 1+burst-refused)
}

// A process that doesn't know how many others there are sends as much as one alone might.
func TestProcessesAreUnknown(t *testing.T) {
	pf, p := newColdProcess(t, 50)
	_, err := p.Forward.Send(t.Context(), newCall(t, p, "r", "/write/x"))
	require.NotNil(t, err)
	require.True(t, err.NotRun())
	require.Empty(t, pf.Servers[0].Arrivals())
}

// A permit that came late is used after the broker has stopped counting it.
func TestOldPermitIsNotUsed(t *testing.T) {
	_, p := newColdProcess(t, 50, "vm-0")
	server := p.View.Current().Servers["plain"][0]
	call := forward.Call{ID: "r", Header: http.Header{}}
	require.True(t, p.Forward.MaySend(call, server, time.Now()))
	require.False(t, p.Forward.MaySend(call, server, time.Now().Add(-time.Second)))
}

// A service without care for cold servers pays for it on each request.
func TestServicesWithoutColdServersAreNotChecked(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	p := pf.NewProcess(t)
	server := p.View.Current().Servers["plain"][0]
	require.False(t, p.Forward.IsChecked(server))
	p.Forward.UseColdBounds(1, 0, "vm-0", func() []string { return nil })
	require.False(t, p.Forward.IsChecked(server))
	_, isBounded := p.Forward.BrokerGrants(&members.Server{Service: "plain"}, true, time.Now())
	require.False(t, isBounded)
}

// A failure domain is taken back from its evacuation: its servers get as much as warm ones, although
// they may have lost what they had warmed up and their entries don't say so.
func TestServersThatAreTakenBackCountAsCold(t *testing.T) {
	_, p := newColdProcess(t, 50, "vm-0")
	p.Forward.UseColdBounds(2, 0, "vm-0", func() []string { return []string{"vm-0"} })
	server, now := p.View.Current().Servers["plain"][0], time.Now()
	granted := func(at time.Time) int {
		n, isBounded := p.Forward.FloorGrants(&server, at)
		require.True(t, isBounded)
		return n
	}
	warm := granted(now)
	server.BackSince = now
	require.Less(t, granted(now), warm)
	require.Equal(t, warm, granted(now.Add(time.Minute)))
}
