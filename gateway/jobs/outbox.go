package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/sleep"
	"dandelionsill.org/fold/jobs"
)

// Times and sizes of appends.
const (
	// flushEvery is how old news of a stream gets before it is appended. Text
	// younger than this is made again when its owner dies.
	flushEvery = 250 * time.Millisecond
	// flushGap lies between two appends of urgent news, so that results of
	// one moment share an append.
	flushGap = 15 * time.Millisecond
	// beatEvery is how often an owner shows that it lives.
	beatEvery  = 350 * time.Millisecond
	retryFirst = 40 * time.Millisecond
	retryMost  = 300 * time.Millisecond
	// recordMost is the size at which a record is closed, in bytes of text; the
	// platform takes 256 KB a record.
	recordMost = 96 << 10
)

var (
	appends        = metrics.Counter("jobs_appends_total")
	appendFailures = metrics.Counter("jobs_append_failures_total")
)

// outbox gathers what this process has to say and appends it in order.
type outbox struct {
	log    Log
	zlog   *zap.Logger
	writer jobs.Writer
	// owning tells whether this process has to show that it lives.
	owning func() bool

	mu      sync.Mutex
	pending jobs.Record
	urgent  chan struct{}
}

func newOutbox(log Log, writer jobs.Writer, owning func() bool, zlog *zap.Logger) *outbox {
	return &outbox{log: log, zlog: zlog, writer: writer, owning: owning, urgent: make(chan struct{}, 1)}
}

// add changes the pending record; urgent news is appended at once.
func (o *outbox) add(urgent bool, change func(*jobs.Record)) {
	o.mu.Lock()
	change(&o.pending)
	o.mu.Unlock()
	if !urgent {
		return
	}
	select {
	case o.urgent <- struct{}{}:
	default: // one wake-up is enough
	}
}

// run appends until ctx ends; what is left then is appended by flush.
func (o *outbox) run(ctx context.Context) {
	last := time.Now()
	tick := time.NewTicker(flushEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.urgent:
			sleep.For(ctx, flushGap-time.Since(last))
		case <-tick.C:
		}
		if o.flush(ctx, time.Since(last) >= beatEvery && o.owning()) {
			last = time.Now()
		}
	}
}

// flush appends what is pending, or an empty record as a sign of life; it
// tries until it is taken or ctx ends, and tells whether it appended.
func (o *outbox) flush(ctx context.Context, beat bool) bool {
	o.mu.Lock()
	r := o.pending
	o.pending = jobs.Record{}
	o.mu.Unlock()
	if r.Empty() && !beat {
		return false
	}
	records, err := o.encode(&r)
	if err != nil {
		o.zlog.Error("Records can't be encoded and are lost.", zap.Error(err))
		return false
	}
	delay := retryFirst
	for {
		_, err := o.log.AppendAll(ctx, Stream, records)
		if err == nil {
			appends.Add(1)
			return true
		}
		// Whether it was taken or not, the same records may follow: the fold
		// passes over what it has seen.
		appendFailures.Add(1)
		o.zlog.Warn("Append failed.", zap.Error(err))
		if !sleep.For(ctx, sleep.Jitter(delay)) {
			return false
		}
		delay = min(retryMost, 2*delay)
	}
}

// encode splits r into records of a size that the log takes.
func (o *outbox) encode(r *jobs.Record) ([][]byte, error) {
	var out [][]byte
	part := jobs.Record{Writer: o.writer, Claims: r.Claims, Releases: r.Releases, Leaving: r.Leaving, Starts: r.Starts, Ends: r.Ends, Engines: r.Engines}
	size := 0
	closePart := func() error {
		data, err := part.Encode()
		out = append(out, data)
		part, size = jobs.Record{Writer: o.writer}, 0
		return errors.Trace(err)
	}
	for _, p := range r.Progress {
		part.Progress = append(part.Progress, p)
		for _, e := range p.Events {
			size += len(e.Data)
		}
		if size > recordMost {
			if err := closePart(); err != nil {
				return nil, err
			}
		}
	}
	for _, res := range r.Results {
		part.Results = append(part.Results, res)
		size += len(res.Text)
		if size > recordMost {
			if err := closePart(); err != nil {
				return nil, err
			}
		}
	}
	if !part.Empty() || len(out) == 0 {
		if err := closePart(); err != nil {
			return nil, err
		}
	}
	return out, nil
}
