package permits

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/decide/evidence"
)

var numbers uint64

// ask fills in what most tests don't care about.
func ask(a Ask) Ask {
	numbers++
	if a.ID.Gateway == "" {
		a.ID = AskID{"g", numbers}
	}
	if a.Route == "" {
		a.Route = "lookup"
	}
	if a.Deadline == 0 {
		a.Objective, a.Deadline = 150*ms, 1500*ms
	}
	return a
}

// last returns the last decision, which is the one on the ask.
func last(d []Decision) Decision { return d[len(d)-1] }

// fill takes all places and returns the decisions.
func fill(t *testing.T, b *Broker, now time.Time) (granted []Decision) {
	for b.capacity.free > 0 {
		d := last(b.Ask(now, ask(Ask{})))
		require.Equal(t, Granted, d.Kind)
		granted = append(granted, d)
	}
	return granted
}

func done(d Decision) Report {
	return Report{ID: d.ID, Server: d.Server, Route: "lookup", Took: 25 * ms, Outcome: evidence.Answered}
}

// Load: places are short, and a server that fails part of its requests is ejected. It is used
// rather than to refuse requests, unless a failure would be final; not longer than that.
func TestEjectedServerHelpsOutWhilePlacesAreShort(t *testing.T) {
	b, e := fleet(Config{}, times, 1, 1)
	e.standings["s01"] = evidence.Standing{Limit: 1, Pace: 1, Ejected: true, LastResort: 1}
	require.Len(t, fill(t, b, epoch), slots, "it gets nothing while others have places")
	next := func(a Ask) Decision { return last(b.Ask(epoch, ask(a))) }
	d := next(Ask{})
	for d.Kind == Queued {
		d = next(Ask{})
	}
	require.Equal(t, Refused, d.Kind, "a failure would be final")
	require.NotEqual(t, Granted, next(Ask{}).Kind)
	require.Equal(t, "s01", next(Ask{Repeatable: true}).Server)
	require.NotEqual(t, Granted, next(Ask{Repeatable: true}).Kind, "it has as many as it may have")
	b.Tick(epoch.Add(second))
	require.Equal(t, 0, b.capacity.free, "places are not short any more")
}

// Load: a queued newcomer can't be answered in time any more. Those that can go first.
func TestLateAskGoesBehindThoseInTime(t *testing.T) {
	b, _ := fleet(Config{}, times, 1)
	granted := fill(t, b, epoch)
	now := epoch.Add(140 * ms)
	late, inTime := ask(Ask{}), ask(Ask{})
	b.Ask(epoch, late)
	b.Ask(now, inTime)
	require.Equal(t, inTime.ID, last(b.Report(now, done(granted[0]))).ID)
	require.Equal(t, late.ID, last(b.Report(now, done(granted[1]))).ID)

	late = ask(Ask{})
	b.Ask(now, late)
	b.Tick(now.Add(140 * ms))
	require.Zero(t, b.lanes[laneCallers].Cost(), "newcomers must not be refused for its sake")
	require.Equal(t, late.ID, last(b.Report(now.Add(141*ms), done(granted[2]))).ID)
}

// Load: two hundred calls come at once. If those that are refused came back at once they
// would be refused again: they are spread at the rate at which places become free.
func TestRetryAfterSpreadsReturns(t *testing.T) {
	b, _ := fleet(Config{}, times, 1)
	fill(t, b, epoch)
	after := map[time.Duration]int{}
	var previous time.Duration
	for range 200 {
		d := last(b.Ask(epoch, ask(Ask{})))
		if d.Kind == Queued {
			continue
		}
		require.Equal(t, DeadlineTooShort, d.Refusal)
		require.GreaterOrEqual(t, d.RetryAfter, max(previous, 20*ms))
		require.LessOrEqual(t, d.RetryAfter, 500*ms, "a third of the deadline")
		after[d.RetryAfter/(25*ms)]++
		previous = d.RetryAfter
	}
	for slot, n := range after {
		if slot < 500/25-1 {
			require.LessOrEqual(t, n, 7, "more than the six places serve in %d times 25 ms", slot)
		}
	}
	require.Greater(t, len(after), 10)
}

