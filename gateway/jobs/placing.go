package jobs

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/decide/members"
	"dandelionsill.org/decide/place"
	"dandelionsill.org/decide/poison"
	"dandelionsill.org/fold/jobs"
)

// dropSilent ends the streams that have been silent for too long.
func (r *Runner) dropSilent(now time.Time) {
	for _, works := range r.works {
		for _, w := range works {
			if w.phase != running {
				continue
			}
			silent, first := now.Sub(w.lastEvent), w.streamed == 0
			limit := r.silence.Limit(first, w.pace)
			if silent < limit {
				continue
			}
			streamsSilent.Add(1)
			r.silence.ObserveTimeout(silent, first)
			r.paces.Observe(w.server, silent, now) // at least that long for an event
			if first {
				r.shun(w.server, r.probation.RecordFailure(w.server), now)
			}
			r.zlog.Info("Sample leaves a silent engine.", zap.String("id", w.item.ID), zap.String("job", w.job.ID),
				zap.String("server", w.server), zap.Duration("silent", silent), zap.Duration("limit", limit), zap.Int("events", len(w.events)))
			r.requeue(w, avoidSilent, now)
		}
	}
}

// requeue takes a running item back to those that wait.
func (r *Runner) requeue(w *work, avoid time.Duration, now time.Time) {
	w.avoid[w.server] = now.Add(avoid)
	w.phase, w.left = waiting, now
	w.setbacks++
	if w.stop != nil {
		w.stop()
		w.stop = nil
	}
	r.note(w, true)
}

// place binds waiting items to engines and moves one from a slow engine.
func (r *Runner) place(ctx context.Context, now time.Time) {
	byService := map[string][]*work{}
	snap := r.view.Current()
	for _, works := range r.works {
		for _, w := range works {
			if w.phase == waiting && w.whole {
				r.textComplete(ctx, w)
			}
			if w.phase == waiting && r.quarantined(w) {
				continue
			}
			if service := w.serviceBy(snap.Table); service != "" {
				byService[service] = append(byService[service], w)
			}
		}
	}
	for service, works := range byService {
		r.placeService(ctx, snap.Servers[service], works, now)
	}
}

// quarantined tells whether each engine that ran the item crashed. It then waits until
// the quarantine or its job ends: it has not failed in a way that its trainer may be
// told of, and the next engine would crash as well, with all others' samples there.
func (r *Runner) quarantined(w *work) bool {
	subject := r.subject(w)
	if subject.Verdict() != poison.Quarantined {
		return false
	}
	if !w.held {
		w.held = true
		samplesHeld.Add(1)
		r.zlog.Warn("Sample is held back: each engine that ran it crashed.", zap.String("id", w.item.ID), zap.String("job", w.job.ID),
			zap.String("request", string(subject.Name())), zap.Duration("for", subject.Refused()), zap.Int("events", len(w.events)))
	}
	return true
}

func (r *Runner) placeService(ctx context.Context, servers []members.Server, works []*work, now time.Time) {
	slices.SortFunc(works, func(a, b *work) int { return cmp.Compare(a.item.ID, b.item.ID) })
	engines, usable := r.engines(servers, now)
	samples := r.samples(works, engines, now)
	if slices.ContainsFunc(works, func(w *work) bool { return w.phase == waiting }) {
		r.order(works, samples, engines, now)
	}
	var queue []*work
	var waits []place.Sample
	for i, w := range works {
		if w.phase == waiting {
			queue, waits = append(queue, w), append(waits, samples[i])
		}
	}
	for _, c := range place.Assign(engines, waits) {
		w, e := queue[c.Sample], engines[c.Engine]
		w.pace = e.Pace
		r.start(ctx, w, usable[e.ID], now)
		r.zlog.Info("Sample starts.", zap.String("id", w.item.ID), zap.String("job", w.job.ID), zap.String("server", e.ID),
			zap.Uint64("version", e.Versions[w.model()]), zap.Uint64("floor", w.job.MinVersion), zap.Int("load", e.Load), zap.Int("slots", e.Slots),
			zap.Float64("pace_s", e.Pace), zap.Float64("left", waits[c.Sample].Remaining), zap.Int("rank", waits[c.Sample].Rank), zap.Int("behind", len(w.events)),
			zap.Int("waiting", len(queue)), zap.Int("engines", len(engines)))
	}
	r.moveOne(works, samples, engines, now)
}

