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
	tailWait  = 500 * time.Millisecond
	tailRetry = 60 * time.Millisecond
	// freshFor is how long after an answer of the log this process still
	// counts as up to date.
	freshFor = tailWait + 700*time.Millisecond
	// keepFinished is how long a job that is over can still be read: the
	// platform's callers may read it for two minutes.
	keepFinished = 130 * time.Second
	forgetEvery  = 10 * time.Second
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

// Book is the fold of the jobs' stream in this process.
type Book struct {
	Changed signal.Signal
	// Texts has the texts of results.
	Texts *Library

	// pace is the least time between two reads of the log.
	pace func() time.Duration

	log  *reader
	zlog *zap.Logger

	mu    sync.Mutex
	state *jobs.State
	// heard is when each writer's newest record was read here.
	heard map[jobs.Writer]time.Time
	// engineAt is when the last word about an engine was read here.
	engineAt map[jobs.EngineKey]time.Time
	// arrived is when jobs were accepted, by this process's own clock; those that
	// were accepted before it followed the log are not in it.
	arrived map[string]time.Time
	// steps tells how long the steps of each model take, and enough which jobs were seen
	// to have all that their trainers wait for.
	steps  map[string]*gather.StepTimes
	enough map[string]bool
	next   uint64
	// asOf is when the read that last reached the log's end was sent: all that
	// was acknowledged before it is folded.
	asOf time.Time
	// since is when reads began to succeed after the last failure, and lost when they
	// had begun to fail then.
	since, lost time.Time
	// gaps counts how often records were missed, and gapOver is when all jobs that
	// the last gap may concern are over.
	gaps    int
	gapOver time.Time
}

// NewBook returns a book that has read nothing.
func NewBook(log Log, zlog *zap.Logger) *Book {
	reader := newReader(log)
	return &Book{
		Texts: newLibrary(reader, zlog), pace: func() time.Duration { return 0 }, log: reader, zlog: zlog, state: jobs.New(),
		heard: map[jobs.Writer]time.Time{}, engineAt: map[jobs.EngineKey]time.Time{}, arrived: map[string]time.Time{},
		steps: map[string]*gather.StepTimes{}, enough: map[string]bool{},
	}
}

// tailShare is the part of the store's reads that following the log may take in
// all processes together. Each append wakes every process: unbounded, 360 of
// them would make 21,000 calls a second, and the store turns all away beyond its
// rate.
const tailShare = 0.5

// Pace returns the least time between two reads of the log of one of some
// processes, of a store that takes readsPerS calls a second; 0: not told.
func Pace(processes int, readsPerS float64) time.Duration {
	if readsPerS <= 0 {
		return 0
	}
	return time.Duration(float64(processes) / (tailShare * readsPerS) * float64(time.Second))
}

// SetPace tells how far apart reads of the log have to be; it is called before
// Run.
func (b *Book) SetPace(pace func() time.Duration) { b.pace = pace }

// Run follows the log until ctx ends.
func (b *Book) Run(ctx context.Context) {
	lost := false
	forget := time.Now().Add(forgetEvery)
	for ctx.Err() == nil {
		sent := time.Now()
		page, err := b.log.read(ctx, Stream, b.next, tailWait)
		switch {
		case err == nil:
			if lost {
				b.zlog.Info("The log is back.", zap.Uint64("offset", b.next))
			}
			lost = false
			b.fold(page, sent)
			if page.Next >= page.End {
				sleep.For(ctx, b.pace()-time.Since(sent))
			}
		case errors.Is(err, platform.ErrTruncated):
			b.skip(page.First, sent)
		case ctx.Err() != nil:
			return
		default:
			tailFailures.Add(1)
			if !lost {
				b.zlog.Warn("Lost the log.", zap.Uint64("offset", b.next), zap.Error(err))
			}
			lost = true
			b.failed()
			sleep.For(ctx, sleep.Jitter(tailRetry))
		}
		if time.Now().After(forget) {
			b.forget()
			forget = time.Now().Add(forgetEvery)
		}
	}
}

