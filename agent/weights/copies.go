package weights

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"dandelionsill.org/base/logs"
	"dandelionsill.org/decide/waves"
	"dandelionsill.org/platform"
)

const (
	pieceBytes = 256 << 10
	maxRelays  = 2 * waves.FanOut
	// A source that sends nothing for so long is given up. There is no limit to
	// the whole: a slow store that delivers must not be begun anew for ever.
	storeStallTimeout = 30 * time.Second
	// copyRetention is how long a copy that the own engine serves is kept for agents
	// that relay from this one and have not come: several times what the spread
	// over a whole fleet takes.
	copyRetention = time.Minute
	// maxVersionsBack is how many versions back an engine that serves nothing goes
	// while the newest can't be fetched.
	maxVersionsBack = 3
)

// versionCopy is this agent's copy of one version. data is nil where the version is
// larger than Config.MaxCopyBytes: it then streams from the store into the
// engine and is not relayed.
type versionCopy struct {
	info        platform.WeightInfo
	data        []byte
	completedAt time.Time // when it was whole
}

// copies fetches the newest version, keeps it while it is of use, and relays it.
//
// The bytes pass through this process's memory, as its engine takes them from
// here and agents below it in the relay tree do too. That is data, beside the
// memory that control takes, but bounded: what is kept and what is on its way
// together have Config.MaxCopyBytes. A copy goes as soon as the own engine
// serves it and the agents that fetch from this one first have it, or after
// keepCopy; in a fleet without a relay tree that is at once. An engine that
// restarts later has its weights fetched again.
type copies struct {
	cfg        Config
	log        *zap.Logger // each message once per logInterval
	wake       func()
	relaySlots chan struct{}
	rates      storeRates

	mu              sync.Mutex
	current         *versionCopy
	completedRelays int    // relays of have that were whole
	newest          uint64 // newest version that was here
	fetchingVersion uint64
	incoming        *incomingCopy // of the version fetching
	failures        int           // fetches failed in a row
	retryDelay      time.Duration // after the next failed fetch
	retryAt         time.Time
	changed         chan struct{}
}

func newCopies(cfg Config, wake func()) *copies {
	return &copies{
		cfg: cfg, log: logs.Limited(cfg.Logger, logInterval), wake: wake,
		rates:      storeRates{view: cfg.View, now: cfg.Now},
		relaySlots: make(chan struct{}, maxRelays), changed: make(chan struct{}),
	}
}

// get returns the copy of a version or nil.
func (c *copies) get(version uint64) *versionCopy {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && c.current.info.Version == version {
		return c.current
	}
	return nil
}

// bestToLoad returns the copy to load where target is wanted: its own or, while that
// is on its way, one of an older version that is newer than the served one.
// Where versions come faster than they are fetched the newest is never here.
func (c *copies) bestToLoad(target, serving uint64) *versionCopy {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return nil
	}
	have := c.current.info.Version
	if have == target || (serving != 0 && serving < have && have < target) {
		return c.current
	}
	return nil
}

// startFetch starts to fetch a version in the background unless a fetch runs. needed
// tells that an older copy here is still to be loaded: two that don't fit into
// memory together are then loaded and fetched one after the other.
func (c *copies) startFetch(ctx context.Context, version uint64, stillNeeded func(*versionCopy) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fetchingVersion != 0 || c.cfg.Now().Before(c.retryAt) || (c.current != nil && c.current.info.Version == version) {
		return
	}
	if old := c.current; old != nil && 2*int64(len(old.data)) > c.cfg.MaxCopyBytes {
		if stillNeeded(old) {
			return
		}
		c.current = nil
	}
	c.fetchingVersion = version
	go c.fetch(ctx, version)
}

// dropUnneeded drops a copy that nobody needs any more.
func (c *copies) dropUnneeded(serving uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil || serving < c.current.info.Version {
		return
	}
	plan, _ := c.plan(c.current.info.Version)
	if c.completedRelays >= plan.Role(c.cfg.Server).Children || c.cfg.Now().Sub(c.current.completedAt) >= copyRetention {
		c.current = nil
	}
}

func (c *copies) fetch(ctx context.Context, version uint64) {
	got, err := c.obtain(ctx, version)
	c.mu.Lock()
	c.incoming.wake()
	c.fetchingVersion, c.incoming = 0, nil
	if err == nil {
		got.completedAt = c.cfg.Now()
		c.current, c.completedRelays, c.retryDelay, c.failures = got, 0, 0, 0
		c.newest = max(c.newest, version)
	} else {
		c.failures++
		c.backOff()
	}
	close(c.changed)
	c.changed = make(chan struct{})
	c.mu.Unlock()
	if err != nil {
		c.log.Warn("The weights could not be fetched.", zap.Uint64("version", version), zap.Error(err))
		return // the next step of the keeper wants it again
	}
	c.wake()
}

