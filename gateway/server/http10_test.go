package server

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// Failure: the stream of an HTTP/1.0 caller breaks off at all engines. Guards against a caller that takes what it got for the
// whole, because its connection ends in order.
func TestHTTP10CallerSeesThatItsStreamBrokeOff(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 1, 0)
	pf.Engines[0].Events = 100
	pf.Engines[0].Fail(hostedtest.ServerFaults{BreakAfter: 2})
	_, url := startGateway(t, pf, time.Second)
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	request := "POST /chat/x HTTP/1.0\r\nHost: app.example\r\n" + hostedtest.HeaderAttempt + ": s\r\n" + hostedtest.HeaderModel + ": m\r\nContent-Length: 1\r\n\r\nx"
	var resp *http.Response
	require.Eventually(t, func() bool { // the gateway knows the engine
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, request)
		require.NoError(t, err)
		resp, err = http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		return resp.StatusCode == http.StatusOK
	}, gatewaytest.MaxWait, time.Millisecond)
	body, err := io.ReadAll(resp.Body)
	require.Contains(t, string(body), hostedtest.EventData("s", 1))
	require.Error(t, err, "%q was taken for the whole", body)
}