// skip goes on at the first record that is kept. A reader that was too slow, or
// suspended for longer than the log keeps records, has missed some: jobs that it
// does not know may stand, and positions of results that it knows would be wrong,
// for a position is the number of results before. So it begins anew, as after a
// start, and until all jobs of before are over it counts as not caught up: it says
// of no job that there is none, and accepts none.
func (b *Book) skip(first uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.zlog.Warn("Records are no longer kept.", zap.Uint64("offset", b.next), zap.Uint64("first", first), zap.Int("jobs", len(b.state.Jobs)))
	if b.next > 0 && first > b.next {
		b.state = jobs.New()
		clear(b.arrived)
		b.asOf = time.Time{}
		b.gaps++
		b.gapOver = now.Add(keepFinished)
	}
	b.next = max(b.next, first)
}

// missed tells whether records were missed that may concern jobs of now; mu is
// held.
func (b *Book) missed(now time.Time) bool { return now.Before(b.gapOver) }

func (b *Book) failed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.since.IsZero() {
		b.lost = time.Now()
	}
	b.since = time.Time{}
}

func (b *Book) forget() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Forget(time.Now().Add(-keepFinished).UnixMilli())
	maps.DeleteFunc(b.arrived, func(id string, _ time.Time) bool { return b.state.Jobs[id] == nil })
	maps.DeleteFunc(b.enough, func(id string, _ bool) bool { return b.state.Jobs[id] == nil })
}

// noteSteps learns how long the jobs took that have got results; mu is held.
func (b *Book) noteSteps(results []jobs.Result, now time.Time) {
	for i := range results {
		j := b.state.Jobs[results[i].Job]
		if j == nil || j.Ended || b.enough[j.ID] || !j.Enough() {
			continue
		}
		b.enough[j.ID] = true
		at, seen := b.arrived[j.ID]
		if !seen {
			continue
		}
		if b.steps[j.Model] == nil {
			b.steps[j.Model] = &gather.StepTimes{}
		}
		b.steps[j.Model].Observe(now.Sub(at))
	}
}

// expected is how long from now a job's trainer will likely have all that it waits for;
// 0: that is not known. mu is held.
func (b *Book) expected(j *jobs.Job, now time.Time) time.Duration {
	usual := b.steps[j.Model].Median()
	if usual == 0 {
		return 0
	}
	return usual - b.age(j, now)
}

// age is how long ago a job was handed in. The time of day of the process that took
// it may have jumped since, so that it is asked only where this process did not see
// the job come; mu is held.
func (b *Book) age(j *jobs.Job, now time.Time) time.Duration {
	if at, seen := b.arrived[j.ID]; seen {
		return now.Sub(at)
	}
	return max(0, now.Sub(time.UnixMilli(j.SubmittedMS)))
}

// fold applies a page that was asked for at a time.
func (b *Book) fold(page platform.Page, sent time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if b.since.IsZero() {
		b.since = now
	}
	for _, rec := range page.Records {
		b.apply(rec, now)
	}
	b.next = page.Next
	if page.Next >= page.End {
		if b.asOf.IsZero() {
			b.zlog.Info("Read the log to its end.", zap.Uint64("offset", page.Next), zap.Int("jobs", len(b.state.Jobs)), zap.Int("open", b.state.CountOpen()))
		}
		b.asOf = sent
	}
	if len(page.Records) > 0 {
		b.Changed.Notify()
	}
}

