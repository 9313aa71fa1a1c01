// Package fanout reads the common streams, those of the log that all processes follow, and serves
// what it has read to other processes. decide/fanout decides from which process each one reads.
package fanout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/outbound"
	"dandelionsill.org/base/sleep"
	"dandelionsill.org/decide/fanout"
	"dandelionsill.org/decide/topology"
	"dandelionsill.org/platform"
)

// Time limits and sizes of reads.
const (
	// maxWait bounds how long a read of a process that serves others waits for a record. Each level
	// of a tree adds as much to the age of what it serves. maxLeafWait is the bound of a process
	// that has served no read for leafAfter: most processes serve nobody, and would only poll.
	maxWait     = 200 * time.Millisecond
	maxLeafWait = 500 * time.Millisecond
	leafAfter   = 2 * time.Second
	// answerMargin is how much longer a read from a parent, a millisecond away, may take.
	answerMargin = 300 * time.Millisecond
	dialTimeout  = 200 * time.Millisecond
	// maxParents bounds the parents that one read is sent to.
	maxParents = 3
	// After a loss of power, parents start at the same time as their children. Within
	// maxListenTime of its start a process asks a parent again that gives no answer, within
	// maxStartTime one that has not read the stream yet, each after startPause.
	startPause    = 80 * time.Millisecond
	maxListenTime = time.Second
	maxStartTime  = 3 * time.Second
	// maxListWait bounds the wait of a process that starts for the list of gateways. Without it,
	// all processes would read from the log after a loss of power.
	maxListWait = time.Second
	// maxAnswerBytes bounds a parent's answer.
	maxAnswerBytes = 16 << 20
	// maxIdleConns bounds the open connections to a parent; each stream is read by one goroutine.
	maxIdleConns     = 4
	logInterval      = time.Second
	defaultPageBytes = 1 << 20
)

var (
	parentReads       = metrics.Counter("fanout_parent_reads_total")
	parentFailures    = metrics.Counter("fanout_parent_failures_total")
	parentStale       = metrics.Counter("fanout_parent_stale_total")
	directReads       = metrics.Counter("fanout_direct_reads_total")
	receivedFromPeers = metrics.Counter("fanout_received_bytes_total")
	servedToPeers     = metrics.Counter("fanout_served_bytes_total")
	servedReads       = metrics.Counter("fanout_served_reads_total")
)

// Gateways is the list of gateways.
type Gateways interface {
	// Members returns all gateways except this process, as another slice after each change.
	Members() []fanout.Member
	// Loaded returns a channel that is closed once the list was read.
	Loaded() <-chan struct{}
}

// Config holds the parts that a Reader uses.
type Config struct {
	Self     fanout.Member // Addr is empty if this process serves no peers
	Log      platform.Tail
	Gateways Gateways
	// Streams are the streams that all processes follow. For keyed ones KeyOf splits a record,
	// and IsRepeat, if set, reports whether a new value of a key means the same as the old one.
	Streams []Stream
	// Now reads a clock that continues while the VM is suspended.
	Now    func() time.Duration
	Logger *zap.Logger
	// Regions says where failure domains are, and RoundTrip returns the shortest round trip to the
	// log; 0: unknown. In regions that are far from the log one process reads it for all. nil: all
	// are near.
	Regions   *topology.Topology
	RoundTrip func() time.Duration
	// Transport carries the reads from parents; nil: HTTP over TCP.
	Transport http.RoundTripper
}

// Stream is a stream that all processes follow.
type Stream struct {
	Name     string
	KeyOf    func(data []byte) (key string, value []byte, err error) // nil: not keyed
	IsRepeat func(old, new []byte) bool
}

// Reader reads streams from the log or from a parent. It implements platform.Tail and is safe
// for concurrent use.
type Reader struct {
	cfg     Config
	log     *zap.Logger
	http    *http.Client
	buffers map[string]*buffer // by stream
	started time.Duration
	// lastServed is when the last read of another process arrived, in ns of cfg.Now; 0: none has.
	lastServed atomic.Int64

	mu         sync.Mutex
	tree       *fanout.Tree
	members    []fanout.Member // of tree
	far        bool            // tree is that of a region far from the log
	failures   fanout.Failures
	parent     string                   // VM, as last logged
	staleSince map[string]time.Duration // by stream; missing: a gateway follows it
}