// Load: fast places are contended while slow ones are free. Calls with a long objective
// take the slow ones.
func TestLongObjectivesTakeSlowPlaces(t *testing.T) {
	b, _ := fleet(Config{}, times, 1, 3)
	for range 4 {
		require.Equal(t, "s00", last(b.Ask(epoch, ask(Ask{Domain: "d0"}))).Server)
	}
	long := ask(Ask{Internal: true, Domain: "d0", Route: "score", Objective: 3 * second, Deadline: 9 * second})
	require.Equal(t, "s01", last(b.Ask(epoch, long)).Server)
}

// Load: only places too slow for the objective are free. A call that a fast place can
// still serve in time waits for it; one that would wait too long takes the slow one.
func TestSlowPlaceOnlyIfNothingBetterComesInTime(t *testing.T) {
	b, e := fleet(Config{}, times, 1, 10)
	var granted []Decision
	for range 6 {
		granted = append(granted, last(b.Ask(epoch, ask(Ask{}))))
	}
	waits := ask(Ask{})
	require.Equal(t, Queued, last(b.Ask(epoch, waits)).Kind)
	require.Equal(t, "s00", last(b.Report(epoch.Add(25*ms), done(granted[0]))).Server)
	for range 200 {
		d := last(b.Ask(epoch.Add(25*ms), ask(Ask{})))
		if d.Kind == Granted {
			require.Equal(t, "s01", d.Server)
			return
		}
		require.Equal(t, Queued, d.Kind, "refused while a slow place is free")
	}
	t.Fatalf("never used: %v", e.standings)
}

// Failure: a server failed a request. Its second attempt goes elsewhere if it can.
func TestAvoidedServerIsTheLastChoice(t *testing.T) {
	b, _ := fleet(Config{}, times, 1, 1)
	require.Equal(t, "s01", last(b.Ask(epoch, ask(Ask{Avoid: []string{"s00"}}))).Server)
	for range 5 {
		b.Ask(epoch, ask(Ask{Avoid: []string{"s00"}}))
	}
	d := last(b.Ask(epoch, ask(Ask{Avoid: []string{"s00"}, NoWait: true})))
	require.Equal(t, Overloaded, d.Refusal, "one that may not wait is refused")
	require.Equal(t, "s00", last(b.Ask(epoch, ask(Ask{Avoid: []string{"s00"}}))).Server)
}

// Failure: servers are ejected. They are used only when no other is left.
func TestEjectedServersAreTheLastChoice(t *testing.T) {
	b, e := fleet(Config{}, times, 1, 1)
	e.standings["s00"] = evidence.Standing{Limit: 6, Pace: 1, Ejected: true}
	for range 6 {
		require.Equal(t, "s01", last(b.Ask(epoch, ask(Ask{}))).Server)
	}
	require.Equal(t, Queued, last(b.Ask(epoch, ask(Ask{}))).Kind)
	e.standings["s01"] = evidence.Standing{Limit: 6, Pace: 1, Ejected: true}
	require.Equal(t, "s00", last(b.Ask(epoch, ask(Ask{}))).Server)
}

// Failure: one gateway can't reach a server. It gets places elsewhere, other gateways
// still get them there.
func TestServerEjectedForOneGateway(t *testing.T) {
	b, e := fleet(Config{}, times, 1, 1)
	e.alone = map[string]string{"cut": "s00"}
	for n := range uint64(6) {
		d := last(b.Ask(epoch, ask(Ask{ID: AskID{"cut", n}, Domain: "d0"})))
		require.Equal(t, "s01", d.Server)
	}
	require.Equal(t, Queued, last(b.Ask(epoch, ask(Ask{ID: AskID{"cut", 7}}))).Kind)
	require.Equal(t, "s00", last(b.Ask(epoch, ask(Ask{}))).Server)
}

// Load: few requests. They stay in the gateway's failure domain, until its servers have
// a request more than others.
func TestOwnFailureDomainFirst(t *testing.T) {
	b, _ := fleet(Config{}, times, 1, 1)
	require.Equal(t, "s01", last(b.Ask(epoch, ask(Ask{Domain: "d1"}))).Server)
	require.Equal(t, "s00", last(b.Ask(epoch, ask(Ask{Domain: "d1"}))).Server)
}

