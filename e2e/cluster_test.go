package e2e

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/load/client"
	"dandelionsill.org/load/site"
	"dandelionsill.org/standin/service"
)

const (
	// maxWait limits every wait for a condition. No check depends on its length.
	maxWait  = 30 * time.Second
	maxConns = 256
)

// process is a process that a test started.
type process struct {
	site.Process
	cmd      *exec.Cmd
	log      string
	done     chan struct{} // closed when the process has ended
	exitCode int           // valid after done is closed; -1: killed
}

// cluster is a site of running processes.
type cluster struct {
	t         *testing.T
	ctx       context.Context
	site      *site.Site
	processes map[string]*process
}

// options are the options of a test's site. Zero values have defaults.
type options struct {
	deployment site.Deployment
	engine     site.EngineModel
	service    site.ServiceModel
	seed       uint64
}

// shortSamples returns the default engine model, which has short samples.
func shortSamples() site.EngineModel {
	return site.EngineModel{MeanTokens: 60, Sigma: 0.5, LoadTime: 2 * time.Second}
}

// newCluster creates a site and starts its processes. It does not wait until they
// serve; startCluster does.
func newCluster(t *testing.T, o options) *cluster {
	t.Helper()
	if o.deployment.Name == "" {
		o.deployment = site.Small
	}
	if o.engine.MeanTokens == 0 {
		o.engine = shortSamples()
	}
	if o.seed == 0 {
		o.seed = 1
	}
	t.Logf("seed %d", o.seed)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	t.Cleanup(cancel)
	public, _ := site.SigningKey()
	s, err := site.New(site.Options{
		Deployment: o.deployment, NetOctet: reserveNet(t), Dir: t.TempDir(), BinDir: binDir, Seed: o.seed, TimeScale: 0.1,
		PublicKey: public, Engine: o.engine, Service: o.service, WeightSize: 100_000,
	})
	require.NoError(t, err)
	require.NoError(t, s.CheckAddressesFree())
	c := &cluster{t: t, ctx: ctx, site: s, processes: map[string]*process{}}
	t.Cleanup(c.killAll)
	for _, p := range s.Processes {
		c.start(p)
	}
	return c
}

// startCluster starts a site and waits until it serves.
func startCluster(t *testing.T, o options) *cluster {
	t.Helper()
	c := newCluster(t, o)
	ctx, cancel := context.WithTimeout(c.ctx, maxWait)
	defer cancel()
	require.NoError(t, c.site.BringUp(ctx))
	return c
}

// reserveNet returns a second octet for the site's addresses and reserves it until the
// test ends, so that concurrent tests and test runs use different addresses.
func reserveNet(t *testing.T) int {
	const first, last, port = 60, 240, 7999
	offset := os.Getpid() % (last - first)
	for i := range last - first {
		n := first + (offset+i)%(last-first)
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", n, port))
		if err == nil {
			t.Cleanup(func() { _ = l.Close() })
			return n
		}
	}
	t.Fatal("no free loopback network")
	return 0
}

// start starts a process of the site, also one that has ended.
func (c *cluster) start(p site.Process) *process {
	c.t.Helper()
	file := filepath.Join(c.site.Dir, p.Name+".log")
	out, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	require.NoError(c.t, err)
	defer func() { _ = out.Close() }()
	cmd := exec.Command(p.Binary, p.Args...)
	cmd.Stdout, cmd.Stderr = out, out
	require.NoError(c.t, cmd.Start())
	started := &process{Process: p, cmd: cmd, log: file, done: make(chan struct{})}
	c.processes[p.Name] = started
	go func() {
		_ = cmd.Wait() // the exit code is evaluated instead
		started.exitCode = cmd.ProcessState.ExitCode()
		close(started.done)
	}()
	return started
}

