package jobs

import (
	"context"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/decide/route"
	"dandelionsill.org/fold/jobs"
)

// reconcileJobs takes the jobs that this process owns according to the log, drops all others,
// and claims jobs whose owner is gone. It returns the offset before which it has seen all records.
func (r *Runner) reconcileJobs(ctx context.Context, now time.Time) uint64 {
	r.index.mu.Lock()
	defer r.index.mu.Unlock()
	clear(r.claimDelays)
	if r.index.gaps != r.gaps {
		r.gaps = r.index.gaps
		clear(r.regionWaits)
		r.releaseAfterGap()
	}
	for id := range r.active {
		if j := r.index.state.Owned(id, r.writer); j == nil || !j.IsOpen() {
			r.dropJob(id)
		}
	}
	r.index.state.Each(func(j *jobs.Job) {
		mayOwn := r.mayOwn(j)
		if !j.IsOpen() || mayOwn {
			delete(r.regionWaits, j.ID)
		}
		switch {
		case !j.IsOpen():
		case j.Owner == r.writer && !j.Released && r.draining:
			r.releaseJob(j)
		case !mayOwn:
			r.leaveToRegions(j, now)
		case j.Owner == r.writer && !j.Released:
			r.ensureTaken(ctx, j)
		case !r.draining && r.shouldClaim(j, now):
			r.claim(j, now)
		}
	})
	return r.index.nextOffset
}

// shouldClaim reports whether this process should claim a job: its owner has released it, was an
// earlier incarnation of this process, or has been silent for too long while the log could be
// read.
func (r *Runner) shouldClaim(j *jobs.Job, now time.Time) bool {
	if !r.index.upToDate(now) || now.Sub(r.claimedAt[j.ID]) < takeOverAfter {
		return false
	}
	if j.Owner.VM == r.writer.VM {
		return true
	}
	silence := r.silence(j, now)
	if r.out.capacity < fullStepItems {
		silence -= smallProcessDelay
	}
	if j.Released || j.HasNoOwner() { // half the spread: the job is free, even if its owner still runs
		return silence > r.takeOverDelay(j.Owner, now)/2
	}
	// If appends are slow, so are an owner's heartbeats.
	appendDelay := appendTimeFactor * time.Duration(r.out.lastAppendNanos.Load())
	return silence > takeOverAfter+appendDelay && silence > takeOverAfter+appendDelay+r.takeOverDelay(j.Owner, now)
}

// silence returns how long a job's owner has been silent, or how old a job without an owner is;
// index.mu is held.
func (r *Runner) silence(j *jobs.Job, now time.Time) time.Duration {
	if j.HasNoOwner() {
		return r.index.age(j, now)
	}
	return r.index.silenceOf(j.Owner, now)
}

// leaveToRegions leaves a job to the processes in its regions: it releases the job if this process
// owns it, since the regions have changed, and otherwise logs once that no owner is there;
// index.mu is held.
func (r *Runner) leaveToRegions(j *jobs.Job, now time.Time) {
	if j.Owner == r.writer && !j.Released {
		if r.releasedClaims[j.ID] != j.Claim {
			r.zlog.Info("Releasing a batch job because its regions have changed.", zap.String("job", j.ID), zap.Stringer("regions", r.ownerRegions(j)), zap.String("region", r.index.places.Region))
		}
		r.releaseJob(j)
		return
	}
	waits := r.index.upToDate(now) && r.silence(j, now) > regionWaitAfter
	if waits && !r.regionWaits[j.ID] {
		r.zlog.Warn("A batch job waits for an owner in its regions.", zap.String("job", j.ID), zap.Stringer("regions", r.ownerRegions(j)),
			zap.String("owner", j.Owner.VM), zap.Bool("released", j.Released), zap.String("region", r.index.places.Region))
	}
	if delete(r.regionWaits, j.ID); waits {
		r.regionWaits[j.ID] = true
	}
}

// countRegionWaits returns the number of open jobs without an owner that this process may not own
// because of their regions.
func (r *Runner) countRegionWaits() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.regionWaits)
}

