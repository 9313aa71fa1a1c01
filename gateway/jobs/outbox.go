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
	// flushEvery is how old news of a stream gets before it is appended. Text
	// younger than this is made again when its owner dies.
	flushEvery = 250 * time.Millisecond
	// flushGap lies between two appends of urgent news, so that results of
	// one moment share an append.
	flushGap = 15 * time.Millisecond
	// beatEvery is how often an owner shows that it lives.
	beatEvery = 350 * time.Millisecond
	// idleBeat is how often at least a process that can run a whole step shows that it
	// lives while it owns nothing, so that a step is given to it rather than to
	// a small one. It does so up to a third sooner, by chance: processes that started
	// together would go on appending together, and the log takes one append after the
	// other, so that results would wait behind them.
	idleBeat   = 3 * time.Second
	retryFirst = 40 * time.Millisecond
	retryMost  = 300 * time.Millisecond
	// retriesEvery is how often a line tells that appends, or calls for texts, fail.
	retriesEvery = time.Second
	// recordMost is the size at which a record is closed, in bytes of text; the
	// platform takes 256 KB a record.
	recordMost = 96 << 10
	// callMost is the size of one append, in bytes; the platform takes 2 MB.
	callMost = 1 << 20
	// startBytes and eventBytes are what an entry and an event take beside
	// their text.
	startBytes = 150
	eventBytes = 24
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
	// retries logs failures of which each retry makes one more.
	retries *zap.Logger
	writer  jobs.Writer
	parts   int // partitions of the texts' stream
	// capacity is how many items this process can run; it is told with each
	// record.
	capacity int
	// owning tells whether this process has to show that it lives.
	owning func() bool
	// kept is told each text that the log has taken.
	kept func(textKey, string)

	// took is how long the last append that the log took was on its way, in
	// nanoseconds.
	took atomic.Int64

	mu      sync.Mutex
	pending jobs.Record
	lanes   map[int]*lane // by partition
	urgent  chan struct{}
	// flushing is told of lanes that have something to append.
	flushing func(*lane)
}

func newOutbox(log Log, writer jobs.Writer, parts int, owning func() bool, kept func(textKey, string), zlog *zap.Logger) *outbox {
	return &outbox{
		log: log, zlog: zlog, retries: logs.Limited(zlog, retriesEvery), writer: writer, parts: max(1, parts), owning: owning, kept: kept,
		lanes: map[int]*lane{}, urgent: make(chan struct{}, 1),
	}
}

// add changes the pending record; urgent news is appended at once.
func (o *outbox) add(urgent bool, change func(*jobs.Record)) {
	o.mu.Lock()
	change(&o.pending)
	o.mu.Unlock()
	if urgent {
		o.rouse()
	}
}

func (o *outbox) rouse() {
	select {
	case o.urgent <- struct{}{}:
	default: // one wake-up is enough
	}
}

// progress adds to an item's text.
func (o *outbox) progress(job *jobs.Job, claim uint64, p jobs.Progress) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.lane(job.ItemsRef.Partition).of(claimed{job.ID, claim})
	t.progress = append(t.progress, p)
}

// result ends an item; it is appended at once.
func (o *outbox) result(job *jobs.Job, claim uint64, r jobs.Result) {
	if r.GivenUp {
		o.add(true, func(rec *jobs.Record) { rec.Results = append(rec.Results, r) })
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.lane(job.ItemsRef.Partition)
	t := l.of(claimed{job.ID, claim})
	t.results = append(t.results, r)
	o.kick(l)
}

// release gives a job up behind its text so far.
func (o *outbox) release(job *jobs.Job) {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.lane(job.ItemsRef.Partition)
	l.releases = append(l.releases, job.ID)
	o.kick(l)
}

// run appends until ctx ends.
func (o *outbox) run(ctx context.Context) {
	var lanes sync.WaitGroup
	o.setFlushing(func(l *lane) { lanes.Go(func() { o.runLane(ctx, l) }) })
	defer func() {
		o.setFlushing(nil) // none may begin beside the wait
		lanes.Wait()
	}()
	last := time.Time{} // tells its capacity at once
	idle := idleBeat
	tick := time.NewTicker(flushEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.urgent:
			sleep.For(ctx, flushGap-time.Since(last))
		case <-tick.C:
			o.kickAll()
		}
		beat := time.Since(last) >= beatEvery && o.owning() || time.Since(last) >= idle && o.capacity >= ableItems
		if o.flush(ctx, beat) {
			last = time.Now()
			idle = idleBeat - rand.N(idleBeat/3)
		}
	}
}

