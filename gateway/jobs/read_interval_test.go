package jobs

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/platform"
)

func TestReadInterval(t *testing.T) {
	require.Zero(t, ReadInterval(360, 0), "unknown rate")
	require.Equal(t, 9*time.Millisecond, ReadInterval(9, 2000))
	require.Equal(t, 120*time.Millisecond, ReadInterval(360, 6000))
}

// busyLog returns one new record for each read; its end stays ahead up to backlog.
type busyLog struct {
	Log
	reads   atomic.Int64
	backlog uint64
}

func (l *busyLog) Read(_ context.Context, _ string, from uint64, _ int, _ time.Duration) (platform.Page, error) {
	l.reads.Add(1)
	next := from + 1
	return platform.Page{Records: []platform.Record{{Offset: from, Data: []byte("{}")}}, Next: next, End: max(next, l.backlog)}, nil
}

// Other processes append all the time, and each append ends a waiting read. Without a pause
// every process would read the log as often as all others append. Old records are read without
// pauses, new ones at the interval that is set.
func TestIndexKeepsReadInterval(t *testing.T) {
	log := &busyLog{backlog: 20}
	index := NewIndex(log, zap.NewNop())
	index.SetReadInterval(func() time.Duration { return time.Hour })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { index.Run(ctx); close(done) }()
	require.Eventually(t, index.CaughtUp, 10*time.Second, time.Millisecond)
	cancel()
	<-done
	require.EqualValues(t, 20, log.reads.Load())
}
