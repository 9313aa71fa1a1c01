package metrics

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHistogram(t *testing.T) {
	h := NewHistogram("test_latency")
	require.Same(t, h, NewHistogram("test_latency"))
	for _, d := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond, time.Minute} {
		h.Observe(d)
	}
	var got map[string]int64
	require.NoError(t, json.Unmarshal([]byte(h.String()), &got))
	require.EqualValues(t, 2, got["le_1_ms"])
	require.EqualValues(t, 1, got["le_5_ms"])
	require.EqualValues(t, 1, got["le_inf_ms"])
	require.EqualValues(t, 4, got["count"])
	require.EqualValues(t, 60004, got["sum_ms"])
}
