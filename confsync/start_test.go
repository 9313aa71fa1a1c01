package confsync

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/platform"
)

// slowLog answers the first reads and then none: the log got slow or went down
// while a new process was reading it.
type slowLog struct {
	platform.Log
	remaining atomic.Int64
}

func (l *slowLog) Read(ctx context.Context, stream string, from uint64, records int, wait time.Duration) (platform.Page, error) {
	if l.remaining.Add(-1) < 0 {
		<-ctx.Done()
		return platform.Page{}, ctx.Err()
	}
	return l.Log.Read(ctx, stream, from, records, wait)
}

// A caller whose token revision 100 took away is let in, and a route that it
// made "never" is repeated: the balancer sent it to an entry that just started.
// Order: the entry reads the log's first page (64 of 100 records); the log gets
// slow; peers can't be reached. The page said that 36 records are to come, and
// still revision 64 is in force there, and the entry says that it is ready.
func TestNewProcessPutsNoOldRevisionInForce(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		s.partitioned = func(a, b string) bool { return true }
		s.start("p0")
		for number := range uint64(100) {
			s.log.commit(revision(number+1, "a"))
		}
		s.awaitRevision(inForceLimit, 100)
		log := &slowLog{Log: s.log.client("p1")}
		log.remaining.Store(2) // the look at the log's extent, and one page
		k, err := newKeeper(Config{Name: "p1", Addr: "p1", Log: log, Keys: testKeys, Peers: s.addresses}, memoryExchanger{s, "p1"}, func() float64 { return 0.5 })
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			k.Run(ctx)
		}()
		synctest.Wait()
		got := k.View().Number
		cancel()
		<-done
		require.Contains(t, []uint64{0, 100}, got, "an old revision is in force")
	})
}
