package fleet

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/logs"
	"dandelionsill.org/confsync"
	"dandelionsill.org/decide/eject"
	"dandelionsill.org/decide/subset"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

// Intervals and timeouts of Agents.
const (
	// DefaultReportTimeout is how long an agent may send nothing before it
	// counts as not ready. Agents send a heartbeat each second, so this is
	// three missed heartbeats.
	DefaultReportTimeout = 3 * time.Second
	// publishInterval is how often collected load reports are published in a
	// new snapshot. A change of readiness is published at once.
	publishInterval = 20 * time.Millisecond
	// maintenanceInterval is how often outliers are evaluated, retired
	// connections are closed and, if an agent reported a new pool, the subset
	// is chosen again.
	maintenanceInterval = time.Second
	// retireGracePeriod is the shortest time for which a retired connection stays open.
	retireGracePeriod = 2 * time.Second
	// logInterval is the shortest time between two log lines with the same
	// message about failing agents.
	logInterval = 10 * time.Second
)

// Flow control windows of a stream and of a connection, in bytes. They are
// fixed because grpc-go's automatic tuning answers each report with a ping,
// which costs more than the report.
const (
	streamWindow = 1 << 20
	connWindow   = 4 << 20
)

// connBufferSize is the size of a connection's read buffer and of its write
// buffer, in bytes. The defaults of grpc-go (32 KB each) would take more memory
// than everything else that is kept for an agent.
const connBufferSize = 8 << 10

// VMs returns the platform's VM list as last received, and a channel that is
// closed at its next change. confsync.VMWatcher implements it.
type VMs interface {
	VMs() []platform.VM
	Changed() <-chan struct{}
}

// Config configures Agents.
type Config struct {
	Name          string // this entry's VM name
	FailureDomain string
	Region        string
	VMs           VMs
	Viewer        confsync.Viewer
	Subset        subset.Config
	Eject         eject.Config
	// OwnedModels lists the models whose steps this entry owns now. Each of
	// them needs a larger subset. If it is nil, the entry never owns steps.
	OwnedModels func() []string
	// ReportTimeout is DefaultReportTimeout if it is 0 or less.
	ReportTimeout time.Duration
	Logger        *zap.Logger
}

// Agents watches this entry's subset of the agents and publishes their state as
// snapshots. It implements Watcher.
type Agents struct {
	cfg Config
	log *zap.Logger
	// limitedLog logs failures, each message at most once per logInterval.
	limitedLog     *zap.Logger
	snap           atomic.Pointer[Snapshot]
	work           *workTracker
	changed        broadcast
	reportInterval atomic.Int64 // the interval asked of agents, in ns

	mu     sync.Mutex // guards the fields below
	agents map[string]*agent
	// retired are agents that are no longer in the snapshot. Each connection
	// is closed when its last work has ended.
	retired []*agent
	// pools maps a VM's name to the pool that it last reported, also for
	// agents that are no longer watched.
	pools        map[string]string
	poolsChanged bool // pools changed after the subset was chosen
	dirty        bool // a load report waits to be published
	raisedPicks  subset.RaisedPicks
	closing      bool
	watches      sync.WaitGroup
}

var _ Watcher = (*Agents)(nil)

