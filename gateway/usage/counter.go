// Package usage counts the requests of organisations that began to run and reports them
// to the platform, each window of time once.
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

// Times of counting.
const (
	// minPublishInterval is how often it is looked whether the tally has changed.
	minPublishInterval = 100 * time.Millisecond
	// settleTime is how long after a window's end its last requests are awaited that began
	// in it.
	settleTime = 300 * time.Millisecond
	// maxSettleTime bounds that, for requests that take long.
	maxSettleTime = 2500 * time.Millisecond
	// maxKeptWindows is how many windows a process keeps its counts of: one that can't
	// reach the store publishes them once it is back.
	maxKeptWindows = 12
	putTimeout     = 2 * time.Second
	// maxRetryDelay is the longest pause before a tally is published again that was not taken.
	maxRetryDelay = 800 * time.Millisecond
	// minRecoveryTime covers that, and the time in which the store is found to be back.
	minRecoveryTime = 1200 * time.Millisecond
	// maxTalliesPerSecond bounds the tallies of all processes together.
	maxTalliesPerSecond = 100
)

var (
	countedRequests = metrics.Counter("usage_requests_total")
	talliesFailed   = metrics.Counter("usage_tallies_failed_total")
)

// Counter counts the requests of this process. It is safe for concurrent use.
type Counter struct {
	store   platform.Keyed
	process string
	length  time.Duration
	now     func() time.Time
	// processCount is how many there are.
	processCount func() int
	log          *zap.Logger

	mu        sync.Mutex
	windows   map[usage.Window]usage.Counts
	running   map[usage.Window]int // requests on their way, by the window of their start
	changed   bool
	published usage.Window // complete, as last published
	ended     bool
	failing   bool // the store did not take the last tally
	// unknownWrites counts the tallies whose answer was lost. The store may carry them out later,
	// so that the next ones get another key: they would be lost to an older one.
	unknownWrites int
}

// NewCounter returns a counter of windows of a length. process names this start of the
// process, now is the time of day.
func NewCounter(store platform.Keyed, process string, length time.Duration, now func() time.Time, processCount func() int, log *zap.Logger) *Counter {
	return &Counter{
		store: store, process: process, length: length, now: now, processCount: processCount, log: log,
		windows: map[usage.Window]usage.Counts{}, running: map[usage.Window]int{}, published: usage.WindowAt(now(), length),
	}
}

// Request is a request on its way; nil: it is not counted. It belongs to one goroutine.
type Request struct {
	counter      *Counter
	organisation string
	window       usage.Window // of its start
	counted      bool
}

// Start notes a request of an organisation; nil where it is not counted. Call Done at
// its end.
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

// RecordExecution notes that a server began to run the request some time ago. Only the first one
// counts: the caller asked once.
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

// Done notes the request's end.
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

// Run publishes what was counted until ctx ends.
func (c *Counter) Run(ctx context.Context) {
	for wait := time.Duration(0); sleep.For(ctx, max(wait, c.publishInterval())); {
		if c.publish(ctx) {
			wait = 0
			continue
		}
		wait = sleep.Jitter(maxRetryDelay / 2)
	}
}

func (c *Counter) publishInterval() time.Duration {
	return max(minPublishInterval, time.Duration(c.processCount())*time.Second/maxTalliesPerSecond)
}

// AfterOutage is how long after an outage of the store all processes need to publish what
// they have counted.
func (c *Counter) AfterOutage() time.Duration { return minRecoveryTime + 2*c.publishInterval() }

// PublishFinal publishes the last of it; it is called once no request is on its way.
func (c *Counter) PublishFinal(ctx context.Context) {
	c.mu.Lock()
	c.ended, c.changed = true, true
	c.mu.Unlock()
	c.publish(ctx)
}

// publish writes this process's tally where there is something new in it; false: the store
// has not taken it.
func (c *Counter) publish(ctx context.Context) bool {
	tally, due := c.takeTally()
	if !due {
		return true
	}
	value, err := json.Marshal(tally)
	if err != nil {
		c.log.Error("Counts can't be encoded.", zap.Error(err))
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
		c.log.Warn("Counts are not taken by the store.", zap.Uint64("complete", uint64(tally.Complete)), zap.Bool("may_stand", errors.Is(err, platform.ErrAppendUnknown)), zap.Error(err))
	}
	c.failing = true
	return false
}

func (c *Counter) tallyKey() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.process + "#" + strconv.Itoa(c.unknownWrites)
}

// takeTally returns what this process has counted, and whether that has changed.
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

// newestComplete is the newest window whose requests are all counted; mu is held.
func (c *Counter) newestComplete(now time.Time) usage.Window {
	last := usage.WindowAt(now.Add(-settleTime), c.length) - 1
	for w := range c.running {
		if w <= last && now.Sub(w.End(c.length)) < maxSettleTime {
			last = w - 1
		}
	}
	return last
}
