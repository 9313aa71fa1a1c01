package orders

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// countingEngine counts the orders to each server.
type countingEngine struct {
	Engine
	orders map[string]int
}

func (c *countingEngine) Order(ctx context.Context, o hosted.LoadOrder) (hosted.OrderOutcome, error) {
	c.orders[o.Server]++
	return c.Engine.Order(ctx, o)
}

// Engine and agent restart after a power failure. The engine has a new name, but the store
// still lists the entry of its previous incarnation. An order to that entry is refused whatever
// its number, so that it is given only once; the engine is ordered as soon as the list contains
// its new incarnation.
func TestOrderToEarlierIncarnationIsNotRepeated(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 1, 0)
	engine := pf.Engines[0]
	p := pf.NewProcess(t)
	pf.Store.Drop(hostedtest.TopicServers, engine.ID)
	pf.Store.Put(hostedtest.TopicServers, "before", engine.Entry("ready"))
	pf.Store.Put(hostedtest.TopicOperator, "version/m", map[string]any{"model": "m", "version": 3})
	listed := func(name string) func() bool {
		return func() bool {
			servers := p.View.Current().Servers["engines"]
			return len(servers) == 1 && servers[0].Name == name && p.View.Current().Versions["m"] == 3
		}
	}
	require.Eventually(t, listed("before"), gatewaytest.MaxWait, time.Millisecond)
	client := &countingEngine{Engine: hosted.NewEngineClient(engine.Addr()), orders: map[string]int{}}
	agent := New(Config{VM: "vm", Incarnation: "1", Addr: engine.Addr(), View: p.View, Engine: client, Log: p.Store, Logger: zap.NewNop()})
	for range 3 {
		agent.step(t.Context())
	}
	require.Equal(t, map[string]int{"before": 1}, client.orders)
	pf.Store.Drop(hostedtest.TopicServers, "before")
	pf.Register(engine, "ready")
	require.Eventually(t, listed(engine.ID), gatewaytest.MaxWait, time.Millisecond)
	agent.step(t.Context())
	require.Equal(t, map[string]int{"before": 1, engine.ID: 1}, client.orders)
}