// samples describes the items of a service.
func (r *Runner) samples(works []*work, engines []place.Engine, now time.Time) []place.Sample {
	samples := make([]place.Sample, len(works))
	for i, w := range works {
		samples[i] = w.sample(r.left(w), now)
		if w.phase == waiting && r.beginsAgain(w, &samples[i], engines, now) {
			samplesRestart.Add(1)
			w.restart()
			samples[i] = w.sample(r.left(w), now)
		}
	}
	return samples
}

// beginsAgain tells whether the text of a sample that only one version may go on
// with is dropped: no engine has that version, and engines only move forward, or
// those that have it hold the sample up.
func (r *Runner) beginsAgain(w *work, s *place.Sample, engines []place.Engine, now time.Time) bool {
	if s.OnlyVersion == 0 {
		return false
	}
	if !place.HasOnlyVersion(engines, s) {
		return true
	}
	progress := w.progress(now)
	if !place.ShouldRestart(engines, s, progress) {
		return false
	}
	r.zlog.Info("Sample begins again.", zap.String("id", w.item.ID), zap.String("job", w.job.ID), zap.Uint64("version", s.OnlyVersion),
		zap.Int("events", len(w.events)), zap.Float64("left", s.Remaining), zap.Int("setbacks", progress.BrokenStreams), zap.Float64("took_s", progress.OwnerSeconds))
	return true
}

// moveOne takes one sample from an engine that is slower than others with room, or so
// slow that the sample does better to wait for one of those.
func (r *Runner) moveOne(works []*work, samples []place.Sample, engines []place.Engine, now time.Time) {
	var moving []place.Running
	var movers []*work
	for i, w := range works {
		if w.phase == running {
			_, known := r.guess(w)
			moving, movers = append(moving, place.Running{Sample: samples[i], Engine: w.server, Estimated: known}), append(movers, w)
		}
	}
	at := place.ChooseMigration(engines, moving)
	if at < 0 {
		return
	}
	w := movers[at]
	samplesMoved.Add(1)
	r.zlog.Info("Sample leaves a slow engine.", zap.String("id", w.item.ID), zap.String("job", w.job.ID),
		zap.String("server", w.server), zap.Float64("pace_s", r.paces.At(now)[w.server]), zap.Float64("left", moving[at].Remaining), zap.Int("events", len(w.events)))
	r.requeue(w, avoidSilent, now)
	r.rouse()
}

// engines describes the engines of a service that may be used, with the load that
// this process and the other owners put on them.
func (r *Runner) engines(servers []members.Server, now time.Time) ([]place.Engine, map[string]members.Server) {
	own := map[string]int{}
	for _, works := range r.works {
		for server, n := range ownLoad(slices.Collect(maps.Values(works))) {
			own[server] += n
		}
	}
	r.book.mu.Lock()
	defer r.book.mu.Unlock()
	others, paces := r.othersLoad(), r.paces.At(now)
	out := make([]place.Engine, 0, len(servers))
	usable := make(map[string]members.Server, len(servers))
	for _, s := range servers {
		if s.Leaving || now.Before(r.shunned[s.ID]) {
			continue
		}
		usable[s.ID] = s
		load := own[s.ID] + others[s.ID]
		e := place.Engine{ID: s.ID, Slots: r.probation.Slots(s.ID, s.Slots, load, own[s.ID]), Load: load, Pace: paces[s.ID]}
		e.Versions, e.Loading = r.versions(s, now)
		out = append(out, e)
	}
	return out, usable
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
// newest that it, its agent or its answers told of; and apart those that are being
// loaded. book.mu is held.
func (r *Runner) versions(s members.Server, now time.Time) (versions, loading map[string]uint64) {
	versions, loading = maps.Clone(s.Versions), map[string]uint64{}
	if versions == nil {
		versions = map[string]uint64{}
	}
	for model := range versions {
		key := jobs.EngineKey{Server: s.ID, Model: model}
		versions[model] = max(versions[model], r.observed[key])
		word, known := r.book.state.Engine(s.ID, model)
		if !known || !r.book.engineAt[key].After(r.denied[key]) {
			continue
		}
		if word.Loading && now.Sub(r.book.engineAt[key]) < loadingMost {
			delete(versions, model)
			loading[model] = word.Version
			continue
		}
		if !word.Loading {
			versions[model] = max(versions[model], word.Version)
		}
	}
	return versions, loading
}