// fallbackVersion returns the version to fetch for an engine that serves nothing: any
// whole version is better than none, and the floors guard the trainers.
func (c *copies) fallbackVersion(version uint64) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	versionsBack := uint64(c.failures) % (maxVersionsBack + 1)
	if versionsBack > 0 && c.current != nil && c.current.info.Version < version {
		return c.current.info.Version
	}
	if versionsBack >= version {
		return version
	}
	return version - versionsBack
}

// backOff keeps a whole fleet from asking a store that is down every second.
func (c *copies) backOff() {
	c.retryDelay = min(max(2*c.retryDelay, minRetryDelay), maxRetryDelay)
	c.retryAt = c.cfg.Now().Add(c.retryDelay/2 + rand.N(c.retryDelay))
}

// plan lays the version's spread out from the fellows known now.
func (c *copies) plan(version uint64) (*waves.Plan, map[string]string) {
	servers := []waves.Server{{Name: c.cfg.Server, FailureDomain: c.cfg.FailureDomain}}
	addrs := map[string]string{}
	for _, peer := range c.cfg.Peers() {
		servers = append(servers, waves.Server{Name: peer.Name, FailureDomain: peer.FailureDomain})
		addrs[peer.Name] = peer.Addr
	}
	return waves.New(c.cfg.Model, version, servers), addrs
}

// obtain tries the parents in order and then the store.
func (c *copies) obtain(ctx context.Context, version uint64) (*versionCopy, error) {
	plan, addrs := c.plan(version)
	role := plan.Role(c.cfg.Server)
	if c.cfg.NoWaves {
		return c.fetchFromStore(ctx, version, plan.Servers)
	}
	if got := c.fetchFromParents(ctx, version, role.Parents, addrs); got != nil {
		return got, nil
	}
	return c.fetchFromStore(ctx, version, c.rates.activeFetchers(c.cfg.Model, plan.StoreFetchers))
}

// fetchFromParents tries the parents in order; nil: none could relay the version. The
// digest comes from the store, never from the one who sends the bytes.
func (c *copies) fetchFromParents(ctx context.Context, version uint64, parents []string, addrs map[string]string) *versionCopy {
	if len(parents) == 0 {
		return nil
	}
	info, err := c.cfg.Store.Latest(ctx, c.cfg.Model)
	if err != nil || info.Version != version || info.Bytes > c.cfg.MaxCopyBytes {
		return nil
	}
	for _, parent := range parents {
		got, err := c.fetchFromAgent(ctx, addrs[parent], info)
		if err == nil {
			return got
		}
		c.log.Info("A parent could not relay the weights; trying the next source.", zap.String("parent", parent), zap.Error(err))
	}
	return nil
}

func (c *copies) fetchFromStore(ctx context.Context, version uint64, fetchers int) (*versionCopy, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stallTimer := time.AfterFunc(storeStallTimeout, cancel)
	body, info, err := c.cfg.Store.Fetch(ctx, c.cfg.Model, version)
	stallTimer.Stop()
	if err != nil {
		return nil, errors.Annotate(err, "weight store")
	}
	defer body.Close()
	if info.Version != version {
		return nil, errors.Errorf("weight store sent version %d for %d", info.Version, version)
	}
	if info.Bytes > c.cfg.MaxCopyBytes {
		return &versionCopy{info: info}, nil
	}
	return c.readCopy(info, c.limitRate(ctx, &stallReader{body, cancel, storeStallTimeout}, fetchers))
}

// limitRate slows a reader down to this agent's limitRate of the store's rate.
func (c *copies) limitRate(ctx context.Context, r io.Reader, fetchers int) io.Reader {
	return &pacedReader{ctx: ctx, source: r, bytesPerSecond: func() float64 { return c.shareBytesPerSecond(fetchers) }, limiter: rate.NewLimiter(rate.Inf, pieceBytes)}
}

// shareBytesPerSecond returns this agent's share of the store's rate, 0: no limit known.
func (c *copies) shareBytesPerSecond(fetchers int) float64 {
	return c.rates.modelBytesPerSecond(c.cfg.Model) / float64(max(1, fetchers))
}

