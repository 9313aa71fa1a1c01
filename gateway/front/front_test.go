package front_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/decide/table"
	fold "dandelionsill.org/fold/jobs"
	"dandelionsill.org/gateway/front"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/gateway/jobs"
	"dandelionsill.org/gateway/stopping"
	"dandelionsill.org/gateway/view"
	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// newFront serves the platform's callers on a loopback address and returns the URL.
func newFront(t *testing.T, pf *gatewaytest.Platform) (*front.Front, string) {
	p := pf.NewProcess(t)
	index := jobs.NewIndex(p.Store, zap.NewNop())
	writer := fold.Writer{VM: "a", Incarnation: "1"}
	runner := jobs.NewRunner(index, p.Store, p.Forward, writer, 3, 600, zap.NewNop())
	p.Go(index.Run)
	p.Go(runner.Run)
	require.Eventually(t, index.CaughtUp, gatewaytest.MaxWait, time.Millisecond)
	f := &front.Front{
		View: p.View, Forward: p.Forward, Jobs: jobs.NewService(index, p.Store, writer, 3, 600, zap.NewNop()),
		Log: zap.NewNop(), Latency: metrics.NewHistogram("front_test_latency"),
		Stop: stopping.New(stopping.Times{Arrivals: time.Hour, Finish: time.Hour, Answer: time.Hour}, nil),
	}
	srv := httptest.NewServer(f)
	t.Cleanup(srv.Close)
	return f, srv.URL
}

func send(t *testing.T, method, url string, header map[string]string, body []byte) (*http.Response, string) {
	r, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(body))
	require.NoError(t, err)
	r.Host = "app.example"
	for name, value := range header {
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(data)
}

func attemptHeader(id string) map[string]string {
	return map[string]string{hostedtest.HeaderAttempt: id, hostedtest.HeaderDeadline: "2000"}
}

func TestCallerGetsServerAnswer(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	_, url := newFront(t, pf)
	resp, body := send(t, "POST", url+"/score/x", attemptHeader("r1"), []byte("b"))
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, "answer to r1", body)
	require.Equal(t, "seal-r1", resp.Header.Get(hostedtest.HeaderSeal))
	require.Equal(t, "r1", resp.Header.Get(hostedtest.HeaderAttempt))
}

// Errors of the gateway itself carry no server's signature. They say "not run" and when
// to retry if that applies.
func TestGatewayErrors(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	_, url := newFront(t, pf)
	tests := []struct {
		name, method, path string
		body               string
		status             int
		retry              bool
	}{
		{"no route", "GET", "/nowhere/", "", 404, false},
		{"body too large", "POST", "/score/x", strings.Repeat("x", 1<<20+1), 413, false},
		{"job that is no JSON", "POST", "/jobs/x", "{", 400, false},
		{"job read, not posted", "GET", "/jobs/x", "", 404, false},
		{"unknown job", "GET", hostedtest.PathJob + "none", "", 404, false},
		{"bad position", "GET", hostedtest.PathJob + "none?after=-1", "", 400, false},
		{"unknown item", "GET", hostedtest.PathItem + "none?id=x", "", 404, false},
		{"end of an unknown job", "DELETE", hostedtest.PathJob + "none", "", 404, false},
	}
	for _, test := range tests {
		resp, _ := send(t, test.method, url+test.path, attemptHeader("r"), []byte(test.body))
		require.Equal(t, test.status, resp.StatusCode, test.name)
		require.Empty(t, resp.Header.Get(hostedtest.HeaderSeal), test.name)
		require.Equal(t, "r", resp.Header.Get(hostedtest.HeaderAttempt), test.name)
	}
	pf.Servers[0].Fail(hostedtest.ServerFaults{Refuse: true})
	resp, _ := send(t, "POST", url+"/score/x", map[string]string{hostedtest.HeaderAttempt: "r", hostedtest.HeaderDeadline: "200"}, nil)
	require.Equal(t, 503, resp.StatusCode)
	require.Equal(t, "1", resp.Header.Get(hostedtest.HeaderNotExecuted))
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}

// The store is unavailable, or this gateway has fallen behind, and the operator may
// have added a route meanwhile. Callers of that route must not be refused permanently
// with 404, so they are asked to retry. Once the store is available again, the answer
// is 404.
func TestNotFoundRequiresCurrentConfiguration(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	_, url := newFront(t, pf)
	status := func() int {
		resp, _ := send(t, "GET", url+"/nowhere/", attemptHeader("r"), nil)
		if resp.StatusCode == 503 {
			require.Equal(t, "1", resp.Header.Get(hostedtest.HeaderNotExecuted))
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
		}
		return resp.StatusCode
	}
	require.Equal(t, 404, status())
	pf.Store.Fail(hostedtest.StoreFaults{Down: true})
	require.Eventually(t, func() bool { return status() == 503 }, gatewaytest.MaxWait, 10*time.Millisecond)
	pf.Store.Fail(hostedtest.StoreFaults{})
	require.Eventually(t, func() bool { return status() == 404 }, gatewaytest.MaxWait, 10*time.Millisecond)
}

