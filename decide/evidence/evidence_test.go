package evidence_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/evidence"
	"dandelionsill.org/decide/permits"
)

var _ permits.Evidence = (*evidence.Pool)(nil)

// bystander is a gateway that reports little.
var bystander = gateway(gateways - 1)

// timeToEject returns how long it takes until a server that begins to fail a share of its
// requests after 5 s of health is ejected for a bystander, and how many requests it got.
func timeToEject(seed uint64, share float64) (time.Duration, int) {
	l := newLoad(16, seed)
	l.run(5 * time.Second)
	l.failing(share, is("s03"))
	begin, before := l.now, l.sent["s03"]
	for !l.pool.Standing(l.now, "s03", bystander).Ejected {
		l.step()
	}
	return l.now.Sub(begin), l.sent["s03"] - before
}

// Load: 100 calls/s over 16 servers. Failure: a server fails 45 % of its requests while
// its health check is good.
func TestServerThatFailsPartIsEjectedWithinASecond(t *testing.T) {
	var times []time.Duration
	for seed := range uint64(101) {
		took, _ := timeToEject(seed, 0.45)
		times = append(times, took)
	}
	slices.Sort(times)
	median := times[len(times)/2]
	t.Log("median", median, "longest", times[len(times)-1])
	require.LessOrEqual(t, median, time.Second)
}

// Load: 100 calls/s over 16 servers. Failure: a server answers health checks and fails all
// requests.
func TestServerThatFailsAllIsEjectedAfterFewRequests(t *testing.T) {
	for seed := range uint64(101) {
		_, requests := timeToEject(seed, 1)
		require.LessOrEqual(t, requests, 6, "seed %d", seed)
	}
}

// Load: 100 calls/s over 16 servers. Failure: two servers go down and up by turns.
func TestFlappingServersReturnSlowlyAndGetFewRequests(t *testing.T) {
	l := newLoad(16, 1)
	flapping := func(server, _ string) bool { return server <= "s01" && l.now.Unix()%8 < 4 }
	l.failing(1, flapping)
	var returns, failed, wasOut int
	for l.now.Before(start.Add(time.Minute)) {
		out := 0
		for _, id := range []string{"s00", "s01"} {
			if l.pool.Standing(l.now, id, bystander).Ejected {
				out++
			}
		}
		returns += max(wasOut-out, 0)
		wasOut = out
		down := flapping("s00", "")
		before := l.sent["s00"] + l.sent["s01"]
		l.step()
		if down {
			failed += l.sent["s00"] + l.sent["s01"] - before
		}
	}
	t.Log("returns", returns, "failed requests", failed)
	require.LessOrEqual(t, returns, 2*12, "a pause of 10 s at most")
	require.LessOrEqual(t, failed, 5*(returns+2))
}

// Load: 33 calls/s to each of three servers. Failure: one is eight times slower.
func TestTypicalTimeIsThatOfTheFastServers(t *testing.T) {
	l := newLoad(3, 1)
	l.turn = 2 // the slow server answers first
	l.answer = func(server, _ string) (evidence.Outcome, time.Duration) {
		if server == "s00" {
			return evidence.Answered, l.time(8)
		}
		return evidence.Answered, l.time(1)
	}
	l.run(2 * time.Second)
	require.InEpsilon(t, workTime, l.pool.TypicalTime("book"), 0.3)
	require.Equal(t, []string{"s00"}, l.ejected(bystander))
	require.InEpsilon(t, 1, l.pool.Standing(l.now, "s01", bystander).Pace, 0.3)
}

// Load: 33 calls/s to each of three servers. Failure: one is four times slower; its
// answers can still be in time.
func TestSlowServerKeepsPlacesWithAHighPace(t *testing.T) {
	l := newLoad(3, 1)
	l.answer = func(server, _ string) (evidence.Outcome, time.Duration) {
		if server == "s00" {
			return evidence.Answered, l.time(4)
		}
		return evidence.Answered, l.time(1)
	}
	for range 500 {
		l.step()
		require.Empty(t, l.ejected(bystander))
	}
	standing := l.pool.Standing(l.now, "s00", bystander)
	require.InEpsilon(t, 4, standing.Pace, 0.4)
	require.Equal(t, fullLimit, standing.Limit)
	later := l.pool.Standing(l.now.Add(time.Minute), "s00", bystander)
	require.InDelta(t, 1, later.Pace, 0.1, "without samples it is tried again")
}

