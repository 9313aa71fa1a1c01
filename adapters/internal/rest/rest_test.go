package rest_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/adapters/internal/rest"
)

// The worst case for a silent repeat: a kept-alive connection breaks under a
// request with an Idempotency-Key header. http.Transport would send it again
// if it could rewind the body.
func TestBodyIsNeverSentAgain(t *testing.T) {
	var seen atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if seen.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(srv.Close)
	c := rest.New(srv.URL, "entry-1")
	send := func() (bool, error) {
		resp, sent, err := c.Do(t.Context(), rest.Request{
			Method: http.MethodPost,
			Path:   "/",
			Header: map[string]string{"Idempotency-Key": "k"},
			Body:   strings.NewReader("body"),
			Size:   4,
		})
		if err == nil {
			rest.DrainAndClose(resp)
		}
		return sent, err
	}
	_, err := send()
	require.NoError(t, err)
	sent, err := send()
	require.Error(t, err)
	require.True(t, sent)
	require.EqualValues(t, 2, seen.Load())
}
