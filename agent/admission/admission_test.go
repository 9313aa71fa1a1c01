package admission

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dandelionsill.org/decide/admit"
	"dandelionsill.org/kinds"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 20 * time.Second

// Many callers compete for two slots, some give up, and then the server leaves. At most
// two requests may run at once, and refused requests must not have run, because their
// callers repeat them at another server.
func TestSlotsBoundRunningAndLeaveRefusesTheRest(t *testing.T) {
	q := New(Config{Slots: 2, MaxQueue: 1000})
	var running, maxRunning, started, refused atomic.Int64
	var wg sync.WaitGroup
	hold := make(chan struct{})
	for i := range 200 {
		wg.Go(func() {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if i%10 == 9 {
				cancel()
			}
			release, err := q.Acquire(ctx, admit.Ticket{ID: fmt.Sprint(i), Caller: fmt.Sprint(i % 3), Weight: 1})
			if err != nil {
				refused.Add(1)
				return
			}
			started.Add(1)
			n := running.Add(1)
			for m := maxRunning.Load(); n > m && !maxRunning.CompareAndSwap(m, n); m = maxRunning.Load() {
			}
			if i%5 == 0 {
				<-hold
			}
			running.Add(-1)
			release()
			release()
		})
	}
	require.Eventually(t, func() bool { return q.Stats().Running == 2 && started.Load()+refused.Load() >= 20 }, testTimeout, time.Millisecond)
	q.Leave()
	_, err := q.Acquire(t.Context(), admit.Ticket{})
	require.Equal(t, string(kinds.Leaving), kinds.Of(err))
	require.True(t, err.NotRun())
	require.Zero(t, q.Stats().Queued, "all waiting requests were refused")
	close(hold)
	<-q.Idle()
	wg.Wait()
	require.LessOrEqual(t, maxRunning.Load(), int64(2))
	require.Equal(t, int64(200), started.Load()+refused.Load())
}

// The caller disconnects while its request waits: the request must leave the queue
// immediately. A slot that it gets at the same moment must be released, or the backend
// server would run out of slots over time.
func TestCancelledWaiterLeavesAtOnce(t *testing.T) {
	q := New(Config{Slots: 1, MaxQueue: 10})
	for range 50 {
		release, err := q.Acquire(t.Context(), admit.Ticket{Caller: "a"})
		require.Nil(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			if release, err := q.Acquire(ctx, admit.Ticket{Caller: "b"}); err == nil {
				release()
			}
		}()
		require.Eventually(t, func() bool { return q.Stats().Queued == 1 }, testTimeout, 10*time.Microsecond)
		// The waiter sees the cancellation but can't get the lock; it gets a slot
		// before it can leave the queue.
		q.mu.Lock()
		cancel()
		time.Sleep(100 * time.Microsecond)
		q.queue.SetSlots(2)
		q.startWaiting(time.Now())
		q.queue.SetSlots(1)
		q.mu.Unlock()
		<-done
		release()
		require.Equal(t, 0, q.Stats().Running+q.Stats().Queued)
	}
}

// The agent is suspended between the decision and the start, and the deadline passes in
// the meantime. When it resumes it must refuse the request, as its caller no longer
// waits.
func TestResumedAgentDoesNotStartExpiredRequest(t *testing.T) {
	q := New(Config{Slots: 1, MaxQueue: 10})
	start := time.Now()
	var calls atomic.Int64
	q.now = func() time.Time {
		if calls.Add(1) == 1 {
			return start
		}
		return start.Round(0).Add(time.Minute) // wall clock only, as after a suspension
	}
	_, err := q.Acquire(t.Context(), admit.Ticket{Deadline: start.Add(time.Second)})
	require.Equal(t, string(kinds.DeadlineTooShort), kinds.Of(err))
	require.True(t, err.NotRun())
	require.Zero(t, q.Stats().Running)
}

func TestDeadlinePassesWhileWaiting(t *testing.T) {
	q := New(Config{Slots: 1, MaxQueue: 10})
	release, err := q.Acquire(t.Context(), admit.Ticket{})
	require.Nil(t, err)
	_, err = q.Acquire(t.Context(), admit.Ticket{Deadline: time.Now().Add(20 * time.Millisecond)})
	require.Equal(t, string(kinds.DeadlineTooShort), kinds.Of(err))
	require.True(t, err.NotRun())
	release()
}

func BenchmarkAcquireRelease(b *testing.B) {
	q := New(Config{Slots: 64, MaxQueue: 1000})
	t := admit.Ticket{Caller: "a", Weight: 1, Deadline: time.Now().Add(time.Hour)}
	ctx := context.Background()
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if release, err := q.Acquire(ctx, t); err == nil {
				release()
			}
		}
	})
}