// Load: 100 calls/s over 16 servers. Failure: a gateway with a fifth of the calls reports
// each as failed, while one in a hundred of the others' really fails.
func TestGatewayThatLiesEjectsNoServerForOthers(t *testing.T) {
	ejected := func(liar string) (sum int) {
		for seed := range uint64(10) {
			l := newLoad(16, seed)
			l.answer = func(_, from string) (evidence.Outcome, time.Duration) {
				if from == liar || l.rand.Float64() < 0.01 {
					return evidence.Failed, time.Millisecond
				}
				return evidence.Answered, l.time(1)
			}
			for l.now.Before(start.Add(30 * time.Second)) {
				l.step()
				sum += len(l.ejected(bystander))
			}
		}
		return sum
	}
	honest, lying := ejected("nobody"), ejected("g01")
	t.Log("servers ejected, summed over calls:", honest, lying)
	require.Less(t, lying, 2*honest)

	l := newLoad(16, 1)
	l.failing(1, func(_, from string) bool { return from == "g01" })
	for range 5000 {
		l.step()
		require.Empty(t, l.ejected(bystander))
	}
}

// Load: 100 calls/s over 16 servers. Failure: one owner can't connect to half of them, or
// all its connections to them break.
func TestBadLinkEjectsForItsGatewayOnly(t *testing.T) {
	for _, outcome := range []evidence.Outcome{evidence.Unreachable, evidence.Failed} {
		l := newLoad(16, 1)
		cut := func(server, from string) bool { return from == "g02" && server < "s08" }
		failed := 0
		l.answer = func(server, from string) (evidence.Outcome, time.Duration) {
			if cut(server, from) {
				failed++
				return outcome, time.Millisecond
			}
			return evidence.Answered, l.time(1)
		}
		for l.now.Before(start.Add(20 * time.Second)) {
			l.step()
			require.Empty(t, l.ejected(bystander))
			for _, r := range l.pool.Report(l.now) {
				require.GreaterOrEqual(t, r.Limit, slots)
			}
		}
		t.Log("failed requests", failed, "of", 22*20, "from the gateway")
		require.NotEmpty(t, l.ejected("g02"))
		require.LessOrEqual(t, failed, 8*8, "two at first and one after 1, 2, 4, 8 and 10 s")
	}
}

// Load: 100 calls/s over 16 servers. Failure: two owners' VMs are ten times slower, so
// that all servers seem slow to them.
func TestSlowGatewaysAreSoonDistrusted(t *testing.T) {
	l := newLoad(16, 1)
	l.answer = func(_, from string) (evidence.Outcome, time.Duration) {
		if from <= "g01" {
			return evidence.Answered, l.time(10)
		}
		return evidence.Answered, l.time(1)
	}
	l.run(5 * time.Second) // three times of each server to each owner
	for range 3000 {
		l.step()
		require.Empty(t, l.ejected(bystander))
	}
	require.Less(t, l.pool.Standing(l.now, "s00", bystander).Pace, 2.0)
}

// Load: 100 calls/s over 16 servers. Failure: one owner's link to half of them is ten
// times slower. The servers' pace for others stays.
func TestSlowLinkIsNoServersPace(t *testing.T) {
	l := newLoad(16, 1)
	l.answer = func(server, from string) (evidence.Outcome, time.Duration) {
		if from == "g01" && server < "s08" {
			return evidence.Answered, l.time(10)
		}
		return evidence.Answered, l.time(1)
	}
	l.run(5 * time.Second)
	for range 3000 {
		l.step()
		require.Empty(t, l.ejected(bystander))
		require.Less(t, l.pool.Standing(l.now, "s00", bystander).Pace, 2.0)
	}
}

// Load: 100 calls/s over 16 servers. Failure: the five of one failure domain fail at once.
func TestServersOfAFailureDomainAreEjectedTogether(t *testing.T) {
	for _, outcome := range []evidence.Outcome{evidence.Failed, evidence.Unreachable} {
		l := newLoad(16, 1)
		l.run(5 * time.Second)
		l.answer = func(server, _ string) (evidence.Outcome, time.Duration) {
			if server < "s05" {
				return outcome, time.Millisecond
			}
			return evidence.Answered, l.time(1)
		}
		failed := l.sent["s00"]
		l.run(time.Second)
		require.Equal(t, []string{"s00", "s01", "s02", "s03", "s04"}, l.ejected(bystander))
		require.LessOrEqual(t, l.sent["s00"]-failed, 6)
	}
}

