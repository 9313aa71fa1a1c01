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

// adopt takes the jobs that the fold says are ours, drops the others, and
// claims those whose owner is gone.
func (r *Runner) adopt(ctx context.Context, now time.Time) {
	r.book.mu.Lock()
	defer r.book.mu.Unlock()
	if r.book.gaps != r.gaps {
		r.gaps = r.book.gaps
		r.letAllGo()
	}
	for id := range r.works {
		if j := r.book.state.Owned(id, r.writer); j == nil || !j.Open() {
			r.drop(id)
		}
	}
	r.book.state.Each(func(j *jobs.Job) {
		switch {
		case !j.Open():
		case j.Owner == r.writer && !j.Released && r.leaving:
			r.release(j)
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
	if j.Owner.Node == r.writer.Node {
		return true
	}
	silent := r.book.silent(j.Owner, now)
	if r.out.capacity < ableItems {
		silent -= smallWaits
	}
	if j.Released { // half of the spread: nobody has to be sure that it is gone
		return silent > r.takeOverTurn(j.Owner)/2
	}
	// Where appends take long, so do an owner's signs of life.
	late := slowLog * time.Duration(r.out.took.Load())
	return silent > takeOverAfter+late+r.takeOverTurn(j.Owner)
}

// takeOverTurn is how long this process lets others claim an owner's jobs first. It is
// the same for all of them, so that they go on in one process, which knows all that it
// runs: with a turn drawn for each job six steps went to five processes, which took
// places from each other and learnt each engine's pace anew.
func (r *Runner) takeOverTurn(owner jobs.Writer) time.Duration {
	const turns = 1 << 16
	return time.Duration(route.Hash(owner.Node+owner.Life+r.writer.Node)%turns) * takeOverSpread / turns
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
	if works := r.works[j.ID]; works != nil {
		r.letGo(j, works)
		return
	}
	if r.reading[j.ID] {
		return
	}
	// Items, and what earlier owners have made, are read beside the plan.
	r.reading[j.ID] = true
	head, at, taken := j.Head, j.At, j.Claim != j.Accepted
	r.tasks.Go(func() { r.take(ctx, &head, at, taken) })
}

// letAllGo gives up the jobs in hand after records were missed: this process no
// longer knows who owns them. Dropped in silence, they would wait for an owner that
// the others hear and that does nothing.
func (r *Runner) letAllGo() {
	var given []string
	for id := range r.works {
		given = append(given, id)
		r.drop(id)
	}
	if len(given) == 0 {
		return
	}
	r.zlog.Warn("Giving batch jobs up, for records were missed.", zap.Strings("jobs", given))
	r.out.add(true, func(rec *jobs.Record) { rec.Releases = append(rec.Releases, given...) })
}

// letGo ends the work of items that have a result.
func (r *Runner) letGo(j *jobs.Job, works map[string]*work) {
	for id, w := range works {
		if j.Items[id].Done() {
			r.finish(w)
			delete(works, id)
		}
	}
}

// take reads what a job's owner needs and begins its work.
func (r *Runner) take(ctx context.Context, head *jobs.Head, at jobs.TextRef, taken bool) {
	texts, err := readTexts(ctx, r.book.log, head, at, taken)
	if err != nil {
		r.zlog.Warn("A job's texts can't be read yet.", zap.String("job", head.ID), zap.Uint64("offset", at.Offset), zap.Error(err))
	}
	for err != nil && sleep.For(ctx, sleep.Jitter(tailRetry)) && r.book.owned(head.ID, r.writer) {
		texts, err = readTexts(ctx, r.book.log, head, at, taken)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reading, head.ID)
	r.book.mu.Lock()
	defer r.book.mu.Unlock()
	if j := r.book.state.Owned(head.ID, r.writer); err == nil && j != nil && j.Open() && r.works[head.ID] == nil {
		r.begin(j, texts)
	}
	r.rouse()
}

// begin takes a job's items on behind their earlier texts.
func (r *Runner) begin(j *jobs.Job, texts *jobs.Texts) {
	works := make(map[string]*work, len(j.Items))
	r.works[j.ID] = works
	route := r.routeOf(j)
	single := route != nil && route.SingleVersion
	for id, state := range j.Items {
		if state.Done() {
			continue
		}
		made := texts.Best(id, j.MinVersion)
		if len(made.Events) == 0 {
			made = r.carriedText(j, id, made)
		}
		item, _ := texts.Item(id)
		works[id] = newWork(j, item, made)
		works[id].single = single
	}
	r.zlog.Info("Owning a batch job.", zap.String("job", j.ID), zap.Int("items", len(works)), zap.Uint64("claim", j.Claim))
}

// routeOf returns the route to which a job was handed in; nil: it is gone.
func (r *Runner) routeOf(j *jobs.Job) *table.Route {
	t := r.view.Current().Table
	if t == nil {
		return nil
	}
	return t.Match(j.Host, j.Path)
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

// Leave gives all jobs up, those too that are still given to this process, and
// takes no others. It is the first step of a stop. Samples go on here until the
// log has taken their release: in an outage of the store nobody else could go on,
// and all text made since it began would be lost with their streams.
func (r *Runner) Leave() {
	r.mu.Lock()
	r.leaving = true
	owned := len(r.works)
	r.mu.Unlock()
	r.out.add(true, func(rec *jobs.Record) { rec.Leaving = true })
	r.zlog.Info("Giving batch jobs up.", zap.Int("jobs", owned))
	r.rouse()
}

// release gives one job up behind the text so far.
func (r *Runner) release(j *jobs.Job) {
	works := r.works[j.ID]
	r.letGo(j, works)
	if r.released[j.ID] == j.Claim {
		return
	}
	r.released[j.ID] = j.Claim
	for _, w := range works {
		if w.phase == running || w.phase == waiting {
			r.note(w, false)
		}
	}
	r.out.release(j)
}

// Left waits until all jobs are given up, or ctx ends.
func (r *Runner) Left(ctx context.Context) bool {
	for {
		changed := r.book.Changed.Next()
		r.mu.Lock()
		left := len(r.works) == 0
		r.mu.Unlock()
		if left {
			return true
		}
		select {
		case <-changed:
		case <-time.After(planEvery):
		case <-ctx.Done():
			return false
		}
	}
}
