package weights_test

import (
	"bytes"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/adapters/httpstore"
	"dandelionsill.org/platform"
	"dandelionsill.org/standin/weights"
)

const (
	model   = "drafter-lm"
	patient = 20 * time.Second
	tick    = time.Millisecond
)

func start(t *testing.T, cfg weights.Config) (*weights.Weights, *httpstore.Store) {
	t.Helper()
	s, err := weights.New(cfg)
	require.NoError(t, err)
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return s, httpstore.New(srv.URL, "agent-1")
}

func TestPutAndFetch(t *testing.T) {
	s, c := start(t, weights.Config{Initial: model + ":1:100"})
	data := weights.GenerateBytes(model, 2, 100_000)
	require.NoError(t, c.Put(t.Context(), platform.WeightInfo{Model: model, Version: 2, Bytes: int64(len(data))}, bytes.NewReader(data)))
	latest, err := c.Latest(t.Context(), model)
	require.NoError(t, err)
	require.EqualValues(t, 2, latest.Version)
	r, info, err := c.Fetch(t.Context(), model, 2)
	require.NoError(t, err)
	defer r.Close()
	got, err := io.ReadAll(r)
	require.NoError(t, err)
	require.Equal(t, latest, info)
	require.True(t, bytes.Equal(data, got))
	require.Eventually(t, func() bool { return len(s.Fetches()) == 1 }, patient, tick)
	require.Equal(t, "agent-1", s.Fetches()[0].Client)

	_, err = c.Latest(t.Context(), "other")
	require.ErrorIs(t, err, platform.ErrNotFound)
	_, _, err = c.Fetch(t.Context(), model, 9)
	require.ErrorIs(t, err, platform.ErrNotFound)
}

// The store's connection breaks in the middle of the weights. The fetcher gets
// an error, and the truth does not count the fetch as whole.
func TestCutFetchIsAnError(t *testing.T) {
	s, c := start(t, weights.Config{Initial: model + ":1:100000"})
	s.Faults.Apply(weights.Faults{DropAfterBytes: 50_000})
	r, _, err := c.Fetch(t.Context(), model, 1)
	require.NoError(t, err)
	defer r.Close()
	_, err = io.ReadAll(r)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Eventually(t, func() bool { return len(s.Fetches()) == 1 }, patient, tick)
	require.False(t, s.Fetches()[0].Complete)

	s.Faults.Apply(weights.Faults{Down: true})
	_, err = c.Latest(t.Context(), model)
	require.Error(t, err)
}
