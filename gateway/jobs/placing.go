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

// requeueSilent ends the streams that have been silent for too long and requeues their items.
func (r *Runner) requeueSilent(now time.Time) {
	for _, active := range r.active {
		for _, a := range active {
			if a.phase != running {
				continue
			}
			silence, beforeFirst := now.Sub(a.lastEventAt), a.streamEvents == 0
			limit := r.streamTimeouts.Limit(beforeFirst, a.pace)
			if silence < limit {
				continue
			}
			streamsTimedOut.Add(1)
			r.streamTimeouts.ObserveTimeout(silence, beforeFirst)
			r.paces.Observe(a.server, silence, now) // an event takes at least that long
			if beforeFirst {
				r.domains.RecordFailure(a.domain, a.server, now)
				r.exclude(a.server, r.probation.RecordFailure(a.server), now)
			}
			r.zlog.Info("Sample leaves a silent engine.", zap.String("id", a.item.ID), zap.String("job", a.job.ID),
				zap.String("server", a.server), zap.Duration("silent", silence), zap.Duration("limit", limit), zap.Int("events", len(a.events)))
			r.requeue(a, avoidSilent, now)
		}
	}
}

// requeue makes a running item wait again, away from its engine for the given time.
func (r *Runner) requeue(a *activeItem, avoid time.Duration, now time.Time) {
	a.avoidUntil[a.server] = now.Add(avoid)
	a.phase, a.waitingSince = waiting, now
	a.brokenStreams++
	if a.stop != nil {
		a.stop()
		a.stop = nil
	}
	r.report(a, true)
}

// placeAll assigns waiting items to engines, and migrates at most one item of each service
// from a slow engine.
func (r *Runner) placeAll(ctx context.Context, now time.Time) {
	byService := map[string][]*activeItem{}
	snap := r.view.Current()
	for _, active := range r.active {
		for _, a := range active {
			if a.phase == waiting && a.complete {
				r.completeText(ctx, a)
			}
			if a.phase == waiting && r.isQuarantined(a) {
				continue
			}
			if service := a.pickService(snap.Table); service != "" {
				byService[service] = append(byService[service], a)
			}
		}
	}
	for service, active := range byService {
		r.placeService(ctx, snap.Servers[service], active, now)
	}
}

// isQuarantined reports whether the item is in quarantine because each engine that ran it
// crashed. It then waits until the quarantine or its job ends: this is not a failure that may
// be reported to its trainer, and the next engine would crash too, with all samples there.
func (r *Runner) isQuarantined(a *activeItem) bool {
	subject := r.subject(a)
	if subject.Verdict() != poison.Quarantined {
		return false
	}
	if !a.quarantineLogged {
		a.quarantineLogged = true
		samplesQuarantined.Add(1)
		r.zlog.Warn("Sample is quarantined: each engine that ran it crashed.", zap.String("id", a.item.ID), zap.String("job", a.job.ID),
			zap.String("request", string(subject.Fingerprint())), zap.Duration("for", subject.RecordRefusal()), zap.Int("events", len(a.events)))
	}
	return true
}

func (r *Runner) placeService(ctx context.Context, servers []members.Server, active []*activeItem, now time.Time) {
	slices.SortFunc(active, func(x, y *activeItem) int { return cmp.Compare(x.item.ID, y.item.ID) })
	engines, usable := r.usableEngines(servers, now)
	samples := r.samples(active, engines, now)
	if slices.ContainsFunc(active, func(a *activeItem) bool { return a.phase == waiting }) {
		r.rankSamples(active, samples, engines, now)
	}
	var queue []*activeItem
	var queued []place.Sample
	for i, a := range active {
		if a.phase == waiting {
			queue, queued = append(queue, a), append(queued, samples[i])
		}
	}
	for _, c := range place.Assign(engines, queued) {
		a, e := queue[c.Sample], engines[c.Engine]
		a.pace = e.Pace
		r.startStream(ctx, a, usable[e.ID], now)
		r.zlog.Info("Sample starts.", zap.String("id", a.item.ID), zap.String("job", a.job.ID), zap.String("server", e.ID),
			zap.Uint64("version", e.Versions[a.model()]), zap.Uint64("floor", a.job.MinVersion), zap.Int("load", e.Load), zap.Int("slots", e.Slots),
			zap.Float64("pace_s", e.Pace), zap.Float64("left", queued[c.Sample].Remaining), zap.Int("rank", queued[c.Sample].Rank), zap.Int("behind", len(a.events)),
			zap.Int("waiting", len(queue)), zap.Int("engines", len(engines)))
	}
	r.migrateOne(active, samples, engines, now)
}

// samples describes the items of a service for placement, and restarts those that should be.
func (r *Runner) samples(active []*activeItem, engines []place.Engine, now time.Time) []place.Sample {
	samples := make([]place.Sample, len(active))
	for i, a := range active {
		samples[i] = a.sample(r.remainingEvents(a), now)
		if a.phase == waiting && r.shouldRestart(a, &samples[i], engines, now) {
			samplesRestarted.Add(1)
			a.restart()
			samples[i] = a.sample(r.remainingEvents(a), now)
		}
	}
	return samples
}

