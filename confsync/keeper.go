package confsync

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"dandelionsill.org/base/logs"
	"dandelionsill.org/fold/control"
	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

// logInterval limits each log line that a lasting failure would repeat.
const logInterval = time.Minute

// maxModels bounds the memory that versions heard from peers can take.
const maxModels = 4096

// Config is what a Keeper needs.
type Config struct {
	Name string // this process
	Addr string // its gRPC listener, IP:port; never exchanged with
	Log  platform.Log
	Keys manifest.Keys
	// Peers returns the addresses of all other processes that are known. It is
	// called often and must be cheap. Nil: no peers.
	Peers  func() []string
	Logger *zap.Logger
}

// Keeper holds the control state of a process. Its methods are safe for
// concurrent use; View and Changed take no lock.
type Keeper struct {
	pb.UnimplementedPeerServer

	cfg        Config
	log        *zap.Logger
	limitedLog *zap.Logger // for what a failure repeats
	peers      exchanger
	random     random
	appends    *rate.Limiter

	view    atomic.Pointer[View]
	changed atomic.Pointer[chan struct{}]

	mu             sync.Mutex
	state          *control.State
	versions       map[string]uint64 // newest from anywhere
	loggedVersions map[string]uint64 // newest that the log gave
	pending        map[string]uint64 // announced here, not yet seen in the log
	health         logHealth
	startupState   startup
	excludedUntil  map[string]time.Time // peers that failed, until when

	spreadDelay time.Duration // pause before the news is spread; mu guards it

	spreadSignal    chan struct{} // something new is known
	announceSignal  chan struct{} // pending has grown
	keepAliveSignal chan struct{} // the revision in the log was renewed, or the log is back
}

// New returns a Keeper that knows nothing yet; Run makes it learn.
func New(cfg Config) (*Keeper, error) {
	return newKeeper(cfg, newExchangeConns(), newRandom())
}

func newKeeper(cfg Config, peers exchanger, random random) (*Keeper, error) {
	if cfg.Log == nil {
		return nil, errors.New("confsync: no log")
	}
	if len(cfg.Keys) == 0 {
		return nil, errors.New("confsync: no public key of the pipeline; no manifest could be trusted")
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.Peers == nil {
		cfg.Peers = func() []string { return nil }
	}
	k := &Keeper{
		cfg:             cfg,
		log:             cfg.Logger,
		limitedLog:      logs.Limited(cfg.Logger, logInterval),
		peers:           peers,
		random:          random,
		appends:         rate.NewLimiter(appendRate, appendBurst),
		state:           control.New(cfg.Keys),
		versions:        map[string]uint64{},
		loggedVersions:  map[string]uint64{},
		pending:         map[string]uint64{},
		excludedUntil:   map[string]time.Time{},
		spreadSignal:    make(chan struct{}, 1),
		announceSignal:  make(chan struct{}, 1),
		keepAliveSignal: make(chan struct{}, 1),
	}
	k.view.Store(&View{Versions: map[string]uint64{}})
	changed := make(chan struct{})
	k.changed.Store(&changed)
	return k, nil
}

// Run learns, spreads and keeps alive the control state until ctx is done.
func (k *Keeper) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){k.tail, k.spreadChanges, k.antiEntropy, k.appendVersions, k.keepAlive} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
	k.sendPending()
	k.peers.Close()
}

// sendPending gives peers the announcements that may be known only here. Without
// it, a version announced just before a planned stop would be lost until its
// trainer announces the next one.
func (k *Keeper) sendPending() {
	if _, _, ok := k.nextPending(); !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	k.exchangeWithRandomPeers(ctx, spreadFanout)
}

// View returns the newest View; it is never nil.
func (k *Keeper) View() *View { return k.view.Load() }

// Changed returns a channel that is closed at the next change. Take it before
// View, so that no change falls in between.
func (k *Keeper) Changed() <-chan struct{} { return *k.changed.Load() }

// Announce makes a weight version known: here at once, to peers within
// seconds, and to the log when it can be written.
func (k *Keeper) Announce(model string, version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if version <= k.versions[model] {
		return
	}
	k.versions[model] = version
	k.pending[model] = version
	k.publish(peerSpreadDelay)
	notify(k.announceSignal)
}

