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
	// snapshotInterval renews the whole list, so that a change that a read missed
	// (the store's watchers can go deaf for a second) is not missed for good.
	snapshotInterval = 4 * time.Second
	// maxSnapshotShare is the most of the time that is spent on reading whole lists:
	// one that took long is renewed the later. The lists of a large fleet, each renewed
	// at its usual pace, are more than the store gives, and all reads come late.
	maxSnapshotShare = 0.005
	// maxSnapshotInterval bounds that.
	maxSnapshotInterval = time.Minute
	minRetryDelay       = 50 * time.Millisecond
	maxRetryDelay       = 400 * time.Millisecond
	// outageThreshold is how long reads fail before the store counts as away. A
	// single lost answer is no outage.
	outageThreshold = 400 * time.Millisecond
	expireInterval  = 100 * time.Millisecond
)

var (
	appliedTables = metrics.Counter("view_tables_applied_total")
	unreadable    = metrics.Counter("view_unreadable_records_total")
	storeOutages  = metrics.Counter("view_store_outages_total")
)

// Snapshot is what was known at one moment. It must not be changed.
type Snapshot struct {
	Table          *table.Table // nil: no configuration has been read
	TableAppliedAt time.Time    // when Table came into force here
	Servers        map[string][]members.Server
	Versions       map[string]uint64 // newest named version of each model
	// OperatorOffset is the highest offset read of the operator's feed. It only
	// grows, in every process alike, and so serves as a fencing token.
	OperatorOffset uint64
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
	// UseCopies lets the view go by copies; it is set before Run. An agent must not: the
	// newest offset that it has read is its fencing token, and by a copy it would go
	// down.
	UseCopies bool
	// MinReadInterval is the least time between two reads of a feed's changes; it is set before
	// Run. nil: none. Each change wakes every process: unbounded, 300 of them would
	// read each of the changes of 3,000 servers' entries by itself.
	MinReadInterval func() time.Duration

	feeds      platform.Feeds
	log        *zap.Logger
	now        func() time.Time
	unreadable unreadableRecords

	// operatorReadAt is when the last read of the operator's feed that succeeded was
	// sent, in nanoseconds since the start; 0: none has.
	operatorReadAt atomic.Int64
	started        time.Time

	current atomic.Pointer[Snapshot]
	mu      sync.Mutex // guards set and the making of snapshots
	servers *members.Set
}

// New returns a view that knows nothing yet.
func New(feeds platform.Feeds, log *zap.Logger) *View {
	v := &View{feeds: feeds, log: log, now: time.Now, started: time.Now(), servers: members.New(members.DefaultReturn)}
	v.current.Store(&Snapshot{Servers: map[string][]members.Server{}, Versions: map[string]uint64{}})
	return v
}

// Current returns the current snapshot.
func (v *View) Current() *Snapshot { return v.current.Load() }

// maxConfigAge is how old the last word of the operator's feed may be for this process to
// say that a route does not exist: a read that waits, and as much again for a slow
// store. Configurations have to be in force within 2 s of their acknowledgement.
const maxConfigAge = 2 * pollWait

// IsFresh tells whether the configuration is as new as it has to be to refuse a request
// for a route that it lacks. A process that falls behind an overloaded store, or is
// cut off from it, would refuse callers of routes that were added meanwhile for good.
func (v *View) IsFresh() bool { return v.operatorReadAt.Load() > 0 && v.ConfigAge() <= maxConfigAge }

// ConfigAge is how long ago the configuration was surely the newest; where it never was, the
// age of the view.
func (v *View) ConfigAge() time.Duration {
	return v.now().Sub(v.started) - time.Duration(v.operatorReadAt.Load())
}

