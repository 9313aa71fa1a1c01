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
	storeStall = 30 * time.Second
	// keepCopy is how long a copy that the own engine serves is kept for agents
	// that relay from this one and have not come: several times what the spread
	// over a whole fleet takes.
	keepCopy = time.Minute
	// maxOlder is how many versions back an engine that serves nothing goes
	// while the newest can't be fetched.
	maxOlder = 3
)

// copyOf is this agent's copy of one version. data is nil where the version is
// larger than Config.MaxCopyBytes: it then streams from the store into the
// engine and is not relayed.
type copyOf struct {
	info platform.WeightInfo
	data []byte
	at   time.Time // when it was whole
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
	cfg    Config
	log    *zap.Logger // each message once per logInterval
	wake   func()
	relays chan struct{}
	rates  rates

	mu       sync.Mutex
	have     *copyOf
	served   int    // relays of have that were whole
	newest   uint64 // newest version that was here
	fetching uint64
	arriving *arrival      // of the version fetching
	failures int           // fetches failed in a row
	retry    time.Duration // after the next failed fetch
	retryAt  time.Time
	changed  chan struct{}
}

func newCopies(cfg Config, wake func()) *copies {
	return &copies{
		cfg: cfg, log: logs.Limited(cfg.Logger, logInterval), wake: wake,
		rates:  rates{view: cfg.View, now: cfg.Now},
		relays: make(chan struct{}, maxRelays), changed: make(chan struct{}),
	}
}

// get returns the copy of a version or nil.
func (c *copies) get(version uint64) *copyOf {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.have != nil && c.have.info.Version == version {
		return c.have
	}
	return nil
}

// best returns the copy to load where target is wanted: its own or, while that
// is on its way, one of an older version that is newer than the served one.
// Where versions come faster than they are fetched the newest is never here.
func (c *copies) best(target, serving uint64) *copyOf {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.have == nil {
		return nil
	}
	have := c.have.info.Version
	if have == target || (serving != 0 && serving < have && have < target) {
		return c.have
	}
	return nil
}

// want starts to fetch a version in the background unless a fetch runs. needed
// tells that an older copy here is still to be loaded: two that don't fit into
// memory together are then loaded and fetched one after the other.
func (c *copies) want(ctx context.Context, version uint64, needed func(*copyOf) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fetching != 0 || c.cfg.Now().Before(c.retryAt) || (c.have != nil && c.have.info.Version == version) {
		return
	}
	if old := c.have; old != nil && 2*int64(len(old.data)) > c.cfg.MaxCopyBytes {
		if needed(old) {
			return
		}
		c.have = nil
	}
	c.fetching = version
	go c.fetch(ctx, version)
}

// release drops a copy that nobody needs any more.
func (c *copies) release(serving uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.have == nil || serving < c.have.info.Version {
		return
	}
	plan, _ := c.plan(c.have.info.Version)
	if c.served >= plan.Role(c.cfg.Server).Children || c.cfg.Now().Sub(c.have.at) >= keepCopy {
		c.have = nil
	}
}

