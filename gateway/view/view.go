// Package view keeps what a process knows of the platform: the routing table in
// force, the backend servers and the weight versions that trainers named.
// Readers take a Snapshot without a lock; two loops follow the store's feeds.
package view

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/sleep"
	"dandelionsill.org/decide/members"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/gateway/signal"
	"dandelionsill.org/platform"
)

// Times of the loops that follow the feeds.
const (
	// pollWait is how long a read waits at the store for a change. It bounds
	// what a connection that went silent costs: a configuration has to be in
	// force within 2 s, and a silent read ends after pollWait and the client's
	// own timeout.
	pollWait = 700 * time.Millisecond
	// snapshotEvery renews the whole list, so that a change that a read missed
	// (the store's watchers can go deaf for a second) is not missed for good.
	snapshotEvery = 4 * time.Second
	// snapshotShare is the most of the time that is spent on reading whole lists:
	// one that took long is renewed the later. The lists of a large fleet, each renewed
	// at its usual pace, are more than the store gives, and all reads come late.
	snapshotShare = 0.005
	// snapshotLatest bounds that.
	snapshotLatest = time.Minute
	retryFirst     = 50 * time.Millisecond
	retryMost      = 400 * time.Millisecond
	// outageAfter is how long reads fail before the store counts as away. A
	// single lost answer is no outage.
	outageAfter = 400 * time.Millisecond
	expireEvery = 100 * time.Millisecond
)

var (
	appliedTables = metrics.Counter("view_tables_applied_total")
	unreadable    = metrics.Counter("view_unreadable_records_total")
	storeOutages  = metrics.Counter("view_store_outages_total")
)

// Snapshot is what was known at one moment. It must not be changed.
type Snapshot struct {
	Table    *table.Table // nil: no configuration has been read
	TableAt  time.Time    // when Table came into force here
	Servers  map[string][]members.Server
	Versions map[string]uint64 // newest named version of each model
	// Operator is the highest offset read of the operator's feed. It only
	// grows, in every process alike, and so serves as a fencing token.
	Operator uint64
}

// Server returns a server of a service by its id.
func (s *Snapshot) Server(service, id string) (members.Server, bool) {
	for _, server := range s.Servers[service] {
		if server.ID == id {
			return server, true
		}
	}
	return members.Server{}, false
}

// View follows the store. Its zero value can't be used.
type View struct {
	Changed signal.Signal
	// Copies lets the view go by copies; it is set before Run. An agent must not: the
	// newest offset that it has read is its fencing token, and by a copy it would go
	// down.
	Copies bool
	// Pace is the least time between two reads of a feed's changes; it is set before
	// Run. nil: none. Each change wakes every process: unbounded, 300 of them would
	// read each of the changes of 3,000 servers' entries by itself.
	Pace func() time.Duration

	feeds platform.Feeds
	log   *zap.Logger
	now   func() time.Time
	bad   badRecords

	// operatorAsOf is when the last read of the operator's feed that succeeded was
	// sent, in nanoseconds since the start; 0: none has.
	operatorAsOf atomic.Int64
	started      time.Time

	current atomic.Pointer[Snapshot]
	mu      sync.Mutex // guards set and the making of snapshots
	set     *members.Set
}

// New returns a view that knows nothing yet.
func New(feeds platform.Feeds, log *zap.Logger) *View {
	v := &View{feeds: feeds, log: log, now: time.Now, started: time.Now(), set: members.New(members.DefaultGracePeriod)}
	v.current.Store(&Snapshot{Servers: map[string][]members.Server{}, Versions: map[string]uint64{}})
	return v
}

// Now returns the current snapshot.
func (v *View) Now() *Snapshot { return v.current.Load() }

// sureFor is how old the last word of the operator's feed may be for this process to
// say that a route does not exist: a read that waits, and as much again for a slow
// store. Configurations have to be in force within 2 s of their acknowledgement.
const sureFor = 2 * pollWait

