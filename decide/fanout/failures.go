package fanout

import "time"

// Times for which a parent that failed is not asked.
const (
	// initialDeadTime doubles with each further failure up to maxDeadTime. Until it has passed,
	// others take the parent's place in the tree.
	initialDeadTime = time.Second
	maxDeadTime     = 30 * time.Second
	// staleTime is how long a parent is not asked that answers with records that are too old.
	// It keeps its place: it reads from the log as soon as the log can be read.
	staleTime = 250 * time.Millisecond
)

// Failures holds which gateways have failed a process as parents. The zero value is ready to
// use. It is not safe for concurrent use.
type Failures struct {
	byVM map[string]*failure
}

type failure struct {
	deadUntil, staleUntil time.Time
	deadTime              time.Duration // the last one
}

func (f *Failures) of(vm string) *failure {
	if f.byVM == nil {
		f.byVM = map[string]*failure{}
	}
	if f.byVM[vm] == nil {
		f.byVM[vm] = &failure{}
	}
	return f.byVM[vm]
}

// RecordNoAnswer records that a gateway gave no answer.
func (f *Failures) RecordNoAnswer(vm string, now time.Time) {
	of := f.of(vm)
	of.deadTime = min(maxDeadTime, max(initialDeadTime, 2*of.deadTime))
	of.deadUntil = now.Add(of.deadTime)
}

// RecordStale records that a gateway answered, but does not follow the log now.
func (f *Failures) RecordStale(vm string, now time.Time) { f.of(vm).staleUntil = now.Add(staleTime) }

// RecordAnswer records that a gateway served records.
func (f *Failures) RecordAnswer(vm string) { delete(f.byVM, vm) }

// IsDead reports whether a gateway counts as gone.
func (f *Failures) IsDead(vm string, now time.Time) bool {
	of := f.byVM[vm]
	return of != nil && now.Before(of.deadUntil)
}

// IsStale reports whether a gateway did not follow the log a moment ago.
func (f *Failures) IsStale(vm string, now time.Time) bool {
	of := f.byVM[vm]
	return of != nil && now.Before(of.staleUntil)
}
