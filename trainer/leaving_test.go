package trainer_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// All entries that the client knows are leaving for a few seconds, as in a
// rolling replacement or behind one balancer address. The client posts its step
// again without any pause: a hot loop of whole steps, each with a new attempt,
// at entries that are about to stop, although each answer says when to come back.
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
