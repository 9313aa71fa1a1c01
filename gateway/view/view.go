// Package view holds what a process knows of the platform: the routing table in force,
// the backend servers, and the weight versions that trainers named. Readers take a
// Snapshot without a lock, while two loops follow the feeds of the store.
package view

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/sleep"
	"dandelionsill.org/decide/members"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/decide/topology"
	"dandelionsill.org/gateway/signal"
	"dandelionsill.org/platform"
)

// Timing of the loops that follow the feeds.
const (
	// pollWait is how long a read waits at the store for a change. It bounds the delay
	// caused by a connection that has become unresponsive: a configuration has to be in
	// force within 2 s, and a read without an answer ends after pollWait and the
	// client's own timeout.
	pollWait = 700 * time.Millisecond
	// DefaultSnapshotInterval is the usual time between two reads of the complete list. They
	// make up for changes that a read missed, since the store's watchers can miss
	// changes for a second.
	DefaultSnapshotInterval = 4 * time.Second
	// maxSnapshotShare bounds the share of the time that is used to read complete
	// lists: after a read that took long, the next one is later. The lists of a large
	// fleet, read at the usual interval by every process, would overload the store and
	// delay all reads.
	maxSnapshotShare = 0.005
	// maxSnapshotInterval bounds the time between two reads of the complete list,
	// before jitter.
	maxSnapshotInterval = time.Minute
	minRetryDelay       = 50 * time.Millisecond
	maxRetryDelay       = 400 * time.Millisecond
	// outageThreshold is how long reads must fail before the store counts as
	// unavailable. A single lost answer is no outage.
	outageThreshold = 400 * time.Millisecond
	expireInterval  = 100 * time.Millisecond
)

var (
	appliedTables = metrics.Counter("view_tables_applied_total")
	unreadable    = metrics.Counter("view_unreadable_records_total")
	storeOutages  = metrics.Counter("view_store_outages_total")
)

// Snapshot is the state known at one moment. It must not be modified.
type Snapshot struct {
	Table          *table.Table                // nil: no configuration has been read
	TableAppliedAt time.Time                   // when this process applied Table
	Servers        map[string][]members.Server // by service
	Versions       map[string]uint64           // newest named version, by model
	// Evacuated holds the failure domains that the operator evacuates, with the time when this
	// process learnt of it.
	Evacuated map[string]time.Time
	// BackSince holds the failure domains whose evacuation has ended within the last backMemory, with
	// the time when this process learnt of it: their servers may be cold.
	BackSince map[string]time.Time
	// OperatorEnd is the offset after the newest record of the operator's feed that is known, be it
	// that of a dropped key, which no complete list contains. It only grows.
	OperatorEnd uint64
}

// Server returns the server of a service with the given id; false if there is none.
func (s *Snapshot) Server(service, id string) (members.Server, bool) {
	for _, server := range s.Servers[service] {
		if server.ID == id {
			return server, true
		}
	}
	return members.Server{}, false
}

// ConfigVersion returns the version of the configuration in force; 0: none has been read.
func (s *Snapshot) ConfigVersion() uint64 {
	if s.Table == nil {
		return 0
	}
	return s.Table.Version
}

// View follows the store's feeds. Its zero value can't be used.
type View struct {
	// Changed is notified of each new snapshot.
	Changed signal.Signal
	// UseCopies lets the view read copies of the feeds while the feeds can't be read.
	// It is set before Run.
	UseCopies bool
	// MinReadInterval returns the least time between two reads of a feed's changes; nil
	// means none. It is set before Run. Each change ends the waiting reads of all
	// processes: without a bound, 300 processes would each read every change of the
	// entries of 3,000 servers separately.
	MinReadInterval func() time.Duration
	// SnapshotInterval returns the time between two reads of a feed's complete list; nil means
	// DefaultSnapshotInterval. It is set before Run.
	SnapshotInterval func() time.Duration
	// Topology says in which region each failure domain lies; nil: unknown. It is set before Run.
	Topology *topology.Topology

	feeds      platform.Feeds
	log        *zap.Logger
	now        func() time.Time
	unreadable unreadableRecords

	// operatorReadAt is when the operator's feed was last known to hold nothing newer, in
	// nanoseconds since started; neverRead if no read has succeeded.
	operatorReadAt atomic.Int64
	started        time.Time

	current     atomic.Pointer[Snapshot]
	mu          sync.Mutex // guards what follows and the creation of snapshots
	servers     *members.Set
	evacuations map[string]evacuation // by failure domain
}

