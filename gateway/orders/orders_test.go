package orders_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/decide/residency"
	"dandelionsill.org/decide/topology"
	fold "dandelionsill.org/fold/jobs"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/gateway/jobs"
	"dandelionsill.org/gateway/orders"
	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// newAgent runs the agent of an engine. wrap may replace the agent's client of the engine;
// nil: it does not.
func newAgent(t *testing.T, pf *gatewaytest.Platform, engine *hostedtest.Server, wrap func(orders.Engine) orders.Engine) *gatewaytest.Process {
	p := pf.NewProcess(t)
	var client orders.Engine = hosted.NewEngineClient(engine.Addr())
	if wrap != nil {
		client = wrap(client)
	}
	agent := orders.New(orders.Config{
		VM: "vm-" + engine.ID, Incarnation: "1", Addr: engine.Addr(), View: p.View, Engine: client, Log: p.Store, Logger: zap.NewNop(),
	})
	p.Go(agent.Run)
	return p
}

// nameVersion names a version of the model m.
func nameVersion(pf *gatewaytest.Platform, version int) {
	pf.Store.Put(hostedtest.TopicOperator, "version/m", map[string]any{"model": "m", "version": version})
}

// servedVersion returns the version of the model m that an engine serves.
func servedVersion(t *testing.T, engine *hostedtest.Server) uint64 {
	report, err := hosted.NewEngineClient(engine.Addr()).Report(context.Background())
	require.NoError(t, err)
	return report.Versions["m"]
}

// Versions are named one after the other. One engine has the newest version and the other is
// at most one behind, each version is loaded by only one of them, and the fencing tokens of
// an engine's orders never decrease.
func TestEnginesFollowTheNamedVersions(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 2, 0)
	for _, e := range pf.Engines {
		newAgent(t, pf, e, nil)
	}
	for version := 2; version <= 6; version++ {
		nameVersion(pf, version)
		require.Eventually(t, func() bool {
			a, b := servedVersion(t, pf.Engines[0]), servedVersion(t, pf.Engines[1])
			return max(a, b) == uint64(version) && min(a, b)+1 >= uint64(version)
		}, gatewaytest.MaxWait, time.Millisecond)
	}
	total := 0
	for _, e := range pf.Engines {
		fence := uint64(0)
		for _, o := range e.Orders() {
			require.GreaterOrEqual(t, o.Fence, fence)
			fence = o.Fence
			require.Equal(t, "vm-"+e.ID, o.Holder)
			require.Equal(t, "retain", o.Mode)
			total++
		}
	}
	require.Equal(t, 5, total, "each version is loaded by one of the two engines")
}

// Owners of samples read from the log that an engine loads a version and what it serves
// afterwards. The engine's own entry contains that only a second later.
func TestOwnersAreNotified(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 1, 0)
	newAgent(t, pf, pf.Engines[0], nil)
	nameVersion(pf, 3)
	var reports []fold.Engine
	require.Eventually(t, func() bool {
		reports = nil
		for _, data := range pf.Store.Records(jobs.Stream) {
			r, err := fold.Decode(data)
			require.NoError(t, err)
			reports = append(reports, r.Engines...)
		}
		return len(reports) >= 2
	}, gatewaytest.MaxWait, time.Millisecond)
	require.Equal(t, fold.Engine{Server: "e0", Model: "m", Version: 3, Loading: true}, reports[0])
	require.Equal(t, fold.Engine{Server: "e0", Model: "m", Version: 3}, reports[1])
}

// lossyEngine loses the answers to the first orders, or withholds these orders.
type lossyEngine struct {
	orders.Engine
	mu       sync.Mutex
	losses   int  // number of orders that still fail
	withhold bool // failing orders are withheld from the engine
	withheld []hosted.LoadOrder
}

func (d *lossyEngine) Order(ctx context.Context, o hosted.LoadOrder) (hosted.OrderOutcome, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.losses == 0 {
		return d.Engine.Order(ctx, o)
	}
	d.losses--
	if d.withhold {
		d.withheld = append(d.withheld, o)
		return hosted.OrderUnknown, context.DeadlineExceeded
	}
	_, _ = d.Engine.Order(ctx, o)
	return hosted.OrderUnknown, context.DeadlineExceeded
}

// The engine takes an order and its answer is lost. The agent reads the engine's state and
// does not order the same version twice.
func TestOrderWithLostAnswerIsReadBack(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 1, 0)
	newAgent(t, pf, pf.Engines[0], func(e orders.Engine) orders.Engine { return &lossyEngine{Engine: e, losses: 1} })
	nameVersion(pf, 3)
	require.Eventually(t, func() bool { return servedVersion(t, pf.Engines[0]) == 3 }, gatewaytest.MaxWait, time.Millisecond)
	require.Len(t, pf.Engines[0].Orders(), 1)
}

