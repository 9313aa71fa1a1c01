package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/fold/jobs"
)

// The log is away for seconds. Of two owners one was heard until it went, the other had
// been silent before. Afterwards the first one is given time to show itself, and steps
// handed in meanwhile; the other counts as gone as soon as it would have without the
// outage.
func TestSilenceLeavesOutWhatNobodyCouldHear(t *testing.T) {
	b := NewBook(nil, zap.NewNop())
	begin := time.Now()
	alive, gone := jobs.Writer{Node: "alive"}, jobs.Writer{Node: "gone"}
	b.heard[alive], b.heard[gone] = begin.Add(9*time.Second), begin.Add(5*time.Second)
	b.since = begin
	require.Equal(t, time.Second, b.silent(alive, begin.Add(10*time.Second)))
	b.lost, b.since = begin.Add(9*time.Second), begin.Add(16*time.Second)
	now := begin.Add(16*time.Second + 100*time.Millisecond)
	require.Equal(t, 100*time.Millisecond, b.silent(alive, now))
	require.Equal(t, 4100*time.Millisecond, b.silent(gone, now))
	b.heard[alive] = now
	require.Zero(t, b.silent(alive, now))
}
