// Package jobs accepts batch jobs, runs the items of those that this process
// owns, and tells everybody the same results. What must last stands in the
// log; a Book is its fold, and owners only save work.
package jobs

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/sleep"
	"dandelionsill.org/decide/gather"
	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/gateway/signal"
	"dandelionsill.org/platform"
)

// Stream is the stream of the log with the records of batch jobs.
const Stream = "jobs"

// Times of reading the log.
const (
	// tailWait is how long a read waits for a record. An empty answer shows as
	// well that this process is up to date.
	tailWait       = 500 * time.Millisecond
	tailRetryPause = 60 * time.Millisecond
	// maxReadAge is how long after an answer of the log this process still
	// counts as up to date.
	maxReadAge = tailWait + 700*time.Millisecond
	// finishedRetention is how long a job that is over can still be read: the
	// platform's callers may read it for two minutes.
	finishedRetention = 130 * time.Second
	forgetInterval    = 10 * time.Second
)

var (
	recordsFolded = metrics.Counter("jobs_records_folded_total")
	recordsBad    = metrics.Counter("jobs_records_unreadable_total")
	tailFailures  = metrics.Counter("jobs_tail_failures_total")
)

// Log is what the package needs of the platform's log.
type Log interface {
	platform.Log
	// AppendAll adds records that stand together, all or none.
	AppendAll(ctx context.Context, stream string, records [][]byte) (uint64, error)
}

// Index is the fold of the jobs' stream in this process.
type Index struct {
	Changed signal.Signal
	// Texts has the texts of results.
	Texts *TextCache

	// readInterval is the least time between two reads of the log.
	readInterval func() time.Duration

	log  *reader
	zlog *zap.Logger

	mu    sync.Mutex
	state *jobs.State
	// lastRecordAt is when each writer's newest record was read here.
	lastRecordAt map[jobs.Writer]time.Time
	// engineReportedAt is when the last word about an engine was read here.
	engineReportedAt map[jobs.EngineKey]time.Time
	// acceptedAt is when jobs were accepted, by this process's own clock; those that
	// were accepted before it followed the log are not in it.
	acceptedAt map[string]time.Time
	// stepTimes tells how long the stepTimes of each model take, and enough which jobs were seen
	// to have all that their trainers wait for.
	stepTimes  map[string]*gather.StepTimes
	satisfied  map[string]bool
	nextOffset uint64
	// asOf is when the read that last reached the log's end was sent: all that
	// was acknowledged before it is folded.
	asOf time.Time
	// readableSince is when reads began to succeed after the last failure, and unreadableSince when they
	// had begun to fail then.
	readableSince, unreadableSince time.Time
	// gaps counts how often records were missed, and gapOver is when all jobs that
	// the last gap may concern are over.
	gaps      int
	gapEndsAt time.Time
}

// NewIndex returns a book that has read nothing.
func NewIndex(log Log, zlog *zap.Logger) *Index {
	reader := newReader(log)
	return &Index{
		Texts: newTextCache(reader, zlog), readInterval: func() time.Duration { return 0 }, log: reader, zlog: zlog, state: jobs.New(),
		lastRecordAt: map[jobs.Writer]time.Time{}, engineReportedAt: map[jobs.EngineKey]time.Time{}, acceptedAt: map[string]time.Time{},
		stepTimes: map[string]*gather.StepTimes{}, satisfied: map[string]bool{},
	}
}

// maxReadShare is the part of the store's reads that following the log may take in
// all processes together. Each append wakes every process: unbounded, 360 of
// them would make 21,000 calls a second, and the store turns all away beyond its
// rate.
const maxReadShare = 0.5

// ReadInterval returns the least time between two reads of the log of one of some
// processes, of a store that takes readsPerS calls a second; 0: not told.
func ReadInterval(processes int, readsPerS float64) time.Duration {
	if readsPerS <= 0 {
		return 0
	}
	return time.Duration(float64(processes) / (maxReadShare * readsPerS) * float64(time.Second))
}

// SetReadInterval tells how far apart reads of the log have to be; it is called before
// Run.
func (x *Index) SetReadInterval(interval func() time.Duration) { x.readInterval = interval }

