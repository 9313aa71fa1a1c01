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
	crashesSeen         = metrics.Counter("quarantine_crashes_total")
	crashesSent         = metrics.Counter("quarantine_crashes_told_total")
	requestsCleared     = metrics.Counter("quarantine_cleared_total")
	requestsQuarantined = metrics.Counter("quarantine_entered_total")
	refusals            = metrics.Counter("quarantine_refused_total")
	changesDropped      = metrics.Counter("quarantine_changes_lost_total")
	failedSends         = metrics.Counter("quarantine_peers_not_told_total")
)

// Quarantine is what a process knows of such requests. It is safe for concurrent use;
// Verdict takes no lock.
type Quarantine struct {
	log *zap.Logger
	now func() time.Time

	statuses atomic.Pointer[map[poison.Fingerprint]poison.Status]

	mu      sync.Mutex // guards what follows
	tracker *poison.Tracker
	// unsent are crashes that only this process knows of.
	unsent  map[poison.Fingerprint][]poison.Crash
	toPeers queue
	toStore queue

	sharing     sharing
	initialized atomic.Bool
}

// New returns a quarantine that knows nothing and shares nothing yet.
func New(log *zap.Logger) *Quarantine {
	q := &Quarantine{
		log: log, now: time.Now, tracker: poison.NewTracker(), unsent: map[poison.Fingerprint][]poison.Crash{},
		toPeers: newQueue(), toStore: newQueue(),
	}
	q.statuses.Store(&map[poison.Fingerprint]poison.Status{})
	metrics.Gauge("quarantine_suspects", func() any { return len(*q.statuses.Load()) })
	return q
}

// Empty tells that nothing is known against any request, so that none need be named.
func (q *Quarantine) Empty() bool { return len(*q.statuses.Load()) == 0 }

// Verdict returns what may be done with a request.
func (q *Quarantine) Verdict(request poison.Fingerprint) poison.Verdict {
	return (*q.statuses.Load())[request].Verdict(q.now())
}

// RecordRefusal returns how long a request that is refused stays in quarantine.
func (q *Quarantine) RecordRefusal(request poison.Fingerprint) time.Duration {
	refusals.Add(1)
	return max(0, (*q.statuses.Load())[request].ReleaseTime().Sub(q.now()))
}

// RecordCrash notes that a server ended under a request. Others are told from the second
// server on: nearly all requests that a server ends under are bystanders, which the
// next server answers.
func (q *Quarantine) RecordCrash(request poison.Fingerprint, server string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := poison.Crash{Request: request, Server: server, At: q.now()}
	if !q.tracker.Add(c, c.At) {
		return
	}
	crashesSeen.Add(1)
	q.unsent[request] = append(q.unsent[request], c)
	if q.tracker.CrashCount(request) > 1 {
		q.enqueueUnsent(request)
	}
	q.publish("here", c)
}

// RecordNoAnswer notes that an attempt ended without any server's answer. Its caller asks
// again at another process, which has to know.
func (q *Quarantine) RecordNoAnswer(request poison.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.enqueueUnsent(request)
}

// RecordCompletion notes that a server ran a request to its end.
func (q *Quarantine) RecordCompletion(request poison.Fingerprint) {
	if _, suspected := (*q.statuses.Load())[request]; !suspected {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	crashes := q.tracker.Clear(request)
	if len(crashes) == 0 {
		return
	}
	unsent := len(q.unsent[request])
	delete(q.unsent, request)
	requestsCleared.Add(1)
	q.log.Info("A request is cleared: a server has answered it.", zap.String("request", string(request)), zap.Int("servers_ended", len(crashes)))
	if len(crashes) > unsent {
		for _, c := range crashes {
			q.enqueue(Change{Crash: c, Gone: true})
		}
	}
	q.publish("here")
}

// enqueueUnsent queues what only this process knows of a request; q.mu is held.
func (q *Quarantine) enqueueUnsent(request poison.Fingerprint) {
	for _, c := range q.unsent[request] {
		crashesSent.Add(1)
		q.enqueue(Change{Crash: c})
	}
	delete(q.unsent, request)
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
	var added []poison.Crash
	for _, c := range changes {
		switch {
		case c.Gone && q.tracker.Remove(c.Crash.Request, c.Key()):
			q.log.Info("A server's end is no longer attributed to a request.", zap.String("from", from), zap.String("request", string(c.Crash.Request)))
		case !c.Gone && q.tracker.Add(c.Crash, now):
			added = append(added, c.Crash)
		}
	}
	q.publish(from, added...)
}

// publish lets Verdict see what is known now, and logs what servers' ends that are news
// change; q.mu is held.
func (q *Quarantine) publish(from string, added ...poison.Crash) {
	before, after := *q.statuses.Load(), q.tracker.Statuses()
	q.statuses.Store(&after)
	now := q.now()
	for _, c := range added {
		status := after[c.Request]
		q.log.Info("A server's end is attributed to a request.", zap.String("from", from), zap.String("request", string(c.Request)),
			zap.String("server", c.Server), zap.Duration("age", now.Sub(c.At)), zap.Int("servers_ended", status.Crashes), zap.Stringer("verdict", status.Verdict(now)))
	}
	for request, status := range after {
		if status.Verdict(now) == poison.Quarantined && before[request].Verdict(now) != poison.Quarantined {
			requestsQuarantined.Add(1)
			q.log.Warn("A request is quarantined: each server that runs it ends.", zap.String("request", string(request)),
				zap.Int("servers_ended", status.Crashes), zap.Time("until", status.ReleaseTime()))
		}
	}
}

// expire forgets what is too old, and has the store forget it where it is this
// process's turn.
func (q *Quarantine) expire(inStore bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	expired := q.tracker.Expire(q.now())
	if inStore {
		for _, c := range expired {
			q.toStore.add(Change{Crash: c, Gone: true})
		}
	}
	maps.DeleteFunc(q.unsent, func(request poison.Fingerprint, _ []poison.Crash) bool { return q.tracker.CrashCount(request) == 0 })
	if len(expired) > 0 {
		q.log.Info("Servers' ends are forgotten.", zap.Int("servers_ended", len(expired)))
		q.publish("here")
	}
}
