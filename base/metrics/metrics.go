// Package metrics publishes a process's metrics through expvar, at /debug/vars.
// A metric's name includes its unit, e.g. "entry_requests_total" or
// "confsync_exchange_bytes".
package metrics

import (
	"expvar"
	"sync"
)

// publishMu makes the check for a name and its publication atomic, because expvar
// panics on a name that is published twice.
var publishMu sync.Mutex

// gauges holds the published gauges by name, so that a second call of Gauge can
// replace the function.
var gauges = map[string]*gauge{}

type gauge struct {
	mu sync.Mutex
	fn func() any
}

func (g *gauge) value() any {
	g.mu.Lock()
	fn := g.fn
	g.mu.Unlock()
	return fn()
}

func (g *gauge) set(fn func() any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fn = fn
}

// Counter returns the counter with the given name; the first call creates and
// publishes it.
func Counter(name string) *expvar.Int {
	publishMu.Lock()
	defer publishMu.Unlock()
	if v, ok := expvar.Get(name).(*expvar.Int); ok {
		return v
	}
	return expvar.NewInt(name)
}

// Gauge publishes a value that fn computes at each read. A second call with the
// same name replaces the function, so that the newest instance of a part is the
// one that is shown.
func Gauge(name string, fn func() any) {
	publishMu.Lock()
	defer publishMu.Unlock()
	if g, ok := gauges[name]; ok {
		g.set(fn)
		return
	}
	g := &gauge{fn: fn}
	gauges[name] = g
	expvar.Publish(name, expvar.Func(g.value))
}
