package stopping

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/drain"
)

// Guards against parts of a process that are told of another time than that of its stop.
func TestStopTellsTheTimeThatIsLeft(t *testing.T) {
	var clock atomic.Int64
	s := New(Times{Arrivals: 2 * time.Minute, Finish: 6 * time.Minute, Answer: 7 * time.Minute}, func() time.Duration { return time.Duration(clock.Load()) })
	later := time.Now().Add(time.Hour)
	clock.Store(int64(time.Minute))
	_, isStopping := s.Moment()
	require.False(t, isStopping)
	require.Equal(t, later, s.Earliest(later))
	s.Begin()
	s.Begin()
	m, isStopping := s.Moment()
	require.True(t, isStopping)
	require.Equal(t, drain.Moment{Left: 6 * time.Minute, CallersArrive: true}, m)
	require.True(t, s.Earliest(later).Before(later))
	clock.Store(int64(3 * time.Minute))
	m, _ = s.Moment()
	require.Equal(t, drain.Moment{Left: 4 * time.Minute}, m)
	bound, release := s.Bound(context.Background())
	defer release()
	require.NoError(t, bound.Err())
	recheck := s.Recheck()
	require.False(t, s.HasEnded())
	clock.Store(int64(8 * time.Minute))
	<-recheck
	<-bound.Done()
	require.True(t, s.HasEnded())
}

// Guards against processes without a stop, as in tests, that end calls.
func TestProcessWithoutAStopNeverEnds(t *testing.T) {
	var s *Stop
	s.Begin()
	require.False(t, s.IsStopping())
	require.False(t, s.HasEnded())
	require.Nil(t, s.Recheck())
	bound, release := s.Bound(context.Background())
	require.NoError(t, bound.Err())
	release()
	require.Error(t, bound.Err())
}
