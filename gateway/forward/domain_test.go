package forward_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/decide/fanout"
	"dandelionsill.org/decide/topology"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/gateway/reach"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// Guards against a request that is sent twice into a failure domain which is cut off and then waits
// for its deadline. Load: thirty requests, two of three servers silent in one domain.
func TestHedgeLeavesSilentDomain(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 3)
	pf.Servers[2].FailureDomain = "zone-b"
	pf.Register(pf.Servers[2], "ready")
	pf.Servers[0].Fail(hostedtest.ServerFaults{Unresponsive: true})
	pf.Servers[1].Fail(hostedtest.ServerFaults{Unresponsive: true})
	s := share(t, pf, fixedEvidence{limit: 100}, nil)
	s.proc.Forward.BearsLostDomains = true
	for i := range 30 {
		reply, err := s.proc.Forward.Send(context.Background(), newCall(t, s.proc, fmt.Sprint("r", i), "/score/x"))
		require.Nil(t, err)
		require.Equal(t, "p2", reply.Server)
		reply.Close()
	}
}

// Guards against requests of a process that is cut off which wait for servers of other failure
// domains while one of its own domain answers. Load: thirty requests one after the other, two of
// three servers out of reach.
func TestCutProcessUsesServersOfItsDomain(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 3)
	for _, i := range []int{0, 1} {
		pf.Servers[i].FailureDomain = "zone-b"
		pf.Servers[i].Fail(hostedtest.ServerFaults{Unresponsive: true})
		pf.Register(pf.Servers[i], "ready")
	}
	p := pf.NewProcess(t)
	p.Forward.Reach = reach.New(reach.Config{
		FailureDomain: "zone-a", SinceAnswer: func() time.Duration { return time.Hour }, Logger: zap.NewNop(),
		Peers: func() []fanout.Member { return []fanout.Member{{VM: "b", Addr: "b:1", FailureDomain: "zone-b"}} },
		Dial:  func(context.Context, string) error { return context.DeadlineExceeded },
	})
	p.Go(p.Forward.Reach.Run)
	require.Eventually(t, p.Forward.Reach.IsIsolated, gatewaytest.MaxWait, time.Millisecond)
	for i := range 30 {
		reply, err := p.Forward.Send(t.Context(), newCall(t, p, fmt.Sprint("r", i), "/score/x"))
		require.Nil(t, err)
		require.Equal(t, "p2", reply.Server)
		reply.Close()
	}
	require.Empty(t, pf.Servers[0].Arrivals())
	require.Empty(t, pf.Servers[1].Arrivals())
}

// Guards against a first hedge that is refused although its failure domain has a free server, because
// the only other domain is in a region that is not allowed. Load: ten requests, one of two allowed
// servers silent.
func TestHedgeStaysInAllowedRegions(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 3)
	pf.Topology = topology.New(map[string]string{"zone-a": "a", "zone-b": "b"})
	pf.Servers[2].FailureDomain = "zone-b"
	pf.Register(pf.Servers[2], "ready")
	pf.Servers[0].Fail(hostedtest.ServerFaults{Unresponsive: true})
	pf.Store.Put(hostedtest.TopicOperator, "config", hostedtest.InRegions(hostedtest.Config(2), "score", "a"))
	s := share(t, pf, fixedEvidence{limit: 100}, nil)
	for i := range 10 {
		reply, err := s.proc.Forward.Send(context.Background(), newCall(t, s.proc, fmt.Sprint("r", i), "/score/x"))
		require.Nil(t, err)
		require.Equal(t, "p1", reply.Server)
		reply.Close()
	}
	require.Zero(t, s.asks.refused.Load())
}