// Failure: the last server leaves while asks wait. They are refused at once.
func TestLastServerLeaves(t *testing.T) {
	b, _ := fleet(Config{}, times, 1)
	fill(t, b, epoch)
	b.Ask(epoch, ask(Ask{}))
	d := b.SetServers(epoch, []Server{{ID: "s00", Slots: 6, Leaving: true}})
	require.Len(t, d, 1)
	require.Equal(t, NoServer, d[0].Refusal)
	require.Equal(t, NoServer, last(b.Ask(epoch, ask(Ask{}))).Refusal)
}

// Failure: a gateway is lost. Its places stay counted until its requests' deadlines, and
// its successor may use the same numbers.
func TestLostGatewaysPermitsEndAtTheirDeadlines(t *testing.T) {
	b, _ := fleet(Config{}, times, 1)
	granted := fill(t, b, epoch)
	b.Forget(epoch, "g")
	again := ask(Ask{ID: granted[0].ID})
	require.Equal(t, Queued, last(b.Ask(epoch, again)).Kind)
	require.Empty(t, b.Tick(epoch.Add(1400*ms)))
	b.InUse(epoch.Add(1400*ms), granted[1].ID, granted[1].Server)
	d := b.Tick(epoch.Add(1500 * ms))
	require.Equal(t, again.ID, d[0].ID)
	require.Len(t, b.permits, 2, "a permit that is told anew is still in use, and one was granted")
	require.Equal(t, 4, b.capacity.free)
	b.Tick(epoch.Add(4 * second))
	require.Empty(t, b.permits, "no report came in the two seconds after the deadline")
}

// Failure: the broker is a new one. Permits of its predecessor count, even beyond limits.
func TestPermitsOfAnEarlierBrokerCount(t *testing.T) {
	b, _ := fleet(Config{}, times, 1)
	for i := range uint64(8) {
		b.InUse(epoch, AskID{"old", i}, "s00")
	}
	require.Equal(t, Queued, last(b.Ask(epoch, ask(Ask{}))).Kind)
	for i := range uint64(2) {
		require.Empty(t, b.Report(epoch, Report{ID: AskID{"old", i}, Route: "lookup"}))
	}
	require.Len(t, b.Report(epoch, Report{ID: AskID{"old", 2}, Route: "lookup"}), 1)
}

// Load: the queue is full. The least urgent ask yields, late ones before all.
func TestFullQueueYieldsToTheMoreUrgent(t *testing.T) {
	b, _ := fleet(Config{MaxQueue: 3}, times, 1)
	fill(t, b, epoch)
	late := ask(Ask{Objective: ms, Deadline: second})
	first, low := ask(Ask{Organisation: "a"}), ask(Ask{Organisation: "a", Priority: 3})
	b.Ask(epoch, late)
	b.Ask(epoch, ask(Ask{Organisation: "a", Priority: 3}))
	b.Ask(epoch, low)
	d := b.Ask(epoch, first)
	require.Equal(t, late.ID, d[0].ID)
	require.Equal(t, Overloaded, d[0].Refusal)
	require.Equal(t, Queued, last(d).Kind)
	require.Equal(t, low.ID, b.Ask(epoch, ask(Ask{Organisation: "b"}))[0].ID)
	require.Equal(t, Overloaded, last(b.Ask(epoch, ask(Ask{Organisation: "a", Priority: 3}))).Refusal)
}

// Load: no place becomes free. A queued ask is told as soon as no answer can come in
// time, not at its deadline.
func TestAskIsRefusedWhenItsChanceHasPassed(t *testing.T) {
	b, _ := fleet(Config{}, times, 1)
	fill(t, b, epoch)
	a := ask(Ask{})
	b.Ask(epoch, a)
	require.Empty(t, b.Tick(epoch.Add(1474*ms)))
	d := b.Tick(epoch.Add(1475 * ms))
	require.Equal(t, DeadlineTooShort, d[0].Refusal)
	require.Empty(t, b.Cancel(epoch.Add(2*second), a.ID))
}

