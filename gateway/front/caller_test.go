package front_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/gateway/front"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// applyOrganisations applies a configuration that assigns the keys to organisations.
func applyOrganisations(t *testing.T, pf *gatewaytest.Platform, f *front.Front, version int, keys map[string][]string) {
	pf.Store.Put(hostedtest.TopicOperator, "config", hostedtest.Organisations(hostedtest.Config(version), keys))
	require.Eventually(t, func() bool { return f.View.Current().Table.Version == uint64(version) }, gatewaytest.MaxWait, time.Millisecond)
}

// headerWithKey returns the headers of an attempt that carries the key, if there is
// one.
func headerWithKey(id, key string) map[string]string {
	header := attemptHeader(id)
	if key != "" {
		header[hostedtest.HeaderKey] = key
	}
	return header
}

// Guards against servers that receive another organisation than the key's, or the key
// itself.
func TestServersReceiveOrganisationNotKey(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	f, url := newFront(t, pf)
	applyOrganisations(t, pf, f, 2, map[string][]string{"a": {"key-1", "key-2"}, "b": {"key-3"}})
	header := headerWithKey("r1", "key-2")
	header[hostedtest.HeaderOrganisation] = "b"
	resp, _ := send(t, "POST", url+"/write/x", header, nil)
	require.Equal(t, 200, resp.StatusCode)
	resp, _ = send(t, "POST", url+"/score/x", headerWithKey("r2", "key-3"), nil)
	require.Equal(t, 200, resp.StatusCode)
	forged := headerWithKey("r3", "unknown")
	forged[hostedtest.HeaderOrganisation] = "b"
	resp, _ = send(t, "POST", url+"/score/x", forged, nil)
	require.Equal(t, 200, resp.StatusCode, "a public route needs no key")
	var received []string
	for _, a := range pf.Servers[0].Arrivals() {
		require.Empty(t, a.Header.Values(hostedtest.HeaderKey))
		received = append(received, a.ID+" "+a.Header.Get(hostedtest.HeaderOrganisation))
	}
	require.Equal(t, []string{"r1 a", "r2 b", "r3 "}, received)
}

// Guards against requests that run without a key of the newest configuration, and
// against permanent refusals by a process whose configuration may be outdated.
func TestUnknownKeysAreRefused(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 1)
	f, url := newFront(t, pf)
	applyOrganisations(t, pf, f, 2, map[string][]string{"a": {"key-1", "key-2"}})
	for _, key := range []string{"", "key-3", "KEY-1", "key-1 key-2"} {
		resp, _ := send(t, "POST", url+"/write/x", headerWithKey("r", key), nil)
		require.Equal(t, 401, resp.StatusCode, "key %q", key)
	}
	resp := sendTwoKeys(t, url+"/write/x")
	require.Equal(t, 401, resp.StatusCode)
	applyOrganisations(t, pf, f, 3, map[string][]string{"a": {"key-1"}})
	resp, _ = send(t, "POST", url+"/write/x", headerWithKey("r", "key-2"), nil)
	require.Equal(t, 401, resp.StatusCode, "a key that was removed")
	require.Empty(t, pf.Servers[0].Arrivals())
	pf.Store.Fail(hostedtest.StoreFaults{Down: true})
	require.Eventually(t, func() bool { return !f.View.IsFresh() }, gatewaytest.MaxWait, time.Millisecond)
	resp, _ = send(t, "POST", url+"/write/x", headerWithKey("r", "key-3"), nil)
	require.Equal(t, 503, resp.StatusCode, "the key may have been added meanwhile")
	resp, _ = send(t, "POST", url+"/write/x", headerWithKey("r1", "key-1"), nil)
	require.Equal(t, 200, resp.StatusCode)
}

func sendTwoKeys(t *testing.T, url string) *http.Response {
	r, err := http.NewRequestWithContext(t.Context(), "POST", url, bytes.NewReader(nil))
	require.NoError(t, err)
	r.Host = "app.example"
	r.Header[hostedtest.HeaderKey] = []string{"key-1", "key-2"}
	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp
}

