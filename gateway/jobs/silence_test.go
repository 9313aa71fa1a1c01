package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/fold/jobs"
)

// The log is unavailable for seconds. One of two owners was active until then, the other had been
// silent before. Afterwards the first one gets time to send a heartbeat, and counts as alive for
// new steps; the other counts as gone as soon as it would have without the outage.
func TestSilenceExcludesLogOutage(t *testing.T) {
	index := NewIndex(nil, zap.NewNop())
	start := time.Now()
	alive, gone := jobs.Writer{VM: "alive"}, jobs.Writer{VM: "gone"}
	index.lastRecordAt[alive], index.lastRecordAt[gone] = start.Add(9*time.Second), start.Add(5*time.Second)
	index.readableSince = start
	require.Equal(t, time.Second, index.silenceOf(alive, start.Add(10*time.Second)))
	index.unreadableSince, index.readableSince = start.Add(9*time.Second), start.Add(16*time.Second)
	now := start.Add(16*time.Second + 100*time.Millisecond)
	require.Equal(t, 100*time.Millisecond, index.silenceOf(alive, now))
	require.Equal(t, 4100*time.Millisecond, index.silenceOf(gone, now))
	index.lastRecordAt[alive] = now
	require.Zero(t, index.silenceOf(alive, now))
}