// New returns Agents with an empty snapshot. Run fills it.
func New(cfg Config) *Agents {
	if cfg.ReportTimeout <= 0 {
		cfg.ReportTimeout = DefaultReportTimeout
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	log := logs.Part(cfg.Logger, "fleet")
	a := &Agents{
		cfg: cfg,
		log: log, limitedLog: logs.Limited(log, logInterval),
		work:   newWorkTracker(cfg.Eject),
		agents: map[string]*agent{},
		pools:  map[string]string{},
	}
	a.snap.Store(&Snapshot{ByPool: map[string][]*Server{}, ByName: map[string]*Server{}})
	return a
}

// Snapshot returns the current snapshot.
func (a *Agents) Snapshot() *Snapshot { return a.snap.Load() }

// Changed returns a channel that is closed at the next change of the snapshot
// or when this entry's work at a server ends.
func (a *Agents) Changed() <-chan struct{} { return a.changed.wait() }

// Run keeps the snapshot up to date until ctx ends, and then closes all
// connections.
func (a *Agents) Run(ctx context.Context) {
	defer a.close()
	maintenance := time.NewTicker(maintenanceInterval)
	defer maintenance.Stop()
	publish := time.NewTicker(publishInterval)
	defer publish.Stop()
	for {
		vms, view := a.cfg.VMs.Changed(), a.cfg.Viewer.Changed()
		a.reconcile(ctx)
	wait:
		for {
			select {
			case <-ctx.Done():
				return
			case <-vms:
				break wait
			case <-view:
				break wait
			case <-publish.C:
				a.publishDirty()
			case now := <-maintenance.C:
				if a.maintain(now) {
					break wait
				}
			}
		}
	}
}

// reconcile chooses the subset, starts watching the agents that are new in it
// and retires those that are no longer in it.
func (a *Agents) reconcile(ctx context.Context) {
	vms := a.cfg.VMs.VMs()
	entries, agents := a.subsetMembers(vms)
	self := subset.Member{Name: a.cfg.Name, FailureDomain: a.cfg.FailureDomain}
	wanted := map[string]bool{}
	for _, name := range subset.Choose(self, entries, agents, a.subsetConfig()) {
		wanted[name] = true
	}
	a.reportInterval.Store(int64(reportIntervalFor(len(wanted))))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.poolsChanged = false
	for _, vm := range vms {
		if vm.Role == platform.RoleAgent && wanted[vm.Name] {
			a.ensureWatched(ctx, vm)
		}
	}
	for name, g := range a.agents {
		if !wanted[name] {
			a.retire(g)
		}
	}
	a.publish()
}

// subsetMembers splits vms into entries and agents. An agent whose pool is not
// known yet has an empty pool.
func (a *Agents) subsetMembers(vms []platform.VM) (entries, agents []subset.Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, vm := range vms {
		m := subset.Member{Name: vm.Name, FailureDomain: vm.FailureDomain}
		switch vm.Role {
		case platform.RoleEntry:
			entries = append(entries, m)
		case platform.RoleAgent:
			m.Pool = a.pools[vm.Name]
			agents = append(agents, m)
		}
	}
	return entries, agents
}

// subsetConfig returns the configured subset sizes, raised for the pools whose
// steps this entry owns.
func (a *Agents) subsetConfig() subset.Config {
	a.mu.Lock()
	defer a.mu.Unlock()
	cfg := a.cfg.Subset
	cfg.MinPicks = a.raisedPicks.MinPicks()
	return cfg
}

// updateRaisedPicks raises the subset size of the pools whose steps this entry
// owns. It reports whether the subset must be chosen again.
func (a *Agents) updateRaisedPicks(now time.Time) bool {
	if a.cfg.OwnedModels == nil {
		return false
	}
	picks := map[string]int{}
	if models := a.cfg.OwnedModels(); len(models) > 0 { // called without a.mu, as it takes other locks
		_, agents := a.subsetMembers(a.cfg.VMs.VMs())
		self := subset.Member{Name: a.cfg.Name, FailureDomain: a.cfg.FailureDomain}
		for _, model := range models {
			pool := ModelPool(model)
			picks[pool] = subset.PicksForSteps(self, agents, pool, a.countTrainers(model), a.cfg.Subset)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.raisedPicks.Update(now, picks)
}

// countTrainers returns the number of trainers of a model in the manifest.
func (a *Agents) countTrainers(model string) int {
	view := a.cfg.Viewer.View()
	if view == nil || view.Manifest == nil {
		return 0
	}
	n := 0
	for _, trainer := range view.Manifest.Trainers {
		if trainer.Model == model {
			n++
		}
	}
	return n
}

// ensureWatched starts watching a VM that is not watched yet, or stores its
// current entry of the VM list. a.mu is held.
func (a *Agents) ensureWatched(ctx context.Context, vm platform.VM) {
	g := a.agents[vm.Name]
	if g != nil && g.vm.Addr == vm.Addr {
		g.vm = vm
		return
	}
	if g != nil {
		a.retire(g) // another VM with the same name replaced it
	}
	g, err := a.dialAgent(vm)
	if err != nil {
		a.limitedLog.Error("An agent's address is unusable.", zap.String("vm", vm.Name), zap.Error(err))
		return
	}
	a.agents[vm.Name] = g
	watchCtx, stop := context.WithCancel(ctx)
	g.stopWatch = stop
	a.watches.Add(1)
	go func() {
		defer a.watches.Done()
		a.watch(watchCtx, g)
	}()
}

// retire removes an agent from the snapshot. Its connection stays open until
// the last work in flight there has ended, so that no answer is lost. Until
// then its reports are still read, as that work must be notified if they stop.
// a.mu is held.
func (a *Agents) retire(g *agent) {
	g.retired = true
	g.closeAfter = time.Now().Add(retireGracePeriod)
	delete(a.agents, g.vm.Name)
	a.work.remove(g.vm.Name)
	a.retired = append(a.retired, g)
}

// closeRetired closes the retired agents that have no work in flight. The grace
// period is for requests that have picked the server but not yet opened their
// stream. a.mu is held.
func (a *Agents) closeRetired(now time.Time) {
	a.retired = slices.DeleteFunc(a.retired, func(g *agent) bool {
		if now.Before(g.closeAfter) || g.counter.value.Load() > 0 || g.conn.openCalls.Load() > 0 {
			return false
		}
		g.close()
		return true
	})
}

// maintain evaluates outliers and closes retired agents. It reports whether the
// subset must be chosen again.
func (a *Agents) maintain(now time.Time) bool {
	picksChanged := a.updateRaisedPicks(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closeRetired(now)
	ejected, readmitted := a.work.evaluate(now, a.poolMembers())
	a.logEjections(ejected, readmitted)
	if len(ejected)+len(readmitted) > 0 {
		a.publish()
	}
	return a.poolsChanged || picksChanged
}

// logEjections writes one line for each change. The lines are not rate limited,
// as each names its server and each ejection of a server lasts longer than the
// one before.
func (a *Agents) logEjections(ejected, readmitted []string) {
	for _, name := range ejected {
		a.log.Warn("An outlier is ejected from its pool.", zap.String("vm", name))
	}
	for _, name := range readmitted {
		a.log.Info("An ejected server is back in its pool.", zap.String("vm", name))
	}
}

// close closes all connections and waits for the watches to end.
func (a *Agents) close() {
	a.mu.Lock()
	a.closing = true
	for _, g := range a.agents {
		g.close()
	}
	for _, g := range a.retired {
		g.close()
	}
	a.mu.Unlock()
	a.watches.Wait()
}

// WaitForReports waits until every agent of the subset has sent its first
// report, until timeout has passed or ctx ends. An entry that accepts requests
// earlier would refuse them although there are servers for them.
func (a *Agents) WaitForReports(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		changed := a.Changed()
		if a.allReported() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// allReported reports whether at least one agent is watched and every watched
// agent has sent a report.
func (a *Agents) allReported() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, g := range a.agents {
		if g.report == nil {
			return false
		}
	}
	return len(a.agents) > 0
}

// CountWatched returns the number of agents that this entry watches.
func (a *Agents) CountWatched() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.agents)
}

// CountEjected returns the number of watched agents that are ejected as
// outliers now.
func (a *Agents) CountEjected() int {
	n := 0
	for _, server := range a.Snapshot().ByName {
		if server.Ejected {
			n++
		}
	}
	return n
}

// CountEntries returns the number of live entries in the VM list. It always
// includes this one.
func (a *Agents) CountEntries() int {
	n := 0
	for _, vm := range a.cfg.VMs.VMs() {
		if vm.Role == platform.RoleEntry && vm.State == platform.VMLive && vm.Name != a.cfg.Name {
			n++
		}
	}
	return n + 1
}

// Dial connects to an agent that need not be watched, at its address in the VM
// list. release closes the connection. ok is false if the list has no such agent
// or its address is unusable.
func (a *Agents) Dial(name string) (client pb.AgentClient, release func(), ok bool) {
	for _, vm := range a.cfg.VMs.VMs() {
		if vm.Name != name || vm.Role != platform.RoleAgent {
			continue
		}
		conn, err := dial(vm.Addr)
		if err != nil {
			return nil, nil, false
		}
		return pb.NewAgentClient(conn), func() { _ = conn.Close() }, true
	}
	return nil, nil, false
}
