package permits

import (
	"cmp"
	"slices"
	"time"

	"dandelionsill.org/decide/evidence"
)

const (
	defaultMaxQueue        = 4096
	defaultTakeoverTimeout = 10 * time.Second
	// expiryGrace is the time after a request's deadline in which its report may still
	// come; then its permit is free.
	expiryGrace = 2 * time.Second
	// maxDeadline bounds how long a permit can stay in use without a report.
	maxDeadline = time.Hour
	// maxPriority bounds the number of priority classes that the queue keeps.
	maxPriority = 15
	// wholePlace is the share of a place at a typical server.
	wholePlace = 1000
	// maxTakenOver bounds the permits of earlier brokers.
	maxTakenOver = 1 << 14
)

// Config sets the bounds of a Broker. Zero values are replaced by defaults.
type Config struct {
	// MaxQueue is the maximum number of queued asks. When it is reached the least
	// urgent ask yields.
	MaxQueue int
	// LowerShare is the share of grants reserved for asks of lower priority; 0: the
	// default of admit.
	LowerShare float64
	// TakeoverTimeout is how long a permit of an earlier broker counts without a
	// report: its deadline is unknown.
	TakeoverTimeout time.Duration
	// Way returns the round trip between the broker's region and another one; nil: there is one
	// region only.
	Way func(region string) time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{MaxQueue: defaultMaxQueue, TakeoverTimeout: defaultTakeoverTimeout}
}

// server is a server and how many of its places are in use.
type server struct {
	Server
	inUse    int
	onWay    float64           // of them, those that are on the way from or to another region
	standing evidence.Standing // what all gateways agree on, at Broker.now
	// helpsOut means that the server is ejected or on probation and used all the same, for
	// requests that may be repeated, since others are refused for lack of places.
	helpsOut bool
}

// permit is a place in use.
type permit struct {
	server string
	// organisation is empty for internal calls and for permits of an earlier broker.
	organisation string
	internal     bool
	takenOver    bool
	cost         float64 // typical seconds
	way          float64 // share of its time that is spent on the way to another region
	share        int     // of a typical server's place, in thousandths: less at a slow server
	deadline     time.Time
	expires      time.Time
}

// Broker grants the permits of one service. It is not safe for concurrent use.
type Broker struct {
	cfg      Config
	evidence Evidence
	now      time.Time // of the last call

	servers    []server // by ID
	index      map[string]int
	permits    map[AskID]*permit
	orphans    map[AskID]*permit // of gateways whose stream ended
	takenOver  int
	waiters    map[AskID]*waiter
	restricted int // waiters with allowed regions
	lanes      lanes
	// connections are those of the gateways to the servers.
	connections connections

	internalShare int // sums over the permits in use
	callersShare  int
	capacity      capacity
	drain         drain
	returns       returns
	stats         stats
	refusals      refusals
	grants        grants
	turnedAway    time.Time // when a caller's ask that could be in time was last refused
}

// New returns a broker without servers.
func New(cfg Config, e Evidence) *Broker {
	if cfg.MaxQueue <= 0 {
		cfg.MaxQueue = defaultMaxQueue
	}
	if cfg.TakeoverTimeout <= 0 {
		cfg.TakeoverTimeout = defaultTakeoverTimeout
	}
	return &Broker{
		cfg:      cfg,
		evidence: e,
		index:    make(map[string]int),
		permits:  make(map[AskID]*permit),
		orphans:  make(map[AskID]*permit),
		waiters:  make(map[AskID]*waiter),
		lanes:    newLanes(cfg),

		connections: connections{},
		grants:      grants{},
	}
}

// SetServers replaces the list of servers. Permits at servers that are no longer
// listed stay in use until they are reported.
func (b *Broker) SetServers(now time.Time, servers []Server) []Decision {
	known := make([]evidence.Server, 0, len(servers))
	hasEvacuation, rate := b.hasNewEvacuation(servers), b.capacity.rate
	b.servers = b.servers[:0]
	clear(b.index)
	for _, s := range servers {
		b.servers = append(b.servers, server{Server: s})
		known = append(known, evidence.Server{ID: s.ID, Name: s.Name, Slots: s.Slots})
	}
	slices.SortFunc(b.servers, func(x, y server) int { return cmp.Compare(x.ID, y.ID) })
	b.servers = slices.CompactFunc(b.servers, func(x, y server) bool { return x.ID == y.ID })
	for i := range b.servers {
		b.index[b.servers[i].ID] = i
	}
	for _, held := range []map[AskID]*permit{b.permits, b.orphans} {
		for _, p := range held {
			if i, ok := b.index[p.server]; ok {
				b.servers[i].use(p, 1)
			}
		}
	}
	b.grants.retain(b.index)
	b.evidence.SetServers(now, known)
	b.refresh(now)
	if b.capacity.places == 0 {
		return b.refuseAll(NoServer, "the last server left")
	}
	out := b.refuseExcluded()
	if hasEvacuation {
		out = append(out, b.shrink(rate)...)
	}
	return b.dispatch(out)
}

