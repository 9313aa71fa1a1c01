package server

import (
	"context"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/inbound"
	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/run"
	"dandelionsill.org/base/trace"
	decide "dandelionsill.org/decide/fanout"
	"dandelionsill.org/decide/lease"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/gateway/backend"
	"dandelionsill.org/gateway/evacuations"
	"dandelionsill.org/gateway/fanout"
	"dandelionsill.org/gateway/forward"
	"dandelionsill.org/gateway/front"
	gatewayjobs "dandelionsill.org/gateway/jobs"
	"dandelionsill.org/gateway/pace"
	"dandelionsill.org/gateway/reach"
	"dandelionsill.org/gateway/stopping"
	"dandelionsill.org/gateway/view"
	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/quarantine"
)

// Timeouts of the process. Shares are parts of the grace period, the time between the request
// to stop and the kill.
const (
	// arrivalShare is the share in which new callers may still arrive: the load balancer sends them until
	// two of its readiness checks have failed.
	arrivalShare = 0.35
	// serveShare is the share in which new connections are still served, which is longer than new callers arrive.
	serveShare = 0.4
	// drainShare is the share in which the requests that are then in flight may finish.
	drainShare = 0.5
	// answerShare is the share after which callers who have got nothing get a final answer, so that it reaches
	// them before the kill.
	answerShare = 0.95
	// idleTimeout is longer than any caller keeps an idle connection, so that no request arrives
	// while the gateway closes its connection.
	idleTimeout = 5 * time.Minute
)

// newIncarnation returns a name for this incarnation of the process.
func newIncarnation() string {
	return strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.Itoa(os.Getpid())
}

// newLogger returns a logger that writes to standard output, and its writer, which must be closed
// at the end of the process.
func newLogger(part, level string) (*zap.Logger, *logs.Async) {
	out := logs.NewAsync(os.Stdout)
	metrics.Gauge("log_lines_dropped_total", func() any { return out.Dropped() })
	return logs.NewTo(out, part, level), out
}