// Run follows the log until ctx ends.
func (x *Index) Run(ctx context.Context) {
	failing := false
	nextForget := time.Now().Add(forgetInterval)
	for ctx.Err() == nil {
		sent := time.Now()
		page, err := x.log.read(ctx, Stream, x.nextOffset, tailWait)
		switch {
		case err == nil:
			if failing {
				x.zlog.Info("The log is back.", zap.Uint64("offset", x.nextOffset))
			}
			failing = false
			x.foldPage(page, sent)
			if page.Next >= page.End {
				sleep.For(ctx, x.readInterval()-time.Since(sent))
			}
		case errors.Is(err, platform.ErrTruncated):
			x.skipTo(page.First, sent)
		case ctx.Err() != nil:
			return
		default:
			tailFailures.Add(1)
			if !failing {
				x.zlog.Warn("Lost the log.", zap.Uint64("offset", x.nextOffset), zap.Error(err))
			}
			failing = true
			x.recordReadFailure()
			sleep.For(ctx, sleep.Jitter(tailRetryPause))
		}
		if time.Now().After(nextForget) {
			x.forgetFinished()
			nextForget = time.Now().Add(forgetInterval)
		}
	}
}

// skipTo goes on at the first record that is kept. A reader that was too slow, or
// suspended for longer than the log keeps records, has missed some: jobs that it
// does not know may stand, and positions of results that it knows would be wrong,
// for a position is the number of results before. So it begins anew, as after a
// start, and until all jobs of before are over it counts as not caught up: it says
// of no job that there is none, and accepts none.
func (x *Index) skipTo(first uint64, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.zlog.Warn("Records are no longer kept.", zap.Uint64("offset", x.nextOffset), zap.Uint64("first", first), zap.Int("jobs", len(x.state.Jobs)))
	if x.nextOffset > 0 && first > x.nextOffset {
		x.state = jobs.New()
		clear(x.acceptedAt)
		x.asOf = time.Time{}
		x.gaps++
		x.gapEndsAt = now.Add(finishedRetention)
	}
	x.nextOffset = max(x.nextOffset, first)
}

// missedRecords tells whether records were missedRecords that may concern jobs of now; mu is
// held.
func (x *Index) missedRecords(now time.Time) bool { return now.Before(x.gapEndsAt) }

func (x *Index) recordReadFailure() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.readableSince.IsZero() {
		x.unreadableSince = time.Now()
	}
	x.readableSince = time.Time{}
}

func (x *Index) forgetFinished() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.state.Forget(time.Now().Add(-finishedRetention).UnixMilli())
	maps.DeleteFunc(x.acceptedAt, func(id string, _ time.Time) bool { return x.state.Jobs[id] == nil })
	maps.DeleteFunc(x.satisfied, func(id string, _ bool) bool { return x.state.Jobs[id] == nil })
}

// observeSteps learns how long the jobs took that have got results; mu is held.
func (x *Index) observeSteps(results []jobs.Result, now time.Time) {
	for i := range results {
		j := x.state.Jobs[results[i].Job]
		if j == nil || j.Ended || x.satisfied[j.ID] || !j.Enough() {
			continue
		}
		x.satisfied[j.ID] = true
		at, seen := x.acceptedAt[j.ID]
		if !seen {
			continue
		}
		if x.stepTimes[j.Model] == nil {
			x.stepTimes[j.Model] = &gather.StepTimes{}
		}
		x.stepTimes[j.Model].Observe(now.Sub(at))
	}
}

// expectedWait is how long from now a job's trainer will likely have all that it waits for;
// 0: that is not known. mu is held.
func (x *Index) expectedWait(j *jobs.Job, now time.Time) time.Duration {
	median := x.stepTimes[j.Model].Median()
	if median == 0 {
		return 0
	}
	return median - x.age(j, now)
}

// age is how long ago a job was handed in. The time of day of the process that took
// it may have jumped since, so that it is asked only where this process did not see
// the job come; mu is held.
func (x *Index) age(j *jobs.Job, now time.Time) time.Duration {
	if at, seen := x.acceptedAt[j.ID]; seen {
		return now.Sub(at)
	}
	return max(0, now.Sub(time.UnixMilli(j.SubmittedMS)))
}

// foldPage applies a page that was asked for at a time.
func (x *Index) foldPage(page platform.Page, sent time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	if x.readableSince.IsZero() {
		x.readableSince = now
	}
	for _, rec := range page.Records {
		x.apply(rec, now)
	}
	x.nextOffset = page.Next
	if page.Next >= page.End {
		if x.asOf.IsZero() {
			x.zlog.Info("Read the log to its end.", zap.Uint64("offset", page.Next), zap.Int("jobs", len(x.state.Jobs)), zap.Int("open", x.state.Open()))
		}
		x.asOf = sent
	}
	if len(page.Records) > 0 {
		x.Changed.Notify()
	}
}

