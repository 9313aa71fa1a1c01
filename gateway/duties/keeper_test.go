package duties_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/decide/lease"
	"dandelionsill.org/gateway/duties"
	"dandelionsill.org/platform"
)

// memoryStore is a store with a single stream.
type memoryStore struct {
	platform.ConditionalKeyedStore
	mu      sync.Mutex
	records []platform.KeyedRecord
}

func (s *memoryStore) PutAt(_ context.Context, _ string, records []platform.KeyedRecord, offset uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset != uint64(len(s.records)) {
		return 0, platform.ErrConflict
	}
	s.records = append(s.records, records...)
	return uint64(len(s.records)), nil
}

func (s *memoryStore) ReadKeyed(_ context.Context, _ string, from uint64, _ time.Duration) ([]platform.KeyedRecord, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]platform.KeyedRecord(nil), s.records[from:]...), uint64(len(s.records)), nil
}

func (s *memoryStore) Newest(ctx context.Context, stream string) ([]platform.KeyedRecord, uint64, error) {
	return s.ReadKeyed(ctx, stream, 0, 0)
}

// Guards against a holder that may not act for a part of the time because the lease of another
// duty, which is in the same stream, is renewed between its own renewals.
func TestRenewalsOfOtherDutiesCostNoTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, started := &memoryStore{}, time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		var loops sync.WaitGroup
		newKeeper := func(duty string) *duties.Keeper {
			k := duties.New(duties.Config{
				Duty: duty, Self: lease.Holder{VM: duty, Incarnation: "1"}, Store: store, Logger: zap.NewNop(),
				Timing:        lease.Timing{ValidFor: 2400 * time.Millisecond, TakeOverAfter: 3600 * time.Millisecond},
				RenewInterval: 660 * time.Millisecond, PollInterval: func() time.Duration { return time.Second },
				Now: func() time.Duration { return time.Since(started) },
			})
			loops.Go(func() { k.Run(ctx) })
			return k
		}
		a := newKeeper("a")
		time.Sleep(300 * time.Millisecond) // of virtual time: the renewals alternate
		b := newKeeper("b")
		time.Sleep(10 * time.Second)
		termA, _ := a.Term()
		termB, _ := b.Term()
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			require.True(t, a.MayAct(termA, 1500*time.Millisecond))
			require.True(t, b.MayAct(termB, 1500*time.Millisecond))
		}
		cancel()
		loops.Wait()
	})
}

// laggingStore refuses renewals as if its reads were behind for good.
type laggingStore struct {
	memoryStore
	lags      atomic.Bool
	conflicts atomic.Int64
}

func (s *laggingStore) PutAt(ctx context.Context, stream string, records []platform.KeyedRecord, offset uint64) (uint64, error) {
	if s.lags.Load() {
		s.conflicts.Add(1)
		return 0, platform.ErrConflict
	}
	return s.memoryStore.PutAt(ctx, stream, records, offset)
}

// Guards against a holder that keeps the store busy with renewals that conflict every time: after a second it tries no
// more often than it renews.
func TestLastingConflictsAreNotHurried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, started := &laggingStore{}, time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		k := duties.New(duties.Config{
			Duty: "a", Self: lease.Holder{VM: "a", Incarnation: "1"}, Store: store, Logger: zap.NewNop(),
			Timing:        lease.Timing{ValidFor: 2400 * time.Millisecond, TakeOverAfter: 3600 * time.Millisecond},
			RenewInterval: 660 * time.Millisecond, PollInterval: func() time.Duration { return time.Second },
			Now: func() time.Duration { return time.Since(started) },
		})
		var loop sync.WaitGroup
		loop.Go(func() { k.Run(ctx) })
		time.Sleep(10 * time.Second) // of virtual time, as below
		_, held := k.Term()
		require.True(t, held)
		store.lags.Store(true)
		time.Sleep(time.Second)
		synctest.Wait()
		before := store.conflicts.Load()
		time.Sleep(66 * time.Second)
		synctest.Wait()
		tries := store.conflicts.Load() - before
		require.Positive(t, tries)
		require.LessOrEqual(t, tries, int64(2*66*1000/660), "twice the renewals, for the jitter")
		cancel()
		loop.Wait()
	})
}