// takeOverDelay returns how long this process lets others claim an owner's jobs first. It is
// the same for all jobs of that owner, so that they continue in one process, which knows
// everything that it runs. With a delay drawn for each job, six steps went to five processes,
// which competed for slots and each had to learn the pace of every engine again. index.mu is held.
func (r *Runner) takeOverDelay(owner jobs.Writer, now time.Time) time.Duration {
	if r.neighbours.ranksClaims() {
		delay, known := r.claimDelays[owner]
		if !known {
			recent := r.index.recentWriters(now)
			delay = r.neighbours.claimDelay(owner, func(vm string) bool { return recent[vm] })
			r.claimDelays[owner] = delay
		}
		return delay
	}
	const resolution = 1 << 16
	return time.Duration(route.Hash(owner.VM+owner.Incarnation+r.writer.VM)%resolution) * takeOverSpread / resolution
}

func (r *Runner) claim(j *jobs.Job, now time.Time) {
	claimsWritten.Add(1)
	r.claimedAt[j.ID] = now
	r.zlog.Info("Claiming a batch job.", zap.String("job", j.ID), zap.String("owner", j.Owner.VM), zap.Uint64("prior", j.Claim),
		zap.Bool("released", j.Released), zap.Duration("silent", now.Sub(r.index.lastRecordAt[j.Owner])))
	if domain := r.neighbours.domainOf(j.Owner.VM); !j.Released && domain != "" && domain != r.neighbours.domain() {
		r.domains.Suspect(domain, now) // the owner may be lost with its failure domain
	}
	r.out.add(true, func(rec *jobs.Record) {
		rec.Claims = append(rec.Claims, jobs.Claim{Job: j.ID, PriorOffset: j.Claim})
	})
}

// ensureTaken starts to load a job that this process does not run yet, or stops the items that
// have a result now.
func (r *Runner) ensureTaken(ctx context.Context, j *jobs.Job) {
	if active := r.active[j.ID]; active != nil {
		r.stopDone(j, active)
		return
	}
	if r.loading[j.ID] {
		return
	}
	// Reading items and the texts of earlier owners must not delay the plan.
	r.loading[j.ID] = true
	spec, at, takenOver := j.Spec, j.ItemsRef, j.Claim != j.AcceptedOffset
	r.tasks.Go(func() { r.loadAndStart(ctx, &spec, at, takenOver) })
}

// releaseAfterGap releases all owned jobs after records were missed, because this process no
// longer knows who owns them. If they were only dropped, they would wait for an owner that
// still sends heartbeats but does nothing.
func (r *Runner) releaseAfterGap() {
	var released []string
	for id := range r.active {
		released = append(released, id)
		r.dropJob(id)
	}
	if len(released) == 0 {
		return
	}
	r.zlog.Warn("Releasing batch jobs because records were missed.", zap.Strings("jobs", released))
	r.out.add(true, func(rec *jobs.Record) { rec.Releases = append(rec.Releases, released...) })
}

// stopDone stops the items that have a result.
func (r *Runner) stopDone(j *jobs.Job, active map[string]*activeItem) {
	for id, a := range active {
		if j.Items[id].Done() {
			r.stopItem(a)
			delete(active, id)
		}
	}
}

// loadAndStart reads the items and earlier texts of a job and starts to run it.
func (r *Runner) loadAndStart(ctx context.Context, spec *jobs.Spec, at jobs.TextRef, takenOver bool) {
	texts, err := readTexts(ctx, r.index.log, spec, at, takenOver)
	if err != nil {
		r.zlog.Warn("Reading the texts of a batch job failed; retrying.", zap.String("job", spec.ID), zap.Uint64("offset", at.Offset), zap.Error(err))
	}
	for err != nil && sleep.For(ctx, sleep.Jitter(tailRetryPause)) && r.index.isOwnedBy(spec.ID, r.writer) {
		texts, err = readTexts(ctx, r.index.log, spec, at, takenOver)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.loading, spec.ID)
	r.index.mu.Lock()
	defer r.index.mu.Unlock()
	if j := r.index.state.Owned(spec.ID, r.writer); err == nil && j != nil && j.IsOpen() && r.active[spec.ID] == nil {
		r.startItems(j, texts)
	}
	r.requestPlan()
}

