package forward_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/base/budget"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform/hosted/hostedtest"
)

const (
	// maxBodyBytes is the longest body that the forwarder reads, and headBytes more than it reads of a head.
	maxBodyBytes = 32 << 20
	headBytes    = 1 << 20
)

// readCounter counts what a process reads from its servers, without what stays in buffers of the network.
type readCounter struct {
	mu    sync.Mutex
	bytes int
	open  map[*countedConn]struct{} // connections that were read from
}

// countReads counts the reads of a process on connections to servers that it opens from now on.
func countReads(p *gatewaytest.Process) *readCounter {
	r := &readCounter{open: map[*countedConn]struct{}{}}
	wrapConns(p, func(c net.Conn) net.Conn { return &countedConn{TCPConn: c.(*net.TCPConn), counter: r} })
	return r
}

// requireStopped requires that the process has read at most limit bytes, and closed the connections that it
// has read from.
func (r *readCounter) requireStopped(t *testing.T, limit int) {
	t.Helper()
	require.Eventually(t, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.open) == 0
	}, gatewaytest.MaxWait, time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	require.Positive(t, r.bytes)
	require.LessOrEqual(t, r.bytes, limit)
}

type countedConn struct {
	*net.TCPConn
	counter *readCounter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.counter.mu.Lock()
	defer c.counter.mu.Unlock()
	c.counter.bytes += n
	if n > 0 {
		c.counter.open[c] = struct{}{}
	}
	return n, err
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.counter.mu.Lock()
	defer c.counter.mu.Unlock()
	delete(c.counter.open, c)
	return c.TCPConn.Close()
}

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
		"body":                 {hostedtest.EndlessBody, false, maxBodyBytes + headBytes},
		"body of a score":      {hostedtest.EndlessBody, true, headBytes},
		"head before no score": {hostedtest.EndlessHead, true, headBytes},
	} {
		t.Run(name, func(t *testing.T) {
			pf := gatewaytest.NewPlatform(t, 0, 1)
			pf.Servers[0].Fail(hostedtest.ServerFaults{Endless: c.endless})
			p := pf.NewProcess(t)
			reads := countReads(p)
			call := newCall(t, p, "r", "/write/x")
			call.Deadline, call.Internal = time.Now().Add(time.Hour), c.internal
			ctx, cancel := context.WithTimeout(t.Context(), gatewaytest.MaxWait)
			defer cancel()
			_, err := p.Forward.Send(ctx, call)
			require.Equal(t, string(kinds.OutcomeUnknown), err.Kind())
			reads.requireStopped(t, c.maxBytes)
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
	reads := countReads(p)
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
	reply.Close()
	reads.requireStopped(t, maxBodyBytes+headBytes)
}
