package server

import (
	"context"
	"sync"

	"github.com/go-kratos/kratos/v2/transport"
	"go.uber.org/zap"

	"dandelionsill.org/base/budget"
	"dandelionsill.org/base/inbound"
	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/run"
	decide "dandelionsill.org/decide/fanout"
	"dandelionsill.org/gateway/orders"
	"dandelionsill.org/platform/hosted"
)

// BuildAgent builds the agent's process, which runs on the VM of an engine and orders it to load
// weights. The process's loops run until ctx ends.
func BuildAgent(ctx context.Context, cfg Agent) (*run.Process, error) {
	run.SaveMemory()
	run.LimitMemory(cfg.VM.MemoryMB)
	log, out := newLogger("orders", cfg.Process.LogLevel)
	store := hosted.NewStore(cfg.Store.Address)
	self := decide.Member{VM: cfg.Process.Name, FailureDomain: cfg.Process.FailureDomain}
	peers := newPeers(store, self, log)
	places := cfg.Topology.parse()
	v := newFollowedStore(store, peers, self, places, cfg.Store.ReadsPerS, log).newView(places, log)
	regions := newModelRegions(v, func() []string { return nearestPeers(v.Topology, peers, cfg.Process.FailureDomain) }, log)
	agent := orders.New(orders.Config{
		VM: cfg.Process.Name, Incarnation: newIncarnation(), Addr: cfg.Engine.Address, View: v,
		Engine: hosted.NewEngineClient(cfg.Engine.Address), Log: store, Logger: log, ModelRegions: regions.get,
	})
	var loops sync.WaitGroup
	loops.Go(func() { peers.Run(ctx) })
	loops.Go(func() { v.Run(ctx) })
	loops.Go(func() { regions.run(ctx) })
	loops.Go(func() { agent.Run(ctx) })
	log.Info("Starting.", zap.String("name", cfg.Process.Name), zap.String("engine", cfg.Engine.Address), zap.String("store", cfg.Store.Address))
	held := budget.ForVM(cfg.VM.MemoryMB)
	bounds := inbound.New(cfg.VM, held, logs.Part(log, "inbound"))
	held.Publish()
	bounds.Publish()
	var servers []transport.Server
	if cfg.Process.Metrics != "" {
		servers = append(servers, metricsServer(cfg.Process.Metrics, bounds))
	}
	return &run.Process{
		Servers: servers,
		Close:   func() { loops.Wait(); out.Close() },
		Reload: func(next any, changed []string) []string {
			return reloadStore(store, &next.(*Agent).Common, changed)
		},
		Logger: log,
	}, nil
}
