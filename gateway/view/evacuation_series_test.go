package view

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/platform"
)

// Load: evacuated and taken back every 50 ms, by a process that reads at most every 120 ms. Guards
// against a state that is that of a record before the last.
func TestEvacuationsInQuickSeriesEndInTheLastState(t *testing.T) {
	f := newMemoryFeeds()
	addServer(f, "x1", "x")
	runView(t, f, func(v *View) {
		v.MinReadInterval = func() time.Duration { return 120 * time.Millisecond }
		for range 7 {
			evacuate(f, "x", false)
			time.Sleep(50 * time.Millisecond)
			evacuate(f, "x", true)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Second)
		require.Equal(t, []string{"x1"}, takingWork(v))
		evacuate(f, "x", true) // removed twice
		evacuate(f, "x", false)
		evacuate(f, "x", false) // and asked for twice
		time.Sleep(time.Second)
		require.Empty(t, takingWork(v))
		evacuate(f, "x", true)
		time.Sleep(time.Second)
		require.Equal(t, []string{"x1"}, takingWork(v))
	})
}

// Failure: the operator names a failure domain that does not exist, then two, then all of them.
// Guards against one evacuation that replaces or ends another.
func TestEvacuationsOfSeveralDomainsAreIndependent(t *testing.T) {
	f := newMemoryFeeds()
	for _, domain := range []string{"x", "y", "z"} {
		addServer(f, domain+"1", domain)
	}
	runView(t, f, func(v *View) {
		step := func(domain string, over bool, want ...string) {
			evacuate(f, domain, over)
			time.Sleep(time.Second)
			require.Equal(t, want, takingWork(v))
		}
		step("nowhere", false, "x1", "y1", "z1")
		step("x", false, "y1", "z1")
		step("y", false, "z1")
		step("z", false)
		step("y", true, "y1")
		step("nowhere", true, "y1")
		step("x", true, "x1", "y1")
	})
}

// Load: a storm of configurations, each of which ends the waiting reads, around an evacuation.
// Guards against an evacuation that is in force late, or is forgotten with a new configuration.
func TestEvacuationIsInForceWithinASecondInAStormOfConfigurations(t *testing.T) {
	f := newMemoryFeeds()
	addServer(f, "x1", "x")
	f.add(platform.FeedOperator, platform.Change{Table: tableOf(t, 1)})
	runView(t, f, func(v *View) {
		v.MinReadInterval = func() time.Duration { return 120 * time.Millisecond }
		for i := range 100 {
			if i == 50 {
				evacuate(f, "x", false)
			}
			f.add(platform.FeedOperator, platform.Change{Table: tableOf(t, uint64(i+2))})
			time.Sleep(100 * time.Millisecond)
			if i >= 60 {
				require.Empty(t, takingWork(v))
			}
		}
		require.EqualValues(t, 101, v.Current().Table.Version)
	})
}

// Failure: all processes lose power during an evacuation and start while the feeds can't be read.
// Guards against a process that is ready, by the copy of the configuration, and does not know the
// evacuation: it is copied as soon as it begins, not only with the next configuration.
func TestEvacuationIsKnownAfterALossOfPower(t *testing.T) {
	f := newMemoryFeeds()
	addServer(f, "x1", "x")
	f.add(platform.FeedOperator, platform.Change{Table: tableOf(t, 1)})
	runView(t, f, func(v *View) {
		ctx, cancel := context.WithCancel(context.Background())
		var copies sync.WaitGroup
		copies.Go(func() { v.RunCopies(ctx, func() int { return copyWriters }) })
		time.Sleep(2 * maxCopyDelay)
		evacuate(f, "x", false)
		time.Sleep(2 * maxCopyDelay) // long before the next periodic copy
		cancel()
		copies.Wait()
	})
	f.update(func(f *memoryFeeds) { f.down = true })
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		v := New(f, zap.NewNop())
		v.UseCopies = true
		var loops sync.WaitGroup
		loops.Go(func() { v.Run(ctx) })
		for v.Current().Table == nil { // not ready before
			time.Sleep(time.Millisecond)
		}
		require.Contains(t, v.Current().Evacuated, "x")
		require.Empty(t, takingWork(v))
		f.update(func(f *memoryFeeds) { f.down = false })
		evacuate(f, "x", true)
		time.Sleep(2 * DefaultSnapshotInterval)
		require.Equal(t, []string{"x1"}, takingWork(v), "the copy ends with the feed")
		cancel()
		loops.Wait()
	})
}

// Guards against servers that get the load of warm ones right after their failure domain is taken
// back, although none of their entries says yet that they are cold.
func TestServersOfADomainTakenBackAreMarkedForAMinute(t *testing.T) {
	f := newMemoryFeeds()
	addServer(f, "x1", "x")
	addServer(f, "y1", "y")
	runView(t, f, func(v *View) {
		back := func() []bool {
			synctest.Wait()
			x, _ := v.Current().Server("s", "x1")
			y, _ := v.Current().Server("s", "y1")
			return []bool{!x.BackSince.IsZero(), !y.BackSince.IsZero()}
		}
		evacuate(f, "x", false)
		time.Sleep(10 * time.Second)
		require.Equal(t, []bool{false, false}, back())
		evacuate(f, "x", true)
		time.Sleep(time.Second)
		require.Equal(t, []bool{true, false}, back())
		addServer(f, "x1", "x") // an entry written again keeps it
		time.Sleep(backMemory / 2)
		require.Equal(t, []bool{true, false}, back())
		time.Sleep(backMemory)
		require.Equal(t, []bool{false, false}, back())
		require.Empty(t, v.Current().BackSince)
		evacuate(f, "x", false)
		evacuate(f, "x", true)
		evacuate(f, "x", false) // evacuated again at once: not back
		time.Sleep(time.Second)
		require.Equal(t, []bool{false, false}, back())
	})
}
