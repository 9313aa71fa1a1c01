// Package inbound bounds what clients can make a process hold before and beside its handlers: connections with their
// descriptors and buffers, bytes in the kernel, heads and trailers of HTTP requests with what parsing makes of them, bodies
// and answers that handlers don't count, and gRPC streams with their header fields, messages and answers. The sum over all connections is bounded, not each connection alone.
//
// A connection whose request has not arrived completely holds its place only until another one needs it. So clients
// that are slow or idle make room for those that send a request.
package inbound

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"dandelionsill.org/base/budget"
	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/metrics"
)

// Settings are what a process is told about its VM.
type Settings struct {
	MemoryMB    float64 `ini:"vm.memory_mb" default:"0" min:"0" max:"100000000" help:"memory that this process may use, MB; what it holds for others is bounded to a part of it; 0: not told, only connections, streams and heads are bounded"`
	Descriptors int     `ini:"vm.descriptors" default:"0" min:"0" max:"100000000" help:"descriptors that this process may open; 0: as many as the system's limit"`
}

// Parts of a process's descriptors and of its budget.
const (
	// descriptorsPart is the part of the descriptors that clients' connections may use. The rest is for connections that
	// the process opens.
	descriptorsPart = 0.5
	// connectionsPart is the part of the budget that connections may use.
	connectionsPart = 0.3
	// Guaranteed parts of the budget.
	callersPart = 0.02
	peersPart   = 0.025
	headsPart   = 0.025
	// kernelPart is the part of the budget that the kernel's buffers of all connections may use in each direction.
	kernelPart = 0.05
)

// Bounds of a process that is not told its memory, in bytes.
const (
	defaultBudget     = 128 << 20 // for connections and streams
	defaultHeads      = 12 << 20  // for heads
	defaultSendBuffer = 128 << 10 // of a connection in the kernel
)

// logInterval is the least time between two log lines of a kind.
const logInterval = time.Second

// Costs of what is held, in bytes of a budget. A budget's byte stands for 2.5 bytes of memory, as most uses hold their bytes
// twice for a moment and the garbage collector lets the heap grow by a quarter. Connections and heads are held once.
const (
	// connCost is the cost of an HTTP connection: two buffers, a goroutine, what is held of an ordinary head, and
	// kernelBuffer bytes in the kernel.
	connCost = 20 << 10
	// streamConnCost is the cost of a gRPC connection: two buffers, three goroutines and kernelBuffer bytes.
	streamConnCost = 32 << 10
	// kernelBuffer and maxKernelBuffer are the least and the most bytes that the kernel is asked to hold for a connection in
	// each direction, unread or not yet taken by the client. It holds up to twice as many.
	kernelBuffer    = 32 << 10
	maxKernelBuffer = 1 << 20
)

// Bounds are the bounds of one process, which all its listeners share.
type Bounds struct {
	callers, peers, heads *budget.Share
	streamBytes           *budget.Share // nil: not bounded
	log                   *zap.Logger
	headsRefused          atomic.Int64

	mu           sync.Mutex
	places       int // connections that all listeners may have open
	listeners    []*Listener
	stallTimeout time.Duration // of connections that are accepted from now on

	// Bytes that the kernel is asked to hold for a connection.
	receiveBuffer, sendBuffer int
}

// New returns the bounds of a process. b is the budget of what the process holds, to which it adds shares; nil: the process
// is not told its memory.
func New(set Settings, b *budget.Budget, log *zap.Logger) *Bounds {
	if b == nil {
		bounds := newBounds(set, budget.New(defaultBudget), log)
		bounds.heads = budget.New(defaultHeads).Share("heads", 0)
		bounds.receiveBuffer, bounds.sendBuffer = kernelBuffer, defaultSendBuffer
		return bounds
	}
	bounds := newBounds(set, b, log)
	size := int(kernelPart * float64(b.Total()) / float64(max(1, bounds.places)))
	bounds.receiveBuffer = min(max(kernelBuffer, size), maxKernelBuffer)
	bounds.sendBuffer = bounds.receiveBuffer
	bounds.streamBytes = bounds.peers
	return bounds
}

// newBounds returns bounds by the parts of a budget.
func newBounds(set Settings, b *budget.Budget, log *zap.Logger) *Bounds {
	total := float64(b.Total())
	return &Bounds{
		callers: b.Share("connections", int64(callersPart*total)),
		peers:   b.Share("peers", int64(peersPart*total)),
		heads:   b.Share("heads", int64(headsPart*total)),
		log:     logs.Limited(log, logInterval),
		places:  min(int(connectionsPart*total/connCost), int(descriptorsPart*float64(descriptors(set.Descriptors)))),

		stallTimeout: stallTimeout,
	}
}

// Publish publishes metrics of the listeners, each by the name of its use.
func (b *Bounds) Publish() {
	metrics.Gauge("inbound_connections", func() any { return b.collect(func(l *Listener) int64 { return int64(l.open) }) })
	metrics.Gauge("inbound_connections_peak", func() any { return b.collect(func(l *Listener) int64 { return int64(l.peak) }) })
	metrics.Gauge("inbound_evicted_total", func() any { return b.collect(func(l *Listener) int64 { return l.evicted }) })
	metrics.Gauge("inbound_refused_total", func() any { return b.collect(func(l *Listener) int64 { return l.refused }) })
	metrics.Gauge("inbound_heads_refused_total", func() any { return b.headsRefused.Load() })
}

// Default returns the bounds that all listeners of a process share that have no others.
var Default = sync.OnceValue(func() *Bounds { return New(Settings{}, nil, zap.NewNop()) })

// maxDescriptors stands for a limit that is not known, or none.
const maxDescriptors = 1 << 30

// descriptors returns how many descriptors the process may open: as told, but no more than the system's limit.
func descriptors(told int) int {
	var limit unix.Rlimit
	most := maxDescriptors
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && limit.Cur > 0 {
		most = int(min(limit.Cur, maxDescriptors))
	}
	if told > 0 {
		most = min(most, told)
	}
	return most
}

// collect returns a value of each listener by its name.
func (b *Bounds) collect(value func(*Listener) int64) map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	values := make(map[string]int64, len(b.listeners))
	for _, l := range b.listeners {
		values[l.use.name] = value(l)
	}
	return values
}

// Use is what a listener is used for. It determines how many connections the listener may have.
type Use struct {
	name string
	// reservedPart is the part of the places that no other listener can take, for a listener with most 0.
	reservedPart float64
	// most bounds the connections of a listener whose clients are few; its places are reserved, and it takes nothing from
	// the budget. 0: as many as there is room for.
	most int
	cost int64
	peer bool // takes from the peers' share
}

// Uses of listeners.
var (
	Callers = Use{name: "callers", reservedPart: 0.25, cost: connCost}
	Peers   = Use{name: "peers", reservedPart: 0.125, cost: connCost, peer: true}
	Streams = Use{name: "streams", reservedPart: 0.125, cost: streamConnCost, peer: true}
	Checks  = Use{name: "checks", most: 16}
	Metrics = Use{name: "metrics", most: 8}
)

// reserved returns how many of all places the use has for itself.
func (u Use) reserved(places int) int {
	if u.most > 0 {
		return u.most
	}
	return int(u.reservedPart * float64(places))
}

// share returns the share from which connections of the use are taken; nil: none.
func (b *Bounds) share(u Use) *budget.Share {
	switch {
	case u.most > 0:
		return nil
	case u.peer:
		return b.peers
	default:
		return b.callers
	}
}
