package logs

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines is how many lines may wait for the sink before further lines are
// dropped: what a busy process writes in about one second.
const maxQueuedLines = 4096

// Async writes lines to a sink in a separate goroutine. Write never blocks,
// because a sink that accepts no lines (a full pipe) would otherwise block
// requests. Lines that exceed the queue are dropped and counted.
type Async struct {
	lines     chan []byte
	done      chan struct{}
	dropped   atomic.Int64
	closeOnce sync.Once
}

// NewAsync returns an Async that writes to w. Close must be called to stop it.
func NewAsync(w io.Writer) *Async {
	a := &Async{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go a.run(w)
	return a
}

func (a *Async) run(w io.Writer) {
	defer close(a.done)
	for line := range a.lines {
		if line == nil {
			return
		}
		if _, err := w.Write(line); err != nil {
			a.dropped.Add(1) // a failure to write logs can't be logged
		}
	}
}

// Write queues a copy of one line. It never returns an error.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing: queued lines are written
// without it.
func (a *Async) Sync() error { return nil }

// Dropped returns the number of lines that were not written, because the queue was
// full or the sink returned an error.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes the queued lines and stops the goroutine. Write must not be called
// after Close.
func (a *Async) Close() {
	a.closeOnce.Do(func() { a.lines <- nil })
	<-a.done
}
