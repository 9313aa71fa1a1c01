// Package quarantine keeps requests that crash each server that runs them from
// reaching any, in all processes that send requests. What one of them saw it tells its
// peers at once, and the store, which still has it when all of them start anew.
// decide/poison decides which requests these are.
package quarantine

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/decide/poison"
)

var (
	crashesSeen  = metrics.Counter("quarantine_crashes_total")
	crashesTold  = metrics.Counter("quarantine_crashes_told_total")
	cleared      = metrics.Counter("quarantine_cleared_total")
	quarantines  = metrics.Counter("quarantine_entered_total")
	refused      = metrics.Counter("quarantine_refused_total")
	changesLost  = metrics.Counter("quarantine_changes_lost_total")
	peersNotTold = metrics.Counter("quarantine_peers_not_told_total")
)

// Quarantine is what a process knows of such requests. It is safe for concurrent use;
// Verdict takes no lock.
type Quarantine struct {
	log *zap.Logger
	now func() time.Time

	standings atomic.Pointer[map[poison.Fingerprint]poison.Status]

	mu     sync.Mutex // guards what follows
	ledger *poison.Tracker
	// untold are crashes that only this process knows of.
	untold  map[poison.Fingerprint][]poison.Crash
	toPeers queue
	toStore queue

	sharing sharing
	known   atomic.Bool
}

// New returns a quarantine that knows nothing and shares nothing yet.
func New(log *zap.Logger) *Quarantine {
	q := &Quarantine{
		log: log, now: time.Now, ledger: poison.NewTracker(), untold: map[poison.Fingerprint][]poison.Crash{},
		toPeers: newQueue(), toStore: newQueue(),
	}
	q.standings.Store(&map[poison.Fingerprint]poison.Status{})
	metrics.Gauge("quarantine_suspects", func() any { return len(*q.standings.Load()) })
	return q
}

// Empty tells that nothing is known against any request, so that none need be named.
func (q *Quarantine) Empty() bool { return len(*q.standings.Load()) == 0 }

// Verdict returns what may be done with a request.
func (q *Quarantine) Verdict(request poison.Fingerprint) poison.Verdict {
	return (*q.standings.Load())[request].Verdict(q.now())
}

// Refused returns how long a request that is refused stays in quarantine.
func (q *Quarantine) Refused(request poison.Fingerprint) time.Duration {
	refused.Add(1)
	return max(0, (*q.standings.Load())[request].ReleaseTime().Sub(q.now()))
}

// Ended notes that a server ended under a request. Others are told from the second
// server on: nearly all requests that a server ends under are bystanders, which the
// next server answers.
func (q *Quarantine) Ended(request poison.Fingerprint, server string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := poison.Crash{Request: request, Server: server, At: q.now()}
	if !q.ledger.Add(c, c.At) {
		return
	}
	crashesSeen.Add(1)
	q.untold[request] = append(q.untold[request], c)
	if q.ledger.CrashCount(request) > 1 {
		q.tell(request)
	}
	q.publish("here", c)
}

// GaveUp notes that an attempt ended without any server's answer. Its caller asks
// again at another process, which has to know.
func (q *Quarantine) GaveUp(request poison.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tell(request)
}

// Survived notes that a server ran a request to its end.
func (q *Quarantine) Survived(request poison.Fingerprint) {
	if _, suspected := (*q.standings.Load())[request]; !suspected {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	known := q.ledger.Clear(request)
	if len(known) == 0 {
		return
	}
	untold := len(q.untold[request])
	delete(q.untold, request)
	cleared.Add(1)
	q.log.Info("A request is cleared: a server has answered it.", zap.String("request", string(request)), zap.Int("servers_ended", len(known)))
	if len(known) > untold {
		for _, c := range known {
			q.enqueue(Change{Crash: c, Gone: true})
		}
	}
	q.publish("here")
}

// tell queues what only this process knows of a request; q.mu is held.
func (q *Quarantine) tell(request poison.Fingerprint) {
	for _, c := range q.untold[request] {
		crashesTold.Add(1)
		q.enqueue(Change{Crash: c})
	}
	delete(q.untold, request)
}

func (q *Quarantine) enqueue(c Change) {
	q.toPeers.add(c)
	q.toStore.add(c)
}

// Apply takes what another process told; from says by which way it came.
func (q *Quarantine) Apply(from string, changes []Change) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	var news []poison.Crash
	for _, c := range changes {
		switch {
		case c.Gone && q.ledger.Remove(c.Crash.Request, c.Key()):
			q.log.Info("A server's end is no longer attributed to a request.", zap.String("from", from), zap.String("request", string(c.Crash.Request)))
		case !c.Gone && q.ledger.Add(c.Crash, now):
			news = append(news, c.Crash)
		}
	}
	q.publish(from, news...)
}

// publish lets Verdict see what is known now, and logs what servers' ends that are news
// change; q.mu is held.
func (q *Quarantine) publish(from string, news ...poison.Crash) {
	before, after := *q.standings.Load(), q.ledger.Statuses()
	q.standings.Store(&after)
	now := q.now()
	for _, c := range news {
		standing := after[c.Request]
		q.log.Info("A server's end is attributed to a request.", zap.String("from", from), zap.String("request", string(c.Request)),
			zap.String("server", c.Server), zap.Duration("age", now.Sub(c.At)), zap.Int("servers_ended", standing.Crashes), zap.Stringer("verdict", standing.Verdict(now)))
	}
	for request, standing := range after {
		if standing.Verdict(now) == poison.Quarantined && before[request].Verdict(now) != poison.Quarantined {
			quarantines.Add(1)
			q.log.Warn("A request is quarantined: each server that runs it ends.", zap.String("request", string(request)),
				zap.Int("servers_ended", standing.Crashes), zap.Time("until", standing.ReleaseTime()))
		}
	}
}

// expire forgets what is too old, and has the store forget it where it is this
// process's turn.
func (q *Quarantine) expire(turn bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	old := q.ledger.Expire(q.now())
	if turn {
		for _, c := range old {
			q.toStore.add(Change{Crash: c, Gone: true})
		}
	}
	maps.DeleteFunc(q.untold, func(request poison.Fingerprint, _ []poison.Crash) bool { return q.ledger.CrashCount(request) == 0 })
	if len(old) > 0 {
		q.log.Info("Servers' ends are forgotten.", zap.Int("servers_ended", len(old)))
		q.publish("here")
	}
}