// apply folds records of the log in.
func (k *Keeper) apply(records []platform.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.state.NewestCopy()
	for _, rec := range records {
		for _, event := range k.state.Apply(rec) {
			k.applyEvent(event)
		}
	}
	k.dropPendingInLog()
	if k.state.NewestCopy() != before {
		notify(k.keepAliveSignal)
	}
	k.publish(logSpreadDelay)
}

// offerRevision takes a revision from a peer. A refused one changes nothing.
func (k *Keeper) offerRevision(from string, rev *pb.SignedRevision) {
	if rev == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	rose, err := k.state.Offer(rev)
	if err != nil {
		revisionsRefused.Add(1)
		k.limitedLog.Error("Refused a peer's revision.", zap.String("peer", from), zap.Error(err))
		return
	}
	if rose {
		if readable := k.state.Revision(); readable != nil && readable.Number == rev.Number {
			k.startupState.newestFromPeer = rev.Number
		}
		k.log.Info("Took a revision from a peer.", zap.String("peer", from), zap.Uint64("revision", rev.Number))
		k.publish(peerSpreadDelay)
		notify(k.keepAliveSignal)
	}
}

// mergeVersions takes weight versions from a peer.
func (k *Keeper) mergeVersions(versions []*pb.ModelVersion) {
	k.mu.Lock()
	defer k.mu.Unlock()
	rose := false
	for _, v := range versions {
		current, known := k.versions[v.Model]
		if v.Version <= current || !known && len(k.versions) >= maxModels {
			continue
		}
		k.versions[v.Model] = v.Version
		rose = true
	}
	if rose {
		k.publish(peerSpreadDelay)
	}
}

// publish swaps the View in if it differs and wakes whoever waits. Peers are
// told after a pause; k.mu is held.
func (k *Keeper) publish(spreadDelay time.Duration) {
	old, next := k.view.Load(), k.buildView()
	if old.Number == next.Number && old.Hash == next.Hash && old.Offset == next.Offset && maps.Equal(old.Versions, next.Versions) {
		return
	}
	k.view.Store(next)
	changed := make(chan struct{})
	close(*k.changed.Swap(&changed))
	k.spreadDelay = spreadDelay
	notify(k.spreadSignal)
}

func (k *Keeper) buildView() *View {
	view := *k.view.Load()
	view.Versions = maps.Clone(k.versions)
	if rev := k.state.Revision(); rev != nil && k.startupState.mayUse(rev.Number) {
		view.Number, view.Hash, view.Offset, view.Manifest = rev.Number, rev.Hash, rev.Offset, rev.Manifest
	}
	return &view
}

// applyEvent keeps and logs what a record of the log changed; k.mu is held.
func (k *Keeper) applyEvent(event control.Event) {
	switch e := event.(type) {
	case control.Version:
		k.loggedVersions[e.Model] = e.Version
		k.versions[e.Model] = max(k.versions[e.Model], e.Version)
	case control.Accepted:
		k.log.Info("Accepted a revision.", zap.Uint64("revision", e.Revision.Number), zap.Uint64("offset", e.Revision.Offset))
	case control.Rejected:
		revisionsRejected.Add(1)
		k.log.Warn("Rejected a commit.", zap.String("id", e.ID), zap.String("reason", e.Reason), zap.Uint64("current", e.Current))
	case control.Unreadable:
		k.log.Error("The newest revision can't be read by this release; the one before stays in force.", zap.Uint64("revision", e.Number), zap.Error(e.Err))
	case control.Held:
		k.log.Warn("A commit waits until the gap in the log is settled.", zap.String("id", e.ID), zap.Uint64("revision", e.Number))
	}
}

// head returns the newest accepted revision; nil: none yet, or only one that
// the log is known to have passed.
func (k *Keeper) head() *control.Revision {
	k.mu.Lock()
	defer k.mu.Unlock()
	if head := k.state.Head(); head != nil && k.startupState.mayUse(head.Number) {
		return head
	}
	return nil
}

// notify wakes the one reader of a channel with room for one.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// newID names a record.
func newID(kind, process string) string { return kind + "/" + process + "/" + uuid.NewString() }
