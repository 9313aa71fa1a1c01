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
)

// Time limits of an owner.
const (
	planInterval = 40 * time.Millisecond
	// planPause is the pause after a plan; the next plan covers all that happens in it. Each
	// record of the log, each change of a server's entry and each end of a stream requests a
	// plan. With a plan for each, an owner of many samples started its steps late and read its
	// streams in bursts.
	planPause = 20 * time.Millisecond
	// avoidSilent, avoidFull and avoidFailed are how long an item avoids an engine that was
	// silent, had no free slot, or failed it.
	avoidSilent = 1500 * time.Millisecond
	avoidFull   = 80 * time.Millisecond
	avoidFailed = 400 * time.Millisecond
	// fullCooldown and replacedCooldown are how long all samples avoid an engine that refused
	// one, or whose address belongs to another server now. Otherwise each sample would find
	// out by a refused request of its own.
	fullCooldown         = 60 * time.Millisecond
	maxCooldownDoublings = 4
	replacedCooldown     = 3 * time.Second
	// takeOverAfter is how long an owner may be silent before others claim its jobs: several
	// heartbeats.
	takeOverAfter = 1500 * time.Millisecond
	// takeOverSpread spreads the claims of all processes over time.
	takeOverSpread = 500 * time.Millisecond
	// appendTimeFactor is by how many durations of this process's last append an owner may be
	// silent beyond that: an owner makes two appends, of texts and of records, and each waits
	// behind those of others.
	appendTimeFactor = 3
	// smallProcessDelay is how much longer a process that can't run a complete step waits
	// before it claims one, so that a larger process claims it first.
	smallProcessDelay = 600 * time.Millisecond
	// regionWaitAfter is how long a job's owner is silent before other regions report that the
	// job waits: longer than a takeover takes, also of processes that are small.
	regionWaitAfter = 4 * time.Second
	// heartbeatLinger is how long an owner without jobs keeps sending heartbeats; trainers
	// submit the next step within seconds.
	heartbeatLinger = 6 * time.Second
	// maxLoadingAge is how long a report that an engine is loading weights stays valid.
	maxLoadingAge = 4 * time.Second
)

var (
	streamsStarted    = metrics.Counter("jobs_streams_started_total")
	streamsBroken     = metrics.Counter("jobs_streams_broken_total")
	streamsTimedOut   = metrics.Counter("jobs_streams_silent_total")
	samplesMigrated   = metrics.Counter("jobs_samples_moved_total")
	samplesRestarted  = metrics.Counter("jobs_samples_restarted_total")
	claimsWritten     = metrics.Counter("jobs_claims_total")
	resultsWritten    = metrics.Counter("jobs_results_total")
	scoreFailures     = metrics.Counter("jobs_score_failures_total")
	samplesReused     = metrics.Counter("jobs_samples_reused_total")
	samplesAbandoned  = metrics.Counter("jobs_samples_given_up_total")
	jobsWithoutRegion = metrics.Counter("jobs_without_region_total")
	versionsTooOld    = metrics.Counter("jobs_versions_too_old_total")
	samplesFinished   = metrics.Counter("jobs_samples_finished_total")
)

// Runner runs the items of the jobs that this process owns.
type Runner struct {
	index         *Index
	view          *view.View
	forward       *forward.Forwarder
	pool          *backend.Pool
	neighbours    *Neighbours // nil: unknown
	zlog          *zap.Logger
	writer        jobs.Writer
	out           *outbox
	planRequested chan struct{}

	mu             sync.Mutex
	active         map[string]map[string]*activeItem // by job and item
	loading        map[string]bool                   // jobs whose items and earlier texts are being read
	reusable       map[string]reusableText           // texts of items whose job was ended, by item
	paces          place.PaceEstimator               // seconds per event, by engine
	lengths        map[string]*place.LengthEstimator // events of a text, by model
	streamTimeouts place.StreamTimeouts
	// domains are the failure domains that may be lost or cut off.
	domains place.Domains
	// probation limits the samples of engines that did not respond.
	probation        place.Probation
	observedVersions map[jobs.EngineKey]uint64 // as returned in answers
	// deniedAt is when an answer contained older weights than expected of an engine: earlier
	// reports about it are no longer valid.
	deniedAt       map[jobs.EngineKey]time.Time
	excludedUntil  map[string]time.Time          // when an engine may get samples again
	refusals       map[string]int                // in succession, by engine
	claimedAt      map[string]time.Time          // when this process last claimed a job
	claimDelays    map[jobs.Writer]time.Duration // of owners, as of this plan
	releasedClaims map[string]uint64             // claims that this process has released, by job
	regionWaits    map[string]bool               // open jobs without an owner that this process may not own
	gaps           int                           // gaps of the index that were handled
	lastOwned      time.Time                     // when this process last owned a job
	draining       bool
	// cold bounds what engines get that may be cold.
	cold  coldSamples
	tasks sync.WaitGroup
}

