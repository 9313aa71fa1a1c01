package forward_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/gateway/forward"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// holdServer replaces a server by one that answers once gate is closed, and counts the bytes that it holds. It fails the
// test above limit bytes.
func holdServer(t *testing.T, pf *gatewaytest.Platform, p *gatewaytest.Process, i int, limit int64, gate <-chan struct{}) *atomic.Int64 {
	var held atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if held.Add(int64(len(body))) > limit {
			t.Error("the server holds more than its limit")
		}
		select {
		case <-gate:
		case <-r.Context().Done():
		}
		held.Add(-int64(len(body)))
		id := r.Header.Get(hostedtest.HeaderAttempt)
		w.Header().Set(hostedtest.HeaderAttempt, id)
		w.Header().Set(hostedtest.HeaderSeal, "seal-"+id)
		_, _ = io.WriteString(w, "ok")
	}))
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	pf.Servers[i].AdvertisedAddr = strings.TrimPrefix(srv.URL, "http://")
	pf.Register(pf.Servers[i], "ready")
	require.Eventually(t, func() bool { return p.View.Current().Servers["plain"][i].Addr == pf.Servers[i].AdvertisedAddr }, gatewaytest.MaxWait, time.Millisecond)
	return &held
}

// Load: twenty bodies of 30 KB at once for two servers that may hold 64 KB each. No server holds more, the requests that
// don't fit wait, and those that can't wait fail without reaching a server. All others are answered.
func TestBodiesAtOneServerAreBounded(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 0, 2)
	p := pf.NewProcess(t)
	gate := make(chan struct{})
	const limit = 64 << 10
	first, second := holdServer(t, pf, p, 0, limit, gate), holdServer(t, pf, p, 1, limit, gate)
	p.Forward.Bodies = forward.NewServerBodies(limit)
	send := func(id string, body []byte, timeout time.Duration) *kinds.Error {
		c := newCall(t, p, id, "/write/x")
		c.Body, c.Deadline = body, time.Now().Add(timeout)
		_, err := p.Forward.Send(t.Context(), c)
		return err
	}
	large := bytes.Repeat([]byte("b"), 30<<10)
	var callers sync.WaitGroup
	for i := range 20 {
		callers.Go(func() {
			if err := send(fmt.Sprint("r", i), large, gatewaytest.MaxWait); err != nil {
				t.Error(err)
			}
		})
	}
	require.Eventually(t, func() bool { return first.Load()+second.Load() == 4*30<<10 }, gatewaytest.MaxWait, time.Millisecond)
	require.NotNil(t, send("impatient", large, 50*time.Millisecond))
	close(gate)
	callers.Wait()
}
