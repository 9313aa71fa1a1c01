// Package weights keeps one model engine on the newest weights and knows which
// version the engine serves.
//
// Verified version: a version counts only after it was read back from the
// engine itself (version, state, engine start, token of the last order). Until
// then the agent serves no version. The version that the engine reports with
// each chunk is checked against the verified one; a chunk that does not match
// means that the engine changed without an order of this agent, and the
// verified state is discarded at once.
//
// Fencing: an agent claims its server in the log's stream "agents"; the claim's
// offset + 1 is the token of its orders. Before each order the agent reads that
// stream to its end and reads the engine's state back, and steps down if it
// finds a newer claim or a newer token.
//
// Engines that ignore tokens: the first order waits for Lease + MaxOrderTime
// after the claim, unless the complete stream is still kept and contains no
// earlier claim. An older agent may give an order up to Lease after it last
// checked its claim, and the order takes MaxOrderTime at most.
//
// Log unavailable: three designs were considered: (a) no orders without the
// log, (b) orders with the last token seen, (c) orders only with the agent's
// own token. (a) stops every trainer when an outage lasts longer than the
// staleness bound. (b) makes two agents share a token, so that even an engine
// that checks tokens can't distinguish them. Therefore (c): an agent without a
// token serves the version that it reads back from the engine, but gives no
// order; an agent that has its token continues to give orders and relies on the
// engine state that it reads directly before each one, which contains a newer
// agent's token. What remains, with an engine that ignores tokens: an agent
// partitioned from the log may order a newer version once, before its
// successor's first order. That costs one swap; labels stay correct because
// they come from the chunks.
//
// When a swap starts: it waits only for what is worth more than the trainers
// lose by waiting. An engine that serves nothing, or whose version
// is below a trainer's floor, swaps at once; only an engine that also serves
// applications keeps its wave, otherwise all engines of a model could be out of
// service together. Any other engine swaps in its wave's first slot, without
// grace if it runs no stream that may not span versions (unmixed stream). While
// unmixed streams run they delay the swap for the grace period, counted from
// the first version not served yet. After the grace period no new unmixed
// stream starts. If idle time weighs more than staleness, the running ones may
// delay the swap up to holdFactor times the grace period: if they were
// cancelled at each version, a sample that takes longer than the time between
// versions would never end, and neither would its step. The alternative of
// delaying the swap until a floor passes the engine was rejected: nothing would
// ever be lost, but all samples would be as stale as the bound allows. If
// staleness weighs more, the grace period is the limit. A sample that takes
// longer than that can't be generated with weights that are swapped so often:
// allow mixed versions or raise swap_grace.
//
// Known limits of the rule that not all engines of a model swap at once: slots
// count from when an agent received a version, and their length comes from the
// swaps that the agent measured itself. Agents that receive a version late by
// more than a fifth of a slot, or whose swaps take differently long, may swap
// together with the next wave; so may an engine that failed and is loaded
// again.
package weights

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"dandelionsill.org/base/explain"
	"dandelionsill.org/base/logs"
	"dandelionsill.org/confsync"
	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

// Defaults of Config.
const (
	DefaultLease            = 5 * time.Second
	DefaultMaxOrderTime     = 15 * time.Second
	DefaultReadBackInterval = time.Second
	DefaultSlotLength       = 4 * time.Second
	DefaultMaxCopyBytes     = 256 << 20
	minRetryDelay           = 200 * time.Millisecond
	maxRetryDelay           = 10 * time.Second
	pauseChecksPerLease     = 10
	maxUnanswered           = 2 // consecutive failed read-backs after which nothing is served
	storePollInterval       = 5 * time.Second
	// logInterval is the shortest time between two log lines with the same
	// message under failure: while the store, the log or the engine is
	// unavailable, each retry would write one.
	logInterval = 10 * time.Second
	// linkBytesPerSecond is the rate at which one agent is assumed to relay, in
	// bytes per second: 60% of a 10 Gb/s link.
	linkBytesPerSecond = 750e6
)

// Peer is another agent of the same model.
type Peer struct{ Name, Addr, FailureDomain string }

