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

// mortals are servers that crash under some requests and are replaced. No link stands
// before them: a proxy takes connections for a server that has ended.
type mortals struct {
	w *world

	mu      sync.Mutex
	servers []*hostedtest.Server
	past    []*hostedtest.Server // all that were ever started
	ended   map[string]int       // servers, by the request under which they ended
	started int
}

const (
	mortalServers = 3
	// deadly begins the paths of the requests that crash servers.
	deadly = "/mortal/deadly"
	// endedLate is how many servers may still end under a request once every process
	// can have heard of the first three.
	endedLate = 3
	// hearing is how long the processes have for that after the last fault.
	hearing = 3 * time.Second
)

func newMortals(w *world) *mortals {
	m := &mortals{w: w, ended: map[string]int{}}
	for range mortalServers {
		m.servers = append(m.servers, m.start())
	}
	return m
}

func (m *mortals) start() *hostedtest.Server {
	m.started++
	s := hostedtest.NewServer(fmt.Sprintf("d%d", m.started), "mortal")
	s.Fail(hostedtest.ServerFaults{CrashOn: deadly})
	m.w.t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	m.w.store.Put(hostedtest.TopicServers, s.ID, s.Entry("ready"))
	m.past = append(m.past, s)
	return s
}

// everyone returns all servers that were ever started.
func (m *mortals) everyone() []*hostedtest.Server {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.past)
}

// run replaces the servers that have ended until ctx ends.
func (m *mortals) run(ctx context.Context) {
	for ctx.Err() == nil {
		m.replace()
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond): // a server is back some time after its end
		}
	}
}

func (m *mortals) replace() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, s := range m.servers {
		if !s.Crashed() {
			continue
		}
		m.ended[killer(s)]++
		m.w.store.Drop(hostedtest.TopicServers, s.ID)
		m.servers[i] = m.start()
	}
}

// killer is the request under which a server ended; others may have come beside it.
func killer(s *hostedtest.Server) string {
	for _, a := range s.Arrivals() {
		if strings.HasPrefix(a.URI, deadly) {
			return a.URI
		}
	}
	return ""
}

// heartbeat writes the servers' entries anew, as they do.
func (m *mortals) heartbeat() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.servers {
		m.w.store.Put(hostedtest.TopicServers, s.ID, s.Entry("ready"))
	}
}

func (m *mortals) count(uri string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ended[uri]
}

// dies sends one request that crashes servers again and again until ctx ends, and
// harmless ones between.
func (c *client) dies(ctx context.Context, uri string) {
	for n := 0; ctx.Err() == nil; n++ {
		path := uri
		if c.rng.IntN(2) == 0 {
			path = "/mortal/harmless"
		}
		id := fmt.Sprintf("%s-%d", uri, n)
		status, _, body := c.ask(ctx, c.gate(), http.MethodPost, path, id, []byte("b"))
		if status == http.StatusOK && (path == uri || string(body) != "answer to "+id) {
			c.rec.breach("request %s of %s got %q", id, path, body)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(20+c.rng.IntN(200)) * time.Millisecond):
		}
	}
}

// settle sends the requests to each gateway once all have had time to hear of the ends
// under them: hardly any may reach a server, and others are served.
func (m *mortals) settle(rec *record, seed uint64, uris []string) {
	time.Sleep(hearing) // the promise is made for processes that were well for so long
	m.replace()
	c := newClient(m.w, rec, seed, 4000)
	for _, uri := range uris {
		before := m.count(uri)
		for n := range 3 * len(m.w.gates) {
			c.ask(context.Background(), m.w.gates[n%len(m.w.gates)], http.MethodPost, uri, fmt.Sprintf("late-%s-%d", uri, n), []byte("b"))
			m.replace()
		}
		if late := m.count(uri) - before; before >= mortalServers && late > endedLate {
			rec.breach("request %s: %d servers ended under it, and %d more when all had heard of it", uri, before, late)
		}
	}
	for n, g := range m.w.gates {
		served := false
		for deadline := time.Now().Add(10 * time.Second); !served && time.Now().Before(deadline); {
			status, _, _ := c.ask(context.Background(), g, http.MethodPost, "/mortal/harmless", fmt.Sprintf("last-%d", n), nil)
			served = status == http.StatusOK
		}
		if !served {
			rec.breach("a harmless request is not served at %s", g.name)
		}
	}
}
