package place

import "time"

// StreamTimeouts decides when a silent stream is abandoned, based on the gaps observed
// in all streams. Streams from an engine that stops responding must time out quickly,
// but a fixed limit fails where engines are slow: with 0.4 s per event and a limit of
// 0.35 s, two streams per sample timed out, and the prompt was read again for each. The
// zero value is ready to use. It is not safe for concurrent use.
type StreamTimeouts struct {
	// firstGap is the mean time in seconds from the start of a stream to its first
	// event, and nextGap that between consecutive events, over all engines.
	firstGap, nextGap decayingMean
}

// Limits of silence.
const (
	// minFirstLimit and minNextLimit are the shortest limits before and after the first
	// event of a stream. An event of a typical engine takes about 40 ms and the first a
	// little longer; continuing elsewhere costs one reading of the prompt.
	minFirstLimit = 500 * time.Millisecond
	minNextLimit  = 350 * time.Millisecond
	// gapFactor is the limit as a multiple of the mean gap. A full engine that reads
	// long prompts has gaps of about twice the mean.
	gapFactor = 3
	// maxSlowLimit is the longest limit granted because an engine was known to be slow
	// when the stream started. It allows for events of 0.4 s, and streams from an
	// engine that stops responding time out before a caller would notice the
	// difference.
	maxSlowLimit = 1500 * time.Millisecond
	// gapWeight is the weight of the newest gap; the mean covers the gaps of a few
	// hundred samples.
	gapWeight = 0.02
	// timeoutWeight is the weight of a silence that ended in a timeout. The true gap is
	// longer than this silence, and where all engines are slow nothing else would ever
	// raise the limit. The streams of a single unresponsive engine raise it by a fifth.
	timeoutWeight = 0.03
)

// ObserveFirst records the time from the start of a stream to its first event.
func (s *StreamTimeouts) ObserveFirst(gap time.Duration) { s.firstGap.add(gap.Seconds(), gapWeight) }

// ObserveNext records the time between two consecutive events of a stream.
func (s *StreamTimeouts) ObserveNext(gap time.Duration) { s.nextGap.add(gap.Seconds(), gapWeight) }

// ObserveTimeout records that a stream was abandoned after a silence; first means that
// this was before its first event.
func (s *StreamTimeouts) ObserveTimeout(silence time.Duration, first bool) {
	if first {
		s.firstGap.add(silence.Seconds(), timeoutWeight)
		return
	}
	s.nextGap.add(silence.Seconds(), timeoutWeight)
}

// Limit returns how long a stream may be silent; first means before its first event.
// The limit is based on all engines together, so that streams from an engine much
// slower than the others time out. pace is the engine's known seconds per event when
// the stream started, or 0. An engine that was already known to be slow was chosen for
// lack of others; with the normal limit, every stream there would time out after one
// event.
func (s *StreamTimeouts) Limit(first bool, pace float64) time.Duration {
	normalLimit := limit(minNextLimit, s.nextGap.mean)
	if first {
		normalLimit = limit(minFirstLimit, s.firstGap.mean)
	}
	return max(normalLimit, min(maxSlowLimit, limit(0, pace)))
}

func limit(minLimit time.Duration, gap float64) time.Duration {
	return max(minLimit, time.Duration(gapFactor*gap*float64(time.Second)))
}

// decayingMean is an exponentially weighted mean.
type decayingMean struct {
	mean  float64
	known bool
}

func (m *decayingMean) add(value, weight float64) {
	if !m.known {
		m.mean, m.known = value, true
		return
	}
	m.mean += weight * (value - m.mean)
}
