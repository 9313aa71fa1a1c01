// Package orders runs beside one engine and is the only one that ever orders
// it, so that no election is needed: it reads what is named, decides by
// decide/loads, and tells the owners of samples what the engine does.
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
	"dandelionsill.org/decide/table"
	"dandelionsill.org/fold/jobs"
	gatewayjobs "dandelionsill.org/gateway/jobs"
	"dandelionsill.org/gateway/view"
	"dandelionsill.org/platform"
	"dandelionsill.org/platform/hosted"
)

// Times of the agent.
const (
	// idleInterval and lookBusy are how often the engine is asked for its state
	// when nothing is due and while an order is carried out.
	idleInterval = time.Second
	busyInterval = 60 * time.Millisecond
	// unknownOutcomeDelay is how long after an order without an answer the engine is
	// watched before it is ordered again.
	unknownOutcomeDelay = 400 * time.Millisecond
	appendTimeout       = 600 * time.Millisecond
	// ownReportTTL is how long this process's own word about its engine goes before the
	// engine's entry: some of an entry's intervals of a second. An order of an
	// earlier start of the engine may be carried out after the last report; the
	// engine then has older weights than was told, and nobody would look again.
	ownReportTTL = 4 * time.Second
)

var (
	ordersTaken   = metrics.Counter("orders_taken_total")
	ordersRefused = metrics.Counter("orders_refused_total")
	ordersUnknown = metrics.Counter("orders_unknown_total")
)

// Engine is the engine that the agent orders.
type Engine interface {
	Report(ctx context.Context) (hosted.EngineReport, error)
	Order(ctx context.Context, o hosted.LoadOrder) (hosted.OrderOutcome, error)
}

// Config says where the agent runs.
type Config struct {
	VM          string
	Incarnation string
	Addr        string // of the engine, IP:port
	View        *view.View
	Engine      Engine
	Log         platform.Log
	Logger      *zap.Logger
}

// Agent orders one engine.
type Agent struct {
	cfg           Config
	log           *zap.Logger
	namedAt       map[string]time.Time // when each model's newest version was seen
	newestVersion map[string]uint64
	// follows tells which models the engine follows.
	follows map[string]bool
	// listed: an engine is listed with the model's newest version.
	listed map[string]bool
	// loadTime and cadence (by model) are what loads are planned by.
	loadTime     loads.LoadTimeEstimator
	cadence      map[string]*loads.CadenceEstimator
	fencingToken uint64
	unreachable  bool
	// staleServer is the server that was found not to be at the engine's address any more.
	staleServer string
	reported    map[jobs.EngineKey]jobs.Engine
	// reportedAt is when the last word about the engine was told.
	reportedAt time.Time
	// parity is kept for the life of the engine.
	parity map[jobs.EngineKey]loads.Parity
}

// New returns an agent.
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

// step looks once and returns when to look again.
func (a *Agent) step(ctx context.Context) time.Duration {
	snap := a.cfg.View.Current()
	a.fencingToken = max(a.fencingToken, snap.OperatorOffset+1)
	a.recordNewVersions(snap)
	self, peers := a.findEngine(snap)
	if self == nil || self.Leaving {
		return idleInterval
	}
	a.observePeers(snap, self.Service)
	if !a.isBehind(snap, self) {
		return idleInterval
	}
	report, err := a.cfg.Engine.Report(ctx)
	if err != nil {
		a.recordUnreachable(err)
		return busyInterval
	}
	a.recordReachable()
	if report.Busy || !maybeSameIncarnation(self.StartedAt, report.StartedAt) {
		return busyInterval // of the engine's last start the list does not tell yet
	}
	target := a.chooseLoad(snap, self, peers, report)
	if target == nil {
		a.publishServed(ctx, self.ID, report)
		return idleInterval
	}
	if due := a.namedAt[target.Model].Add(target.Delay); time.Now().Before(due) {
		return max(time.Until(due), time.Millisecond)
	}
	return a.order(ctx, snap, self, report, target)
}

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

// observePeers notes how long the first engine took that is listed with a model's
// newest version.
func (a *Agent) observePeers(snap *view.Snapshot, service string) {
	for model, version := range snap.Versions {
		if a.listed[model] || version < 2 {
			continue
		}
		a.loadTime.ObservePeers(time.Since(a.namedAt[model]))
		a.listed[model] = slices.ContainsFunc(snap.Servers[service], func(s members.Server) bool { return s.Versions[model] >= version })
	}
}

// findEngine returns the engine beside this process and all engines of its service. An
// entry that an order has shown to be of the past is passed over: the list tells of
// the engine's new start within seconds, and until then 73 agents whose list stood
// still gave 150 orders a second that were all refused.
func (a *Agent) findEngine(snap *view.Snapshot) (*members.Server, []string) {
	for _, servers := range snap.Servers {
		for i := range servers {
			if servers[i].Addr != a.cfg.Addr || servers[i].ID == a.staleServer {
				continue
			}
			var peers []string
			for _, s := range servers {
				if !s.Leaving {
					peers = append(peers, s.ID)
				}
			}
			return &servers[i], peers
		}
	}
	return nil, nil
}

// maybeSameIncarnation tells whether two words about an engine may be of one start of it;
// zero: engines of older platforms don't tell.
func maybeSameIncarnation(a, b time.Time) bool { return a.IsZero() || b.IsZero() || a.Equal(b) }

