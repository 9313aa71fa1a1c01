// Package server builds the entry process from its components, serves the
// operators' paths, and stops the process without interrupting requests in
// flight.
package server

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/adapters/httplog"
	"dandelionsill.org/adapters/httpstore"
	"dandelionsill.org/adapters/httpvms"
	"dandelionsill.org/base/budget"
	"dandelionsill.org/base/explain"
	"dandelionsill.org/base/inbound"
	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/run"
	"dandelionsill.org/base/sleep"
	"dandelionsill.org/base/trace"
	"dandelionsill.org/confsync"
	"dandelionsill.org/entry/answer"
	"dandelionsill.org/entry/calls"
	"dandelionsill.org/entry/completions"
	"dandelionsill.org/entry/fleet"
	"dandelionsill.org/entry/front"
	"dandelionsill.org/entry/steps"
	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
	"dandelionsill.org/quarantine"
	"dandelionsill.org/wire/pb"
)

// component is the name of this process in its log lines.
const component = "entry"

// traceFlushTimeout bounds the wait for the last spans to be sent at a stop.
const traceFlushTimeout = time.Second

// firstReportsTimeout bounds the wait for the agents' first reports at a start.
// Some agents of the VM list may be down permanently.
const firstReportsTimeout = 10 * time.Second

// entry holds the components of the process.
type entry struct {
	settings    Settings
	logger      *zap.Logger
	ring        *explain.Ring
	platformLog platform.Log
	store       platform.WeightStore // nil if none is configured
	vms         *confsync.VMWatcher
	keeper      *confsync.Keeper
	viewer      confsync.Viewer // keeper, except in tests
	agents      *fleet.Agents
	quarantine  *quarantine.Quarantine
	entryPeers  *entryPeers
	front       *front.Front
	steps       *steps.Steps
	startedAt   time.Time
	bounds      *inbound.Bounds
	bodies      *budget.Share // nil: this process is not told its memory
}

// Build returns the entry process for its settings, with its background tasks
// started. They end with ctx; the process's Close waits for them.
func Build(ctx context.Context, set Settings) (*run.Process, error) {
	keys, err := manifest.ParseKeys(set.Keys.ManifestPublic)
	if err != nil {
		return nil, errors.Annotate(err, "keys.manifest_public")
	}
	stopTrace, err := trace.Start(ctx, "dandelion-entry "+set.Process.Name, set.Trace)
	if err != nil {
		return nil, errors.Trace(err)
	}
	e, err := newEntry(set, keys)
	if err != nil {
		return nil, errors.Trace(err)
	}
	wait := e.run(ctx)
	return &run.Process{
		Servers:      []transport.Server{e.grpc(), e.http()},
		Ready:        e.setReadyFunc(ctx),
		StopDelay:    set.Process.StopDelay,
		Drain:        e.drain,
		DrainTimeout: set.Process.DrainTimeout,
		Close: func() {
			e.steps.Close()
			wait()
			flushCtx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
			defer cancel()
			_ = stopTrace(flushCtx)
		},
		Logger: e.logger,
	}, nil
}

// newEntry creates the components without starting them.
func newEntry(set Settings, keys manifest.Keys) (*entry, error) {
	name := set.Process.Name
	e := &entry{settings: set, logger: logs.New(component, set.Process.LogLevel), startedAt: time.Now()}
	e.ring = explain.New(name, set.Entry.ExplainRecords)
	run.LimitMemory(set.VM.MemoryMB)
	e.newBounds()
	e.platformLog = httplog.New(set.Platform.Log, name)
	if set.Platform.Weights != "" {
		e.store = httpstore.New(set.Platform.Weights, name)
	}
	e.vms = confsync.NewVMWatcher(httpvms.New(set.Platform.VMs, name), logs.Part(e.logger, "vms"))
	keeper, err := confsync.New(confsync.Config{
		Name:   name,
		Addr:   set.Process.Listen,
		Log:    e.platformLog,
		Keys:   keys,
		Peers:  e.peers,
		Logger: logs.Part(e.logger, "confsync"),
	})
	if err != nil {
		return nil, err
	}
	e.keeper, e.viewer = keeper, keeper
	e.quarantine = quarantine.New(logs.Part(e.logger, "quarantine"))
	e.entryPeers = newEntryPeers(name, e.vms)
	e.quarantine.EnableSharing(quarantine.NewLogStore(e.platformLog), e.entryPeers, logReadsPerSecond)
	e.agents = e.newAgents()
	metrics.Gauge("entry_agents_watched", func() any { return e.agents.CountWatched() })
	metrics.Gauge("entry_agents_ejected", func() any { return e.agents.CountEjected() })
	e.front = front.New(front.Config{
		Viewer:     keeper,
		Entries:    e.limitSharers(),
		MaxBody:    int64(set.Entry.MaxBody),
		Bodies:     e.bodies,
		MaxTimeout: set.Entry.MaxTimeout,
		Ring:       e.ring,
	})
	e.steps = e.newSteps()
	return e, nil
}

// bodiesPart is the part of what the process may hold for others that is guaranteed to bodies.
const bodiesPart = 0.5

// newBounds creates the bounds of what clients can make this process hold.
func (e *entry) newBounds() {
	held := budget.ForVM(e.settings.VM.MemoryMB)
	if held != nil {
		e.bodies = held.Share("bodies", int64(bodiesPart*float64(held.Total())))
	}
	e.bounds = inbound.New(e.settings.VM, held, logs.Part(e.logger, "inbound"))
	held.Publish()
	e.bounds.Publish()
}

