package jobs_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// Failure: an engine in trouble sends bytes without end in place of a sample's text. Guards against an owner that
// holds them until the engine counts as silent, and runs out of memory with many samples there.
func TestSampleLeavesAnEngineThatSendsBytesWithoutEnd(t *testing.T) {
	for name, endless := range map[string]hostedtest.Endless{
		"head": hostedtest.EndlessHead, "interim answers": hostedtest.EndlessInterim, "line": hostedtest.EndlessBody, "comments": hostedtest.EndlessComments,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const maxBytes = 16 << 20 // what sockets on loopback buffer, and more than an event
			pf := gatewaytest.NewPlatform(t, 2, 1)
			pf.Engines[0].Fail(hostedtest.ServerFaults{Endless: endless})
			e := newEntry(t, pf, "a")
			e.submit(t, "j", 6, 1)
			requireComplete(t, e.results(t, "j", 6), pf.Engines[1].Events)
			require.NotEmpty(t, pf.Engines[0].Arrivals())
			require.Less(t, pf.Engines[0].MaxEndlessBytes(), maxBytes)
		})
	}
}