// killAll kills all processes and, if the test failed, keeps their logs and settings.
func (c *cluster) killAll() {
	for _, p := range c.processes {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range c.processes {
		<-p.done
	}
	if !c.t.Failed() {
		return
	}
	kept, err := os.MkdirTemp("", "dandelion-e2e-logs-")
	if err != nil {
		c.t.Log(err)
		return
	}
	if err := os.CopyFS(kept, os.DirFS(c.site.Dir)); err != nil {
		c.t.Log(err)
	}
	c.t.Logf("logs and settings are kept in %s", kept)
}

func (c *cluster) signal(name string, sig syscall.Signal) {
	c.t.Helper()
	p := c.processes[name]
	require.NotNil(c.t, p, "no process %s", name)
	require.NoError(c.t, p.cmd.Process.Signal(sig), name)
}

// kill ends a process with SIGKILL, as a crash would, and waits for its end.
func (c *cluster) kill(name string) {
	c.t.Helper()
	c.signal(name, syscall.SIGKILL)
	<-c.processes[name].done
}

func (c *cluster) suspend(name string)   { c.t.Helper(); c.signal(name, syscall.SIGSTOP) }
func (c *cluster) resume(name string)    { c.t.Helper(); c.signal(name, syscall.SIGCONT) }
func (c *cluster) terminate(name string) { c.t.Helper(); c.signal(name, syscall.SIGTERM) }

// waitExit waits for a process's end and returns its exit code.
func (c *cluster) waitExit(name string) int {
	c.t.Helper()
	select {
	case <-c.processes[name].done:
	case <-time.After(maxWait):
		c.signal(name, syscall.SIGQUIT) // it writes its goroutines to its log
		<-c.processes[name].done
		c.t.Fatalf("%s is still running after %s", name, maxWait)
	}
	return c.processes[name].exitCode
}

// waitFor waits until check returns nil; its error says why the condition does not
// hold yet.
func (c *cluster) waitFor(what string, check func() error) {
	c.t.Helper()
	deadline := time.Now().Add(maxWait)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("condition not met after %s: %s: %v", maxWait, what, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// setFaults sets a stand-in's faults.
func (c *cluster) setFaults(name string, set any) {
	c.t.Helper()
	require.NoError(c.t, site.SetFaults(c.ctx, c.site.ByName(name), set))
}

// client returns a client with the token of the named caller or trainer. It balances
// its requests over all entries.
func (c *cluster) client(name string) *client.Client {
	b := client.NewBalancer(c.site.URLs(site.RoleEntry))
	go b.Run(c.ctx)
	return client.New(b, site.Token(name), maxConns)
}

// serviceRuns returns the runs of all service stand-ins.
func (c *cluster) serviceRuns() []service.Run {
	c.t.Helper()
	var runs []service.Run
	for _, p := range c.site.ByRole(site.RoleService) {
		var t service.Truth
		require.NoError(c.t, site.SendJSON(c.ctx, "GET", p.URL+"/truth", nil, &t))
		runs = append(runs, t.List...)
	}
	return runs
}

// waitIdle waits until no run is in progress at the services and returns all runs.
func (c *cluster) waitIdle() []service.Run {
	c.t.Helper()
	var runs []service.Run
	c.waitFor("no run is in progress", func() error {
		runs = c.serviceRuns()
		if i := slices.IndexFunc(runs, func(r service.Run) bool { return r.EndedMS == 0 }); i >= 0 {
			return fmt.Errorf("%s %s is running", runs[i].Method, runs[i].Path)
		}
		return nil
	})
	return runs
}

// runCtl runs dandelionctl and returns its output and exit code.
func (c *cluster) runCtl(args ...string) (string, int) {
	c.t.Helper()
	cmd := exec.CommandContext(c.ctx, filepath.Join(binDir, "dandelionctl"), args...)
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		c.t.Fatalf("dandelionctl %v: %v", args, err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// collector collects values from several goroutines.
type collector[T any] struct {
	mu   sync.Mutex
	list []T
}

func (c *collector[T]) add(v T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, v)
}

func (c *collector[T]) all() []T {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.list)
}

func (c *collector[T]) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.list)
}
