package permits

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/evidence"
)

var epoch = time.Unix(1_700_000_000, 0)

// fakeEvidence knows every server's limit and pace and every route's time.
type fakeEvidence struct {
	standings map[string]evidence.Standing
	typical   map[string]time.Duration
	// alone holds the server that a gateway, and no other, sees as ejected.
	alone    map[string]string
	recorded int
}

func (f *fakeEvidence) SetServers(time.Time, []evidence.Server) {}
func (f *fakeEvidence) Record(time.Time, evidence.Sample)       { f.recorded++ }
func (f *fakeEvidence) TypicalTime(route string) time.Duration  { return f.typical[route] }
func (f *fakeEvidence) Report(time.Time) []evidence.ServerReport {
	return nil
}
func (f *fakeEvidence) Standing(_ time.Time, server, gateway string) evidence.Standing {
	st := f.standings[server]
	st.Ejected = st.Ejected || f.alone[gateway] == server
	return st
}

// slots is the number of requests that a server runs at a time; it queues the others.
const slots = 6

// fleet returns a broker with a server for each pace, with as many places as slots.
func fleet(cfg Config, typical map[string]time.Duration, paces ...float64) (*Broker, *fakeEvidence) {
	return fleetOf(slots, cfg, typical, paces...)
}

func fleetOf(limit int, cfg Config, typical map[string]time.Duration, paces ...float64) (*Broker, *fakeEvidence) {
	e := &fakeEvidence{standings: map[string]evidence.Standing{}, typical: typical}
	var servers []Server
	for i, pace := range paces {
		s := Server{ID: fmt.Sprintf("s%02d", i), Domain: fmt.Sprintf("d%d", i%3), Slots: slots}
		servers = append(servers, s)
		e.standings[s.ID] = evidence.Standing{Limit: limit, Pace: pace}
	}
	b := New(cfg, e)
	b.SetServers(epoch, servers)
	return b, e
}

// paces returns n paces, of which the first slow ones are slow.
func paces(n, slow int, pace float64) []float64 {
	out := slices.Repeat([]float64{1}, n)
	for i := range slow {
		out[i] = pace
	}
	return out
}

// call is a call of a caller, who returns as advised until its deadline, or of a sample.
type call struct {
	Ask      // Objective and Deadline from the start
	start    time.Time
	arrivals int
	took     time.Duration // from the start to the answer; 0: none
}

// replay plays calls against a broker in virtual time.
type replay struct {
	t       *testing.T
	b       *Broker
	e       *fakeEvidence
	rng     *rand.Rand
	now     time.Time
	events  events
	calls   []*call
	asked   map[AskID]*call
	running map[string]int
	slots   map[string][]time.Time // when each becomes free
	number  uint64

	closed   map[string]bool // servers that must get nothing
	refusals []Decision
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (h events) Len() int           { return len(h) }
func (h events) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h events) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)        { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newReplay(t *testing.T, b *Broker, e *fakeEvidence) *replay {
	r := &replay{t: t, b: b, e: e, rng: rand.New(rand.NewPCG(1, 2)), now: epoch, asked: map[AskID]*call{}, running: map[string]int{}, slots: map[string][]time.Time{}}
	for server := range e.standings {
		r.slots[server] = make([]time.Time, slots)
	}
	return r
}

func (r *replay) at(at time.Time, do func()) { heap.Push(&r.events, event{at, do}) }

// offer adds calls at random times, perSecond of them for a duration.
func (r *replay) offer(perSecond float64, length time.Duration, a Ask) {
	for at := time.Duration(0); ; {
		at += time.Duration(r.rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= length {
			return
		}
		c := &call{Ask: a, start: epoch.Add(at)}
		r.calls = append(r.calls, c)
		r.at(c.start, func() { r.arrive(c) })
	}
}

// arrive asks for a permit through a gateway that a load balancer would pick.
func (r *replay) arrive(c *call) {
	c.arrivals++
	r.number++
	a := c.Ask
	gateway := r.rng.IntN(37)
	a.ID = AskID{Gateway: fmt.Sprintf("g%02d", gateway), Number: r.number}
	a.Domain = fmt.Sprintf("d%d", gateway%3)
	a.Objective = max(0, c.start.Add(c.Objective).Sub(r.now))
	a.Deadline = c.start.Add(c.Deadline).Sub(r.now)
	r.asked[a.ID] = c
	r.apply(r.b.Ask(r.now, a))
}

func (r *replay) apply(decisions []Decision) {
	for _, d := range decisions {
		switch d.Kind {
		case Granted:
			r.send(d)
		case Refused:
			r.refused(d)
		}
	}
}

func (r *replay) send(d Decision) {
	r.running[d.Server]++
	require.False(r.t, r.closed[d.Server], "%s takes no work", d.Server)
	require.LessOrEqual(r.t, r.running[d.Server], r.e.standings[d.Server].Limit, "%s is beyond its limit", d.Server)
	c := r.asked[d.ID]
	st := r.e.standings[d.Server]
	took := r.serve(d.Server, scale(r.e.typical[c.Route], st.Pace*(0.9+0.2*r.rng.Float64())))
	r.at(r.now.Add(took), func() {
		r.running[d.Server]--
		c.took = r.now.Sub(c.start)
		r.apply(r.b.Report(r.now, Report{ID: d.ID, Server: d.Server, Route: c.Route, Took: took, Outcome: evidence.Answered}))
	})
}

// serve returns after which time a server ends a request that takes this much work.
func (r *replay) serve(server string, work time.Duration) time.Duration {
	free := r.slots[server]
	slices.SortFunc(free, time.Time.Compare)
	if free[0].Before(r.now) {
		free[0] = r.now
	}
	free[0] = free[0].Add(work)
	return free[0].Sub(r.now)
}

func (r *replay) refused(d Decision) {
	r.refusals = append(r.refusals, d)
	c := r.asked[d.ID]
	back := r.now.Add(d.RetryAfter)
	if !c.Internal && c.arrivals == 1 && back.Before(c.start.Add(c.Deadline)) {
		r.at(back, func() { r.arrive(c) })
	}
}

// run plays until nothing is left to do.
func (r *replay) run(length time.Duration) {
	for at := time.Duration(0); at < length+10*time.Second; at += 50 * time.Millisecond {
		r.at(epoch.Add(at), func() { r.apply(r.b.Tick(r.now)) })
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	require.Zero(r.t, r.b.Load().Waiting)
}

// outcome sums what callers got.
type outcome struct{ calls, arrivals, inTime, answered int }

func (r *replay) outcome(match func(*call) bool) outcome {
	var o outcome
	for _, c := range r.calls {
		if !match(c) {
			continue
		}
		o.calls++
		o.arrivals += c.arrivals
		if c.took > 0 && c.took <= c.Deadline {
			o.answered++
		}
		if c.took > 0 && c.took <= c.Objective {
			o.inTime++
		}
	}
	return o
}

func callers(c *call) bool  { return !c.Internal }
func internal(c *call) bool { return c.Internal }
