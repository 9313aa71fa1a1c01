// Package orders contains the agent that runs on the VM of an engine and orders it to load
// weights. The agent reads which versions are named, decides with decide/loads which one to
// load, and reports the engine's versions to the owners of samples. Each engine is ordered by
// its own agent only, so that no leader election is needed.
package orders

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/sleep"
	"dandelionsill.org/decide/loads"
	"dandelionsill.org/decide/members"
	"dandelionsill.org/decide/residency"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/fold/jobs"
	gatewayjobs "dandelionsill.org/gateway/jobs"
	"dandelionsill.org/gateway/view"
	"dandelionsill.org/platform"
	"dandelionsill.org/platform/hosted"
)

// Intervals and timeouts of the agent.
const (
	// idleInterval is the interval between two steps when no load is due; busyInterval is the
	// interval while the engine carries out an order or cannot be reached.
	idleInterval = time.Second
	busyInterval = 60 * time.Millisecond
	// unknownOutcomeDelay is the pause after an order that got no answer. The engine may still
	// carry the order out, so that its state is read only afterwards.
	unknownOutcomeDelay = 400 * time.Millisecond
	appendTimeout       = 600 * time.Millisecond
	// ownReportTTL is how long this process's last report about its engine takes precedence
	// over the engine's entry; it spans several updates of the entry, which is written every
	// second. The precedence has to expire: an order to an earlier incarnation of the engine
	// may be carried out after the last report, and the engine then has older weights than
	// reported. Without the expiry no step would notice that.
	ownReportTTL = 4 * time.Second
)

var (
	ordersAccepted = metrics.Counter("orders_taken_total")
	ordersRefused  = metrics.Counter("orders_refused_total")
	ordersUnknown  = metrics.Counter("orders_unknown_total")
)

// Engine is the interface of the engine that the agent orders.
type Engine interface {
	Report(ctx context.Context) (hosted.EngineReport, error)
	Order(ctx context.Context, o hosted.LoadOrder) (hosted.OrderOutcome, error)
}

// Config holds the identity of the agent's process and the parts that the agent uses.
type Config struct {
	VM          string
	Incarnation string
	Addr        string // address of the engine, IP:port
	View        *view.View
	Engine      Engine
	Log         platform.Log
	Logger      *zap.Logger
	// ModelRegions returns the allowed regions of the models whose samples all have some;
	// nil: none has.
	ModelRegions func() map[string]residency.Regions
}

// Agent orders one engine to load weights. All fields belong to the goroutine of Run; maps
// from strings are by model.
type Agent struct {
	cfg           Config
	log           *zap.Logger
	namedAt       map[string]time.Time // when the newest version was first seen
	newestVersion map[string]uint64
	// follows holds, as last logged, whether the engine loads the model's new versions.
	follows map[string]bool
	// listed holds whether any engine's entry contains the model's newest version.
	listed map[string]bool
	// loadTime and cadence estimate how long loads take and how often versions are named.
	loadTime     loads.LoadTimeEstimator
	cadence      map[string]*loads.CadenceEstimator
	fencingToken uint64
	// fencedAgainstPast: no earlier incarnation of this agent had a higher fencing token.
	fencedAgainstPast bool
	awaitsFeedEnd     bool // the end of the operator's feed could not be read the last time
	unreachable       bool // the engine's state could not be read the last time
	// staleServer is the ID of an entry whose server no longer runs at the engine's address,
	// as a misdirected order has shown; empty: none.
	staleServer string
	reported    map[jobs.EngineKey]jobs.Engine // last reports to the owners of samples
	reportedAt  time.Time                      // when the last report was made
	// parity holds the engine's parities; they do not change during its incarnation.
	parity map[jobs.EngineKey]loads.Parity
}

// New returns an agent that has not read anything yet.
func New(cfg Config) *Agent {
	return &Agent{
		cfg: cfg, log: cfg.Logger,
		namedAt: map[string]time.Time{}, newestVersion: map[string]uint64{}, listed: map[string]bool{}, cadence: map[string]*loads.CadenceEstimator{},
		follows: map[string]bool{}, reported: map[jobs.EngineKey]jobs.Engine{}, parity: map[jobs.EngineKey]loads.Parity{},
	}
}

