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
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/run"
	"dandelionsill.org/base/trace"
	"dandelionsill.org/decide/lease"
	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/gateway/backend"
	"dandelionsill.org/gateway/forward"
	"dandelionsill.org/gateway/front"
	gatewayjobs "dandelionsill.org/gateway/jobs"
	"dandelionsill.org/gateway/view"
	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/quarantine"
)

// Times of the stop, as shares of the grace.
const (
	// serveOn is the share of the grace in which new connections are still
	// served: the balancer goes on sending some until it has missed two
	// answers to its question.
	serveOn = 0.4
	// drainShare is the share left for what is then in flight.
	drainShare = 0.5
	// idleTimeout is longer than any caller keeps an idle connection, so that
	// no request crosses our close.
	idleTimeout = 5 * time.Minute
)

// newIncarnation names one start of a process.
func newIncarnation() string {
	return strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.Itoa(os.Getpid())
}

// newLogger returns the process's logger to standard output.
func newLogger(part, level string) (*zap.Logger, *logs.Async) {
	out := logs.NewAsync(os.Stdout)
	metrics.Gauge("log_lines_dropped_total", func() any { return out.Dropped() })
	return logs.NewTo(out, part, level), out
}

// BuildGateway makes the gateway's process.
func BuildGateway(ctx context.Context, set Gateway) (*run.Process, error) {
	saveMemory()
	log, out := newLogger("gateway", set.Process.LogLevel)
	flush, err := trace.Start(ctx, "dandelion-gateway", set.Trace)
	if err != nil {
		return nil, errors.Trace(err)
	}
	store := hosted.NewStore(set.Store.Address)
	writer := jobs.Writer{VM: set.Process.Name, Incarnation: newIncarnation()}
	capacity := gatewayjobs.Capacity(set.VM.CPUShare, set.VM.LinkMbps)
	peers := withPeers(store, set.Process.Name, set.Listen.Peers, log)
	processes := func() int { return len(peers.Addrs()) + 1 }
	v := view.New(store, logs.Part(log, "view"))
	v.UseCopies = true
	v.MinReadInterval = func() time.Duration { return feedPace(peers, set.Store.ReadsPerS) }
	pool := backend.NewPool(hosted.AttemptID)
	forwarder := forward.New(v, pool, set.Process.FailureDomain, logs.Part(log, "forward"))
	forwarder.Quarantine.EnableSharing(store, quarantine.NewHTTPPeers(peers.Addrs), set.Store.ReadsPerS)
	index := gatewayjobs.NewIndex(store, logs.Part(log, "jobs"))
	runner := gatewayjobs.NewRunner(index, store, forwarder, writer, set.Store.Parts, capacity, logs.Part(log, "runner"))
	handler := &front.Front{
		View: v, Forward: forwarder, Log: logs.Part(log, "front"), Latency: metrics.NewHistogram("front_latency"),
		Jobs: gatewayjobs.NewService(index, store, writer, set.Store.Parts, capacity, logs.Part(log, "jobs")),
	}
	ready := &readiness{view: v, index: index, quarantine: forwarder.Quarantine}
	index.Texts.SetPeers(peers.Addr)
	index.SetReadInterval(func() time.Duration { return gatewayjobs.ReadInterval(processes(), set.Store.ReadsPerS) })
	usage := newReporting(&set, lease.Holder(writer), store, processes, log)
	if usage != nil {
		forwarder.Usage = usage.counter
	}
	var loops sync.WaitGroup
	usage.run(ctx, loops.Go)
	loops.Go(func() { peers.Run(ctx) })
	loops.Go(func() { v.Run(ctx) })
	loops.Go(func() { v.RunCopies(ctx, processes) })
	loops.Go(func() { forwarder.Quarantine.Run(ctx) })
	loops.Go(func() { index.Run(ctx) })
	loops.Go(func() { runner.Run(ctx) })
	log.Info("Starting.", zap.String("name", writer.VM), zap.String("life", writer.Incarnation), zap.String("callers", set.Listen.Callers), zap.String("store", set.Store.Address))
	return &run.Process{
		Servers:      gatewayServers(set, handler, peerCalls(index.Texts, forwarder.Quarantine, store), ready),
		Ready:        func(is bool) { ready.up.Store(is); leave(is, handler, runner, usage) },
		StopDelay:    time.Duration(serveOn * float64(set.Process.Grace)),
		Drain:        func(ctx context.Context) error { return drain(ctx, handler, runner, usage, log) },
		DrainTimeout: time.Duration(drainShare * float64(set.Process.Grace)),
		Close:        func() { loops.Wait(); endTraces(flush, log); out.Close() },
		Reload: func(next any, changed []string) []string {
			return reloadStore(store, &next.(*Gateway).Common, changed)
		},
		Logger: log,
	}, nil
}

