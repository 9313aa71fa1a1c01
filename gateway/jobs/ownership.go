package jobs

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/fold/jobs"
)

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
	route := r.routeOf(j)
	single := route != nil && route.SingleVersion
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
		works[id].single = single
	}
	r.zlog.Info("Owning a batch job.", zap.String("job", j.ID), zap.Int("items", len(works)), zap.Uint64("claim", j.Claim))
}

// routeOf returns the route to which a job was handed in; nil: it is gone.
func (r *Runner) routeOf(j *jobs.Job) *table.Route {
	t := r.view.Now().Table
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