// Guards against callers of other organisations that read or end a batch job, against
// samples that carry another organisation than their job's, and against jobs that end
// when a key is removed.
func TestBatchJobsBelongToAnOrganisation(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 1, 1)
	f, url := newFront(t, pf)
	applyOrganisations(t, pf, f, 2, map[string][]string{"a": {"key-1", "key-2"}, "b": {"key-3"}})
	job := hostedtest.Job("j", "m", 2, 1)
	for _, item := range job["items"].([]map[string]any) {
		item["headers"].(map[string]string)[hostedtest.HeaderOrganisation] = "b"
		item["headers"].(map[string]string)[hostedtest.HeaderKey] = "key-3"
	}
	body, err := json.Marshal(job)
	require.NoError(t, err)
	submit := func(key string) int {
		resp, _ := send(t, "POST", url+"/jobs/x", headerWithKey("j", key), body)
		return resp.StatusCode
	}
	require.Equal(t, 401, submit(""))
	require.Equal(t, 202, submit("key-1"))
	applyOrganisations(t, pf, f, 3, map[string][]string{"a": {"key-2"}, "b": {"key-3"}})
	require.Equal(t, 401, submit("key-1"))
	require.Equal(t, 202, submit("key-2"), "once more, with another key of the organisation")
	require.Equal(t, 422, submit("key-3"))
	calls := []struct{ method, path string }{{"GET", hostedtest.PathJob + "j"}, {"GET", hostedtest.PathItem + "j?id=j-i0"}, {"DELETE", hostedtest.PathJob + "j"}}
	for _, call := range calls {
		for key, status := range map[string]int{"key-1": 401, "key-3": 404, "": 401} {
			resp, _ := send(t, call.method, url+call.path, headerWithKey("c", key), nil)
			require.Equal(t, status, resp.StatusCode, "%s with key %q", call.path, key)
		}
	}
	require.Eventually(t, func() bool {
		resp, text := send(t, "GET", url+hostedtest.PathJob+"j", headerWithKey("c", "key-2"), nil)
		var read struct {
			Next int `json:"next"`
		}
		return resp.StatusCode == 200 && json.Unmarshal([]byte(text), &read) == nil && read.Next == 2
	}, gatewaytest.MaxWait, 5*time.Millisecond)
	for _, a := range pf.Engines[0].Arrivals() {
		require.Equal(t, "a", a.Header.Get(hostedtest.HeaderOrganisation))
		require.Empty(t, a.Header.Values(hostedtest.HeaderKey))
	}
	for _, a := range pf.Servers[0].Arrivals() {
		require.Empty(t, a.Header.Values(hostedtest.HeaderOrganisation), "scores are requested by the system, not by an organisation")
	}
	resp, _ := send(t, "DELETE", url+hostedtest.PathJob+"j", headerWithKey("c", "key-2"), nil)
	require.Equal(t, 200, resp.StatusCode)
}

// submitElsewhere accepts a batch job of an organisation as another process does.
func submitElsewhere(t *testing.T, f *front.Front, job, organisation string) {
	t.Helper()
	body, err := json.Marshal(hostedtest.Job(job, "m", 2, 1))
	require.NoError(t, err)
	r, err := http.NewRequest("POST", "/jobs/x", nil)
	require.NoError(t, err)
	r.Host = "app.example"
	r.Header.Set(hostedtest.HeaderAttempt, job)
	spec, items, err := hosted.DecodeJob(r, body)
	require.NoError(t, err)
	spec.Organisation = organisation
	require.Nil(t, f.Jobs.Submit(t.Context(), spec, items))
}