func (x *Index) apply(rec platform.Record, now time.Time) {
	r, err := jobs.Decode(rec.Data)
	if err != nil {
		recordsBad.Add(1)
		x.zlog.Warn("A record can't be read and is left out.", zap.Uint64("offset", rec.Offset), zap.Error(err))
		return
	}
	recordsFolded.Add(1)
	x.lastRecordAt[r.Writer] = now
	for _, e := range r.Engines {
		x.engineReportedAt[jobs.EngineKey{Server: e.Server, Model: e.Model}] = now
	}
	change := x.state.Apply(rec.Offset, r)
	if x.asOf.IsZero() {
		return // the past was told when it happened
	}
	for _, id := range change.Accepted {
		x.acceptedAt[id] = now
	}
	x.observeSteps(r.Results, now)
	x.logChange(rec.Offset, change)
}

// logChange logs what a record has changed; mu is held.
func (x *Index) logChange(offset uint64, change jobs.Change) {
	for _, id := range change.Accepted {
		j := x.state.Jobs[id]
		x.zlog.Info("Batch job.", zap.String("job", id), zap.Int("step", j.Step), zap.String("model", j.Model),
			zap.Int("items", j.Total), zap.Duration("due", time.Duration(j.DueMS)*time.Millisecond), zap.Uint64("floor", j.MinVersion),
			zap.Uint64("offset", offset), zap.String("owner", j.Owner.Node))
	}
	for _, id := range change.Owned {
		x.zlog.Info("Batch job has a new owner.", zap.String("job", id), zap.Uint64("offset", offset),
			zap.String("owner", x.state.Jobs[id].Owner.Node), zap.Bool("released", x.state.Jobs[id].Released))
	}
	for _, id := range change.Ended {
		j := x.state.Jobs[id]
		x.zlog.Info("Batch job is over.", zap.String("job", id), zap.Int("results", len(j.Results)), zap.Int("items", j.Total),
			zap.Bool("ended", j.Ended), zap.Uint64("offset", offset))
	}
}

// silenceOf is how long nothing was read of a writer, the time not counted in which the log
// could not be read; mu is held.
func (x *Index) silenceOf(w jobs.Writer, now time.Time) time.Duration {
	last := x.lastRecordAt[w]
	switch {
	case !last.Before(x.readableSince):
		return now.Sub(last)
	case last.Before(x.unreadableSince):
		return now.Sub(x.readableSince) + x.unreadableSince.Sub(last)
	default:
		return now.Sub(x.readableSince)
	}
}

// isOwnedBy tells whether a writer owns a job and has not given it up.
func (x *Index) isOwnedBy(job string, w jobs.Writer) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state.Owned(job, w) != nil
}

// Sync waits until all that was acknowledged before the call is folded here;
// false: ctx ended first. It asks the log for its end, for the tail's own read
// may wait there for long.
func (x *Index) Sync(ctx context.Context) bool {
	end, ok := x.endOffset(ctx)
	return ok && x.waitUntil(ctx, func() bool { return x.nextOffset >= end })
}

// waitUntil waits until a condition on the fold holds, which is asked with mu held; false:
// ctx ended first.
func (x *Index) waitUntil(ctx context.Context, holds func() bool) bool {
	for {
		changed := x.Changed.Next()
		x.mu.Lock()
		done := holds()
		x.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// endOffset returns the offset behind the log's last record; false: ctx ended first.
func (x *Index) endOffset(ctx context.Context) (uint64, bool) {
	for {
		x.mu.Lock()
		from := x.nextOffset
		x.mu.Unlock()
		endOffset, err := x.log.endOffset(ctx, Stream, from)
		if err == nil {
			return endOffset, true
		}
		if !sleep.For(ctx, tailRetryPause) {
			return 0, false
		}
	}
}

// CaughtUp tells whether this process has read to the log's end since its start,
// and missed nothing. Before that it has folded a part of the past: it would give
// fewer results of a job than others have given.
func (x *Index) CaughtUp() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.asOf.IsZero() && !x.missedRecords(time.Now())
}

// HasMissedRecords tells whether jobs may stand that this process will not hear of.
func (x *Index) HasMissedRecords() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.missedRecords(time.Now())
}

// UpToDate tells whether this process follows the log without a gap now.
func (x *Index) UpToDate() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.upToDate(time.Now())
}

func (x *Index) upToDate(now time.Time) bool {
	return !x.readableSince.IsZero() && now.Sub(x.asOf) < maxReadAge
}
