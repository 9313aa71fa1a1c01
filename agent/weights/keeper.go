// Package weights keeps one model engine on the newest weights and knows which
// version it truly serves.
//
// Version truth: a version counts only after the engine itself said so when
// read back (version, state, engine start, token of the last order). Until
// then the agent serves no version. What the engine says of each chunk is
// checked against it; a chunk that does not fit means that the engine changed
// under us, and trust ends at once.
//
// Fencing: an agent claims its server in the log's stream "agents"; the
// claim's offset + 1 is the token of its orders. Before each order it reads
// that stream to its end and the engine's state back, and steps down when a
// newer claim or a newer token shows.
//
// Engines that ignore tokens: the first order waits out Lease + LongestOrder
// after the claim, unless the whole stream is still kept and shows no earlier
// claim. An older agent may give an order within Lease of having last made
// sure of its claim, and the order lasts LongestOrder at most.
//
// Log down: weighed were (a) no orders without the log, (b) orders with the
// last token seen, (c) orders only with an own token. (a) stops every trainer
// when an outage outlasts the staleness bound. (b) makes two agents share a
// token, so that even an engine that checks tokens can't tell them apart. So
// (c): an agent without a token serves what the engine says when read back,
// but gives no order; one that has its token goes on giving orders and relies
// on the state read back directly before each: it names a newer agent's token.
// What is left, with an engine that ignores tokens: an agent cut off from the
// log may order a newer version once, before its successor's first order. That
// costs a swap; labels stay true as they come from the chunks.
//
// When a swap begins: whatever it waits for must be worth more than what the
// trainers wait for. An engine that serves nothing, or whose version lies below
// a trainer's floor, swaps at once; only one that also serves applications
// keeps its wave, or all of a model's engines would be out together. Any other
// swaps in its wave's first slot, without grace where no stream runs that may
// not span versions. While such streams run they hold up the swap for the
// grace, counted from the first version not served yet. After it no new one
// starts; where idle time weighs more, those that run may hold the swap up to
// holdFactor times the grace: cancelled at each version, a sample that takes
// longer than the time between versions would never end and its step neither.
// Weighed was to hold the swap as long as no floor passes the engine: nothing
// would be lost ever, but all samples would be as stale as the bound allows.
// Where staleness weighs more, the grace is all. A sample longer than that is
// not made by weights that are swapped so often: mix versions or raise
// swap_grace.
//
// Never all engines of a model at once, what is left: slots count from when an
// agent learnt of a version, and their length from the swaps it measured
// itself. Agents that learn of a version late by more than a fifth of a slot,
// or whose swaps take unlike long, may swap together with the next wave; so
// may an engine that failed and is loaded anew.
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
	maxUnanswered           = 2 // read-backs without an answer until nothing is served
	storePollInterval       = 5 * time.Second
	// logInterval spaces the lines of one message under failure: with the store,
	// the log or the engine down each retry would write one.
	logInterval = 10 * time.Second
	// linkBytesPerSecond is what one agent is reckoned to relay, bytes a second: 60% of a
	// 10 Gb/s link.
	linkBytesPerSecond = 750e6
)

// Peer is another agent of the same model.
type Peer struct{ Name, Addr, FailureDomain string }

