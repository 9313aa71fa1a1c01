package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/platform/hosted/hostedtest"
)

// Sizes of the world: a few dozen connections and seven processes.
const (
	gateways = 3
	engines  = 4
	plains   = 2
	models   = "m"
)

// proc is one of the system's processes, with its link to the store.
type proc struct {
	name   string
	args   []string
	log    *os.File
	store  *link
	listen string // callers' address of a gateway

	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	expected bool // we ended it
}

// world is the whole system and its platform.
type world struct {
	t       *testing.T
	dir     string
	store   *hostedtest.Store
	engines []*hostedtest.Server
	plain   []*hostedtest.Server
	links   []*link
	gates   []*proc
	agents  []*proc
	config  int
}

func newWorld(t *testing.T, dir string) *world {
	w := &world{t: t, dir: dir, store: hostedtest.NewStore(), config: 1}
	t.Cleanup(func() { w.store.CloseClientConnections(); w.store.Close() })
	w.store.Put(hostedtest.TopicOperator, "config", hostedtest.Config(1))
	for i := range engines {
		e := hostedtest.NewEngine(fmt.Sprintf("e%d", i), "engines", models)
		e.Pace, e.Events = 8*time.Millisecond, 60
		w.engines = append(w.engines, e)
		w.register(e)
	}
	for i := range plains {
		p := hostedtest.NewServer(fmt.Sprintf("p%d", i), "plain")
		w.plain = append(w.plain, p)
		w.register(p)
	}
	for i := range gateways {
		w.gates = append(w.gates, w.gateway(fmt.Sprintf("g%d", i)))
	}
	for i := range engines {
		w.agents = append(w.agents, w.agent(fmt.Sprintf("a%d", i), w.engines[i].Via))
	}
	for _, p := range w.all() {
		p.start(t)
	}
	t.Cleanup(w.end)
	return w
}

func (w *world) all() []*proc { return append(append([]*proc(nil), w.gates...), w.agents...) }

func (w *world) register(s *hostedtest.Server) {
	l := newLink(w.t, s.ID, s.Addr())
	s.Via = l.addr
	w.links = append(w.links, l)
	w.t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	w.store.Put(hostedtest.TopicServers, s.ID, s.Entry("ready"))
}

// heartbeat writes the servers' entries anew, as they do.
func (w *world) heartbeat() {
	for _, s := range append(append([]*hostedtest.Server(nil), w.engines...), w.plain...) {
		w.store.Put(hostedtest.TopicServers, s.ID, s.Entry("ready"))
	}
}

func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func (w *world) process(binary, name, more string) *proc {
	store := newLink(w.t, name+"-store", w.store.Addr())
	w.links = append(w.links, store)
	path := filepath.Join(w.dir, name+".ini")
	text := fmt.Sprintf("[process]\nname = %s\nfailure_domain = zone-a\ngrace = 4s\n[store]\naddress = %s\n%s", name, store.addr, more)
	require.NoError(w.t, os.WriteFile(path, []byte(text), 0o600))
	log, err := os.Create(filepath.Join(w.dir, name+".log"))
	require.NoError(w.t, err)
	return &proc{name: name, args: []string{filepath.Join(bin, binary), "--config", path}, log: log, store: store}
}

func (w *world) gateway(name string) *proc {
	callers := freeAddr(w.t)
	p := w.process("dandelion-gateway", name, fmt.Sprintf("parts = 3\n[listen]\ncallers = %s\nready = %s\npeers = %s\n", callers, freeAddr(w.t), freeAddr(w.t)))
	p.listen = callers
	return p
}

func (w *world) agent(name, engine string) *proc {
	return w.process("dandelion-orders", name, fmt.Sprintf("[engine]\naddress = %s\n", engine))
}

func (p *proc) start(t *testing.T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.expected = false
	done := make(chan struct{})
	p.done = done
	require.NoError(t, p.cmd.Start())
	cmd := p.cmd
	go func() {
		defer close(done)
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.expected {
			t.Errorf("%s ended by itself: %v", p.name, err)
		}
	}()
}

// signal sends a signal; one that ends the process is expected to.
func (p *proc) signal(sig syscall.Signal, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expected = p.expected || ends
	_ = p.cmd.Process.Signal(sig) // it may have ended meanwhile
}

func (p *proc) ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// end stops the processes that this world started, by their ids.
func (w *world) end() {
	for _, p := range w.all() {
		p.signal(syscall.SIGCONT, true)
		p.signal(syscall.SIGKILL, true)
		<-p.ended()
		_ = p.log.Close()
	}
}
