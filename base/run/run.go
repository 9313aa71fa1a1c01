// Package run carries a process from start to graceful stop: a kratos app
// around its servers, readiness, and the drain that lets no planned stop cut
// off a request in flight.
package run

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/logs"
)

// Times of the stop.
const (
	// defaultDrainTimeout is the longest deadline that an entry grants by
	// default. With 30 s every planned stop cut off what ran longer.
	defaultDrainTimeout = time.Hour
	// stopTimeout bounds the closing of servers that have already drained.
	stopTimeout = 5 * time.Second
)

var stopSignals = []os.Signal{syscall.SIGTERM, syscall.SIGINT}

// Exit codes of Main and Daemon.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2 // the settings can't be right
)

// Process is what a main runs.
type Process struct {
	// Servers are started together and stopped after the drain.
	Servers []transport.Server
	// Ready is called with true once all servers listen and with false as the
	// first step of the stop. Optional.
	Ready func(bool)
	// StopDelay lies between Ready(false) and Drain: the time in which the
	// balancer sees /readyz fail and stops sending new callers.
	StopDelay time.Duration
	// Drain returns nil once nothing is in flight, or ctx's error. Optional.
	Drain func(ctx context.Context) error
	// DrainTimeout bounds Drain; 0: 1 h.
	DrainTimeout time.Duration
	// Close is called last, after the servers have stopped and setup's ctx is
	// done. Optional.
	Close func()
	// Reload takes over settings (a pointer to their struct) of which those with
	// the names changed differ; it returns the names that wait for a restart.
	// Optional.
	Reload func(settings any, changed []string) []string
	// Logger is where the lifecycle is logged; nil: standard error at info.
	Logger *zap.Logger
}

// Main runs the process that setup builds until SIGTERM or SIGINT and returns
// the exit code: 0 only if nothing was in flight when the servers stopped.
// setup's ctx lasts until the servers have stopped; a signal that comes during
// setup cancels it.
func Main(name string, setup func(ctx context.Context) (*Process, error)) int {
	// kratos listens for signals only once all has started; an earlier one
	// would kill the process without Close.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, stopSignals...)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	process, err := runSetup(ctx, cancel, signals, setup)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return exitFailed
	}
	// Close may wait for goroutines that end with setup's ctx: were it cancelled
	// after Close, a stopped process would hang and never give its exit code.
	defer func() {
		cancel()
		if process.Close != nil {
			process.Close()
		}
	}()
	if ctx.Err() != nil { // a signal came and nothing has been started
		return exitOK
	}
	l := newLifecycle(name, process)
	if err := l.run(signals); err != nil {
		l.log.Error("Stopped with an error.", zap.Error(err))
		return exitFailed
	}
	l.log.Info("Stopped.")
	return exitOK
}

// runSetup runs setup and cancels ctx when a signal comes meanwhile.
func runSetup(ctx context.Context, cancel func(), signals <-chan os.Signal, setup func(context.Context) (*Process, error)) (*Process, error) {
	done := make(chan struct{})
	var watcher sync.WaitGroup
	watcher.Go(func() {
		select {
		case <-signals:
			cancel()
		case <-done:
		}
	})
	process, err := setup(ctx)
	close(done)
	watcher.Wait()
	return process, err
}

// lifecycle is one run of a Process.
type lifecycle struct {
	process   *Process
	log       *zap.Logger
	app       *kratos.App
	drainOnce sync.Once // our signal handler and kratos's may both stop the app
	drainErr  error
}

func newLifecycle(name string, p *Process) *lifecycle {
	l := &lifecycle{process: p, log: p.Logger}
	if l.log == nil {
		l.log = logs.New(name, "info")
	}
	l.log = logs.Part(l.log, "run")
	l.app = kratos.New(
		kratos.Name(name),
		kratos.Server(p.Servers...),
		kratos.Signal(stopSignals...),
		kratos.Logger(kratosLogger{l.log}),
		kratos.StopTimeout(stopTimeout),
		kratos.AfterStart(l.started),
		kratos.BeforeStop(func(context.Context) error {
			l.drainOnce.Do(l.drain)
			return nil
		}),
	)
	return l
}

// run blocks until the app has stopped.
func (l *lifecycle) run(signals <-chan os.Signal) error {
	done := make(chan struct{})
	var watcher sync.WaitGroup
	watcher.Go(func() {
		select {
		case <-signals:
			_ = l.app.Stop() // drain's error is kept in l
		case <-done:
		}
	})
	err := l.app.Run()
	close(done)
	watcher.Wait()
	if err != nil {
		return errors.Trace(err)
	}
	return l.drainErr
}

func (l *lifecycle) started(context.Context) error {
	l.setReady(true)
	l.log.Info("Started.")
	return nil
}

// drain is the stop's first half: no new work, then nothing in flight.
func (l *lifecycle) drain() {
	stopping.Store(true)
	l.setReady(false)
	<-time.After(l.process.StopDelay)
	if l.process.Drain == nil {
		return
	}
	timeout := l.process.DrainTimeout
	if timeout <= 0 {
		timeout = defaultDrainTimeout
	}
	l.log.Info("Draining.", zap.Duration("timeout", timeout))
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := l.process.Drain(ctx); err != nil {
		l.drainErr = errors.Annotate(err, "drain")
		l.log.Error("Requests are still in flight.", zap.Error(err))
	}
}

func (l *lifecycle) setReady(isReady bool) {
	if l.process.Ready != nil {
		l.process.Ready(isReady)
	}
}
