// Package jobs accepts batch jobs, runs the items of the jobs that this process owns, and
// returns the same results in every process. All durable state is in the log; an Index
// holds the state folded from it. Ownership only avoids duplicate work.
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
	"dandelionsill.org/decide/cold"
	"dandelionsill.org/decide/gather"
	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/gateway/signal"
	"dandelionsill.org/platform"
)

// Stream is the log's stream of batch job records.
const Stream = "jobs"

// Time limits of reading the log.
const (
	// tailWait is how long a read waits for a record. An empty page, too, shows that
	// this process is up to date.
	tailWait       = 500 * time.Millisecond
	tailRetryPause = 60 * time.Millisecond
	// maxReadAge is how long after a successful read this process still counts as up to
	// date.
	maxReadAge = tailWait + 700*time.Millisecond
	// finishedRetention is how long a finished job can be read: the platform lets callers
	// read it for two minutes.
	finishedRetention = 130 * time.Second
	forgetInterval    = 10 * time.Second
)

var (
	recordsFolded = metrics.Counter("jobs_records_folded_total")
	recordsBad    = metrics.Counter("jobs_records_unreadable_total")
	tailFailures  = metrics.Counter("jobs_tail_failures_total")
)

// Log is the part of the platform's log that this package uses.
type Log interface {
	platform.Log
	// AppendAll appends consecutive records, all or none, and returns the first offset.
	AppendAll(ctx context.Context, stream string, records [][]byte) (uint64, error)
}

// Index holds the state of all batch jobs as folded from the jobs' stream by this process.
type Index struct {
	Changed signal.Signal
	// Texts returns the texts of results.
	Texts *TextCache

	// readInterval returns the minimum time between two reads of the log.
	readInterval func() time.Duration

	log    *reader
	zlog   *zap.Logger
	places Places

	mu    sync.Mutex
	state *jobs.State
	// senders are the processes that may send samples, by VM.
	senders *cold.Senders
	// lastRecordAt is when this process read the newest record of each writer.
	lastRecordAt map[jobs.Writer]time.Time
	// engineReportedAt is when this process read the newest report about an engine.
	engineReportedAt map[jobs.EngineKey]time.Time
	// acceptedAt is when this process read that a job was accepted, by its own clock. It
	// lacks the jobs that were accepted before this process followed the log.
	acceptedAt map[string]time.Time
	// stepTimes estimates how long steps of each model take; satisfied contains the jobs
	// that were seen to have all results that their trainers wait for.
	stepTimes  map[string]*gather.StepTimes
	satisfied  map[string]bool
	nextOffset uint64
	// asOf is when the read that last reached the log's end was sent. All records that
	// were acknowledged before it are folded.
	asOf time.Time
	// readableSince is the start of the current period of successful reads, zero while
	// reads fail. unreadableSince is the start of the last period of failing reads.
	readableSince, unreadableSince time.Time
	// gaps counts how often records were missed; gapEndsAt is when all jobs that the
	// last gap may affect have ended.
	gaps      int
	gapEndsAt time.Time
}

// NewIndex returns an index that has read no records.
func NewIndex(log Log, zlog *zap.Logger) *Index {
	reader := newReader(log)
	return &Index{
		Texts: newTextCache(reader, zlog), readInterval: func() time.Duration { return 0 }, log: reader, zlog: zlog, state: jobs.New(),
		lastRecordAt: map[jobs.Writer]time.Time{}, engineReportedAt: map[jobs.EngineKey]time.Time{}, acceptedAt: map[string]time.Time{},
		stepTimes: map[string]*gather.StepTimes{}, senders: cold.NewSenders(), satisfied: map[string]bool{},
	}
}

// maxReadShare is the share of the store's reads that all processes together may spend on
// following the log. Each append ends the waiting read of every process: without a limit,
// 360 processes would make 21,000 calls a second, and beyond its rate the store refuses
// all calls.
const maxReadShare = 0.5

// ReadInterval returns the minimum time between two reads of the log by one of several
// processes; the store accepts readsPerS calls a second. 0: the rate is not known.
func ReadInterval(processes int, readsPerS float64) time.Duration {
	if readsPerS <= 0 {
		return 0
	}
	return time.Duration(float64(processes) / (maxReadShare * readsPerS) * float64(time.Second))
}

// SetReadInterval sets the function that returns the minimum time between two reads of the
// log. It must be called before Run.
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
			x.foldPage(page, sent.Add(-page.Age))
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

