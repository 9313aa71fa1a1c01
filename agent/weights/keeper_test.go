package weights

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"dandelionsill.org/fold/agents"
	"dandelionsill.org/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func (b *testKeeper) appendOtherClaim() {
	data, err := agents.Encode("other", "vm1", 2)
	require.NoError(b.t, err)
	_, err = b.log.Append(b.t.Context(), platform.StreamAgents, data)
	require.NoError(b.t, err)
}

// A new version is announced. The trainer sees the old version until the order
// starts, no version while the order runs, and the new one once it was read
// back.
func TestSwap(t *testing.T) {
	b := newServingKeeper(t, nil)
	b.engine.onOrder = func(e *fakeEngine, info platform.WeightInfo, token uint64) error {
		require.Zero(t, b.servingVersion())
		require.True(t, b.Swapping())
		require.Equal(t, Undecided, b.CheckChunk(7, 8, "b1"))
		return obeyOrder(e, info, token)
	}
	b.view.Versions["m"] = 8
	b.stepUntil(func() bool { return b.servingVersion() == 8 })
	require.Equal(t, []uint64{b.Token()}, b.engine.tokens)
	require.Equal(t, Fits, b.CheckChunk(7, 7, "b1"), "a chunk from before the swap in a stream that started there")
	require.Equal(t, Contradicts, b.CheckChunk(8, 7, "b1"), "a stream that started on the new weights")
	b.step(t.Context())
	require.Nil(t, b.copies.get(8), "the copy is no longer needed")
}

// A swap fails partway: the engine reports "serving" and the new version, but
// may generate arbitrary tokens. The trainer sees a server without a version
// and its streams are discarded until a repeated order is verified.
func TestSwapFailsPartway(t *testing.T) {
	b := newServingKeeper(t, nil)
	b.engine.onOrder = func(e *fakeEngine, info platform.WeightInfo, token uint64) error {
		e.st.Version, e.st.Order = info.Version, token
		if len(e.tokens) < 3 {
			return platform.ErrLoadFailed
		}
		return nil
	}
	b.view.Versions["m"] = 8
	b.stepUntil(func() bool { return b.engine.orders() == 1 })
	require.Zero(t, b.servingVersion())
	require.NotEmpty(t, b.streams.discarded)
	b.step(t.Context())
	b.step(t.Context())
	require.Zero(t, b.servingVersion(), "read-backs alone do not restore trust after a failed order")
	b.stepUntil(func() bool { return b.servingVersion() == 8 })
	require.Equal(t, 3, b.engine.orders())
}

// The order is answered with success, but the engine serves something else.
func TestReadBackDiffers(t *testing.T) {
	for name, misreport := range map[string]func(*platform.EngineState){
		"version": func(s *platform.EngineState) { s.Version = 6 },
		"state":   func(s *platform.EngineState) { s.State = "failed" },
		"order":   func(s *platform.EngineState) { s.Order++ },
		"boot":    func(s *platform.EngineState) { s.Boot = "b2" },
	} {
		t.Run(name, func(t *testing.T) {
			b := newServingKeeper(t, nil)
			b.engine.onOrder = func(e *fakeEngine, info platform.WeightInfo, token uint64) error {
				err := obeyOrder(e, info, token)
				misreport(&e.st)
				return err
			}
			b.view.Versions["m"] = 8
			b.stepUntil(func() bool { return b.engine.orders() == 1 })
			require.Zero(t, b.servingVersion())
		})
	}
}

// The answer to an order is lost, but the engine executed it. The read-back
// shows that; a second order would cost the trainer a second swap.
func TestLostOrderAnswer(t *testing.T) {
	b := newServingKeeper(t, nil)
	b.engine.onOrder = func(e *fakeEngine, info platform.WeightInfo, token uint64) error {
		_ = obeyOrder(e, info, token)
		return platform.ErrOrderUnknown
	}
	b.view.Versions["m"] = 8
	b.stepUntil(func() bool { return b.servingVersion() == 8 })
	require.Equal(t, 1, b.engine.orders())
}

// An engine that ignores fencing executes a late order of an older agent and
// returns to version 6. The trainer loses the streams that run there and gets
// none from version 6 labelled 8, and the engine is loaded again.
func TestStaleOrderObeyed(t *testing.T) {
	b := newServingKeeper(t, func(c *Config) { c.IgnoresFencing = true })
	b.view.Versions["m"] = 8
	b.stepUntil(func() bool { return b.servingVersion() == 8 })
	b.engine.set(func(s *platform.EngineState) { s.Version, s.Order = 6, 0 })
	require.Equal(t, Contradicts, b.CheckChunk(8, 6, "b1"))
	require.Zero(t, b.servingVersion(), "the first contradicting chunk discards the verified state")
	require.NotEmpty(t, b.streams.discarded)
	b.stepUntil(func() bool { return b.servingVersion() == 8 })
	require.Equal(t, 2, b.engine.orders())
}