// Run orders the engine until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := a.cfg.View.Changed.Next()
		wait := a.step(ctx)
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// step reads the state once, gives an order if one is due, and returns the time until the
// next step.
func (a *Agent) step(ctx context.Context) time.Duration {
	snap := a.cfg.View.Current()
	a.fencingToken = max(a.fencingToken, snap.OperatorEnd)
	a.recordNewVersions(snap)
	self, peers := a.findEngine(snap)
	if self == nil || self.Leaving {
		return idleInterval
	}
	a.observePeers(snap, self)
	if self.Evacuated || !a.isBehind(snap, self) {
		return idleInterval
	}
	report, err := a.cfg.Engine.Report(ctx)
	if err != nil {
		a.recordUnreachable(err)
		return busyInterval
	}
	a.recordReachable()
	if report.Busy || !maybeSameIncarnation(self.StartedAt, report.StartedAt) {
		return busyInterval // busy, or the list does not contain this incarnation yet
	}
	target := a.chooseLoad(snap, self, peers, report)
	if target == nil {
		a.publishServed(ctx, self.ID, report)
		return idleInterval
	}
	if due := a.dueAt(self, target); time.Now().Before(due) {
		return max(time.Until(due), time.Millisecond)
	}
	if !a.fenceAgainstPast(ctx) {
		return busyInterval
	}
	return a.order(ctx, snap, self, report, target)
}

// fenceAgainstPast raises the fencing token, before this incarnation's first order, to at least that of any
// earlier incarnation. Those derived it from what they had read of the operator's feed, and this one may know
// less: it may read the feed through a process that has fallen behind. Only the store knows the feed's end.
func (a *Agent) fenceAgainstPast(ctx context.Context) bool {
	if a.fencedAgainstPast {
		return true
	}
	end, err := a.cfg.View.ReadOperatorEnd(ctx)
	if err != nil {
		if !a.awaitsFeedEnd {
			a.log.Warn("An order waits: the end of the operator's feed can't be read.", zap.Error(err))
		}
		a.awaitsFeedEnd = true
		return false
	}
	a.log.Info("Determined the first fencing token.", zap.Uint64("read", a.fencingToken), zap.Uint64("end", end))
	a.fencingToken, a.fencedAgainstPast = max(a.fencingToken, end), true
	return true
}

// dueAt returns when a load should start. The engines of a failure domain that is taken back load in
// waves as if the version had just been named: all of them are behind, and loads slow each other down.
func (a *Agent) dueAt(self *members.Server, target *loads.Target) time.Time {
	return a.startOf(self, target.Model).Add(target.Delay)
}

// startOf returns since when the engine may load a model's newest version: since it was named, or since
// the engine's failure domain was taken back.
func (a *Agent) startOf(self *members.Server, model string) time.Time {
	if named := a.namedAt[model]; named.After(self.BackSince) {
		return named
	}
	return self.BackSince
}

// recordNewVersions records when versions were named that this process has not seen before.
func (a *Agent) recordNewVersions(snap *view.Snapshot) {
	for model, version := range snap.Versions {
		if version <= a.newestVersion[model] {
			continue
		}
		if a.cadence[model] == nil {
			a.cadence[model] = &loads.CadenceEstimator{}
		}
		now := time.Now()
		a.cadence[model].VersionNamed(now, version-a.newestVersion[model])
		a.loadTime.VersionNamed()
		a.newestVersion[model], a.namedAt[model] = version, now
		delete(a.listed, model)
	}
}

// observePeers updates the load time estimate with the time since a model's newest version was
// named, until an engine of the service is listed with that version. The time in which the engine's
// failure domain is evacuated, perhaps with all others, says nothing of loads.
func (a *Agent) observePeers(snap *view.Snapshot, self *members.Server) {
	for model, version := range snap.Versions {
		if a.listed[model] || version < 2 {
			continue
		}
		if !self.Evacuated {
			a.loadTime.ObservePeers(time.Since(a.startOf(self, model)))
		}
		a.listed[model] = slices.ContainsFunc(snap.Servers[self.Service], func(s members.Server) bool { return s.Versions[model] >= version })
	}
}

// findEngine returns the engine on this VM and the IDs of all engines of its service that share out the
// models; nil: the engine is not listed. The entry staleServer is ignored. The list
// contains the engine's new incarnation within seconds; until then every order to the old one
// is refused, and without this rule 73 agents with an outdated list sent 150 such orders per
// second.
func (a *Agent) findEngine(snap *view.Snapshot) (*members.Server, []string) {
	for _, servers := range snap.Servers {
		for i := range servers {
			if servers[i].Addr != a.cfg.Addr || servers[i].ID == a.staleServer {
				continue
			}
			var peers []string
			for _, s := range servers {
				if sharesModels(snap, &s) {
					peers = append(peers, s.ID)
				}
			}
			return &servers[i], peers
		}
	}
	return nil, nil
}

// standInAfter is how long a failure domain must have been evacuated before the other engines take over
// the models of its engines: they load them anew, which evacuations in quick succession would repeat.
const standInAfter = 2 * time.Second