// Config of a Keeper. Zero durations and sizes take the defaults.
type Config struct {
	Server           string // this backend server's name
	Model            string
	FailureDomain    string
	Incarnation      uint64 // start of this agent, ms since 1970
	Engine           platform.Engine
	Store            platform.WeightStore
	Log              platform.Log
	View             confsync.Viewer
	Peers            func() []Peer // nil: none
	Dial             func(addr string) (pb.AgentClient, func(), error)
	IgnoresFencing   bool          // the engine does not check fencing tokens
	Lease            time.Duration // how long a claim may be trusted without a look at the log or engine
	MaxOrderTime     time.Duration // longest time one weight order may take
	ReadBackInterval time.Duration // how often the engine's state is read
	SlotLength       time.Duration // time between swap waves until a swap was measured
	MaxCopyBytes     int64         // larger versions are not kept for relaying
	// NoWaves swaps at once, without grace, and fetches from the store alone:
	// the baseline that benchmarks compare with.
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

// Streams are the running streams, as the keeper sees them.
type Streams interface {
	// Running tells what a swap must mind now.
	Running() Running
	// SetPendingSwap tells when the next swap comes; the zero time: none.
	SetPendingSwap(at time.Time)
	// CancelUnmixed cancels the streams that may not go through a swap.
	CancelUnmixed()
	// Discard ends streams whose tokens can't be trusted: those of samples, or
	// all where the engine may have produced anything.
	Discard(all bool, reason string)
}

// Keeper keeps one engine's weights. Its reading methods are safe for
// concurrent use and cheap enough for every chunk.
type Keeper struct {
	cfg      Config
	log      *zap.Logger // for lines under failure: each message once per logInterval
	pauses   *pauseDetector
	claim    *claim
	copies   *copies
	verified atomic.Pointer[verifiedState]
	wakeup   chan struct{}

	mu       sync.Mutex
	changed  chan struct{}
	onChange func()
	streams  Streams

	state runState // belongs to the goroutine of Run
}

// New returns a Keeper that serves nothing until Run has read the engine.
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

// SetStreams sets the streams that a swap must mind. Call it before Run.
func (k *Keeper) SetStreams(s Streams) { k.streams = s }

// OnChange sets a function that is called after each change of what Serving
// and Swapping answer. Call it before Run.
func (k *Keeper) OnChange(f func()) { k.onChange = f }

// Run does the keeper's work until ctx ends or a newer agent holds the server.
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
			k.distrust(false, "a newer agent holds this server")
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

// watchPauses keeps the heartbeat and ends trust after a pause.
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

// checkPause takes trust away before it beats again: the other way round a
// request could slip in between on what was verified before the pause.
func (k *Keeper) checkPause() {
	if k.pauses.exceeded() {
		k.distrust(false, "the process stood still longer than its lease")
	}
	k.pauses.markAlive()
}

// Serving returns the verified version and the engine's start; version 0 means
// that nothing may be served.
func (k *Keeper) Serving() (version uint64, boot string) {
	p := k.verified.Load()
	if k.pauses.exceeded() || k.claim.isSuperseded() {
		return 0, p.boot
	}
	return p.serving, p.boot
}

// Producing returns the version that the engine makes tokens with, or will
// after the order under way; 0: not known.
func (k *Keeper) Producing() uint64 {
	p := k.verified.Load()
	return max(p.serving, p.loading)
}

// Swapping tells whether an order is under way.
func (k *Keeper) Swapping() bool { return k.verified.Load().loading != 0 }

// SteppedDown is closed once a newer agent holds the backend server. This
// process then serves nothing and should exit.
func (k *Keeper) SteppedDown() <-chan struct{} { return k.claim.superseded }

// Token returns the fencing token, 0 before the claim stands.
func (k *Keeper) Token() uint64 { return k.claim.token.Load() }

// Model returns the model's name.
func (k *Keeper) Model() string { return k.cfg.Model }

// IgnoresFencing tells whether the engine ignores fencing tokens.
func (k *Keeper) IgnoresFencing() bool { return k.cfg.IgnoresFencing }

// CheckChunk tells whether a chunk of version on boot is what the engine makes
// for a stream that started on version start. On Contradicts the engine
// changed under us: trust ends here and the engine is read back.
func (k *Keeper) CheckChunk(start, version uint64, boot string) Verdict {
	p := k.verified.Load()
	verdict := p.checkChunk(start, version, boot)
	if k.pauses.exceeded() {
		verdict = Contradicts
	}
	if verdict == Contradicts && p.loading == 0 {
		k.distrust(p.boot != boot, "a chunk did not fit the verified state")
	}
	return verdict
}

// WaitOrderDone waits while an order is under way.
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

// WaitFresh waits until a version at or above floor is verified.
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

// Changed returns a channel closed at the next change of the proof.
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// FetchWeights relays this agent's copy to another agent.
func (k *Keeper) FetchWeights(req *pb.FetchWeightsRequest, stream grpc.ServerStreamingServer[pb.WeightsPiece]) error {
	return k.copies.relay(req, stream)
}

// publish publishes a proof.
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

// distrust ends all trust in the engine until it is read back. all tells
// whether not only labels but the text itself can't be trusted.
func (k *Keeper) distrust(all bool, reason string) {
	old := k.verified.Load()
	if old.serving == 0 && old.loading == 0 {
		return
	}
	if !k.verified.CompareAndSwap(old, &verifiedState{boot: old.boot}) {
		return // another goroutine has just changed it and knows better
	}
	k.notifyChange()
	k.streams.Discard(all, reason)
	k.cfg.Logger.Warn("Serving nothing until the engine is verified.", zap.String("why", reason))
	k.cfg.Explain.Add(context.Background(), "weights", k.cfg.Server, "serve nothing", reason)
	k.wake()
}

// Reconsider has Run look again at once: a floor rose, or the last unmixed
// stream that held up a swap ended.
func (k *Keeper) Reconsider() { k.wake() }

func (k *Keeper) wake() {
	select {
	case k.wakeup <- struct{}{}:
	default:
	}
}

// announcedVersion returns the newest version announcedVersion for the model.
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
