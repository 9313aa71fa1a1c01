package jobs

import (
	"context"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/decide/route"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/fold/jobs"
)

// reconcileJobs takes the jobs that the fold says are ours, drops the others, and
// claims those whose owner is gone.
func (r *Runner) reconcileJobs(ctx context.Context, now time.Time) {
	r.index.mu.Lock()
	defer r.index.mu.Unlock()
	if r.index.gaps != r.gaps {
		r.gaps = r.index.gaps
		r.releaseAfterGap()
	}
	for id := range r.active {
		if j := r.index.state.Owned(id, r.writer); j == nil || !j.Open() {
			r.dropJob(id)
		}
	}
	r.index.state.Each(func(j *jobs.Job) {
		switch {
		case !j.Open():
		case j.Owner == r.writer && !j.Released && r.draining:
			r.releaseJob(j)
		case j.Owner == r.writer && !j.Released:
			r.ensureTaken(ctx, j)
		case !r.draining && r.shouldClaim(j, now):
			r.claim(j, now)
		}
	})
}

// shouldClaim tells whether a job's owner has gone: it said so, it was an
// earlier life of this process, or it has been silent while this process
// heard the log.
func (r *Runner) shouldClaim(j *jobs.Job, now time.Time) bool {
	if !r.index.upToDate(now) || now.Sub(r.claimedAt[j.ID]) < takeOverAfter {
		return false
	}
	if j.Owner.Node == r.writer.Node {
		return true
	}
	silence := r.index.silenceOf(j.Owner, now)
	if r.out.capacity < fullStepItems {
		silence -= smallProcessDelay
	}
	if j.Released { // half of the spread: nobody has to be sure that it is gone
		return silence > r.takeOverDelay(j.Owner)/2
	}
	// Where appends take long, so do an owner's signs of life.
	appendDelay := appendTimeFactor * time.Duration(r.out.lastAppendNanos.Load())
	return silence > takeOverAfter+appendDelay+r.takeOverDelay(j.Owner)
}

// takeOverDelay is how long this process lets others claim an owner's jobs first. It is
// the same for all of them, so that they go on in one process, which knows all that it
// runs: with a turn drawn for each job six steps went to five processes, which took
// places from each other and learnt each engine's pace anew.
func (r *Runner) takeOverDelay(owner jobs.Writer) time.Duration {
	const resolution = 1 << 16
	return time.Duration(route.Hash(owner.Node+owner.Life+r.writer.Node)%resolution) * takeOverSpread / resolution
}

func (r *Runner) claim(j *jobs.Job, now time.Time) {
	claimsWritten.Add(1)
	r.claimedAt[j.ID] = now
	r.zlog.Info("Claiming a batch job.", zap.String("job", j.ID), zap.String("owner", j.Owner.Node), zap.Uint64("prior", j.Claim),
		zap.Bool("released", j.Released), zap.Duration("silent", now.Sub(r.index.lastRecordAt[j.Owner])))
	r.out.add(true, func(rec *jobs.Record) {
		rec.Claims = append(rec.Claims, jobs.Claim{Job: j.ID, Prior: j.Claim})
	})
}

// ensureTaken makes the work of a job's items that have no result yet, or lets go of
// those that have one now.
func (r *Runner) ensureTaken(ctx context.Context, j *jobs.Job) {
	if active := r.active[j.ID]; active != nil {
		r.stopDone(j, active)
		return
	}
	if r.loading[j.ID] {
		return
	}
	// Items, and what earlier owners have made, are read beside the plan.
	r.loading[j.ID] = true
	head, at, takenOver := j.Head, j.At, j.Claim != j.Accepted
	r.tasks.Go(func() { r.loadAndStart(ctx, &head, at, takenOver) })
}

// releaseAfterGap gives up the jobs in hand after records were missed: this process no
// longer knows who owns them. Dropped in silence, they would wait for an owner that
// the others hear and that does nothing.
func (r *Runner) releaseAfterGap() {
	var released []string
	for id := range r.active {
		released = append(released, id)
		r.dropJob(id)
	}
	if len(released) == 0 {
		return
	}
	r.zlog.Warn("Giving batch jobs up, for records were missed.", zap.Strings("jobs", released))
	r.out.add(true, func(rec *jobs.Record) { rec.Releases = append(rec.Releases, released...) })
}

