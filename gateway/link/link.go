// Package link counts what this process sends and receives over the links between regions, by
// kind.
package link

import (
	"sync/atomic"

	"dandelionsill.org/base/metrics"
)

// Kind is a kind of traffic.
type Kind uint8

const (
	// Requests are requests to plain servers with their answers, scores included.
	Requests Kind = iota
	// Samples are requests to engines with their events.
	Samples
	// Texts are texts of results that a process has another one give it.
	Texts
	kinds
)

var names = [kinds]string{Requests: "requests", Samples: "samples", Texts: "texts"}

var counts [kinds]atomic.Int64

func init() { metrics.Gauge("link_bytes_by_kind", func() any { return Bytes() }) }

// Record counts bytes of bodies that cross a link.
func Record(kind Kind, bytes int) { counts[kind].Add(int64(max(0, bytes))) }

// Bytes returns the bytes counted so far by the names of their kinds.
func Bytes() map[string]int64 {
	out := make(map[string]int64, kinds)
	for kind, name := range names {
		out[name] = counts[kind].Load()
	}
	return out
}
