package jobs

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/boottime"
	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/sleep"
	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/platform"
)

// Time limits and sizes of appends.
const (
	// flushInterval is how often the events of streams are appended. Events that are not
	// appended yet are generated again if their owner crashes.
	flushInterval = 250 * time.Millisecond
	// flushPause is the minimum time between two appends of urgent records, so that
	// results of the same moment share an append.
	flushPause = 15 * time.Millisecond
	// heartbeatInterval is how often an owner appends a record at least.
	heartbeatInterval = 350 * time.Millisecond
	// idleHeartbeatInterval is the maximum time between two heartbeats of an idle process that
	// can run a complete step; because of them a step is given to it rather than to a
	// small process. A random part of up to a third is subtracted: processes that started
	// together would keep appending together, and because the log handles one append after
	// the other, results would wait behind them.
	idleHeartbeatInterval = 3 * time.Second
	minRetryDelay         = 40 * time.Millisecond
	maxRetryDelay         = 300 * time.Millisecond
	// retryLogInterval is how often failing appends, or calls for texts, are logged.
	retryLogInterval = time.Second
	// maxRecordBytes is the size of text at which a record is closed; the platform accepts
	// 256 KB a record.
	maxRecordBytes = 96 << 10
	// maxAppendBytes is the maximum size of one append; the platform accepts 2 MB.
	maxAppendBytes = 1 << 20
	// entryOverheadBytes and eventOverheadBytes are the sizes of an entry and an event
	// without their text.
	entryOverheadBytes = 150
	eventOverheadBytes = 24
)

var (
	appends        = metrics.Counter("jobs_appends_total")
	appendFailures = metrics.Counter("jobs_append_failures_total")
)

// outbox collects the records of this process and appends them. Texts go to the partitions of
// their jobs, each through its own partitionAppender; the results in the jobs' stream follow
// after their texts are stored. Records of jobs, which serve as heartbeats, do not wait for
// any partition: an owner that waited for one unavailable partition sent no heartbeats and
// lost all its jobs to other processes, which then waited as well.
type outbox struct {
	log  Log
	zlog *zap.Logger
	// retryLog logs failures that repeat with each retry, at a limited rate.
	retryLog   *zap.Logger
	writer     jobs.Writer
	partitions int // of the texts' stream
	// capacity is how many items this process can run; each record reports it.
	capacity int
	// needsHeartbeat reports whether this process has to append heartbeats, and isCandidate
	// whether it appends some while it is idle.
	needsHeartbeat, isCandidate func() bool
	// idleBefore returns the IdleBefore of records.
	idleBefore func() uint64
	// onTextAppended is called with each text that the log has stored.
	onTextAppended func(textKey, string)

	// onAppended is called with each append of records to the jobs' stream that the log has stored: when
	// it was sent, by boottime, and the offset of its first record. nil: nothing is.
	onAppended func(sentAt time.Duration, offset uint64)

	// lastAppendNanos is the duration of the last successful append, in nanoseconds.
	lastAppendNanos atomic.Int64
	// appendingBytes is the size of the texts that are being appended.
	appendingBytes atomic.Int64

	mu        sync.Mutex
	pending   jobs.Record
	appenders map[textPart]*partitionAppender
	urgent    chan struct{}
	// startRun starts a goroutine for a partitionAppender with something to append; nil
	// while the outbox does not run.
	startRun func(*partitionAppender)
}

func newOutbox(log Log, writer jobs.Writer, partitions int, needsHeartbeat func() bool, onTextAppended func(textKey, string), zlog *zap.Logger) *outbox {
	o := &outbox{
		log: log, zlog: zlog, retryLog: logs.Limited(zlog, retryLogInterval), writer: writer, partitions: max(1, partitions), needsHeartbeat: needsHeartbeat, isCandidate: func() bool { return true }, idleBefore: func() uint64 { return 0 }, onTextAppended: onTextAppended,
		appenders: map[textPart]*partitionAppender{}, urgent: make(chan struct{}, 1),
	}
	metrics.Gauge("jobs_queued_append_bytes", func() any { return o.queuedBytes() })
	return o
}

// add changes the pending record; if urgent, it is appended at once.
func (o *outbox) add(urgent bool, change func(*jobs.Record)) {
	o.mu.Lock()
	change(&o.pending)
	o.mu.Unlock()
	if urgent {
		o.requestFlush()
	}
}

func (o *outbox) requestFlush() {
	select {
	case o.urgent <- struct{}{}:
	default: // one pending request is enough
	}
}

// addProgress appends events to an item's text.
func (o *outbox) addProgress(job *jobs.Job, claim uint64, p jobs.Progress) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.partitionAppender(textPartOf(&job.ItemsRef)).textsOf(jobClaim{job.ID, claim})
	t.progress = append(t.progress, p)
}

// addResult adds the final result of an item; it is appended at once.
func (o *outbox) addResult(job *jobs.Job, claim uint64, r jobs.Result) {
	if r.GivenUp {
		o.add(true, func(rec *jobs.Record) { rec.Results = append(rec.Results, r) })
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.partitionAppender(textPartOf(&job.ItemsRef))
	t := a.textsOf(jobClaim{job.ID, claim})
	t.results = append(t.results, r)
	o.startIfIdle(a)
}

// addRelease releases a job after its partial texts are appended.
func (o *outbox) addRelease(job *jobs.Job) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.partitionAppender(textPartOf(&job.ItemsRef))
	a.releases = append(a.releases, job.ID)
	o.startIfIdle(a)
}

