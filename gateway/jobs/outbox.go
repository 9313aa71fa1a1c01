package jobs

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/sleep"
	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/platform"
)

// Times and sizes of appends.
const (
	// flushInterval is how old news of a stream gets before it is appended. Text
	// younger than this is made again when its owner dies.
	flushInterval = 250 * time.Millisecond
	// flushPause lies between two appends of urgent news, so that results of
	// one moment share an append.
	flushPause = 15 * time.Millisecond
	// heartbeatInterval is how often an owner shows that it lives.
	heartbeatInterval = 350 * time.Millisecond
	// idleHeartbeatInterval is how often at least a process that can run a whole step shows that it
	// lives while it owns nothing, so that a step is given to it rather than to
	// a small one. It does so up to a third sooner, by chance: processes that started
	// together would go on appending together, and the log takes one append after the
	// other, so that results would wait behind them.
	idleHeartbeatInterval = 3 * time.Second
	minRetryDelay         = 40 * time.Millisecond
	maxRetryDelay         = 300 * time.Millisecond
	// retryLogInterval is how often a line tells that appends, or calls for texts, fail.
	retryLogInterval = time.Second
	// maxRecordBytes is the size at which a record is closed, in bytes of text; the
	// platform takes 256 KB a record.
	maxRecordBytes = 96 << 10
	// maxAppendBytes is the size of one append, in bytes; the platform takes 2 MB.
	maxAppendBytes = 1 << 20
	// entryOverheadBytes and eventBytes are what an entry and an event take beside
	// their text.
	entryOverheadBytes = 150
	eventOverheadBytes = 24
)

var (
	appends        = metrics.Counter("jobs_appends_total")
	appendFailures = metrics.Counter("jobs_append_failures_total")
)

// outbox gathers what this process has to say and appends it. Texts go to the
// partitions of their jobs, each in a lane of its own, and what the jobs' stream is to
// tell of them follows when they stand. Records of jobs, with the signs of life, wait
// for no lane: an owner that was held up by one partition that was away fell silent, and
// lost all its jobs to others, which were held up alike.
type outbox struct {
	log  Log
	zlog *zap.Logger
	// retryLog logs failures of which each retry makes one more.
	retryLog   *zap.Logger
	writer     jobs.Writer
	partitions int // partitions of the texts' stream
	// capacity is how many items this process can run; it is told with each
	// record.
	capacity int
	// needsHeartbeat tells whether this process has to show that it lives.
	needsHeartbeat func() bool
	// onTextAppended is told each text that the log has taken.
	onTextAppended func(textKey, string)

	// lastAppendNanos is how long the last append that the log lastAppendNanos was on its way, in
	// nanoseconds.
	lastAppendNanos atomic.Int64

	mu        sync.Mutex
	pending   jobs.Record
	appenders map[int]*partitionAppender // by partition
	urgent    chan struct{}
	// startRun is told of lanes that have something to append.
	startRun func(*partitionAppender)
}

func newOutbox(log Log, writer jobs.Writer, partitions int, needsHeartbeat func() bool, onTextAppended func(textKey, string), zlog *zap.Logger) *outbox {
	return &outbox{
		log: log, zlog: zlog, retryLog: logs.Limited(zlog, retryLogInterval), writer: writer, partitions: max(1, partitions), needsHeartbeat: needsHeartbeat, onTextAppended: onTextAppended,
		appenders: map[int]*partitionAppender{}, urgent: make(chan struct{}, 1),
	}
}

// add changes the pending record; urgent news is appended at once.
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
	default: // one wake-up is enough
	}
}

// addProgress adds to an item's text.
func (o *outbox) addProgress(job *jobs.Job, claim uint64, p jobs.Progress) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.partitionAppender(job.At.Part).textsOf(jobClaim{job.ID, claim})
	t.progress = append(t.progress, p)
}

// addResult ends an item; it is appended at once.
func (o *outbox) addResult(job *jobs.Job, claim uint64, r jobs.Result) {
	if r.GivenUp {
		o.add(true, func(rec *jobs.Record) { rec.Results = append(rec.Results, r) })
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.partitionAppender(job.At.Part)
	t := a.textsOf(jobClaim{job.ID, claim})
	t.results = append(t.results, r)
	o.startIfIdle(a)
}

// addRelease gives a job up behind its text so far.
func (o *outbox) addRelease(job *jobs.Job) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.partitionAppender(job.At.Part)
	a.releases = append(a.releases, job.ID)
	o.startIfIdle(a)
}

