package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

// Delays between two attempts to watch an agent.
const (
	minRewatchDelay = 100 * time.Millisecond
	maxRewatchDelay = 3 * time.Second
	rewatchBackoff  = 2
)

// agent is one watched or retired agent. Agents.mu guards its fields, except
// those that never change.
type agent struct {
	conn      *countedConn
	client    pb.AgentClient
	counter   *counter
	stopWatch context.CancelFunc

	vm               platform.VM
	report           *pb.AgentState // the last report; nil if there is none yet
	inFlightAtReport int            // own work in flight when report arrived
	lost             chan struct{}  // closed while isLost is true
	isLost           bool           // the reports have stopped or not started
	retired          bool           // no longer in the snapshot
	closed           bool
	// closeAfter is the earliest time at which a retired connection closes.
	closeAfter time.Time
	server     *Server
}

// close ends the watch and the connection; a.mu is held.
func (g *agent) close() {
	g.closed = true
	g.stopWatch()
	_ = g.conn.Close()
}

func (a *Agents) dialAgent(vm platform.VM) (*agent, error) {
	conn, err := dial(vm.Addr)
	if err != nil {
		return nil, err
	}
	g := &agent{
		conn:    conn,
		client:  pb.NewAgentClient(conn),
		counter: a.work.counter(vm.Name),
		vm:      vm,
		lost:    make(chan struct{}),
		isLost:  true,
	}
	close(g.lost)
	return g, nil
}

// watch reads an agent's reports until ctx ends, and opens a new stream when one
// has ended.
func (a *Agents) watch(ctx context.Context, g *agent) {
	delay := minRewatchDelay
	for ctx.Err() == nil {
		received, err := a.watchOnce(ctx, g)
		if err == errIntervalChanged {
			continue
		}
		a.markLost(g, err)
		if received {
			delay = minRewatchDelay
		}
		if !sleep.For(ctx, sleep.Jitter(delay)) {
			return
		}
		delay = min(delay*rewatchBackoff, maxRewatchDelay)
	}
}

// watchOnce reads the reports of one stream until it ends. received is true if
// at least one report or heartbeat arrived.
func (a *Agents) watchOnce(ctx context.Context, g *agent) (received bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The uncounted connection is used, as a watch must not keep a retired
	// connection open.
	watcher := pb.NewAgentClient(g.conn.ClientConn)
	interval := time.Duration(a.reportInterval.Load())
	stream, err := watcher.Watch(ctx, &pb.WatchRequest{Watcher: a.cfg.Name, MinIntervalMs: uint32(interval.Milliseconds())})
	if err != nil {
		return false, err
	}
	// A frozen agent's connection stays up, as the kernel acknowledges for it.
	// Only a timeout detects this, and work must not wait until the
	// connection breaks.
	timeout := time.AfterFunc(a.cfg.ReportTimeout, func() { a.markLost(g, errReportTimeout) })
	defer timeout.Stop()
	var report *pb.AgentState
	for {
		msg, err := stream.Recv()
		if err != nil {
			return received, err
		}
		if report, err = mergeState(report, msg); err != nil {
			return received, err
		}
		timeout.Reset(a.cfg.ReportTimeout)
		received = true
		a.handleReport(g, report)
		if intervalDiffers(interval, time.Duration(a.reportInterval.Load())) {
			return received, errIntervalChanged
		}
	}
}

// handleReport stores an agent's report. The same pointer as last time is a
// heartbeat.
func (a *Agents) handleReport(g *agent, report *pb.AgentState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if g.closed {
		return
	}
	if report.Name != g.vm.Name {
		// The VM list is outdated and another VM has this address now. Its
		// answers would be taken for those of the VM in the list.
		a.limitedLog.Warn("An address answers for another VM.", zap.String("vm", g.vm.Name), zap.String("answers", report.Name))
		a.markLostLocked(g, errWrongVM)
		return
	}
	last := g.report
	if last == report && !g.isLost {
		a.work.recordStreamRate(report)
		return
	}
	urgent := g.isLost || last == nil || last.Ready != report.Ready || last.Leaving != report.Leaving || last.Version != report.Version
	if last != nil && last.Incarnation != report.Incarnation {
		if a.work.forget(poolOf(last), g.vm.Name) {
			a.logEjections(nil, []string{g.vm.Name})
		}
	}
	if last != report { // a heartbeat carries no newer load than the last report
		g.report, g.inFlightAtReport = report, int(g.counter.value.Load())
	}
	if g.isLost {
		g.isLost, g.lost = false, make(chan struct{})
	}
	if g.retired {
		return
	}
	a.recordPool(g.vm.Name, poolOf(report))
	a.work.recordStreamRate(report)
	if urgent {
		a.publish()
		return
	}
	a.dirty = true
}

// recordPool stores the pool that an agent serves. If it changed, the next
// maintain has the subset chosen again. a.mu is held.
func (a *Agents) recordPool(name, pool string) {
	if a.pools[name] != pool {
		a.pools[name] = pool
		a.poolsChanged = true
	}
}

// markLost marks an agent whose reports have stopped as not ready, and publishes
// that at once.
func (a *Agents) markLost(g *agent, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.markLostLocked(g, err)
}

// markLostLocked is markLost with a.mu held.
func (a *Agents) markLostLocked(g *agent, err error) {
	if g.isLost || g.closed || a.closing {
		return
	}
	a.limitedLog.Info("An agent's reports have stopped.", zap.String("vm", g.vm.Name), zap.Error(err))
	g.isLost = true
	close(g.lost)
	a.publish()
}

// Lost returns a channel that is closed once the agent's reports stop, as it
// crashed, froze or cannot be reached. Work there may never be answered. It
// returns nil if the agent is not watched.
func (a *Agents) Lost(name string) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if g := a.agents[name]; g != nil {
		return g.lost
	}
	return nil
}

// currentState returns the agent's last report, or nil if there is none. The
// report is corrected where the VM list or the manifest marks the VM as leaving,
// or where the reports have stopped. a.mu is held.
func (a *Agents) currentState(g *agent, leaving map[string]bool) *pb.AgentState {
	if g.report == nil {
		return nil
	}
	isLeaving := g.vm.State == platform.VMLeaving || leaving[g.vm.Name]
	if !g.isLost && (!isLeaving || g.report.Leaving) {
		return g.report
	}
	state := proto.CloneOf(g.report)
	state.Ready = state.Ready && !g.isLost
	state.Leaving = state.Leaving || isLeaving
	return state
}