// startItems adds a job's unfinished items, with the texts generated so far, to the active ones.
func (r *Runner) startItems(j *jobs.Job, texts *jobs.Texts) {
	active := make(map[string]*activeItem, len(j.Items))
	r.active[j.ID] = active
	for id, state := range j.Items {
		if state.Done() {
			continue
		}
		earlier := texts.LongestOutput(id, j.MinVersion)
		if len(earlier.Events) == 0 {
			earlier = r.reuseText(j, id, earlier)
		}
		item, _ := texts.Item(id)
		active[id] = newActiveItem(j, item, earlier)
	}
	r.zlog.Info("Owning a batch job.", zap.String("job", j.ID), zap.Int("items", len(active)), zap.Uint64("claim", j.Claim),
		zap.Uint64("config", r.view.Current().ConfigVersion()), zap.Bool("config_confirmed", r.view.IsConfirmed()), zap.String("version_rule", string(r.versionRule(j))))
}

// reusableText is the text so far of an item whose job was dropped or ended.
type reusableText struct {
	model    string
	events   []jobs.Event
	complete bool
}

// reuseText continues the text that this process generated for an item in an earlier job, if its
// versions are not too old for this job: a trainer submits again the groups that it did not wait
// for.
func (r *Runner) reuseText(j *jobs.Job, item string, earlier jobs.Output) jobs.Output {
	text, known := r.reusable[item]
	if !known || text.model != j.Model || jobs.HasStaleEvent(text.events, j.MinVersion) {
		return earlier
	}
	samplesReused.Add(1)
	earlier.Events, earlier.Complete = append([]jobs.Event(nil), text.events...), text.complete
	return earlier
}

// maxReusableTexts bounds the items whose texts are kept for a later job.
const maxReusableTexts = 1000

func (r *Runner) keepText(a *activeItem) {
	if len(a.events) == 0 {
		return
	}
	if len(r.reusable) >= maxReusableTexts {
		clear(r.reusable)
	}
	r.reusable[a.item.ID] = reusableText{model: a.job.Model, events: a.events, complete: a.complete}
}

// dropJob stops the items of a job and keeps their texts for a later one.
func (r *Runner) dropJob(id string) {
	for _, a := range r.active[id] {
		r.keepText(a)
		r.stopItem(a)
	}
	delete(r.active, id)
}

// stopItem ends an item and its stream.
func (r *Runner) stopItem(a *activeItem) {
	a.phase = ended
	if a.stop != nil {
		a.stop()
		a.stop = nil
	}
}

// Drain releases all jobs, also those that this process is given later. It is the first step
// of a shutdown. Samples keep running until the log has stored the release of their job: during
// an outage of the store no other process could take over, and all text generated since its start
// would be lost with the streams.
func (r *Runner) Drain() {
	r.mu.Lock()
	r.draining = true
	owned := len(r.active)
	r.mu.Unlock()
	r.out.add(true, func(rec *jobs.Record) { rec.Leaving = true })
	r.zlog.Info("Releasing all batch jobs.", zap.Int("jobs", owned))
	r.requestPlan()
}

// releaseJob releases one job after its partial texts are appended.
func (r *Runner) releaseJob(j *jobs.Job) {
	active := r.active[j.ID]
	r.stopDone(j, active)
	if r.releasedClaims[j.ID] == j.Claim {
		return
	}
	r.releasedClaims[j.ID] = j.Claim
	for _, a := range active {
		if a.phase == running || a.phase == waiting {
			r.report(a, false)
		}
	}
	r.out.addRelease(j)
}

// ownsJob reports whether this process owns an open job that it has not released, be it one that it was given
// a moment ago; mu is held.
func (r *Runner) ownsJob() bool {
	r.index.mu.Lock()
	defer r.index.mu.Unlock()
	return r.index.hasOpenJob(func(w jobs.Writer) bool { return w == r.writer })
}

// WaitDrained waits until all jobs are released; it returns false if ctx ended first.
func (r *Runner) WaitDrained(ctx context.Context) bool {
	for {
		changed := r.index.Changed.Next()
		r.mu.Lock()
		drained := len(r.active) == 0 && !r.ownsJob()
		r.mu.Unlock()
		if drained {
			return true
		}
		select {
		case <-changed:
		case <-time.After(planInterval):
		case <-ctx.Done():
			return false
		}
	}
}
