package logs

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines is how many lines wait for the sink before lines are dropped: a
// second of a busy process's lines.
const maxQueuedLines = 4096

// Async writes lines to a sink from a goroutine of its own. Write never waits:
// a sink that does not take lines (a full pipe) would else hold up requests.
// Lines that find no room are counted and dropped.
type Async struct {
	lines     chan []byte
	done      chan struct{}
	dropped   atomic.Int64
	closeOnce sync.Once
}

// NewAsync returns a writer to w.
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
			a.dropped.Add(1) // there is nowhere to log that logs are lost
		}
	}
}

// Write takes one line.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer; lines are on their way already.
func (a *Async) Sync() error { return nil }

// Dropped is the number of lines that were lost.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes what waits and ends the goroutine. No Write may follow.
func (a *Async) Close() {
	a.closeOnce.Do(func() { a.lines <- nil })
	<-a.done
}