// NewReader returns a reader that has read nothing yet.
func NewReader(cfg Config) *Reader {
	if cfg.Transport == nil {
		dialer := &net.Dialer{Timeout: dialTimeout}
		cfg.Transport = outbound.NewTransport(&http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: time.Minute, DisableCompression: true,
		})
	}
	r := &Reader{
		cfg: cfg, log: logs.Limited(cfg.Logger, logInterval), buffers: map[string]*buffer{}, staleSince: map[string]time.Duration{},
		tree: fanout.NewTree(cfg.Self, nil), started: cfg.Now(),
		http: &http.Client{Transport: cfg.Transport},
	}
	for _, s := range cfg.Streams {
		r.buffers[s.Name] = &buffer{keyOf: s.KeyOf, isRepeat: s.IsRepeat}
	}
	return r
}

// Mode is how a process reads the streams.
type Mode uint8

const (
	// ModeAll: the fleet is small, and all processes read from the log.
	ModeAll Mode = iota
	// ModeRoot: this process reads from the log for others.
	ModeRoot
	// ModeChild: this process reads from a parent.
	ModeChild
)

// Mode returns how this process reads the streams, if no gateway has failed.
func (r *Reader) Mode() Mode {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateTree()
	switch {
	case !r.tree.IsUsed():
		return ModeAll
	case r.tree.IsDirect():
		return ModeRoot
	default:
		return ModeChild
	}
}

// updateTree makes the tree that of the current list; r.mu is held.
func (r *Reader) updateTree() {
	members, far := r.cfg.Gateways.Members(), r.isFar()
	if far == r.far && len(members) == len(r.members) && (len(members) == 0 || &members[0] == &r.members[0]) {
		return
	}
	if far != r.far {
		r.log.Info("The way to the log was measured.", zap.Bool("far", far), zap.Duration("round_trip", r.cfg.RoundTrip()))
	}
	r.members, r.far = members, far
	if far {
		r.tree = fanout.NewRegionTree(r.cfg.Self, members, r.cfg.Regions)
		return
	}
	r.tree = fanout.NewTree(r.cfg.Self, members)
}

// isFar reports whether this process is in a region that is far from the log.
func (r *Reader) isFar() bool {
	return r.cfg.RoundTrip != nil && fanout.IsFar(r.cfg.Regions, r.cfg.RoundTrip())
}

// Read implements platform.Tail. Reads that do not wait for a record are sent to the log,
// because they ask for its current end.
func (r *Reader) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (platform.Page, error) {
	b := r.buffers[stream]
	if b == nil || wait <= 0 {
		return r.cfg.Log.Read(ctx, stream, from, max, wait)
	}
	return r.readFollowed(ctx, stream, func(parent *fanout.Member) (platform.Page, error) {
		if parent == nil {
			return r.readDirect(ctx, b, stream, from, max, wait)
		}
		page, endedAt, err := r.askParent(ctx, *parent, parentRead{stream: stream, from: from, maxBytes: max << 10, wait: min(wait, r.maxWait())})
		if err == nil {
			b.add(from, page, endedAt)
		}
		return page, err
	})
}

// ReadNewest implements platform.Tail.
func (r *Reader) ReadNewest(ctx context.Context, stream string) (platform.Page, error) {
	b := r.buffers[stream]
	if b == nil {
		return r.cfg.Log.ReadNewest(ctx, stream)
	}
	return r.readFollowed(ctx, stream, func(parent *fanout.Member) (platform.Page, error) {
		if parent == nil {
			directReads.Add(1)
			sent := r.cfg.Now()
			page, err := r.cfg.Log.ReadNewest(ctx, stream)
			if err == nil {
				b.replaceNewest(page, sent)
			}
			return page, err
		}
		page, endedAt, err := r.askParent(ctx, *parent, parentRead{stream: stream, newest: true})
		if err == nil && b.isAfter(page.Next) {
			return platform.Page{}, errNotFollowing // this process has read more
		}
		if err == nil {
			b.replaceNewest(page, endedAt)
		}
		return page, err
	})
}

// SinceEnd returns how long ago the log was last known to end where this process has read it to, be
// it through others.
func (r *Reader) SinceEnd() time.Duration {
	now := r.cfg.Now()
	since := now - r.started
	for _, b := range r.buffers {
		if age, known := b.endAge(now); known {
			since = min(since, age)
		}
	}
	return since
}

// IsLeaf reports whether this process serves no other one.
func (r *Reader) IsLeaf() bool {
	served := time.Duration(r.lastServed.Load())
	return served == 0 || r.cfg.Now()-served > leafAfter
}

// maxWait returns how long a read may wait for a record.
func (r *Reader) maxWait() time.Duration {
	if r.IsLeaf() {
		return maxLeafWait
	}
	return maxWait
}

