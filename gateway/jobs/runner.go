package jobs

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/sleep"
	"dandelionsill.org/decide/members"
	"dandelionsill.org/decide/place"
	"dandelionsill.org/decide/route"
	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/gateway/backend"
	"dandelionsill.org/gateway/forward"
	"dandelionsill.org/gateway/view"
)

// Times of the owner.
const (
	planEvery = 40 * time.Millisecond
	// silentFirst and silentNext are how long a stream may be silent before it
	// goes on at another engine. An event takes about 40 ms and its first one
	// some milliseconds more; going on costs one reading of the prompt.
	silentFirst = 500 * time.Millisecond
	silentNext  = 350 * time.Millisecond
	// avoidSilent, avoidFull and avoidFailed are how long an item stays away
	// from an engine that was silent, had no room, or failed it.
	avoidSilent = 1500 * time.Millisecond
	avoidFull   = 80 * time.Millisecond
	avoidFailed = 400 * time.Millisecond
	// shunFull, shunUnreached and shunGone are how long all samples stay away
	// from an engine that refused one, did not let us connect, or has another
	// server at its address. Each sample found out by itself before, with
	// 1,400 refused requests in two seconds after a cut.
	shunFull      = 60 * time.Millisecond
	shunDoublings = 4
	shunUnreached = 250 * time.Millisecond
	shunGone      = 3 * time.Second
	// takeOverAfter is how long an owner may be silent before others claim its
	// jobs: several of its signs of life.
	takeOverAfter = 1500 * time.Millisecond
	// takeOverSpread keeps all processes from claiming at one moment.
	takeOverSpread = 500 * time.Millisecond
	// smallWaits is how much longer a process that can't run a whole step waits
	// before it claims one, so that an able one is faster.
	smallWaits = 600 * time.Millisecond
	// ownerLinger is how long an owner without jobs goes on showing that it
	// lives; trainers ask for the next step within seconds.
	ownerLinger = 6 * time.Second
	// loadingMost is how long a word about a loading engine is believed.
	loadingMost = 4 * time.Second
	// paceWeight is the weight of the newest event in an engine's pace.
	paceWeight = 0.15
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
	versionsTooOld  = metrics.Counter("jobs_versions_too_old_total")
	samplesFinished = metrics.Counter("jobs_samples_finished_total")
)

// Runner runs the items of the jobs that this process owns.
type Runner struct {
	book    *Book
	log     Log
	view    *view.View
	forward *forward.Forwarder
	pool    *backend.Pool
	zlog    *zap.Logger
	writer  jobs.Writer
	out     *outbox
	wake    chan struct{}

	mu       sync.Mutex
	works    map[string]map[string]*work // by job and item
	reading  map[string]bool             // jobs whose bodies and earlier texts are being read
	dropped  map[string]carried          // texts of items whose job was ended, by item
	pace     map[string]float64          // seconds an event, by engine
	observed map[jobs.EngineKey]uint64   // versions as answers told them
	shunned  map[string]time.Time        // engines that get no samples until then
	refusals map[string]int              // in a row, by engine
	claimed  map[string]time.Time        // when this process last claimed a job
	owned    time.Time                   // when this process last owned a job
	leaving  bool
	tasks    sync.WaitGroup
}

// NewRunner returns a runner that owns nothing yet; parts is the number of
// partitions of the texts' stream, the same in all processes, capacity the
// number of items that this process can run.
func NewRunner(book *Book, log Log, f *forward.Forwarder, writer jobs.Writer, parts, capacity int, zlog *zap.Logger) *Runner {
	r := &Runner{
		book: book, log: log, view: f.View, forward: f, pool: f.Pool, zlog: zlog, writer: writer,
		wake:  make(chan struct{}, 1),
		works: map[string]map[string]*work{}, reading: map[string]bool{}, dropped: map[string]carried{}, pace: map[string]float64{},
		observed: map[jobs.EngineKey]uint64{}, shunned: map[string]time.Time{}, refusals: map[string]int{}, claimed: map[string]time.Time{},
	}
	r.out = newOutbox(log, writer, parts, r.owning, zlog)
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
	if len(r.works) == 0 || r.leaving {
		return
	}
	r.dropSilent(now)
	r.place(ctx, now)
}

