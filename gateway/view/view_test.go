package view

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"dandelionsill.org/decide/members"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/platform"
)

// memoryFeeds is a store in memory.
type memoryFeeds struct {
	mu      sync.Mutex
	newest  map[platform.Feed][]platform.Change
	changes map[platform.Feed][]platform.Change
	down    bool
	stalled bool // waiting reads return no changes
	age     time.Duration
	copies  map[platform.Feed][]platform.Change
}

func (f *memoryFeeds) SaveCopy(_ context.Context, feed platform.Feed) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platform.ErrLogUnavailable
	}
	f.copies[feed] = f.newest[feed]
	return nil
}

func (f *memoryFeeds) LoadCopy(_ context.Context, feed platform.Feed) ([]platform.Change, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.copies[feed] == nil {
		return nil, errors.NotFoundf("copy")
	}
	return f.copies[feed], nil
}

func newMemoryFeeds() *memoryFeeds {
	return &memoryFeeds{newest: map[platform.Feed][]platform.Change{}, changes: map[platform.Feed][]platform.Change{}, copies: map[platform.Feed][]platform.Change{}}
}

// update calls change with the lock held.
func (f *memoryFeeds) update(change func(*memoryFeeds)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// add appends a change to a feed and updates the feed's complete list.
func (f *memoryFeeds) add(feed platform.Feed, c platform.Change) {
	f.update(func(f *memoryFeeds) {
		c.Offset = uint64(len(f.changes[feed]))
		f.changes[feed] = append(f.changes[feed], c)
		if c.RemovedServer == "" {
			f.newest[feed] = append(f.newest[feed], c)
			return
		}
		kept := f.newest[feed][:0:0]
		for _, old := range f.newest[feed] {
			if old.Server.Name != c.RemovedServer {
				kept = append(kept, old)
			}
		}
		f.newest[feed] = kept
	})
}

func (f *memoryFeeds) Snapshot(_ context.Context, feed platform.Feed) (platform.FeedPage, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platform.FeedPage{}, platform.ErrLogUnavailable
	}
	return platform.FeedPage{Changes: f.newest[feed], Next: uint64(len(f.changes[feed])), Age: f.age}, nil
}

func (f *memoryFeeds) Changes(ctx context.Context, feed platform.Feed, from uint64, wait time.Duration) (platform.FeedPage, error) {
	deadline := time.After(wait)
	for {
		f.mu.Lock()
		all, down, stalled, age := f.changes[feed], f.down, f.stalled, f.age
		f.mu.Unlock()
		switch {
		case down:
			return platform.FeedPage{Next: from}, platform.ErrLogUnavailable
		case !stalled && from < uint64(len(all)):
			return platform.FeedPage{Changes: all[from:], Next: uint64(len(all)), Age: age}, nil
		}
		select {
		case <-deadline:
			return platform.FeedPage{Next: from, Age: age}, nil
		case <-ctx.Done():
			return platform.FeedPage{Next: from}, ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
}

func (f *memoryFeeds) End(_ context.Context, feed platform.Feed, _ uint64) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, platform.ErrLogUnavailable
	}
	return uint64(len(f.changes[feed])), nil
}

func tableOf(t *testing.T, version uint64) *table.Table {
	tb, err := table.New(version, nil, nil, table.Limits{})
	require.NoError(t, err)
	return tb
}

// runView runs a view in virtual time.
func runView(t *testing.T, f *memoryFeeds, test func(v *View)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		v := New(f, zap.NewNop())
		var loops sync.WaitGroup
		loops.Go(func() { v.Run(ctx) })
		test(v)
		cancel()
		loops.Wait()
	})
}

func server(id string) platform.Change {
	return platform.Change{Server: &members.Server{ID: id, Name: id, Service: "s"}}
}

