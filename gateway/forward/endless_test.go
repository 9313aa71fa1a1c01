package forward_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/base/budget"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform/hosted/hostedtest"
)

const (
	// maxBodyBytes is the longest body that the forwarder reads, headBytes more than it reads of a head, and
	// networkBytes what fits into the buffers of two sockets on loopback.
	maxBodyBytes = 32 << 20
	headBytes    = 1 << 20
	networkBytes = 12 << 20
)

// Failure: a server in trouble sends bytes without end. Guards against a process that reads them until the
// request's deadline or until it runs out of memory: the outcome is unknown at once.
func TestEndlessAnswerIsBroken(t *testing.T) {
	for name, c := range map[string]struct {
		endless  hostedtest.Endless
		internal bool // a call for a sample
		maxBytes int
	}{
		"status line":          {hostedtest.EndlessStatus, false, headBytes},
		"header fields":        {hostedtest.EndlessHead, false, headBytes},
		"interim answers":      {hostedtest.EndlessInterim, false, headBytes},
		"body":                 {hostedtest.EndlessBody, false, maxBodyBytes},
		"body of a score":      {hostedtest.EndlessBody, true, headBytes},
		"head before no score": {hostedtest.EndlessHead, true, headBytes},
	} {
		t.Run(name, func(t *testing.T) {
			pf := gatewaytest.NewPlatform(t, 0, 1)
			pf.Servers[0].Fail(hostedtest.ServerFaults{Endless: c.endless})
			p := pf.NewProcess(t)
			call := newCall(t, p, "r", "/write/x")
			call.Deadline, call.Internal = time.Now().Add(time.Hour), c.internal
			ctx, cancel := context.WithTimeout(t.Context(), gatewaytest.MaxWait)
			defer cancel()
			_, err := p.Forward.Send(ctx, call)
			require.Equal(t, string(kinds.OutcomeUnknown), err.Kind())
			require.Less(t, pf.Servers[0].MaxEndlessBytes(), c.maxBytes+networkBytes)
		})
	}
}

// Failure: the same while there is no room for answers, so that they are passed on as they arrive. Guards against
// a caller who gets bytes without end.
func TestEndlessAnswerIsNotPassedOnWithoutEnd(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	pf.Servers[0].Fail(hostedtest.ServerFaults{Endless: hostedtest.EndlessBody})
	p := pf.NewProcess(t)
	p.Forward.Answers = budget.New(64<<10).Share("answers", 64<<10)
	call := newCall(t, p, "r", "/write/x")
	call.Deadline, call.PassOn = time.Now().Add(time.Hour), true
	reply, err := p.Forward.Send(t.Context(), call)
	require.Nil(t, err)
	defer reply.Close()
	require.EqualValues(t, -1, reply.Length())
	ctx, cancel := context.WithTimeout(t.Context(), gatewaytest.MaxWait)
	defer cancel()
	require.Error(t, reply.WriteBody(ctx, io.Discard))
	require.NoError(t, ctx.Err(), "the answer must not wait for its caller to leave")
	require.Less(t, pf.Servers[0].MaxEndlessBytes(), maxBodyBytes+networkBytes)
}