// adopt takes the jobs that the fold says are ours, drops the others, and
// claims those whose owner is gone.
func (r *Runner) adopt(ctx context.Context, now time.Time) {
	r.book.mu.Lock()
	defer r.book.mu.Unlock()
	for id := range r.works {
		j := r.book.state.Jobs[id]
		if j == nil || !j.Open() || j.Owner != r.writer || j.Released {
			r.drop(id)
		}
	}
	r.book.state.Each(func(j *jobs.Job) {
		switch {
		case !j.Open():
		case j.Owner == r.writer && !j.Released:
			r.own(ctx, j)
		case !r.leaving && r.shouldClaim(j, now):
			r.claim(j, now)
		}
	})
}

// shouldClaim tells whether a job's owner has gone: it said so, it was an
// earlier life of this process, or it has been silent while this process
// heard the log.
func (r *Runner) shouldClaim(j *jobs.Job, now time.Time) bool {
	if !r.book.upToDate(now) || now.Sub(r.claimed[j.ID]) < takeOverAfter {
		return false
	}
	if j.Owner.Node == r.writer.Node || j.Released && r.out.capacity >= ableItems {
		return true
	}
	heard := r.book.heard[j.Owner]
	if j.Released {
		return now.Sub(heard) > smallWaits
	}
	if heard.Before(r.book.since) {
		heard = r.book.since
	}
	silent := now.Sub(heard)
	if r.out.capacity < ableItems {
		silent -= smallWaits
	}
	return silent > takeOverAfter+time.Duration(rand.Float64()*float64(takeOverSpread))
}

func (r *Runner) claim(j *jobs.Job, now time.Time) {
	claimsWritten.Add(1)
	r.claimed[j.ID] = now
	r.zlog.Info("Claiming a batch job.", zap.String("job", j.ID), zap.String("owner", j.Owner.Node), zap.Uint64("prior", j.Claim),
		zap.Bool("released", j.Released), zap.Duration("silent", now.Sub(r.book.heard[j.Owner])))
	r.out.add(true, func(rec *jobs.Record) {
		rec.Claims = append(rec.Claims, jobs.Claim{Job: j.ID, Prior: j.Claim})
	})
}

// own makes the work of a job's items that have no result yet, or lets go of
// those that have one now.
func (r *Runner) own(ctx context.Context, j *jobs.Job) {
	works := r.works[j.ID]
	if works != nil {
		for id, w := range works {
			if j.Items[id].Done() {
				r.finish(w)
				delete(works, id)
			}
		}
		return
	}
	if r.reading[j.ID] {
		return
	}
	// Bodies, and what earlier owners have made, are read beside the plan.
	r.reading[j.ID] = true
	head, bodies, taken := j.Head, j.Bodies, j.Claim != j.Accepted
	r.tasks.Go(func() { r.take(ctx, &head, bodies, taken) })
}

