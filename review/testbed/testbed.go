// Package testbed starts gateways as separate processes for the cases of the second review,
// between stand-ins of the platform, and records what they are sent and answer.
package testbed

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"dandelionsill.org/platform/hosted/hostedtest"
)

// Exit codes of a case.
const (
	Held   = 0 // the rule was kept
	Broken = 1
	NotRun = 2 // the case could not run
)

// Host is the host of all routes in hostedtest.Config.
const Host = "app.example"

// heartbeatInterval is how often servers write their entries, as in a small deployment.
const heartbeatInterval = 1200 * time.Millisecond

// Case is one run of a case.
type Case struct {
	// Trouble is false if the case is to run without its disruption.
	Trouble bool

	root, dir string
	record    *os.File
	started   time.Time

	mu        sync.Mutex
	nextPort  int
	processes []*Process
}

// Start prepares a run. It needs the environment variables CASE_RECORD, the path of the record, and
// CASE_DIR, a temporary folder; the current folder is the repository's root.
func Start() *Case {
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", dir: os.Getenv("CASE_DIR"), started: time.Now()}
	root, err := os.Getwd()
	if err != nil || c.dir == "" {
		fmt.Println("CASE_DIR is not set, or there is no current folder")
		os.Exit(NotRun)
	}
	c.root = root
	if c.record, err = os.Create(os.Getenv("CASE_RECORD")); err != nil {
		fmt.Println(err)
		os.Exit(NotRun)
	}
	c.Log("trouble: %v", c.Trouble)
	return c
}

// Log writes a line with the time since the start to the record.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f s  %s\n", time.Since(c.started).Seconds(), fmt.Sprintf(format, args...))
}

// Finish ends all processes, writes the verdict and exits.
func (c *Case) Finish(code int, format string, args ...any) {
	for _, p := range c.all() {
		p.Kill()
	}
	verdict := map[int]string{Held: "held", Broken: "BROKEN", NotRun: "not run"}[code] + ": " + fmt.Sprintf(format, args...)
	c.Log("%s", verdict)
	fmt.Println(verdict)
	os.Exit(code)
}

func (c *Case) all() []*Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Process(nil), c.processes...)
}

// must ends the case as not run if there is an error.
func (c *Case) must(err error) {
	if err != nil {
		c.Finish(NotRun, "%v", err)
	}
}

// Ports of processes lie below those that the kernel gives to outgoing connections.
const (
	firstPort = 12000
	portCount = 18000
)

// FreeAddr returns a loopback address with a free port, another one at each call.
func (c *Case) FreeAddr() string {
	for range portCount {
		c.mu.Lock()
		if c.nextPort == 0 {
			c.nextPort = rand.N(portCount)
		}
		c.nextPort++
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+c.nextPort%portCount)
		c.mu.Unlock()
		if ln, err := net.Listen("tcp", addr); err == nil {
			ln.Close()
			return addr
		}
	}
	c.Finish(NotRun, "no free port")
	return ""
}

// Process is a process of the system.
type Process struct {
	Name string
	// Callers is the address for callers.
	Callers string

	c        *Case
	program  string
	settings string

	mu  sync.Mutex
	cmd *exec.Cmd // nil: it was killed
}

// Gateway starts a gateway with the settings of a small deployment.
func (c *Case) Gateway(name, store string) *Process {
	p := &Process{Name: name, c: c, program: "dandelion-gateway", Callers: c.FreeAddr()}
	p.write(fmt.Sprintf(`[process]
name = %s
failure_domain = brno-a
grace = 8s
metrics = %s
[topology]
regions = brno-a:brno,brno-b:brno,brno-c:brno
[store]
address = %s
parts = 12
reads_per_s = 2000
[listen]
callers = %s
ready = %s
peers = %s
[permits]
listen = %s
[vm]
cpu_share = 0.8
link_mbps = 1000
memory_mb = 314
`, name, c.FreeAddr(), store, p.Callers, c.FreeAddr(), c.FreeAddr(), c.FreeAddr()))
	p.Start()
	return p
}