// sharesModels reports whether an engine is among those that share out the models.
func sharesModels(snap *view.Snapshot, s *members.Server) bool {
	since, isEvacuated := snap.Evacuated[s.FailureDomain]
	return !s.Leaving && (!isEvacuated || time.Since(since) < standInAfter)
}

// maybeSameIncarnation reports whether two start times of an engine may belong to the same
// incarnation. Zero means unknown: engines of older platforms do not report a start time.
func maybeSameIncarnation(a, b time.Time) bool { return a.IsZero() || b.IsZero() || a.Equal(b) }

// isBehind reports whether any model has a version that the engine may not have.
func (a *Agent) isBehind(snap *view.Snapshot, self *members.Server) bool {
	useReported := time.Since(a.reportedAt) < ownReportTTL
	for model, version := range snap.Versions {
		known := self.Versions[model]
		if useReported {
			known = max(known, a.reported[jobs.EngineKey{Server: self.ID, Model: model}].Version)
		}
		if version > known {
			return true
		}
	}
	return false
}

// recordUnreachable records that the engine's state could not be read.
func (a *Agent) recordUnreachable(err error) {
	if !a.unreachable {
		a.log.Warn("The engine is unreachable.", zap.String("addr", a.cfg.Addr), zap.Error(err))
	}
	a.unreachable = true
}

// recordReachable records that the engine's state was read.
func (a *Agent) recordReachable() {
	if a.unreachable {
		a.log.Info("The engine is reachable again.", zap.String("addr", a.cfg.Addr))
	}
	a.unreachable = false
}

// chooseLoad returns the load to do next, over all models of the engine; nil: there is none.
// Urgent loads come first, then the one that is due earliest.
func (a *Agent) chooseLoad(snap *view.Snapshot, self *members.Server, peers []string, report hosted.EngineReport) *loads.Target {
	fleet := loads.Fleet{Models: slices.Collect(maps.Keys(report.Versions)), LoadTime: a.loadTime.LoadTime(), Total: len(peers)}
	regions := a.modelRegions()
	var chosen *loads.Target
	for _, model := range slices.Sorted(maps.Keys(report.Versions)) {
		if snap.Versions[model] == 0 {
			continue
		}
		fleet.Engines = enginesIn(peers, snap.Servers[self.Service], regions[model])
		fleet.NamingInterval = a.cadence[model].NamingInterval()
		a.logFollowing(fleet, self.ID, model)
		target := fleet.Choose(self.ID, report.Versions[model], model, snap.Versions[model], a.parityOf(fleet, self.ID, model))
		if target == nil {
			continue
		}
		if chosen == nil || target.Urgent && !chosen.Urgent ||
			target.Urgent == chosen.Urgent && a.dueAt(self, target).Before(a.dueAt(self, chosen)) {
			chosen = target
		}
	}
	return chosen
}

// modelRegions returns the allowed regions of models.
func (a *Agent) modelRegions() map[string]residency.Regions {
	if a.cfg.ModelRegions == nil {
		return nil
	}
	return a.cfg.ModelRegions()
}

// enginesIn returns the engines in the regions; all if there are none there.
func enginesIn(ids []string, servers []members.Server, regions residency.Regions) []string {
	if !regions.IsRestricted() {
		return ids
	}
	var inside []string
	for i := range servers {
		if regions.Allows(servers[i].Region) && slices.Contains(ids, servers[i].ID) {
			inside = append(inside, servers[i].ID)
		}
	}
	if len(inside) == 0 {
		return ids
	}
	return inside
}

// logFollowing logs whether the engine loads a model's new versions or leaves them to other
// engines, when that is first determined and when it changes.
func (a *Agent) logFollowing(fleet loads.Fleet, server, model string) {
	follows := fleet.Serves(server, model)
	if previous, known := a.follows[model]; known && previous == follows {
		return
	}
	a.follows[model] = follows
	a.log.Info("Determined whether the engine follows a model.", zap.String("server", server), zap.String("model", model), zap.Bool("follows", follows),
		zap.Int("engines", len(fleet.Engines)), zap.Int("models", len(fleet.Models)), zap.Duration("load_time", fleet.LoadTime), zap.Duration("every", fleet.NamingInterval))
}

// parityOf returns the parity that the engine was given when a version of the model was first
// named.
func (a *Agent) parityOf(fleet loads.Fleet, server, model string) loads.Parity {
	key := jobs.EngineKey{Server: server, Model: model}
	parity, known := a.parity[key]
	if !known && fleet.Serves(server, model) {
		parity = fleet.Parity(server, model)
		a.parity[key] = parity
	}
	return parity
}

