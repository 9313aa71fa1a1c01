package permits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// evacuation plays a burst of callers and samples' calls during which the servers of two failure domains
// of three are evacuated and taken back. It returns the replay and which asks were refused how long after
// their arrival, from the evacuation to its end.
func evacuation(t *testing.T, domains ...string) (r *replay, held []time.Duration) {
	typical := map[string]time.Duration{"lookup": 100 * ms}
	b, e := fleet(Config{}, typical, paces(15, 0, 1)...)
	r = newReplay(t, b, e)
	r.offer(900, 6*time.Second, Ask{Route: "lookup", Organisation: "o", Objective: 400 * ms, Deadline: 2 * time.Second, Repeatable: true})
	r.offer(200, 6*time.Second, Ask{Route: "lookup", Internal: true, Objective: 800 * ms, Deadline: 3 * time.Second, Repeatable: true})
	set := func(evacuated bool) {
		servers := make([]Server, len(b.servers))
		closed := map[string]bool{}
		for i := range b.servers {
			servers[i] = b.servers[i].Server
			for _, domain := range domains {
				if servers[i].Domain == domain {
					servers[i].Leaving, servers[i].Evacuated = evacuated, evacuated
					closed[servers[i].ID] = evacuated
				}
			}
		}
		r.closed = closed
		for _, d := range b.SetServers(r.now, servers) {
			if d.Kind == Refused {
				held = append(held, d.Wait)
			}
			r.apply([]Decision{d})
		}
	}
	r.at(epoch.Add(3*time.Second), func() { set(true) })
	r.at(epoch.Add(5*time.Second), func() { set(false) })
	r.run(6 * time.Second)
	return r, held
}

// Load: a burst of callers and of samples' calls, in which two failure domains of three are evacuated. Guards
// against grants there, and against callers that are held until no answer can come in time any more,
// because the queue was estimated by the servers of before.
func TestEvacuationInABurst(t *testing.T) {
	r, held := evacuation(t, "d0", "d1")
	require.NotEmpty(t, held, "refused at once")
	swept := 0
	for _, d := range r.refusals {
		if d.Reason == "waited until no answer could come in time" {
			swept++
		}
	}
	require.Less(t, swept, len(held)/2, "of %d refusals", len(r.refusals))
	got := r.outcome(callers)
	require.Greater(t, float64(got.inTime), 0.9*float64(got.answered))
	samples := r.outcome(internal)
	require.Equal(t, samples.calls, samples.answered, "a sample's call has the time to wait")
}

// Load: the same burst, and all failure domains are evacuated. Guards against callers that wait for a
// server that does not come, or that are told to come back at once.
func TestEvacuationOfAllDomainsInABurst(t *testing.T) {
	r, held := evacuation(t, "d0", "d1", "d2")
	require.NotEmpty(t, held)
	none := 0
	for _, d := range r.refusals {
		if d.Refusal == NoServer {
			none++
			require.Greater(t, d.RetryAfter, 100*ms)
		}
	}
	require.Greater(t, none, 1000)
	require.Positive(t, r.outcome(func(c *call) bool { return c.start.After(epoch.Add(5 * time.Second)) }).inTime, "served after the end")
}