// skipTo continues at the first record that the log still keeps. A reader that was too slow,
// or was suspended for longer than the log keeps records, has missed some. Then there may be
// jobs that it does not know, and the positions of results that it knows would be wrong,
// because a position is the number of earlier results. So it starts from an empty state, and
// does not count as caught up until all jobs from before the gap have ended: meanwhile it
// reports no job as missing and accepts none.
func (x *Index) skipTo(first uint64, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.zlog.Warn("Skipping records that the log no longer keeps.", zap.Uint64("offset", x.nextOffset), zap.Uint64("first", first), zap.Int("jobs", len(x.state.Jobs)))
	if x.nextOffset > 0 && first > x.nextOffset {
		x.state = jobs.New()
		clear(x.acceptedAt)
		x.asOf = time.Time{}
		x.gaps++
		x.gapEndsAt = now.Add(finishedRetention)
	}
	x.nextOffset = max(x.nextOffset, first)
}

// missedRecords reports whether records were missed that may affect current jobs; mu is
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

// observeSteps records how long the steps took that got their last required result; mu is held.
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

// expectedWait returns in how long a job's trainer will likely have all results that it waits
// for; 0: unknown. mu is held.
func (x *Index) expectedWait(j *jobs.Job, now time.Time) time.Duration {
	median := x.stepTimes[j.Model].Median()
	if median == 0 {
		return 0
	}
	return median - x.age(j, now)
}

// age returns how long ago a job was submitted; mu is held. The wall clock of the process that
// accepted the job may have jumped since, so its timestamp is used only if this process did
// not see the job being accepted.
func (x *Index) age(j *jobs.Job, now time.Time) time.Duration {
	if at, seen := x.acceptedAt[j.ID]; seen {
		return now.Sub(at)
	}
	return max(0, now.Sub(time.UnixMilli(j.SubmittedMS)))
}

// foldPage applies a page that contains all records that were acknowledged before the given time,
// if it reaches the log's end.
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
			x.zlog.Info("Read the log to its end.", zap.Uint64("offset", page.Next), zap.Int("jobs", len(x.state.Jobs)), zap.Int("open", x.state.CountOpen()))
		}
		if sent.After(x.asOf) {
			x.asOf = sent
		}
	}
	if len(page.Records) > 0 {
		x.Changed.Notify()
	}
}

func (x *Index) apply(rec platform.Record, now time.Time) {
	r, err := jobs.Decode(rec.Data)
	if err != nil {
		recordsBad.Add(1)
		x.zlog.Warn("Skipping a record that can't be decoded.", zap.Uint64("offset", rec.Offset), zap.Error(err))
		return
	}
	recordsFolded.Add(1)
	x.lastRecordAt[r.Writer] = now
	for _, e := range r.Engines {
		x.engineReportedAt[jobs.EngineKey{Server: e.Server, Model: e.Model}] = now
	}
	change := x.state.Apply(rec.Offset, r)
	x.recordSenders(rec.Offset, r, &change, now)
	if x.asOf.IsZero() {
		return // past changes were logged when they happened
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
			zap.Uint64("offset", offset), zap.String("owner", j.Owner.VM))
	}
	for _, id := range change.Owned {
		x.zlog.Info("Batch job has a new owner.", zap.String("job", id), zap.Uint64("offset", offset),
			zap.String("owner", x.state.Jobs[id].Owner.VM), zap.Bool("released", x.state.Jobs[id].Released))
	}
	for _, id := range change.Ended {
		j := x.state.Jobs[id]
		x.zlog.Info("Batch job is over.", zap.String("job", id), zap.Int("results", len(j.Results)), zap.Int("items", j.Total),
			zap.Bool("ended", j.Ended), zap.Uint64("offset", offset))
	}
}

// silenceOf returns how long no record of a writer was read, without the time in which the
// log could not be read; mu is held.
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

// isOwnedBy reports whether a writer owns a job and has not released it.
func (x *Index) isOwnedBy(job string, w jobs.Writer) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state.Owned(job, w) != nil
}

// Sync waits until all records that were acknowledged before the call are folded; it returns
// false if ctx ended first. It asks the log for its end, because the read in progress may
// wait long for a record.
func (x *Index) Sync(ctx context.Context) bool {
	end, ok := x.endOffset(ctx)
	return ok && x.waitUntil(ctx, func() bool { return x.nextOffset >= end })
}

// waitUntil waits until holds returns true, and returns false if ctx ended first. holds is
// called with mu held.
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

// endOffset returns the offset after the log's last record; false: ctx ended first.
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

// CaughtUp reports whether this process has read to the log's end since its start and missed
// no records. Before that its state is a prefix of the log: it would return fewer results of
// a job than other processes have returned.
func (x *Index) CaughtUp() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.asOf.IsZero() && !x.missedRecords(time.Now())
}

// HasMissedRecords reports whether there may be jobs that this process will never read about.
func (x *Index) HasMissedRecords() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.missedRecords(time.Now())
}

// UpToDate reports whether this process follows the log without a delay now.
func (x *Index) UpToDate() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.upToDate(time.Now())
}

func (x *Index) upToDate(now time.Time) bool {
	return !x.readableSince.IsZero() && now.Sub(x.asOf) < maxReadAge
}
