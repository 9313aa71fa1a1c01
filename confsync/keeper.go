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

// logInterval is the minimum time between two equal log lines of a failure that
// lasts.
const logInterval = time.Minute

// maxModels bounds the memory for weight versions received from peers.
const maxModels = 4096

// Config configures a Keeper. Name, Log and Keys are required.
type Config struct {
	Name string // this process's name
	Addr string // its gRPC listener, IP:port; skipped among the peers
	Log  platform.Log
	Keys manifest.Keys // public keys that manifests may be signed with
	// Peers returns the addresses of all known processes. It is called often and
	// must be cheap. Nil: no peers.
	Peers  func() []string
	Logger *zap.Logger
}

// Keeper holds the control state of a process. Its methods are safe for
// concurrent use; View and Changed take no lock.
type Keeper struct {
	pb.UnimplementedPeerServer

	cfg        Config
	log        *zap.Logger
	limitedLog *zap.Logger // for failures that repeat
	peers      exchanger
	random     random
	appends    *rate.Limiter

	view    atomic.Pointer[View]
	changed atomic.Pointer[chan struct{}]

	mu             sync.Mutex
	state          *control.State
	versions       map[string]uint64 // model -> newest version from any source
	loggedVersions map[string]uint64 // model -> newest version read from the log
	pending        map[string]uint64 // model -> version announced here and not yet in the log
	health         logHealth
	startupState   startup
	excludedUntil  map[string]time.Time // address of a failed peer -> until when it is avoided

	spreadDelay time.Duration // delay before the newest change is sent to peers; guarded by mu

	spreadSignal    chan struct{} // the published state has changed
	announceSignal  chan struct{} // pending has grown
	keepAliveSignal chan struct{} // the newest copy in the log has changed, or the log is available again
}

// New returns a Keeper with an empty state; Run fills it. It fails without a log
// or without keys.
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

// Run reads the control state from the log, exchanges it with peers and keeps it
// from expiring in the log, until ctx is done.
func (k *Keeper) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){k.tail, k.spreadChanges, k.antiEntropy, k.appendVersions, k.keepAlive} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
	k.sendPending()
	k.peers.Close()
}

// sendPending sends peers the announcements that are not in the log yet and may
// be known only to this process. Otherwise a version announced just before a
// planned stop would be lost until the trainer announces the next one.
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

// Changed returns a channel that is closed at the next change of the View. Call
// it before View, so that no change between the two calls is missed.
func (k *Keeper) Changed() <-chan struct{} { return *k.changed.Load() }

// Announce publishes a weight version: in this process at once, to peers within
// seconds, and to the log as soon as it can be written. It ignores a version
// that is not newer than the known one.
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

// apply applies records read from the log and publishes the result.
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

// offerRevision takes over a revision from a peer if it is newer. A revision
// that is refused changes nothing.
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
		k.log.Info("Received a newer revision from a peer.", zap.String("peer", from), zap.Uint64("revision", rev.Number))
		k.publish(peerSpreadDelay)
		notify(k.keepAliveSignal)
	}
}

// mergeVersions takes over the weight versions from a peer that are newer.
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

// publish replaces the View if the state has changed, closes the channel of
// Changed, and lets the change spread to peers after spreadDelay. The caller
// holds k.mu.
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

// buildView returns the View of the current state; the caller holds k.mu.
func (k *Keeper) buildView() *View {
	view := *k.view.Load()
	view.Versions = maps.Clone(k.versions)
	if rev := k.state.Revision(); rev != nil && k.startupState.mayUse(rev.Number) {
		view.Number, view.Hash, view.Offset, view.Manifest = rev.Number, rev.Hash, rev.Offset, rev.Manifest
	}
	return &view
}

// applyEvent stores and logs what a record of the log changed; the caller holds
// k.mu.
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

// head returns the newest accepted revision. It returns nil if there is none, or
// if startup has only read revisions that may already be replaced.
func (k *Keeper) head() *control.Revision {
	k.mu.Lock()
	defer k.mu.Unlock()
	if head := k.state.Head(); head != nil && k.startupState.mayUse(head.Number) {
		return head
	}
	return nil
}

// notify wakes the reader of a channel with a buffer of one, without blocking.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// newID returns a unique id for a record.
func newID(kind, process string) string { return kind + "/" + process + "/" + uuid.NewString() }
