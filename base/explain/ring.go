// Package explain keeps the latest decisions of a process, so that an operator
// can query why a request or sample was routed, refused or repeated.
package explain

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"go.opentelemetry.io/otel/trace"

	"dandelionsill.org/wire/pb"
)

// Sizes of a Ring.
const (
	minDecisions = 16
	shardCount   = 16 // power of two; enough that concurrent requests rarely contend for one lock
)

// record is one stored decision. It has no pointers except those of its strings,
// so that Add does not allocate.
type record struct {
	atMs           int64 // Unix time in ms
	part, id       string
	what, why      string
	traceID        trace.TraceID
	hasTrace, used bool
}

type shard struct {
	mu      sync.Mutex
	records []record
	next    int
}

// Ring holds a bounded number of decisions; a new one overwrites the oldest of
// its shard. It is safe for concurrent use.
type Ring struct {
	process string
	shards  [shardCount]shard
	now     func() time.Time
}

// New returns a ring for about size decisions (at least minDecisions) of the named
// process.
func New(process string, size int) *Ring {
	r := &Ring{process: process, now: time.Now}
	shardSize := max(size, minDecisions) / shardCount
	for i := range r.shards {
		r.shards[i].records = make([]record, shardSize)
	}
	return r
}

// Add stores one decision: which part decided what about the request or sample
// with the given ID, and why. It does nothing on a nil Ring.
func (r *Ring) Add(ctx context.Context, part, id, what, why string) {
	if r == nil {
		return
	}
	rec := record{atMs: r.now().UnixMilli(), part: part, id: id, what: what, why: why, used: true}
	if sc := trace.SpanContextFromContext(ctx); sc.HasTraceID() {
		rec.traceID, rec.hasTrace = sc.TraceID(), true
	}
	r.shards[shardOf(id)].add(rec)
}

// Find returns the stored decisions about id and about the IDs below it (the
// attempts of a request or sample, the samples of a group), oldest first.
func (r *Ring) Find(id string) []*pb.Decision {
	if r == nil || id == "" {
		return nil
	}
	var found []*pb.Decision
	for i := range r.shards {
		found = r.shards[i].find(id, r.process, found)
	}
	slices.SortStableFunc(found, func(a, b *pb.Decision) int { return cmp.Compare(a.AtMs, b.AtMs) })
	return found
}

// find appends the shard's decisions about id and the IDs below it to found.
func (s *shard) find(id, process string, found []*pb.Decision) []*pb.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.records {
		rec := &s.records[(s.next+i)%len(s.records)]
		if rec.used && isSameOrBelow(rec.id, id) {
			found = append(found, rec.decision(process))
		}
	}
	return found
}

// isSameOrBelow reports whether id equals parent or is derived from it: the ID of an
// attempt at a request or sample is the parent's ID, a "." or "/", and a suffix.
func isSameOrBelow(id, parent string) bool {
	rest, ok := strings.CutPrefix(id, parent)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '/')
}

func (rec *record) decision(process string) *pb.Decision {
	d := &pb.Decision{AtMs: rec.atMs, Process: process, Part: rec.part, Id: rec.id, What: rec.what, Why: rec.why}
	if rec.hasTrace {
		d.TraceId = rec.traceID.String()
	}
	return d
}

func (s *shard) add(rec record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records[s.next] = rec
	s.next = (s.next + 1) % len(s.records)
}

// shardOf returns the shard of an ID, by its FNV-1a hash. All decisions about one
// ID are in one shard, so that they stay in order.
func shardOf(id string) uint32 {
	const offset, prime = 2166136261, 16777619
	h := uint32(offset)
	for i := 0; i < len(id); i++ {
		h = (h ^ uint32(id[i])) * prime
	}
	return h % shardCount
}