// Failure: gateways that disagree on the broker. The same list in any order gives the
// same ranks, and the loss of one gateway moves only what it had.
func TestRanksAgree(t *testing.T) {
	members := []Member{{VM: "a", Addr: "1", Small: true}, {VM: "b", Addr: "2"}, {VM: "c", Addr: "3"}, {VM: "d", Addr: "4"}}
	ranked := Ranked("s", "", 0, members)
	require.Equal(t, "a", ranked[3].VM, "small VMs are last")
	require.Equal(t, ranked, Ranked("s", "", 0, []Member{members[3], members[1], members[0], members[2]}))
	require.Equal(t, ranked[1:], Ranked("s", "", 0, ranked[1:]))
	require.Equal(t, []int{1, 1, 2}, []int{Shards(0), Shards(32), Shards(33)})
	require.Less(t, ShardOf("x", 3), 3)
}

func TestLoad(t *testing.T) {
	b, _ := fleet(Config{}, times, 1, 1)
	granted := fill(t, b, epoch)
	require.Equal(t, Refused, last(b.Ask(epoch, ask(Ask{Objective: 10 * ms, Deadline: 20 * ms}))).Kind)
	b.Report(epoch, done(granted[0]))
	require.Equal(t, Load{
		Refused: 1, AsksPerSecond: 13, Mean: 25 * ms,
		Domains: []DomainLoad{{"d0", 1, 6, 5}, {"d1", 1, 6, 6}},
	}, b.Load())
	b.Tick(epoch.Add(second))
	require.Zero(t, b.Load().Refused)
}

// Failure: an ask gets no decision, or two; a server gets more than its limit; an ask is
// refused while a place is free that it can use. Asks, reports, cancellations, lost
// gateways, servers that come, go and change come in any order.
func TestEachAskHasOneDecisionWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * ms)
			m.step()
		}
		m.now = m.now.Add(10 * second)
		m.apply(m.b.Tick(m.now))
		require.Empty(t, m.open, "asks without a decision")
		require.Empty(t, m.b.waiters)
		for l := range m.b.lanes {
			require.Zero(t, m.b.lanes[l].Waiting())
		}
		m.now = m.now.Add(10 * second)
		m.b.Tick(m.now)
		require.Empty(t, m.b.permits)
		require.Empty(t, m.b.orphans)
		require.Zero(t, m.b.callersShare+m.b.internalShare+m.b.takenOver)
		for _, s := range m.b.servers {
			require.Zero(t, s.inUse)
		}
	})
}

// model checks a broker's decisions against the asks that are open.
type model struct {
	t       *rapid.T
	b       *Broker
	e       *fakeEvidence
	now     time.Time
	number  uint64
	open    map[AskID]Ask // without a final decision; Deadline since epoch
	permits []Decision
}

func newModel(t *rapid.T) *model {
	b, e := fleet(Config{MaxQueue: rapid.IntRange(1, 12).Draw(t, "queue")}, times, 1, 1, 5)
	return &model{t: t, b: b, e: e, now: epoch, open: map[AskID]Ask{}}
}

func (m *model) step() {
	t := m.t
	gateway := rapid.SampledFrom([]string{"g1", "g2", "g3"}).Draw(t, "gateway")
	server := rapid.SampledFrom([]string{"s00", "s01", "s02", "s03"}).Draw(t, "server")
	m.number++
	switch op := rapid.IntRange(0, 15).Draw(t, "op"); {
	case op < 8:
		m.ask(gateway, server)
	case op < 11 && len(m.permits) > 0:
		i := rapid.IntRange(0, len(m.permits)-1).Draw(t, "permit")
		r := done(m.permits[i])
		r.Outcome = evidence.Outcome(rapid.IntRange(0, 5).Draw(t, "outcome"))
		m.permits = append(m.permits[:i], m.permits[i+1:]...)
		m.apply(m.b.Report(m.now, r))
	case op == 11:
		var oldest AskID
		for id := range m.open {
			if oldest.Number == 0 || id.Number < oldest.Number {
				oldest = id
			}
		}
		delete(m.open, oldest)
		m.apply(m.b.Cancel(m.now, oldest))
	case op == 12:
		for id := range m.open {
			if id.Gateway == gateway {
				delete(m.open, id)
			}
		}
		m.apply(m.b.Forget(m.now, gateway))
	case op == 13:
		m.e.standings[server] = evidence.Standing{
			Limit: rapid.IntRange(0, 8).Draw(t, "limit"), Pace: rapid.Float64Range(0, 9).Draw(t, "pace"),
			Ejected: rapid.Bool().Draw(t, "ejected"),
		}
	case op == 14:
		m.b.InUse(m.now, AskID{gateway, m.number}, server)
		var servers []Server
		for i := range rapid.IntRange(0, 4).Draw(t, "servers") {
			servers = append(servers, Server{ID: fmt.Sprintf("s%02d", i), Leaving: rapid.Bool().Draw(t, "leaving")})
		}
		m.apply(m.b.SetServers(m.now, servers))
	default:
		m.apply(m.b.Tick(m.now))
	}
}