// The engine restarts with other weights. No chunk shows it because nothing
// runs; the read-back does.
func TestEngineRestart(t *testing.T) {
	b := newServingKeeper(t, nil)
	b.engine.set(func(s *platform.EngineState) { s.Boot, s.Version, s.Order = "b2", 5, 0 })
	b.step(t.Context())
	v, boot := b.Serving()
	require.EqualValues(t, 5, v, "the version reported after the engine's restart")
	require.Equal(t, "b2", boot)
	require.NotEmpty(t, b.streams.discarded)
	b.stepUntil(func() bool { return b.servingVersion() == 7 })
}

// An agent is paused for longer than its lease; meanwhile another agent claims
// the server. Once resumed, the old agent serves nothing from the first moment,
// and finds the newer claim before it gives any order.
func TestResumedAgentStepsDown(t *testing.T) {
	b := newServingKeeper(t, nil)
	b.view.Versions["m"] = 8
	b.step(t.Context())
	b.awaitFetch()
	b.appendOtherClaim()
	b.freeze(b.cfg.Lease + time.Second)
	require.Zero(t, b.servingVersion(), "before any of its timers has fired")
	require.Equal(t, Contradicts, b.CheckChunk(7, 7, "b1"))
	b.checkPause()
	b.step(t.Context())
	require.Zero(t, b.engine.orders())
	require.Zero(t, b.servingVersion())
	<-b.SteppedDown()
}

// The same with the log unavailable: the state that the engine reports contains
// the newer agent's token.
func TestResumedAgentWithoutLog(t *testing.T) {
	b := newServingKeeper(t, nil)
	b.log.down = true
	b.freeze(b.cfg.Lease + time.Second)
	b.checkPause()
	b.engine.set(func(s *platform.EngineState) { s.Version, s.Order = 8, b.Token()+1 })
	b.stepUntil(func() bool { return b.claim.isSuperseded() })
	require.Zero(t, b.engine.orders())
	require.Zero(t, b.servingVersion())
}

// The agent is paused, but no other agent claims the server: after checking log
// and engine it serves again.
func TestResumedAgentContinues(t *testing.T) {
	b := newServingKeeper(t, nil)
	b.freeze(b.cfg.Lease + time.Second)
	b.checkPause()
	require.Zero(t, b.servingVersion())
	b.step(t.Context())
	require.EqualValues(t, 7, b.servingVersion())
}

// The log's answer to the claim is lost. One claim is stored, and the repeated
// record does not change the token.
func TestLostAppendAnswer(t *testing.T) {
	b := newTestKeeper(t, nil)
	b.log.loseAnswer = true
	b.mustClaim()
	require.EqualValues(t, 1, b.Token())
	data, err := agents.Encode(b.claim.id, "vm1", 0)
	require.NoError(t, err)
	_, _ = b.log.Append(t.Context(), platform.StreamAgents, data)
	require.NoError(t, b.claim.attempt(t.Context()))
	require.EqualValues(t, 1, b.Token())
}

// The log is unavailable when the agent starts. Callers are served with the
// version that the engine reports; there is no order until the claim is stored.
func TestLogDownAtStart(t *testing.T) {
	b := newTestKeeper(t, nil)
	b.log.down = true
	b.view.Versions["m"] = 8
	require.Error(t, b.claim.attempt(t.Context()))
	for range 20 {
		b.step(t.Context())
		b.awaitFetch()
		b.advance(time.Second)
	}
	require.EqualValues(t, 7, b.servingVersion())
	require.Zero(t, b.engine.orders())
	b.log.down = false
	b.mustClaim()
	b.stepUntil(func() bool { return b.servingVersion() == 8 })
}

// The engine ignores fencing and an older agent has held it. The first order
// waits until that agent's last order must have ended.
func TestIgnoringEngineWaitsForPredecessor(t *testing.T) {
	b := newTestKeeper(t, func(c *Config) { c.IgnoresFencing = true })
	b.appendOtherClaim()
	b.mustClaim()
	b.view.Versions["m"] = 8
	start := b.now()
	b.stepUntil(func() bool { return b.engine.orders() == 1 })
	require.GreaterOrEqual(t, b.now().Sub(start), b.cfg.Lease+b.cfg.MaxOrderTime)
}