// Guards against a batch job of an organisation that everyone may read and end at a process whose configuration is older than
// the organisations.
func TestOldConfigurationWithoutOrganisationsOpensNoJob(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 1, 1)
	f, url := newFront(t, pf)
	pf.Store.Fail(hostedtest.StoreFaults{UnavailableTopics: []string{hostedtest.TopicOperator}})
	require.Eventually(t, func() bool { return !f.View.IsFresh() }, gatewaytest.MaxWait, time.Millisecond)
	submitElsewhere(t, f, "j", "a")
	calls := []struct{ method, path string }{{"GET", hostedtest.PathJob + "j"}, {"GET", hostedtest.PathItem + "j?id=j-i0"}, {"DELETE", hostedtest.PathJob + "j"}}
	for _, call := range calls {
		resp, _ := send(t, call.method, url+call.path, attemptHeader("c"), nil)
		require.Equal(t, 503, resp.StatusCode, call.path)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
	}
	pf.Store.Fail(hostedtest.StoreFaults{})
	require.Eventually(t, f.View.IsFresh, gatewaytest.MaxWait, time.Millisecond)
	resp, _ := send(t, "GET", url+hostedtest.PathJob+"j", attemptHeader("c"), nil)
	require.Equal(t, 200, resp.StatusCode, "the operator has removed all organisations")
}

// Guards against the same for a job whose record this process has not read yet.
func TestOldConfigurationWithoutOrganisationsOpensNoJobBeforeItsRecord(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 1, 1)
	f, url := newFront(t, pf)
	pf.Store.Fail(hostedtest.StoreFaults{UnavailableTopics: []string{hostedtest.TopicOperator}, ReadTime: 20 * time.Millisecond})
	require.Eventually(t, func() bool { return !f.View.IsFresh() }, gatewaytest.MaxWait, time.Millisecond)
	for i := range 30 {
		job := fmt.Sprintf("j%d", i)
		submitElsewhere(t, f, job, "a")
		call := []struct{ method, path string }{{"GET", hostedtest.PathJob + job}, {"GET", hostedtest.PathItem + job + "?id=" + job + "-i0"}, {"DELETE", hostedtest.PathJob + job}}[i%3]
		resp, _ := send(t, call.method, url+call.path, attemptHeader("c"), nil)
		require.Equal(t, 503, resp.StatusCode, call.path)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
	}
}

// Guards against an unknown key as the answer where a job needs none, at a process that has not read
// the job's record yet: callers don't repeat such a call.
func TestPublicJobNeedsNoKeyBeforeItsRecord(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 1, 1)
	f, url := newFront(t, pf)
	config := hostedtest.Organisations(hostedtest.Config(2), map[string][]string{"a": {"key-1"}})
	for _, route := range config["routes"].([]map[string]any) {
		route["public"] = true
	}
	pf.Store.Put(hostedtest.TopicOperator, "config", config)
	require.Eventually(t, func() bool { return f.View.Current().Table.Version == 2 }, gatewaytest.MaxWait, time.Millisecond)
	pf.Store.Fail(hostedtest.StoreFaults{ReadTime: 20 * time.Millisecond})
	for i := range 30 {
		public, owned := fmt.Sprintf("public-%d", i), fmt.Sprintf("owned-%d", i)
		submitElsewhere(t, f, owned, "a")
		submitElsewhere(t, f, public, "")
		key := []string{"", "key-1", "key-2"}[i%3]
		require.Equal(t, 200, readJob(t, url, public, key), "%s with key %q", public, key)
		require.Equal(t, map[bool]int{true: 200, false: 401}[key == "key-1"], readJob(t, url, owned, key), "%s with key %q", owned, key)
	}
	require.Equal(t, 401, readJob(t, url, "none", ""))
}

// readJob returns the status of a read of a batch job, which it repeats while the process can't tell.
func readJob(t *testing.T, url, job, key string) (status int) {
	t.Helper()
	require.Eventually(t, func() bool {
		resp, _ := send(t, "GET", url+hostedtest.PathJob+job, headerWithKey("c", key), nil)
		status = resp.StatusCode
		return status != 503
	}, gatewaytest.MaxWait, time.Millisecond)
	return status
}
