package jobs

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/decide/members"
	"dandelionsill.org/decide/place"
	"dandelionsill.org/decide/residency"
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

// placeAll assigns waiting items to engines in their allowed regions, and migrates at most one item
// of each pool from a slow engine.
func (r *Runner) placeAll(ctx context.Context, now time.Time) {
	byPool := map[pool][]*activeItem{}
	snap := r.view.Current()
	for _, active := range r.active {
		r.followConfiguration(active)
		for _, a := range active {
			if a.phase == waiting && a.complete {
				r.completeText(ctx, a)
			}
			if a.awaitsConfiguration && r.giveUpFailed(a) {
				continue
			}
			if service := a.pickService(snap.Table); service != "" {
				p := pool{service, a.regions.String()}
				byPool[p] = append(byPool[p], a)
			}
		}
	}
	for _, active := range orderPools(byPool) {
		r.placePool(ctx, serversIn(snap.Servers[active[0].service], active[0].regions), active, now)
	}
}

// followConfiguration brings the version rule of a job's items up to date.
func (r *Runner) followConfiguration(active map[string]*activeItem) {
	var rule jobs.VersionRule
	isKnown := false
	for _, a := range active {
		if !isKnown {
			rule, isKnown = r.versionRule(a.job), true
		}
		a.versions = rule
	}
}

// pool is the engines of a service that may run an item: those in its allowed regions.
type pool struct {
	service string
	regions string
}

// orderPools returns the items by pool. Items with allowed regions are placed before others of their
// service, which may use other engines too.
func orderPools(byPool map[pool][]*activeItem) [][]*activeItem {
	order := make([][]*activeItem, 0, len(byPool))
	for _, active := range byPool {
		order = append(order, active)
	}
	slices.SortStableFunc(order, func(x, y []*activeItem) int {
		return cmp.Compare(regionCount(x[0].regions), regionCount(y[0].regions))
	})
	return order
}

// regionCount orders sets of regions by size.
func regionCount(regions residency.Regions) int {
	if !regions.IsRestricted() {
		return math.MaxInt
	}
	return len(regions.Names())
}

// serversIn returns the servers in the allowed regions.
func serversIn(servers []members.Server, regions residency.Regions) []members.Server {
	if !regions.IsRestricted() {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s members.Server) bool { return !regions.Allows(s.Region) })
}

func (r *Runner) placePool(ctx context.Context, servers []members.Server, active []*activeItem, now time.Time) {
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
	service := active[0].service
	r.cold.limit(service, servers, engines, len(queue), now)
	for _, c := range place.Assign(engines, queued) {
		a, e := queue[c.Sample], engines[c.Engine]
		if !r.cold.reserve(service, usable[e.ID], now) {
			continue
		}
		a.pace = e.Pace
		r.startStream(ctx, a, usable[e.ID], now)
		r.zlog.Info("Sample starts.", zap.String("id", a.item.ID), zap.String("job", a.job.ID), zap.String("server", e.ID),
			zap.Uint64("version", e.Versions[a.model()]), zap.Uint64("floor", a.job.MinVersion), zap.Int("load", e.Load), zap.Int("slots", e.Slots),
			zap.Float64("pace_s", e.Pace), zap.Float64("left", queued[c.Sample].Remaining), zap.Int("rank", queued[c.Sample].Rank), zap.Int("behind", len(a.events)),
			zap.Int("waiting", len(queue)), zap.Int("engines", len(engines)))
	}
	r.migrateOne(active, samples, append(engines, r.evacuatedEngines(servers, now)...), now)
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
	if s.OnlyVersion == 0 || a.versions != jobs.OneVersion {
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
		e := place.Engine{ID: s.ID, Slots: r.probation.Slots(s.ID, s.SlotsAt(now), load, own[s.ID]), Load: load, Pace: paces[s.ID]}
		e.Cost = place.Cost(r.neighbours.regions().Distance(r.neighbours.domain(), s.FailureDomain), r.neighbours.bearsLostDomains() && r.domains.IsSuspect(s.FailureDomain, now))
		e.Versions, e.Loading = r.versions(s, now)
		out = append(out, e)
	}
	return out, usable
}

// evacuatedEngines describes the engines of evacuated failure domains, which take no sample. Samples
// that run there leave them like any other engine: only if they are slowed down, since to read the prompt
// and the text again elsewhere takes longer, and takes a slot from those that wait.
func (r *Runner) evacuatedEngines(servers []members.Server, now time.Time) []place.Engine {
	var out []place.Engine
	for _, s := range servers {
		if s.Evacuated {
			out = append(out, place.Engine{ID: s.ID, Pace: r.paces.At(now)[s.ID]})
		}
	}
	return out
}

// RunningAt returns the number of samples of this process that run at each engine that has any.
func (r *Runner) RunningAt() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	load := map[string]int{}
	for _, active := range r.active {
		for _, a := range active {
			if a.phase == running {
				load[a.server]++
			}
		}
	}
	return load
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