// Truncated records may have contained a newer claim: an agent that holds a
// claim steps down when it meets such a gap; a new agent assumes that it has a
// predecessor.
func TestTruncatedClaims(t *testing.T) {
	b := newServingKeeper(t, nil)
	b.log.first, b.log.records = 50, nil
	require.ErrorIs(t, b.claim.read(t.Context()), errSuperseded)
	fresh := newTestKeeper(t, func(c *Config) { c.IgnoresFencing, c.Log = true, b.log })
	fresh.mustClaim()
	_, wait, err := fresh.claim.orderToken(fresh.now())
	require.NoError(t, err)
	require.Equal(t, fresh.cfg.Lease+fresh.cfg.MaxOrderTime, wait)
}

// The store sends bytes that do not match their digest: they never reach the
// engine, and the trainer keeps its capacity on the old version.
func TestWrongDigest(t *testing.T) {
	b := newServingKeeper(t, nil)
	b.store.corrupt = true
	b.view.Versions["m"] = 8
	for range 20 {
		b.step(t.Context())
		b.awaitFetch()
		b.advance(time.Second)
	}
	require.Zero(t, b.engine.orders())
	require.EqualValues(t, 7, b.servingVersion())
	b.store.corrupt = false
	b.stepUntil(func() bool { return b.servingVersion() == 8 })
}

// Run ends its goroutines and notifies the callers that wait for a swap.
func TestRun(t *testing.T) {
	b := newTestKeeper(t, func(c *Config) {
		c.Now, c.ReadBackInterval, c.SlotLength = time.Now, time.Millisecond, time.Millisecond
	})
	b.view.Versions["m"] = 8
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.Run(ctx)
	}()
	v, boot, err := b.WaitFresh(ctx, 8)
	require.NoError(t, err)
	require.EqualValues(t, 8, v)
	require.Equal(t, "b1", boot)
	cancel()
	<-done
}

// The agent's order for version 8 is delayed on its way to an engine that
// checks tokens; the agent treats its outcome as unknown and loads version 9,
// which was announced meanwhile. Then the order for 8 arrives. If all orders of
// a claim carried one token, the engine could not detect that this one is old
// and would return to 8: every running sample would be discarded and the engine
// would be out of service for one more swap.
func TestOwnDelayedOrderIsFenced(t *testing.T) {
	b := newServingKeeper(t, nil)
	var late platform.WeightInfo
	var lateToken uint64
	b.engine.onOrder = func(e *fakeEngine, info platform.WeightInfo, token uint64) error {
		if late.Version == 0 {
			late, lateToken = info, token
			return platform.ErrOrderUnknown
		}
		return obeyOrder(e, info, token)
	}
	b.view.Versions["m"] = 8
	b.stepUntil(func() bool { return late.Version == 8 })
	b.view.Versions["m"] = 9
	b.stepUntil(func() bool { return b.servingVersion() == 9 })
	b.engine.mu.Lock()
	defer b.engine.mu.Unlock()
	require.ErrorIs(t, obeyOrder(b.engine, late, lateToken), platform.ErrFenced)
	require.EqualValues(t, 9, b.engine.st.Version)
}

// movingEngine is an engine that another agent swaps to version 9 between this
// agent's read-back and its order, and that ignores fencing tokens.
type movingEngine struct {
	*fakeEngine
	stateReads int
}

func (e *movingEngine) State(ctx context.Context) (platform.EngineState, error) {
	e.stateReads++
	if e.stateReads == 2 {
		e.set(func(st *platform.EngineState) { st.Version = 9 })
	}
	return e.fakeEngine.State(ctx)
}

// Two agents hold one server: the old one is partitioned from the log and knows
// versions up to 8 only; the engine ignores tokens. The new agent loads 9 just
// before the old one's order for 8. The old agent reads 9 back before its order
// and must not load 8 over it: the trainers that wait for 9 would wait for one
// more swap, and an engine that was fresh enough would be below the floor.
func TestDoesNotLoadOlderOverNewerVersion(t *testing.T) {
	e := &movingEngine{stateReads: 10}
	b := newServingKeeper(t, func(c *Config) {
		e.fakeEngine = c.Engine.(*fakeEngine)
		c.Engine, c.IgnoresFencing, c.SlotLength = e, true, 1
	})
	b.engine.onOrder = func(e *fakeEngine, info platform.WeightInfo, _ uint64) error {
		e.st.Version, e.st.Order = info.Version, 0
		return nil
	}
	b.view.Versions["m"] = 8
	b.step(t.Context())
	b.awaitFetch()
	b.advance(b.cfg.ReadBackInterval)
	b.log.down = true
	e.stateReads = 0
	b.step(t.Context())
	require.Empty(t, b.engine.tokens, "orders for version 8 at an engine that serves 9")
}