// Config configures a Keeper. Zero durations and sizes take the defaults.
type Config struct {
	Server           string // this backend server's name
	Model            string
	FailureDomain    string
	Incarnation      uint64 // start of this agent, ms since 1970
	Engine           platform.Engine
	Store            platform.WeightStore
	Log              platform.Log
	View             confsync.Viewer
	Peers            func() []Peer // nil means none
	Dial             func(addr string) (pb.AgentClient, func(), error)
	IgnoresFencing   bool          // the engine does not check fencing tokens
	Lease            time.Duration // how long a claim is trusted without checking the log or the engine
	MaxOrderTime     time.Duration // longest time one weight order may take
	ReadBackInterval time.Duration // how often the engine's state is read
	SlotLength       time.Duration // time between swap waves until this agent has measured a swap
	MaxCopyBytes     int64         // larger versions are not kept for relaying
	// NoWaves swaps at once, without grace, and fetches from the store only:
	// the baseline for benchmarks.
	NoWaves bool
	Explain *explain.Ring
	Logger  *zap.Logger
	Now     func() time.Time
}

func (c Config) withDefaults() Config {
	setDefault(&c.Lease, DefaultLease)
	setDefault(&c.MaxOrderTime, DefaultMaxOrderTime)
	setDefault(&c.ReadBackInterval, DefaultReadBackInterval)
	setDefault(&c.SlotLength, DefaultSlotLength)
	setDefault(&c.MaxCopyBytes, DefaultMaxCopyBytes)
	if c.Peers == nil {
		c.Peers = func() []Peer { return nil }
	}
	if c.Dial == nil {
		c.Dial = dialAgent
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

func setDefault[T time.Duration | int64](value *T, def T) {
	if *value <= 0 {
		*value = def
	}
}

// Streams gives the keeper access to the streams that run at the engine.
type Streams interface {
	// Running returns what a swap must take into account now.
	Running() Running
	// SetPendingSwap sets when the next swap is scheduled; the zero time means
	// that none is.
	SetPendingSwap(at time.Time)
	// CancelUnmixed cancels the streams that may not span versions.
	CancelUnmixed()
	// Discard ends streams whose tokens can't be trusted: those of samples, or
	// all of them if the engine may have generated wrong text.
	Discard(all bool, reason string)
}

// Keeper manages the weights of one engine. Its reading methods are safe for
// concurrent use and cheap enough to call for every chunk.
type Keeper struct {
	cfg      Config
	log      *zap.Logger // for messages under failure; writes each at most once per logInterval
	pauses   *pauseDetector
	claim    *claim
	copies   *copies
	verified atomic.Pointer[verifiedState]
	wakeup   chan struct{}

	mu       sync.Mutex
	changed  chan struct{}
	onChange func()
	streams  Streams

	state runState // only for the goroutine of Run
}

// New returns a Keeper that serves nothing until Run has read the engine's
// state.
func New(cfg Config) *Keeper {
	cfg = cfg.withDefaults()
	k := &Keeper{
		cfg: cfg, log: logs.Limited(cfg.Logger, logInterval), pauses: newPauseDetector(cfg.Now, cfg.Lease), claim: newClaim(cfg),
		wakeup: make(chan struct{}, 1), changed: make(chan struct{}), streams: noStreams{},
	}
	k.copies = newCopies(cfg, k.wake)
	k.verified.Store(&verifiedState{})
	k.state.retryDelay = minRetryDelay
	return k
}

// SetStreams sets the streams that a swap must take into account. Call it
// before Run.
func (k *Keeper) SetStreams(s Streams) { k.streams = s }

// OnChange sets a function that is called after each change of what Serving and
// Swapping return. Call it before Run.
func (k *Keeper) OnChange(f func()) { k.onChange = f }

// Run keeps the engine on the newest weights until ctx ends or a newer agent
// claims the server.
func (k *Keeper) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { k.claim.run(ctx) })
	wg.Go(func() { k.watchPauses(ctx) })
	defer cancel()
	for {
		changed := k.cfg.View.Changed()
		next := k.step(ctx)
		if k.claim.isSuperseded() {
			k.discardVerified(false, "a newer agent holds this server")
			return
		}
		timer := time.NewTimer(next)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-changed:
		case <-k.wakeup:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// watchPauses checks for pauses of the process pauseChecksPerLease times per
// lease.
func (k *Keeper) watchPauses(ctx context.Context) {
	tick := time.NewTicker(k.cfg.Lease / pauseChecksPerLease)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			k.checkPause()
		}
	}
}

// checkPause discards the verified state after a pause and only then records
// that the process is alive. In the other order a request could be served in
// between with a version that was verified before the pause.
func (k *Keeper) checkPause() {
	if k.pauses.leaseExceeded() {
		k.discardVerified(false, "the process stood still longer than its lease")
	}
	k.pauses.markAlive()
}

// Serving returns the verified version and the engine's boot id; version 0
// means that nothing may be served.
func (k *Keeper) Serving() (version uint64, boot string) {
	p := k.verified.Load()
	if k.pauses.leaseExceeded() || k.claim.isSuperseded() {
		return 0, p.boot
	}
	return p.serving, p.boot
}

