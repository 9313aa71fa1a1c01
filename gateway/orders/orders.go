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
	// lookIdle and lookBusy are how often the engine is asked for its state
	// when nothing is due and while an order is carried out.
	lookIdle = time.Second
	lookBusy = 60 * time.Millisecond
	// unknownWait is how long after an order without an answer the engine is
	// watched before it is ordered again.
	unknownWait = 400 * time.Millisecond
	appendMost  = 600 * time.Millisecond
	// toldFor is how long this process's own word about its engine goes before the
	// engine's entry: some of an entry's intervals of a second. An order of an
	// earlier start of the engine may be carried out after the last report; the
	// engine then has older weights than was told, and nobody would look again.
	toldFor = 4 * time.Second
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
	Node   string
	Life   string
	Addr   string // of the engine, IP:port
	View   *view.View
	Engine Engine
	Log    platform.Log
	Logger *zap.Logger
}

// Agent orders one engine.
type Agent struct {
	cfg   Config
	log   *zap.Logger
	named map[string]time.Time // when each model's newest version was seen
	seen  map[string]uint64
	// follows tells which models the engine follows.
	follows map[string]bool
	// listed: an engine is listed with the model's newest version.
	listed map[string]bool
	// loadTime and cadence (by model) are what loads are planned by.
	loadTime loads.LoadTimeEstimator
	cadence  map[string]*loads.CadenceEstimator
	fence    uint64
	lost     bool
	// gone is the server that was found not to be at the engine's address any more.
	gone string
	told map[jobs.EngineKey]jobs.Engine
	// toldAt is when the last word about the engine was told.
	toldAt time.Time
	// parity is kept for the life of the engine.
	parity map[jobs.EngineKey]loads.Parity
}

