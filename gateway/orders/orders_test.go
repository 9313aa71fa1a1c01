package orders_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	fold "dandelionsill.org/fold/jobs"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/gateway/jobs"
	"dandelionsill.org/gateway/orders"
	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// newAgent runs an agent beside an engine; wrap may put something between.
func newAgent(t *testing.T, pf *gatewaytest.Platform, engine *hostedtest.Server, wrap func(orders.Engine) orders.Engine) *gatewaytest.Process {
	p := pf.NewProcess(t)
	var client orders.Engine = hosted.NewEngineClient(engine.Addr())
	if wrap != nil {
		client = wrap(client)
	}
	agent := orders.New(orders.Config{
		Node: "vm-" + engine.ID, Life: "1", Addr: engine.Addr(), View: p.View, Engine: client, Log: p.Store, Logger: zap.NewNop(),
	})
	p.Go(agent.Run)
	return p
}

func name(pf *gatewaytest.Platform, version int) {
	pf.Store.Put(hostedtest.TopicOperator, "version/m", map[string]any{"model": "m", "version": version})
}

func served(t *testing.T, engine *hostedtest.Server) uint64 {
	report, err := hosted.NewEngineClient(engine.Addr()).Report(context.Background())
	require.NoError(t, err)
	return report.Versions["m"]
}

// Versions are named one after the other. Each engine stays within one version
// of the newest, the two take turns, and the fencing token never goes down.
func TestEnginesFollowTheNamedVersions(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 2, 0)
	for _, e := range pf.Engines {
		newAgent(t, pf, e, nil)
	}
	for version := 2; version <= 6; version++ {
		name(pf, version)
		require.Eventually(t, func() bool {
			a, b := served(t, pf.Engines[0]), served(t, pf.Engines[1])
			return max(a, b) == uint64(version) && min(a, b)+1 >= uint64(version)
		}, gatewaytest.Wait, time.Millisecond)
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
	require.Equal(t, 5, total, "each version is loaded by one of the two")
}

// Owners of samples learn that an engine is loading, and what it serves after,
// from the log: an engine's own entry tells it a second later.
func TestOwnersAreTold(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 1, 0)
	newAgent(t, pf, pf.Engines[0], nil)
	name(pf, 3)
	var words []fold.Engine
	require.Eventually(t, func() bool {
		words = nil
		for _, data := range pf.Store.Records(jobs.Stream) {
			r, err := fold.Decode(data)
			require.NoError(t, err)
			words = append(words, r.Engines...)
		}
		return len(words) >= 2
	}, gatewaytest.Wait, time.Millisecond)
	require.Equal(t, fold.Engine{Server: "e0", Model: "m", Version: 3, Loading: true}, words[0])
	require.Equal(t, fold.Engine{Server: "e0", Model: "m", Version: 3}, words[1])
}

// deaf loses the answers to the first orders, or keeps the orders back.
type deaf struct {
	orders.Engine
	mu   sync.Mutex
	lost int
	keep bool
	kept []hosted.LoadOrder
}

func (d *deaf) Order(ctx context.Context, o hosted.LoadOrder) (hosted.OrderOutcome, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lost == 0 {
		return d.Engine.Order(ctx, o)
	}
	d.lost--
	if d.keep {
		d.kept = append(d.kept, o)
		return hosted.OrderUnknown, context.DeadlineExceeded
	}
	_, _ = d.Engine.Order(ctx, o)
	return hosted.OrderUnknown, context.DeadlineExceeded
}

// The engine takes an order and its answer is lost. The agent reads the state
// back and does not load the version twice.
func TestOrderWithLostAnswerIsReadBack(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 1, 0)
	newAgent(t, pf, pf.Engines[0], func(e orders.Engine) orders.Engine { return &deaf{Engine: e, lost: 1} })
	name(pf, 3)
	require.Eventually(t, func() bool { return served(t, pf.Engines[0]) == 3 }, gatewaytest.Wait, time.Millisecond)
	require.Len(t, pf.Engines[0].Orders(), 1)
}

// An order is left unanswered and carried out seconds later, after newer ones.
// Its expected number of orders is old by then, so that the engine refuses it
// and never goes back to older weights.
func TestLateOrderIsRefused(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 1, 0)
	late := &deaf{lost: 1, keep: true}
	newAgent(t, pf, pf.Engines[0], func(e orders.Engine) orders.Engine { late.Engine = e; return late })
	name(pf, 3)
	require.Eventually(t, func() bool { return served(t, pf.Engines[0]) == 3 }, gatewaytest.Wait, time.Millisecond)
	name(pf, 5)
	require.Eventually(t, func() bool { return served(t, pf.Engines[0]) == 5 }, gatewaytest.Wait, time.Millisecond)
	outcome, err := late.Engine.Order(t.Context(), late.kept[0])
	require.Equal(t, hosted.OrderRefused, outcome)
	require.Error(t, err)
	require.EqualValues(t, 5, served(t, pf.Engines[0]))
}

// A server that leaves loads nothing any more.
func TestLeavingEngineIsNotOrdered(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 2, 0)
	pf.Register(pf.Engines[0], "draining")
	for _, e := range pf.Engines {
		newAgent(t, pf, e, nil)
	}
	name(pf, 4)
	require.Eventually(t, func() bool { return served(t, pf.Engines[1]) == 4 }, gatewaytest.Wait, time.Millisecond)
	require.Empty(t, pf.Engines[0].Orders())
}

// On a route whose samples are made by one version only, streams finish before
// the weights change.
func TestSingleVersionRoutesWait(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 1, 0)
	config := hostedtest.Config(2)
	config["routes"].([]map[string]any)[0][hostedtest.FieldSingleVersion] = true
	pf.Store.Put(hostedtest.TopicOperator, "config", config)
	p := newAgent(t, pf, pf.Engines[0], nil)
	require.Eventually(t, func() bool { return p.View.Current().Table.Version == 2 }, gatewaytest.Wait, time.Millisecond)
	name(pf, 3)
	require.Eventually(t, func() bool { return served(t, pf.Engines[0]) == 3 }, gatewaytest.Wait, time.Millisecond)
	require.Equal(t, "wait", pf.Engines[0].Orders()[0].Mode)
}

// The engine starts again under its name, with the weights that it had at first
// and its count of orders anew. What was told of the start before does not hold:
// without that the agent took it for up to date and it served old weights for good.
func TestEngineThatStartsAgainIsOrderedAnew(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 1, 0)
	engine := pf.Engines[0]
	engine.Restart(1000, 1)
	pf.Register(engine, "ready")
	newAgent(t, pf, engine, nil)
	name(pf, 3)
	require.Eventually(t, func() bool { return served(t, engine) == 3 }, gatewaytest.Wait, time.Millisecond)
	engine.Restart(2000, 1)
	pf.Register(engine, "ready")
	require.Eventually(t, func() bool { return served(t, engine) == 3 }, gatewaytest.Wait, time.Millisecond)
	orders := engine.Orders()
	require.Zero(t, orders[len(orders)-1].Expect, "the count began anew")
}
