package orders

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/gateway/view"
	"dandelionsill.org/platform"
	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// newTwoModelPlatform returns a platform with one engine of the models a and b.
func newTwoModelPlatform(t *testing.T) *gatewaytest.Platform {
	pf := gatewaytest.NewPlatform(t, 0, 0)
	engine := hostedtest.NewEngine("e0", "engines", "a", "b")
	t.Cleanup(func() { engine.CloseClientConnections(); engine.Close() })
	pf.Register(engine, "ready")
	pf.Engines = append(pf.Engines, engine)
	return pf
}

func nameVersionOf(pf *gatewaytest.Platform, model string, version uint64) {
	pf.Store.Put(hostedtest.TopicOperator, "version/"+model, map[string]any{"model": model, "version": version})
}

// orderOnce makes an agent that has just started give one order, which it gives once its view
// satisfies isRead.
func orderOnce(t *testing.T, pf *gatewaytest.Platform, v *view.View, log platform.Log, isRead func(*view.Snapshot) bool) {
	engine := pf.Engines[0]
	require.Eventually(t, func() bool { return len(v.Current().Servers["engines"]) == 1 && isRead(v.Current()) }, gatewaytest.MaxWait, time.Millisecond)
	before := len(engine.Orders())
	agent := New(Config{VM: "vm", Incarnation: "1", Addr: engine.Addr(), View: v, Engine: hosted.NewEngineClient(engine.Addr()), Log: log, Logger: zap.NewNop()})
	agent.step(t.Context())
	require.Len(t, engine.Orders(), before+1)
}

func requireFencesNeverDecrease(t *testing.T, orders []hostedtest.Order) {
	fence := uint64(0)
	for _, o := range orders {
		require.GreaterOrEqual(t, o.Fence, fence, "orders %v", orders)
		fence = o.Fence
	}
}

// Failure: an agent restarts after an evacuation was taken back, whose record is then in no complete list.
// Guards against a fencing token that is lower than before the restart.
func TestFencingTokenOfRestartedAgentCoversDroppedKeys(t *testing.T) {
	pf := newTwoModelPlatform(t)
	pf.Store.Evacuate("zone-a", false)
	nameVersionOf(pf, "a", 2)
	nameVersionOf(pf, "b", 2)
	first := pf.NewProcess(t)
	require.Eventually(t, func() bool { return len(first.View.Current().Evacuated) == 1 }, gatewaytest.MaxWait, time.Millisecond)
	pf.Store.Evacuate("zone-a", true)
	isRead := func(s *view.Snapshot) bool { return len(s.Versions) == 2 && len(s.Evacuated) == 0 }
	orderOnce(t, pf, first.View, first.Store, isRead)
	first.Stop()
	second := pf.NewProcess(t)
	orderOnce(t, pf, second.View, second.Store, isRead)
	requireFencesNeverDecrease(t, pf.Engines[0].Orders())
}

// laggingTail is another process that follows the store and has fallen behind.
type laggingTail struct {
	platform.Tail
	lists map[string]platform.Page
}

// newLaggingTail returns a process that reads nothing from now on.
func newLaggingTail(t *testing.T, store *hosted.Store) *laggingTail {
	tail := &laggingTail{Tail: store, lists: map[string]platform.Page{}}
	for _, stream := range hosted.FeedStreams {
		page, err := store.ReadNewest(t.Context(), stream)
		require.NoError(t, err)
		tail.lists[stream] = page
	}
	return tail
}

func (l *laggingTail) ReadNewest(_ context.Context, stream string) (platform.Page, error) {
	return l.lists[stream], nil
}

func (l *laggingTail) Read(ctx context.Context, _ string, from uint64, _ int, wait time.Duration) (platform.Page, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return platform.Page{Next: from, End: from}, ctx.Err()
}

// Failure: an agent restarts in a large fleet and reads the operator's feed through a process that has
// fallen behind. Guards against a fencing token that is lower than before the restart.
func TestFencingTokenOfRestartedAgentCoversWhatItsTailLacks(t *testing.T) {
	pf := newTwoModelPlatform(t)
	nameVersionOf(pf, "a", 2)
	nameVersionOf(pf, "b", 2)
	first := pf.NewProcess(t)
	tail := newLaggingTail(t, first.Store)
	nameVersionOf(pf, "c", 2)
	orderOnce(t, pf, first.View, first.Store, func(s *view.Snapshot) bool { return len(s.Versions) == 3 })
	v := view.New(hosted.NewFeeds(first.Store, tail), zap.NewNop())
	first.Go(v.Run)
	orderOnce(t, pf, v, first.Store, func(s *view.Snapshot) bool { return len(s.Versions) == 2 })
	requireFencesNeverDecrease(t, pf.Engines[0].Orders())
}
