// Package gatewaytest sets up what the gateway's tests share: a platform of
// stand-ins and a process's view of it.
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
	"dandelionsill.org/gateway/backend"
	"dandelionsill.org/gateway/forward"
	"dandelionsill.org/gateway/view"
	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/platform/hosted/hostedtest"
	"dandelionsill.org/quarantine"
)

// MaxWait is how long tests wait for what has to come at some time. The longest of them
// take 8 s where nothing else runs.
const MaxWait = 30 * time.Second

// Platform is a store with servers in it.
type Platform struct {
	Store   *hostedtest.Store
	Engines []*hostedtest.Server
	Servers []*hostedtest.Server

	replacements int // of servers in the place of others

	mu    sync.Mutex
	peers []string // where processes take their peers' calls
}

// peersOf returns where the processes but one take their peers' calls.
func (p *Platform) peersOf(self string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(p.peers), func(addr string) bool { return addr == self })
}

func (p *Platform) addPeer(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers = append(p.peers, addr)
}

// NewPlatform starts a store with a configuration, engines of the model m and
// plain servers, all registered.
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

func name(prefix string, i int) string { return prefix + string(rune('0'+i)) }

func (p *Platform) add(t testing.TB, s *hostedtest.Server) *hostedtest.Server {
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	p.Register(s, "ready")
	return s
}

// Register writes a server's entry into the store.
func (p *Platform) Register(s *hostedtest.Server, state string) {
	p.Store.Put(hostedtest.TopicServers, s.ID, s.Entry(state))
}

// ReplaceCrashed starts a server with the same faults in the place of each plain one that
// crashed, and returns how many there were. Processes may not know of them yet.
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

// KnowsServersOf tells whether the process knows just the plain servers of the platform.
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

// Process is what the parts of one process share.
type Process struct {
	Store   *hosted.Store
	View    *view.View
	Pool    *backend.Pool
	Forward *forward.Forwarder
	// Go runs a loop until the process is stopped.
	Go func(func(context.Context))
	// Stop ends the loops and waits for them.
	Stop func()
}

// enableSharing lets a process hear of its peers' quarantine and tell them of its own.
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

// NewProcess starts a process's view of the platform and waits until it knows
// all servers.
func (p *Platform) NewProcess(t testing.TB) *Process {
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	store := hosted.NewStore(p.Store.Addr())
	v := view.New(store, zap.NewNop())
	pool := backend.NewPool(hosted.AttemptID)
	proc := &Process{Store: store, View: v, Pool: pool, Forward: forward.New(v, pool, "zone-a", zap.NewNop())}
	proc.Go = func(f func(context.Context)) { loops.Go(func() { f(ctx) }) }
	var once sync.Once
	proc.Stop = func() { once.Do(func() { cancel(); loops.Wait(); pool.Retain(nil) }) }
	t.Cleanup(proc.Stop)
	p.enableSharing(t, proc)
	proc.Go(v.Run)
	require.Eventually(t, func() bool {
		snap := v.Current()
		return snap.Table != nil && len(snap.Servers["engines"]) == len(p.Engines) && len(snap.Servers["plain"]) == len(p.Servers)
	}, MaxWait, time.Millisecond)
	return proc
}
