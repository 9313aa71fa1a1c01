// Package usage counts the requests of each organisation that a server has started to run,
// and reports the counts to the platform, once for each window of time.
package usage

import (
	"context"
	"encoding/json"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/sleep"
	"dandelionsill.org/decide/usage"
	"dandelionsill.org/platform"
)

// Times and limits of counting.
const (
	// minPublishInterval is the interval between checks whether the tally has changed, if few
	// processes share maxTalliesPerSecond.
	minPublishInterval = 100 * time.Millisecond
	// settleTime is how long after its end a window still waits for requests that started in it.
	settleTime = 300 * time.Millisecond
	// maxSettleTime is how long after its end a window waits for requests in flight that arrived
	// in it or earlier.
	maxSettleTime = 2500 * time.Millisecond
	// maxKeptWindows is the number of past windows whose counts a process keeps. A process that
	// cannot reach the store publishes them when the store is available again.
	maxKeptWindows = 12
	putTimeout     = 2 * time.Second
	// maxRetryDelay bounds the pause before a tally that was not stored is published again.
	maxRetryDelay = 800 * time.Millisecond
	// minRecoveryTime covers maxRetryDelay and the time until a process finds the store
	// available again.
	minRecoveryTime = 1200 * time.Millisecond
	// maxTalliesPerSecond bounds how many tallies all processes together publish.
	maxTalliesPerSecond = 100
)

var (
	countedRequests = metrics.Counter("usage_requests_total")
	talliesFailed   = metrics.Counter("usage_tallies_failed_total")
)

// Counter counts the requests of this process and publishes the counts as its tally. It is safe
// for concurrent use.
type Counter struct {
	store        platform.KeyedStore
	process      string        // identifies this incarnation of the process
	length       time.Duration // of a window
	now          func() time.Time
	processCount func() int // returns the number of processes that publish tallies
	log          *zap.Logger

	mu        sync.Mutex
	windows   map[usage.Window]usage.Counts
	running   map[usage.Window]int // number of requests in flight, by the window of their arrival
	changed   bool                 // the counts have changed since the last tally
	published usage.Window         // newest complete window, as last published
	ended     bool                 // no more requests will be counted
	failing   bool                 // the last tally was not stored
	// unknownWrites is the number of writes with an unknown outcome. The store may still carry
	// them out, so that later tallies get another key: an old tally would otherwise overwrite
	// a newer one.
	unknownWrites int
}

// NewCounter returns a counter for windows of a given length. process identifies this
// incarnation of the process, now returns the time of day, and processCount returns the number
// of processes that publish tallies.
func NewCounter(store platform.KeyedStore, process string, length time.Duration, now func() time.Time, processCount func() int, log *zap.Logger) *Counter {
	return &Counter{
		store: store, process: process, length: length, now: now, processCount: processCount, log: log,
		windows: map[usage.Window]usage.Counts{}, running: map[usage.Window]int{}, published: usage.WindowAt(now(), length),
	}
}

// Request is a request in flight; nil: it is not counted. It is not safe for concurrent use.
type Request struct {
	counter      *Counter
	organisation string
	window       usage.Window // of its arrival
	counted      bool
}

// Start returns a new request of an organisation; nil if c is nil or the organisation is empty,
// because such requests are not counted. The caller must call Done when the request ends.
func (c *Counter) Start(organisation string) *Request {
	if c == nil || organisation == "" {
		return nil
	}
	w := usage.WindowAt(c.now(), c.length)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[w]++
	return &Request{counter: c, organisation: organisation, window: w}
}

// RecordExecution records that a server started to run the request the given time ago. Only the
// first call counts, because a request that runs on several servers is one request of the
// caller.
func (r *Request) RecordExecution(ago time.Duration) {
	if r == nil || r.counted {
		return
	}
	r.counted = true
	countedRequests.Add(1)
	c := r.counter
	w := usage.WindowAt(c.now().Add(-ago), c.length)
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.windows[w]
	if counts == nil {
		counts = usage.Counts{}
		c.windows[w] = counts
	}
	counts[r.organisation]++
	c.changed = true
}

// Done records the end of the request.
func (r *Request) Done() {
	if r == nil {
		return
	}
	c := r.counter
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[r.window]--
	if c.running[r.window] <= 0 {
		delete(c.running, r.window)
	}
}

// Run publishes the counts until ctx ends.
func (c *Counter) Run(ctx context.Context) {
	for wait := time.Duration(0); sleep.For(ctx, max(wait, c.publishInterval())); {
		if c.publish(ctx) {
			wait = 0
			continue
		}
		wait = sleep.Jitter(maxRetryDelay / 2)
	}
}

// publishInterval returns the interval with which all processes together stay within
// maxTalliesPerSecond.
func (c *Counter) publishInterval() time.Duration {
	return max(minPublishInterval, time.Duration(c.processCount())*time.Second/maxTalliesPerSecond)
}

// AfterOutage returns the time after an outage of the store within which all processes publish
// what they counted during the outage.
func (c *Counter) AfterOutage() time.Duration { return minRecoveryTime + 2*c.publishInterval() }

// PublishFinal publishes the last tally of this process. It must be called only when no request
// is in flight.
func (c *Counter) PublishFinal(ctx context.Context) {
	c.mu.Lock()
	c.ended, c.changed = true, true
	c.mu.Unlock()
	c.publish(ctx)
}

// publish writes this process's tally to the store if it has changed; false: it was not stored.
func (c *Counter) publish(ctx context.Context) bool {
	tally, due := c.takeTally()
	if !due {
		return true
	}
	value, err := json.Marshal(tally)
	if err != nil {
		c.log.Error("Could not encode the tally.", zap.Error(err))
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	err = c.store.PutAll(ctx, platform.StreamUsage, []platform.KeyedRecord{{Key: c.tallyKey(), Value: value}})
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(err, platform.ErrAppendUnknown) {
		c.unknownWrites++
	}
	if err == nil {
		c.failing = false
		return true
	}
	talliesFailed.Add(1)
	c.changed = true
	if !c.failing {
		c.log.Warn("Could not store the tally.", zap.Uint64("complete", uint64(tally.Complete)), zap.Bool("may_stand", errors.Is(err, platform.ErrAppendUnknown)), zap.Error(err))
	}
	c.failing = true
	return false
}

// tallyKey returns the key of this process's tally in the store.
func (c *Counter) tallyKey() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.process + "#" + strconv.Itoa(c.unknownWrites)
}

// takeTally returns the tally of this process, without windows that are too old; false: it has
// not changed since the last call.
func (c *Counter) takeTally() (usage.Tally, bool) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	complete := c.newestComplete(now)
	if !c.changed && complete <= c.published {
		return usage.Tally{}, false
	}
	c.changed, c.published = false, max(c.published, complete)
	tally := usage.Tally{Process: c.process, Complete: c.published, Ended: c.ended, Windows: make(map[usage.Window]usage.Counts, len(c.windows))}
	for w, counts := range c.windows {
		if w+maxKeptWindows < usage.WindowAt(now, c.length) {
			delete(c.windows, w)
			continue
		}
		tally.Windows[w] = maps.Clone(counts)
	}
	return tally, true
}

// newestComplete returns the newest window whose requests are all counted. c.mu must be held.
func (c *Counter) newestComplete(now time.Time) usage.Window {
	last := usage.WindowAt(now.Add(-settleTime), c.length) - 1
	for w := range c.running {
		if w <= last && now.Sub(w.End(c.length)) < maxSettleTime {
			last = w - 1
		}
	}
	return last
}
