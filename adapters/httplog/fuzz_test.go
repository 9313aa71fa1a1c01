package httplog

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/platform"
)

// FuzzPage checks Read against a server that is not a log, or a faulty one. An accepted
// page has first, next and end, its records have increasing offsets from the requested one
// on, and next is not behind that offset unless the log itself ends before it. ErrTruncated
// is returned only for status 410 with the bounds from which to continue.
func FuzzPage(f *testing.F) {
	const from = 5
	for _, seed := range []string{
		`{"records":[{"offset":5,"time_ms":1,"data":"eA=="}],"next":6,"first":0,"end":6}`,
		`{"records":[],"next":5,"first":0,"end":5}`, `{}`, `null`, `[]`, ``, `<html>`, `{"records":null,"next":4}`,
		`{"records":[{"offset":6},{"offset":5}],"next":7,"end":7}`, `{"records":[{"offset":3}],"next":6,"end":6}`,
		`{"records":[{"offset":5,"data":"!"}],"next":6}`, `{"records":[{"offset":18446744073709551615}],"next":0}`,
	} {
		f.Add(200, []byte(seed))
		f.Add(410, []byte(seed))
	}
	var status int
	var body []byte
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}))
	f.Cleanup(server.Close)
	log := New(server.URL, "fuzz")
	f.Fuzz(func(t *testing.T, code int, data []byte) {
		if code < 200 || code > 599 {
			return
		}
		status, body = code, data
		got, err := log.Read(context.Background(), "s", from, 10, 0)
		if errors.Is(err, platform.ErrTruncated) {
			require.Equal(t, http.StatusGone, code)
			require.LessOrEqual(t, got.First, got.End)
			return
		}
		if err != nil {
			return
		}
		require.Equal(t, http.StatusOK, code)
		for _, bound := range []string{"next", "first", "end"} {
			require.Contains(t, strings.ToLower(string(data)), bound)
		}
		next := uint64(from)
		for _, r := range got.Records {
			require.GreaterOrEqual(t, r.Offset, next)
			next = r.Offset + 1
		}
		if got.End >= from {
			require.GreaterOrEqual(t, got.Next, next)
			require.LessOrEqual(t, got.Next, got.End)
		}
	})
}