func (c *copies) fetch(ctx context.Context, version uint64) {
	got, err := c.obtain(ctx, version)
	c.mu.Lock()
	c.arriving.wake()
	c.fetching, c.arriving = 0, nil
	if err == nil {
		got.at = c.cfg.Now()
		c.have, c.served, c.retry, c.failures = got, 0, 0, 0
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

// older returns the version to fetch for an engine that serves nothing: any
// whole version is better than none, and the floors guard the trainers.
func (c *copies) older(version uint64) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	back := uint64(c.failures) % (maxOlder + 1)
	if back > 0 && c.have != nil && c.have.info.Version < version {
		return c.have.info.Version
	}
	if back >= version {
		return version
	}
	return version - back
}

// backOff keeps a whole fleet from asking a store that is down every second.
func (c *copies) backOff() {
	c.retry = min(max(2*c.retry, retryMin), retryMax)
	c.retryAt = c.cfg.Now().Add(c.retry/2 + rand.N(c.retry))
}

// plan lays the version's spread out from the fellows known now.
func (c *copies) plan(version uint64) (*waves.Plan, map[string]string) {
	servers := []waves.Server{{Name: c.cfg.Server, FailureDomain: c.cfg.FailureDomain}}
	addrs := map[string]string{}
	for _, f := range c.cfg.Fellows() {
		servers = append(servers, waves.Server{Name: f.Name, FailureDomain: f.FailureDomain})
		addrs[f.Name] = f.Addr
	}
	return waves.New(c.cfg.Model, version, servers), addrs
}

// obtain tries the parents in order and then the store.
func (c *copies) obtain(ctx context.Context, version uint64) (*copyOf, error) {
	plan, addrs := c.plan(version)
	role := plan.Role(c.cfg.Server)
	if c.cfg.NoWaves {
		return c.fromStore(ctx, version, plan.Servers)
	}
	if got := c.fromParents(ctx, version, role.Parents, addrs); got != nil {
		return got, nil
	}
	return c.fromStore(ctx, version, c.rates.fetchers(c.cfg.Model, plan.StoreFetchers))
}

// fromParents tries the parents in order; nil: none could relay the version. The
// digest comes from the store, never from the one who sends the bytes.
func (c *copies) fromParents(ctx context.Context, version uint64, parents []string, addrs map[string]string) *copyOf {
	if len(parents) == 0 {
		return nil
	}
	info, err := c.cfg.Store.Latest(ctx, c.cfg.Model)
	if err != nil || info.Version != version || info.Bytes > c.cfg.MaxCopyBytes {
		return nil
	}
	for _, parent := range parents {
		got, err := c.fromAgent(ctx, addrs[parent], info)
		if err == nil {
			return got
		}
		c.log.Info("A parent could not relay the weights; trying the next source.", zap.String("parent", parent), zap.Error(err))
	}
	return nil
}

func (c *copies) fromStore(ctx context.Context, version uint64, fetchers int) (*copyOf, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opening := time.AfterFunc(storeStall, cancel)
	body, info, err := c.cfg.Store.Fetch(ctx, c.cfg.Model, version)
	opening.Stop()
	if err != nil {
		return nil, errors.Annotate(err, "weight store")
	}
	defer body.Close()
	if info.Version != version {
		return nil, errors.Errorf("weight store sent version %d for %d", info.Version, version)
	}
	if info.Bytes > c.cfg.MaxCopyBytes {
		return &copyOf{info: info}, nil
	}
	return c.readCopy(info, c.share(ctx, &watched{body, cancel, storeStall}, fetchers))
}

// share slows a reader down to this agent's share of the store's rate.
func (c *copies) share(ctx context.Context, r io.Reader, fetchers int) io.Reader {
	return &paced{ctx: ctx, r: r, perSecond: func() float64 { return c.sharePS(fetchers) }, limit: rate.NewLimiter(rate.Inf, pieceBytes)}
}

// sharePS returns this agent's share of the store's rate, 0: no limit known.
func (c *copies) sharePS(fetchers int) float64 {
	return c.rates.storePS(c.cfg.Model) / float64(max(1, fetchers))
}

// readCopy reads a whole version and checks its digest. What has come so far is
// there to relay.
func (c *copies) readCopy(info platform.WeightInfo, r io.Reader) (*copyOf, error) {
	a := newArrival(info)
	c.arrives(a)
	if _, err := io.Copy(a, newChecked(r, info)); err != nil {
		return nil, errors.Trace(err)
	}
	return &copyOf{info: info, data: a.data}, nil
}

func (c *copies) arrives(a *arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arriving.wake()
	c.arriving = a
	close(c.changed)
	c.changed = make(chan struct{})
}

// inTime tells whether a version can stream into the engine within an order's
// time. An order that is cut off would take the engine out of service for
// nothing.
func (c *copies) inTime(w *copyOf) bool {
	if w.data != nil {
		return true
	}
	plan, _ := c.plan(w.info.Version)
	ps := c.sharePS(plan.Servers)
	return ps <= 0 || float64(w.info.Bytes)/ps < c.cfg.LongestOrder.Seconds()
}

// open returns the bytes for the engine. Every read of it is checked again:
// the engine is told of a wrong digest by a read error, not by an end of file.
func (c *copies) open(ctx context.Context, w *copyOf) (*body, error) {
	if w.data != nil || w.info.Bytes == 0 {
		return &body{Reader: bytes.NewReader(w.data), Closer: io.NopCloser(nil), size: w.info.Bytes}, nil
	}
	plan, _ := c.plan(w.info.Version)
	stream, info, err := c.cfg.Store.Fetch(ctx, c.cfg.Model, w.info.Version)
	if err != nil {
		return nil, errors.Annotate(err, "weight store")
	}
	return &body{Reader: newChecked(c.share(ctx, stream, plan.Servers), info), Closer: stream, size: w.info.Bytes}, nil
}

// watched cancels a source that stalls in a read.
type watched struct {
	r      io.Reader
	cancel context.CancelFunc
	limit  time.Duration
}

func (w *watched) Read(p []byte) (int, error) {
	stall := time.AfterFunc(w.limit, w.cancel)
	defer stall.Stop()
	return w.r.Read(p)
}

// body is what an order sends.
type body struct {
	io.Reader
	io.Closer
	size int64
	read atomic.Int64
}

// whole tells whether the engine can have had all of it. Bytes count, not the
// end of file: a client that knows the size may stop before it.
func (b *body) whole() bool { return b.read.Load() >= b.size }

func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.read.Add(int64(n))
	return n, err
}

// checked turns the end of a copy with a wrong length or digest into an error.
type checked struct {
	r    io.Reader
	info platform.WeightInfo
	sum  hash.Hash
	n    int64
}

func newChecked(r io.Reader, info platform.WeightInfo) *checked {
	return &checked{r: r, info: info, sum: sha256.New()}
}

func (c *checked) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.sum.Write(p[:n])
	c.n += int64(n)
	if err != io.EOF {
		return n, err
	}
	if c.n != c.info.Bytes {
		return n, errors.Errorf("weights have %d bytes, should have %d", c.n, c.info.Bytes)
	}
	if got := hex.EncodeToString(c.sum.Sum(nil)); got != c.info.Digest {
		return n, errors.Errorf("weights have digest %s, should have %s", got, c.info.Digest)
	}
	return n, io.EOF
}

// paced reads no faster than perSecond, which may change; 0: as fast as it goes.
type paced struct {
	ctx       context.Context
	r         io.Reader
	perSecond func() float64
	limit     *rate.Limiter
}

func (p *paced) Read(b []byte) (int, error) {
	n, err := p.r.Read(b[:min(len(b), pieceBytes)])
	if limit := limitOf(p.perSecond()); limit != p.limit.Limit() {
		p.limit.SetLimit(limit)
	}
	if n > 0 {
		if werr := p.limit.WaitN(p.ctx, n); werr != nil {
			return n, werr
		}
	}
	return n, err
}

func limitOf(perSecond float64) rate.Limit {
	if perSecond <= 0 {
		return rate.Inf
	}
	return rate.Limit(perSecond)
}
