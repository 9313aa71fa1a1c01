package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Streams of usual engines: one that goes dark is left after the least limit, and a
// few dark ones change nothing.
func TestUnresponsiveEngineTimesOutQuickly(t *testing.T) {
	var s StreamTimeouts
	require.Equal(t, minFirstLimit, s.Limit(true, 0), "nothing is known")
	require.Equal(t, minNextLimit, s.Limit(false, 0))
	for range 200 {
		s.ObserveFirst(60 * time.Millisecond)
		s.ObserveNext(37 * time.Millisecond)
	}
	for range 8 {
		s.ObserveTimeout(minNextLimit, false)
	}
	require.Less(t, s.Limit(false, 0), 450*time.Millisecond)
	require.Equal(t, minFirstLimit, s.Limit(true, 0))
}

// All engines take longer for an event than a stream may be silent for at first. Cut
// off each time, no sample would ever be whole; the limits rise until streams go on,
// within two rounds of some seventy streams.
func TestLimitsRiseWhenAllEnginesAreSlow(t *testing.T) {
	const event, firstEvent = 900 * time.Millisecond, 1500 * time.Millisecond
	var s StreamTimeouts
	timeouts := 0
	for s.Limit(true, 0) < firstEvent || s.Limit(false, 0) < event {
		if limit := s.Limit(true, 0); limit < firstEvent {
			s.ObserveTimeout(limit, true)
		}
		if limit := s.Limit(false, 0); limit < event {
			s.ObserveTimeout(limit, false)
		}
		timeouts++
		require.Less(t, timeouts, 140)
	}
}

// Two of nine engines are three and a half times slower than the others. Streams there
// that pause for long still go on elsewhere.
func TestSlowEngineTimesOutAmongFastOnes(t *testing.T) {
	var s StreamTimeouts
	for range 100 {
		for range 2 * 7 {
			s.ObserveNext(37 * time.Millisecond)
		}
		for range 2 {
			s.ObserveNext(130 * time.Millisecond)
		}
		require.Equal(t, minNextLimit, s.Limit(false, 0))
	}
}

// A stream began at an engine that was known to take 0.45 s for an event, for want of
// others. It is waited for as long as that engine's events take, but not for ever; one
// that began at an engine of the usual pace is left as before.
func TestLimitAllowsForKnownSlowPace(t *testing.T) {
	var s StreamTimeouts
	for range 100 {
		s.ObserveNext(80 * time.Millisecond)
	}
	require.Equal(t, minNextLimit, s.Limit(false, 0.08))
	require.Equal(t, minNextLimit, s.Limit(false, 0), "its pace is not known")
	require.Greater(t, s.Limit(false, 0.45), time.Second)
	require.Equal(t, maxSlowLimit, s.Limit(false, 9))
	require.Equal(t, maxSlowLimit, s.Limit(true, 9))
}
