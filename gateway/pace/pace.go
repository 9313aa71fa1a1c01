// Package pace cuts off callers that read their answers too slowly, so that what a process holds for
// them does not stay in its memory.
package pace

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
)

// The pace that a reader must keep while bytes wait for it: minBytes within MinTime, 6.5 KB/s. No
// caller that reads more slowly gets an answer of that size in time. MinTime is as long as a steady
// reader of 16 KB/s may seem to stand still: a receiver's kernel with a buffer of several MB tells that
// there is room only once a sixteenth of it has been read.
const (
	minBytes = 192 << 10
	MinTime  = 30 * time.Second
)

// sendBufferBytes bounds the bytes of an answer that wait in the kernel for a slow reader. The
// kernel doubles it. It is enough for 80 Mbit/s over a round trip of 6 ms.
const sendBufferBytes = 64 << 10

var slowReaders = metrics.Counter("front_slow_readers_total")

// BoundSendBuffer bounds the send buffer of a caller's connection. It has the signature of
// http.Server.ConnContext and returns ctx.
func BoundSendBuffer(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := c.(interface{ SetWriteBuffer(int) error }); ok {
		_ = conn.SetWriteBuffer(sendBufferBytes) // a connection that is closed already fails at its first read
	}
	return ctx
}

// Writer is an http.ResponseWriter whose writes fail if the caller reads too slowly. Its Finish must
// be called at the end of the handler.
type Writer struct {
	http.ResponseWriter
	id      string
	log     *zap.Logger
	minTime time.Duration
	control *http.ResponseController
	written int64
	failed  bool
}

// NewWriter returns a writer of the answer to the request with the given id. minTime is MinTime but for
// tests.
func NewWriter(w http.ResponseWriter, id string, minTime time.Duration, log *zap.Logger) *Writer {
	return &Writer{ResponseWriter: w, id: id, log: log, minTime: minTime, control: http.NewResponseController(w)}
}

// Unwrap serves http.ResponseController.
func (w *Writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter. Each minBytes of p have their own time.
func (w *Writer) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(written+minBytes, len(p))]
		w.extend()
		n, err := w.ResponseWriter.Write(piece)
		written += n
		w.written += int64(n)
		if err != nil || written == len(p) {
			return written, w.check(err)
		}
	}
}

// FlushError serves http.ResponseController.
func (w *Writer) FlushError() error {
	w.extend()
	return w.check(w.control.Flush())
}

// Finish bounds the time in which the last bytes are sent after the handler has returned.
func (w *Writer) Finish() { w.extend() }

// extend gives the reader its time from now on for what is written next.
func (w *Writer) extend() {
	_ = w.control.SetWriteDeadline(time.Now().Add(w.minTime)) // fails only on connections that writes fail on as well
}

// check reports a write that failed because the reader was too slow.
func (w *Writer) check(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) && !w.failed {
		w.failed = true
		slowReaders.Add(1)
		w.log.Info("Closing the connection of a caller that reads too slowly.", zap.String("id", w.id), zap.Int64("written", w.written),
			zap.Int("min_bytes", minBytes), zap.Duration("min_time", w.minTime))
	}
	return err
}