// stopDone ends the work of items that have a result.
func (r *Runner) stopDone(j *jobs.Job, active map[string]*activeItem) {
	for id, a := range active {
		if j.Items[id].Done() {
			r.stopItem(a)
			delete(active, id)
		}
	}
}

// loadAndStart reads what a job's owner needs and begins its work.
func (r *Runner) loadAndStart(ctx context.Context, head *jobs.Head, at jobs.TextRef, takenOver bool) {
	texts, err := readTexts(ctx, r.index.log, head, at, takenOver)
	if err != nil {
		r.zlog.Warn("A job's texts can't be read yet.", zap.String("job", head.ID), zap.Uint64("offset", at.Offset), zap.Error(err))
	}
	for err != nil && sleep.For(ctx, sleep.Jitter(tailRetryPause)) && r.index.isOwnedBy(head.ID, r.writer) {
		texts, err = readTexts(ctx, r.index.log, head, at, takenOver)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.loading, head.ID)
	r.index.mu.Lock()
	defer r.index.mu.Unlock()
	if j := r.index.state.Owned(head.ID, r.writer); err == nil && j != nil && j.Open() && r.active[head.ID] == nil {
		r.startItems(j, texts)
	}
	r.requestPlan()
}

// startItems takes a job's items on behind their earlier texts.
func (r *Runner) startItems(j *jobs.Job, texts *jobs.Texts) {
	active := make(map[string]*activeItem, len(j.Items))
	r.active[j.ID] = active
	route := r.routeOf(j)
	singleVersion := route != nil && route.SingleVersion
	for id, state := range j.Items {
		if state.Done() {
			continue
		}
		earlier := texts.Best(id, j.MinVersion)
		if len(earlier.Events) == 0 {
			earlier = r.reuseText(j, id, earlier)
		}
		item, _ := texts.Item(id)
		active[id] = newActiveItem(j, item, earlier)
		active[id].singleVersion = singleVersion
	}
	r.zlog.Info("Owning a batch job.", zap.String("job", j.ID), zap.Int("items", len(active)), zap.Uint64("claim", j.Claim))
}

// routeOf returns the route to which a job was handed in; nil: it is gone.
func (r *Runner) routeOf(j *jobs.Job) *table.Route {
	t := r.view.Now().Table
	if t == nil {
		return nil
	}
	return t.Match(j.Host, j.Path)
}

// reusableText is the text of an item whose job was ended before it was whole.
type reusableText struct {
	model    string
	events   []jobs.Event
	complete bool
}

// reuseText goes on with what this process made of an item in an earlier job,
// where its versions are not too old for this one: a trainer hands in again the
// groups that it did not wait for.
func (r *Runner) reuseText(j *jobs.Job, item string, earlier jobs.Made) jobs.Made {
	text, known := r.reusable[item]
	if !known || text.model != j.Model || jobs.Stale(text.events, j.MinVersion) {
		return earlier
	}
	samplesReused.Add(1)
	earlier.Events, earlier.Whole = append([]jobs.Event(nil), text.events...), text.complete
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

// dropJob lets go of a job.
func (r *Runner) dropJob(id string) {
	for _, a := range r.active[id] {
		r.keepText(a)
		r.stopItem(a)
	}
	delete(r.active, id)
}

// stopItem ends what runs of an item.
func (r *Runner) stopItem(a *activeItem) {
	a.phase = ended
	if a.stop != nil {
		a.stop()
		a.stop = nil
	}
}

// Drain gives all jobs up, those too that are still given to this process, and
// takes no others. It is the first step of a stop. Samples go on here until the
// log has taken their release: in an outage of the store nobody else could go on,
// and all text made since it began would be lost with their streams.
func (r *Runner) Drain() {
	r.mu.Lock()
	r.draining = true
	owned := len(r.active)
	r.mu.Unlock()
	r.out.add(true, func(rec *jobs.Record) { rec.Leaving = true })
	r.zlog.Info("Giving batch jobs up.", zap.Int("jobs", owned))
	r.requestPlan()
}

// releaseJob gives one job up behind the text so far.
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

// WaitDrained waits until all jobs are given up, or ctx ends.
func (r *Runner) WaitDrained(ctx context.Context) bool {
	for {
		changed := r.index.Changed.Next()
		r.mu.Lock()
		drained := len(r.active) == 0
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
