package once

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// slowAppends is a log whose appends take delay longer. It stores every record.
type slowAppends struct {
	*fakeLog
	delay time.Duration
}

func (l slowAppends) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	time.Sleep(l.delay)
	return l.fakeLog.Append(ctx, stream, data)
}

// Guards against keyed writes that are refused while the log is only slow, although
// each claim would be won well within the claim timeout (2 s). How it came about: an
// append took 0.7 s. Half a second after its start the log counted as down, and the
// writes of all other keys were refused with log_unavailable until the batch was read
// back. The same happened with each following batch.
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

// Guards against one caller with short deadlines causing the refusal of all other
// callers' writes with log_unavailable while the log works. How it came about: the
// caller gave its keyed request less time than the interval of the group commit and
// timed out. The timeout was taken as a sign of an outage, and every new key but one
// was refused until the next own batch was read back.
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
