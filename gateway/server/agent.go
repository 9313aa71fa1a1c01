package server

import (
	"context"
	"sync"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"go.uber.org/zap"

	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/run"
	"dandelionsill.org/gateway/orders"
	"dandelionsill.org/gateway/view"
	"dandelionsill.org/platform/hosted"
)

// BuildAgent makes the process beside an engine.
func BuildAgent(ctx context.Context, set Agent) (*run.Process, error) {
	saveMemory()
	log, out := newLogger("orders", set.Process.LogLevel)
	store := hosted.NewStore(set.Store.Address)
	peers := withPeers(store, set.Process.Name, "", log)
	v := view.New(store, logs.Part(log, "view"))
	v.MinReadInterval = func() time.Duration { return feedPace(peers, set.Store.ReadsPerS) }
	agent := orders.New(orders.Config{
		Node: set.Process.Name, Life: newIncarnation(), Addr: set.Engine.Address, View: v,
		Engine: hosted.NewEngineClient(set.Engine.Address), Log: store, Logger: log,
	})
	var loops sync.WaitGroup
	loops.Go(func() { peers.Run(ctx) })
	loops.Go(func() { v.Run(ctx) })
	loops.Go(func() { agent.Run(ctx) })
	log.Info("Starting.", zap.String("name", set.Process.Name), zap.String("engine", set.Engine.Address), zap.String("store", set.Store.Address))
	var servers []transport.Server
	if set.Process.Metrics != "" {
		servers = append(servers, metricsServer(set.Process.Metrics))
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
