package place

import "time"

// Silence decides when a silent stream is given up, by what streams have shown. It
// answers two loads: an engine that went dark, which has to be left at once, and
// engines that are slow, each event of which takes longer than any fixed limit:
// with events of 0.4 s a limit of 0.35 s cut two streams a sample, each of which read
// its prompt again. Its zero value knows nothing. It is not safe for concurrent use.
type StreamTimeouts struct {
	// first and next estimate how long streams take to their first event and from
	// one event to the next, in seconds, over all engines.
	firstGap, nextGap decayingMean
}

// Limits of silence.
const (
	// firstLeast and nextLeast are what a stream may be silent for in any case
	// before and behind its first event: an event of a usual engine takes about
	// 40 ms, the first some more, and going on elsewhere costs one reading of the
	// prompt.
	minFirstLimit = 500 * time.Millisecond
	minNextLimit  = 350 * time.Millisecond
	// patience is how many times the usual gap a stream may be silent for: gaps of
	// a full engine that reads long prompts are about twice the usual one.
	gapFactor = 3
	// slowMost bounds the patience with a stream at an engine that was known to be
	// slow when it began: an event of 0.4 s is waited for, and one that goes dark is
	// left before a caller would notice the difference.
	maxSlowLimit = 1500 * time.Millisecond
	// silenceWeight is the weight of the newest gap, a few hundred samples'.
	gapWeight = 0.02
	// cutWeight is the weight of a silence that was cut: it was longer than what
	// was seen, and where all engines are slow nothing else would ever raise the
	// limit. The streams of one dark engine raise it by a fifth.
	timeoutWeight = 0.03
)

// First notes how long a stream took to its first event.
func (s *StreamTimeouts) ObserveFirst(gap time.Duration) { s.firstGap.add(gap.Seconds(), gapWeight) }

// Next notes the time between two events of a stream.
func (s *StreamTimeouts) ObserveNext(gap time.Duration) { s.nextGap.add(gap.Seconds(), gapWeight) }

// Cut notes that a stream was given up after a silence; first: before its first event.
func (s *StreamTimeouts) ObserveTimeout(silence time.Duration, first bool) {
	if first {
		s.firstGap.add(silence.Seconds(), timeoutWeight)
		return
	}
	s.nextGap.add(silence.Seconds(), timeoutWeight)
}

// Limit is how long a stream may be silent, first: before its first event. It goes by
// all engines together, so that an engine that turns much slower than the others is
// left. One that was known to be slow when the stream began, which took pace seconds for
// an event then, was chosen all the same, for want of others: cut off there, samples
// came and went and made one event each.
func (s *StreamTimeouts) Limit(first bool, pace float64) time.Duration {
	usual := limit(minNextLimit, s.nextGap.mean)
	if first {
		usual = limit(minFirstLimit, s.firstGap.mean)
	}
	return max(usual, min(maxSlowLimit, limit(0, pace)))
}

func limit(minLimit time.Duration, gap float64) time.Duration {
	return max(minLimit, time.Duration(gapFactor*gap*float64(time.Second)))
}

// estimate is a mean in which the past fades.
type decayingMean struct {
	mean  float64
	known bool
}

func (e *decayingMean) add(value, weight float64) {
	if !e.known {
		e.mean, e.known = value, true
		return
	}
	e.mean += weight * (value - e.mean)
}
