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
	"dandelionsill.org/base/explain"
	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/run"
	"dandelionsill.org/base/trace"
	"dandelionsill.org/confsync"
	fold "dandelionsill.org/fold/once"
	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

const part = "agent"

// Build makes the agent's process from its settings. Everything that runs
// beside the servers ends with ctx; Close waits for it.
func Build(ctx context.Context, set Settings) (*run.Process, error) {
	keys, err := manifest.ParseKeys(set.Keys.ManifestPublic)
	if err != nil {
		return nil, errors.Annotate(err, "keys.manifest_public")
	}
	stopTrace, err := trace.Start(ctx, "dandelion-agent "+set.Process.Name, set.Trace)
	if err != nil {
		return nil, errors.Trace(err)
	}
	b := &builder{set: set, logger: logs.New(part, set.Process.LogLevel), queue: newQueue(set)}
	b.explain = explain.New(set.Process.Name, set.Explain.Records)
	name := set.Process.Name
	b.platformLog = httplog.New(set.Platform.Log, name)
	b.vms = confsync.NewVMWatcher(httpvms.New(set.Platform.VMs, name), logs.Part(b.logger, "vms"))
	known := &peers{self: name, vms: b.vms}
	b.keeper, err = confsync.New(confsync.Config{
		Name: name, Addr: set.Process.Listen, Log: b.platformLog, Keys: keys,
		Peers: known.list, Logger: logs.Part(b.logger, "confsync"),
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	b.run(b.vms.Run)
	b.run(b.keeper.Run)
	server := b.server()
	b.run(server.Run)

	grpcServer := run.NewGRPC(set.Process.Listen)
	pb.RegisterAgentServer(grpcServer.Server, server)
	pb.RegisterPeerServer(grpcServer.Server, b.keeper)
	httpServer := run.NewHTTP(set.Process.HTTP)
	httpServer.HandleFunc("/v1/status", server.ServeStatus(known.list))
	wait := b.start(ctx)
	return b.process(server, []transport.Server{grpcServer, httpServer}, func() {
		wait()
		stopCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = stopTrace(stopCtx)
	}), nil
}

// process ties the parts to the lifecycle. Not ready is the first step of a
// stop: the agent then leaves for good.
func (b *builder) process(server *Server, listeners []transport.Server, close func()) *run.Process {
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
		Close:        close,
		Logger:       b.logger,
	}
}

// newQueue makes the queue; a service's bounds come with the manifest.
func newQueue(set Settings) *admission.Queue {
	return admission.New(admission.Config{Slots: max(1, set.Backend.Slots), MaxQueue: set.Queue.Max})
}

// builder holds the parts while they are put together.
type builder struct {
	set         Settings
	logger      *zap.Logger
	queue       *admission.Queue
	explain     *explain.Ring
	platformLog platform.Log
	vms         *confsync.VMWatcher
	keeper      *confsync.Keeper
	loops       []func(context.Context)
}

func (b *builder) run(loop func(context.Context)) { b.loops = append(b.loops, loop) }

// start runs all loops; the returned function waits for their end.
func (b *builder) start(ctx context.Context) (wait func()) {
	var wg sync.WaitGroup
	for _, loop := range b.loops {
		wg.Go(func() { loop(ctx) })
	}
	return wg.Wait
}

func (b *builder) server() *Server {
	cfg := Config{
		Settings: b.set, Viewer: b.keeper, VMs: b.vms, Queue: b.queue,
		Explain: b.explain, Logger: logs.Part(b.logger, "server"),
		// /readyz says what the entries are told.
		Published: func(state *pb.AgentState) { run.SetReady(state.Ready && !state.Leaving) },
	}
	if b.set.Backend.Kind == KindService {
		b.service(&cfg)
		return New(cfg)
	}
	keeper := b.engine(&cfg)
	server := New(cfg)
	keeper.OnChange(server.Kick)
	return server
}

// service adds the parts of a plain service.
func (b *builder) service(cfg *Config) {
	table := once.New(once.Config{
		Owner:        fold.Owner{Name: b.set.Process.Name, Incarnation: uuid.NewString()},
		Service:      b.set.Backend.Serves,
		Log:          b.platformLog,
		Limits:       b.terms,
		MaxHeldBytes: int64(b.set.Once.HeldBytes),
		ClaimTimeout: b.set.Once.ClaimTimeout,
		Logger:       logs.Part(b.logger, "once"),
	})
	b.run(func(ctx context.Context) {
		// Without a manifest the bounds that make forgetting safe are unknown.
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
		Viewer:  b.keeper,
		Explain: b.explain,
		Logger:  logs.Part(b.logger, "calls"),
	})
}

// engine adds the parts of a model engine.
func (b *builder) engine(cfg *Config) *weights.Keeper {
	set := b.set
	engine := httpengine.New("http://"+set.Backend.Addr, set.Process.Name)
	fellows := newRoster(set.Process.Name, set.Backend.Serves, b.vms)
	keeper := weights.New(weights.Config{
		Server:         set.Process.Name,
		Model:          set.Backend.Serves,
		FailureDomain:  set.Process.FailureDomain,
		Incarnation:    uint64(time.Now().UnixMilli()),
		Engine:         engine,
		Store:          httpstore.New(set.Platform.Weights, set.Process.Name),
		Log:            b.platformLog,
		View:           b.keeper,
		Fellows:        fellows.Fellows,
		IgnoresFencing: set.Backend.Fencing == FencingIgnores,
		Lease:          set.Weights.Lease,
		LongestOrder:   set.Weights.LongestOrder,
		Slot:           set.Weights.Slot,
		MaxCopyBytes:   int64(set.Weights.MaxCopyBytes),
		NoWaves:        set.Weights.NoWaves,
		Explain:        b.explain,
		Logger:         logs.Part(b.logger, "weights"),
	})
	handler := generate.New(generate.Config{
		Name:           set.Process.Name,
		Engine:         engine,
		Queue:          b.queue,
		Weights:        keeper,
		View:           b.keeper,
		Explain:        b.explain,
		UseEngineSlots: set.Backend.Slots == 0,
	})
	b.run(fellows.run)
	b.run(keeper.Run)
	b.run(handler.Run)
	cfg.Generator = handler
	cfg.SteppedDown = keeper.SteppedDown()
	return keeper
}

// terms are the bounds of idempotency keys in force.
func (b *builder) terms() once.Limits {
	view := b.keeper.View()
	terms := once.Limits{MinInterval: b.set.Once.MinInterval}
	if view == nil || view.Manifest == nil {
		return terms
	}
	fleet := view.Manifest.Fleet
	terms.Window = fleet.KeyWindow
	terms.Skew = fleet.ClockSkew
	terms.AppendsPerS = fleet.AppendsPerS * b.set.Once.AppendShare / math.Max(1, float64(len(view.Manifest.Services)))
	return terms
}

func (b *builder) awaitManifest(ctx context.Context) bool {
	for {
		changed := b.keeper.Changed()
		if view := b.keeper.View(); view != nil && view.Manifest != nil {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}
