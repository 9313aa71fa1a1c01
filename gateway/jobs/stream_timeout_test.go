package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/fold/jobs"
)

// An engine takes longer for an event than the timeout of a stream. Its streams time out one
// after the other without a gap between two events, so the engine was taken to be as fast as the
// others, and each freed slot got the next sample. A timeout has to count as a gap; one before
// the first event puts the engine on probation.
func TestTimeoutUpdatesEnginePace(t *testing.T) {
	now := time.Now()
	silentAt := func(server string, events int) *activeItem {
		return &activeItem{
			job: &jobs.Job{}, item: jobs.Item{}, phase: running, server: server, streamEvents: events,
			lastEventAt: now.Add(-time.Second), avoidUntil: map[string]time.Time{}, reportedServer: server,
		}
	}
	afterAnEvent, beforeFirst := silentAt("slow", 1), silentAt("dark", 0)
	r := &Runner{
		zlog: zap.NewNop(), excludedUntil: map[string]time.Time{},
		active: map[string]map[string]*activeItem{"j": {"a": afterAnEvent, "b": beforeFirst}},
	}
	r.out = newOutbox(nil, jobs.Writer{}, 1, func() bool { return true }, nil, zap.NewNop())
	for _, server := range []string{"slow", "dark", "usual"} {
		for range 50 {
			r.paces.Observe(server, 80*time.Millisecond, now)
		}
	}
	r.requeueSilent(now)
	require.Equal(t, waiting, afterAnEvent.phase)
	require.Equal(t, waiting, beforeFirst.phase)
	paces := r.paces.At(now)
	require.Greater(t, paces["slow"], 1.5*paces["usual"])
	require.False(t, r.excludedUntil["slow"].After(now))
	require.True(t, r.excludedUntil["dark"].After(now))
	require.Equal(t, 1, r.probation.Slots("dark", 6, 0, 0))
	require.Equal(t, 6, r.probation.Slots("slow", 6, 0, 0))
}
