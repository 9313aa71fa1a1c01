// Package client sends requests to the entries as callers do: through a stand-in
// for the platform's balancer and without retries of requests that may have been
// received.
package client

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
)

// Balancer distributes requests over the entries whose /readyz answers 200, as
// the platform's balancer does. Run keeps the readiness of the entries up to
// date.
type Balancer struct {
	entries []string
	ready   []atomic.Bool
	next    atomic.Uint64
	http    *http.Client
}

// NewBalancer returns a balancer for the entries with these base URLs. All count
// as ready until the first probe.
func NewBalancer(entries []string) *Balancer {
	b := &Balancer{entries: entries, ready: make([]atomic.Bool, len(entries))}
	b.http = &http.Client{Timeout: probeTimeout}
	for i := range b.ready {
		b.ready[i].Store(true)
	}
	return b
}

// Run probes the entries periodically until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		for i := range b.entries {
			go b.probe(ctx, i)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// probe updates the readiness of entry i.
func (b *Balancer) probe(ctx context.Context, i int) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, b.entries[i]+"/readyz", nil)
	if err != nil {
		return
	}
	resp, err := b.http.Do(req)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		b.ready[i].Store(false)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	b.ready[i].Store(resp.StatusCode == http.StatusOK)
}

// Order returns all entries in round-robin order, the ready ones first.
func (b *Balancer) Order() []string {
	n := uint64(len(b.entries))
	start := b.next.Add(1)
	ready := make([]string, 0, n)
	var unready []string
	for k := range n {
		i := (start + k) % n
		if b.ready[i].Load() {
			ready = append(ready, b.entries[i])
		} else {
			unready = append(unready, b.entries[i])
		}
	}
	return append(ready, unready...)
}
