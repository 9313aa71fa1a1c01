package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/base/boottime"
	"dandelionsill.org/decide/cold"
	"dandelionsill.org/decide/members"
	"dandelionsill.org/decide/place"
	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// newColdRunner returns a runner of a process that is the only owner, for an engine that may be cold.
func newColdRunner(t *testing.T) (*Runner, []members.Server) {
	pf := gatewaytest.NewPlatform(t, 1, 0)
	pf.Store.Put(hostedtest.TopicOperator, "config", hostedtest.Cold(hostedtest.Config(2), "engines", 20))
	p := pf.NewProcess(t)
	r := NewRunner(NewIndex(p.Store, zap.NewNop()), p.Store, p.Forward, jobs.Writer{VM: "vm-0", Incarnation: "1"}, 1, 600, zap.NewNop())
	r.SetColdBounds(1, 0)
	now := time.Now()
	r.cold.sends = cold.NewSends(now.Add(-time.Minute))
	r.index.asOf, r.index.nextOffset = now, 2
	r.index.senders.Enter("vm-0", "1", 1, now.Add(-time.Minute), now.Add(-time.Minute))
	r.active["j"] = map[string]*activeItem{}
	r.out.onAppended(boottime.Now(), 1)
	r.cold.check(now)
	return r, p.View.Current().Servers["engines"]
}

// slots returns the free slots that samples may take now.
func slots(r *Runner, servers []members.Server, now time.Time) (int, bool) {
	engines := []place.Engine{{ID: servers[0].ID, Slots: 100}}
	r.cold.limit("engines", servers, engines, 1, now)
	return engines[0].Slots, engines[0].Cold
}

// A failure domain comes back cold under full load: all samples that wait are sent there at once.
func TestEnginesThatComeBackColdGetTheirShare(t *testing.T) {
	r, servers := newColdRunner(t)
	now := time.Now()
	free, isCold := slots(r, servers, now)
	require.False(t, isCold)
	require.Positive(t, free)
	require.Less(t, free, 100)
	for range free {
		require.True(t, r.cold.reserve("engines", servers[0], now))
	}
	require.False(t, r.cold.reserve("engines", servers[0], now))
	left, _ := slots(r, servers, now)
	require.Zero(t, left)
	later := now.Add(cold.Second)
	left, _ = slots(r, servers, later)
	require.Equal(t, free, left)

	servers[0].Evacuated = true
	slots(r, servers, later)
	r.cold.limit("engines", nil, nil, 1, later) // samples that may run in another region only
	servers[0].Evacuated, servers[0].BackSince = false, later
	_, isCold = slots(r, servers, later)
	require.True(t, isCold, "its failure domain is taken back")
	_, isCold = slots(r, servers, later.Add(3*time.Second))
	require.False(t, isCold)
	servers[0].ColdUntil = later.Add(time.Minute)
	_, isCold = slots(r, servers, later.Add(4*time.Second))
	require.True(t, isCold)
}

// A connection takes long to open: the samples that waited for it would be sent together with those
// of the next second.
func TestSampleThatWasCountedLongAgoIsCountedAgain(t *testing.T) {
	r, servers := newColdRunner(t)
	now := time.Now()
	a := &activeItem{service: "engines"}
	free, _ := slots(r, servers, now)
	require.True(t, r.cold.beforeSend(a, servers[0], time.Now().Add(time.Hour))(), "it was counted just now")
	for range free {
		require.True(t, r.cold.beforeSend(a, servers[0], now.Add(-time.Second))())
	}
	require.False(t, r.cold.beforeSend(a, servers[0], now.Add(-time.Second))())
}

// An owner that stood still sends by the place that it had before.
func TestOwnerThatStoodStillSendsNothing(t *testing.T) {
	r, servers := newColdRunner(t)
	r.cold.standing.Check(boottime.Now()-2*cold.MaxCheckGap, 0, 2, true, func() {})
	require.False(t, r.cold.reserve("engines", servers[0], time.Now()))
}
