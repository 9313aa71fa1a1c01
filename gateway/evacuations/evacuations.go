// Package evacuations tells operators what a process still runs in failure domains that are evacuated.
// It decides nothing: the view marks the servers, and all that send ask them.
package evacuations

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/sleep"
	"dandelionsill.org/gateway/view"
)

// checkInterval is the time between two counts of what still runs.
const checkInterval = 500 * time.Millisecond

// Config holds what a Watch observes.
type Config struct {
	View *view.View
	// Requests and Streams return the number of requests, and of samples' streams, of this process
	// at each server that has any.
	Requests, Streams func() map[string]int
	Log               *zap.Logger
}

// Watch counts what this process runs in evacuated failure domains. Its loop does nothing as long as no
// failure domain is evacuated.
type Watch struct {
	cfg Config

	mu      sync.Mutex
	domains map[string]*domain // that are evacuated
}

// domain is an evacuated failure domain.
type domain struct {
	since             time.Time
	requests, streams int
	empty             bool // nothing ran there at the last count
	loggedAt          time.Time
}

// New returns a watch and registers its gauges.
func New(cfg Config) *Watch {
	w := &Watch{cfg: cfg, domains: map[string]*domain{}}
	metrics.Gauge("evacuated_domains", func() any { return len(w.cfg.View.Current().Evacuated) })
	metrics.Gauge("evacuated_requests_in_flight", func() any { return w.sum(func(d *domain) int { return d.requests }) })
	metrics.Gauge("evacuated_streams_in_flight", func() any { return w.sum(func(d *domain) int { return d.streams }) })
	return w
}

// Run observes evacuations until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := w.cfg.View.Changed.Next()
		if w.check() {
			sleep.For(ctx, checkInterval)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// check counts what runs and logs it. It returns false if no failure domain is evacuated.
func (w *Watch) check() bool {
	snap := w.cfg.View.Current()
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.domains, func(name string, d *domain) bool { return !snap.Evacuated[name].Equal(d.since) })
	if len(snap.Evacuated) == 0 {
		return false
	}
	requests, streams := w.cfg.Requests(), w.cfg.Streams()
	for _, name := range slices.Sorted(maps.Keys(snap.Evacuated)) {
		d := w.domains[name]
		if d == nil {
			d = &domain{since: snap.Evacuated[name]}
			w.domains[name] = d
		}
		d.requests, d.streams = count(snap, name, requests), count(snap, name, streams)
		w.log(name, d)
	}
	return true
}

// count sums the numbers of the servers of a failure domain.
func count(snap *view.Snapshot, domain string, byServer map[string]int) int {
	n := 0
	for _, servers := range snap.Servers {
		for i := range servers {
			if servers[i].FailureDomain == domain {
				n += byServer[servers[i].ID]
			}
		}
	}
	return n
}

// logInterval is the time between two lines about a failure domain in which something still runs.
const logInterval = 5 * time.Second

// log logs what still runs in a failure domain, and once that nothing does any more.
func (w *Watch) log(name string, d *domain) {
	now := time.Now()
	empty, wasEmpty := d.requests+d.streams == 0, d.empty
	d.empty = empty
	if empty == wasEmpty && (empty || now.Sub(d.loggedAt) < logInterval) {
		return
	}
	d.loggedAt = now
	fields := []zap.Field{zap.String("failure_domain", name), zap.Duration("after", now.Sub(d.since)), zap.Int("requests", d.requests), zap.Int("streams", d.streams)}
	switch {
	case empty:
		w.cfg.Log.Info("Nothing of this process runs in an evacuated failure domain.", fields...)
	case wasEmpty:
		w.cfg.Log.Warn("Something of this process runs in an evacuated failure domain again.", fields...)
	default:
		w.cfg.Log.Info("This process still runs something in an evacuated failure domain.", fields...)
	}
}

func (w *Watch) sum(of func(*domain) int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, d := range w.domains {
		n += of(d)
	}
	return n
}