// Ask decides on an ask. The result holds its decision, and those on queued asks that
// became possible in the meantime.
func (b *Broker) Ask(now time.Time, a Ask) []Decision {
	b.refresh(now)
	out := b.dispatch(nil)
	if d, ok := b.repeated(a.ID); ok {
		return append(out, d)
	}
	if !a.NoWait {
		b.stats.asks.add(now, 1)
	}
	w := b.newWaiter(a)
	switch {
	case b.capacity.places == 0:
		return append(out, b.refuse(w, NoServer, 0, "no server takes work"))
	case !b.hasAllowed(w):
		return append(out, b.refuse(w, NoServer, 0, "no server of the allowed regions takes work"))
	case a.Deadline <= 0:
		return append(out, b.refuse(w, DeadlineTooShort, 0, "the deadline has passed"))
	}
	if i, why := b.pick(w, inTime); i >= 0 {
		if a.NoWait {
			b.stats.asks.add(now, 1)
		}
		return append(out, b.grant(w, i, why))
	}
	switch {
	case a.NoWait:
		return append(out, b.refuse(w, Overloaded, 0, "no place is free, and the ask does not wait"))
	case a.Spill && !b.mayQueueSpill():
		return append(out, b.refuse(w, Overloaded, 0, "the places are for requests of this region"))
	}
	wait, known := b.estimate(w)
	if known && b.isTooLate(w, wait) {
		if w.lane == laneCallers {
			b.turnedAway = b.now
			b.refresh(now) // ejected servers may help out now
		}
		return append(out, b.settle(w, DeadlineTooShort, wait, "the estimated wait is too long"))
	}
	return b.enqueue(out, w, wait)
}

// repeated returns the decision on an ask that was made before.
func (b *Broker) repeated(id AskID) (Decision, bool) {
	if p := b.permits[id]; p != nil {
		return Decision{ID: id, Kind: Granted, Server: p.server, Reason: "granted before"}, true
	}
	if b.waiters[id] != nil {
		return Decision{ID: id, Kind: Queued, Reason: "queued before"}, true
	}
	return Decision{}, false
}

// Cancel withdraws a queued ask. Unknown IDs are ignored, those of granted asks too: a
// permit that isn't used is reported as unused.
func (b *Broker) Cancel(now time.Time, id AskID) []Decision {
	b.refresh(now)
	if w := b.waiters[id]; w != nil {
		b.drop(w)
	}
	return b.dispatch(nil)
}

// Report records how a request ended and frees its permit. The report on a permit that
// is not known here is evidence too.
func (b *Broker) Report(now time.Time, r Report) []Decision {
	p := b.permits[r.ID]
	if p == nil {
		p = b.orphans[r.ID]
	}
	if p != nil {
		r.Server = cmp.Or(r.Server, p.server)
	}
	if r.Server != "" {
		b.evidence.Record(now, evidence.Sample{
			Server: r.Server, Reporter: r.ID.Gateway, Route: r.Route, Took: r.Took, Outcome: r.Outcome,
		})
	}
	if r.Outcome == evidence.Answered {
		b.connections.released(now, r.ID.Gateway, r.Server)
		b.stats.observe(r.Took)
		b.observeTime(r)
	}
	if p != nil {
		b.release(r.ID, p)
		if r.Outcome == evidence.Answered || r.Outcome == evidence.Failed {
			b.drain.add(p.cost)
		}
	}
	b.refresh(now)
	return b.dispatch(nil)
}

// observeTime compares the time of an answer with what the evidence expects.
func (b *Broker) observeTime(r Report) {
	if i, ok := b.index[r.Server]; ok {
		pace := b.servers[i].standing.Pace
		b.stats.observeTime(r.Took, scale(b.evidence.TypicalTime(r.Route), pace))
	}
}

