package forward_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/base/outbound/outboundtest"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// withoutLength returns an answer that bears its server's signature and ends with its connection.
func withoutLength(body string) string {
	return outboundtest.Answer{Status: http.StatusOK, Fields: hostedtest.SignedFields(), Body: body}.WithoutLength()
}

// readLate makes a process's writes on its first connections to the servers learn of resets before its reads do.
func readLate(p *gatewaytest.Process, connections int64) {
	left := counter(connections)
	wrapConns(p, func(c net.Conn) net.Conn {
		if left.Add(-1) < 0 {
			return c
		}
		return outboundtest.LateReader(c)
	})
}

// wrapConns makes a process use the results of wrap as its connections to servers.
func wrapConns(p *gatewaytest.Process, wrap func(net.Conn) net.Conn) {
	dial := p.Pool.Dial
	p.Pool.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return wrap(c), nil
	}
}

// resetOnce makes the servers answer one request with raw and a reset.
func resetOnce(servers []*hostedtest.Server, raw string) {
	left := counter(1)
	for _, s := range servers {
		s.Fail(hostedtest.ServerFaults{Raw: raw, RawLeft: left, Reset: true})
	}
}

// Failure: a server answers a write with a part of its answer, also an empty one, while it is being uploaded, and resets the
// connection. Guards against a caller who gets the part as the whole.
func TestResetDuringAWriteIsUnknown(t *testing.T) {
	for _, part := range []string{"", "part"} {
		pf := gatewaytest.NewPlatform(t, 0, 1)
		p := pf.NewProcess(t)
		readLate(p, 2)
		pf.Servers[0].Fail(hostedtest.ServerFaults{Raw: withoutLength(part), Reset: true})
		for _, passOn := range []bool{false, true} {
			call := newCall(t, p, "r", "/write/x")
			call.Deadline, call.PassOn, call.Body = time.Now().Add(gatewaytest.MaxWait), passOn, make([]byte, outboundtest.UploadBytes)
			reply, err := p.Forward.Send(t.Context(), call)
			require.Nil(t, reply, "part %q", part)
			require.Equal(t, string(kinds.OutcomeUnknown), err.Kind())
			require.False(t, err.NotRun())
		}
	}
}

// Failure: one of two servers does so to a request that may be repeated. Guards against an end with a part or an error.
func TestResetSendsSafeRequestElsewhere(t *testing.T) {
	for _, part := range []string{"", "part"} {
		pf := gatewaytest.NewPlatform(t, 0, 2)
		p := pf.NewProcess(t)
		readLate(p, 1)
		resetOnce(pf.Servers, withoutLength(part))
		call := newCall(t, p, "r", "/score/x")
		unhedged := *call.Route
		unhedged.LatencyObjective = time.Hour
		call.Route, call.Deadline, call.Body = &unhedged, time.Now().Add(gatewaytest.MaxWait), make([]byte, outboundtest.UploadBytes)
		reply, err := p.Forward.Send(t.Context(), call)
		require.Nil(t, err)
		require.Equal(t, "answer to r", string(reply.Body))
		require.Len(t, arrivals(pf.Servers), 2)
	}
}

// Failure: an engine does so between two events of a stream. Guards against a stream that ends there as if whole.
func TestResetStreamResumesOnAnotherServer(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 2, 0)
	p := pf.NewProcess(t)
	readLate(p, 1)
	resetOnce(pf.Engines, withoutLength("id: 1\ndata: s.1\n\n"))
	call := newCall(t, p, "s", "/chat/x")
	call.Deadline, call.Body = time.Now().Add(gatewaytest.MaxWait), make([]byte, outboundtest.UploadBytes)
	resp, events, err := readStreamOf(t, p, call, nil)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.ErrorIs(t, err, io.EOF)
	requireEvents(t, events, 1, pf.Engines[0].Events)
	require.Len(t, arrivals(pf.Engines), 2)
}