// New returns a view with an empty snapshot.
func New(feeds platform.Feeds, log *zap.Logger) *View {
	v := &View{feeds: feeds, log: log, now: time.Now, started: time.Now(), servers: members.New(members.DefaultGracePeriod), evacuations: map[string]evacuation{}}
	v.operatorReadAt.Store(neverRead)
	v.current.Store(&Snapshot{Servers: map[string][]members.Server{}, Versions: map[string]uint64{}})
	return v
}

// Current returns the current snapshot.
func (v *View) Current() *Snapshot { return v.current.Load() }

// maxConfigAge is the greatest ConfigAge at which this process may report that a route
// does not exist: the time of a waiting read, and as much again for a slow store.
// Configurations have to be in force within 2 s of their acknowledgement.
const maxConfigAge = 2 * pollWait

// ReadOperatorEnd reads the current end of the operator's feed from the store itself. What this process
// or an earlier one has read of the feed, be it through another process, lies before it.
func (v *View) ReadOperatorEnd(ctx context.Context) (uint64, error) {
	return v.feeds.End(ctx, platform.FeedOperator, v.Current().OperatorEnd)
}

// IsFresh reports whether the configuration is new enough to refuse a request for a
// route that it lacks. A process that falls behind an overloaded store, or can't reach
// it, would otherwise permanently refuse callers of routes that were added meanwhile.
func (v *View) IsFresh() bool {
	return v.IsConfirmed() && v.ConfigAge() <= maxConfigAge
}

// IsConfirmed reports whether the operator's feed itself has been read since the start. Until then the
// configuration is unknown, or a copy that may lack what was acknowledged before the start.
func (v *View) IsConfirmed() bool { return v.operatorReadAt.Load() != neverRead }

// neverRead is the value of operatorReadAt before the first read.
const neverRead = math.MinInt64

// ConfigAge returns how long ago the configuration was certainly the newest one, or the
// age of the view if it never was.
func (v *View) ConfigAge() time.Duration {
	age := v.now().Sub(v.started)
	if readAt := v.operatorReadAt.Load(); readAt != neverRead {
		age -= time.Duration(readAt)
	}
	return age
}

