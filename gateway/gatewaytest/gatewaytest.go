// Package gatewaytest provides the set-up that the gateway's tests share: a platform of stand-ins
// and the parts of a gateway process that uses it.
package gatewaytest

import (
	"context"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/decide/members"
	"dandelionsill.org/decide/topology"
	"dandelionsill.org/gateway/backend"
	"dandelionsill.org/gateway/forward"
	"dandelionsill.org/gateway/view"
	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/platform/hosted/hostedtest"
	"dandelionsill.org/quarantine"
)

// MaxWait bounds how long tests wait for an expected event. The longest waits take 8 s on an
// otherwise idle machine.
const MaxWait = 30 * time.Second

// Platform is a store and the servers that are registered in it.
type Platform struct {
	Store   *hostedtest.Store
	Engines []*hostedtest.Server
	Servers []*hostedtest.Server // servers of the service "plain", which are no engines

	// Topology is known to processes that start; nil: none is.
	Topology *topology.Topology

	replacements int // number of servers that ReplaceCrashed has started

	mu    sync.Mutex
	peers []string // addresses at which the processes accept calls of their peers
}

// peersOf returns the addresses of all processes except self.
func (p *Platform) peersOf(self string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(p.peers), func(addr string) bool { return addr == self })
}

// addPeer adds the address at which a process accepts calls of its peers.
func (p *Platform) addPeer(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers = append(p.peers, addr)
}

// NewPlatform starts a store with a configuration and a number of engines of the model m and of
// other servers, and registers them.
func NewPlatform(t testing.TB, engines, servers int) *Platform {
	p := &Platform{Store: hostedtest.NewStore()}
	t.Cleanup(p.Store.Close)
	p.Store.Put(hostedtest.TopicOperator, "config", hostedtest.Config(1))
	for i := range engines {
		p.Engines = append(p.Engines, p.add(t, hostedtest.NewEngine(name("e", i), "engines", "m")))
	}
	for i := range servers {
		p.Servers = append(p.Servers, p.add(t, hostedtest.NewServer(name("p", i), "plain")))
	}
	return p
}

// name returns the ID of the i-th server; i must be below 10.
func name(prefix string, i int) string { return prefix + string(rune('0'+i)) }

// add registers a server and stops it at the end of the test.
func (p *Platform) add(t testing.TB, s *hostedtest.Server) *hostedtest.Server {
	closeAtEnd(t, s)
	p.Register(s, "ready")
	return s
}

// NewEngine starts another engine of the model m, which is not registered yet. The test puts it into
// Engines.
func (p *Platform) NewEngine(t testing.TB, id string) *hostedtest.Server {
	engine := hostedtest.NewEngine(id, "engines", "m")
	closeAtEnd(t, engine)
	return engine
}

func closeAtEnd(t testing.TB, s *hostedtest.Server) {
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
}

// Register writes the entry of a server in a state into the store.
func (p *Platform) Register(s *hostedtest.Server, state string) {
	p.Store.Put(hostedtest.TopicServers, s.ID, s.Entry(state))
}

// ReplaceCrashed replaces each of Servers that has crashed by a new server with faults f, and
// returns how many there were. Processes learn of the new servers only later, see KnowsServersOf.
func (p *Platform) ReplaceCrashed(t testing.TB, f hostedtest.ServerFaults) int {
	replaced := 0
	for i, s := range p.Servers {
		if !s.Crashed() {
			continue
		}
		p.Store.Drop(hostedtest.TopicServers, s.ID)
		replaced++
		p.replacements++
		p.Servers[i] = p.add(t, hostedtest.NewServer(name("p", i)+"-"+strconv.Itoa(p.replacements), "plain"))
		p.Servers[i].Fail(f)
	}
	return replaced
}

// KnowsServersOf reports whether the process's view contains exactly the platform's Servers.
func (p *Process) KnowsServersOf(pf *Platform) bool {
	known := p.View.Current().Servers["plain"]
	if len(known) != len(pf.Servers) {
		return false
	}
	for _, s := range pf.Servers {
		if !slices.ContainsFunc(known, func(k members.Server) bool { return k.Name == s.ID }) {
			return false
		}
	}
	return true
}

// Process holds what the parts of one gateway process share.
type Process struct {
	Store   *hosted.Store
	View    *view.View
	Pool    *backend.Pool
	Forward *forward.Forwarder
	// Go starts a loop with a context that ends when the process is stopped.
	Go func(func(context.Context))
	// Stop ends the loops and waits for them.
	Stop func()
}

// enableSharing makes a process share its quarantined requests with its peers.
func (p *Platform) enableSharing(t testing.TB, proc *Process) {
	peerServer := httptest.NewServer(proc.Forward.Quarantine)
	t.Cleanup(peerServer.Close)
	self := peerServer.Listener.Addr().String()
	p.addPeer(self)
	peers := quarantine.NewHTTPPeers(func() []string { return p.peersOf(self) })
	t.Cleanup(peers.Close)
	proc.Forward.Quarantine.EnableSharing(proc.Store, peers, 0)
	proc.Go(proc.Forward.Quarantine.Run)
}

// NewProcess starts a process and waits until its view contains all servers of the platform.
func (p *Platform) NewProcess(t testing.TB) *Process {
	proc := p.StartProcess(t)
	require.Eventually(t, func() bool {
		snap := proc.View.Current()
		return snap.Table != nil && len(snap.Servers["engines"]) == len(p.Engines) && len(snap.Servers["plain"]) == len(p.Servers)
	}, MaxWait, time.Millisecond)
	return proc
}

// StartProcess starts a process that may know nothing of the platform yet, as during an outage.
func (p *Platform) StartProcess(t testing.TB) *Process {
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	store := hosted.NewStore(p.Store.Addr())
	v := view.New(hosted.NewFeeds(store, store), zap.NewNop())
	v.Topology, v.UseCopies = p.Topology, true
	pool := backend.NewPool(hosted.AttemptID)
	proc := &Process{Store: store, View: v, Pool: pool, Forward: forward.New(v, pool, "zone-a", zap.NewNop())}
	proc.Go = func(f func(context.Context)) { loops.Go(func() { f(ctx) }) }
	var once sync.Once
	proc.Stop = func() { once.Do(func() { cancel(); loops.Wait(); pool.Retain(nil) }) }
	t.Cleanup(proc.Stop)
	p.enableSharing(t, proc)
	proc.Go(v.Run)
	return proc
}