// Load: more than the service can do; 40 % of the requests fail at all servers alike.
// Ejecting some would overload the others more.
func TestOverloadEjectsFewServers(t *testing.T) {
	l := newLoad(16, 1)
	l.failing(0.4, func(string, string) bool { return true })
	steps, forAll, forOwner := 0, 0, 0
	for l.now.Before(start.Add(30 * time.Second)) {
		l.step()
		steps++
		forAll += len(l.ejected(bystander))
		forOwner += len(l.ejected("g00"))
	}
	t.Log("servers ejected on average", float64(forAll)/float64(steps), float64(forOwner)/float64(steps))
	require.Less(t, forAll, 4*steps, "a quarter of the servers")
	require.Less(t, forOwner, 4*steps, "a quarter of the servers")
}

// Load: 100 calls/s over 16 servers. A release replaces all incarnations one after the
// other; the names stay.
func TestReleaseLeavesCapacity(t *testing.T) {
	l := newLoad(16, 1)
	l.run(2 * time.Second)
	for i := range l.list {
		l.list[i].ID = fmt.Sprintf("new%02d", i)
		l.pool.SetServers(l.now, l.list)
		places := 0
		for _, s := range l.list {
			places += l.pool.Standing(l.now, s.ID, bystander).Limit
		}
		require.GreaterOrEqual(t, places, 16*slots)
		l.run(500 * time.Millisecond)
	}
	require.Empty(t, l.ejected(bystander))
}

// report records samples of two gateways that take turns.
func report(p *evidence.Pool, now time.Time, server string, o evidence.Outcome, n int) {
	for i := range n {
		p.Record(now, evidence.Sample{Server: server, Reporter: gateway(i % 2), Route: "book", Took: workTime, Outcome: o})
	}
}

// Failure: a server fails, restarts under its name and fails again. Each new incarnation
// must prove itself, and a name that fails again and again waits longer.
func TestNewIncarnationOfAFailedNameIsOnProbation(t *testing.T) {
	p, now := evidence.New(evidence.Default), start
	incarnation := func(id string) {
		p.SetServers(now, []evidence.Server{{ID: id, Name: "vm", Slots: slots}, {ID: "o", Name: "o", Slots: slots}})
	}
	incarnation("a")
	report(p, now, "a", evidence.Answered, 2)
	report(p, now, "a", evidence.Failed, 4)
	require.True(t, p.Standing(now, "a", bystander).Ejected)

	now = now.Add(500 * time.Millisecond)
	incarnation("b")
	standing := p.Standing(now, "b", bystander)
	require.False(t, standing.Ejected)
	require.Equal(t, 1, standing.Limit)
	now = now.Add(workTime)
	report(p, now, "b", evidence.Answered, 2)
	require.Equal(t, 1, p.Standing(now, "b", bystander).Limit)
	report(p, now, "b", evidence.Answered, 1)
	require.Equal(t, fullLimit, p.Standing(now, "b", bystander).Limit)

	report(p, now, "b", evidence.Failed, 4)
	now = now.Add(time.Second)
	incarnation("c")
	require.True(t, p.Standing(now, "c", bystander).Ejected, "the second ejection lasts 2 s")
	now = now.Add(time.Second)
	require.False(t, p.Standing(now, "c", bystander).Ejected)
	now = now.Add(evidence.Default.RestartProbation)
	incarnation("d")
	require.Equal(t, slots, p.Standing(now, "d", bystander).Limit, "forgotten")
}

