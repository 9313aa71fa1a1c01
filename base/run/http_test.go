package run

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/base/metrics"
)

// The metrics are served on the same listener as the callers' requests, so they must
// not include the command line: a setting given as a flag may be a secret.
func TestMetricsOmitTheCommandLine(t *testing.T) {
	metrics.Counter("test_total").Add(3)
	w := httptest.NewRecorder()
	NewHTTP("127.0.0.1:0").ServeHTTP(w, httptest.NewRequest("GET", "/debug/vars", nil))
	var all map[string]any
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &all), w.Body)
	require.Equal(t, 3.0, all["test_total"])
	require.Contains(t, all, "memstats")
	require.NotContains(t, all, "cmdline")
}
