// Package run runs a process from start to graceful stop: a kratos app with the
// process's servers, readiness, and a drain, so that a planned stop interrupts no
// request in flight.
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

// Timeouts of the stop.
const (
	// defaultDrainTimeout equals the longest deadline that an entry grants by
	// default. With 30 s every planned stop interrupted longer requests.
	defaultDrainTimeout = time.Hour
	// stopTimeout limits how long closing the drained servers may take.
	stopTimeout = 5 * time.Second
)

var stopSignals = []os.Signal{syscall.SIGTERM, syscall.SIGINT}

// Exit codes of Main and Daemon.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2 // the settings are invalid
)

// Process describes a process for Main: its servers and lifecycle hooks.
type Process struct {
	// Servers are started together and stopped after the drain.
	Servers []transport.Server
	// Ready is called with true once all servers listen and with false as the
	// first step of the stop. Optional.
	Ready func(bool)
	// StopDelay is the wait between Ready(false) and Drain, in which the balancer
	// sees /readyz fail and stops sending new requests.
	StopDelay time.Duration
	// Drain waits until nothing is in flight and returns nil, or ctx's error if ctx
	// ends first. Optional.
	Drain func(ctx context.Context) error
	// DrainTimeout limits Drain; 0: 1 h.
	DrainTimeout time.Duration
	// Close is called last, after the servers have stopped and setup's ctx has
	// been cancelled. Optional.
	Close func()
	// Reload applies new settings, a pointer to their struct. changed lists the
	// names of the settings that differ from the current ones; Reload returns those
	// that need a restart. Optional.
	Reload func(settings any, changed []string) []string
	// Logger logs the lifecycle; nil: to standard error at level info.
	Logger *zap.Logger
}

// Main runs the process that setup builds until SIGTERM or SIGINT and returns
// the exit code: 0 only if nothing was in flight when the servers stopped.
// setup's ctx is cancelled when the servers have stopped, or by a signal that
// arrives during setup.
func Main(name string, setup func(ctx context.Context) (*Process, error)) int {
	// kratos handles signals only once all servers have started; an earlier signal
	// would terminate the process without Close.
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
	// Close may wait for goroutines that end with setup's ctx. If ctx were cancelled
	// only after Close, a stopped process would hang and never return its exit code.
	defer func() {
		cancel()
		if process.Close != nil {
			process.Close()
		}
	}()
	if ctx.Err() != nil { // a signal arrived during setup; no server has been started
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

// runSetup calls setup and calls cancel if a signal arrives meanwhile.
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

// run runs the app until it has stopped. It returns the app's error or else that of
// the drain.
func (l *lifecycle) run(signals <-chan os.Signal) error {
	done := make(chan struct{})
	var watcher sync.WaitGroup
	watcher.Go(func() {
		select {
		case <-signals:
			_ = l.app.Stop() // the drain's error is kept in l.drainErr
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

// drain is the first part of the stop: it makes /readyz fail, waits StopDelay and then
// waits until nothing is in flight.
func (l *lifecycle) drain() {
	stopping.Store(true)
	l.log.Info("Stopping.", zap.Duration("delay", l.process.StopDelay), zap.Duration("drain_timeout", l.process.DrainTimeout))
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
