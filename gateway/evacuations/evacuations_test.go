package evacuations

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
	"dandelionsill.org/gateway/view"
	"dandelionsill.org/platform"
)

// feeds are the newest records of a store.
type feeds struct {
	mu     sync.Mutex
	active []platform.Change
	end    uint64
}

func (f *feeds) evacuate(domains ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = nil
	for _, d := range domains {
		f.active = append(f.active, platform.Change{Offset: f.end, Evacuation: &platform.Evacuation{FailureDomain: d}})
		f.end++
	}
	f.end++
}

func (f *feeds) Snapshot(_ context.Context, feed platform.Feed) (platform.FeedPage, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if feed == platform.FeedServers {
		return platform.FeedPage{IsList: true, Changes: []platform.Change{
			{Server: &members.Server{ID: "x1", Name: "x1", Service: "s", FailureDomain: "x"}}, {Server: &members.Server{ID: "y1", Name: "y1", Service: "s", FailureDomain: "y"}},
		}}, nil
	}
	return platform.FeedPage{IsList: true, Changes: f.active, Next: f.end}, nil
}

func (f *feeds) Changes(ctx context.Context, feed platform.Feed, _ uint64, wait time.Duration) (platform.FeedPage, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	if feed == platform.FeedOperator {
		return f.Snapshot(ctx, feed)
	}
	return platform.FeedPage{}, ctx.Err()
}

func (f *feeds) End(context.Context, platform.Feed, uint64) (uint64, error) { return 0, nil }
func (f *feeds) SaveCopy(context.Context, platform.Feed) error              { return nil }

func (f *feeds) LoadCopy(context.Context, platform.Feed) ([]platform.Change, error) {
	return nil, errors.NotFoundf("copy")
}

// Failure: one of two failure domains is evacuated while requests and streams run there. Guards against an
// operator who switches machines off under requests, as nothing says when the last one has ended, and against
// a request that is sent there afterwards and that nobody notices.
func TestEndOfTheLastRequestIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &feeds{}
		v := view.New(f, zap.NewNop())
		core, logged := observer.New(zap.InfoLevel)
		requests, streams := map[string]int{"x1": 2, "y1": 5}, map[string]int{"x1": 1}
		var mu sync.Mutex
		read := func(m map[string]int) func() map[string]int {
			return func() map[string]int {
				mu.Lock()
				defer mu.Unlock()
				return map[string]int{"x1": m["x1"], "y1": m["y1"]}
			}
		}
		set := func(m map[string]int, n int) {
			mu.Lock()
			m["x1"] = n
			mu.Unlock()
			time.Sleep(2 * time.Second)
		}
		w := New(Config{View: v, Requests: read(requests), Streams: read(streams), Log: zap.New(core)})
		var loops sync.WaitGroup
		loops.Go(func() { v.Run(ctx) })
		loops.Go(func() { w.Run(ctx) })
		running := func() []int {
			return []int{w.sum(func(d *domain) int { return d.requests }), w.sum(func(d *domain) int { return d.streams })}
		}
		time.Sleep(2 * time.Second)
		require.Equal(t, []int{0, 0}, running())
		f.evacuate("x")
		set(requests, 1)
		require.Equal(t, []int{1, 1}, running())
		const stillRuns = "This process still runs something in an evacuated failure domain."
		require.Equal(t, 1, logged.FilterMessage(stillRuns).Len())
		set(requests, 0)
		require.Equal(t, 1, logged.Len(), "a stream still runs")
		time.Sleep(logInterval)
		require.Equal(t, 2, logged.FilterMessage(stillRuns).Len())
		set(streams, 0)
		require.Equal(t, 1, logged.FilterMessage("Nothing of this process runs in an evacuated failure domain.").Len())
		set(requests, 1)
		require.Equal(t, 1, logged.FilterMessage("Something of this process runs in an evacuated failure domain again.").Len())
		f.evacuate()
		time.Sleep(2 * time.Second)
		require.Equal(t, []int{0, 0}, running())
		require.Equal(t, 4, logged.Len())
		cancel()
		loops.Wait()
	})
}
