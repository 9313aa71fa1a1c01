package logs

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// blockedSink is a sink that takes nothing until it is released.
type blockedSink struct {
	release chan struct{}
	out     bytes.Buffer
}

func (s *blockedSink) Write(p []byte) (int, error) {
	<-s.release
	return s.out.Write(p)
}

// Nobody reads the process's output and the pipe is full. Requests go on: lines
// are dropped and counted, and those that found room come out later.
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
