package orders

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/decide/loads"
	"dandelionsill.org/decide/members"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/gateway/view"
	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// countedCalls counts all calls to an engine.
type countedCalls struct {
	Engine
	calls atomic.Int64
}

func (c *countedCalls) Report(ctx context.Context) (hosted.EngineReport, error) {
	c.calls.Add(1)
	return c.Engine.Report(ctx)
}

func (c *countedCalls) Order(ctx context.Context, o hosted.LoadOrder) (hosted.OrderOutcome, error) {
	c.calls.Add(1)
	return c.Engine.Order(ctx, o)
}

// Failure: versions are named while an engine's failure domain is evacuated. Guards against any call to
// the engine meanwhile, and against an engine that stays behind afterwards: it loads the newest version,
// and only that.
func TestEvacuatedEngineIsOrderedOnceItIsTakenBack(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 1, 0)
	p := pf.NewProcess(t)
	client := &countedCalls{Engine: hosted.NewEngineClient(pf.Engines[0].Addr())}
	agent := New(Config{VM: "vm", Incarnation: "1", Addr: pf.Engines[0].Addr(), View: p.View, Engine: client, Log: p.Store, Logger: zap.NewNop()})
	knows := func(version uint64, evacuated int) {
		require.Eventually(t, func() bool {
			return p.View.Current().Versions["m"] == version && len(p.View.Current().Evacuated) == evacuated
		}, gatewaytest.MaxWait, time.Millisecond)
	}
	pf.Store.Evacuate("zone-a", false)
	for version := uint64(2); version <= 5; version++ {
		pf.Store.Put(hostedtest.TopicOperator, "version/m", map[string]any{"model": "m", "version": version})
		knows(version, 1)
		require.Equal(t, idleInterval, agent.step(t.Context()))
	}
	require.Zero(t, client.calls.Load())
	pf.Store.Evacuate("zone-a", true)
	knows(5, 0)
	agent.step(t.Context())
	orders := pf.Engines[0].Orders()
	require.Len(t, orders, 1)
	require.EqualValues(t, 5, orders[0].Version)
}

// Load: a failure domain with a third of the engines is taken back, all of them behind. Guards against
// engines that load at the same moment and so slow each other down.
func TestEnginesTakenBackLoadInWaves(t *testing.T) {
	now := time.Now()
	a := &Agent{namedAt: map[string]time.Time{"m": now.Add(-time.Minute)}}
	target := &loads.Target{Model: "m", Delay: time.Second}
	require.Equal(t, now.Add(-time.Minute+time.Second), a.dueAt(&members.Server{}, target))
	require.Equal(t, now.Add(time.Second), a.dueAt(&members.Server{BackSince: now}, target))
	require.Equal(t, now.Add(-time.Minute+time.Second), a.dueAt(&members.Server{BackSince: now.Add(-time.Hour)}, target), "a version named later")
}

// newFleet returns a snapshot of engines in three failure domains and an agent of one in the third.
func newFleet(evacuated map[string]time.Time) (*Agent, *view.Snapshot) {
	snap := &view.Snapshot{Evacuated: evacuated, Servers: map[string][]members.Server{}}
	for i := range 42 {
		name := fmt.Sprintf("e%02d", i)
		snap.Servers["engines"] = append(snap.Servers["engines"], members.Server{ID: name, Name: name, Addr: name, FailureDomain: string(rune('x' + i%3))})
	}
	return New(Config{Addr: "e41"}), snap
}

// Load: a failure domain is evacuated and taken back again and again. Guards against engines that load
// other models anew each time: the others take over its engines' share only once it has lasted.
func TestModelsAreSharedOutAnewOnlyInALastingEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, snap := newFleet(map[string]time.Time{"x": time.Now()})
		_, peers := a.findEngine(snap)
		require.Len(t, peers, 42)
		time.Sleep(standInAfter)
		_, peers = a.findEngine(snap)
		require.Len(t, peers, 28)
		snap.Evacuated = nil
		_, peers = a.findEngine(snap)
		require.Len(t, peers, 42)
	})
}

// Load: a third of 42 engines with four models is evacuated. Guards against models without engines, and
// against more loads than the engines that are missing would have made: models that most engines change.
func TestFewEnginesChangeModelsInAnEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, snap := newFleet(nil)
		models := []string{"a", "b", "c", "d"}
		_, all := a.findEngine(snap)
		before := loads.Fleet{Engines: all, Models: models}
		snap.Evacuated = map[string]time.Time{"x": time.Now()}
		time.Sleep(standInAfter)
		_, left := a.findEngine(snap)
		during := loads.Fleet{Engines: left, Models: models}
		for _, model := range models {
			serving, added, missing := 0, 0, 0
			for _, e := range all {
				was, is := before.Serves(e, model), during.Serves(e, model)
				if is {
					serving++
				}
				if is && !was {
					added++
				}
				if was && !is {
					missing++
				}
			}
			require.Equal(t, 2*len(left)/len(models), serving)
			require.LessOrEqual(t, added, missing/2)
		}
	})
}

// Failure: versions are named while the failure domains of all engines are evacuated, so that no engine is listed with
// them. Guards against an estimate of the load time that contains the evacuation: fewer engines would follow the models
// afterwards, and load in waves of several seconds.
func TestEvacuationDoesNotCountAsLoadTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, snap := newFleet(nil)
		snap.Versions = map[string]uint64{"m": 2}
		self := &members.Server{ID: "e41", Service: "engines", FailureDomain: "z", Evacuated: true}
		before := a.loadTime.LoadTime()
		a.recordNewVersions(snap)
		for range 20 {
			time.Sleep(time.Second)
			a.observePeers(snap, self)
		}
		self.Evacuated, self.BackSince = false, time.Now()
		time.Sleep(time.Second)
		a.observePeers(snap, self)
		require.Equal(t, before, a.loadTime.LoadTime())
	})
}