// run appends until ctx ends.
func (o *outbox) run(ctx context.Context) {
	var runs sync.WaitGroup
	o.setStartRun(func(a *partitionAppender) { runs.Go(func() { o.runAppender(ctx, a) }) })
	defer func() {
		o.setStartRun(nil) // none may begin beside the wait
		runs.Wait()
	}()
	last := time.Time{} // tells its capacity at once
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
		heartbeat := time.Since(last) >= heartbeatInterval && o.needsHeartbeat() || time.Since(last) >= idle && o.capacity >= fullStepItems
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

// flush appends what is pending for the jobs' stream, or an empty record as a sign of
// life; it tries until it is taken or ctx ends, and tells whether it appended.
func (o *outbox) flush(ctx context.Context, heartbeat bool) bool {
	o.mu.Lock()
	r := o.pending
	o.pending = jobs.Record{}
	o.mu.Unlock()
	if r.Empty() && !heartbeat {
		return false
	}
	records, err := o.encodeRecords(&r)
	if err != nil {
		o.zlog.Error("Records can't be encoded and are lost.", zap.Error(err))
		return false
	}
	for _, batch := range batchRecords(records) {
		if _, ok := o.append(ctx, Stream, batch); !ok {
			return false
		}
	}
	return true
}

// append appends records until the log takes them, refuses them for what they
// are, or ctx ends.
func (o *outbox) append(ctx context.Context, stream string, records [][]byte) (uint64, bool) {
	delay := minRetryDelay
	for {
		start := time.Now()
		offset, err := o.appendOnce(ctx, stream, records)
		if err == nil {
			o.lastAppendNanos.Store(int64(time.Since(start)))
			return offset, true
		}
		if errors.Is(err, platform.ErrLogRefused) {
			return 0, true // a repeat would fail alike, and hold up all that comes after it
		}
		if !sleep.For(ctx, sleep.Jitter(delay)) {
			return 0, false
		}
		delay = min(maxRetryDelay, 2*delay)
	}
}

// appendOnce appends records once. Where that fails, whether they were taken or not, the same
// records may follow: the fold passes over what it has seen.
func (o *outbox) appendOnce(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	offset, err := o.log.AppendAll(ctx, stream, records)
	switch {
	case err == nil:
		appends.Add(1)
	case errors.Is(err, platform.ErrLogRefused):
		appendFailures.Add(1)
		o.zlog.Error("The log refuses records; they are lost.", zap.String("stream", stream), zap.Int("records", len(records)), zap.Error(err))
	default:
		appendFailures.Add(1)
		o.retryLog.Warn("Append failed.", zap.String("stream", stream), zap.Error(err))
	}
	return offset, err
}

// encodeRecords splits r into records of a size that the log takes.
func (o *outbox) encodeRecords(r *jobs.Record) ([][]byte, error) {
	s := &recordSplitter{writer: o.writer}
	s.part = jobs.Record{Writer: o.writer, Capacity: o.capacity, Claims: r.Claims, Leaving: r.Leaving, Engines: r.Engines, Ends: r.Ends}
	for _, start := range r.Starts {
		s.part.Starts = append(s.part.Starts, start)
		s.grow(entryOverheadBytes)
	}
	for _, res := range r.Results {
		s.part.Results = append(s.part.Results, res)
		s.grow(entryOverheadBytes)
	}
	// Jobs are given up behind the text that goes with them.
	s.part.Releases = r.Releases
	if !s.part.Empty() || len(s.records) == 0 {
		s.close()
	}
	return s.records, errors.Trace(s.err)
}

// recordSplitter gathers parts of a record and closes them in time.
type recordSplitter struct {
	writer  jobs.Writer
	part    jobs.Record
	size    int
	records [][]byte
	err     error
}

// grow notes what was added, in bytes.
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

// batchRecords groups records into appends of a size that the log takes.
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
