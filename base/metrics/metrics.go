// Package metrics publishes a process's numbers through expvar, at
// /debug/vars. Names carry their unit: "entry_requests_total",
// "confsync_exchange_bytes".
package metrics

import (
	"expvar"
	"sync"
)

// publishMu guards the check-then-publish: expvar itself panics on a name
// that is published twice.
var publishMu sync.Mutex

// gauges holds the function behind each gauge, so that a second call with the
// same name replaces it.
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

// Counter returns the counter of that name and publishes it at the first call.
func Counter(name string) *expvar.Int {
	publishMu.Lock()
	defer publishMu.Unlock()
	if v, ok := expvar.Get(name).(*expvar.Int); ok {
		return v
	}
	return expvar.NewInt(name)
}

// Gauge publishes a number that is read when asked for. A second call with
// the same name replaces the function: the newest instance of a part is the
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