// New returns an agent.
func New(cfg Config) *Agent {
	return &Agent{
		cfg: cfg, log: cfg.Logger,
		named: map[string]time.Time{}, seen: map[string]uint64{}, listed: map[string]bool{}, cadence: map[string]*loads.CadenceEstimator{},
		follows: map[string]bool{}, told: map[jobs.EngineKey]jobs.Engine{}, parity: map[jobs.EngineKey]loads.Parity{},
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
	a.fence = max(a.fence, snap.OperatorOffset+1)
	a.noteNames(snap)
	self, peers := a.find(snap)
	if self == nil || self.Leaving {
		return lookIdle
	}
	a.notePeers(snap, self.Service)
	if !a.behind(snap, self) {
		return lookIdle
	}
	report, err := a.cfg.Engine.Report(ctx)
	if err != nil {
		a.reportFailed(err)
		return lookBusy
	}
	a.reportBack()
	if report.Busy || !sameStart(self.StartedAt, report.StartedAt) {
		return lookBusy // of the engine's last start the list does not tell yet
	}
	want := a.choose(snap, self, peers, report)
	if want == nil {
		a.tellServed(ctx, self.ID, report)
		return lookIdle
	}
	if due := a.named[want.Model].Add(want.Delay); time.Now().Before(due) {
		return max(time.Until(due), time.Millisecond)
	}
	return a.order(ctx, snap, self, report, want)
}

func (a *Agent) noteNames(snap *view.Snapshot) {
	for model, version := range snap.Versions {
		if version <= a.seen[model] {
			continue
		}
		if a.cadence[model] == nil {
			a.cadence[model] = &loads.CadenceEstimator{}
		}
		now := time.Now()
		a.cadence[model].VersionNamed(now, version-a.seen[model])
		a.loadTime.VersionNamed()
		a.seen[model], a.named[model] = version, now
		delete(a.listed, model)
	}
}

// notePeers notes how long the first engine took that is listed with a model's
// newest version.
func (a *Agent) notePeers(snap *view.Snapshot, service string) {
	for model, version := range snap.Versions {
		if a.listed[model] || version < 2 {
			continue
		}
		a.loadTime.ObservePeers(time.Since(a.named[model]))
		a.listed[model] = slices.ContainsFunc(snap.Servers[service], func(s members.Server) bool { return s.Versions[model] >= version })
	}
}

// find returns the engine beside this process and all engines of its service. An
// entry that an order has shown to be of the past is passed over: the list tells of
// the engine's new start within seconds, and until then 73 agents whose list stood
// still gave 150 orders a second that were all refused.
func (a *Agent) find(snap *view.Snapshot) (*members.Server, []string) {
	for _, servers := range snap.Servers {
		for i := range servers {
			if servers[i].Addr != a.cfg.Addr || servers[i].ID == a.gone {
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

// sameStart tells whether two words about an engine may be of one start of it;
// zero: engines of older platforms don't tell.
func sameStart(a, b time.Time) bool { return a.IsZero() || b.IsZero() || a.Equal(b) }

// behind tells whether any model has a version that the engine may not have.
func (a *Agent) behind(snap *view.Snapshot, self *members.Server) bool {
	fresh := time.Since(a.toldAt) < toldFor
	for model, version := range snap.Versions {
		known := self.Versions[model]
		if fresh {
			known = max(known, a.told[jobs.EngineKey{Server: self.ID, Model: model}].Version)
		}
		if version > known {
			return true
		}
	}
	return false
}

func (a *Agent) reportFailed(err error) {
	if !a.lost {
		a.log.Warn("Lost the engine.", zap.String("addr", a.cfg.Addr), zap.Error(err))
	}
	a.lost = true
}

func (a *Agent) reportBack() {
	if a.lost {
		a.log.Info("The engine is back.", zap.String("addr", a.cfg.Addr))
	}
	a.lost = false
}

// choose returns the most urgent load, then the one that is due first.
func (a *Agent) choose(snap *view.Snapshot, self *members.Server, peers []string, report hosted.EngineReport) *loads.Target {
	fleet := loads.Fleet{Engines: peers, Models: slices.Collect(maps.Keys(report.Versions)), LoadTime: a.loadTime.LoadTime()}
	var chosen *loads.Target
	for _, model := range slices.Sorted(maps.Keys(report.Versions)) {
		if snap.Versions[model] == 0 {
			continue
		}
		fleet.NamingInterval = a.cadence[model].NamingInterval()
		a.noteFollowing(fleet, self.ID, model)
		want := fleet.Choose(self.ID, report.Versions[model], model, snap.Versions[model], a.parityOf(fleet, self.ID, model))
		if want == nil {
			continue
		}
		if chosen == nil || want.Urgent && !chosen.Urgent ||
			want.Urgent == chosen.Urgent && a.named[want.Model].Add(want.Delay).Before(a.named[chosen.Model].Add(chosen.Delay)) {
			chosen = want
		}
	}
	return chosen
}

// noteFollowing logs when the engine begins to follow a model's versions, or leaves
// them to others.
func (a *Agent) noteFollowing(fleet loads.Fleet, server, model string) {
	follows := fleet.Serves(server, model)
	if before, known := a.follows[model]; known && before == follows {
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
func (a *Agent) order(ctx context.Context, snap *view.Snapshot, self *members.Server, report hosted.EngineReport, want *loads.Target) time.Duration {
	begin := time.Now()
	o := hosted.LoadOrder{
		Server: self.Name, Model: want.Model, Version: want.Version, Mode: a.mode(snap, self.Service),
		Holder: a.cfg.Node, Fence: a.fence, ExpectedOrders: report.Orders,
	}
	a.tell(ctx, jobs.Engine{Server: self.ID, Model: want.Model, Version: want.Version, Loading: true})
	outcome, err := a.cfg.Engine.Order(ctx, o)
	a.log.Info("Order to load weights.", zap.String("server", self.ID), zap.String("model", o.Model), zap.Uint64("version", o.Version),
		zap.Uint64("from", report.Versions[o.Model]), zap.String("mode", string(o.Mode)), zap.Uint64("fence", o.Fence),
		zap.Uint64("after", o.ExpectedOrders), zap.Bool("urgent", want.Urgent), zap.Duration("load_time", a.loadTime.LoadTime()), zap.Int("running", report.Running),
		zap.Uint8("outcome", uint8(outcome)), zap.Error(err))
	switch outcome {
	case hosted.OrderAccepted, hosted.OrderAlreadyLoaded:
		ordersTaken.Add(1)
	case hosted.OrderRefused:
		ordersRefused.Add(1)
	case hosted.OrderMisdirected:
		ordersRefused.Add(1)
		a.gone = self.ID
		return lookIdle
	default:
		ordersUnknown.Add(1)
		sleep.For(ctx, unknownWait)
	}
	after := a.await(ctx)
	if !sameStart(after.StartedAt, report.StartedAt) {
		a.log.Info("The engine started again during an order.", zap.String("server", self.ID), zap.Time("born", after.StartedAt))
		return lookBusy
	}
	if after.Versions[o.Model] >= o.Version && outcome == hosted.OrderAccepted {
		a.loadTime.ObserveOwn(time.Since(begin))
	}
	a.tellServed(ctx, self.ID, after)
	if outcome != hosted.OrderAccepted && outcome != hosted.OrderAlreadyLoaded {
		return lookBusy
	}
	return time.Millisecond
}

// mode keeps streams going where samples may be made by several versions.
func (a *Agent) mode(snap *view.Snapshot, service string) hosted.LoadMode {
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

// await waits until the engine carries out no order and returns its state.
func (a *Agent) await(ctx context.Context) hosted.EngineReport {
	for ctx.Err() == nil {
		report, err := a.cfg.Engine.Report(ctx)
		if err != nil {
			a.reportFailed(err)
		} else if a.reportBack(); !report.Busy {
			return report
		}
		sleep.For(ctx, lookBusy)
	}
	return hosted.EngineReport{}
}

// tellServed tells the owners of samples which versions the engine serves.
func (a *Agent) tellServed(ctx context.Context, server string, report hosted.EngineReport) {
	var news []jobs.Engine
	for _, model := range slices.Sorted(maps.Keys(report.Versions)) {
		e := jobs.Engine{Server: server, Model: model, Version: report.Versions[model]}
		if a.told[jobs.EngineKey{Server: server, Model: model}] != e {
			news = append(news, e)
		}
	}
	if len(news) > 0 {
		a.tell(ctx, news...)
	}
}

// tell appends words about the engine. They only help owners to choose, so
// that a lost one is not repeated.
func (a *Agent) tell(ctx context.Context, words ...jobs.Engine) {
	a.toldAt = time.Now()
	for _, e := range words {
		a.told[jobs.EngineKey{Server: e.Server, Model: e.Model}] = e
	}
	r := jobs.Record{Writer: jobs.Writer{Node: a.cfg.Node, Life: a.cfg.Life}, Engines: words}
	data, err := r.Encode()
	if err != nil {
		a.log.Error("A word about the engine can't be encoded.", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendMost)
	defer cancel()
	if _, err := a.cfg.Log.Append(ctx, gatewayjobs.Stream, data); err != nil {
		a.log.Warn("A word about the engine was not appended.", zap.Error(err))
	}
}
