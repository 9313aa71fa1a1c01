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
	// A source that sends nothing for this long is abandoned. There is no limit
	// for the whole transfer: a slow store that delivers must not be restarted
	// from the first byte for ever.
	storeStallTimeout = 30 * time.Second
	// copyRetention is how long a copy that this agent's engine serves already
	// is kept for agents that should fetch it from here and have not yet:
	// several times what the spread over a whole fleet takes.
	copyRetention = time.Minute
	// maxVersionsBack is how many versions an engine that serves nothing goes
	// back while the newest can't be fetched.
	maxVersionsBack = 3
)

// versionCopy is this agent's copy of one version. data is nil if the version
// is larger than Config.MaxCopyBytes: it then streams from the store into the
// engine and is not relayed.
type versionCopy struct {
	info        platform.WeightInfo
	data        []byte
	completedAt time.Time // when all bytes had arrived
}

// copies fetches the newest version, keeps it while it is needed, and relays it
// to other agents.
//
// The bytes pass through this process's memory because both its engine and the
// agents below it in the relay tree take them from here. This is bounded: the
// copy that is kept and the one that is being fetched together have
// Config.MaxCopyBytes. A copy is dropped once this agent's engine serves it and
// the agents that should fetch it from here have it, or after copyRetention.
// Without a relay tree no agent should, so it is dropped as soon as the engine
// serves it. An engine that restarts later has its weights fetched again.
type copies struct {
	cfg        Config
	log        *zap.Logger // writes each message at most once per logInterval
	wake       func()
	relaySlots chan struct{}
	rates      storeRates

	mu              sync.Mutex
	current         *versionCopy
	completedRelays int    // completed relays of current
	newest          uint64 // newest version that was ever fetched completely
	fetchingVersion uint64
	incoming        *incomingCopy // of fetchingVersion
	failures        int           // consecutive failed fetches
	retryDelay      time.Duration // base of the delay after the last failed fetch
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

// get returns the copy of a version, or nil.
func (c *copies) get(version uint64) *versionCopy {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && c.current.info.Version == version {
		return c.current
	}
	return nil
}

// bestToLoad returns the copy to load when target is wanted: the copy of target
// or, while that is being fetched, a copy of an older version that is newer
// than the served one. Otherwise an engine would never load new weights if
// versions are published faster than they can be fetched. It returns nil if
// there is nothing to load.
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

// startFetch starts to fetch a version in the background unless a fetch is
// running. stillNeeded reports whether an older copy here is still to be
// loaded: two copies that don't fit into memory together are then loaded and
// fetched one after the other.
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

// dropUnneeded drops the copy once this agent's engine serves it and the agents
// that should fetch it from here have it, or after copyRetention.
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
		c.log.Warn("Fetching the weights failed.", zap.Uint64("version", version), zap.Error(err))
		return // the keeper's next step starts another fetch
	}
	c.wake()
}

// fallbackVersion returns the version to fetch for an engine that serves
// nothing. Each failed fetch goes back one more version, up to maxVersionsBack,
// and then starts from the newest again: any complete version is better than
// none, and the floors protect the trainers.
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

// backOff schedules the next fetch with a growing, random delay. Otherwise a
// whole fleet would ask an unavailable store every second.
func (c *copies) backOff() {
	c.retryDelay = min(max(2*c.retryDelay, minRetryDelay), maxRetryDelay)
	c.retryAt = c.cfg.Now().Add(c.retryDelay/2 + rand.N(c.retryDelay))
}

// plan returns the rollout plan of a version for the currently known peers, and
// the peers' addresses by name.
func (c *copies) plan(version uint64) (*waves.Plan, map[string]string) {
	servers := []waves.Server{{Name: c.cfg.Server, FailureDomain: c.cfg.FailureDomain}}
	addrs := map[string]string{}
	for _, peer := range c.cfg.Peers() {
		servers = append(servers, waves.Server{Name: peer.Name, FailureDomain: peer.FailureDomain})
		addrs[peer.Name] = peer.Addr
	}
	return waves.New(c.cfg.Model, version, servers), addrs
}

// obtain fetches a version from one of the parents, in their order, or else
// from the store.
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

// fetchFromParents tries the parents in order and returns nil if none could
// relay the version. The digest comes from the store, never from the agent that
// sends the bytes.
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
		return nil, errors.Errorf("weight store sent version %d instead of %d", info.Version, version)
	}
	if info.Bytes > c.cfg.MaxCopyBytes {
		return &versionCopy{info: info}, nil
	}
	return c.readCopy(info, c.limitRate(ctx, &stallReader{body, cancel, storeStallTimeout}, fetchers))
}

// limitRate returns a reader that is limited to this agent's share of the
// store's rate.
func (c *copies) limitRate(ctx context.Context, r io.Reader, fetchers int) io.Reader {
	return &pacedReader{ctx: ctx, source: r, bytesPerSecond: func() float64 { return c.shareBytesPerSecond(fetchers) }, limiter: rate.NewLimiter(rate.Inf, pieceBytes)}
}

// shareBytesPerSecond returns this agent's share of the store's rate; 0 means
// that no limit is known.
func (c *copies) shareBytesPerSecond(fetchers int) float64 {
	return c.rates.modelBytesPerSecond(c.cfg.Model) / float64(max(1, fetchers))
}

// readCopy reads a complete version and checks its digest. Bytes that have
// arrived can be relayed before the rest is here.
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

// fitsOrderTime reports whether a version can stream into the engine within
// MaxOrderTime. An order that times out would take the engine out of service
// for nothing.
func (c *copies) fitsOrderTime(w *versionCopy) bool {
	if w.data != nil {
		return true
	}
	plan, _ := c.plan(w.info.Version)
	bytesPerSecond := c.shareBytesPerSecond(plan.Servers)
	return bytesPerSecond <= 0 || float64(w.info.Bytes)/bytesPerSecond < c.cfg.MaxOrderTime.Seconds()
}

// open returns the bytes for the engine. A version that streams from the store
// is checked while the engine reads it: a wrong digest ends the stream with a
// read error instead of an end of file.
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

// stallReader cancels the source's context when one read takes longer than
// timeout.
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

// orderBody is the body of a weight order. It counts the bytes read.
type orderBody struct {
	io.Reader
	io.Closer
	size      int64
	bytesRead atomic.Int64
}

// isComplete reports whether the engine can have received all bytes. It counts
// bytes instead of waiting for the end of file: a client that knows the size
// may stop before reading it.
func (b *orderBody) isComplete() bool { return b.bytesRead.Load() >= b.size }

func (b *orderBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.bytesRead.Add(int64(n))
	return n, err
}

// verifyingReader returns an error instead of io.EOF if the length or the
// digest of the data is wrong.
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

// pacedReader reads no faster than bytesPerSecond, which may change between
// reads; 0 means no limit.
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
