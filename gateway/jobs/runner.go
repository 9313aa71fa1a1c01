package jobs

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/sleep"
	"dandelionsill.org/decide/place"
	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/gateway/backend"
	"dandelionsill.org/gateway/forward"
	"dandelionsill.org/gateway/view"
	"dandelionsill.org/quarantine"
)

// Times of the owner.
const (
	planEvery = 40 * time.Millisecond
	// planGap lies between two plans: what happens in it is planned for at once. Each
	// record of the log, each change of a server's entry and each end of a stream asks
	// for a plan; with one for each, an owner of many samples begins its steps late and
	// reads its streams in bursts.
	planGap = 20 * time.Millisecond
	// avoidSilent, avoidFull and avoidFailed are how long an item stays away
	// from an engine that was silent, had no room, or failed it.
	avoidSilent = 1500 * time.Millisecond
	avoidFull   = 80 * time.Millisecond
	avoidFailed = 400 * time.Millisecond
	// shunFull and shunGone are how long all samples stay away from an engine that
	// refused one, or has another server at its address. Each sample would else find
	// out by itself, with a refused request.
	shunFull      = 60 * time.Millisecond
	shunDoublings = 4
	shunGone      = 3 * time.Second
	// takeOverAfter is how long an owner may be silent before others claim its
	// jobs: several of its signs of life.
	takeOverAfter = 1500 * time.Millisecond
	// takeOverSpread keeps all processes from claiming at one moment.
	takeOverSpread = 500 * time.Millisecond
	// slowLog is how many of this process's own appends an owner may be silent for
	// beyond that: it has two to make, texts and records, each read behind others'.
	slowLog = 3
	// smallWaits is how much longer a process that can't run a whole step waits
	// before it claims one, so that an able one is faster.
	smallWaits = 600 * time.Millisecond
	// ownerLinger is how long an owner without jobs goes on showing that it
	// lives; trainers ask for the next step within seconds.
	ownerLinger = 6 * time.Second
	// loadingMost is how long a word about a loading engine is believed.
	loadingMost = 4 * time.Second
)

var (
	streamsStarted  = metrics.Counter("jobs_streams_started_total")
	streamsBroken   = metrics.Counter("jobs_streams_broken_total")
	streamsSilent   = metrics.Counter("jobs_streams_silent_total")
	samplesMoved    = metrics.Counter("jobs_samples_moved_total")
	samplesRestart  = metrics.Counter("jobs_samples_restarted_total")
	claimsWritten   = metrics.Counter("jobs_claims_total")
	resultsWritten  = metrics.Counter("jobs_results_total")
	scoreRefusals   = metrics.Counter("jobs_score_failures_total")
	samplesReused   = metrics.Counter("jobs_samples_reused_total")
	samplesGivenUp  = metrics.Counter("jobs_samples_given_up_total")
	samplesHeld     = metrics.Counter("jobs_samples_quarantined_total")
	versionsTooOld  = metrics.Counter("jobs_versions_too_old_total")
	samplesFinished = metrics.Counter("jobs_samples_finished_total")
)

// Runner runs the items of the jobs that this process owns.
type Runner struct {
	book    *Book
	view    *view.View
	forward *forward.Forwarder
	pool    *backend.Pool
	// quarantine keeps items that crash engines from reaching any.
	quarantine *quarantine.Quarantine
	zlog       *zap.Logger
	writer     jobs.Writer
	out        *outbox
	wake       chan struct{}

	mu      sync.Mutex
	works   map[string]map[string]*work       // by job and item
	reading map[string]bool                   // jobs whose items and earlier texts are being read
	dropped map[string]carried                // texts of items whose job was ended, by item
	paces   place.PaceEstimator               // seconds an event, by engine
	lengths map[string]*place.LengthEstimator // events of a text, by model
	silence place.StreamTimeouts
	// probation keeps samples from engines that give no sign of life.
	probation place.Probation
	observed  map[jobs.EngineKey]uint64 // versions as answers told them
	// denied is when an answer showed older weights than an engine was thought to
	// have: a word of before is no longer believed.
	denied   map[jobs.EngineKey]time.Time
	shunned  map[string]time.Time // engines that get no samples until then
	refusals map[string]int       // in a row, by engine
	claimed  map[string]time.Time // when this process last claimed a job
	released map[string]uint64    // claims that this process has given up, by job
	gaps     int                  // gaps of the book that were answered
	owned    time.Time            // when this process last owned a job
	leaving  bool
	tasks    sync.WaitGroup
}

// NewRunner returns a runner that owns nothing yet; parts is the number of
// partitions of the texts' stream, the same in all processes, capacity the
// number of items that this process can run.
func NewRunner(book *Book, log Log, f *forward.Forwarder, writer jobs.Writer, parts, capacity int, zlog *zap.Logger) *Runner {
	r := &Runner{
		book: book, view: f.View, forward: f, pool: f.Pool, quarantine: f.Quarantine, zlog: zlog, writer: writer,
		wake:  make(chan struct{}, 1),
		works: map[string]map[string]*work{}, reading: map[string]bool{}, dropped: map[string]carried{}, lengths: map[string]*place.LengthEstimator{},
		observed: map[jobs.EngineKey]uint64{}, denied: map[jobs.EngineKey]time.Time{}, shunned: map[string]time.Time{}, refusals: map[string]int{}, claimed: map[string]time.Time{}, released: map[string]uint64{},
	}
	r.out = newOutbox(log, writer, parts, r.owning, book.Texts.put, zlog)
	r.out.capacity = capacity
	return r
}

// owning tells whether this process shows that it lives: while it owns jobs,
// and a while longer, so that the next step may be given to it as well.
func (r *Runner) owning() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.works) > 0 {
		r.owned = time.Now()
	}
	return !r.leaving && time.Since(r.owned) < ownerLinger
}

// Run owns jobs until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { r.out.run(ctx) })
	loops.Go(func() { r.planLoop(ctx) })
	loops.Wait()
	r.tasks.Wait()
}

func (r *Runner) planLoop(ctx context.Context) {
	tick := time.NewTicker(planEvery)
	defer tick.Stop()
	for {
		changed := r.book.Changed.Next()
		viewed := r.view.Changed.Next()
		r.plan(ctx)
		sleep.For(ctx, planGap)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-changed:
		case <-viewed:
		case <-r.wake:
		}
	}
}

func (r *Runner) rouse() {
	select {
	case r.wake <- struct{}{}:
	default: // a plan is due anyway
	}
}

// plan brings what runs in step with what this process owns.
func (r *Runner) plan(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.adopt(ctx, now)
	if len(r.works) == 0 {
		return
	}
	r.dropSilent(now)
	r.place(ctx, now)
}

// note puts an item's news into the outbox: where it runs and its new events.
func (r *Runner) note(w *work, urgent bool) {
	server := ""
	if w.phase == running {
		server = w.server
	}
	p := jobs.Progress{Item: w.item.ID, Run: w.run, From: w.noted, Failures: w.failures, Complete: w.whole}
	p.Events = append(p.Events, w.events[w.noted:]...)
	w.noted = len(w.events)
	if len(p.Events) > 0 || p.Failures > 0 || p.Complete {
		r.out.progress(w.job, w.claim, p)
	}
	if w.told == server {
		return
	}
	w.told = server
	r.out.add(urgent, func(rec *jobs.Record) {
		rec.Starts = append(rec.Starts, jobs.Start{Job: w.job.ID, Item: w.item.ID, Server: server})
	})
}