func (p *Process) write(settings string) {
	p.settings = filepath.Join(p.c.dir, p.Name+".ini")
	p.c.must(os.WriteFile(p.settings, []byte(settings), 0o644))
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	p.c.processes = append(p.c.processes, p)
}

// Start starts the process, again if it was killed.
func (p *Process) Start() {
	p.c.must(p.start())
	p.c.Log("%s starts", p.Name)
}

func (p *Process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.c.dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(filepath.Join(p.c.root, "target", p.program), "--config", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	pids, err := os.OpenFile(filepath.Join(p.c.dir, "pids"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer pids.Close()
	_, err = fmt.Fprintln(pids, p.cmd.Process.Pid)
	return err
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill() // it may have ended by itself
	_ = p.cmd.Wait()
	p.cmd = nil
	p.c.Log("%s was killed", p.Name)
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) {
	p.mu.Lock()
	err := p.cmd.Process.Signal(s)
	p.mu.Unlock()
	p.c.must(err)
	p.c.Log("%s gets signal %q", p.Name, s)
}

// WaitReady waits until the gateway answers a request to the path with success.
func (p *Process) WaitReady(path string) {
	for i := range 200 {
		if p.c.Call(p, http.MethodPost, path, fmt.Sprintf("ready-%s-%d", p.Name, i), 2*time.Second, 0, nil).Status == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.c.Finish(NotRun, "%s is not ready", p.Name)
}

// Register writes the entry of a server now and at each heartbeat.
func (c *Case) Register(store *hostedtest.Store, server *hostedtest.Server) {
	write := func() { store.Put(hostedtest.TopicServers, server.ID, server.Entry("ready")) }
	write()
	go func() {
		for range time.Tick(heartbeatInterval) {
			write()
		}
	}()
}

// Answer is what a caller got.
type Answer struct {
	Status int // 0: none
	Body   []byte
	Header http.Header
	Took   time.Duration
	// HeadAfter is the time until the status line; 0: there was none.
	HeadAfter time.Duration
	Err       error
}

// caller opens a new connection for each request.
var caller = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// Call sends a request to a gateway and waits for its whole answer for at most patience; 0: for
// the deadline that it states.
func (c *Case) Call(gateway *Process, method, path, id string, deadline, patience time.Duration, body []byte) Answer {
	if patience == 0 {
		patience = deadline
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return c.call(ctx, gateway, method, path, id, deadline, body, func() {})
}

// Stream sends a request for a stream and reads it to its end. The caller abandons it after a gap.
func (c *Case) Stream(gateway *Process, path, id string, deadline, gap time.Duration) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	timer := time.AfterFunc(gap, cancel)
	defer timer.Stop()
	return c.call(ctx, gateway, http.MethodPost, path, id, deadline, []byte("prompt"), func() { timer.Reset(gap) })
}

// call sends a request; received is called with each part of the answer.
func (c *Case) call(ctx context.Context, gateway *Process, method, path, id string, deadline time.Duration, body []byte, received func()) Answer {
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+gateway.Callers+path, bytes.NewReader(body))
	c.must(err)
	req.Host = Host
	if id != "" {
		req.Header.Set(hostedtest.HeaderAttempt, id)
	}
	req.Header.Set(hostedtest.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := caller.Do(req)
	if err != nil {
		return Answer{Err: err, Took: time.Since(start)}
	}
	defer resp.Body.Close()
	a := Answer{Status: resp.StatusCode, Header: resp.Header, HeadAfter: time.Since(start)}
	buf := make([]byte, 4<<10)
	for {
		received()
		n, err := resp.Body.Read(buf)
		a.Body = append(a.Body, buf[:n]...)
		if err != nil {
			if err != io.EOF {
				a.Err = err
			}
			a.Took = time.Since(start)
			return a
		}
	}
}
