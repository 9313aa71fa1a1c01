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

// endReadKB is what a read asks for that only looks for the log's end. With as much as
// the log gives, each question about a job that a process did not know yet cost a
// megabyte, while hundreds of processes read the past.
const endReadKB = 1

var (
	bytesRead     = metrics.Counter("jobs_log_read_bytes_total")
	readsTimedOut = metrics.Counter("jobs_log_reads_cut_off_total")
)

// reader reads the log in pieces of a size that the log can bear beside the reads of
// all other processes. It is safe for concurrent use.
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

// read returns records of a stream from an offset on, as many as the log is asked for
// at a time, waiting up to wait for the first.
func (r *reader) read(ctx context.Context, stream string, from uint64, wait time.Duration) (platform.Page, error) {
	return r.readUpTo(ctx, stream, from, r.windowKB(), wait)
}

// readUpTo reads no more than some KB, but one record at least.
func (r *reader) readUpTo(ctx context.Context, stream string, from uint64, maxKB int, wait time.Duration) (platform.Page, error) {
	for kb := min(maxKB, r.windowKB()); ; {
		sent := time.Now()
		page, err := r.log.Read(ctx, stream, from, kb, wait)
		r.observe(kb, page, err, time.Since(sent))
		if err != nil || len(page.Records) > 0 || page.End <= from {
			return page, err
		}
		// A log that gives no record larger than what was asked for would be asked
		// for the same one for ever.
		if kb = fetch.LargerKB(kb); kb == 0 {
			return page, errors.Errorf("record %d of %s is larger than the log gives", from, stream)
		}
	}
}

// observe tells the window how a read of some KB went.
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

// endOffset returns the offset behind the last record of a stream; from is one that is
// known to stand there, or zero.
func (r *reader) endOffset(ctx context.Context, stream string, from uint64) (uint64, error) {
	page, err := r.log.Read(ctx, stream, from, endReadKB, 0)
	if errors.Is(err, platform.ErrTruncated) {
		return page.First, nil
	}
	return max(page.End, page.Next), err
}
