package reach

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/decide/fanout"
)

// world is what surrounds a process in failure domain a: 9 gateways in each of b and c.
type world struct {
	storeAway, cut, refuses atomic.Bool
	dials                   atomic.Int64
}

// start runs a monitor whose process is answered by the store all the time unless it is away.
func (w *world) start(t *testing.T) *Monitor {
	var peers []fanout.Member
	for _, domain := range []string{"a", "b", "c"} {
		for range 9 {
			peers = append(peers, fanout.Member{VM: domain, Addr: domain + ":1", FailureDomain: domain})
		}
	}
	last := time.Now()
	m := New(Config{
		FailureDomain: "a", Peers: func() []fanout.Member { return peers }, Logger: zap.NewNop(),
		SinceAnswer: func() time.Duration {
			if !w.storeAway.Load() {
				last = time.Now()
			}
			return time.Since(last)
		},
		Dial: func(ctx context.Context, addr string) error {
			w.dials.Add(1)
			require.NotEqual(t, "a:1", addr)
			if w.refuses.Load() {
				return &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
			}
			if w.cut.Load() {
				<-ctx.Done()
				return ctx.Err()
			}
			return nil
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { m.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return m
}

// Guards against requests that wait for their deadline at a process that is cut off: within 1.5 s
// all that wait are told, and those that come after the cut has healed wait as usual.
func TestCutProcessIsToldSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w world
		m := w.start(t)
		time.Sleep(10 * time.Second)
		require.Zero(t, w.dials.Load(), "the store answers: nobody is probed")
		const load = 200 // requests that wait for the log
		var told atomic.Int64
		for range load {
			ctx, cancel := m.Bound(t.Context())
			go func() {
				defer cancel()
				<-ctx.Done()
				told.Add(1)
			}()
		}
		w.storeAway.Store(true)
		w.cut.Store(true)
		time.Sleep(1500 * time.Millisecond)
		require.True(t, m.IsIsolated())
		require.EqualValues(t, load, told.Load())
		late, cancel := m.Bound(t.Context())
		defer cancel()
		synctest.Wait()
		require.Error(t, late.Err())
		w.cut.Store(false)
		time.Sleep(500 * time.Millisecond)
		require.False(t, m.IsIsolated())
		after, cancelAfter := m.Bound(t.Context())
		defer cancelAfter()
		require.NoError(t, after.Err())
	})
}

// Guards against a fleet that is not ready because only the store is away, or because other
// failure domains have no process that listens.
func TestOutageOfStoreIsNoCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w world
		m := w.start(t)
		w.storeAway.Store(true)
		for range 60 {
			time.Sleep(time.Second)
			require.False(t, m.IsIsolated())
		}
		require.Less(t, w.dials.Load(), int64(60*5), "probes of an outage of a minute")
		w.refuses.Store(true)
		w.cut.Store(true)
		time.Sleep(5 * time.Second)
		require.False(t, m.IsIsolated())
	})
}

// Guards against a nil monitor that cuts requests off.
func TestNoMonitor(t *testing.T) {
	var m *Monitor
	ctx, cancel := m.Bound(t.Context())
	require.False(t, m.IsIsolated())
	require.NoError(t, ctx.Err())
	cancel()
	require.Error(t, ctx.Err())
}