// BuildGateway builds the gateway's process. The process's loops run until ctx ends.
func BuildGateway(ctx context.Context, cfg Gateway) (*run.Process, error) {
	run.SaveMemory()
	run.LimitMemory(cfg.VM.MemoryMB)
	log, out := newLogger("gateway", cfg.Process.LogLevel)
	flush, err := trace.Start(ctx, "dandelion-gateway", cfg.Trace)
	if err != nil {
		return nil, errors.Trace(err)
	}
	store := hosted.NewStore(cfg.Store.Address)
	writer := jobs.Writer{VM: cfg.Process.Name, Incarnation: newIncarnation()}
	capacity := gatewayjobs.Capacity(cfg.VM.CPUShare, cfg.VM.LinkMbps)
	self := decide.Member{VM: cfg.Process.Name, Addr: cfg.Listen.Peers, FailureDomain: cfg.Process.FailureDomain, Small: cfg.VM.CPUShare < smallVMCores, Permits: cfg.Permits.Listen}
	peers := newPeers(store, self, log)
	processCount := func() int { return len(peers.Addrs()) + 1 }
	regions := cfg.Topology.parse()
	followed := newFollowedStore(store, peers, self, regions, cfg.Store.ReadsPerS, log)
	v := followed.newView(regions, log)
	v.UseCopies = true
	pool := backend.NewPool(hosted.AttemptID)
	forwarder := forward.New(v, pool, cfg.Process.FailureDomain, logs.Part(log, "forward"))
	forwarder.UseColdBounds(cfg.Cold.Excess, cfg.Cold.Slack, cfg.Process.Name, func() []string { return forwarders(peers, cfg.Process.Name) })
	forwarder.Quarantine.EnableSharing(store, quarantine.NewHTTPPeers(peers.Addrs), cfg.Store.ReadsPerS)
	index := gatewayjobs.NewIndex(followed, logs.Part(log, "jobs"))
	runner := gatewayjobs.NewRunner(index, store, forwarder, writer, cfg.Store.Parts, capacity, logs.Part(log, "runner"))
	runner.SetColdBounds(cfg.Cold.Excess, cfg.Cold.Slack)
	runner.SetCandidate(func() bool { return gatewayjobs.IsCandidate(writer.VM, processCount()) })
	handler := &front.Front{
		View: v, Forward: forwarder, Log: logs.Part(log, "front"), Latency: metrics.NewHistogram("front_latency"),
		Jobs: gatewayjobs.NewService(index, store, writer, cfg.Store.Parts, capacity, logs.Part(log, "jobs")),
	}
	handler.Jobs.SetTable(func() *table.Table { return v.Current().Table })
	stop := stopping.New(stoppingTimes(cfg.Process.Grace), nil)
	handler.Stop, forwarder.Stop = stop, stop
	handler.Jobs.SetStop(stop)
	ready := &readiness{view: v, index: index, quarantine: forwarder.Quarantine}
	index.Texts.SetPeers(peers.Addr)
	index.SetPlaces(newPlaces(v.Topology, peers, cfg.Process.FailureDomain))
	limitRelays(store, v.Topology, peers)
	var monitor *reach.Monitor
	if cfg.Topology.LostDomains > 0 {
		monitor = reach.New(reach.Config{FailureDomain: self.FailureDomain, Peers: peers.Members, SinceAnswer: followed.sinceAnswer, Logger: logs.Part(log, "reach")})
	}
	ready.reach, handler.Reach, forwarder.Reach, forwarder.BearsLostDomains = monitor, monitor, monitor, monitor != nil
	handler.Jobs.SetReach(monitor)
	neighbours := &gatewayjobs.Neighbours{Self: self, Others: peers.Members, Regions: regions, LostDomains: cfg.Topology.LostDomains}
	handler.Jobs.SetNeighbours(neighbours)
	runner.SetNeighbours(neighbours)
	index.Texts.SetNeighbours(neighbours)
	held := newHeldMemory(cfg.VM.MemoryMB)
	bounds := inbound.New(cfg.VM.Settings, held.budget, logs.Part(log, "inbound"))
	held.budget.Publish()
	bounds.Publish()
	handler.Bodies, forwarder.Answers, handler.ReadTime = held.bodies, held.answers, pace.MinTime
	index.Texts.SetRoom(held.texts)
	forwarder.Bodies = forward.NewServerBodies(int64(cfg.VM.ServerBodyMB * 1e6))
	index.SetReadInterval(func() time.Duration { return followed.readInterval(1) })
	usage := newReporting(&cfg, lease.Holder(writer), store, processCount, log)
	if usage != nil {
		forwarder.Usage = usage.counter
	}
	permits := newSharing(&cfg, self, writer.Incarnation, peers, v, forwarder, logs.Part(log, "permits"))
	permits.use(forwarder, cfg.Permits.MaxPatience)
	scaling := newScaling(&cfg, lease.Holder(writer), store, v, index, permits.brokers(), processCount, log)
	watch := evacuations.New(evacuations.Config{View: v, Requests: forwarder.InFlight, Streams: runner.RunningAt, Log: logs.Part(log, "evacuations")})
	var loops sync.WaitGroup
	loops.Go(func() { watch.Run(ctx) })
	usage.run(ctx, loops.Go)
	permits.run(ctx, loops.Go)
	scaling.run(ctx, loops.Go)
	loops.Go(func() { peers.Run(ctx) })
	if monitor != nil {
		loops.Go(func() { monitor.Run(ctx) })
	}
	loops.Go(func() { v.Run(ctx) })
	loops.Go(func() { v.RunCopies(ctx, processCount) })
	loops.Go(func() { forwarder.Quarantine.Run(ctx) })
	loops.Go(func() { index.Run(ctx) })
	loops.Go(func() { runner.Run(ctx) })
	log.Info("Starting.", zap.String("name", writer.VM), zap.String("life", writer.Incarnation), zap.String("callers", cfg.Listen.Callers), zap.String("store", cfg.Store.Address))
	return &run.Process{
		Servers: append(gatewayServers(cfg, bounds, handler, newPeerHandler(index, handler.View, forwarder.Quarantine, followed), ready), permits.servers(bounds)...),
		Ready: func(isReady bool) {
			ready.serving.Store(isReady)
			releaseWork(isReady, stop, runner, usage, scaling, permits)
		},
		StopDelay:    share(cfg.Process.Grace, serveShare),
		Drain:        func(ctx context.Context) error { return drain(ctx, handler, runner, usage, log) },
		DrainTimeout: share(cfg.Process.Grace, drainShare),
		Close:        func() { loops.Wait(); flushTraces(flush, log); out.Close() },
		Reload: func(next any, changed []string) []string {
			return reloadStore(store, &next.(*Gateway).Common, changed)
		},
		Logger: log,
	}, nil
}

// stoppingTimes returns the times of a stop with a grace period.
func stoppingTimes(grace time.Duration) stopping.Times {
	return stopping.Times{Arrivals: share(grace, arrivalShare), Finish: share(grace, serveShare+drainShare), Answer: share(grace, answerShare)}
}

// flushTimeout bounds the time in which the last spans are sent when the process stops.
const flushTimeout = time.Second

// flushTraces sends the last spans and logs whether some were lost.
func flushTraces(flush func(context.Context) error, log *zap.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := flush(ctx); err != nil {
		log.Warn("Could not send the last spans.", zap.Error(err))
	}
}

