package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/decide/fetch"
	"dandelionsill.org/platform"
)

// endReadKB is the size of a read that only looks for the log's end. With reads of the usual
// size, each question about an unknown job cost a megabyte while hundreds of processes were
// reading old records.
const endReadKB = 1

var (
	bytesRead     = metrics.Counter("jobs_log_read_bytes_total")
	readsTimedOut = metrics.Counter("jobs_log_reads_cut_off_total")
)

// reader reads the log in pages whose size adapts to the load that the reads of all other
// processes put on the log. It is safe for concurrent use.
type reader struct {
	log platform.Log

	mu     sync.Mutex
	window fetch.Window
}

func newReader(log platform.Log) *reader { return &reader{log: log} }

func (r *reader) windowKB() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window.KB()
}

// read returns records of a stream from an offset on, in a page of the current window's size,
// and waits for at most wait for the first.
func (r *reader) read(ctx context.Context, stream string, from uint64, wait time.Duration) (platform.Page, error) {
	return r.readUpTo(ctx, stream, from, r.windowKB(), wait)
}

// readUpTo is read with a limit of maxKB, but returns at least one record if there is one.
func (r *reader) readUpTo(ctx context.Context, stream string, from uint64, maxKB int, wait time.Duration) (platform.Page, error) {
	for kb := min(maxKB, r.windowKB()); ; {
		sent := time.Now()
		page, err := r.log.Read(ctx, stream, from, kb, wait)
		r.observe(kb, page, err, time.Since(sent))
		if err != nil || len(page.Records) > 0 || page.End <= from {
			return page, err
		}
		// The log may return no record that is larger than the requested size: without a
		// larger request the same read would be repeated forever.
		if kb = fetch.LargerKB(kb); kb == 0 {
			return page, errors.Errorf("record %d of stream %s is larger than the largest read", from, stream)
		}
	}
}

// observe reports the outcome of a read of kb KB to the window.
func (r *reader) observe(kb int, page platform.Page, err error, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(err, context.DeadlineExceeded) {
		readsTimedOut.Add(1)
		r.window.RecordTimeout(kb)
		return
	}
	got := 0
	for _, rec := range page.Records {
		got += len(rec.Data)
	}
	bytesRead.Add(int64(got))
	r.window.RecordAnswer(kb, got, took)
}

// endOffset returns the offset after the last record of a stream. from is an offset that is
// known to exist there, or zero.
func (r *reader) endOffset(ctx context.Context, stream string, from uint64) (uint64, error) {
	page, err := r.log.Read(ctx, stream, from, endReadKB, 0)
	if errors.Is(err, platform.ErrTruncated) {
		return page.First, nil
	}
	return max(page.End, page.Next), err
}