// run appends until ctx ends.
func (o *outbox) run(ctx context.Context) {
	var runs sync.WaitGroup
	o.setStartRun(func(a *partitionAppender) { runs.Go(func() { o.runAppender(ctx, a) }) })
	defer func() {
		o.setStartRun(nil) // none may start during the wait
		runs.Wait()
	}()
	last := time.Time{} // zero, so that the capacity is reported at once
	idle := idleHeartbeatInterval
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.urgent:
			sleep.For(ctx, flushPause-time.Since(last))
		case <-tick.C:
			o.startAllIdle()
		}
		heartbeat := time.Since(last) >= heartbeatInterval && o.needsHeartbeat() || time.Since(last) >= idle && o.capacity >= fullStepItems && o.isCandidate()
		if o.flush(ctx, heartbeat) {
			last = time.Now()
			idle = idleHeartbeatInterval - rand.N(idleHeartbeatInterval/3)
		}
	}
}

func (o *outbox) setStartRun(startRun func(*partitionAppender)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.startRun = startRun
}

// flush appends what is pending for the jobs' stream, or an empty record as a heartbeat. It
// retries until the log accepts it or ctx ends, and reports whether it appended.
func (o *outbox) flush(ctx context.Context, heartbeat bool) bool {
	o.mu.Lock()
	r := o.pending
	o.pending = jobs.Record{}
	o.mu.Unlock()
	if r.IsEmpty() && !heartbeat {
		return false
	}
	records, err := o.encodeRecords(&r)
	if err != nil {
		o.zlog.Error("Encoding records failed; they are lost.", zap.Error(err))
		return false
	}
	for _, batch := range batchRecords(records) {
		if _, ok := o.append(ctx, Stream, batch); !ok {
			return false
		}
	}
	return true
}

// append appends records until the log accepts them, refuses them as invalid, or ctx ends;
// then it returns false.
func (o *outbox) append(ctx context.Context, stream string, records [][]byte) (uint64, bool) {
	delay := minRetryDelay
	for {
		start, sentAt := time.Now(), boottime.Now()
		offset, err := o.appendOnce(ctx, stream, records)
		if err == nil {
			o.lastAppendNanos.Store(int64(time.Since(start)))
			if o.onAppended != nil {
				o.onAppended(sentAt, offset)
			}
			return offset, true
		}
		if errors.Is(err, platform.ErrLogRefused) {
			return 0, true // a retry would fail as well and delay all later records
		}
		if !sleep.For(ctx, sleep.Jitter(delay)) {
			return 0, false
		}
		delay = min(maxRetryDelay, 2*delay)
	}
}

// appendOnce appends records once. After a failure, whether they were stored or not, the same
// records may be appended again: the fold skips what it has seen.
func (o *outbox) appendOnce(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	offset, err := o.log.AppendAll(ctx, stream, records)
	switch {
	case err == nil:
		appends.Add(1)
	case errors.Is(err, platform.ErrLogRefused):
		appendFailures.Add(1)
		o.zlog.Error("The log refused records; they are lost.", zap.String("stream", stream), zap.Int("records", len(records)), zap.Error(err))
	default:
		appendFailures.Add(1)
		o.retryLog.Warn("Append failed.", zap.String("stream", stream), zap.Error(err))
	}
	return offset, err
}

// encodeRecords splits r into records of a size that the log accepts.
func (o *outbox) encodeRecords(r *jobs.Record) ([][]byte, error) {
	s := &recordSplitter{writer: o.writer}
	s.part = jobs.Record{Writer: o.writer, Capacity: o.capacity, Claims: r.Claims, Leaving: r.Leaving, Engines: r.Engines, Ends: r.Ends, IdleBefore: o.idleBefore()}
	for _, start := range r.Starts {
		s.part.Starts = append(s.part.Starts, start)
		s.grow(entryOverheadBytes)
	}
	for _, res := range r.Results {
		s.part.Results = append(s.part.Results, res)
		s.grow(entryOverheadBytes)
	}
	// Jobs are released after the results that belong to them.
	s.part.Releases = r.Releases
	if !s.part.IsEmpty() || len(s.records) == 0 {
		s.close()
	}
	return s.records, errors.Trace(s.err)
}

// recordSplitter collects parts of a record and closes it before it is too large.
type recordSplitter struct {
	writer  jobs.Writer
	part    jobs.Record
	size    int
	records [][]byte
	err     error
}

// grow adds to the size of the current record, in bytes, and closes it beyond maxRecordBytes.
func (s *recordSplitter) grow(size int) {
	s.size += size
	if s.size > maxRecordBytes {
		s.close()
	}
}

func (s *recordSplitter) close() {
	data, err := s.part.Encode()
	if err != nil && s.err == nil {
		s.err = err
	}
	s.records = append(s.records, data)
	s.part, s.size = jobs.Record{Writer: s.writer}, 0
}

// batchRecords groups records into appends of a size that the log accepts.
func batchRecords(records [][]byte) [][][]byte {
	var out [][][]byte
	size := 0
	for _, r := range records {
		if len(out) == 0 || size+len(r) > maxAppendBytes {
			out, size = append(out, nil), 0
		}
		out[len(out)-1] = append(out[len(out)-1], r)
		size += len(r)
	}
	return out
}