// Load: a server with full queues refuses each request that it gets. Its limit falls at
// most once in a typical time, not below 1, and rises with answers.
func TestRefusalsLowerTheLimit(t *testing.T) {
	p, now := evidence.New(evidence.Default), start
	p.SetServers(now, servers(1))
	limit := func() int { return p.Standing(now, "s00", bystander).Limit }
	require.Equal(t, slots, limit())
	report(p, now, "s00", evidence.Answered, 40)
	require.Equal(t, fullLimit, limit())
	report(p, now, "s00", evidence.Refused, 4)
	require.Equal(t, 4, limit())
	for range 20 {
		now = now.Add(workTime)
		report(p, now, "s00", evidence.Refused, 2)
	}
	require.Equal(t, 1, limit())
	report(p, now, "s00", evidence.Answered, 40)
	require.Equal(t, fullLimit, limit())
	for range 100 {
		p.Record(now, evidence.Sample{Server: "s00", Reporter: gateway(0), Route: "book", Outcome: evidence.Refused})
	}
	require.GreaterOrEqual(t, limit(), 5, "one gateway's refusals count once")
	report(p, now, "s00", evidence.Unreachable, 2)
	require.Equal(t, 1, limit())
	report(p, now, "s00", evidence.Answered, 1)
	require.Greater(t, limit(), 1)
}

// Failure: a server answers 500 at once, or its requests are given up on; neither makes it
// look fast, and being given up on late makes it look slow.
func TestTimesWithoutAnAnswerAreLowerBounds(t *testing.T) {
	p := evidence.New(evidence.Default)
	p.SetServers(start, servers(3))
	for i := range 3 {
		report(p, start, serverID(i), evidence.Answered, 10)
	}
	pace := func() float64 { return p.Standing(start, "s00", bystander).Pace }
	before := pace()
	for _, o := range []evidence.Outcome{evidence.Failed, evidence.Abandoned} {
		p.Record(start, evidence.Sample{Server: "s00", Reporter: "g00", Route: "book", Took: workTime / 10, Outcome: o})
		require.Equal(t, before, pace())
	}
	p.Record(start, evidence.Sample{Server: "s00", Reporter: "g00", Route: "book", Took: 4 * workTime, Outcome: evidence.Abandoned})
	require.Greater(t, pace(), before)
}

// Load: one gateway alone uses the service, so its word counts for all; once a second one
// uses it too, that one may try the servers itself.
func TestWordOfTheOnlyUserCounts(t *testing.T) {
	p := evidence.New(evidence.Default)
	p.SetServers(start, servers(3))
	for range 4 {
		p.Record(start, evidence.Sample{Server: "s00", Reporter: "g00", Route: "book", Outcome: evidence.Failed})
	}
	require.True(t, p.Standing(start, "s00", bystander).Ejected)
	reports := p.Report(start)
	require.Len(t, reports, 3)
	require.Equal(t, start, reports[0].EjectedSince)
	require.Equal(t, "failing", reports[0].Reason)
	require.Equal(t, 4, reports[0].Samples)
	require.Equal(t, 1, reports[0].Reporters)
	p.Record(start, evidence.Sample{Server: "s01", Reporter: "g01", Route: "book", Took: workTime, Outcome: evidence.Answered})
	require.Equal(t, 1, p.Standing(start, "s00", bystander).Limit)
	require.False(t, p.Standing(start, "s00", bystander).Ejected)
}

// Load: places are short, and some servers are ejected. One that answers part of its requests,
// or slowly, may help out; one that answers nothing may not.
func TestEjectedServersThatAnswerMayHelpOut(t *testing.T) {
	p, now := evidence.New(evidence.Default), start
	p.SetServers(now, servers(6))
	for _, s := range []string{"s02", "s03", "s04", "s05"} {
		report(p, now, s, evidence.Answered, 8)
	}
	for range 4 {
		report(p, now, "s00", evidence.Failed, 2)
		report(p, now, "s00", evidence.Answered, 2)
		report(p, now, "s01", evidence.Failed, 2)
	}
	partial, dead := p.Standing(now, "s00", bystander), p.Standing(now, "s01", bystander)
	require.True(t, partial.Ejected)
	require.True(t, dead.Ejected)
	require.Equal(t, slots, partial.LastResort)
	require.Zero(t, dead.LastResort)
	require.Zero(t, p.Standing(now, "s02", bystander).LastResort)

	for range 8 {
		for i := range 2 {
			p.Record(now, evidence.Sample{Server: "s02", Reporter: gateway(i), Route: "book", Took: 20 * workTime, Outcome: evidence.Abandoned})
		}
	}
	slow := p.Standing(now, "s02", bystander)
	require.True(t, slow.Ejected)
	require.Equal(t, slots, slow.LastResort, "it answers nobody in time, but some at all")
}