// shouldRestart reports whether the text of a sample that requires one version is dropped: no
// engine has that version, and engines never go back to an older one, or the engines that have
// it delay the sample too much.
func (r *Runner) shouldRestart(a *activeItem, s *place.Sample, engines []place.Engine, now time.Time) bool {
	if s.OnlyVersion == 0 {
		return false
	}
	if !place.HasOnlyVersion(engines, s) {
		return true
	}
	progress := a.progress(now)
	if !place.ShouldRestart(engines, s, progress) {
		return false
	}
	r.zlog.Info("Sample restarts.", zap.String("id", a.item.ID), zap.String("job", a.job.ID), zap.Uint64("version", s.OnlyVersion),
		zap.Int("events", len(a.events)), zap.Float64("left", s.Remaining), zap.Int("setbacks", progress.BrokenStreams), zap.Float64("took_s", progress.OwnerSeconds))
	return true
}

// migrateOne takes one sample from an engine that is slower than others with free slots, or so
// slow that the sample finishes earlier if it waits for one of those.
func (r *Runner) migrateOne(active []*activeItem, samples []place.Sample, engines []place.Engine, now time.Time) {
	var runningSamples []place.Running
	var runningItems []*activeItem
	for i, a := range active {
		if a.phase == running {
			_, known := r.estimateEvents(a)
			runningSamples, runningItems = append(runningSamples, place.Running{Sample: samples[i], Engine: a.server, Estimated: known}), append(runningItems, a)
		}
	}
	chosen := place.ChooseMigration(engines, runningSamples)
	if chosen < 0 {
		return
	}
	a := runningItems[chosen]
	samplesMigrated.Add(1)
	r.zlog.Info("Sample leaves a slow engine.", zap.String("id", a.item.ID), zap.String("job", a.job.ID),
		zap.String("server", a.server), zap.Float64("pace_s", r.paces.At(now)[a.server]), zap.Float64("left", runningSamples[chosen].Remaining), zap.Int("events", len(a.events)))
	r.requeue(a, avoidSilent, now)
	r.requestPlan()
}

// usableEngines describes the engines of a service that may be used, with the load of this
// process and of the other owners, and returns their entries by id.
func (r *Runner) usableEngines(servers []members.Server, now time.Time) ([]place.Engine, map[string]members.Server) {
	own := map[string]int{}
	for _, active := range r.active {
		for server, n := range ownLoad(slices.Collect(maps.Values(active))) {
			own[server] += n
		}
	}
	r.index.mu.Lock()
	defer r.index.mu.Unlock()
	others, paces := r.othersLoad(), r.paces.At(now)
	out := make([]place.Engine, 0, len(servers))
	usable := make(map[string]members.Server, len(servers))
	for _, s := range servers {
		if !s.TakesWork() || now.Before(r.excludedUntil[s.ID]) {
			continue
		}
		usable[s.ID] = s
		load := own[s.ID] + others[s.ID]
		e := place.Engine{ID: s.ID, Slots: r.probation.Slots(s.ID, s.Slots, load, own[s.ID]), Load: load, Pace: paces[s.ID]}
		e.Cost = place.Cost(r.neighbours.regions().Distance(r.neighbours.domain(), s.FailureDomain), r.domains.IsSuspect(s.FailureDomain, now))
		e.Versions, e.Loading = r.versions(s, now)
		out = append(out, e)
	}
	return out, usable
}

// othersLoad counts the samples of other owners at each engine, as reported in the log;
// index.mu is held.
func (r *Runner) othersLoad() map[string]int {
	load := map[string]int{}
	r.index.state.Each(func(j *jobs.Job) {
		if !j.IsOpen() || j.Owner == r.writer {
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

// versions returns the weight versions with which a server can be used now, by model: the
// newest that its entry, its agent or its answers reported. Versions that are being loaded are
// returned separately. index.mu is held.
func (r *Runner) versions(s members.Server, now time.Time) (versions, loading map[string]uint64) {
	versions, loading = maps.Clone(s.Versions), map[string]uint64{}
	if versions == nil {
		versions = map[string]uint64{}
	}
	for model := range versions {
		key := jobs.EngineKey{Server: s.ID, Model: model}
		versions[model] = max(versions[model], r.observedVersions[key])
		report, known := r.index.state.Engine(s.ID, model)
		if !known || !r.index.engineReportedAt[key].After(r.deniedAt[key]) {
			continue
		}
		if report.Loading && now.Sub(r.index.engineReportedAt[key]) < maxLoadingAge {
			delete(versions, model)
			loading[model] = report.Version
			continue
		}
		if !report.Loading {
			versions[model] = max(versions[model], report.Version)
		}
	}
	return versions, loading
}