func (o *outbox) setFlushing(flushing func(*lane)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.flushing = flushing
}

// flush appends what is pending for the jobs' stream, or an empty record as a sign of
// life; it tries until it is taken or ctx ends, and tells whether it appended.
func (o *outbox) flush(ctx context.Context, beat bool) bool {
	o.mu.Lock()
	r := o.pending
	o.pending = jobs.Record{}
	o.mu.Unlock()
	if r.IsEmpty() && !beat {
		return false
	}
	records, err := o.encode(&r)
	if err != nil {
		o.zlog.Error("Records can't be encoded and are lost.", zap.Error(err))
		return false
	}
	for _, call := range calls(records) {
		if _, ok := o.append(ctx, Stream, call); !ok {
			return false
		}
	}
	return true
}

// append appends records until the log takes them, refuses them for what they
// are, or ctx ends.
func (o *outbox) append(ctx context.Context, stream string, records [][]byte) (uint64, bool) {
	delay := retryFirst
	for {
		begun := time.Now()
		offset, err := o.try(ctx, stream, records)
		if err == nil {
			o.took.Store(int64(time.Since(begun)))
			return offset, true
		}
		if errors.Is(err, platform.ErrLogRefused) {
			return 0, true // a repeat would fail alike, and hold up all that comes after it
		}
		if !sleep.For(ctx, sleep.Jitter(delay)) {
			return 0, false
		}
		delay = min(retryMost, 2*delay)
	}
}

// try appends records once. Where that fails, whether they were taken or not, the same
// records may follow: the fold passes over what it has seen.
func (o *outbox) try(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	offset, err := o.log.AppendAll(ctx, stream, records)
	switch {
	case err == nil:
		appends.Add(1)
	case errors.Is(err, platform.ErrLogRefused):
		appendFailures.Add(1)
		o.zlog.Error("The log refuses records; they are lost.", zap.String("stream", stream), zap.Int("records", len(records)), zap.Error(err))
	default:
		appendFailures.Add(1)
		o.retries.Warn("Append failed.", zap.String("stream", stream), zap.Error(err))
	}
	return offset, err
}

// encode splits r into records of a size that the log takes.
func (o *outbox) encode(r *jobs.Record) ([][]byte, error) {
	s := &splitter{writer: o.writer}
	s.part = jobs.Record{Writer: o.writer, Capacity: o.capacity, Claims: r.Claims, Leaving: r.Leaving, Engines: r.Engines, Ends: r.Ends}
	for _, start := range r.Starts {
		s.part.Starts = append(s.part.Starts, start)
		s.grow(startBytes)
	}
	for _, res := range r.Results {
		s.part.Results = append(s.part.Results, res)
		s.grow(startBytes)
	}
	// Jobs are given up behind the text that goes with them.
	s.part.Releases = r.Releases
	if !s.part.IsEmpty() || len(s.records) == 0 {
		s.close()
	}
	return s.records, errors.Trace(s.err)
}

// splitter gathers parts of a record and closes them in time.
type splitter struct {
	writer  jobs.Writer
	part    jobs.Record
	size    int
	records [][]byte
	err     error
}

// grow notes what was added, in bytes.
func (s *splitter) grow(size int) {
	s.size += size
	if s.size > recordMost {
		s.close()
	}
}

func (s *splitter) close() {
	data, err := s.part.Encode()
	if err != nil && s.err == nil {
		s.err = err
	}
	s.records = append(s.records, data)
	s.part, s.size = jobs.Record{Writer: s.writer}, 0
}

// calls groups records into appends of a size that the log takes.
func calls(records [][]byte) [][][]byte {
	var out [][][]byte
	size := 0
	for _, r := range records {
		if len(out) == 0 || size+len(r) > callMost {
			out, size = append(out, nil), 0
		}
		out[len(out)-1] = append(out[len(out)-1], r)
		size += len(r)
	}
	return out
}
