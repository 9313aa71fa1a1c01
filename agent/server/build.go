package server

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/google/uuid"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/adapters/httpengine"
	"dandelionsill.org/adapters/httplog"
	"dandelionsill.org/adapters/httpstore"
	"dandelionsill.org/adapters/httpvms"
	"dandelionsill.org/agent/admission"
	"dandelionsill.org/agent/calls"
	"dandelionsill.org/agent/generate"
	"dandelionsill.org/agent/once"
	"dandelionsill.org/agent/weights"
	"dandelionsill.org/base/budget"
	"dandelionsill.org/base/explain"
	"dandelionsill.org/base/inbound"
	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/run"
	"dandelionsill.org/base/trace"
	"dandelionsill.org/confsync"
	fold "dandelionsill.org/fold/once"
	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

const component = "agent"

// Build creates the agent's process from its settings and starts its background
// loops. They end with ctx; the process's Close waits for them.
func Build(ctx context.Context, set Settings) (*run.Process, error) {
	keys, err := manifest.ParseKeys(set.Keys.ManifestPublic)
	if err != nil {
		return nil, errors.Annotate(err, "keys.manifest_public")
	}
	stopTrace, err := trace.Start(ctx, "dandelion-agent "+set.Process.Name, set.Trace)
	if err != nil {
		return nil, errors.Trace(err)
	}
	b := &builder{set: set, logger: logs.New(component, set.Process.LogLevel), queue: newQueue(set)}
	b.explain = explain.New(set.Process.Name, set.Explain.Records)
	name := set.Process.Name
	b.platformLog = httplog.New(set.Platform.Log, name)
	b.vms = confsync.NewVMWatcher(httpvms.New(set.Platform.VMs, name), logs.Part(b.logger, "vms"))
	peers := &peerAddrs{self: name, vms: b.vms}
	b.configKeeper, err = confsync.New(confsync.Config{
		Name: name, Addr: set.Process.Listen, Log: b.platformLog, Keys: keys,
		Peers: peers.list, Logger: logs.Part(b.logger, "confsync"),
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	b.addLoop(b.vms.Run)
	b.addLoop(b.configKeeper.Run)
	server := b.newServer()
	b.addLoop(server.Run)

	run.LimitMemory(set.VM.MemoryMB)
	held := budget.ForVM(set.VM.MemoryMB)
	bounds := inbound.New(set.VM, held, logs.Part(b.logger, "inbound"))
	held.Publish()
	bounds.Publish()
	grpcServer := run.NewGRPC(set.Process.Listen)
	grpcServer.Bounds = bounds
	pb.RegisterAgentServer(grpcServer.Server, server)
	pb.RegisterPeerServer(grpcServer.Server, b.configKeeper)
	httpServer := run.NewHTTP(set.Process.HTTP)
	httpServer.Bounds = bounds
	httpServer.HandleFunc("/v1/status", server.ServeStatus(peers.list))
	wait := b.startLoops(ctx)
	return b.process(server, []transport.Server{grpcServer, httpServer}, func() {
		wait()
		stopCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = stopTrace(stopCtx)
	}), nil
}

// process connects the parts to the lifecycle of the process. A stop starts
// with Ready(false): the agent then starts leaving and does not rejoin.
func (b *builder) process(server *Server, listeners []transport.Server, closeFunc func()) *run.Process {
	return &run.Process{
		Servers: listeners,
		Ready: func(ready bool) {
			if !ready {
				server.Stop()
			}
		},
		StopDelay:    b.set.Process.StopDelay,
		Drain:        server.Drain,
		DrainTimeout: b.set.Process.DrainTimeout,
		Close:        closeFunc,
		Logger:       b.logger,
	}
}

// newQueue creates the request queue; a service's limits are set later from the
// manifest.
func newQueue(set Settings) *admission.Queue {
	return admission.New(admission.Config{Slots: max(1, set.Backend.Slots), MaxQueue: set.Queue.Max})
}

// builder holds the parts of the agent while Build connects them.
type builder struct {
	set          Settings
	logger       *zap.Logger
	queue        *admission.Queue
	explain      *explain.Ring
	platformLog  platform.Log
	vms          *confsync.VMWatcher
	configKeeper *confsync.Keeper
	loops        []func(context.Context)
}

// addLoop adds a function that startLoops runs.
func (b *builder) addLoop(loop func(context.Context)) { b.loops = append(b.loops, loop) }

// startLoops starts all loops; the returned function waits until they have
// ended.
func (b *builder) startLoops(ctx context.Context) (wait func()) {
	var wg sync.WaitGroup
	for _, loop := range b.loops {
		wg.Go(func() { loop(ctx) })
	}
	return wg.Wait
}

// newServer creates the server with the parts for its kind of backend server.
func (b *builder) newServer() *Server {
	cfg := Config{
		Settings: b.set, Viewer: b.configKeeper, VMs: b.vms, Queue: b.queue,
		Explain: b.explain, Logger: logs.Part(b.logger, "server"),
		// /readyz reports the same as the state that the entries receive.
		OnPublish: func(state *pb.AgentState) { run.SetReady(state.Ready && !state.Leaving) },
	}
	if b.set.Backend.Kind == KindService {
		b.addService(&cfg)
		return New(cfg)
	}
	weightsKeeper := b.addEngine(&cfg)
	server := New(cfg)
	weightsKeeper.OnChange(server.TriggerPublish)
	return server
}

// addService adds the parts of a plain service.
func (b *builder) addService(cfg *Config) {
	table := once.New(once.Config{
		Owner:        fold.Owner{Name: b.set.Process.Name, Incarnation: uuid.NewString()},
		Service:      b.set.Backend.Serves,
		Log:          b.platformLog,
		Limits:       b.keyLimits,
		MaxHeldBytes: int64(b.set.Once.HeldBytes),
		ClaimTimeout: b.set.Once.ClaimTimeout,
		Logger:       logs.Part(b.logger, "once"),
	})
	b.addLoop(func(ctx context.Context) {
		// Without a manifest it is unknown when a key may safely be forgotten.
		if b.awaitManifest(ctx) {
			table.Run(ctx)
		}
	})
	cfg.CaughtUp = table.CaughtUp
	cfg.Calls = calls.New(calls.Config{
		Name:    b.set.Process.Name,
		Service: b.set.Backend.Serves,
		Backend: b.set.Backend.Addr,
		Queue:   b.queue,
		Once:    table,
		Viewer:  b.configKeeper,
		Explain: b.explain,
		Logger:  logs.Part(b.logger, "calls"),
	})
}

// addEngine adds the parts of a model engine.
func (b *builder) addEngine(cfg *Config) *weights.Keeper {
	set := b.set
	engine := httpengine.New("http://"+set.Backend.Addr, set.Process.Name)
	modelRoster := newRoster(set.Process.Name, set.Backend.Serves, b.vms)
	weightsKeeper := weights.New(weights.Config{
		Server:         set.Process.Name,
		Model:          set.Backend.Serves,
		FailureDomain:  set.Process.FailureDomain,
		Incarnation:    uint64(time.Now().UnixMilli()),
		Engine:         engine,
		Store:          httpstore.New(set.Platform.Weights, set.Process.Name),
		Log:            b.platformLog,
		View:           b.configKeeper,
		Peers:          modelRoster.Peers,
		IgnoresFencing: set.Backend.Fencing == FencingIgnores,
		Lease:          set.Weights.Lease,
		MaxOrderTime:   set.Weights.MaxOrderTime,
		SlotLength:     set.Weights.SlotLength,
		MaxCopyBytes:   int64(set.Weights.MaxCopyBytes),
		NoWaves:        set.Weights.NoWaves,
		Explain:        b.explain,
		Logger:         logs.Part(b.logger, "weights"),
	})
	handler := generate.New(generate.Config{
		Name:           set.Process.Name,
		Engine:         engine,
		Queue:          b.queue,
		Weights:        weightsKeeper,
		View:           b.configKeeper,
		Explain:        b.explain,
		UseEngineSlots: set.Backend.Slots == 0,
	})
	b.addLoop(modelRoster.run)
	b.addLoop(weightsKeeper.Run)
	b.addLoop(handler.Run)
	cfg.Generator = handler
	cfg.SteppedDown = weightsKeeper.SteppedDown()
	return weightsKeeper
}

// keyLimits returns the limits for idempotency keys that are in force now.
func (b *builder) keyLimits() once.Limits {
	view := b.configKeeper.View()
	limits := once.Limits{MinInterval: b.set.Once.MinInterval}
	if view == nil || view.Manifest == nil {
		return limits
	}
	fleet := view.Manifest.Fleet
	limits.Window = fleet.KeyWindow
	limits.Skew = fleet.ClockSkew
	limits.AppendsPerS = fleet.AppendsPerS * b.set.Once.AppendShare / math.Max(1, float64(len(view.Manifest.Services)))
	return limits
}

// awaitManifest waits for the first manifest. It returns false if ctx ends first.
func (b *builder) awaitManifest(ctx context.Context) bool {
	for {
		changed := b.configKeeper.Changed()
		if view := b.configKeeper.View(); view != nil && view.Manifest != nil {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}
