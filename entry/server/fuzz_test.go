package server

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"dandelionsill.org/base/settings"
	"dandelionsill.org/confsync"
	"dandelionsill.org/entry/answer"
	"dandelionsill.org/entry/front"
	"dandelionsill.org/entry/steps"
	"dandelionsill.org/manifest"
)

var fuzzManifest = strings.Replace(manifestText, "[fleet]\n", "[fleet]\noperator_sha256 = 65c74c15a686187bb6bbf9958f494fc6b80068034a659a9ad44991b08c58f2d2\n", 1) + `
[service orders]
[route orders.read]
methods = GET
prefix = /status
repeat = always
[route orders.write]
prefix = /orders
require_key = true
[caller shop]
token_sha256 = 148de9c5a7a44d19e56cd9ae1a554bf67847afb0c58f6e12fa29ac7ddfca9940
allow = drafter, orders
`

// newTestEntry returns an entry with fuzzManifest and no agents. Its tokens are
// "p" for the caller, "t" for the trainer and "o" for the operator.
func newTestEntry(tb testing.TB) *entry {
	m, err := manifest.Parse("test", []byte(fuzzManifest))
	require.NoError(tb, err)
	static := confsync.Static{V: &confsync.View{Number: 1, Manifest: m}}
	set := Settings{Entry: Entry{MaxBody: 4096, MaxStepBody: 4096, MaxAttempts: 2, ExplainRecords: 64}}
	set.Process = settings.Process{Name: "e", Listen: "127.0.0.1:0", HTTP: "127.0.0.1:0", LogLevel: "error"}
	set.Platform = settings.Platform{Log: "http://127.0.0.1:1", VMs: "http://127.0.0.1:1"}
	e, err := newEntry(set, manifest.Keys{"k": make([]byte, 32)})
	require.NoError(tb, err)
	e.viewer = fakeViewer{static, map[string]uint64{}}
	e.front = front.New(front.Config{Viewer: static, MaxBody: 4096, Ring: e.ring})
	e.steps.Close()
	e.steps = steps.New(steps.Config{Name: "e", Fleet: e.agents, View: static, Log: e.platformLog, Logger: e.logger, MaxBody: 4096})
	tb.Cleanup(e.steps.Close)
	return e
}

// FuzzRequest checks that any HTTP request is answered without a panic. As there
// are no agents, nothing can have run. So each answer on the callers' paths must
// be a JSON error with not_run set and a kind other than internal.
func FuzzRequest(f *testing.F) {
	const key = "018bcfe5-6800-7000-8000-000000000001"
	for _, s := range [][7]string{
		{"POST", "/v1/completions", "p", key, "1000", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", `{"model":"drafter","prompt":"x","max_tokens":5,"stream":true,"seed":1}`},
		{"POST", "/v1/completions", "p", "", "-1", "00-0-0-0", `{"model":"drafter","prompt":"x","max_token":5}`},
		{"POST", "/v1/completions", "p", "", "99999999999999999999", "zz", `{"model":"m","prompt":"x"} {}`},
		{"GET", "/svc/orders/status/1?a=%2e%2e", "p", "x", "1e3", "", ""},
		{"GET", "/svc/orders/status/%2e%2e/orders", "p", key, "", "", ""},
		{"POST", "/svc/orders//orders", "p", key, "", "", "x"},
		{"POST", "/svc/orders/orders/1%00", "p", "{" + key + "}", "", "", "x"},
		{"POST", "/svc/%6frders/orders", "p", "urn:uuid:" + key, "", "", "x"},
		{"PUT", "/svc/", "p", "", "", "", ""}, {"GET", "/svc", "p", "", "", "", ""},
		{"POST", "/v1/steps", "t", "", "", "", `{"step":1,"attempt":1,"groups":[{"id":"g","prompt":"p","samples":-1}]}`},
		{"POST", "/v1/steps", "t", "", "", "", `{"step":1,"attempt":1,"groups":[{"id":"g","prompt":"p","samples":1,"max_tokens":99999}]}`},
		{"GET", "/v1/steps/1/groups?attempt=-1&cursor=9&wait_ms=1", "t", "", "", "", ""},
		{"DELETE", "/v1/steps/18446744073709551616?attempt=1", "t", "", "", "", ""},
		{"POST", "/v1/versions", "t", "", "", "", `{"version":-1}`}, {"POST", "/v1/versions", "t", "", "", "", `{"version":1}{}`},
		{"GET", "/v1/explain/%2f%2e%2e", "o", "", "", "", ""},
	} {
		f.Add(s[0], s[1], s[2], s[3], s[4], s[5], []byte(s[6]))
	}
	otel.SetTextMapPropagator(propagation.TraceContext{})
	e := newTestEntry(f)
	handler := e.http().Handler
	f.Fuzz(func(t *testing.T, method, target, token, key, timeout, traceparent string, body []byte) {
		raw := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\nDandelion-Timeout-Ms: %s\r\ntraceparent: %s\r\nContent-Length: %d\r\n\r\n%s",
			method, target, token, key, timeout, traceparent, len(body), body)
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader([]byte(raw))))
		if err != nil || r.Method == "CONNECT" {
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // so that no long poll and no step outlives its request
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r.WithContext(ctx))
		if p := r.URL.Path; p != "/v1/completions" && !bytes.HasPrefix([]byte(p), []byte("/svc/")) {
			return
		}
		var got answer.ErrorBody
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &got), "%d %s", w.Code, w.Body)
		require.GreaterOrEqual(t, w.Code, 400)
		require.True(t, got.Error.NotRun, "%s", w.Body)
		require.NotEqual(t, "internal", got.Error.Kind)
		require.NotEmpty(t, got.Error.RequestID)
	})
}