// A configuration is in force within a second of its acknowledgement. An older one that
// arrives late or again must not replace a newer one.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	f := newMemoryFeeds()
	f.add(platform.FeedOperator, platform.Change{Table: tableOf(t, 4)})
	runView(t, f, func(v *View) {
		time.Sleep(100 * time.Millisecond)
		require.EqualValues(t, 4, v.Current().Table.Version)
		f.add(platform.FeedOperator, platform.Change{Table: tableOf(t, 9)})
		f.add(platform.FeedOperator, platform.Change{Table: tableOf(t, 7)})
		time.Sleep(100 * time.Millisecond)
		require.EqualValues(t, 9, v.Current().Table.Version)
		f.add(platform.FeedOperator, platform.Change{Version: &platform.NamedVersion{Model: "m", Version: 3}})
		f.add(platform.FeedOperator, platform.Change{Version: &platform.NamedVersion{Model: "m", Version: 2}})
		f.add(platform.FeedOperator, platform.Change{Err: platform.ErrNotFound})
		time.Sleep(100 * time.Millisecond)
		require.EqualValues(t, 3, v.Current().Versions["m"])
		require.EqualValues(t, 6, v.Current().OperatorEnd)
	})
}

// The store's waiting reads miss changes while a server leaves. Without the complete
// list, the server would get requests until the reads return changes again.
func TestSnapshotCoversMissedChanges(t *testing.T) {
	f := newMemoryFeeds()
	f.add(platform.FeedServers, server("a"))
	f.add(platform.FeedServers, server("b"))
	runView(t, f, func(v *View) {
		time.Sleep(100 * time.Millisecond)
		require.Len(t, v.Current().Servers["s"], 2)
		f.update(func(f *memoryFeeds) { f.stalled = true })
		f.add(platform.FeedServers, platform.Change{RemovedServer: "a"})
		time.Sleep(DefaultSnapshotInterval + pollWait + 100*time.Millisecond)
		require.Len(t, v.Current().Servers["s"], 1)
	})
}

// The store is unavailable for five seconds and all entries expire meanwhile. Servers
// must remain in use during the outage and for two seconds after it, in which the
// running servers write their entries again.
func TestServersSurviveStoreOutage(t *testing.T) {
	f := newMemoryFeeds()
	f.add(platform.FeedServers, server("lives"))
	f.add(platform.FeedServers, server("dead"))
	runView(t, f, func(v *View) {
		time.Sleep(100 * time.Millisecond)
		f.update(func(f *memoryFeeds) { f.down = true })
		time.Sleep(5 * time.Second)
		require.Len(t, v.Current().Servers["s"], 2)
		f.add(platform.FeedServers, platform.Change{RemovedServer: "lives"})
		f.add(platform.FeedServers, platform.Change{RemovedServer: "dead"})
		f.update(func(f *memoryFeeds) { f.down = false })
		time.Sleep(time.Second)
		require.Len(t, v.Current().Servers["s"], 2, "one second after the outage")
		f.add(platform.FeedServers, server("lives"))
		time.Sleep(2 * time.Second)
		require.Len(t, v.Current().Servers["s"], 1)
		require.Equal(t, "lives", v.Current().Servers["s"][0].ID)
	})
}

// Without an outage, a leaving server counts as leaving immediately.
func TestLeavingServerIsSeenImmediately(t *testing.T) {
	f := newMemoryFeeds()
	f.add(platform.FeedServers, server("a"))
	runView(t, f, func(v *View) {
		time.Sleep(100 * time.Millisecond)
		changed := v.Changed.Next()
		f.add(platform.FeedServers, platform.Change{Server: &members.Server{ID: "a", Name: "a", Service: "s", Leaving: true}})
		<-changed
		s, ok := v.Current().Server("s", "a")
		require.True(t, ok)
		require.True(t, s.Leaving)
	})
}