// Producing returns the version that the engine generates with, or will after
// the order that is running; 0 means unknown.
func (k *Keeper) Producing() uint64 {
	p := k.verified.Load()
	return max(p.serving, p.loading)
}

// Swapping reports whether an order is running.
func (k *Keeper) Swapping() bool { return k.verified.Load().loading != 0 }

// SteppedDown returns a channel that is closed once a newer agent has claimed
// the backend server. This process then serves nothing and should exit.
func (k *Keeper) SteppedDown() <-chan struct{} { return k.claim.superseded }

// Token returns the fencing token, or 0 before the claim is stored.
func (k *Keeper) Token() uint64 { return k.claim.token.Load() }

// Model returns the model's name.
func (k *Keeper) Model() string { return k.cfg.Model }

// IgnoresFencing reports whether the engine ignores fencing tokens.
func (k *Keeper) IgnoresFencing() bool { return k.cfg.IgnoresFencing }

// CheckChunk reports whether a chunk with the given version and boot id matches
// the verified state, for a stream that started on version start. On
// Contradicts the engine changed without an order: the verified state is
// discarded and the engine is read back.
func (k *Keeper) CheckChunk(start, version uint64, boot string) Verdict {
	p := k.verified.Load()
	verdict := p.checkChunk(start, version, boot)
	if k.pauses.leaseExceeded() {
		verdict = Contradicts
	}
	if verdict == Contradicts && p.loading == 0 {
		k.discardVerified(p.boot != boot, "a chunk did not fit the verified state")
	}
	return verdict
}

// WaitOrderDone waits while an order is running. It returns ctx's error if ctx
// ends first.
func (k *Keeper) WaitOrderDone(ctx context.Context) error {
	for {
		changed := k.Changed()
		if !k.Swapping() {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// WaitFresh waits until a version at or above floor is verified. It returns
// that version and the engine's boot id, or ctx's error.
func (k *Keeper) WaitFresh(ctx context.Context, floor uint64) (uint64, string, error) {
	for {
		changed := k.Changed()
		if v, boot := k.Serving(); v != 0 && v >= floor {
			return v, boot, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, "", ctx.Err()
		}
	}
}

// Changed returns a channel that is closed at the next change of the verified
// state.
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// FetchWeights relays this agent's copy of a version to another agent.
func (k *Keeper) FetchWeights(req *pb.FetchWeightsRequest, stream grpc.ServerStreamingServer[pb.WeightsPiece]) error {
	return k.copies.relay(req, stream)
}

// publish replaces the verified state and notifies the waiters.
func (k *Keeper) publish(p *verifiedState) {
	k.verified.Store(p)
	k.notifyChange()
}

func (k *Keeper) notifyChange() {
	k.mu.Lock()
	close(k.changed)
	k.changed = make(chan struct{})
	k.mu.Unlock()
	if k.onChange != nil {
		k.onChange()
	}
}

// discardVerified discards the verified state until the engine is read back.
// all reports whether the text itself can't be trusted either, and not only its
// labels.
func (k *Keeper) discardVerified(all bool, reason string) {
	old := k.verified.Load()
	if old.serving == 0 && old.loading == 0 {
		return
	}
	if !k.verified.CompareAndSwap(old, &verifiedState{boot: old.boot}) {
		return // another goroutine has just replaced the state with a newer one
	}
	k.notifyChange()
	k.streams.Discard(all, reason)
	k.cfg.Logger.Warn("Serving nothing until the engine is verified.", zap.String("why", reason))
	k.cfg.Explain.Add(context.Background(), "weights", k.cfg.Server, "serve nothing", reason)
	k.wake()
}

// Reconsider makes Run evaluate at once whether to swap: a floor was raised, or
// the last unmixed stream that delayed a swap ended.
func (k *Keeper) Reconsider() { k.wake() }

func (k *Keeper) wake() {
	select {
	case k.wakeup <- struct{}{}:
	default:
	}
}

// announcedVersion returns the newest version announced for the model, or 0.
func (k *Keeper) announcedVersion() uint64 {
	if v := k.cfg.View.View(); v != nil {
		return v.Versions[k.cfg.Model]
	}
	return 0
}

func (k *Keeper) manifest() *manifest.Manifest {
	if v := k.cfg.View.View(); v != nil {
		return v.Manifest
	}
	return nil
}

type noStreams struct{}

func (noStreams) Running() Running         { return Running{} }
func (noStreams) SetPendingSwap(time.Time) {}
func (noStreams) CancelUnmixed()           {}
func (noStreams) Discard(bool, string)     {}
