package server

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/entry/answer"
)

// Callers, trainers and operators send invalid requests. Each must get one error
// that names the mistake, has the request's id and sets not_run. None may start a
// step or announce a version.
func TestBadInput(t *testing.T) {
	const key = "018bcfe5-6800-7000-8000-000000000001"
	const completion = `{"model":"drafter","prompt":"x","max_tokens":5}`
	group := func(fields string) string {
		return `{"step":1,"attempt":1,"groups":[{"id":"g","prompt":"p",` + fields + `}]}`
	}
	for name, c := range map[string]struct {
		request, token, header, body string
		kind, message                string
	}{
		"no token":                  {"POST /v1/completions", "", "", completion, "unauthenticated", "Authorization is missing"},
		"wrong token":               {"POST /v1/completions", "x", "", completion, "unauthenticated", "in no caller or trainer"},
		"a trainer's token":         {"POST /v1/completions", "t", "", completion, "forbidden", "is a trainer's"},
		"a caller's token":          {"POST /v1/steps", "p", "", group(`"samples":1`), "forbidden", "is a caller's"},
		"unknown model":             {"POST /v1/completions", "p", "", `{"model":"draftr","prompt":"x"}`, "not_found", `no model "draftr"`},
		"unknown field":             {"POST /v1/completions", "p", "", `{"model":"drafter","prompt":"x","max_token":5}`, "bad_request", `"max_token"`},
		"malformed completion":      {"POST /v1/completions", "p", "", `{"model":`, "bad_request", "not the JSON"},
		"two completions":           {"POST /v1/completions", "p", "", completion + completion, "bad_request", "behind its JSON value"},
		"no prompt":                 {"POST /v1/completions", "p", "", `{"model":"drafter"}`, "bad_request", "prompt is empty"},
		"too many tokens":           {"POST /v1/completions", "p", "", `{"model":"drafter","prompt":"x","max_tokens":99999}`, "bad_request", "takes 1 to 4096"},
		"GET completion":            {"GET /v1/completions", "p", "", "", "not_found", "POST only"},
		"body over the limit":       {"POST /v1/completions", "p", "", strings.Repeat("x", 5000), "too_large", "4096 bytes"},
		"zero deadline":             {"POST /v1/completions", "p", "Dandelion-Timeout-Ms: 0", completion, "bad_request", "Dandelion-Timeout-Ms"},
		"deadline with a unit":      {"POST /v1/completions", "p", "Dandelion-Timeout-Ms: 1s", completion, "bad_request", `"1s"`},
		"bad request id":            {"POST /v1/completions", "p", "X-Request-Id: a b", completion, "bad_request", "X-Request-Id"},
		"unknown service":           {"GET /svc/ordrs/status", "p", "", "", "not_found", `no service "ordrs"`},
		"no service":                {"GET /svc/", "p", "", "", "not_found", `no service ""`},
		"unknown route":             {"GET /svc/orders/x", "p", "", "", "not_found", "no route for GET /x"},
		"ambiguous path":            {"GET /svc/orders/status/%2e%2e/orders", "p", "", "", "not_found", "no route"},
		"key is missing":            {"POST /svc/orders/orders", "p", "", "", "bad_request", "Idempotency-Key"},
		"key is no UUIDv7":          {"POST /svc/orders/orders", "p", "Idempotency-Key: " + key[:14] + "4" + key[15:], "", "bad_request", "UUIDv7"},
		"malformed step":            {"POST /v1/steps", "t", "", `{"step":`, "bad_request", "body"},
		"step without samples":      {"POST /v1/steps", "t", "", group(`"samples":0`), "bad_request", "samples"},
		"step without attempt":      {"POST /v1/steps", "t", "", `{"step":1,"groups":[]}`, "bad_request", "attempt"},
		"step too large":            {"POST /v1/steps", "t", "", strings.Repeat("x", 5000), "too_large", "4096 bytes"},
		"too many tokens in a step": {"POST /v1/steps", "t", "", group(`"samples":1,"max_tokens":99999`), "bad_request", "limit is 4096"},
		"cursor is no number":       {"GET /v1/steps/1/groups?attempt=1&cursor=x", "t", "", "", "bad_request", "cursor"},
		"version is a string":       {"POST /v1/versions", "t", "", `{"version":"5"}`, "bad_request", `{"version": N}`},
		"two versions":              {"POST /v1/versions", "t", "", `{"version":5}{"version":6}`, "bad_request", `{"version": N}`},
		"a caller's version":        {"POST /v1/versions", "p", "", `{"version":5}`, "forbidden", "is a caller's"},
		"unknown path":              {"POST /v1/completion", "p", "", completion, "not_found", "no path /v1/completion"},
		"wrong method":              {"DELETE /v1/versions", "t", "", "", "not_found", "does not take DELETE"},
		"explain without an id":     {"GET /v1/explain/", "o", "", "", "bad_request", "id to explain"},
		"explain without a token":   {"GET /v1/explain/r", "", "", "", "unauthenticated", "Authorization"},
		"explain by a caller":       {"GET /v1/explain/r", "p", "", "", "forbidden", "no operator's"},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry(t)
			method, target, _ := strings.Cut(c.request, " ")
			r := httptest.NewRequest(method, target, strings.NewReader(c.body))
			if c.token != "" {
				r.Header.Set("Authorization", "Bearer "+c.token)
			}
			if name, value, ok := strings.Cut(c.header, ": "); ok {
				r.Header.Set(name, value)
			}
			w := httptest.NewRecorder()
			e.http().Handler.ServeHTTP(w, r)
			var got answer.ErrorBody
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &got), w.Body)
			require.Equal(t, c.kind, got.Error.Kind, w.Body)
			require.Contains(t, got.Error.Message, c.message)
			require.True(t, got.Error.NotRun)
			require.NotEmpty(t, got.Error.RequestID)
			require.Equal(t, got.Error.RequestID, w.Header().Get(answer.HeaderRequestID))
			require.Empty(t, e.viewer.(fakeViewer).announced)
		})
	}
}