// recordRead records that everything that the feed held at the given time has been applied.
func (v *View) recordRead(feed platform.Feed, at time.Time) {
	if feed == platform.FeedOperator {
		v.operatorReadAt.Store(max(v.operatorReadAt.Load(), int64(at.Sub(v.started))))
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

// expire regularly removes servers whose grace period after an outage has ended.
func (v *View) expire(ctx context.Context) {
	for sleep.For(ctx, expireInterval) {
		v.mu.Lock()
		if v.servers.Expire(v.now()) {
			v.publishServers()
		}
		v.forgetBack()
		v.mu.Unlock()
	}
}

// follower is the state of the loop that follows one feed.
type follower struct {
	view       *View
	feed       platform.Feed
	retryDelay time.Duration
	// failingSince is when reads started to fail; zero if the last one succeeded.
	failingSince time.Time
	inOutage     bool
	// feedRead: the feed itself has been read. copyRead: its copy has been read.
	feedRead, copyRead bool
}

// follow alternates between reading the complete list of a feed and reading its
// changes, until ctx ends. After a complete list that was read only because it was due, it
// continues at its own offset, so that processes that read the changes from this one miss none.
func (v *View) follow(ctx context.Context, feed platform.Feed) {
	f := &follower{view: v, feed: feed}
	var next uint64
	isContinued := false
	for ctx.Err() == nil {
		start := v.now()
		page, err := v.feeds.Snapshot(ctx, feed)
		if err != nil {
			f.readCopy(ctx)
			f.recordFailure(ctx, err)
			continue
		}
		if !f.feedRead {
			f.logFirstList(page)
		}
		f.feedRead = true
		f.recordSuccess()
		v.replaceAll(feed, page)
		v.recordRead(feed, start.Add(-page.Age))
		if !isContinued {
			next = page.Next
		}
		next, isContinued = f.followChanges(ctx, next, v.nextSnapshotDelay(v.now().Sub(start)))
	}
}

// logFirstList logs which part of the feed the first complete list covers. The list lacks the
// records of dropped keys, so that the feed may end after the newest listed record.
func (f *follower) logFirstList(page platform.FeedPage) {
	newest := uint64(0)
	for _, c := range page.Changes {
		newest = max(newest, c.Offset)
	}
	f.view.log.Info("The first complete list was read.", zap.Stringer("feed", f.feed), zap.Int("records", len(page.Changes)),
		zap.Uint64("newest_offset", newest), zap.Uint64("next", page.Next), zap.Duration("age", page.Age))
}

// nextSnapshotDelay returns how long after a complete list the next one is due, if the
// read took the given time.
func (v *View) nextSnapshotDelay(took time.Duration) time.Duration {
	interval := DefaultSnapshotInterval
	if v.SnapshotInterval != nil {
		interval = v.SnapshotInterval()
	}
	due := max(interval, min(maxSnapshotInterval, time.Duration(float64(took)/maxSnapshotShare)))
	if due == DefaultSnapshotInterval {
		return due
	}
	return max(DefaultSnapshotInterval, sleep.Jitter(due))
}

// followChanges reads changes from offset next on, until a read fails (false) or the next
// complete list is due (true), and returns the offset to continue at.
func (f *follower) followChanges(ctx context.Context, next uint64, after time.Duration) (uint64, bool) {
	renew := f.view.now().Add(after)
	for ctx.Err() == nil && f.view.now().Before(renew) {
		sent := f.view.now()
		page, err := f.view.feeds.Changes(ctx, f.feed, next, pollWait)
		if err != nil {
			f.recordFailure(ctx, err)
			return 0, false
		}
		f.recordSuccess()
		if page.IsList {
			f.view.replaceAll(f.feed, page)
		} else {
			f.view.apply(f.feed, page.Changes)
		}
		f.view.recordRead(f.feed, sent.Add(-page.Age))
		next = page.Next
		if f.view.MinReadInterval != nil {
			sleep.For(ctx, f.view.MinReadInterval()-f.view.now().Sub(sent))
		}
	}
	return next, true
}

// recordFailure records a failed read and waits before the next attempt.
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
		f.view.log.Warn("The store is unavailable.", zap.Stringer("feed", f.feed), zap.Error(err))
	}
	f.retryDelay = min(maxRetryDelay, max(minRetryDelay, 2*f.retryDelay))
	sleep.For(ctx, sleep.Jitter(f.retryDelay))
}

// recordSuccess records a successful read. After an outage, servers get a grace period
// to write their entries again.
func (f *follower) recordSuccess() {
	now := f.view.now()
	f.retryDelay = 0
	if f.inOutage || !f.failingSince.IsZero() && now.Sub(f.failingSince) >= outageThreshold {
		f.view.log.Info("The store is back.", zap.Stringer("feed", f.feed), zap.Duration("away", now.Sub(f.failingSince)))
		f.view.mu.Lock()
		f.view.servers.StoreRecovered(now)
		f.view.mu.Unlock()
	}
	f.failingSince, f.inOutage = time.Time{}, false
}

