package crowd

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/gateway/jobs"
	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/platform/hosted/hostedtest"
	"dandelionsill.org/quarantine"
)

// memoryMB is the memory of a VM under test.
const memoryMB = 64

// gateway is a gateway process with stand-ins of the platform.
type gateway struct {
	*process
	callers, ready, peers, permits, metrics string
}

// ordinary is a request to a server that takes workTime.
var ordinary = target{
	method: http.MethodPost, path: "/write/x", host: "app.example",
	headers: hostedtest.HeaderAttempt + ": {id}\r\n" + hostedtest.HeaderDeadline + ": 2000\r\n",
}

const workTime = 50 * time.Millisecond

// startGateway starts a gateway before two servers and waits until it serves.
func startGateway(t *testing.T) *gateway {
	t.Helper()
	store := newPlatform(t)
	g := &gateway{callers: freeAddr(t), ready: freeAddr(t), peers: freeAddr(t), permits: freeAddr(t), metrics: freeAddr(t)}
	text := fmt.Sprintf("[process]\nname = g0\nfailure_domain = zone-a\nmetrics = %s\n[store]\naddress = %s\n[listen]\ncallers = %s\nready = %s\npeers = %s\n[permits]\nlisten = %s\n[vm]\nmemory_mb = %d\n",
		g.metrics, store.Addr(), g.callers, g.ready, g.peers, g.permits, memoryMB)
	g.process = start(t, []string{g.callers, g.ready, g.peers, g.permits, g.metrics}, filepath.Join(binDir, "dandelion-gateway"), "--config", writeSettings(t, text))
	g.serves(t)
	return g
}

// newPlatform starts a store, in which servers of the service that ordinary asks for are registered, and an engine.
func newPlatform(t *testing.T) *hostedtest.Store {
	t.Helper()
	store := hostedtest.NewStore()
	t.Cleanup(func() { store.CloseClientConnections(); store.Close() })
	config := hostedtest.Config(1)
	config["limits"].(map[string]any)["max_header_bytes"] = headLimit
	store.Put(hostedtest.TopicOperator, "config", config)
	for i := range 2 {
		s := hostedtest.NewServer(fmt.Sprintf("p%d", i), "plain")
		s.WorkTime, s.MaxQueue = workTime, clients
		t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
		store.Put(hostedtest.TopicServers, s.ID, s.Entry("ready"))
	}
	return store
}

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.ini")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// serves waits until an ordinary request and a readiness check are answered.
func (g *gateway) serves(t *testing.T) {
	t.Helper()
	waitAnswered(t, g.process, "http://"+g.callers+ordinary.path, func(r *http.Request) {
		r.Method, r.Host = ordinary.method, ordinary.host
		r.Header.Set(hostedtest.HeaderAttempt, fmt.Sprintf("ordinary-%d", nextID.Add(1)))
		r.Header.Set(hostedtest.HeaderDeadline, "2000")
	})
	waitAnswered(t, g.process, "http://"+g.ready+hosted.PathReady, nil)
}

// waitAnswered sends requests, each over a connection of its own, until one is answered with 200.
func waitAnswered(t *testing.T, p *process, url string, change func(*http.Request)) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), maxWait)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for last := "no answer"; ; {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, strings.NewReader("x"))
		require.NoError(t, err)
		if change != nil {
			change(r)
		}
		resp, err := client.Do(r)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
			last = resp.Status
		}
		require.True(t, p.runs(), "the process has ended")
		require.NoError(t, ctx.Err(), "%s is not answered: %s", url, last)
		<-time.After(sampleInterval)
	}
}

// check checks what the process held at most and that it still runs.
func (p *process) check(t *testing.T, most usage) {
	t.Helper()
	t.Log(most)
	require.True(t, p.runs(), "the process has ended")
	require.LessOrEqual(t, most.totalBytes, int64(memoryMB*1e6), "memory: %v", most)
	require.LessOrEqual(t, most.files, int64(maxFiles-reservedFiles), "descriptors: %v", most)
}

// misuseGateway runs a crowd at a listener of a new gateway.
func misuseGateway(t *testing.T, f form, g target, listener func(*gateway) string) {
	gw := startGateway(t)
	stop := gw.watch()
	crowd(t, f, listener(gw), g)
	most := stop()
	gw.check(t, most)
	gw.serves(t)
}

// Guards against callers that make a gateway hold more than its VM has, in heads, trailers, bodies and unread bytes, before
// and beside the handler.
func TestGatewayCallers(t *testing.T) {
	for _, f := range forms() {
		t.Run(f.name, func(t *testing.T) {
			misuseGateway(t, f, ordinary, func(g *gateway) string { return g.callers })
		})
	}
}

// Guards against connections of callers that leave a gateway no descriptors, or its memory, for anything else.
func TestGatewayIdleConnections(t *testing.T) {
	for name, first := range map[string]string{"Silent": "", "HalfALine": "GET /", "HalfAHead": ordinary.head("x")} {
		t.Run(name, func(t *testing.T) {
			for listener, addr := range map[string]func(*gateway) string{
				"callers": func(g *gateway) string { return g.callers }, "peers": func(g *gateway) string { return g.peers },
				"ready": func(g *gateway) string { return g.ready }, "metrics": func(g *gateway) string { return g.metrics },
				"permits": func(g *gateway) string { return g.permits },
			} {
				t.Run(listener, func(t *testing.T) {
					gw := startGateway(t)
					stop := gw.watch()
					openIdle(t, addr(gw), first)
					most := stop()
					gw.check(t, most)
					gw.serves(t)
				})
			}
		})
	}
}

// Guards against clients of the other listeners of a gateway that make it hold more than its VM has.
func TestGatewayOtherListeners(t *testing.T) {
	for name, l := range map[string]struct {
		path string
		addr func(*gateway) string
	}{
		"Peers":   {"/relay/x", func(g *gateway) string { return g.peers }},
		"Ready":   {hosted.PathReady, func(g *gateway) string { return g.ready }},
		"Metrics": {"/debug/vars", func(g *gateway) string { return g.metrics }},
	} {
		for _, f := range shortForms() {
			t.Run(name+f.name, func(t *testing.T) {
				misuseGateway(t, f, target{method: http.MethodPost, path: l.path, host: "a"}, l.addr)
			})
		}
	}
}

// Guards against calls of other processes whose bodies make a gateway hold more than its VM has.
func TestGatewayPeerCalls(t *testing.T) {
	for name, path := range map[string]string{"Relay": hostedtest.PathRelayedAppend, "Texts": jobs.PathTexts, "Quarantine": quarantine.PathPeers} {
		for _, f := range bodyForms() {
			t.Run(name+f.name, func(t *testing.T) {
				misuseGateway(t, f, target{method: http.MethodPost, path: path, host: "a"}, func(g *gateway) string { return g.peers })
			})
		}
	}
}
