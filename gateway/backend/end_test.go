package backend

import (
	"context"
	"math/rand/v2"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/base/outbound/outboundtest"
)

// newLateReader returns a pool whose writes learn of resets before its reads do.
func newLateReader(t *testing.T) *Pool {
	pool := newPool(t)
	dial := pool.Dial
	pool.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return outboundtest.LateReader(c), nil
	}
	return pool
}

// upload sends a request with a long body and returns the body of the answer.
func upload(t *testing.T, pool *Pool, server *outboundtest.Server, length int) (string, error) {
	req := request("1")
	req.Body = make([]byte, length)
	a, err := pool.Do(t.Context(), server.Addr, req)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := a.ReadAll(1 << 20)
	return string(body), err
}

// Failure: a server sends a part of an answer without a length, also an empty one, and resets the connection; the write of the
// request learns of that, and the read sees an end of file. Guards against a part that is taken for the whole.
func TestResetIsNoEndOfAnAnswer(t *testing.T) {
	for _, body := range []string{"", "part"} {
		server := outboundtest.NewResettingServer(t, outboundtest.OK(body).WithoutLength())
		pool := newLateReader(t)
		_, err := upload(t, pool, server, outboundtest.UploadBytes)
		require.ErrorIs(t, err, ErrBroken, "body %q", body)
		require.False(t, pool.HasIdle(server.Addr))
	}
}

// Failure: the same, with reads and writes in any order.
func TestResetsDuringUploadsAreNoEnds(t *testing.T) {
	for _, body := range []string{"", "part"} {
		server := outboundtest.NewResettingServer(t, outboundtest.OK(body).WithoutLength())
		pool := newPool(t)
		for round := range outboundtest.ResetRounds {
			length := 1 + rand.IntN(2*outboundtest.UploadBytes)
			got, err := upload(t, pool, server, length)
			require.ErrorIs(t, err, ErrBroken, "round %d, upload of %d bytes: %q was taken for the whole", round, length, got)
		}
	}
}

// Failure: a server answers before it has read the request, ends the connection in order and then resets it. Guards
// against a rule so strict that such an answer is lost.
func TestWholeEarlyAnswersCount(t *testing.T) {
	for _, body := range []string{"", "whole"} {
		server := outboundtest.NewEarlyServer(t, outboundtest.OK(body).WithoutLength())
		for _, pool := range []*Pool{newPool(t), newLateReader(t)} {
			got, err := upload(t, pool, server, outboundtest.UploadBytes)
			require.NoError(t, err, "body %q", body)
			require.Equal(t, body, got)
		}
	}
}

// Failure: a server ends the connection in order within its answer's head, or within a body with a length or chunks. Guards against
// an answer with the fields, or the part of the body, that have arrived.
func TestAnswersThatEndEarlyAreBroken(t *testing.T) {
	pool := newPool(t)
	for name, part := range outboundtest.EarlyEnds(outboundtest.OK("answer")) {
		server := outboundtest.NewEarlyServer(t, part)
		got, err := upload(t, pool, server, 1)
		require.ErrorIs(t, err, ErrBroken, "%s: %q was taken for the whole", name, got)
	}
}
