package permits

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	second = time.Second
	ms     = time.Millisecond
)

var (
	lookup = Ask{Route: "lookup", Objective: 150 * ms, Deadline: 1500 * ms}
	score  = Ask{Route: "score", Internal: true, Objective: 800 * ms, Deadline: 3 * second}
	times  = map[string]time.Duration{"lookup": 25 * ms, "score": 200 * ms}
)

// Load: 60 times the usual 12 calls/s for 10 s, while half of the servers take six times
// as long and samples are scored.
func TestBurstOfSixtyTimesWithHalfOfTheServersSlow(t *testing.T) {
	b, e := fleet(Config{}, times, paces(16, 8, 6)...)
	r := newReplay(t, b, e)
	r.offer(60*12, 10*second, lookup)
	r.offer(88, 10*second, score)
	r.run(10 * second)
	o, scores := r.outcome(callers), r.outcome(internal)
	t.Logf("%+v %+v", o, scores)
	require.GreaterOrEqual(t, float64(o.inTime), 0.9*float64(o.calls), "%+v", o)
	require.LessOrEqual(t, float64(o.arrivals), 1.1*float64(o.calls), "%+v", o)
	require.GreaterOrEqual(t, float64(scores.inTime), 0.9*float64(scores.calls), "%+v", scores)
}

// Load: a burst beyond what the servers can do, half or more of them slow. Those three
// times as slow can answer in time, those six times as slow can't. Servers have as many
// places as slots, or more, so that requests also wait there.
func TestBurstBeyondTheServersKeepsThemUseful(t *testing.T) {
	each := slots / times["lookup"].Seconds()
	for _, test := range []struct {
		places, slow int     // slow of eight servers
		pace, inTime float64 // answers in time that the servers can give in a second
	}{
		{slots, 4, 6, 4 * each}, {slots + 2, 4, 6, 4 * each}, {slots + 2, 6, 6, 2 * each},
		{slots, 4, 3, 4*each + 4*each/3}, {slots + 2, 4, 3, 4*each + 4*each/3},
	} {
		b, e := fleetOf(test.places, Config{}, times, paces(8, test.slow, test.pace)...)
		r := newReplay(t, b, e)
		r.offer(1.5*test.inTime, 10*second, lookup)
		r.run(10 * second)
		o := r.outcome(callers)
		t.Logf("%+v: %+v", test, o)
		require.GreaterOrEqual(t, float64(o.inTime), 0.9*10*test.inTime, "%+v: %+v", test, o)
	}
}

// Load: 37 gateways share 3 servers, one of them slow, at 60 times the usual rate: each
// gateway alone would have half a place.
func TestThirtySevenGatewaysShareThreeServers(t *testing.T) {
	b, e := fleet(Config{}, map[string]time.Duration{"lookup": 21 * ms}, paces(3, 1, 6)...)
	r := newReplay(t, b, e)
	ask := lookup
	ask.Deadline = 800 * ms
	r.offer(60*12, 10*second, ask)
	r.run(10 * second)
	o := r.outcome(callers)
	t.Logf("%+v", o)
	require.GreaterOrEqual(t, float64(o.inTime), 0.9*10*2*slots/0.021, "%+v", o)
}

// Load: one large organisation asks for six times what the servers can do, 87 small ones
// for nearly their fair share each.
func TestLargeOrganisationAgainstSmallOnes(t *testing.T) {
	b, e := fleet(Config{}, times, paces(4, 0, 1)...)
	r := newReplay(t, b, e)
	perSecond := 4 * slots / times["lookup"].Seconds()
	fair := perSecond / 88
	ask := lookup
	ask.Organisation = "large"
	r.offer(6*perSecond, 10*second, ask)
	for i := range 87 {
		ask.Organisation = fmt.Sprint("small-", i)
		r.offer(0.9*fair, 10*second, ask)
	}
	r.run(10 * second)
	for i := range 87 {
		name := fmt.Sprint("small-", i)
		o := r.outcome(func(c *call) bool { return c.Organisation == name })
		require.GreaterOrEqual(t, float64(o.inTime), 0.9*float64(o.calls), "%s: %+v", name, o)
	}
	o := r.outcome(func(c *call) bool { return c.Organisation == "large" })
	t.Logf("large: %+v", o)
}

// Load: samples and callers each ask for twice what the servers can do. Neither starves:
// each gets its half.
func TestInternalCallsAndCallersHaveHalfEach(t *testing.T) {
	b, e := fleet(Config{}, times, paces(4, 0, 1)...)
	r := newReplay(t, b, e)
	r.offer(2*24/0.025, 5*second, lookup)
	r.offer(2*24/0.2, 5*second, score)
	r.run(5 * second)
	o, scores := r.outcome(callers), r.outcome(internal)
	t.Logf("%+v %+v", o, scores)
	require.GreaterOrEqual(t, float64(o.inTime), 0.9*0.5*5*24/0.025, "%+v", o)
	require.GreaterOrEqual(t, float64(scores.answered), 0.9*0.5*5*24/0.2, "%+v", scores)
}

// Load: a burst of callers beyond what the servers can do, while ten of sixteen are six times
// slower, too slow for callers. Samples may have half of what the servers do, not of their places:
// with their calls at slow servers only, steps would never get their scores. With their calls at
// fast servers first, callers would be refused for scores for which there is time.
func TestInternalCallsHaveHalfOfTheWork(t *testing.T) {
	b, e := fleet(Config{}, times, paces(16, 10, 6)...)
	r := newReplay(t, b, e)
	r.offer(120*12, 10*second, lookup)
	r.offer(88, 10*second, score)
	r.run(10 * second)
	o, scores := r.outcome(callers), r.outcome(internal)
	t.Logf("%+v %+v", o, scores)
	require.GreaterOrEqual(t, float64(scores.answered), 0.98*float64(scores.calls), "%+v", scores)
	const beside = 10 * (6*slots - 88*0.2) / 0.025 // callers' answers beside all scores at fast servers
	require.GreaterOrEqual(t, float64(o.inTime), 1.2*beside, "%+v", o)
}

// Load: all places are taken, and gateways ask again and again for a place for a second copy of
// what runs. Guards against an operator or a scaler that takes these for demand.
func TestRefusedHedgesAreNoDemand(t *testing.T) {
	b, _ := fleet(Config{}, times, 1)
	granted := fill(t, b, epoch)
	before := b.Load()
	hedge := lookup
	hedge.NoWait = true
	for range 100 {
		require.Equal(t, Refused, last(b.Ask(epoch, ask(hedge))).Kind)
	}
	require.Equal(t, before, b.Load())
	b.Report(epoch, done(granted[0]))
	require.Equal(t, Granted, last(b.Ask(epoch, ask(hedge))).Kind)
	require.Equal(t, before.AsksPerSecond+1, b.Load().AsksPerSecond, "it runs")
}