// newAgents creates the watcher of the agents. It calls OwnedModels only once it
// runs, when e.steps is set.
func (e *entry) newAgents() *fleet.Agents {
	return fleet.New(fleet.Config{
		Name:          e.settings.Process.Name,
		FailureDomain: e.settings.Process.FailureDomain,
		Region:        e.settings.Process.Region,
		VMs:           e.vms,
		Viewer:        e.keeper,
		Subset:        e.settings.Subset.config(),
		Eject:         e.settings.Eject.config(),
		OwnedModels:   func() []string { return e.steps.Models() },
		ReportTimeout: e.settings.Entry.ReportTimeout,
		Logger:        e.logger,
	})
}

// newSteps creates the component that serves trainers' steps.
func (e *entry) newSteps() *steps.Steps {
	return steps.New(steps.Config{
		Name:    e.settings.Process.Name,
		Fleet:   e.agents,
		View:    e.keeper,
		Log:     e.platformLog,
		Explain: e.ring,
		Logger:  logs.Part(e.logger, "steps"),
		Policy:  e.settings.Steps,
		MaxBody: int64(e.settings.Entry.MaxStepBody),
		Bodies:  e.bodies,
	})
}

// limitSharers returns a function for the number of entries that share callers'
// limits, or nil if each entry enforces the full limits.
func (e *entry) limitSharers() func() int {
	if !e.settings.Entry.ShareLimits {
		return nil
	}
	return e.agents.CountEntries
}

// run starts the background tasks, which end with ctx. The returned function
// waits until they have ended.
func (e *entry) run(ctx context.Context) (wait func()) {
	var wg sync.WaitGroup
	wg.Go(func() { e.vms.Run(ctx) })
	wg.Go(func() { e.keeper.Run(ctx) })
	wg.Go(func() { e.agents.Run(ctx) })
	wg.Go(func() {
		e.quarantine.Run(ctx)
		e.entryPeers.conns.Close()
	})
	return wg.Wait
}

func (e *entry) grpc() transport.Server {
	server := run.NewGRPC(e.settings.Process.Listen)
	server.Bounds = e.bounds
	pb.RegisterPeerServer(server.Server, &peerServer{e.keeper, e.quarantine})
	return server
}

func (e *entry) http() *run.HTTPServer {
	server := run.NewHTTP(e.settings.Process.HTTP, khttp.NotFoundHandler(http.HandlerFunc(notFound)),
		khttp.MethodNotAllowedHandler(http.HandlerFunc(methodNotAllowed)))
	server.Bounds = e.bounds
	server.Heads = inbound.HTTPConfig{Refusal: answer.HeadRefusal, OwnBodies: true}
	callHandler := calls.New(calls.Config{
		Agents:      e.agents,
		Region:      e.settings.Process.Region,
		MaxAttempts: e.settings.Entry.MaxAttempts,
		MaxBuffer:   e.settings.Entry.MaxBuffer,
		Seed:        rand.Uint64(),
		Ring:        e.ring,
		Logger:      e.logger,
		Quarantine:  e.quarantine,
	})
	completionHandler := completions.New(completions.Config{
		Agents:      e.agents,
		Region:      e.settings.Process.Region,
		MaxAttempts: e.settings.Entry.MaxAttempts,
		Seed:        rand.Uint64(),
		Ring:        e.ring,
		Logger:      e.logger,
		Quarantine:  e.quarantine,
	})
	services := e.front.Handle("entry /svc", callHandler.Serve)
	server.Handle(completions.Path, e.front.Handle("entry "+completions.Path, completionHandler.Serve))
	server.HandleFunc("/v1/status", e.serveStatus)
	server.HandleFunc("/v1/versions", e.serveVersions)
	e.steps.Register(server.Server)
	server.Handler = withServices(services, withExplain(explainHandler(e), server.Handler))
	return server
}

// setReadyFunc returns the function that the process calls with true once all its
// servers listen. The entry becomes ready only after that, once it has a manifest
// revision, its agents' first reports and the quarantine's records. Until then it
// could only refuse requests.
func (e *entry) setReadyFunc(ctx context.Context) func(bool) {
	return func(ready bool) {
		if !ready {
			run.SetReady(false)
			return
		}
		go func() {
			if e.awaitManifest(ctx) {
				e.agents.WaitForReports(ctx, firstReportsTimeout)
				e.awaitQuarantine(ctx)
				run.SetReady(true)
			}
		}()
	}
}

// awaitQuarantine waits until the quarantine has read from the log which crashes
// other entries recorded, or until ctx ends.
func (e *entry) awaitQuarantine(ctx context.Context) {
	const pollInterval = 10 * time.Millisecond
	for !e.quarantine.Initialized() && sleep.For(ctx, pollInterval) {
	}
}

// awaitManifest waits for the first manifest revision. It reports false if ctx
// ended before.
func (e *entry) awaitManifest(ctx context.Context) bool {
	for {
		changed := e.keeper.Changed()
		if view := e.keeper.View(); view != nil && view.Manifest != nil {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// drain returns once no request is in flight and this entry owns no step. It
// returns the first error of the two.
func (e *entry) drain(ctx context.Context) error {
	stepsDone := make(chan error, 1)
	go func() { stepsDone <- e.steps.Drain(ctx) }()
	err := e.front.Drain(ctx)
	if stepsErr := <-stepsDone; err == nil {
		err = stepsErr
	}
	return err
}

// peers returns the gRPC addresses of all other processes in the VM list.
func (e *entry) peers() []string {
	var addrs []string
	for _, vm := range e.vms.VMs() {
		if vm.Name != e.settings.Process.Name && vm.Addr != "" {
			addrs = append(addrs, vm.Addr)
		}
	}
	return addrs
}