// readCopy reads a whole version and checks its digest. What has come so far is
// there to relay.
func (c *copies) readCopy(info platform.WeightInfo, r io.Reader) (*versionCopy, error) {
	incoming := newIncomingCopy(info)
	c.setIncoming(incoming)
	if _, err := io.Copy(incoming, newVerifyingReader(r, info)); err != nil {
		return nil, errors.Trace(err)
	}
	return &versionCopy{info: info, data: incoming.data}, nil
}

func (c *copies) setIncoming(incoming *incomingCopy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incoming.wake()
	c.incoming = incoming
	close(c.changed)
	c.changed = make(chan struct{})
}

// fitsOrderTime tells whether a version can stream into the engine within an order's
// time. An order that is cut off would take the engine out of service for
// nothing.
func (c *copies) fitsOrderTime(w *versionCopy) bool {
	if w.data != nil {
		return true
	}
	plan, _ := c.plan(w.info.Version)
	bytesPerSecond := c.shareBytesPerSecond(plan.Servers)
	return bytesPerSecond <= 0 || float64(w.info.Bytes)/bytesPerSecond < c.cfg.MaxOrderTime.Seconds()
}

// open returns the bytes for the engine. Every read of it is checked again:
// the engine is told of a wrong digest by a read error, not by an end of file.
func (c *copies) open(ctx context.Context, w *versionCopy) (*orderBody, error) {
	if w.data != nil || w.info.Bytes == 0 {
		return &orderBody{Reader: bytes.NewReader(w.data), Closer: io.NopCloser(nil), size: w.info.Bytes}, nil
	}
	plan, _ := c.plan(w.info.Version)
	stream, info, err := c.cfg.Store.Fetch(ctx, c.cfg.Model, w.info.Version)
	if err != nil {
		return nil, errors.Annotate(err, "weight store")
	}
	return &orderBody{Reader: newVerifyingReader(c.limitRate(ctx, stream, plan.Servers), info), Closer: stream, size: w.info.Bytes}, nil
}

// stallReader cancels a source that stalls in a read.
type stallReader struct {
	source  io.Reader
	cancel  context.CancelFunc
	timeout time.Duration
}

func (w *stallReader) Read(p []byte) (int, error) {
	timer := time.AfterFunc(w.timeout, w.cancel)
	defer timer.Stop()
	return w.source.Read(p)
}

// orderBody is what an order sends.
type orderBody struct {
	io.Reader
	io.Closer
	size      int64
	bytesRead atomic.Int64
}

// isComplete tells whether the engine can have had all of it. Bytes count, not the
// end of file: a client that knows the size may stop before it.
func (b *orderBody) isComplete() bool { return b.bytesRead.Load() >= b.size }

func (b *orderBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.bytesRead.Add(int64(n))
	return n, err
}

// verifyingReader turns the end of a copy with a wrong length or digest into an error.
type verifyingReader struct {
	source    io.Reader
	info      platform.WeightInfo
	digest    hash.Hash
	bytesRead int64
}

func newVerifyingReader(r io.Reader, info platform.WeightInfo) *verifyingReader {
	return &verifyingReader{source: r, info: info, digest: sha256.New()}
}

func (c *verifyingReader) Read(p []byte) (int, error) {
	n, err := c.source.Read(p)
	c.digest.Write(p[:n])
	c.bytesRead += int64(n)
	if err != io.EOF {
		return n, err
	}
	if c.bytesRead != c.info.Bytes {
		return n, errors.Errorf("weights have %d bytes, should have %d", c.bytesRead, c.info.Bytes)
	}
	if got := hex.EncodeToString(c.digest.Sum(nil)); got != c.info.Digest {
		return n, errors.Errorf("weights have digest %s, should have %s", got, c.info.Digest)
	}
	return n, io.EOF
}

// pacedReader reads no faster than perSecond, which may change; 0: as fast as it goes.
type pacedReader struct {
	ctx            context.Context
	source         io.Reader
	bytesPerSecond func() float64
	limiter        *rate.Limiter
}

func (p *pacedReader) Read(b []byte) (int, error) {
	n, err := p.source.Read(b[:min(len(b), pieceBytes)])
	if limit := rateLimit(p.bytesPerSecond()); limit != p.limiter.Limit() {
		p.limiter.SetLimit(limit)
	}
	if n > 0 {
		if waitErr := p.limiter.WaitN(p.ctx, n); waitErr != nil {
			return n, waitErr
		}
	}
	return n, err
}

func rateLimit(bytesPerSecond float64) rate.Limit {
	if bytesPerSecond <= 0 {
		return rate.Inf
	}
	return rate.Limit(bytesPerSecond)
}
