package front_test

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/gateway/stopping"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// Guards against calls about batch jobs that wait for a silent store until their process is killed.
func TestCallsAboutJobsAreAnsweredBeforeTheKill(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 1, 1)
	f, url := newFront(t, pf)
	clock := &atomic.Int64{}
	f.Stop = stopping.New(stopping.Times{Arrivals: time.Minute, Finish: 2 * time.Minute, Answer: 3 * time.Minute}, func() time.Duration { return time.Duration(clock.Load()) })
	job, err := json.Marshal(hostedtest.Job("j", "m", 2, 1))
	require.NoError(t, err)
	patient := func(id string) map[string]string {
		return map[string]string{hostedtest.HeaderAttempt: id, hostedtest.HeaderDeadline: "600000"}
	}
	resp, _ := send(t, "POST", url+"/jobs/x", patient("accepted"), job)
	require.Equal(t, http.StatusAccepted, resp.StatusCode)
	pf.Store.Fail(hostedtest.StoreFaults{ReadOnly: true})
	answers := make(chan *http.Response)
	for id, call := range map[string][2]string{"j": {"POST", "/jobs/x"}, "end": {"DELETE", hostedtest.PathJob + "accepted"}} {
		go func() {
			answer, _ := send(t, call[0], url+call[1], patient(id), job)
			answers <- answer
		}()
	}
	require.Eventually(t, func() bool { return f.InFlight() == 2 }, gatewaytest.MaxWait, time.Millisecond)
	f.Stop.Begin()
	clock.Store(int64(3 * time.Minute))
	for range 2 {
		answer := <-answers
		// Unknown if the last append was under way.
		require.Contains(t, []int{http.StatusServiceUnavailable, http.StatusBadGateway}, answer.StatusCode)
		require.Equal(t, answer.StatusCode == http.StatusServiceUnavailable, answer.Header.Get(hostedtest.HeaderNotExecuted) == "1")
	}
	late, _ := send(t, "GET", url+hostedtest.PathJob+"accepted", patient("late"), nil)
	require.Equal(t, http.StatusServiceUnavailable, late.StatusCode)
	require.True(t, late.Close)
}
