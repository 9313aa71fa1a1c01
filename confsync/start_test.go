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

// slowLog answers the first reads and then none, as if the log became slow or
// unavailable while a new process was reading it.
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

// Guards against an old revision in force at a process that has just started.
// How it came about: the entry read the first page of the log (64 of 100
// records), then the log became slow, and no peer was reachable. Although the
// page showed that 36 records were still to come, revision 64 was in force and
// the entry reported ready. It admitted a caller whose token revision 100 had
// removed, and repeated requests on a route that revision 100 had set to "never".
func TestNewProcessPutsNoOldRevisionInForce(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		s.partitioned = func(a, b string) bool { return true }
		s.start("p0")
		for number := range uint64(100) {
			s.log.commit(revision(number+1, "a"))
		}
		s.awaitRevision(inForceLimit, 100)
		log := &slowLog{Log: s.log.client("p1")}
		log.remaining.Store(2) // the read of the log's extent, and one page
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
