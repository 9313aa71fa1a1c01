package answer

import (
	"encoding/json"
	"errors"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/kinds"
)

func TestErrorForm(t *testing.T) {
	sent := kinds.Hold()
	sent.MarkSent()
	cases := []struct {
		name   string
		err    error
		status int
		kind   string
		notRun bool
		retry  bool
	}{
		{"refusal", kinds.Hold().Refuse(kinds.Overloaded, "queue full"), 503, "overloaded", true, true},
		{"refusal after the send", sent.Refuse(kinds.Overloaded, "queue full"), 502, "outcome_unknown", false, false},
		{"no kind", errors.New("boom"), 500, "internal", false, true},
		{"newer process's kind", kinds.FromWire(kinds.Refusal{Kind: "novel", NotRun: true}), 500, "novel", true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			Error(w, "r1", c.err)
			var body ErrorBody
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
			require.Equal(t, c.status, w.Code)
			require.Equal(t, c.kind, body.Error.Kind)
			require.Equal(t, c.notRun, body.Error.NotRun)
			require.Equal(t, "r1", body.Error.RequestID)
			require.Equal(t, "r1", w.Header().Get(HeaderRequestID))
			require.Equal(t, c.retry, w.Header().Get("Retry-After") != "")
		})
	}
}

// Refused callers all get the same advice. If all of them retried at the same moment, the
// overload would repeat. So the advice is spread, never shortened, and rounded up to whole
// seconds.
func TestRetryAfterIsSpreadAndRoundedUp(t *testing.T) {
	seen := map[int64]bool{}
	for range 200 {
		w := httptest.NewRecorder()
		Error(w, "r", kinds.Hold().Refuse(kinds.RateLimited, "x").WithRetryAfter(4*time.Second))
		var body ErrorBody
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
		require.GreaterOrEqual(t, body.Error.RetryAfterMS, int64(4000))
		require.LessOrEqual(t, body.Error.RetryAfterMS, int64(5000))
		header, err := strconv.ParseInt(w.Header().Get("Retry-After"), 10, 64)
		require.NoError(t, err)
		require.GreaterOrEqual(t, header*1000, body.Error.RetryAfterMS)
		seen[body.Error.RetryAfterMS] = true
	}
	require.Greater(t, len(seen), 10)
}

// Guards against a refused head that callers take for a request with an unknown outcome.
func TestHeadRefusal(t *testing.T) {
	for status, kind := range map[int]string{503: "overloaded", 431: "too_large"} {
		header, data := HeadRefusal(status)
		require.Equal(t, "application/json", header.Get("Content-Type"))
		var body ErrorBody
		require.NoError(t, json.Unmarshal(data, &body))
		require.Equal(t, kind, body.Error.Kind)
		require.True(t, body.Error.NotRun)
		require.Equal(t, status == 503, body.Error.RetryAfterMS > 0)
	}
}