func (m *model) ask(gateway, avoid string) {
	t := m.t
	a := Ask{
		ID: AskID{gateway, m.number}, Route: rapid.SampledFrom([]string{"lookup", "score", "new"}).Draw(t, "route"),
		Organisation: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "organisation"),
		Internal:     rapid.Bool().Draw(t, "internal"), Priority: rapid.IntRange(-1, 99).Draw(t, "priority"),
		Objective:  time.Duration(rapid.IntRange(-1, 900).Draw(t, "objective")) * ms,
		Deadline:   time.Duration(rapid.IntRange(-1, 3000).Draw(t, "deadline")) * ms,
		Repeatable: rapid.Bool().Draw(t, "repeatable"), NoWait: rapid.IntRange(0, 5).Draw(t, "wait") == 0,
	}
	if rapid.Bool().Draw(t, "avoids") {
		a.Avoid = []string{avoid}
	}
	due := a
	due.Deadline += m.now.Sub(epoch)
	m.open[a.ID] = due
	decisions := m.b.Ask(m.now, a)
	require.Equal(t, a.ID, last(decisions).ID)
	m.apply(decisions)
}

func (m *model) apply(decisions []Decision) {
	t := m.t
	for _, d := range decisions {
		a, ok := m.open[d.ID]
		require.True(t, ok, "decision on an ask that is not open: %+v", d)
		switch d.Kind {
		case Queued:
			continue
		case Granted:
			m.permits = append(m.permits, d)
			s := m.b.servers[m.b.index[d.Server]]
			require.LessOrEqual(t, s.inUse, m.e.standings[d.Server].Limit, "%+v", d)
		case Refused:
			require.GreaterOrEqual(t, d.RetryAfter, 20*ms)
			m.requireNoUsablePlace(a, d)
		}
		delete(m.open, d.ID)
	}
}

// requireNoUsablePlace fails if an ask was refused although a place is free at a server
// that is not slow, or at which the answer would be of use.
func (m *model) requireNoUsablePlace(a Ask, d Decision) {
	left := epoch.Add(a.Deadline).Sub(m.now)
	for _, s := range m.b.servers {
		pace := s.standing.Pace
		ofUse := pace <= m.b.capacity.slow || scale(times[a.Route], pace) <= left
		avoided := a.NoWait && (pace > m.b.capacity.slow || slices.Contains(a.Avoid, s.ID))
		if left > 0 && ofUse && !avoided && m.b.capacity.counts(&s) {
			require.GreaterOrEqual(m.t, s.inUse, s.standing.Limit, "%s has a free place: %+v", s.ID, d)
		}
	}
}

// Load: 32 servers whose places are all in use, 1,000 queued asks of 88 organisations.
func BenchmarkAskAndReport(bench *testing.B) {
	b, _ := fleet(Config{}, times, paces(32, 16, 6)...)
	now := epoch
	var running []Decision
	next := 0
	offer := func() {
		numbers++
		next++
		a := Ask{ID: AskID{fmt.Sprint("g", next%37), numbers}, Route: "lookup", Organisation: fmt.Sprint(next % 88), Objective: time.Hour, Deadline: time.Hour}
		for _, d := range b.Ask(now, a) {
			if d.Kind == Granted {
				running = append(running, d)
			}
		}
	}
	for b.Load().Waiting < 1000 {
		offer()
	}
	for bench.Loop() {
		now = now.Add(100 * time.Microsecond)
		d := running[0]
		running = running[1:]
		for _, g := range b.Report(now, done(d)) {
			if g.Kind == Granted {
				running = append(running, g)
			}
		}
		offer()
	}
	require.InDelta(bench, 1000, b.Load().Waiting, 10)
}
