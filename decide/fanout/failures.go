package fanout

import "time"

// Times for which a parent that failed is not asked.
const (
	// initialDeadTime doubles with each further failure up to maxDeadTime. Until it has passed,
	// others take the parent's place in the tree.
	initialDeadTime = time.Second
	maxDeadTime     = 30 * time.Second
	// staleTime is how long a parent is not asked for a stream that it does not follow now. It
	// keeps its place: it reads the stream as soon as the log can be read.
	staleTime = 250 * time.Millisecond
)

// Failures holds which gateways have failed a process as parents. The zero value is ready to
// use. It is not safe for concurrent use.
type Failures struct {
	dead  map[string]deadTime
	stale map[gatewayStream]time.Time // until when
}

type deadTime struct {
	until time.Time
	last  time.Duration
}

// gatewayStream is a stream at a gateway. Parts of the log can be unavailable, so that a gateway
// may follow one stream and not another.
type gatewayStream struct{ vm, stream string }

// RecordNoAnswer records that a gateway gave no answer.
func (f *Failures) RecordNoAnswer(vm string, now time.Time) {
	if f.dead == nil {
		f.dead = map[string]deadTime{}
	}
	duration := min(maxDeadTime, max(initialDeadTime, 2*f.dead[vm].last))
	f.dead[vm] = deadTime{until: now.Add(duration), last: duration}
}

// RecordStale records that a gateway answered, but does not follow a stream now.
func (f *Failures) RecordStale(vm, stream string, now time.Time) {
	if f.stale == nil {
		f.stale = map[gatewayStream]time.Time{}
	}
	f.stale[gatewayStream{vm, stream}] = now.Add(staleTime)
	delete(f.dead, vm)
}

// RecordAnswer records that a gateway served records of a stream.
func (f *Failures) RecordAnswer(vm, stream string) {
	delete(f.dead, vm)
	delete(f.stale, gatewayStream{vm, stream})
}

// IsDead reports whether a gateway counts as gone.
func (f *Failures) IsDead(vm string, now time.Time) bool { return now.Before(f.dead[vm].until) }

// IsStale reports whether a gateway did not follow a stream a moment ago.
func (f *Failures) IsStale(vm, stream string, now time.Time) bool {
	return now.Before(f.stale[gatewayStream{vm, stream}])
}