// take reads what a job's owner needs and begins its work.
func (r *Runner) take(ctx context.Context, head *jobs.Head, bodies jobs.TextRef, taken bool) {
	texts, err := readTexts(ctx, r.log, head, bodies, taken)
	if err != nil && ctx.Err() == nil {
		r.zlog.Warn("A job's texts can't be read yet.", zap.String("job", head.ID), zap.Uint64("offset", bodies.Offset), zap.Error(err))
		sleep.For(ctx, tailRetry)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book.mu.Lock()
	defer r.book.mu.Unlock()
	delete(r.reading, head.ID)
	j := r.book.state.Jobs[head.ID]
	if err == nil && j != nil && j.Open() && j.Owner == r.writer && !j.Released && r.works[head.ID] == nil {
		r.begin(j, texts)
	}
	r.rouse()
}

// begin takes a job's items on behind their earlier texts.
func (r *Runner) begin(j *jobs.Job, texts *jobs.Texts) {
	works := make(map[string]*work, len(j.Items))
	r.works[j.ID] = works
	for id, item := range j.Items {
		if item.Done() {
			continue
		}
		made := texts.Best(id, j.MinVersion)
		if len(made.Events) == 0 {
			made = r.carriedText(j, id, made)
		}
		body, _ := texts.Body(id)
		works[id] = newWork(j, item, body, made)
	}
	r.zlog.Info("Owning a batch job.", zap.String("job", j.ID), zap.Int("items", len(works)), zap.Uint64("claim", j.Claim))
}

// carried is the text of an item whose job was ended before it was whole.
type carried struct {
	model  string
	events []jobs.Event
	whole  bool
}

// carriedText goes on with what this process made of an item in an earlier job,
// where its versions are not too old for this one: a trainer hands in again the
// groups that it did not wait for.
func (r *Runner) carriedText(j *jobs.Job, item string, made jobs.Made) jobs.Made {
	before, known := r.dropped[item]
	if !known || before.model != j.Model || jobs.Stale(before.events, j.MinVersion) {
		return made
	}
	samplesReused.Add(1)
	made.Events, made.Whole = append([]jobs.Event(nil), before.events...), before.whole
	return made
}

// carriedMost bounds the items whose texts are kept for a later job.
const carriedMost = 1000

func (r *Runner) carry(w *work) {
	if len(w.events) == 0 {
		return
	}
	if len(r.dropped) >= carriedMost {
		clear(r.dropped)
	}
	r.dropped[w.item.ID] = carried{model: w.job.Model, events: w.events, whole: w.whole}
}

// drop lets go of a job.
func (r *Runner) drop(id string) {
	for _, w := range r.works[id] {
		r.carry(w)
		r.finish(w)
	}
	delete(r.works, id)
}

// finish ends what runs of an item.
func (r *Runner) finish(w *work) {
	w.phase = ended
	if w.stop != nil {
		w.stop()
		w.stop = nil
	}
}

// dropSilent ends the streams that have been silent for too long.
func (r *Runner) dropSilent(now time.Time) {
	for _, works := range r.works {
		for _, w := range works {
			if w.phase != running {
				continue
			}
			silent, limit := now.Sub(w.lastEvent), silentNext
			if w.streamed == 0 {
				limit = silentFirst
			}
			if silent < limit {
				continue
			}
			streamsSilent.Add(1)
			r.zlog.Info("Sample leaves a silent engine.", zap.String("id", w.item.ID), zap.String("job", w.job.ID),
				zap.String("server", w.server), zap.Duration("silent", silent), zap.Int("events", len(w.events)))
			r.requeue(w, avoidSilent, now)
		}
	}
}

// requeue takes a running item back to those that wait.
func (r *Runner) requeue(w *work, avoid time.Duration, now time.Time) {
	w.avoid[w.server] = now.Add(avoid)
	w.phase = waiting
	if w.stop != nil {
		w.stop()
		w.stop = nil
	}
	r.note(w, true)
}

// place binds waiting items to engines and moves one from a slow engine.
func (r *Runner) place(ctx context.Context, now time.Time) {
	byService := map[string][]*work{}
	snap := r.view.Now()
	for _, works := range r.works {
		for _, w := range works {
			if w.phase == waiting && w.whole {
				r.textComplete(ctx, w)
			}
			if w.phase != waiting && w.phase != running {
				continue
			}
			_, service := serviceOf(snap.Table, w.item.Host, w.item.Path, route.Hash(w.item.ID))
			if service != "" {
				byService[service] = append(byService[service], w)
			}
		}
	}
	for service, works := range byService {
		r.placeService(ctx, snap.Servers[service], works, now)
	}
}

func (r *Runner) placeService(ctx context.Context, servers []members.Server, works []*work, now time.Time) {
	slices.SortFunc(works, func(a, b *work) int { return compareIDs(a.item.ID, b.item.ID) })
	engines, addrs := r.engines(servers, now)
	var queue []*work
	var samples []place.Sample
	var moving []place.Running
	var movers []*work
	for _, w := range works {
		if w.phase == waiting {
			queue = append(queue, w)
			samples = append(samples, w.sample(now))
			continue
		}
		moving = append(moving, place.Running{Sample: w.sample(now), Engine: w.server})
		movers = append(movers, w)
	}
	for _, c := range place.Assign(engines, samples) {
		w, e := queue[c.Sample], engines[c.Engine]
		r.start(ctx, w, e.ID, addrs[e.ID], now)
		r.zlog.Info("Sample starts.", zap.String("id", w.item.ID), zap.String("job", w.job.ID), zap.String("server", e.ID),
			zap.Uint64("version", e.Versions[w.model()]), zap.Uint64("floor", w.job.MinVersion), zap.Int("load", e.Load), zap.Int("slots", e.Slots),
			zap.Float64("pace_s", e.Pace), zap.Float64("left", samples[c.Sample].Left), zap.Int("behind", len(w.events)),
			zap.Int("waiting", len(queue)), zap.Int("engines", len(engines)))
	}
	if len(queue) > 0 {
		return
	}
	if at := place.Leave(engines, moving); at >= 0 {
		w := movers[at]
		samplesMoved.Add(1)
		r.zlog.Info("Sample leaves a slow engine.", zap.String("id", w.item.ID), zap.String("job", w.job.ID),
			zap.String("server", w.server), zap.Float64("pace_s", r.pace[w.server]), zap.Int("events", len(w.events)))
		r.requeue(w, avoidSilent, now)
		r.rouse()
	}
}

func compareIDs(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

// engines describes the engines of a service, with the load that this process
// and the other owners put on them.
func (r *Runner) engines(servers []members.Server, now time.Time) ([]place.Engine, map[string]string) {
	own := map[string]int{}
	for _, works := range r.works {
		for _, w := range works {
			if w.phase == running {
				own[w.server]++
			}
		}
	}
	r.book.mu.Lock()
	defer r.book.mu.Unlock()
	others := r.othersLoad()
	out := make([]place.Engine, 0, len(servers))
	addrs := make(map[string]string, len(servers))
	for _, s := range servers {
		if s.Leaving || now.Before(r.shunned[s.ID]) {
			continue
		}
		addrs[s.ID] = s.Addr
		out = append(out, place.Engine{
			ID: s.ID, Slots: s.Slots, Load: own[s.ID] + others[s.ID], Pace: r.pace[s.ID], Versions: r.versions(s, now),
		})
	}
	return out, addrs
}

// othersLoad counts the samples of other owners at each engine, by their word
// in the log. book.mu is held.
func (r *Runner) othersLoad() map[string]int {
	load := map[string]int{}
	r.book.state.Each(func(j *jobs.Job) {
		if !j.Open() || j.Owner == r.writer {
			return
		}
		for _, item := range j.Items {
			if item.Server != "" {
				load[item.Server]++
			}
		}
	})
	return load
}

// versions returns the weight versions that a server can be used with now: the
// newest that it, its agent or its answers told of, without models that are
// being loaded. book.mu is held.
func (r *Runner) versions(s members.Server, now time.Time) map[string]uint64 {
	versions := maps.Clone(s.Versions)
	if versions == nil {
		versions = map[string]uint64{}
	}
	for model := range versions {
		key := jobs.EngineKey{Server: s.ID, Model: model}
		versions[model] = max(versions[model], r.observed[key])
		word, known := r.book.state.Engine(s.ID, model)
		if !known {
			continue
		}
		if word.Loading && now.Sub(r.book.engineAt[key]) < loadingMost {
			delete(versions, model)
			continue
		}
		if !word.Loading {
			versions[model] = max(versions[model], word.Version)
		}
	}
	return versions
}

// note puts an item's news into the outbox: where it runs and its new events.
func (r *Runner) note(w *work, urgent bool) {
	server := ""
	if w.phase == running {
		server = w.server
	}
	p := jobs.Progress{Item: w.item.ID, Run: w.run, From: w.noted, Failures: w.failures, Whole: w.whole}
	p.Events = append(p.Events, w.events[w.noted:]...)
	w.noted = len(w.events)
	if len(p.Events) > 0 || p.Failures > 0 || p.Whole {
		r.out.progress(w.job.ID, w.job.Claim, p)
	}
	if w.told == server {
		return
	}
	w.told = server
	r.out.add(urgent, func(rec *jobs.Record) {
		rec.Starts = append(rec.Starts, jobs.Start{Job: w.job.ID, Item: w.item.ID, Server: server})
	})
}

// Release gives all jobs up, with the text so far, so that others go on at
// once. It is the first step of a stop.
func (r *Runner) Release(ctx context.Context) {
	r.mu.Lock()
	r.leaving = true
	var released []string
	for id, works := range r.works {
		released = append(released, id)
		for _, w := range works {
			if w.phase == running || w.phase == waiting {
				r.note(w, false)
			}
		}
	}
	r.mu.Unlock()
	r.out.add(false, func(rec *jobs.Record) { rec.Releases, rec.Leaving = append(rec.Releases, released...), true })
	r.out.flush(ctx, false)
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.works {
		r.drop(id)
	}
	if len(released) > 0 {
		r.zlog.Info("Released batch jobs.", zap.Int("jobs", len(released)))
	}
}