// releaseWork releases this process's jobs, duties and brokers as soon as the process starts to
// stop; ready is false then.
func releaseWork(ready bool, stop *stopping.Stop, runner *gatewayjobs.Runner, usage *reporting, scaling *scaling, permits *sharing) {
	if ready {
		return
	}
	stop.Begin()
	usage.resign()
	scaling.resign()
	permits.leave()
	runner.Drain()
}

// drain waits until other processes may continue this process's jobs and no caller's request is
// in flight. It returns an error if requests are still in flight when ctx ends.
func drain(ctx context.Context, handler *front.Front, runner *gatewayjobs.Runner, usage *reporting, log *zap.Logger) error {
	if !runner.WaitDrained(ctx) {
		log.Warn("Could not release all batch jobs.")
	}
	defer usage.publishFinal(context.WithoutCancel(ctx))
	return handler.Drain(ctx)
}

// newPeerHandler returns the handler for calls of other processes: texts of jobs, quarantined
// requests, streams that all processes follow, and calls of the store that are relayed.
func newPeerHandler(index *gatewayjobs.Index, v *view.View, quarantineHandler http.Handler, store *followedStore) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(gatewayjobs.PathTexts, index.Texts)
	mux.HandleFunc(gatewayjobs.PathHeldTexts, index.Texts.ServeHeldTexts)
	mux.HandleFunc(gatewayjobs.PathHeldItem, index.Texts.ServeHeldItem)
	mux.HandleFunc(gatewayjobs.PathModelRegions, index.ServeModelRegions(func() *table.Table { return v.Current().Table }))
	mux.Handle(quarantine.PathPeers, quarantineHandler)
	mux.Handle(fanout.PathTail, store.tail)
	mux.Handle("/", store.Relay())
	return mux
}

// refuseHead returns the headers of an answer to a caller whose request was refused for its head.
func refuseHead(int) (http.Header, []byte) {
	header := http.Header{}
	hosted.SetNotExecuted(header)
	return header, nil
}

// gatewayServers returns the servers for callers and readiness checks and, if they are configured,
// for peers and metrics.
func gatewayServers(cfg Gateway, bounds *inbound.Bounds, callerHandler *front.Front, peerHandler http.Handler, ready *readiness) []transport.Server {
	callerServer := run.NewHTTP(cfg.Listen.Callers)
	callerServer.Bounds = bounds
	callerServer.Heads = inbound.HTTPConfig{HeadBytes: callerHandler.HeadBytes, Refusal: refuseHead, OwnBodies: true}
	callerServer.Handler = callerHandler // without a router, which would change paths
	callerServer.IdleTimeout = idleTimeout
	if cfg.VM.MemoryMB > 0 {
		callerServer.ConnContext = pace.BoundSendBuffer
	}
	readyServer := run.NewHTTP(cfg.Listen.Ready)
	readyServer.Bounds, readyServer.Use = bounds, inbound.Checks
	readyServer.HandleFunc(hosted.PathReady, ready.serve)
	servers := []transport.Server{callerServer, readyServer}
	if cfg.Listen.Peers != "" {
		peerServer := run.NewHTTP(cfg.Listen.Peers)
		peerServer.Bounds, peerServer.Use = bounds, inbound.Peers
		peerServer.Handler = peerHandler
		servers = append(servers, peerServer)
	}
	if cfg.Process.Metrics != "" && cfg.Process.Metrics != cfg.Listen.Ready {
		servers = append(servers, metricsServer(cfg.Process.Metrics, bounds))
	}
	return servers
}

// newPeers enables calls of the store to be relayed by other gateways. self is this process; it
// relays their calls if it has an address.
func newPeers(store *hosted.Store, self decide.Member, log *zap.Logger) *hosted.Peers {
	log = logs.Part(log, "store")
	peers := hosted.NewPeers(store, self, log)
	store.SetPeers(peers.Addrs, func(unavailable error) {
		if unavailable != nil {
			log.Warn("The store is unavailable; calls are relayed by peers.", zap.Int("peers", len(peers.Addrs())), zap.String("why", unavailable.Error()))
			return
		}
		log.Info("The store is directly reachable again.")
	})
	return peers
}

// metricsServer returns the server for metrics.
func metricsServer(addr string, bounds *inbound.Bounds) *run.HTTPServer {
	server := run.NewHTTP(addr)
	server.Bounds, server.Use = bounds, inbound.Metrics
	return server
}

// readiness answers the platform's checks whether this process may receive callers.
type readiness struct {
	view       *view.View
	index      *gatewayjobs.Index
	quarantine *quarantine.Quarantine
	reach      *reach.Monitor
	serving    atomic.Bool // the servers listen and the process is not stopping
}

// serve answers 200 if this process is ready and 503 otherwise.
func (r *readiness) serve(w http.ResponseWriter, _ *http.Request) {
	if !r.serving.Load() || r.view.Current().Table == nil || !r.index.CaughtUp() || !r.quarantine.Initialized() || r.reach.IsIsolated() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
