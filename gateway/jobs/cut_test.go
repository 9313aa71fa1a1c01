package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/fold/jobs"
)

// An engine takes longer for an event than a stream may be silent for. Its streams are
// cut one after the other and show no gap between two events, so that it was thought to
// be as fast as the others, and each place that a cut made free got the next sample. A
// cut counts as a gap; one before the first event puts the engine on probation.
func TestCutTellsOfAnEnginesPace(t *testing.T) {
	now := time.Now()
	silentAt := func(server string, events int) *work {
		return &work{
			job: &jobs.Job{}, item: jobs.Item{}, phase: running, server: server, streamed: events,
			lastEvent: now.Add(-time.Second), avoid: map[string]time.Time{}, told: server,
		}
	}
	behindAnEvent, beforeAny := silentAt("slow", 1), silentAt("dark", 0)
	r := &Runner{
		zlog: zap.NewNop(), shunned: map[string]time.Time{},
		works: map[string]map[string]*work{"j": {"a": behindAnEvent, "b": beforeAny}},
	}
	r.out = newOutbox(nil, jobs.Writer{}, 1, func() bool { return true }, nil, zap.NewNop())
	for _, server := range []string{"slow", "dark", "usual"} {
		for range 50 {
			r.paces.Observe(server, 80*time.Millisecond, now)
		}
	}
	r.dropSilent(now)
	require.Equal(t, waiting, behindAnEvent.phase)
	require.Equal(t, waiting, beforeAny.phase)
	paces := r.paces.At(now)
	require.Greater(t, paces["slow"], 1.5*paces["usual"])
	require.False(t, r.shunned["slow"].After(now))
	require.True(t, r.shunned["dark"].After(now))
	require.Equal(t, 1, r.probation.Slots("dark", 6, 0, 0))
	require.Equal(t, 6, r.probation.Slots("slow", 6, 0, 0))
}