// An order gets no answer and reaches the engine only after newer ones. The number of orders
// that it expects is outdated by then, so that the engine refuses it and does not return to
// older weights.
func TestLateOrderIsRefused(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 1, 0)
	lossy := &lossyEngine{losses: 1, withhold: true}
	newAgent(t, pf, pf.Engines[0], func(e orders.Engine) orders.Engine { lossy.Engine = e; return lossy })
	nameVersion(pf, 3)
	require.Eventually(t, func() bool { return servedVersion(t, pf.Engines[0]) == 3 }, gatewaytest.MaxWait, time.Millisecond)
	nameVersion(pf, 5)
	require.Eventually(t, func() bool { return servedVersion(t, pf.Engines[0]) == 5 }, gatewaytest.MaxWait, time.Millisecond)
	outcome, err := lossy.Engine.Order(t.Context(), lossy.withheld[0])
	require.Equal(t, hosted.OrderRefused, outcome)
	require.Error(t, err)
	require.EqualValues(t, 5, servedVersion(t, pf.Engines[0]))
}

// An engine that is leaving gets no orders.
func TestLeavingEngineIsNotOrdered(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 2, 0)
	pf.Register(pf.Engines[0], "draining")
	for _, e := range pf.Engines {
		newAgent(t, pf, e, nil)
	}
	nameVersion(pf, 4)
	require.Eventually(t, func() bool { return servedVersion(t, pf.Engines[1]) == 4 }, gatewaytest.MaxWait, time.Millisecond)
	require.Empty(t, pf.Engines[0].Orders())
}

// On a route whose samples are generated by a single version, streams finish before the
// weights change.
func TestSingleVersionRoutesWait(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 1, 0)
	config := hostedtest.Config(2)
	config["routes"].([]map[string]any)[0][hostedtest.FieldSingleVersion] = true
	pf.Store.Put(hostedtest.TopicOperator, "config", config)
	p := newAgent(t, pf, pf.Engines[0], nil)
	require.Eventually(t, func() bool { return p.View.Current().Table.Version == 2 }, gatewaytest.MaxWait, time.Millisecond)
	nameVersion(pf, 3)
	require.Eventually(t, func() bool { return servedVersion(t, pf.Engines[0]) == 3 }, gatewaytest.MaxWait, time.Millisecond)
	require.Equal(t, "wait", pf.Engines[0].Orders()[0].Mode)
}

// The engine restarts under the same name with its initial weights and an order count of zero.
// Reports about its previous incarnation no longer apply: an agent that relied on them took
// the engine for up to date, and it served old weights permanently.
func TestRestartedEngineIsOrderedAgain(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 1, 0)
	engine := pf.Engines[0]
	engine.Restart(1000, 1)
	pf.Register(engine, "ready")
	newAgent(t, pf, engine, nil)
	nameVersion(pf, 3)
	require.Eventually(t, func() bool { return servedVersion(t, engine) == 3 }, gatewaytest.MaxWait, time.Millisecond)
	engine.Restart(2000, 1)
	pf.Register(engine, "ready")
	require.Eventually(t, func() bool { return servedVersion(t, engine) == 3 }, gatewaytest.MaxWait, time.Millisecond)
	orders := engine.Orders()
	require.Zero(t, orders[len(orders)-1].Expect, "the order count restarts at zero")
}

// A model's samples may use one engine only. Guards against loads by the other one, which nobody needs.
func TestEnginesOutsideAModelsRegionsDoNotFollowIt(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 3, 0)
	pf.Topology = topology.New(map[string]string{"zone-a": "a", "zone-b": "b"})
	for i, e := range pf.Engines {
		e.FailureDomain = []string{"zone-a", "zone-b", "zone-a"}[i]
		pf.Register(e, "ready")
	}
	for _, e := range pf.Engines {
		p := pf.NewProcess(t)
		agent := orders.New(orders.Config{
			VM: "vm-" + e.ID, Incarnation: "1", Addr: e.Addr(), View: p.View, Engine: hosted.NewEngineClient(e.Addr()), Log: p.Store, Logger: zap.NewNop(),
			ModelRegions: func() map[string]residency.Regions {
				return map[string]residency.Regions{"m": residency.Only([]string{"a"})}
			},
		})
		p.Go(agent.Run)
	}
	for version := 2; version <= 5; version++ {
		nameVersion(pf, version)
		require.Eventually(t, func() bool {
			return max(servedVersion(t, pf.Engines[0]), servedVersion(t, pf.Engines[2])) == uint64(version)
		}, gatewaytest.MaxWait, time.Millisecond)
	}
	require.Empty(t, pf.Engines[1].Orders())
}
