package server

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/base/outbound/outboundtest"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// Failure: all servers answer uploads at once with a part of an answer, also an empty one, that has no length, and reset the
// connection. Guards against a caller, on any route, who gets the part as the whole.
func TestPartsBeforeAResetReachNoCallerAsTheWhole(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 1, 1)
	_, url := startGateway(t, pf, time.Second)
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	ready := func(path string) bool {
		resp, err := post(t, url+path, "ready")
		return err == nil && resp.StatusCode == http.StatusOK
	}
	require.Eventually(t, func() bool { return ready("/score/x") && ready("/write/x") && ready("/chat/x") }, gatewaytest.MaxWait, time.Millisecond)
	for _, part := range []string{"", "id: 1\ndata: x\n\n"} {
		answer := outboundtest.Answer{Status: http.StatusOK, Fields: hostedtest.SignedFields(), Body: part}
		fault := hostedtest.ServerFaults{Raw: answer.WithoutLength(), Reset: true}
		pf.Engines[0].Fail(fault)
		pf.Servers[0].Fail(fault)
		for range outboundtest.ResetRounds / 10 {
			for _, path := range []string{"/score/x", "/write/x", "/chat/x"} {
				upload := make([]byte, 1+rand.IntN(outboundtest.UploadBytes))
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+path, bytes.NewReader(upload))
				require.NoError(t, err)
				r.Host = "app.example"
				r.Header.Set(hostedtest.HeaderAttempt, "r")
				r.Header.Set(hostedtest.HeaderModel, "m")
				resp, err := http.DefaultClient.Do(r)
				if err != nil {
					continue
				}
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				require.False(t, err == nil && resp.StatusCode == http.StatusOK, "%s: upload of %d bytes, part %q", path, len(upload), part)
			}
		}
	}
}