// processesPerGateway is how many processes follow the feeds for each gateway: the
// gateways know each other only, and there is about one agent for each.
const processesPerGateway = 2

// feedPace is the least time between two reads of a feed.
func feedPace(gateways *hosted.Peers, readsPerS float64) time.Duration {
	return gatewayjobs.ReadInterval(processesPerGateway*(len(gateways.Addrs())+1), readsPerS)
}

// flushMost bounds the sending of the last spans at a stop.
const flushMost = time.Second

func endTraces(flush func(context.Context) error, log *zap.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), flushMost)
	defer cancel()
	if err := flush(ctx); err != nil {
		log.Warn("Spans are lost.", zap.Error(err))
	}
}

// leave gives this process's jobs and duties up as soon as it is told to stop.
func leave(ready bool, handler *front.Front, runner *gatewayjobs.Runner, usage *reporting) {
	if ready {
		return
	}
	usage.leave()
	handler.StartDrain()
	runner.Drain()
}

// drain waits until no caller's request is in flight and others may go on with
// this process's jobs.
func drain(ctx context.Context, handler *front.Front, runner *gatewayjobs.Runner, usage *reporting, log *zap.Logger) error {
	if !runner.WaitDrained(ctx) {
		log.Warn("Batch jobs could not be given up.")
	}
	defer usage.left(context.WithoutCancel(ctx))
	return handler.Drain(ctx)
}

// peerCalls serves what peers ask of this process.
func peerCalls(texts, quarantined http.Handler, store *hosted.Store) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(gatewayjobs.PathTexts, texts)
	mux.Handle(quarantine.PathPeers, quarantined)
	mux.Handle("/", store.Relay())
	return mux
}

func gatewayServers(set Gateway, handler, calls http.Handler, ready *readiness) []transport.Server {
	callers := run.NewHTTP(set.Listen.Callers)
	callers.Handler = handler // no router between: paths go on as they came
	callers.IdleTimeout = idleTimeout
	questions := run.NewHTTP(set.Listen.Ready)
	questions.HandleFunc(hosted.PathReady, ready.serve)
	servers := []transport.Server{callers, questions}
	if set.Listen.Peers != "" {
		relay := run.NewHTTP(set.Listen.Peers)
		relay.Handler = calls
		servers = append(servers, relay)
	}
	if set.Process.Metrics != "" && set.Process.Metrics != set.Listen.Ready {
		servers = append(servers, metricsServer(set.Process.Metrics))
	}
	return servers
}

// withPeers lets the store's calls go through other gateways; self is where
// this process takes theirs, empty: nowhere.
func withPeers(store *hosted.Store, node, self string, log *zap.Logger) *hosted.Peers {
	log = logs.Part(log, "store")
	peers := hosted.NewPeers(store, node, self, log)
	store.SetPeers(peers.Addrs, func(away error) {
		if away != nil {
			log.Warn("Lost the store; calls go through peers.", zap.Int("peers", len(peers.Addrs())), zap.String("why", away.Error()))
			return
		}
		log.Info("The store answers directly again.")
	})
	return peers
}

func metricsServer(addr string) *khttp.Server { return run.NewHTTP(addr) }

// readiness answers the platform's question whether callers may be sent here.
type readiness struct {
	view       *view.View
	index      *gatewayjobs.Index
	quarantine *quarantine.Quarantine
	up         atomic.Bool
}

func (r *readiness) serve(w http.ResponseWriter, _ *http.Request) {
	if !r.up.Load() || r.view.Current().Table == nil || !r.index.CaughtUp() || !r.quarantine.Initialized() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