// recordRead notes that all is applied that a feed told in a read that was sent at a time.
func (v *View) recordRead(feed platform.Feed, sent time.Time) {
	if feed == platform.FeedOperator {
		v.operatorReadAt.Store(int64(max(1, sent.Sub(v.started))))
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
	for sleep.For(ctx, expireInterval) {
		v.mu.Lock()
		if v.servers.Expire(v.now()) {
			v.publishServers()
		}
		v.mu.Unlock()
	}
}

// follower is the state of one loop.
type follower struct {
	view       *View
	feed       platform.Feed
	retryDelay time.Duration
	// failingSince is when reads began to fail; zero: they don't.
	failingSince time.Time
	inOutage     bool
	// feedRead: the feed itself was read. copyRead: its copy was.
	feedRead, copyRead bool
}

func (v *View) follow(ctx context.Context, feed platform.Feed) {
	f := &follower{view: v, feed: feed}
	for ctx.Err() == nil {
		start := v.now()
		changes, next, err := v.feeds.Snapshot(ctx, feed)
		if err != nil {
			f.readCopy(ctx)
			f.recordFailure(ctx, err)
			continue
		}
		f.feedRead = true
		f.recordSuccess()
		v.replaceAll(feed, changes)
		v.recordRead(feed, start)
		f.followChanges(ctx, next, nextSnapshotDelay(v.now().Sub(start)))
	}
}

// nextSnapshotDelay is how long after a whole list that took some time the next is due.
func nextSnapshotDelay(took time.Duration) time.Duration {
	due := time.Duration(float64(took) / maxSnapshotShare)
	if due <= snapshotInterval {
		return snapshotInterval
	}
	return max(snapshotInterval, sleep.Jitter(min(maxSnapshotInterval, due)))
}

// followChanges reads changes until a new snapshot is due.
func (f *follower) followChanges(ctx context.Context, next uint64, after time.Duration) {
	renew := f.view.now().Add(after)
	for ctx.Err() == nil && f.view.now().Before(renew) {
		sent := f.view.now()
		changes, end, err := f.view.feeds.Changes(ctx, f.feed, next, pollWait)
		if err != nil {
			f.recordFailure(ctx, err)
			return
		}
		f.recordSuccess()
		f.view.apply(f.feed, changes)
		f.view.recordRead(f.feed, sent)
		next = end
		if f.view.MinReadInterval != nil {
			sleep.For(ctx, f.view.MinReadInterval()-f.view.now().Sub(sent))
		}
	}
}

func (f *follower) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	now := f.view.now()
	if f.failingSince.IsZero() {
		f.failingSince = now
	}
	if !f.inOutage && now.Sub(f.failingSince) >= outageThreshold {
		f.inOutage = true
		storeOutages.Add(1)
		f.view.log.Warn("Lost the store.", zap.Stringer("feed", f.feed), zap.Error(err))
	}
	f.retryDelay = min(maxRetryDelay, max(minRetryDelay, 2*f.retryDelay))
	sleep.For(ctx, sleep.Jitter(f.retryDelay))
}

func (f *follower) recordSuccess() {
	now := f.view.now()
	f.retryDelay = 0
	if f.inOutage || !f.failingSince.IsZero() && now.Sub(f.failingSince) >= outageThreshold {
		f.view.log.Info("The store is back.", zap.Stringer("feed", f.feed), zap.Duration("away", now.Sub(f.failingSince)))
		f.view.mu.Lock()
		f.view.servers.StoreReturned(now)
		f.view.mu.Unlock()
	}
	f.failingSince, f.inOutage = time.Time{}, false
}

// replaceAll takes a full list of a feed's records.
func (v *View) replaceAll(feed platform.Feed, changes []platform.Change) {
	if feed == platform.FeedOperator {
		v.apply(feed, changes)
		return
	}
	servers := make([]members.Server, 0, len(changes))
	for _, c := range changes {
		switch {
		case c.Err != nil:
			v.logUnreadable(feed, c)
		case c.Server != nil:
			servers = append(servers, *c.Server)
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.servers.Replace(servers, v.now())
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
			v.logUnreadable(platform.FeedServers, c)
			v.servers.Remove(c.Gone, v.now())
		case c.Server != nil:
			v.logServer(*c.Server)
			v.servers.Put(*c.Server)
		case c.Gone != "":
			v.log.Info("A backend server's entry is gone.", zap.String("server", c.Gone), zap.Uint64("offset", c.Offset))
			v.servers.Remove(c.Gone, v.now())
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
		zap.String("addr", server.Addr), zap.Time("born", server.Born), zap.Bool("leaving", server.Leaving))
}

// applyOperator takes one record of the operator. What is older than what is
// in force is passed over: a configuration never goes back.
func (v *View) applyOperator(next *Snapshot, c platform.Change) {
	next.OperatorOffset = max(next.OperatorOffset, c.Offset)
	switch {
	case c.Err != nil:
		v.logUnreadable(platform.FeedOperator, c)
	case c.Table != nil && (next.Table == nil || c.Table.Version > next.Table.Version):
		next.Table, next.TableAppliedAt = c.Table, v.now()
		appliedTables.Add(1)
		v.log.Info("Configuration in force.", zap.Uint64("version", c.Table.Version), zap.Uint64("offset", c.Offset),
			zap.Int("routes", len(c.Table.Routes)), zap.Bool("keys", c.Table.Organisations != nil))
		v.logLeftOut(c.Table)
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

// maxLeftOutLogs bounds the lines about one configuration.
const maxLeftOutLogs = 20

// logLeftOut logs which parts of a configuration can't be used.
func (v *View) logLeftOut(t *table.Table) {
	for _, why := range t.LeftOut[:min(len(t.LeftOut), maxLeftOutLogs)] {
		v.log.Warn("A part of the configuration is left out.", zap.Uint64("version", t.Version), zap.String("why", why))
	}
	if more := len(t.LeftOut) - maxLeftOutLogs; more > 0 {
		v.log.Warn("More parts of the configuration are left out.", zap.Uint64("version", t.Version), zap.Int("more", more))
	}
}

// publishServers makes the set visible; mu is held.
func (v *View) publishServers() {
	next := *v.current.Load()
	next.Servers = v.servers.ByService()
	v.current.Store(&next)
	v.Changed.Notify()
}
