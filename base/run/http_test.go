package run

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/base/metrics"
)

// The metrics stand on the callers' listener. A setting given as a flag, which
// may be a secret, must not stand among them.
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
