package outbound

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/base/outbound/outboundtest"
)

// post sends a long upload and returns the body of the answer.
func post(t *testing.T, client *http.Client, server *outboundtest.Server, upload int) (string, error) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL(), bytes.NewReader(make([]byte, upload)))
	require.NoError(t, err)
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// newLateReader returns a client whose writes learn of resets before its reads do.
func newLateReader() *http.Client {
	return &http.Client{Transport: NewTransport(&http.Transport{DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return outboundtest.LateReader(c), nil
		}})}
}

// Failure: a server sends a part of an answer without a length, also an empty one, and resets the connection; the write of the
// request learns of that, and the read sees an end of file. Guards against a part that is taken for the whole.
func TestResetIsNoEndOfAnAnswer(t *testing.T) {
	for _, body := range []string{"", "part"} {
		server := outboundtest.NewResettingServer(t, outboundtest.OK(body).WithoutLength())
		for _, upload := range []int{1, outboundtest.UploadBytes} {
			client := newLateReader()
			_, err := post(t, client, server, upload)
			require.ErrorIs(t, err, ErrReset, "body %q, upload of %d bytes", body, upload)
			client.CloseIdleConnections()
		}
	}
}

// Failure: the same, with reads and writes in any order.
func TestResetsDuringUploadsAreNoEnds(t *testing.T) {
	for _, body := range []string{"", "part"} {
		server := outboundtest.NewResettingServer(t, outboundtest.OK(body).WithoutLength())
		client := newClient()
		for round := range outboundtest.ResetRounds {
			got, err := post(t, client, server, outboundtest.UploadBytes)
			require.Error(t, err, "round %d: %q was taken for the whole", round, got)
		}
		client.CloseIdleConnections()
	}
}

// Failure: a server answers before it has read the request, ends the connection in order and then resets it. Guards
// against a rule so strict that such an answer is lost.
func TestWholeEarlyAnswersCount(t *testing.T) {
	for _, body := range []string{"", "whole"} {
		server := outboundtest.NewEarlyServer(t, outboundtest.OK(body).WithoutLength())
		for _, upload := range []int{1, outboundtest.UploadBytes} {
			client := newLateReader()
			got, err := post(t, client, server, upload)
			require.NoError(t, err, "body %q, upload of %d bytes", body, upload)
			require.Equal(t, body, got)
			client.CloseIdleConnections()
		}
	}
}

// Failure: a server ends the connection in order within its answer's head, or within a body with a length or chunks. Guards against
// an answer with the fields, or the part of the body, that have arrived.
func TestAnswersThatEndEarlyAreErrors(t *testing.T) {
	for name, part := range outboundtest.EarlyEnds(answer) {
		server := outboundtest.NewEarlyServer(t, part)
		client := newClient()
		got, err := post(t, client, server, 1)
		require.Error(t, err, "%s: %q was taken for the whole", name, got)
	}
}
