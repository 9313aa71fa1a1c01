package front_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/gateway/front"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// replaceServers makes the front send the requests of the platform's plain servers to a handler.
func replaceServers(t *testing.T, pf *gatewaytest.Platform, f *front.Front, handler http.HandlerFunc) {
	replace(t, pf, f, pf.Servers, handler)
}

func replace(t *testing.T, pf *gatewaytest.Platform, f *front.Front, servers []*hostedtest.Server, handler http.HandlerFunc) {
	for i, server := range servers {
		srv := httptest.NewServer(handler)
		t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
		server.AdvertisedAddr = strings.TrimPrefix(srv.URL, "http://")
		pf.Register(server, "ready")
		require.Eventually(t, func() bool {
			return f.View.Current().Servers[server.Service][i].Addr == server.AdvertisedAddr
		}, gatewaytest.MaxWait, time.Millisecond)
	}
}

// sealed adds the headers of a server's answer.
func sealed(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(hostedtest.HeaderAttempt)
	w.Header().Set(hostedtest.HeaderAttempt, id)
	w.Header().Set(hostedtest.HeaderSeal, "seal-"+id)
}
