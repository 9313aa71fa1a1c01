package server

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/stretchr/testify/require"

	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// startGateway runs a gateway's servers until the test ends, and returns its process and the URL for callers.
func startGateway(t *testing.T, pf *gatewaytest.Platform, grace time.Duration) (stop func() (delay time.Duration), url string) {
	cfg := Gateway{Listen: Listen{Callers: "127.0.0.1:0", Ready: "127.0.0.1:0"}, VM: VM{CPUShare: 1, LinkMbps: 1000}, Cold: Cold{Excess: 1}}
	cfg.Process = Process{Name: "a", FailureDomain: "zone-a", LogLevel: "error", Grace: grace}
	cfg.Store = Store{Address: pf.Store.Addr(), Parts: 1}
	ctx, cancel := context.WithCancel(context.Background())
	p, err := BuildGateway(ctx, cfg)
	require.NoError(t, err)
	callers := p.Servers[0].(transport.Endpointer)
	endpoint, err := callers.Endpoint()
	require.NoError(t, err)
	for _, server := range p.Servers {
		go func(s transport.Server) { _ = s.Start(ctx) }(server)
	}
	t.Cleanup(func() {
		for _, server := range p.Servers {
			_ = server.Stop(context.Background())
		}
		cancel()
		p.Close()
	})
	p.Ready(true)
	return func() time.Duration { p.Ready(false); return p.StopDelay }, endpoint.String()
}

// post sends a request of a caller that waits up to 12 s.
func post(t *testing.T, url, id string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader([]byte("x")))
	require.NoError(t, err)
	r.Host = "app.example"
	r.Header.Set(hostedtest.HeaderAttempt, id)
	r.Header.Set(hostedtest.HeaderDeadline, "12000")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// Guards against a stopping gateway that passes on what it will be killed under: requests come over connections that callers
// keep open for as long as it runs.
func TestStoppingGatewayRefusesWhatItCannotFinish(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 1, 1)
	pf.Engines[0].EventInterval, pf.Engines[0].Events = 20*time.Millisecond, 200
	stop, url := startGateway(t, pf, time.Second)
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	require.Eventually(t, func() bool {
		resp, err := post(t, url+"/score/x", "ready")
		return err == nil && resp.StatusCode == http.StatusOK
	}, gatewaytest.MaxWait, time.Millisecond)
	for i := range 40 {
		resp, err := post(t, url+"/score/x", "warm"+strconv.Itoa(i))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	<-time.After(stop()) // as the process does before it drains
	for _, path := range []string{"/chat/x", "/write/x"} {
		resp, err := post(t, url+path, "late"+path)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, path)
		require.Equal(t, "1", resp.Header.Get(hostedtest.HeaderNotExecuted))
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
		require.True(t, resp.Close, "the caller must come back over another connection")
	}
	require.Empty(t, pf.Engines[0].Arrivals())
}