// readDirect reads from the log.
func (r *Reader) readDirect(ctx context.Context, b *buffer, stream string, from uint64, max int, wait time.Duration) (platform.Page, error) {
	directReads.Add(1)
	isShared := r.Mode() != ModeAll
	if isShared {
		wait = min(wait, r.maxWait())
	}
	sent := r.cfg.Now()
	page, err := r.cfg.Log.Read(ctx, stream, from, max, wait)
	// Keyed streams are small, and kept in any case: a child needs its parent's list as soon as
	// the fleet has grown large.
	if err == nil && (isShared || b.keyOf != nil) {
		b.add(from, page, sent)
	}
	return page, err
}

// readFollowed makes a read from the process's parent, from others if that fails, or from the
// log (parent is nil).
func (r *Reader) readFollowed(ctx context.Context, stream string, read func(parent *fanout.Member) (platform.Page, error)) (platform.Page, error) {
	r.waitForList(ctx)
	var err error
	for range maxParents {
		parent, isStale := r.chooseParent(stream)
		if isStale {
			return platform.Page{}, fmt.Errorf("%w: %w", platform.ErrLogUnavailable, errParentsStale)
		}
		var page platform.Page
		page, err = r.readFromParent(ctx, stream, parent, read)
		if err == nil || parent == nil || ctx.Err() != nil {
			return page, err
		}
		if errors.Is(err, platform.ErrTruncated) {
			return read(nil) // the parent keeps only the last records
		}
	}
	return platform.Page{}, fmt.Errorf("%w: %w", platform.ErrLogUnavailable, err)
}

// waitForList waits until the list of gateways was read, or for maxListWait after the start.
func (r *Reader) waitForList(ctx context.Context) {
	left := r.started + maxListWait - r.cfg.Now()
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-r.cfg.Gateways.Loaded():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// chooseParent returns the gateway to read a stream from; nil: read from the log. isStale
// reports that no gateway follows the log now.
func (r *Reader) chooseParent(stream string) (parent *fanout.Member, isStale bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateTree()
	now := time.Now()
	isDead := func(vm string) bool { return r.failures.IsDead(vm, now) }
	chosen, ok := r.tree.Parent(isDead)
	if !ok {
		r.logParent("")
		return nil, false
	}
	if !r.failures.IsStale(chosen.VM, stream, now) {
		r.logParent(chosen.VM)
		return &chosen, false
	}
	since, known := r.staleSince[stream]
	if !known {
		since = r.cfg.Now()
		r.staleSince[stream] = since
	}
	roots, isRoot := r.tree.Roots(isDead, r.cfg.Now()-since)
	if isRoot {
		r.logParent("")
		return nil, false
	}
	for _, i := range rand.Perm(len(roots)) {
		if root := roots[i]; !r.failures.IsStale(root.VM, stream, now) {
			r.logParent(root.VM)
			return &root, false
		}
	}
	return nil, true
}

// logParent logs a change of the gateway that is read from; r.mu is held.
func (r *Reader) logParent(vm string) {
	if vm == r.parent || !r.tree.IsUsed() {
		return
	}
	before := r.parent
	r.parent = vm
	if vm == "" {
		r.log.Info("Reading the common streams from the log.", zap.String("before", before), zap.Int("gateways", len(r.members)))
		return
	}
	r.log.Info("Reading the common streams through another gateway.", zap.String("parent", vm), zap.String("before", before), zap.Int("gateways", len(r.members)))
}

// readFromParent makes a read and records its outcome. A parent that has not read the stream
// yet is asked again while both start.
func (r *Reader) readFromParent(ctx context.Context, stream string, parent *fanout.Member, read func(parent *fanout.Member) (platform.Page, error)) (platform.Page, error) {
	for {
		page, err := read(parent)
		if parent == nil || ctx.Err() != nil {
			return page, err
		}
		running := r.cfg.Now() - r.started
		isStarting := running < maxListenTime || errors.Is(err, errNotFollowing) && running < maxStartTime
		if err != nil && isStarting && sleep.For(ctx, sleep.Jitter(startPause)) {
			continue
		}
		r.recordOutcome(stream, *parent, err)
		return page, err
	}
}

// recordOutcome records the outcome of a read from a parent.
func (r *Reader) recordOutcome(stream string, parent fanout.Member, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil || errors.Is(err, platform.ErrTruncated):
		parentReads.Add(1)
		delete(r.staleSince, stream)
		r.failures.RecordAnswer(parent.VM, stream)
	case errors.Is(err, errNotFollowing):
		parentStale.Add(1)
		r.failures.RecordStale(parent.VM, stream, time.Now())
		r.log.Info("A gateway does not follow the log now.", zap.String("parent", parent.VM), zap.String("stream", stream), zap.Error(err))
	default:
		parentFailures.Add(1)
		r.failures.RecordNoAnswer(parent.VM, time.Now())
		r.log.Warn("A gateway does not answer reads of the log.", zap.String("parent", parent.VM), zap.String("stream", stream), zap.Error(err))
	}
}
