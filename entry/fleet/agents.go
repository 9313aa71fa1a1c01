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

// Times of the picture.
const (
	// DefaultReportTimeout is how long an agent may say nothing before it counts as
	// not ready: three of the reports that it owes each second.
	DefaultReportTimeout = 3 * time.Second
	// publishInterval coalesces load reports; a change of readiness is
	// published at once.
	publishInterval = 20 * time.Millisecond
	// maintenanceInterval is how often outliers are judged and, while the pools of
	// new agents are being learnt, the subset is chosen again.
	maintenanceInterval = time.Second
	// retireGracePeriod is the shortest time for which a retired connection stays.
	retireGracePeriod = 2 * time.Second
	// logInterval limits lines about one failing agent.
	logInterval = 10 * time.Second
)

// The windows of a connection, for answers on their way. They are fixed: where
// grpc-go tunes them itself it answers each report with a ping, which costs
// more than the report.
const (
	streamWindow = 1 << 20
	connWindow   = 4 << 20
)

// Buffers of a connection. The defaults of grpc-go (32 KB each way) would
// cost more than all else that is kept of an agent.
const connBufferSize = 8 << 10

// VMs is the platform's VM list as last heard (confsync.VMWatcher).
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
	// OwnedModels lists the models whose steps this entry owns now, each of which
	// needs a wider subset; nil: none ever.
	OwnedModels func() []string
	// ReportTimeout overrides DefaultSilent.
	ReportTimeout time.Duration
	Logger        *zap.Logger
}

// Agents watches this entry's subset of the agents. It implements Watcher.
type Agents struct {
	cfg Config
	log *zap.Logger
	// limitedLog is for lines under failure: each message once per quietLog.
	limitedLog     *zap.Logger
	snap           atomic.Pointer[Snapshot]
	work           *workTracker
	changed        broadcast
	reportInterval atomic.Int64 // the interval asked of agents, in ns

	mu     sync.Mutex // guards what follows
	agents map[string]*agent
	// retired are no longer in the picture; each closes with its last work.
	retired []*agent
	// pools remembers what agents serve, also of those not watched.
	pools        map[string]string
	poolsChanged bool // pools changed since the subset was chosen
	dirty        bool // a load report waits to be published
	raisedPicks  subset.RaisedPicks
	closing      bool
	watches      sync.WaitGroup
}

var _ Watcher = (*Agents)(nil)

// New returns a picture without servers; Run fills it.
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

// Snapshot returns the picture of this moment.
func (a *Agents) Snapshot() *Snapshot { return a.snap.Load() }

// Changed returns a channel closed at the next change.
func (a *Agents) Changed() <-chan struct{} { return a.changed.wait() }

// Run keeps the picture until ctx ends, and then closes all connections.
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

// reconcile makes the watched agents those of the subset.
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

// subsetConfig is the configured subset, wider where steps are owned.
func (a *Agents) subsetConfig() subset.Config {
	a.mu.Lock()
	defer a.mu.Unlock()
	cfg := a.cfg.Subset
	cfg.MinPicks = a.raisedPicks.MinPicks()
	return cfg
}

// updateRaisedPicks follows the steps that this entry owns; true: the subset should be
// chosen again.
func (a *Agents) updateRaisedPicks(now time.Time) bool {
	if a.cfg.OwnedModels == nil {
		return false
	}
	picks := map[string]int{}
	if models := a.cfg.OwnedModels(); len(models) > 0 { // not under a.mu: it takes locks of its own
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

// countTrainers counts the countTrainers of a model.
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

// ensureWatched starts watching a VM, or follows what the list says of it now.
func (a *Agents) ensureWatched(ctx context.Context, vm platform.VM) {
	g := a.agents[vm.Name]
	if g != nil && g.vm.Addr == vm.Addr {
		g.vm = vm
		return
	}
	if g != nil {
		a.retire(g) // replaced under its name
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

// retire takes an agent out of the picture. Its connection closes with the
// last work in flight there, so that no answer is cut off; until then its
// reports are read, as that work must learn of its silence.
func (a *Agents) retire(g *agent) {
	g.retired = true
	g.closeAfter = time.Now().Add(retireGracePeriod)
	delete(a.agents, g.vm.Name)
	a.work.remove(g.vm.Name)
	a.retired = append(a.retired, g)
}

// closeRetired closes the retired agents that carry no work any more. The grace
// is for requests that have picked the server and not yet opened their stream.
func (a *Agents) closeRetired(now time.Time) {
	a.retired = slices.DeleteFunc(a.retired, func(g *agent) bool {
		if now.Before(g.closeAfter) || g.counter.value.Load() > 0 || g.conn.openCalls.Load() > 0 {
			return false
		}
		g.close()
		return true
	})
}

// maintain judges outliers, closes what is retired, and tells whether the
// subset should be chosen again.
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

// logEjections writes one line a change. They are not limited: a line names its
// server, and ejections of one are spaced by their growing length.
func (a *Agents) logEjections(ejected, readmitted []string) {
	for _, name := range ejected {
		a.log.Warn("An outlier is ejected from its pool.", zap.String("vm", name))
	}
	for _, name := range readmitted {
		a.log.Info("An ejected server is back in its pool.", zap.String("vm", name))
	}
}

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

// WaitForReports waits until every agent of the subset has sent its first report, at
// most for limit. An entry that takes requests before would refuse them for
// want of servers that are there.
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

// CountWatched is how many agents this entry watches.
func (a *Agents) CountWatched() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.agents)
}

// CountEjected is how many watched agents are ejected as outliers now.
func (a *Agents) CountEjected() int {
	n := 0
	for _, server := range a.Snapshot().ByName {
		if server.Ejected {
			n++
		}
	}
	return n
}

// CountEntries is how many live entries the VM list holds, this one included.
func (a *Agents) CountEntries() int {
	n := 0
	for _, vm := range a.cfg.VMs.VMs() {
		if vm.Role == platform.RoleEntry && vm.State == platform.VMLive && vm.Name != a.cfg.Name {
			n++
		}
	}
	return n + 1
}

// Dial connects to an agent that is not watched, by the VM list. release
// closes the connection.
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
