package forward_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// endedMost is how many servers a request may end: three that show what it does, and
// three more retries that were under way or came before all processes had heard of it.
const endedMost = 6

// A caller's request crashes each server that runs it. Its caller gets 502 and asks
// again, at any gateway and with a new id, and the servers are back after each attempt.
// In one case over a dozen servers ended so: all four of a service, four times over, and
// other callers found no server meanwhile. The logs had two servers for each attempt,
// "connection broke before the whole answer: unexpected EOF", at gateway after gateway.
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
		reply, err := p.Forward.Send(t.Context(), call(t, p, "attempt-"+strconv.Itoa(i), "/score/deadly"))
		require.NotNil(t, err, "%v", reply)
		ended += pf.Revive(t, crash)
		for _, g := range gateways {
			require.Eventually(t, func() bool { return g.Knows(pf) }, gatewaytest.Wait, time.Millisecond)
		}
	}
	require.LessOrEqual(t, ended, endedMost, "servers ended under one request")
	p := gateways[0]
	_, err := p.Forward.Send(t.Context(), call(t, p, "other", "/score/other"))
	require.Nil(t, err, "other requests are served")
}