// replaceAll applies the complete list of a feed's records.
func (v *View) replaceAll(feed platform.Feed, list platform.FeedPage) {
	if feed == platform.FeedOperator {
		v.applyOperatorRecords(list.Changes, list.Next)
		return
	}
	servers := make([]members.Server, 0, len(list.Changes))
	for _, c := range list.Changes {
		switch {
		case c.Err != nil:
			v.logUnreadable(feed, c)
		case c.Server != nil:
			servers = append(servers, v.received(*c.Server))
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.servers.Replace(servers, v.now())
	v.publishServers()
}

// apply applies changes of a feed.
func (v *View) apply(feed platform.Feed, changes []platform.Change) {
	if len(changes) == 0 {
		return
	}
	if feed == platform.FeedServers {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.applyServers(changes)
		return
	}
	v.applyOperatorRecords(changes, 0)
}

// applyOperatorRecords applies records of the operator's feed. If they are the complete list of the
// records before an offset, what is not listed has been removed; 0: they are no complete list.
func (v *View) applyOperatorRecords(changes []platform.Change, completeBefore uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.current.Load()
	next.OperatorEnd = max(next.OperatorEnd, completeBefore)
	for _, c := range changes {
		v.applyOperator(&next, c)
	}
	v.endUnlisted(&next, changes, completeBefore)
	next.Servers = next.markServers(next.Servers)
	v.current.Store(&next)
	v.Changed.Notify()
}

// received returns a server's entry as this process received it now.
func (v *View) received(server members.Server) members.Server {
	server.Region = v.Topology.RegionOf(server.FailureDomain)
	if server.ColdLeft > 0 {
		server.ColdUntil = v.now().Add(server.ColdLeft)
	}
	return server
}

// applyServers applies changes of server entries; mu is held.
func (v *View) applyServers(changes []platform.Change) {
	for _, c := range changes {
		switch {
		case c.Err != nil:
			v.logUnreadable(platform.FeedServers, c)
			v.servers.Remove(c.RemovedServer, v.now())
		case c.Server != nil:
			v.logServer(*c.Server)
			v.servers.Put(v.received(*c.Server))
		case c.RemovedServer != "":
			v.log.Info("A backend server's entry was removed.", zap.String("server", c.RemovedServer), zap.Uint64("offset", c.Offset))
			v.servers.Remove(c.RemovedServer, v.now())
		}
	}
	v.publishServers()
}

// logServer logs a server that is new or starts or stops leaving.
func (v *View) logServer(server members.Server) {
	before, known := v.current.Load().Server(server.Service, server.ID)
	if known && before.Leaving == server.Leaving {
		return
	}
	v.log.Info("A backend server was added or changed.", zap.String("server", server.ID), zap.String("service", server.Service),
		zap.String("addr", server.Addr), zap.Time("born", server.StartedAt), zap.Bool("leaving", server.Leaving))
}

// applyOperator applies one record of the operator's feed to next. Tables and versions
// that are not newer than those in force are ignored, so that a configuration is never
// replaced by an older one.
func (v *View) applyOperator(next *Snapshot, c platform.Change) {
	next.OperatorEnd = max(next.OperatorEnd, c.Offset+1)
	switch {
	case c.Err != nil:
		v.logUnreadable(platform.FeedOperator, c)
	case c.Table != nil && (next.Table == nil || c.Table.Version > next.Table.Version):
		next.Table, next.TableAppliedAt = c.Table, v.now()
		appliedTables.Add(1)
		v.log.Info("A configuration is in force.", zap.Uint64("version", c.Table.Version), zap.Uint64("offset", c.Offset),
			zap.Int("routes", len(c.Table.Routes)), zap.Bool("keys", c.Table.Organisations != nil))
		v.logIgnored(c.Table)
	case c.Evacuation != nil:
		v.applyEvacuation(next, c.Offset, c.Evacuation)
	case c.Version != nil && c.Version.Version > next.Versions[c.Version.Model]:
		versions := make(map[string]uint64, len(next.Versions)+1)
		for model, version := range next.Versions {
			versions[model] = version
		}
		versions[c.Version.Model] = c.Version.Version
		next.Versions = versions
		v.log.Info("A weight version was named.", zap.String("model", c.Version.Model),
			zap.Uint64("version", c.Version.Version), zap.Uint64("offset", c.Offset))
	}
}

// maxIgnoredLogs bounds the log lines about one configuration.
const maxIgnoredLogs = 20

// logIgnored logs the parts of a configuration that can't be used.
func (v *View) logIgnored(t *table.Table) {
	for _, why := range t.Ignored[:min(len(t.Ignored), maxIgnoredLogs)] {
		v.log.Warn("A part of the configuration can't be used and is ignored.", zap.Uint64("version", t.Version), zap.String("why", why))
	}
	if more := len(t.Ignored) - maxIgnoredLogs; more > 0 {
		v.log.Warn("More parts of the configuration can't be used and are ignored.", zap.Uint64("version", t.Version), zap.Int("more", more))
	}
}

// publishServers publishes a snapshot with the current servers; mu is held.
func (v *View) publishServers() {
	next := *v.current.Load()
	next.Servers = next.markServers(v.servers.ByService())
	v.current.Store(&next)
	v.Changed.Notify()
}
