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

// crashingServers runs servers that crash on some requests and replaces them. They
// are reached without a link, since a proxy would accept connections for a server
// that has crashed.
type crashingServers struct {
	sys *system

	mu          sync.Mutex
	servers     []*hostedtest.Server
	everStarted []*hostedtest.Server // includes those that have crashed
	crashes     map[string]int       // number of servers, by the request that crashed them
	started     int
}

const (
	crashingServerCount = 3
	// crashPath is the path prefix of the requests that crash servers.
	crashPath = "/mortal/deadly"
	// maxLateCrashes is the maximum number of servers that a request may crash after its
	// first three crashes have been reported to every process.
	maxLateCrashes = 3
	// propagationTime is how long the processes have for these reports after the last
	// fault.
	propagationTime = 3 * time.Second
)

func newCrashingServers(sys *system) *crashingServers {
	cs := &crashingServers{sys: sys, crashes: map[string]int{}}
	for i := range crashingServerCount {
		cs.servers = append(cs.servers, cs.start(domainOf(i)))
	}
	return cs
}

func (cs *crashingServers) start(domain string) *hostedtest.Server {
	cs.started++
	s := hostedtest.NewServer(fmt.Sprintf("d%d", cs.started), "mortal")
	s.FailureDomain = domain
	s.Fail(hostedtest.ServerFaults{CrashOn: crashPath})
	cs.sys.t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	cs.sys.store.Put(hostedtest.TopicServers, s.ID, s.Entry("ready"))
	cs.everStarted = append(cs.everStarted, s)
	return s
}

// allEverStarted returns all servers that were started, also those that have crashed.
func (cs *crashingServers) allEverStarted() []*hostedtest.Server {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return slices.Clone(cs.everStarted)
}

// run replaces crashed servers until ctx ends.
func (cs *crashingServers) run(ctx context.Context) {
	for ctx.Err() == nil {
		cs.replace()
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond): // a crashed server is replaced with a delay
		}
	}
}

func (cs *crashingServers) replace() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for i, s := range cs.servers {
		if !s.Crashed() {
			continue
		}
		cs.crashes[crashCause(s)]++
		cs.sys.store.Drop(hostedtest.TopicServers, s.ID)
		cs.servers[i] = cs.start(s.FailureDomain)
	}
}

// crashCause returns the URI of the request that crashed a server. Other requests
// may have been running at the same time.
func crashCause(s *hostedtest.Server) string {
	for _, a := range s.Arrivals() {
		if strings.HasPrefix(a.URI, crashPath) {
			return a.URI
		}
	}
	return ""
}

// heartbeat writes the servers' entries again, as real servers do regularly.
func (cs *crashingServers) heartbeat() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, s := range cs.servers {
		cs.sys.store.Put(hostedtest.TopicServers, s.ID, s.Entry("ready"))
	}
}

func (cs *crashingServers) crashCount(uri string) int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.crashes[uri]
}

// sendCrashing repeats a request that crashes servers until ctx ends, mixed with
// harmless ones.
func (c *client) sendCrashing(ctx context.Context, uri string) {
	for n := 0; ctx.Err() == nil; n++ {
		path := uri
		if c.rng.IntN(2) == 0 {
			path = "/mortal/harmless"
		}
		id := fmt.Sprintf("%s-%d", uri, n)
		status, _, body := c.ask(ctx, c.randomGateway(), http.MethodPost, path, id, []byte("b"))
		c.rec.addOutcome(id, outcome{status: status})
		if status == http.StatusOK && (path == uri || string(body) != "answer to "+id) {
			c.rec.reportViolation("request %s of %s got %q", id, path, body)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(20+c.rng.IntN(200)) * time.Millisecond):
		}
	}
}

// verifyQuarantine sends the crashing requests to each gateway after the gateways
// have had time to receive the reports of the earlier crashes. At most maxLateCrashes of each may
// crash another server, and harmless requests must be served.
func (cs *crashingServers) verifyQuarantine(rec *record, seed uint64, uris []string) {
	time.Sleep(propagationTime) // the guarantee holds only after this long without faults
	cs.replace()
	c := newClient(cs.sys, rec, seed, 4000)
	for _, uri := range uris {
		before := cs.crashCount(uri)
		for n := range 3 * len(cs.sys.gatewayProcs) {
			c.ask(context.Background(), cs.sys.gatewayProcs[n%len(cs.sys.gatewayProcs)], http.MethodPost, uri, fmt.Sprintf("late-%s-%d", uri, n), []byte("b"))
			cs.replace()
		}
		if late := cs.crashCount(uri) - before; before >= crashingServerCount && late > maxLateCrashes {
			rec.reportViolation("request %s crashed %d servers, and %d more after the crashes had been reported to all gateways", uri, before, late)
		}
	}
	for n, g := range cs.sys.gatewayProcs {
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