// Sure tells whether the configuration is as new as it has to be to refuse a request
// for a route that it lacks. A process that falls behind an overloaded store, or is
// cut off from it, would refuse callers of routes that were added meanwhile for good.
func (v *View) Sure() bool { return v.operatorAsOf.Load() > 0 && v.Age() <= sureFor }

// Age is how long ago the configuration was surely the newest; where it never was, the
// age of the view.
func (v *View) Age() time.Duration {
	return v.now().Sub(v.started) - time.Duration(v.operatorAsOf.Load())
}

// heard notes that all is applied that a feed told in a read that was sent at a time.
func (v *View) heard(feed platform.Feed, sent time.Time) {
	if feed == platform.FeedOperator {
		v.operatorAsOf.Store(int64(max(1, sent.Sub(v.started))))
	}
}

// Run follows both feeds until ctx ends.
func (v *View) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { v.follow(ctx, platform.FeedOperator) })
	loops.Go(func() { v.follow(ctx, platform.FeedServers) })
	loops.Go(func() { v.expire(ctx) })
	loops.Wait()
}

func (v *View) expire(ctx context.Context) {
	for sleep.For(ctx, expireEvery) {
		v.mu.Lock()
		if v.set.Expire(v.now()) {
			v.publishServers()
		}
		v.mu.Unlock()
	}
}

// follower is the state of one loop.
type follower struct {
	v     *View
	feed  platform.Feed
	delay time.Duration
	// failing is when reads began to fail; zero: they don't.
	failing time.Time
	away    bool
	// known: the feed itself was read. copied: its copy was.
	known, copied bool
}

func (v *View) follow(ctx context.Context, feed platform.Feed) {
	f := &follower{v: v, feed: feed}
	for ctx.Err() == nil {
		begun := v.now()
		changes, next, err := v.feeds.Snapshot(ctx, feed)
		if err != nil {
			f.standIn(ctx)
			f.failed(ctx, err)
			continue
		}
		f.known = true
		f.succeeded()
		v.replace(feed, changes)
		v.heard(feed, begun)
		f.tail(ctx, next, renewAfter(v.now().Sub(begun)))
	}
}

// renewAfter is how long after a whole list that took some time the next is due.
func renewAfter(took time.Duration) time.Duration {
	due := time.Duration(float64(took) / snapshotShare)
	if due <= snapshotEvery {
		return snapshotEvery
	}
	return max(snapshotEvery, sleep.Jitter(min(snapshotLatest, due)))
}

// tail reads changes until a new snapshot is due.
func (f *follower) tail(ctx context.Context, next uint64, after time.Duration) {
	renew := f.v.now().Add(after)
	for ctx.Err() == nil && f.v.now().Before(renew) {
		sent := f.v.now()
		changes, end, err := f.v.feeds.Changes(ctx, f.feed, next, pollWait)
		if err != nil {
			f.failed(ctx, err)
			return
		}
		f.succeeded()
		f.v.apply(f.feed, changes)
		f.v.heard(f.feed, sent)
		next = end
		if f.v.Pace != nil {
			sleep.For(ctx, f.v.Pace()-f.v.now().Sub(sent))
		}
	}
}

func (f *follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	now := f.v.now()
	if f.failing.IsZero() {
		f.failing = now
	}
	if !f.away && now.Sub(f.failing) >= outageAfter {
		f.away = true
		storeOutages.Add(1)
		f.v.log.Warn("Lost the store.", zap.Stringer("feed", f.feed), zap.Error(err))
	}
	f.delay = min(retryMost, max(retryFirst, 2*f.delay))
	sleep.For(ctx, sleep.Jitter(f.delay))
}

func (f *follower) succeeded() {
	now := f.v.now()
	f.delay = 0
	if f.away || !f.failing.IsZero() && now.Sub(f.failing) >= outageAfter {
		f.v.log.Info("The store is back.", zap.Stringer("feed", f.feed), zap.Duration("away", now.Sub(f.failing)))
		f.v.mu.Lock()
		f.v.set.StoreRecovered(now)
		f.v.mu.Unlock()
	}
	f.failing, f.away = time.Time{}, false
}

