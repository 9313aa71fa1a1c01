package forward_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/gateway/gatewaytest"
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
	for i := range 30 {
		reply, err := s.proc.Forward.Send(context.Background(), newCall(t, s.proc, fmt.Sprint("r", i), "/score/x"))
		require.Nil(t, err)
		require.Equal(t, "p2", reply.Server)
		reply.Close()
	}
}
