package logs

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// blockedSink is a sink whose Write blocks until release is closed.
type blockedSink struct {
	release chan struct{}
	out     bytes.Buffer
}

func (s *blockedSink) Write(p []byte) (int, error) {
	<-s.release
	return s.out.Write(p)
}

// Guards against requests that block on logging when no process reads our output
// and the pipe is full: further lines must be dropped and counted, and the queued
// ones written later.
func TestBlockedSinkDoesNotBlockWriters(t *testing.T) {
	sink := &blockedSink{release: make(chan struct{})}
	a := NewAsync(sink)
	log := NewTo(a, "part", "info")
	for range maxQueuedLines + 100 {
		log.Info("A line.", zap.String("id", "r1"))
	}
	require.GreaterOrEqual(t, a.Dropped(), int64(99))
	close(sink.release)
	a.Close()
	require.GreaterOrEqual(t, bytes.Count(sink.out.Bytes(), []byte("part: A line.")), maxQueuedLines)
}