// A request that no server answers gets its final answer when its deadline passes. If
// it may have run, the answer does not say "not run".
func TestDeadlineIsAnswered(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	_, url := newFront(t, pf)
	pf.Servers[0].Fail(hostedtest.ServerFaults{Unresponsive: true})
	resp, _ := send(t, "POST", url+"/score/x", map[string]string{hostedtest.HeaderAttempt: "r", hostedtest.HeaderDeadline: "200"}, nil)
	require.Equal(t, 504, resp.StatusCode)
	require.Empty(t, resp.Header.Get(hostedtest.HeaderNotExecuted))
}

// Before the first configuration is read, all requests are refused as not run.
func TestNoConfigurationIsNotRun(t *testing.T) {
	store := hosted.NewStore("127.0.0.1:1")
	f := &front.Front{View: view.New(hosted.NewFeeds(store, store), zap.NewNop()), Log: zap.NewNop(), Latency: metrics.NewHistogram("front_test_latency")}
	w := httptest.NewRecorder()
	f.ServeHTTP(w, httptest.NewRequest("GET", "/score/x", nil))
	require.Equal(t, 503, w.Code)
	require.NotEmpty(t, w.Header().Get("Retry-After"))
}

// All calls of a trainer over HTTP: submission, bodies, results, end.
func TestBatchJobOverHTTP(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 1, 1)
	_, url := newFront(t, pf)
	data, err := json.Marshal(hostedtest.Job("j", "m", 4, 1))
	require.NoError(t, err)
	for range 2 {
		resp, _ := send(t, "POST", url+"/jobs/x", attemptHeader("j"), data)
		require.Equal(t, http.StatusAccepted, resp.StatusCode)
	}
	_, body := send(t, "GET", url+hostedtest.PathItem+"j?id=j-i1", nil, nil)
	require.Equal(t, "body of j-i1", body)
	var got struct {
		Total   int `json:"total"`
		Next    int `json:"next"`
		Results []struct{ ID, State, Text, Score string }
	}
	read := 0
	for read < 4 {
		resp, body := send(t, "GET", url+hostedtest.PathJob+"j?after="+string(rune('0'+read)), map[string]string{hostedtest.HeaderWait: "1000"}, nil)
		require.Equal(t, 200, resp.StatusCode)
		require.NoError(t, json.Unmarshal([]byte(body), &got))
		for _, r := range got.Results {
			require.Equal(t, hostedtest.Text(r.ID, 5), r.Text)
			require.Equal(t, "completed", r.State)
		}
		require.Equal(t, 4, got.Total)
		read = got.Next
	}
	resp, _ := send(t, "DELETE", url+hostedtest.PathJob+"j", nil, nil)
	require.Equal(t, 200, resp.StatusCode)
}

// The process starts to drain: each answer closes its connection, and Drain waits for
// the requests in flight.
func TestDrainWaitsForRequests(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	f, url := newFront(t, pf)
	pf.Servers[0].Fail(hostedtest.ServerFaults{Unresponsive: true})
	answered := make(chan int)
	go func() {
		r, _ := http.NewRequest("POST", url+"/score/x", nil)
		r.Host = "app.example"
		r.Header.Set(hostedtest.HeaderAttempt, "r")
		r.Header.Set(hostedtest.HeaderDeadline, "400")
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			answered <- 0
			return
		}
		_ = resp.Body.Close()
		answered <- resp.StatusCode
	}()
	require.Eventually(t, func() bool { return f.InFlight() == 1 }, gatewaytest.MaxWait, time.Millisecond)
	f.Stop.Begin()
	expiring, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	require.Error(t, f.Drain(expiring))
	require.NoError(t, f.Drain(t.Context()))
	require.Equal(t, 504, <-answered)
	resp, _ := send(t, "GET", url+"/nowhere/", attemptHeader("r"), nil)
	require.True(t, resp.Close)
}

// Guards against a batch job whose later owner does not know what its route asked for: the route's version rule is stored
// with the job.
func TestSubmissionStoresWhatItsRouteAsksFor(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 1, 1)
	f, url := newFront(t, pf)
	ruleOf := func(job string) fold.VersionRule {
		body, err := json.Marshal(hostedtest.Job(job, "m", 2, 1))
		require.NoError(t, err)
		resp, _ := send(t, "POST", url+"/jobs/x", attemptHeader(job), body)
		require.Equal(t, 202, resp.StatusCode)
		for _, data := range pf.Store.Records(jobs.Stream) {
			r, err := fold.Decode(data)
			require.NoError(t, err)
			if r.Acceptance != nil && r.Acceptance.ID == job {
				return r.Acceptance.Versions
			}
		}
		return "no job"
	}
	require.Eventually(t, f.View.IsConfirmed, gatewaytest.MaxWait, time.Millisecond)
	require.Equal(t, fold.AnyVersions, ruleOf("a"))
	config := hostedtest.Config(2)
	config["routes"].([]map[string]any)[0][hostedtest.FieldSingleVersion] = true
	pf.Store.Put(hostedtest.TopicOperator, "config", config)
	require.Eventually(t, func() bool { return f.View.Current().ConfigVersion() == 2 }, gatewaytest.MaxWait, time.Millisecond)
	require.Equal(t, fold.OneVersion, ruleOf("b"))
	require.Equal(t, fold.VersionsUnknown, jobs.VersionRule(&table.Route{}, false), "a route from a copy")
}