// InUse records a permit of an earlier broker that is still used. It counts even if the
// server then has more requests than its limit.
func (b *Broker) InUse(now time.Time, id AskID, serverID string) {
	if b.permits[id] != nil {
		return
	}
	if p := b.orphans[id]; p != nil && p.server == serverID {
		delete(b.orphans, id)
		p.expires = p.deadline.Add(expiryGrace)
		b.permits[id] = p
		return
	}
	if b.takenOver >= maxTakenOver {
		return
	}
	if w := b.waiters[id]; w != nil {
		b.drop(w)
	}
	if i, known := b.index[serverID]; known {
		b.grants.add(now, &b.servers[i]) // it may have been sent within the last second
	}
	expires := now.Add(b.cfg.TakeoverTimeout)
	b.hold(id, &permit{server: serverID, takenOver: true, deadline: expires, expires: expires})
	b.refresh(now)
}

// Forget drops the queued asks of a gateway whose stream ended. Its permits become free
// at their requests' deadlines.
func (b *Broker) Forget(now time.Time, gateway string) []Decision {
	b.refresh(now)
	for id, w := range b.waiters {
		if id.Gateway == gateway {
			b.drop(w)
		}
	}
	for id, p := range b.permits {
		if id.Gateway == gateway {
			b.orphan(id, p)
		}
	}
	return b.Tick(now)
}

// Tick refuses queued asks whose chance has passed and frees permits that nobody has
// reported long after their deadlines. It is called every 50 ms or so.
func (b *Broker) Tick(now time.Time) []Decision {
	for _, held := range []map[AskID]*permit{b.permits, b.orphans} {
		for id, p := range held {
			if !now.Before(p.expires) {
				b.release(id, p)
			}
		}
	}
	b.connections.expire(now)
	b.refresh(now)
	out := b.dispatch(nil)
	return b.dispatch(append(out, b.sweep()...))
}

// grant gives the ask, which does not wait (any more), a place at server i.
func (b *Broker) grant(w *waiter, i int, why string) Decision {
	b.hold(w.ID, &permit{
		server: b.servers[i].ID, organisation: w.ticket().Caller, internal: w.Internal, cost: w.cost, way: b.wayShare(w, &b.servers[i]),
		share: int(wholePlace / b.servers[i].standing.Pace), deadline: w.deadline, expires: w.deadline.Add(expiryGrace),
	})
	if b.capacity.counts(&b.servers[i]) {
		b.capacity.take(&b.servers[i])
	}
	b.grants.add(b.now, &b.servers[i])
	b.connections.taken(w.ID.Gateway, b.servers[i].ID)
	d := Decision{ID: w.ID, Kind: Granted, Server: b.servers[i].ID, Wait: b.now.Sub(w.arrived), Reason: why}
	if b.cfg.Way != nil { // the gateway compares regions
		d.Expected = b.timeAt(w, b.servers[i].standing.Pace)
		d.LastChoice = b.servers[i].standing.Ejected || slices.Contains(w.Avoid, b.servers[i].ID)
	}
	return d
}

// settle refuses an ask unless a place is free at which the answer, although late, would
// be of use.
func (b *Broker) settle(w *waiter, why Refusal, wait time.Duration, reason string) Decision {
	if i, place := b.pick(w, anyUse); i >= 0 {
		return b.grant(w, i, place)
	}
	return b.refuse(w, why, wait, reason)
}

// refuse returns the refusal of an ask that does not wait (any more).
func (b *Broker) refuse(w *waiter, why Refusal, wait time.Duration, reason string) Decision {
	if !w.NoWait {
		b.stats.refused.add(b.now, 1)
	}
	b.refusals.add(b.now, w, why)
	return Decision{
		ID: w.ID, Kind: Refused, Refusal: why,
		RetryAfter: b.retryAfter(w), Wait: wait, Reason: reason,
	}
}

// hold counts a permit as in use.
func (b *Broker) hold(id AskID, p *permit) {
	b.permits[id] = p
	b.count(p, 1)
}

// orphan sets a permit aside until its request's deadline. The gateway's next stream may
// use its ID for another ask.
func (b *Broker) orphan(id AskID, p *permit) {
	if older := b.orphans[id]; older != nil {
		b.release(id, older)
	}
	delete(b.permits, id)
	p.expires = p.deadline
	b.orphans[id] = p
}

// release frees a permit.
func (b *Broker) release(id AskID, p *permit) {
	if b.permits[id] == p {
		delete(b.permits, id)
	} else {
		delete(b.orphans, id)
	}
	b.count(p, -1)
}

// count adds n to the counts of permits in use that p belongs to.
func (b *Broker) count(p *permit, n int) {
	if i, ok := b.index[p.server]; ok {
		b.servers[i].use(p, n)
	}
	switch {
	case p.takenOver:
		b.takenOver += n
	case p.internal:
		b.internalShare += n * p.share
	default:
		b.callersShare += n * p.share
	}
}
