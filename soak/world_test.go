package soak

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
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
	// hungUpUnready: it was hung up before it had a handler.
	hungUpUnready bool
}

// world is the whole system and its platform.
type world struct {
	t       *testing.T
	dir     string
	store   *hostedtest.Store
	engines []*hostedtest.Server
	plain   []*hostedtest.Server
	mortal  *mortals
	links   []*link
	gates   []*proc
	agents  []*proc
	duties  *hostedtest.Duties
	config  atomic.Int64 // version in force
}

func newWorld(t *testing.T, dir string) *world {
	w := &world{t: t, dir: dir, store: hostedtest.NewStore(), duties: hostedtest.NewDuties(leaseTurns)}
	t.Cleanup(func() { w.store.CloseClientConnections(); w.store.Close() })
	t.Cleanup(func() { w.duties.CloseClientConnections(); w.duties.Close() })
	w.configure()
	for i := range engines {
		e := hostedtest.NewEngine(fmt.Sprintf("e%d", i), "engines", models)
		e.EventInterval, e.Events = 8*time.Millisecond, 60
		w.engines = append(w.engines, e)
		w.register(e)
	}
	for i := range plains {
		p := hostedtest.NewServer(fmt.Sprintf("p%d", i), "plain")
		w.plain = append(w.plain, p)
		w.register(p)
	}
	w.mortal = newMortals(w)
	for i := range gateways {
		w.gates = append(w.gates, w.gateway(fmt.Sprintf("g%d", i)))
	}
	for i := range engines {
		w.agents = append(w.agents, w.agent(fmt.Sprintf("a%d", i), w.engines[i].AdvertisedAddr))
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
	s.AdvertisedAddr = l.addr
	w.links = append(w.links, l)
	w.t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	w.store.Put(hostedtest.TopicServers, s.ID, s.Entry("ready"))
}

// heartbeat writes the servers' entries anew, as they do.
func (w *world) heartbeat() {
	for _, s := range append(append([]*hostedtest.Server(nil), w.engines...), w.plain...) {
		w.store.Put(hostedtest.TopicServers, s.ID, s.Entry("ready"))
	}
	w.mortal.heartbeat()
}

// Ports that a process is told to listen on lie below those that the system gives
// to outgoing connections (from 32768 on): one of these took a port between the
// test's look and the process's start, and a gateway ended with "address already
// in use". Each test process begins at a place of its own.
const (
	firstPort = 12000
	portsEnd  = 32000
)

var nextPort atomic.Uint32

func freeAddr(t *testing.T) string {
	for range portsEnd - firstPort {
		n := int(nextPort.Add(1)) + os.Getpid()*37
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+n%(portsEnd-firstPort))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		require.NoError(t, l.Close())
		return addr
	}
	require.FailNow(t, "no free port")
	return ""
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
	p := w.process("dandelion-gateway", name, fmt.Sprintf("parts = 3\n[listen]\ncallers = %s\nready = %s\npeers = %s\n", callers, freeAddr(w.t), freeAddr(w.t))+w.dutySettings(name))
	p.listen = callers
	return p
}

func (w *world) agent(name, engine string) *proc {
	return w.process("dandelion-orders", name, fmt.Sprintf("[engine]\naddress = %s\n", engine))
}

func (p *proc) start(t *testing.T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startLocked(t)
}

// startLocked is start with p.mu held.
func (p *proc) startLocked(t *testing.T) {
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.expected, p.hungUpUnready = false, false
	done := make(chan struct{})
	p.done = done
	require.NoError(t, p.cmd.Start())
	cmd := p.cmd
	go func() {
		defer close(done)
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		switch {
		case p.expected:
		case p.hungUpUnready && endedBy(err, syscall.SIGHUP):
			p.startLocked(t) // as the platform starts again what ends
		default:
			t.Errorf("%s ended by itself: %v", p.name, err)
		}
	}()
}

func endedBy(err error, sig syscall.Signal) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == sig
}

// hangUp sends SIGHUP. Until a process has a handler for it the kernel's default
// applies and ends it, whatever the program does: it may not even be loaded (16 of
// 200 hang-ups sent right after the start met that). Only then may it end by one.
func (p *proc) hangUp() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hungUpUnready = p.hungUpUnready || !handles(p.cmd.Process.Pid, syscall.SIGHUP)
	_ = p.cmd.Process.Signal(syscall.SIGHUP) // it may have ended meanwhile
}

// handles tells whether a process has a handler for a signal now.
func handles(pid int, sig syscall.Signal) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false
	}
	_, rest, found := strings.Cut(string(status), "SigCgt:")
	if !found {
		return false
	}
	mask, _, _ := strings.Cut(strings.TrimSpace(rest), "\n")
	caught, err := strconv.ParseUint(strings.TrimSpace(mask), 16, 64)
	return err == nil && caught&(1<<(uint(sig)-1)) != 0
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
