package crowd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/load/site"
)

// cluster is a running site of the project's own stand-ins. A test misuses one of its processes, which is started anew for
// each form.
type cluster struct {
	t         *testing.T // its processes run until this test ends
	site      *site.Site
	processes map[string]*process
}

func startCluster(t *testing.T) *cluster {
	t.Helper()
	public, _ := site.SigningKey()
	s, err := site.New(site.Options{
		Deployment: site.Small, NetOctet: reserveNet(t), Dir: t.TempDir(), BinDir: binDir, Seed: 1, TimeScale: 0.1,
		PublicKey: public, Engine: site.EngineModel{MeanTokens: 60, Sigma: 0.5, LoadTime: time.Second}, WeightSize: 100_000,
	})
	require.NoError(t, err)
	require.NoError(t, s.CheckAddressesFree())
	c := &cluster{t: t, site: s, processes: map[string]*process{}}
	for _, p := range s.Processes {
		c.start(p.Name)
	}
	ctx, cancel := context.WithTimeout(t.Context(), maxWait)
	defer cancel()
	require.NoError(t, s.BringUp(ctx))
	return c
}

// reserveNet returns a second octet for the site's addresses and reserves it until the test ends.
func reserveNet(t *testing.T) int {
	t.Helper()
	const first, last, port = 60, 240, 7999
	for i := range last - first {
		n := first + (os.Getpid()+i)%(last-first)
		if l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", n, port)); err == nil {
			t.Cleanup(func() { _ = l.Close() })
			return n
		}
	}
	require.FailNow(t, "no free loopback network")
	return 0
}

// start starts a process of the site anew.
func (c *cluster) start(name string) *process {
	c.t.Helper()
	if old := c.processes[name]; old != nil {
		old.kill()
	}
	p := c.site.ByName(name)
	listeners := []string{strings.TrimPrefix(p.URL, "http://")}
	if p.GRPC != "" {
		listeners = append(listeners, p.GRPC)
	}
	args := p.Args
	if p.Role == site.RoleAgent || p.Role == site.RoleEntry {
		args = append(slices.Clone(args), fmt.Sprintf("--vm.memory_mb=%d", memoryMB))
	}
	c.processes[name] = start(c.t, listeners, p.Binary, args...)
	return c.processes[name]
}

// waitServing waits until a process answers a request that passes it.
func (c *cluster) waitServing(t *testing.T, name string) {
	t.Helper()
	p := c.site.ByName(name)
	path := "/v1/status"
	if p.Role == site.RoleEntry {
		path = "/svc/" + c.site.Deployment.Service + "/up"
	}
	waitAnswered(t, c.processes[name], p.URL+path, func(r *http.Request) { r.Header.Set("Authorization", "Bearer "+site.Token(site.Caller)) })
	waitAnswered(t, c.processes[name], p.URL+"/readyz", nil)
}

// misuse starts a process anew, runs a crowd at it, and checks what it held and that it serves.
func (c *cluster) misuse(t *testing.T, name string, run func(t *testing.T, p site.Process)) {
	t.Helper()
	p := c.start(name)
	c.waitServing(t, name)
	stop := p.watch()
	run(t, c.site.ByName(name))
	most := stop()
	p.check(t, most)
	c.waitServing(t, name)
}

const entryName, agentName, engineName = "entry-1", "service-1", "engine-1"

// Guards against callers with a key that make an entry hold more than its VM has, before and beside the handler.
func TestEntryCallers(t *testing.T) {
	c := startCluster(t)
	request := target{
		method: http.MethodPost, path: "/svc/" + c.site.Deployment.Service + "/x", host: "a",
		headers: "X-Request-Id: crowd-{id}\r\nAuthorization: Bearer " + site.Token(site.Caller) + "\r\n",
	}
	for _, f := range forms() {
		t.Run(f.name, func(t *testing.T) {
			c.misuse(t, entryName, func(t *testing.T, p site.Process) { crowd(t, f, strings.TrimPrefix(p.URL, "http://"), request) })
		})
	}
}

// Guards against a trainer whose requests make an entry hold more than its VM has.
func TestEntryTrainers(t *testing.T) {
	c := startCluster(t)
	request := target{
		method: http.MethodPost, path: "/v1/steps", host: "a",
		headers: "X-Request-Id: crowd-{id}\r\nAuthorization: Bearer " + site.Token(site.TrainerName(1)) + "\r\n",
	}
	for _, f := range bodyForms() {
		t.Run(f.name, func(t *testing.T) {
			c.misuse(t, entryName, func(t *testing.T, p site.Process) { crowd(t, f, strings.TrimPrefix(p.URL, "http://"), request) })
		})
	}
}