// replace takes a full list of a feed's records.
func (v *View) replace(feed platform.Feed, changes []platform.Change) {
	if feed == platform.FeedOperator {
		v.apply(feed, changes)
		return
	}
	list := make([]members.Server, 0, len(changes))
	for _, c := range changes {
		switch {
		case c.Err != nil:
			v.unreadable(feed, c)
		case c.Server != nil:
			list = append(list, *c.Server)
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.set.Replace(list, v.now())
	v.publishServers()
}

func (v *View) apply(feed platform.Feed, changes []platform.Change) {
	if len(changes) == 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if feed == platform.FeedServers {
		v.applyServers(changes)
		return
	}
	next := *v.current.Load()
	for _, c := range changes {
		v.applyOperator(&next, c)
	}
	v.current.Store(&next)
	v.Changed.Notify()
}

func (v *View) applyServers(changes []platform.Change) {
	for _, c := range changes {
		switch {
		case c.Err != nil:
			v.unreadable(platform.FeedServers, c)
			v.set.Remove(c.Gone, v.now())
		case c.Server != nil:
			v.logServer(*c.Server)
			v.set.Put(*c.Server)
		case c.Gone != "":
			v.log.Info("A backend server's entry is gone.", zap.String("server", c.Gone), zap.Uint64("offset", c.Offset))
			v.set.Remove(c.Gone, v.now())
		}
	}
	v.publishServers()
}

// logServer logs what changes belief: a new server, or one that leaves.
func (v *View) logServer(server members.Server) {
	before, known := v.current.Load().Server(server.Service, server.ID)
	if known && before.Leaving == server.Leaving {
		return
	}
	v.log.Info("Backend server.", zap.String("server", server.ID), zap.String("service", server.Service),
		zap.String("addr", server.Addr), zap.Time("born", server.StartedAt), zap.Bool("leaving", server.Leaving))
}

// applyOperator takes one record of the operator. What is older than what is
// in force is passed over: a configuration never goes back.
func (v *View) applyOperator(next *Snapshot, c platform.Change) {
	next.Operator = max(next.Operator, c.Offset)
	switch {
	case c.Err != nil:
		v.unreadable(platform.FeedOperator, c)
	case c.Table != nil && (next.Table == nil || c.Table.Version > next.Table.Version):
		next.Table, next.TableAt = c.Table, v.now()
		appliedTables.Add(1)
		v.log.Info("Configuration in force.", zap.Uint64("version", c.Table.Version), zap.Uint64("offset", c.Offset),
			zap.Int("routes", len(c.Table.Routes)), zap.Bool("keys", c.Table.Organisations != nil))
		v.tellLeftOut(c.Table)
	case c.Version != nil && c.Version.Version > next.Versions[c.Version.Model]:
		versions := make(map[string]uint64, len(next.Versions)+1)
		for model, version := range next.Versions {
			versions[model] = version
		}
		versions[c.Version.Model] = c.Version.Version
		next.Versions = versions
		v.log.Info("Weight version named.", zap.String("model", c.Version.Model),
			zap.Uint64("version", c.Version.Version), zap.Uint64("offset", c.Offset))
	}
}

// leftOutMost bounds the lines about one configuration.
const leftOutMost = 20

// tellLeftOut logs which parts of a configuration can't be used.
func (v *View) tellLeftOut(t *table.Table) {
	for _, why := range t.Ignored[:min(len(t.Ignored), leftOutMost)] {
		v.log.Warn("A part of the configuration is left out.", zap.Uint64("version", t.Version), zap.String("why", why))
	}
	if more := len(t.Ignored) - leftOutMost; more > 0 {
		v.log.Warn("More parts of the configuration are left out.", zap.Uint64("version", t.Version), zap.Int("more", more))
	}
}

// publishServers makes the set visible; mu is held.
func (v *View) publishServers() {
	next := *v.current.Load()
	next.Servers = v.set.ByService()
	v.current.Store(&next)
	v.Changed.Notify()
}
