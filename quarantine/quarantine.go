// Package quarantine prevents all processes from sending poison requests, which crash each
// server that runs them, to any server. A process sends the crashes that it detects to its
// peers immediately and writes them to the store, from which processes read them when they
// start. Package poison decides which requests are poison requests.
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

// Quarantine holds what a process knows about poison requests. It is safe for concurrent
// use; Verdict takes no lock.
type Quarantine struct {
	log *zap.Logger
	now func() time.Time

	statuses atomic.Pointer[map[poison.Fingerprint]poison.Status]

	mu      sync.Mutex // guards the following fields
	tracker *poison.Tracker
	// unsent are crashes that have not been queued for other processes yet.
	unsent map[poison.Fingerprint][]poison.Crash
	// inStore are the crashes, by key, that the store held when this process last read it.
	inStore map[string]poison.Fingerprint
	// queuedHere are the crashes, by key, that this process has queued for the store and not removed.
	queuedHere map[string]poison.Fingerprint
	toPeers    queue
	toStore    queue

	sharing     sharing
	initialized atomic.Bool
}

// New returns an empty quarantine that exchanges nothing with other processes yet.
func New(log *zap.Logger) *Quarantine {
	q := &Quarantine{
		log: log, now: time.Now, tracker: poison.NewTracker(), unsent: map[poison.Fingerprint][]poison.Crash{},
		inStore: map[string]poison.Fingerprint{}, queuedHere: map[string]poison.Fingerprint{}, toPeers: newQueue(), toStore: newQueue(),
	}
	q.statuses.Store(&map[poison.Fingerprint]poison.Status{})
	metrics.Gauge("quarantine_suspects", func() any { return len(*q.statuses.Load()) })
	return q
}

// Empty reports whether no request is suspected, so that no fingerprint is needed.
func (q *Quarantine) Empty() bool { return len(*q.statuses.Load()) == 0 }

// Verdict returns the current verdict on a request.
func (q *Quarantine) Verdict(request poison.Fingerprint) poison.Verdict {
	return (*q.statuses.Load())[request].Verdict(q.now())
}

// RecordRefusal counts the refusal of a request and returns how long it stays in quarantine.
func (q *Quarantine) RecordRefusal(request poison.Fingerprint) time.Duration {
	refusals.Add(1)
	return max(0, (*q.statuses.Load())[request].ReleaseTime().Sub(q.now()))
}

// RecordCrash records that a server crashed while it ran a request. The crashes of a request
// are sent to other processes from the second one on: nearly all requests at a crashed
// server are bystanders, which the next server answers.
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

// RecordNoAnswer records that an attempt ended without an answer from a server. Its crashes
// are sent to other processes because the caller may retry at any of them.
func (q *Quarantine) RecordNoAnswer(request poison.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.enqueueUnsent(request)
}

// RecordCompletion records that a server ran a request to its end, which clears it.
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
			delete(q.queuedHere, c.Key())
			q.enqueue(Change{Crash: c, Gone: true})
		}
	}
	q.publish("here")
}

// enqueueUnsent queues the unsent crashes of a request; q.mu must be held.
func (q *Quarantine) enqueueUnsent(request poison.Fingerprint) {
	for _, c := range q.unsent[request] {
		crashesSent.Add(1)
		q.queuedHere[c.Key()] = request
		q.enqueue(Change{Crash: c})
	}
	delete(q.unsent, request)
}

func (q *Quarantine) enqueue(c Change) {
	q.toPeers.add(c)
	q.toStore.add(c)
}

// Apply applies changes from another process. from is their source, for the log. A crash that this process has queued for the
// store is removed there once more, because it may be written after the other process has removed it.
func (q *Quarantine) Apply(from string, changes []Change) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	var added []poison.Crash
	for _, c := range changes {
		switch {
		case c.Gone && q.tracker.Remove(c.Crash.Request, c.Key()):
			q.log.Info("A server's end is no longer attributed to a request.", zap.String("from", from), zap.String("request", string(c.Crash.Request)))
			if _, ok := q.queuedHere[c.Key()]; ok {
				delete(q.queuedHere, c.Key())
				q.toStore.add(c)
			}
		case !c.Gone && q.tracker.Add(c.Crash, now):
			added = append(added, c.Crash)
		}
	}
	q.publish(from, added...)
}

// recordStored records which crashes the store holds according to changes that were read from it.
func (q *Quarantine) recordStored(changes []Change) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range changes {
		if c := &changes[i]; c.Gone {
			delete(q.inStore, c.Key())
		} else {
			q.inStore[c.Key()] = c.Crash.Request
		}
	}
}

// removeUnlisted removes the crashes that the store held before and that its complete list lacks: other
// processes removed them while this one could not read the changes.
func (q *Quarantine) removeUnlisted(list []Change) {
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].Key()] = true
	}
	var removed []Change
	q.mu.Lock()
	for key, request := range q.inStore {
		if !listed[key] {
			removed = append(removed, Change{Crash: poison.Crash{Request: request}, Gone: true, droppedKey: key})
		}
	}
	q.mu.Unlock()
	if len(removed) > 0 {
		q.recordStored(removed)
		q.Apply("store's list", removed)
	}
}

// publish updates the statuses that Verdict reads, and logs the crashes that were added and
// the requests that are quarantined by them; q.mu must be held.
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
			q.log.Warn("A request is quarantined: each server that ran it crashed.", zap.String("request", string(request)),
				zap.Int("servers_ended", status.Crashes), zap.Time("until", status.ReleaseTime()))
		}
	}
}

// expire removes crashes that are too old, with inStore also from the store.
func (q *Quarantine) expire(inStore bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	expired := q.tracker.Expire(q.now())
	if inStore {
		for _, c := range expired {
			q.toStore.add(Change{Crash: c, Gone: true})
		}
	}
	maps.DeleteFunc(q.queuedHere, func(_ string, request poison.Fingerprint) bool { return q.tracker.CrashCount(request) == 0 })
	maps.DeleteFunc(q.unsent, func(request poison.Fingerprint, _ []poison.Crash) bool { return q.tracker.CrashCount(request) == 0 })
	if len(expired) > 0 {
		q.log.Info("Expired crashes are removed.", zap.Int("servers_ended", len(expired)))
		q.publish("here")
	}
}
