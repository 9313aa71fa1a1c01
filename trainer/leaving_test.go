package trainer_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a client that posts its step in a busy loop, each time with a
// new attempt, while all its entries are leaving and each answer has a retry
// delay. All entries leave at once for a few seconds in a rolling replacement or
// behind a single balancer address.
func TestAllEntriesLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started, requests := time.Now(), 0
		_, err := runStep(newClient(t, func(*http.Request) (int, http.Header, string) {
			requests++
			if requests > 500 || time.Since(started) > 10*time.Second {
				return http.StatusBadRequest, nil, `{"error":{"kind":"bad_request"}}`
			}
			return http.StatusServiceUnavailable, nil, `{"error":{"kind":"leaving","not_run":true,"retry_after_ms":1000}}`
		}), oneGroup)
		require.ErrorContains(t, err, "bad_request")
		require.LessOrEqual(t, requests, 30, "posts in 10 s")
	})
}