// order gives one order, waits until the engine has carried it out, and returns the time until
// the next step.
func (a *Agent) order(ctx context.Context, snap *view.Snapshot, self *members.Server, report hosted.EngineReport, target *loads.Target) time.Duration {
	start := time.Now()
	o := hosted.LoadOrder{
		Server: self.Name, Model: target.Model, Version: target.Version, Mode: a.loadMode(snap, self.Service),
		Holder: a.cfg.VM, Fence: a.fencingToken, ExpectedOrders: report.Orders,
	}
	a.publish(ctx, jobs.Engine{Server: self.ID, Model: target.Model, Version: target.Version, Loading: true})
	outcome, err := a.cfg.Engine.Order(ctx, o)
	a.log.Info("Ordered the engine to load weights.", zap.String("server", self.ID), zap.String("model", o.Model), zap.Uint64("version", o.Version),
		zap.Uint64("from", report.Versions[o.Model]), zap.String("mode", string(o.Mode)), zap.Uint64("fence", o.Fence),
		zap.Uint64("after", o.ExpectedOrders), zap.Bool("urgent", target.Urgent), zap.Duration("load_time", a.loadTime.LoadTime()), zap.Int("running", report.Running),
		zap.Uint8("outcome", uint8(outcome)), zap.Error(err))
	switch outcome {
	case hosted.OrderAccepted, hosted.OrderAlreadyLoaded:
		ordersAccepted.Add(1)
	case hosted.OrderRefused:
		ordersRefused.Add(1)
	case hosted.OrderMisdirected:
		ordersRefused.Add(1)
		a.staleServer = self.ID
		return idleInterval
	default:
		ordersUnknown.Add(1)
		sleep.For(ctx, unknownOutcomeDelay)
	}
	after := a.waitIdle(ctx)
	if !maybeSameIncarnation(after.StartedAt, report.StartedAt) {
		a.log.Info("The engine was restarted during an order.", zap.String("server", self.ID), zap.Time("born", after.StartedAt))
		return busyInterval
	}
	if after.Versions[o.Model] >= o.Version && outcome == hosted.OrderAccepted {
		a.loadTime.ObserveOwn(time.Since(start))
	}
	a.publishServed(ctx, self.ID, after)
	if outcome != hosted.OrderAccepted && outcome != hosted.OrderAlreadyLoaded {
		return busyInterval
	}
	return time.Millisecond
}

// loadMode returns LoadWait if the service is a target of a batch route whose samples have to
// be generated by a single version: running streams then finish before the weights change.
// Otherwise it returns LoadRetain, with which streams continue across the change. It also
// returns LoadWait as long as there is no routing table.
func (a *Agent) loadMode(snap *view.Snapshot, service string) hosted.LoadMode {
	if snap.Table == nil {
		return hosted.LoadWait
	}
	for _, r := range snap.Table.Routes {
		if r.Kind != table.Batch || !r.SingleVersion {
			continue
		}
		for _, t := range r.Targets {
			if t.Service == service {
				return hosted.LoadWait
			}
		}
	}
	return hosted.LoadRetain
}

// waitIdle waits until the engine carries out no order and returns its state; the zero value
// if ctx ends first.
func (a *Agent) waitIdle(ctx context.Context) hosted.EngineReport {
	for ctx.Err() == nil {
		report, err := a.cfg.Engine.Report(ctx)
		if err != nil {
			a.recordUnreachable(err)
		} else if a.recordReachable(); !report.Busy {
			return report
		}
		sleep.For(ctx, busyInterval)
	}
	return hosted.EngineReport{}
}

// publishServed reports the versions that the engine serves to the owners of samples, if they
// differ from the last report.
func (a *Agent) publishServed(ctx context.Context, server string, report hosted.EngineReport) {
	var changed []jobs.Engine
	for _, model := range slices.Sorted(maps.Keys(report.Versions)) {
		e := jobs.Engine{Server: server, Model: model, Version: report.Versions[model]}
		if a.reported[jobs.EngineKey{Server: server, Model: model}] != e {
			changed = append(changed, e)
		}
	}
	if len(changed) > 0 {
		a.publish(ctx, changed...)
	}
}

// publish appends reports about the engine to the log. They only help owners to choose an
// engine, so that an append that fails is not repeated.
func (a *Agent) publish(ctx context.Context, reports ...jobs.Engine) {
	a.reportedAt = time.Now()
	for _, e := range reports {
		a.reported[jobs.EngineKey{Server: e.Server, Model: e.Model}] = e
	}
	r := jobs.Record{Writer: jobs.Writer{VM: a.cfg.VM, Incarnation: a.cfg.Incarnation}, Engines: reports}
	data, err := r.Encode()
	if err != nil {
		a.log.Error("Could not encode a report about the engine.", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := a.cfg.Log.Append(ctx, gatewayjobs.Stream, data); err != nil {
		a.log.Warn("Could not append a report about the engine.", zap.Error(err))
	}
}
