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

// Waits between two tries to watch an agent.
const (
	minRewatchDelay = 100 * time.Millisecond
	maxRewatchDelay = 3 * time.Second
	rewatchBackoff  = 2
)

// agent is one watched agent. Its fields are guarded by Agents.mu, but for
// those that never change.
type agent struct {
	conn      *countedConn
	client    pb.AgentClient
	counter   *counter
	stopWatch context.CancelFunc

	vm               platform.VM
	report           *pb.AgentState // the agent's last; nil: none yet
	inFlightAtReport int            // own work in flight when it came
	lost             chan struct{}  // closed while no reports come
	isLost           bool
	retired          bool // out of the picture
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

// watch reads an agent's reports until ctx ends, over as many streams as needed.
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

// watchOnce reads one stream to its end.
func (a *Agents) watchOnce(ctx context.Context, g *agent) (received bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Not counted: the watch is no work that keeps a connection open.
	watcher := pb.NewAgentClient(g.conn.ClientConn)
	interval := time.Duration(a.reportInterval.Load())
	stream, err := watcher.Watch(ctx, &pb.WatchRequest{Watcher: a.cfg.Name, MinIntervalMs: uint32(interval.Milliseconds())})
	if err != nil {
		return false, err
	}
	// A frozen agent keeps its connection: the kernel answers for it. Only
	// its timeout tells, and work must not wait for the connection to break.
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

// handleReport takes an agent's report into the picture; the same one again is a
// heartbeat.
func (a *Agents) handleReport(g *agent, report *pb.AgentState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if g.closed {
		return
	}
	if report.Name != g.vm.Name {
		// The list lags: another VM has got this address. Its answers would
		// count as those of the VM that was asked for.
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
	if last != report { // a heartbeat's load is as old as the report
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

// recordPool remembers what an agent serves; upkeep then chooses the subset anew.
func (a *Agents) recordPool(name, pool string) {
	if a.pools[name] != pool {
		a.pools[name] = pool
		a.poolsChanged = true
	}
}

// markLost marks an agent as not ready at once: its reports have stopped.
func (a *Agents) markLost(g *agent, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.markLostLocked(g, err)
}

func (a *Agents) markLostLocked(g *agent, err error) {
	if g.isLost || g.closed || a.closing {
		return
	}
	a.limitedLog.Info("An agent's reports have stopped.", zap.String("vm", g.vm.Name), zap.Error(err))
	g.isLost = true
	close(g.lost)
	a.publish()
}

// Lost returns a channel that is closed once the agent's reports stop: it died,
// froze, or the link is cut. Work there may never be answered.
func (a *Agents) Lost(name string) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if g := a.agents[name]; g != nil {
		return g.lost
	}
	return nil
}

// currentState is the agent's last report with what the lists say and what we know better.
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