// Another writer replaces a server's entry, and adds a record next to it. The server is
// not used until it writes its entry again, the other servers are not affected, and an
// unreadable record that stays is logged once, not with each complete list.
func TestForeignEntryHidesOneServer(t *testing.T) {
	f := newMemoryFeeds()
	f.add(platform.FeedServers, server("a"))
	f.add(platform.FeedServers, server("b"))
	core, logged := observer.New(zap.WarnLevel)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		v := New(f, zap.New(core))
		var loops sync.WaitGroup
		loops.Go(func() { v.Run(ctx) })
		time.Sleep(100 * time.Millisecond)
		bad := platform.Change{RemovedServer: "a", Err: errors.New("no server")}
		f.update(func(f *memoryFeeds) {
			f.changes[platform.FeedServers] = append(f.changes[platform.FeedServers], bad)
			f.newest[platform.FeedServers] = []platform.Change{bad, server("b")}
		})
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, []members.Server{*server("b").Server}, v.Current().Servers["s"])
		time.Sleep(20 * time.Second)
		require.Equal(t, []members.Server{*server("b").Server}, v.Current().Servers["s"])
		require.Equal(t, 1, logged.Len())
		f.add(platform.FeedServers, server("a"))
		time.Sleep(100 * time.Millisecond)
		require.Len(t, v.Current().Servers["s"], 2)
		cancel()
		loops.Wait()
	})
}

// The longer a complete list takes to read, the later the next one is read. The store
// thus spends most of its time on other reads, even if many processes read long lists.
func TestSlowSnapshotsAreLessFrequent(t *testing.T) {
	v := New(newMemoryFeeds(), zap.NewNop())
	for range 100 {
		require.Equal(t, DefaultSnapshotInterval, v.nextSnapshotDelay(10*time.Millisecond))
		require.Greater(t, v.nextSnapshotDelay(100*time.Millisecond), 9*time.Second)
		require.Less(t, v.nextSnapshotDelay(time.Hour), 2*maxSnapshotInterval)
	}
}

// The part of the store with the configuration and the servers' entries can't be
// reached, and every process loses power meanwhile. A process that then starts uses the
// copies written before, instead of refusing all requests until that part is available
// again, and uses the feeds as soon as it is. An agent, whose fencing token must never
// decrease, waits.
func TestStartDuringOutageUsesCopies(t *testing.T) {
	f := newMemoryFeeds()
	f.add(platform.FeedOperator, platform.Change{Table: tableOf(t, 4)})
	f.add(platform.FeedServers, server("a"))
	runView(t, f, func(v *View) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var copying sync.WaitGroup
		copying.Go(func() { v.RunCopies(ctx, func() int { return 1 }) })
		time.Sleep(3 * copyInterval)
		f.update(func(f *memoryFeeds) { f.down = true })
		cancel()
		copying.Wait()
	})
	start := func(copies bool, test func(v *View)) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			v := New(f, zap.NewNop())
			v.UseCopies = copies
			var loops sync.WaitGroup
			loops.Go(func() { v.Run(ctx) })
			time.Sleep(time.Second)
			test(v)
			cancel()
			loops.Wait()
		})
	}
	start(false, func(v *View) { require.Nil(t, v.Current().Table) })
	start(true, func(v *View) {
		require.EqualValues(t, 4, v.Current().Table.Version)
		require.Equal(t, []members.Server{*server("a").Server}, v.Current().Servers["s"])
		f.add(platform.FeedOperator, platform.Change{Table: tableOf(t, 5)})
		f.update(func(f *memoryFeeds) { f.down = false })
		time.Sleep(time.Second)
		require.EqualValues(t, 5, v.Current().Table.Version)
	})
}

// Guards against "no such route" for a route that was added since: a configuration that was read
// from another process is as old as what that process had read, also after a newer read.
func TestConfigurationIsAsOldAsItsSource(t *testing.T) {
	f := newMemoryFeeds()
	f.add(platform.FeedOperator, platform.Change{Table: tableOf(t, 1)})
	f.age = maxConfigAge + time.Second
	runView(t, f, func(v *View) {
		time.Sleep(100 * time.Millisecond)
		require.NotNil(t, v.Current().Table)
		require.False(t, v.IsFresh())
		f.update(func(f *memoryFeeds) { f.age = 0 })
		time.Sleep(2 * pollWait)
		require.True(t, v.IsFresh())
		f.update(func(f *memoryFeeds) { f.age = maxConfigAge / 2 })
		age := v.ConfigAge()
		time.Sleep(pollWait)
		require.LessOrEqual(t, v.ConfigAge(), age+pollWait)
	})
}
