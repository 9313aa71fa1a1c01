package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"dandelionsill.org/platform/hosted/hostedtest"
)

// crashingServers are servers that crash under some requests and are replaced. No link stands
// before them: a proxy takes connections for a server that has ended.
type crashingServers struct {
	sys *system

	mu          sync.Mutex
	servers     []*hostedtest.Server
	everStarted []*hostedtest.Server // all that were ever started
	crashes     map[string]int       // servers, by the request under which they ended
	started     int
}

const (
	crashingServerCount = 3
	// crashPath begins the paths of the requests that crash servers.
	crashPath = "/mortal/deadly"
	// maxLateCrashes is how many servers may still end under a request once every process
	// can have heard of the first three.
	maxLateCrashes = 3
	// propagationTime is how long the processes have for that after the last fault.
	propagationTime = 3 * time.Second
)

func newCrashingServers(sys *system) *crashingServers {
	m := &crashingServers{sys: sys, crashes: map[string]int{}}
	for range crashingServerCount {
		m.servers = append(m.servers, m.start())
	}
	return m
}

func (m *crashingServers) start() *hostedtest.Server {
	m.started++
	s := hostedtest.NewServer(fmt.Sprintf("d%d", m.started), "mortal")
	s.Fail(hostedtest.ServerFaults{CrashOn: crashPath})
	m.sys.t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	m.sys.store.Put(hostedtest.TopicServers, s.ID, s.Entry("ready"))
	m.everStarted = append(m.everStarted, s)
	return s
}

// allEverStarted returns all servers that were ever started.
func (m *crashingServers) allEverStarted() []*hostedtest.Server {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.everStarted)
}

// run replaces the servers that have ended until ctx ends.
func (m *crashingServers) run(ctx context.Context) {
	for ctx.Err() == nil {
		m.replace()
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond): // a server is back some time after its end
		}
	}
}

func (m *crashingServers) replace() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, s := range m.servers {
		if !s.Crashed() {
			continue
		}
		m.crashes[crashCause(s)]++
		m.sys.store.Drop(hostedtest.TopicServers, s.ID)
		m.servers[i] = m.start()
	}
}

// crashCause is the request under which a server ended; others may have come beside it.
func crashCause(s *hostedtest.Server) string {
	for _, a := range s.Arrivals() {
		if strings.HasPrefix(a.URI, crashPath) {
			return a.URI
		}
	}
	return ""
}

// heartbeat writes the servers' entries anew, as they do.
func (m *crashingServers) heartbeat() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.servers {
		m.sys.store.Put(hostedtest.TopicServers, s.ID, s.Entry("ready"))
	}
}

func (m *crashingServers) crashCount(uri string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.crashes[uri]
}

// sendCrashing sends one request that crashes servers again and again until ctx ends, and
// harmless ones between.
func (c *client) sendCrashing(ctx context.Context, uri string) {
	for n := 0; ctx.Err() == nil; n++ {
		path := uri
		if c.rng.IntN(2) == 0 {
			path = "/mortal/harmless"
		}
		id := fmt.Sprintf("%s-%d", uri, n)
		status, _, body := c.ask(ctx, c.randomGateway(), http.MethodPost, path, id, []byte("b"))
		if status == http.StatusOK && (path == uri || string(body) != "answer to "+id) {
			c.rec.reportViolation("request %s of %s got %q", id, path, body)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(20+c.rng.IntN(200)) * time.Millisecond):
		}
	}
}

// verifyQuarantine sends the requests to each gateway once all have had time to hear of the ends
// under them: hardly any may reach a server, and others are served.
func (m *crashingServers) verifyQuarantine(rec *record, seed uint64, uris []string) {
	time.Sleep(propagationTime) // the promise is made for processes that were well for so long
	m.replace()
	c := newClient(m.sys, rec, seed, 4000)
	for _, uri := range uris {
		before := m.crashCount(uri)
		for n := range 3 * len(m.sys.gatewayProcs) {
			c.ask(context.Background(), m.sys.gatewayProcs[n%len(m.sys.gatewayProcs)], http.MethodPost, uri, fmt.Sprintf("late-%s-%d", uri, n), []byte("b"))
			m.replace()
		}
		if late := m.crashCount(uri) - before; before >= crashingServerCount && late > maxLateCrashes {
			rec.reportViolation("request %s: %d servers ended under it, and %d more when all had heard of it", uri, before, late)
		}
	}
	for n, g := range m.sys.gatewayProcs {
		served := false
		for deadline := time.Now().Add(10 * time.Second); !served && time.Now().Before(deadline); {
			status, _, _ := c.ask(context.Background(), g, http.MethodPost, "/mortal/harmless", fmt.Sprintf("last-%d", n), nil)
			served = status == http.StatusOK
		}
		if !served {
			rec.reportViolation("a harmless request is not served at %s", g.name)
		}
	}
}
