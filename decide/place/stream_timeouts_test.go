package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// With typical engines, a stream that stops times out after the shortest limit, and a
// few unresponsive engines do not change this.
func TestUnresponsiveEngineTimesOutQuickly(t *testing.T) {
	var s StreamTimeouts
	require.Equal(t, minFirstLimit, s.Limit(true, 0), "no gap observed yet")
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

// All engines take longer per event than the initial limits. If the limits stayed,
// every stream would time out and no sample would ever complete. The limits must rise
// until streams continue, within two rounds of about seventy streams.
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

// Two of nine engines are 3.5 times slower than the others. Streams that pause for long
// there must still time out.
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

// A stream started on an engine that was known to take 0.45 s per event, for lack of
// others. The limit must allow for that pace, but stay bounded. A stream that started
// on an engine of normal pace gets the usual limit.
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
