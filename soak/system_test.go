package soak

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
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

// Size of the system: seven processes and a few dozen connections.
const (
	gatewayCount = 3
	engineCount  = 4
	serviceCount = 3
	engineEvents = 60 // of a stream
	modelName    = "m"
)

// process is a gateway or an agent with its link to the store.
type process struct {
	name   string
	args   []string
	log    *os.File
	store  *link
	listen string // a gateway's address for callers

	mu          sync.Mutex
	cmd         *exec.Cmd
	done        chan struct{}
	endExpected bool // the test ended it
	// hungUpUnready is set when SIGHUP was sent before the process had a handler for it.
	hungUpUnready bool
}

// system is the system under test with stand-ins for the platform.
type system struct {
	t            *testing.T
	dir          string
	store        *hostedtest.Store
	engines      []*hostedtest.Server
	services     []*hostedtest.Server
	crashing     *crashingServers
	links        []*link
	gatewayProcs []*process
	agentProcs   []*process
	duties       *hostedtest.Duties
	config       atomic.Int64 // version of the newest configuration
	evacuations  evacuations
}

func newSystem(t *testing.T, dir string) *system {
	sys := &system{t: t, dir: dir, store: hostedtest.NewStore(), duties: hostedtest.NewDuties(minHolderGap)}
	t.Cleanup(func() { sys.store.CloseClientConnections(); sys.store.Close() })
	t.Cleanup(func() { sys.duties.CloseClientConnections(); sys.duties.Close() })
	sys.applyNextConfig()
	for i := range engineCount {
		e := hostedtest.NewEngine(fmt.Sprintf("e%d", i), "engines", modelName)
		e.EventInterval, e.Events = 8*time.Millisecond, engineEvents
		e.FailureDomain = domainOf(i)
		sys.engines = append(sys.engines, e)
		sys.addServer(e)
	}
	for i := range serviceCount {
		s := hostedtest.NewServer(fmt.Sprintf("p%d", i), plainService)
		s.Slots, s.MaxQueue, s.WorkTime = serviceSlots, serviceQueue, serviceWorkTime
		s.FailureDomain = domainOf(i)
		sys.services = append(sys.services, s)
		sys.addServer(s)
	}
	sys.crashing = newCrashingServers(sys)
	for i := range gatewayCount {
		sys.gatewayProcs = append(sys.gatewayProcs, sys.newGateway(fmt.Sprintf("g%d", i)))
	}
	for i := range engineCount {
		sys.agentProcs = append(sys.agentProcs, sys.newAgent(fmt.Sprintf("a%d", i), sys.engines[i].AdvertisedAddr))
	}
	sys.evacuate(failureDomains[1], true)
	for _, p := range sys.processes() {
		p.start(t)
	}
	t.Cleanup(sys.killAll)
	return sys
}

func (sys *system) processes() []*process {
	return append(append([]*process(nil), sys.gatewayProcs...), sys.agentProcs...)
}

func (sys *system) addServer(s *hostedtest.Server) {
	l := newLink(sys.t, s.ID, s.Addr())
	s.AdvertisedAddr = l.addr
	sys.links = append(sys.links, l)
	sys.t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	sys.store.Put(hostedtest.TopicServers, s.ID, s.Entry("ready"))
}

// linkTo returns the link to a server.
func (sys *system) linkTo(s *hostedtest.Server) *link {
	return sys.links[slices.IndexFunc(sys.links, func(l *link) bool { return l.name == s.ID })]
}

// heartbeat writes the servers' entries again, as real servers do regularly.
func (sys *system) heartbeat() {
	for _, s := range append(append([]*hostedtest.Server(nil), sys.engines...), sys.services...) {
		sys.store.Put(hostedtest.TopicServers, s.ID, s.Entry("ready"))
	}
	sys.crashing.heartbeat()
}

// Range of the ports that the processes listen on. They are below the ephemeral ports (from
// 32768 on): an outgoing connection took such a port between the test's check and
// the process's start, and a gateway ended with "address already in use". Each test
// process starts at a different port.
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

func (sys *system) newProcess(binary, name, extra string) *process {
	store := newLink(sys.t, name+"-store", sys.store.Addr())
	sys.links = append(sys.links, store)
	path := filepath.Join(sys.dir, name+".ini")
	text := fmt.Sprintf("[process]\nname = %s\nfailure_domain = zone-a\ngrace = %s\n[store]\naddress = %s\n%s", name, graceTime, store.addr, extra)
	require.NoError(sys.t, os.WriteFile(path, []byte(text), 0o600))
	log, err := os.Create(filepath.Join(sys.dir, name+".log"))
	require.NoError(sys.t, err)
	return &process{name: name, args: []string{filepath.Join(binDir, binary), "--config", path}, log: log, store: store}
}

func (sys *system) newGateway(name string) *process {
	callers := freeAddr(sys.t)
	p := sys.newProcess("dandelion-gateway", name, fmt.Sprintf("parts = 3\n[listen]\ncallers = %s\nready = %s\npeers = %s\n[permits]\nlisten = %s\n[vm]\nmemory_mb = %d\n", callers, freeAddr(sys.t), freeAddr(sys.t), freeAddr(sys.t), gatewayMemoryMB)+sys.dutySettings(name))
	p.listen = callers
	return p
}

func (sys *system) newAgent(name, engine string) *process {
	return sys.newProcess("dandelion-orders", name, fmt.Sprintf("[engine]\naddress = %s\n", engine))
}

func (p *process) start(t *testing.T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startLocked(t)
}

// startLocked starts the process. The caller holds p.mu.
func (p *process) startLocked(t *testing.T) {
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.endExpected, p.hungUpUnready = false, false
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
		case p.endExpected:
		case p.hungUpUnready && killedBySignal(err, syscall.SIGHUP):
			p.startLocked(t) // the platform restarts processes that end
		default:
			t.Errorf("%s ended unexpectedly: %v", p.name, err)
		}
	}()
}

func killedBySignal(err error, sig syscall.Signal) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == sig
}

// hangUp sends SIGHUP. Until the process has installed a handler, the default action
// terminates it, possibly before the program is loaded (16 of 200 signals sent right
// after the start did so). Only in this case may SIGHUP end the process.
func (p *process) hangUp() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hungUpUnready = p.hungUpUnready || !hasHandler(p.cmd.Process.Pid, syscall.SIGHUP)
	_ = p.cmd.Process.Signal(syscall.SIGHUP) // the process may have ended already
}

// hasHandler reports whether a process currently has a handler for a signal.
func hasHandler(pid int, sig syscall.Signal) bool {
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

// signal sends a signal. ends is true if the process may end because of it.
func (p *process) signal(sig syscall.Signal, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endExpected = p.endExpected || ends
	_ = p.cmd.Process.Signal(sig) // the process may have ended already
}

// end sends a signal that ends the process, and returns false if one was sent before.
func (p *process) end(sig syscall.Signal) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endExpected {
		return false
	}
	p.endExpected = true
	_ = p.cmd.Process.Signal(sig) // the process may have ended already
	return true
}

func (p *process) exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// killAll kills the processes that the test started and waits for their end.
func (sys *system) killAll() {
	for _, p := range sys.processes() {
		p.signal(syscall.SIGCONT, true)
		p.signal(syscall.SIGKILL, true)
		<-p.exited()
		_ = p.log.Close()
	}
}
