package once

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// slowAppends is a log that takes its time; each record is taken all the same.
type slowAppends struct {
	*fakeLog
	delay time.Duration
}

func (l slowAppends) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	time.Sleep(l.delay)
	return l.fakeLog.Append(ctx, stream, data)
}

// Keyed writes are refused for as long as the log is slow, though each claim
// would be won well within the claim timeout (2 s). Order: an append takes
// 0.7 s; half a second after its start the log counts as down (stuckAfter), and
// every other key's write is refused with log_unavailable until it has landed;
// then the next batch begins and so on.
func TestSlowLogIsNotAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, _ := start(t, slowAppends{newFakeLog(), 700 * time.Millisecond}, "a")
		tryClaim := func() {
			run, _, _ := table.Claim(t.Context(), newRequest())
			if run != nil {
				run.Release()
			}
		}
		refused := 0
		for range 50 {
			if _, _, known := table.Lookup(t.Context(), newRequest()); known {
				refused++
			} else {
				go tryClaim()
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		require.Zero(t, refused, "of 50 writes in 5 s")
	})
}

// Other callers' renewals are refused with log_unavailable while the log is
// well. Order: a caller gives its keyed request less time than the group
// commit's interval and gives up; await takes that for a sign of an outage
// (doubtful); until the next own batch has landed every new key but one is
// refused. One caller with short deadlines thus refuses everybody's writes.
func TestShortDeadlineOfOneCallerIsNotAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, _ := start(t, newFakeLog(), "a")
		claim(t, table, newRequest()).Release() // the log works; the next append keeps its interval

		short, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, _, err := table.Claim(short, newRequest())
		require.NotNil(t, err)
		require.True(t, err.NotRun())

		done := make(chan struct{})
		go func() {
			defer close(done)
			run, _, _ := table.Claim(t.Context(), newRequest()) // another caller waits for the next batch
			if run != nil {
				run.Release()
			}
		}()
		synctest.Wait()
		_, refusal, known := table.Lookup(t.Context(), newRequest())
		require.False(t, known, "refused although the log is up: %v", refusal)
		<-done
	})
}
