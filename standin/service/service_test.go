package service_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/standin/service"
)

const (
	key     = "0193a1f0-0000-7000-8000-000000000001"
	patient = 20 * time.Second
)

func start(t *testing.T) (*service.Service, string) {
	t.Helper()
	s := service.New(service.Config{Name: "registry-1"})
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return s, srv.URL
}

func call(ctx context.Context, url string) (service.Answer, error) {
	var a service.Answer
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/orders//7?q=1", struct{ io.Reader }{strings.NewReader("body")})
	if err != nil {
		return a, err
	}
	req.Header.Set("X-Request-Id", "r1")
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return a, err
	}
	return a, json.Unmarshal(data, &a)
}

func TestAnswerEchoesItsRequest(t *testing.T) {
	_, url := start(t)
	a, err := call(t.Context(), url)
	require.NoError(t, err)
	sum := sha256.Sum256([]byte("body"))
	require.Equal(t, service.Answer{
		Run: 1, Server: "registry-1", Method: http.MethodPost, Path: "/orders//7?q=1",
		BodySHA256: hex.EncodeToString(sum[:]), BodyBytes: 4, RequestID: "r1", IdempotencyKey: key,
	}, a)
}

// The caller sees a broken connection each time. Only the service's own count
// tells whether the write ran: not when dropped before, once when the answer
// was lost or cut.
func TestRunsAreCountedWhateverBecomesOfTheAnswer(t *testing.T) {
	cases := map[string]struct {
		faults service.Faults
		runs   int
		how    string
	}{
		"dropped before":  {service.Faults{DropBefore: 1, MaxFaultyRequests: 1}, 0, ""},
		"answer lost":     {service.Faults{DropAfter: 1, MaxFaultyRequests: 1}, 1, "lost"},
		"answer cut":      {service.Faults{DropInBody: 1, MaxFaultyRequests: 1}, 1, "cut"},
		"answer hangs":    {service.Faults{Hang: true, MaxFaultyRequests: 1}, 1, "gone"},
		"hangs unstarted": {service.Faults{HangBefore: true, MaxFaultyRequests: 1}, 0, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, url := start(t)
			s.Faults.Apply(c.faults)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			done := make(chan error, 1)
			go func() {
				_, err := call(ctx, url)
				done <- err
			}()
			if c.faults.Hang || c.faults.HangBefore {
				// No run is no sign that a request has come: faults that end before
				// it comes let it run.
				require.Eventually(t, func() bool { return s.Hanging() == 1 }, patient, time.Millisecond)
				require.Equal(t, c.runs, s.Truth(0, true).Runs)
				cancel()
			}
			require.Error(t, <-done)
			s.Faults.Apply(service.Faults{})
			_, err := call(t.Context(), url)
			require.NoError(t, err)
			truth := s.Truth(0, false)
			require.Equal(t, c.runs+1, truth.ByKey[key])
			require.Equal(t, c.runs+1, truth.ByRequestID["r1"])
			if c.runs > 0 && c.how != "gone" {
				require.Equal(t, c.how, truth.List[0].Outcome)
			}
		})
	}
}

func TestMisspeltFaultIsRefused(t *testing.T) {
	_, url := start(t)
	resp, err := http.Post(url+"/admin/faults", "application/json", strings.NewReader(`{"hung":true}`))
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
}
