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
	// lookEvery is how often it is looked whether the tally has changed.
	lookEvery = 100 * time.Millisecond
	// settle is how long after a window's end its last requests are awaited that began
	// in it.
	settle = 300 * time.Millisecond
	// settleMost bounds that, for requests that take long.
	settleMost = 2500 * time.Millisecond
	// windowsKept is how many windows a process keeps its counts of: one that can't
	// reach the store publishes them once it is back.
	windowsKept = 12
	putMost     = 2 * time.Second
	// retryMost is the longest pause before a tally is published again that was not taken.
	retryMost = 800 * time.Millisecond
	// returnLeast covers that, and the time in which the store is found to be back.
	returnLeast = 1200 * time.Millisecond
	// talliesPerS bounds the tallies of all processes together.
	talliesPerS = 100
)

var (
	countedRequests = metrics.Counter("usage_requests_total")
	talliesFailed   = metrics.Counter("usage_tallies_failed_total")
)

// Counter counts the requests of this process. It is safe for concurrent use.
type Counter struct {
	store   platform.KeyedStore
	process string
	length  time.Duration
	now     func() time.Time
	// processes is how many there are.
	processes func() int
	log       *zap.Logger

	mu        sync.Mutex
	windows   map[usage.Window]usage.Counts
	running   map[usage.Window]int // requests on their way, by the window of their start
	dirty     bool
	published usage.Window // complete, as last published
	left      bool
	failing   bool // the store did not take the last tally
	// unknown counts the tallies whose answer was lost. The store may carry them out later,
	// so that the next ones get another key: they would be lost to an older one.
	unknown int
}

// NewCounter returns a counter of windows of a length. process names this start of the
// process, now is the time of day.
func NewCounter(store platform.KeyedStore, process string, length time.Duration, now func() time.Time, processes func() int, log *zap.Logger) *Counter {
	return &Counter{
		store: store, process: process, length: length, now: now, processes: processes, log: log,
		windows: map[usage.Window]usage.Counts{}, running: map[usage.Window]int{}, published: usage.WindowAt(now(), length),
	}
}

// Request is a request on its way; nil: it is not counted. It belongs to one goroutine.
type Request struct {
	c            *Counter
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
	return &Request{c: c, organisation: organisation, window: w}
}

// Began notes that a server began to run the request some time ago. Only the first one
// counts: the caller asked once.
func (r *Request) Began(ago time.Duration) {
	if r == nil || r.counted {
		return
	}
	r.counted = true
	countedRequests.Add(1)
	c := r.c
	w := usage.WindowAt(c.now().Add(-ago), c.length)
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.windows[w]
	if counts == nil {
		counts = usage.Counts{}
		c.windows[w] = counts
	}
	counts[r.organisation]++
	c.dirty = true
}

// Done notes the request's end.
func (r *Request) Done() {
	if r == nil {
		return
	}
	c := r.c
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[r.window]--
	if c.running[r.window] <= 0 {
		delete(c.running, r.window)
	}
}

// Run publishes what was counted until ctx ends.
func (c *Counter) Run(ctx context.Context) {
	for wait := time.Duration(0); sleep.For(ctx, max(wait, c.pace())); {
		if c.publish(ctx) {
			wait = 0
			continue
		}
		wait = sleep.Jitter(retryMost / 2)
	}
}

func (c *Counter) pace() time.Duration {
	return max(lookEvery, time.Duration(c.processes())*time.Second/talliesPerS)
}

// AfterOutage is how long after an outage of the store all processes need to publish what
// they have counted.
func (c *Counter) AfterOutage() time.Duration { return returnLeast + 2*c.pace() }

// Leave publishes the last of it; it is called once no request is on its way.
func (c *Counter) Leave(ctx context.Context) {
	c.mu.Lock()
	c.left, c.dirty = true, true
	c.mu.Unlock()
	c.publish(ctx)
}

// publish writes this process's tally where there is something new in it; false: the store
// has not taken it.
func (c *Counter) publish(ctx context.Context) bool {
	tally, due := c.tally()
	if !due {
		return true
	}
	value, err := json.Marshal(tally)
	if err != nil {
		c.log.Error("Counts can't be encoded.", zap.Error(err))
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, putMost)
	defer cancel()
	err = c.store.PutAll(ctx, platform.StreamUsage, []platform.KeyedRecord{{Key: c.key(), Value: value}})
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(err, platform.ErrAppendUnknown) {
		c.unknown++
	}
	if err == nil {
		c.failing = false
		return true
	}
	talliesFailed.Add(1)
	c.dirty = true
	if !c.failing {
		c.log.Warn("Counts are not taken by the store.", zap.Uint64("complete", uint64(tally.Complete)), zap.Bool("may_stand", errors.Is(err, platform.ErrAppendUnknown)), zap.Error(err))
	}
	c.failing = true
	return false
}

func (c *Counter) key() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.process + "#" + strconv.Itoa(c.unknown)
}

// tally returns what this process has counted, and whether that has changed.
func (c *Counter) tally() (usage.Tally, bool) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	complete := c.complete(now)
	if !c.dirty && complete <= c.published {
		return usage.Tally{}, false
	}
	c.dirty, c.published = false, max(c.published, complete)
	tally := usage.Tally{Process: c.process, Complete: c.published, Ended: c.left, Windows: make(map[usage.Window]usage.Counts, len(c.windows))}
	for w, counts := range c.windows {
		if w+windowsKept < usage.WindowAt(now, c.length) {
			delete(c.windows, w)
			continue
		}
		tally.Windows[w] = maps.Clone(counts)
	}
	return tally, true
}

// complete is the newest window whose requests are all counted; mu is held.
func (c *Counter) complete(now time.Time) usage.Window {
	last := usage.WindowAt(now.Add(-settle), c.length) - 1
	for w := range c.running {
		if w <= last && now.Sub(w.End(c.length)) < settleMost {
			last = w - 1
		}
	}
	return last
}