// NewRunner returns a runner that owns nothing yet. partitions is the number of partitions of
// the texts' stream, which is the same in all processes; capacity is the number of items that
// this process can run.
func NewRunner(index *Index, log Log, f *forward.Forwarder, writer jobs.Writer, partitions, capacity int, zlog *zap.Logger) *Runner {
	r := &Runner{
		index: index, view: f.View, forward: f, pool: f.Pool, zlog: zlog, writer: writer,
		planRequested: make(chan struct{}, 1),
		active:        map[string]map[string]*activeItem{}, loading: map[string]bool{}, reusable: map[string]reusableText{}, lengths: map[string]*place.LengthEstimator{},
		observedVersions: map[jobs.EngineKey]uint64{}, deniedAt: map[jobs.EngineKey]time.Time{}, excludedUntil: map[string]time.Time{}, refusals: map[string]int{}, claimedAt: map[string]time.Time{},
		claimDelays: map[jobs.Writer]time.Duration{}, releasedClaims: map[string]uint64{}, regionWaits: map[string]bool{},
	}
	metrics.Gauge("jobs_waiting_for_region", func() any { return r.countRegionWaits() })
	r.out = newOutbox(log, writer, partitions, r.needsHeartbeat, index.Texts.put, zlog)
	r.out.capacity = capacity
	r.cold.init(r)
	return r
}

// SetCandidate sets the function that reports whether this process appends heartbeats while it is
// idle. It must be called before Run.
func (r *Runner) SetCandidate(isCandidate func() bool) { r.out.isCandidate = isCandidate }

// SetNeighbours sets what is known of the other gateways. It must be called before Run.
func (r *Runner) SetNeighbours(n *Neighbours) { r.neighbours = n }

// needsHeartbeat reports whether this process has to send heartbeats: while it owns jobs, and
// for heartbeatLinger after that, so that it can be given the next step.
func (r *Runner) needsHeartbeat() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.active) > 0 {
		r.lastOwned = time.Now()
	}
	return !r.draining && time.Since(r.lastOwned) < heartbeatLinger
}

// Run runs the jobs that this process owns until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { r.out.run(ctx) })
	loops.Go(func() { r.planLoop(ctx) })
	loops.Wait()
	r.tasks.Wait()
}

func (r *Runner) planLoop(ctx context.Context) {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		changed := r.index.Changed.Next()
		viewChanged := r.view.Changed.Next()
		r.plan(ctx)
		sleep.For(ctx, planPause)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-changed:
		case <-viewChanged:
		case <-r.planRequested:
		}
	}
}

func (r *Runner) requestPlan() {
	select {
	case r.planRequested <- struct{}{}:
	default: // a plan is pending already
	}
}

// plan updates what runs to what this process owns, and places waiting items.
func (r *Runner) plan(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	asOf := r.reconcileJobs(ctx, now)
	r.cold.recordIdle(len(r.active)+len(r.loading) == 0, asOf)
	r.cold.check(now)
	if len(r.active) == 0 {
		return
	}
	r.requeueSilent(now)
	r.placeAll(ctx, now)
}

// report adds the new events of an item, and the server at which it runs, to the outbox.
func (r *Runner) report(a *activeItem, urgent bool) {
	server := ""
	if a.phase == running {
		server = a.server
	}
	p := jobs.Progress{Item: a.item.ID, Run: a.run, From: a.reportedEvents, Failures: a.failures, Complete: a.complete}
	p.Events = append(p.Events, a.events[a.reportedEvents:]...)
	a.reportedEvents = len(a.events)
	if len(p.Events) > 0 || p.Failures > 0 || p.Complete {
		r.out.addProgress(a.job, a.claim, p)
	}
	if a.reportedServer == server {
		return
	}
	a.reportedServer = server
	r.out.add(urgent, func(rec *jobs.Record) {
		rec.Starts = append(rec.Starts, jobs.Start{Job: a.job.ID, Item: a.item.ID, Server: server})
	})
}