func (b *Book) apply(rec platform.Record, now time.Time) {
	r, err := jobs.Decode(rec.Data)
	if err != nil {
		recordsBad.Add(1)
		b.zlog.Warn("A record can't be read and is left out.", zap.Uint64("offset", rec.Offset), zap.Error(err))
		return
	}
	recordsFolded.Add(1)
	b.heard[r.Writer] = now
	for _, e := range r.Engines {
		b.engineAt[jobs.EngineKey{Server: e.Server, Model: e.Model}] = now
	}
	change := b.state.Apply(rec.Offset, r)
	if b.asOf.IsZero() {
		return // the past was told when it happened
	}
	for _, id := range change.Accepted {
		b.arrived[id] = now
	}
	b.noteSteps(r.Results, now)
	b.tell(rec.Offset, change)
}

// tell logs what a record has changed; mu is held.
func (b *Book) tell(offset uint64, change jobs.Change) {
	for _, id := range change.Accepted {
		j := b.state.Jobs[id]
		b.zlog.Info("Batch job.", zap.String("job", id), zap.Int("step", j.Step), zap.String("model", j.Model),
			zap.Int("items", j.Total), zap.Duration("due", time.Duration(j.DueMS)*time.Millisecond), zap.Uint64("floor", j.MinVersion),
			zap.Uint64("offset", offset), zap.String("owner", j.Owner.Node))
	}
	for _, id := range change.Owned {
		b.zlog.Info("Batch job has a new owner.", zap.String("job", id), zap.Uint64("offset", offset),
			zap.String("owner", b.state.Jobs[id].Owner.Node), zap.Bool("released", b.state.Jobs[id].Released))
	}
	for _, id := range change.Ended {
		j := b.state.Jobs[id]
		b.zlog.Info("Batch job is over.", zap.String("job", id), zap.Int("results", len(j.Results)), zap.Int("items", j.Total),
			zap.Bool("ended", j.Ended), zap.Uint64("offset", offset))
	}
}

// silent is how long nothing was read of a writer, the time not counted in which the log
// could not be read; mu is held.
func (b *Book) silent(w jobs.Writer, now time.Time) time.Duration {
	heard := b.heard[w]
	switch {
	case !heard.Before(b.since):
		return now.Sub(heard)
	case heard.Before(b.lost):
		return now.Sub(b.since) + b.lost.Sub(heard)
	default:
		return now.Sub(b.since)
	}
}

// owned tells whether a writer owns a job and has not given it up.
func (b *Book) owned(job string, w jobs.Writer) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Owned(job, w) != nil
}

// Synced waits until all that was acknowledged before the call is folded here;
// false: ctx ended first. It asks the log for its end, for the tail's own read
// may wait there for long.
func (b *Book) Synced(ctx context.Context) bool {
	end, ok := b.end(ctx)
	return ok && b.await(ctx, func() bool { return b.next >= end })
}

// await waits until a condition on the fold holds, which is asked with mu held; false:
// ctx ended first.
func (b *Book) await(ctx context.Context, holds func() bool) bool {
	for {
		changed := b.Changed.Next()
		b.mu.Lock()
		done := holds()
		b.mu.Unlock()
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

// end returns the offset behind the log's last record; false: ctx ended first.
func (b *Book) end(ctx context.Context) (uint64, bool) {
	for {
		b.mu.Lock()
		from := b.next
		b.mu.Unlock()
		end, err := b.log.end(ctx, Stream, from)
		if err == nil {
			return end, true
		}
		if !sleep.For(ctx, tailRetry) {
			return 0, false
		}
	}
}

// CaughtUp tells whether this process has read to the log's end since its start,
// and missed nothing. Before that it has folded a part of the past: it would give
// fewer results of a job than others have given.
func (b *Book) CaughtUp() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.asOf.IsZero() && !b.missed(time.Now())
}

// Missed tells whether jobs may stand that this process will not hear of.
func (b *Book) Missed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.missed(time.Now())
}

// UpToDate tells whether this process follows the log without a gap now.
func (b *Book) UpToDate() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.upToDate(time.Now())
}

func (b *Book) upToDate(now time.Time) bool {
	return !b.since.IsZero() && now.Sub(b.asOf) < freshFor
}
