package fetch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/fetch"
)

// A part of the store is unavailable, and the calls of all processes exceed the rate
// limit. Calls that either condition may affect are delayed, and more processes sharing
// the store mean longer delays.
func TestDelaysFollowRefusals(t *testing.T) {
	var d fetch.Delays
	require.Zero(t, d.Of("jobs"))
	d.RecordRefusal("jobs", fetch.Unavailable, 10)
	require.Equal(t, 50*time.Millisecond, d.Of("jobs"))
	require.Zero(t, d.Of("texts"))
	for range 10 {
		d.RecordRefusal("jobs", fetch.Unavailable, 100)
		d.RecordRefusal("jobs", fetch.RateLimited, 100)
	}
	require.Equal(t, 800*time.Millisecond, d.Of("texts"))
	require.Equal(t, 800*time.Millisecond, d.Of("jobs"))
	for range 5 {
		d.RecordAnswer("texts")
	}
	require.Zero(t, d.Of("texts"))
	require.Equal(t, 400*time.Millisecond, d.Of("jobs"))
}

// The store is available again after an outage, as the first answer shows. A process
// that then continued to wait half as long, and half of that, was two seconds late with
// what it had to read before it could continue a step.
func TestDelayEndsAfterAnOutage(t *testing.T) {
	var d fetch.Delays
	for range 10 {
		d.RecordRefusal("jobs", fetch.Unavailable, 133)
	}
	require.LessOrEqual(t, d.Of("jobs"), 500*time.Millisecond)
	d.RecordAnswer("jobs")
	require.Zero(t, d.Of("jobs"))
}

func TestExtraTimeGrowsWithTimeouts(t *testing.T) {
	var extraTime fetch.ExtraTime
	require.Zero(t, extraTime.Of("list"))
	extraTime.RecordTimeout("list")
	require.Equal(t, 900*time.Millisecond, extraTime.Of("list"))
	extraTime.RecordTimeout("list")
	require.Equal(t, 1200*time.Millisecond, extraTime.Of("list"))
	require.Zero(t, extraTime.Of("read"))
	extraTime.RecordAnswer("list")
	require.Zero(t, extraTime.Of("list"))
}
