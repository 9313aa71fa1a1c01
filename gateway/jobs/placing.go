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
	"dandelionsill.org/decide/route"
	"dandelionsill.org/fold/jobs"
)

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
			service := serviceOf(snap.Table, w.item.Host, w.item.Path, route.Hash(w.item.ID))
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
	slices.SortFunc(works, func(a, b *work) int { return cmp.Compare(a.item.ID, b.item.ID) })
	engines, usable := r.engines(servers, now)
	var queue []*work
	var samples []place.Sample
	var moving []place.Running
	var movers []*work
	for _, w := range works {
		if w.phase == waiting {
			sample := w.sample(now)
			if sample.Only != 0 && !place.Served(engines, &sample) {
				// Engines only move forward: nobody will ever go on with it.
				samplesRestart.Add(1)
				w.restart()
				sample = w.sample(now)
			}
			queue = append(queue, w)
			samples = append(samples, sample)
			continue
		}
		moving = append(moving, place.Running{Sample: w.sample(now), Engine: w.server})
		movers = append(movers, w)
	}
	for _, c := range place.Assign(engines, samples) {
		w, e := queue[c.Sample], engines[c.Engine]
		r.start(ctx, w, usable[e.ID], now)
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

// engines describes the engines of a service that may be used, with the load that
// this process and the other owners put on them.
func (r *Runner) engines(servers []members.Server, now time.Time) ([]place.Engine, map[string]members.Server) {
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
	usable := make(map[string]members.Server, len(servers))
	for _, s := range servers {
		if s.Leaving || now.Before(r.shunned[s.ID]) {
			continue
		}
		usable[s.ID] = s
		out = append(out, place.Engine{
			ID: s.ID, Slots: s.Slots, Load: own[s.ID] + others[s.ID], Pace: r.pace[s.ID], Versions: r.versions(s, now),
		})
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
		if !known || !r.book.engineAt[key].After(r.denied[key]) {
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