// isBehind tells whether any model has a version that the engine may not have.
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

func (a *Agent) recordUnreachable(err error) {
	if !a.unreachable {
		a.log.Warn("Lost the engine.", zap.String("addr", a.cfg.Addr), zap.Error(err))
	}
	a.unreachable = true
}

func (a *Agent) recordReachable() {
	if a.unreachable {
		a.log.Info("The engine is back.", zap.String("addr", a.cfg.Addr))
	}
	a.unreachable = false
}

// chooseLoad returns the most urgent load, then the one that is due first.
func (a *Agent) chooseLoad(snap *view.Snapshot, self *members.Server, peers []string, report hosted.EngineReport) *loads.Target {
	fleet := loads.Fleet{Engines: peers, Models: slices.Collect(maps.Keys(report.Versions)), LoadTime: a.loadTime.LoadTime()}
	var chosen *loads.Target
	for _, model := range slices.Sorted(maps.Keys(report.Versions)) {
		if snap.Versions[model] == 0 {
			continue
		}
		fleet.NamingInterval = a.cadence[model].NamingInterval()
		a.logFollowing(fleet, self.ID, model)
		target := fleet.Choose(self.ID, report.Versions[model], model, snap.Versions[model], a.parityOf(fleet, self.ID, model))
		if target == nil {
			continue
		}
		if chosen == nil || target.Urgent && !chosen.Urgent ||
			target.Urgent == chosen.Urgent && a.namedAt[target.Model].Add(target.Delay).Before(a.namedAt[chosen.Model].Add(chosen.Delay)) {
			chosen = target
		}
	}
	return chosen
}

// logFollowing logs when the engine begins to follow a model's versions, or leaves
// them to others.
func (a *Agent) logFollowing(fleet loads.Fleet, server, model string) {
	follows := fleet.Serves(server, model)
	if previous, known := a.follows[model]; known && previous == follows {
		return
	}
	a.follows[model] = follows
	a.log.Info("Engine's part in a model.", zap.String("server", server), zap.String("model", model), zap.Bool("follows", follows),
		zap.Int("engines", len(fleet.Engines)), zap.Int("models", len(fleet.Models)), zap.Duration("load_time", fleet.LoadTime), zap.Duration("every", fleet.NamingInterval))
}

// parityOf returns the parity that the engine got when a version of the model
// was first named.
func (a *Agent) parityOf(fleet loads.Fleet, server, model string) loads.Parity {
	key := jobs.EngineKey{Server: server, Model: model}
	parity, known := a.parity[key]
	if !known && fleet.Serves(server, model) {
		parity = fleet.Parity(server, model)
		a.parity[key] = parity
	}
	return parity
}

// order gives one order and follows it to its end.
func (a *Agent) order(ctx context.Context, snap *view.Snapshot, self *members.Server, report hosted.EngineReport, target *loads.Target) time.Duration {
	start := time.Now()
	o := hosted.LoadOrder{
		Server: self.Name, Model: target.Model, Version: target.Version, Mode: a.loadMode(snap, self.Service),
		Holder: a.cfg.VM, Fence: a.fencingToken, After: report.Orders,
	}
	a.publish(ctx, jobs.Engine{Server: self.ID, Model: target.Model, Version: target.Version, Loading: true})
	outcome, err := a.cfg.Engine.Order(ctx, o)
	a.log.Info("Order to load weights.", zap.String("server", self.ID), zap.String("model", o.Model), zap.Uint64("version", o.Version),
		zap.Uint64("from", report.Versions[o.Model]), zap.String("mode", string(o.Mode)), zap.Uint64("fence", o.Fence),
		zap.Uint64("after", o.After), zap.Bool("urgent", target.Urgent), zap.Duration("load_time", a.loadTime.LoadTime()), zap.Int("running", report.Running),
		zap.Uint8("outcome", uint8(outcome)), zap.Error(err))
	switch outcome {
	case hosted.OrderTaken, hosted.OrderHolds:
		ordersTaken.Add(1)
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
		a.log.Info("The engine started again during an order.", zap.String("server", self.ID), zap.Time("born", after.StartedAt))
		return busyInterval
	}
	if after.Versions[o.Model] >= o.Version && outcome == hosted.OrderTaken {
		a.loadTime.ObserveOwn(time.Since(start))
	}
	a.publishServed(ctx, self.ID, after)
	if outcome != hosted.OrderTaken && outcome != hosted.OrderHolds {
		return busyInterval
	}
	return time.Millisecond
}

// loadMode keeps streams going where samples may be made by several versions.
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

// waitIdle waits until the engine carries out no order and returns its state.
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

// publishServed tells the owners of samples which versions the engine serves.
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

// publish appends words about the engine. They only help owners to choose, so
// that a lost one is not repeated.
func (a *Agent) publish(ctx context.Context, reports ...jobs.Engine) {
	a.reportedAt = time.Now()
	for _, e := range reports {
		a.reported[jobs.EngineKey{Server: e.Server, Model: e.Model}] = e
	}
	r := jobs.Record{Writer: jobs.Writer{VM: a.cfg.VM, Incarnation: a.cfg.Incarnation}, Engines: reports}
	data, err := r.Encode()
	if err != nil {
		a.log.Error("A word about the engine can't be encoded.", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := a.cfg.Log.Append(ctx, gatewayjobs.Stream, data); err != nil {
		a.log.Warn("A word about the engine was not appended.", zap.Error(err))
	}
}