// Guards against requests without a key that make an entry or an agent hold more than its VM has.
func TestUnauthenticatedRequests(t *testing.T) {
	c := startCluster(t)
	request := target{method: http.MethodPost, path: "/v1/status", host: "a"}
	for _, name := range []string{entryName, agentName} {
		for _, f := range shortForms() {
			t.Run(name+f.name, func(t *testing.T) {
				c.misuse(t, name, func(t *testing.T, p site.Process) { crowd(t, f, strings.TrimPrefix(p.URL, "http://"), request) })
			})
		}
	}
}

// Guards against connections that leave an entry or an agent no descriptors for anything else.
func TestOwnIdleConnections(t *testing.T) {
	c := startCluster(t)
	for _, name := range []string{entryName, agentName} {
		t.Run(name+"HTTP", func(t *testing.T) {
			c.misuse(t, name, func(t *testing.T, p site.Process) { openIdle(t, strings.TrimPrefix(p.URL, "http://"), "GET /") })
		})
		t.Run(name+"GRPC", func(t *testing.T) {
			c.misuse(t, name, func(t *testing.T, p site.Process) { openIdle(t, p.GRPC, "PRI * HTTP/2.0\r\n") })
		})
	}
}

// Guards against peers' connections that make an entry or an agent hold more than its VM has, in header fields, streams and
// messages.
func TestOwnStreams(t *testing.T) {
	c := startCluster(t)
	for name, method := range map[string]string{
		entryName: "/dandelion.v1.Peer/Tell", agentName: "/dandelion.v1.Agent/Call", engineName: "/dandelion.v1.Agent/Generate",
	} {
		for _, f := range streamForms() {
			t.Run(name+f.name, func(t *testing.T) {
				c.misuse(t, name, func(t *testing.T, p site.Process) { streamCrowd(t, f, p.GRPC, method) })
			})
		}
	}
}

// Guards against peers that take no answers and so make an entry or an agent hold more than its VM has.
func TestOwnUnreadAnswers(t *testing.T) {
	c := startCluster(t)
	for name, method := range map[string]string{entryName: "/dandelion.v1.Peer/Exchange", agentName: "/dandelion.v1.Agent/Explain"} {
		t.Run(name, func(t *testing.T) {
			c.misuse(t, name, func(t *testing.T, p site.Process) { streamCrowd(t, unreadAnswers, p.GRPC, method) })
		})
	}
}

// Guards against peers that ask for compressed answers and so make an entry or an agent hold more than its VM has.
func TestOwnCompressedAnswers(t *testing.T) {
	c := startCluster(t)
	for name, method := range map[string]string{entryName: "/dandelion.v1.Peer/Exchange", agentName: "/dandelion.v1.Agent/Explain"} {
		t.Run(name, func(t *testing.T) {
			c.misuse(t, name, func(t *testing.T, p site.Process) { streamCrowd(t, compressedAnswers, p.GRPC, method) })
		})
	}
}

// Guards against clients of the metrics of an engine's agent that make it hold more than its VM has.
func TestOrdersMetrics(t *testing.T) {
	for _, f := range shortForms() {
		t.Run(f.name, func(t *testing.T) {
			p, metrics := startOrders(t)
			stop := p.watch()
			crowd(t, f, metrics, target{method: http.MethodGet, path: "/debug/vars", host: "a"})
			most := stop()
			p.check(t, most)
			waitAnswered(t, p, "http://"+metrics+"/debug/vars", nil)
		})
	}
	t.Run("Idle", func(t *testing.T) {
		p, metrics := startOrders(t)
		stop := p.watch()
		openIdle(t, metrics, "")
		most := stop()
		p.check(t, most)
		waitAnswered(t, p, "http://"+metrics+"/debug/vars", nil)
	})
}

// startOrders starts the agent of an engine.
func startOrders(t *testing.T) (p *process, metrics string) {
	t.Helper()
	store := newPlatform(t)
	metrics = freeAddr(t)
	text := fmt.Sprintf("[process]\nname = a0\nfailure_domain = zone-a\nmetrics = %s\n[store]\naddress = %s\n[engine]\naddress = %s\n[vm]\nmemory_mb = %d\n", metrics, store.Addr(), freeAddr(t), memoryMB)
	p = start(t, []string{metrics}, filepath.Join(binDir, "dandelion-orders"), "--config", writeSettings(t, text))
	waitAnswered(t, p, "http://"+metrics+"/debug/vars", nil)
	return p, metrics
}
