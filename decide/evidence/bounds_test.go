package evidence_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/decide/evidence"
)

// ejectedForAll returns the servers that are ejected for all.
func ejectedForAll(p *evidence.Pool, now time.Time) (ids []string) {
	for _, r := range p.Report(now) {
		if !r.EjectedSince.IsZero() {
			ids = append(ids, r.Server)
		}
	}
	return ids
}

// Failure: five of six servers fail, the last one worst; then two that are in order leave.
// More than two thirds ejected would overload the others.
func TestAThirdOfTheServersStays(t *testing.T) {
	p := evidence.New(evidence.Default)
	p.SetServers(start, servers(6))
	for i := range 6 {
		report(p, start, serverID(i), evidence.Answered, 8)
	}
	for i := range 4 {
		report(p, start, serverID(i), evidence.Failed, 8)
	}
	require.Equal(t, []string{"s00", "s01", "s02", "s03"}, ejectedForAll(p, start))
	report(p, start, "s04", evidence.Failed, 16)
	require.Equal(t, []string{"s01", "s02", "s03", "s04"}, ejectedForAll(p, start), "the worst first")
	p.SetServers(start, servers(5)[1:])
	require.Equal(t, []string{"s03", "s04"}, ejectedForAll(p, start))
}

// Whatever is reported, a third of the servers is never ejected for all, and limits stay
// between 1 and the server's slots and pipeline.
func TestBoundsHoldForAnyReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := evidence.New(evidence.Default), start
		n := rapid.IntRange(1, 10).Draw(t, "servers")
		p.SetServers(now, servers(n))
		for run := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 20).Draw(t, "change") == 0 {
				n = rapid.IntRange(1, 10).Draw(t, "servers")
				list := servers(n)
				list[0].ID = fmt.Sprintf("run%d", run)
				p.SetServers(now, list)
			}
			sample := evidence.Sample{
				Server:  serverID(rapid.IntRange(0, 10).Draw(t, "server")),
				Route:   fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "route")),
				Took:    time.Duration(rapid.Int64Range(-1, int64(time.Minute)).Draw(t, "took")),
				Outcome: evidence.Outcome(rapid.IntRange(0, 6).Draw(t, "outcome")),
			}
			for range rapid.IntRange(1, 16).Draw(t, "samples") {
				sample.Reporter = gateway(rapid.IntRange(0, 4).Draw(t, "gateway"))
				p.Record(now, sample)
			}
			checkBounds(t, p, now, n)
		}
	})
}

func checkBounds(t *rapid.T, p *evidence.Pool, now time.Time, n int) {
	for _, r := range p.Report(now) {
		for g := range 5 {
			standing := p.Standing(now, r.Server, gateway(g))
			if standing.Limit < 1 || standing.Limit > fullLimit || !(standing.Pace > 0) {
				t.Fatalf("%s: %+v", r.Server, standing)
			}
		}
	}
	if ejected := len(ejectedForAll(p, now)); 3*(n-ejected) < n {
		t.Fatalf("%d of %d ejected for all", ejected, n)
	}
	require.Equal(t, 1, p.Standing(now, "unknown", "g00").Limit)
}

// heapBytes returns the bytes of live objects.
func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Load: 1,000 gateways with trouble at 32 servers, 10,000 routes and names that never
// return. State must not grow with them.
func TestStateIsBounded(t *testing.T) {
	const bound = 2 << 20 // of the 64 MB that control may cost a process
	before := heapBytes()
	p, now := evidence.New(evidence.Default), start
	for i := range 100_000 {
		if i%100 == 0 {
			list := servers(32)
			list[0].ID, list[0].Name = fmt.Sprint("id", i), fmt.Sprint("name", i)
			p.SetServers(now, list)
			report(p, now, list[0].ID, evidence.Unreachable, 4)
		}
		now = now.Add(time.Millisecond)
		outcome := evidence.Outcome(1 + i%5)
		p.Record(now, evidence.Sample{
			Server: serverID(i % 32), Reporter: fmt.Sprint("gateway-", i/7%1000), Route: fmt.Sprint("/route/", i%10_000), Took: workTime, Outcome: outcome,
		})
	}
	used := heapBytes() - before
	t.Log("bytes", used)
	require.Less(t, used, uint64(bound))
	runtime.KeepAlive(p)
}

func BenchmarkRecord(b *testing.B) {
	l := newLoad(16, 1)
	l.failing(0.02, func(string, string) bool { return true })
	l.run(10 * time.Second)
	samples := make([]evidence.Sample, 1024)
	for i := range samples {
		to, from := serverID(i%16), gateway(l.rand.IntN(gateways))
		outcome, took := l.answer(to, from)
		samples[i] = evidence.Sample{Server: to, Reporter: from, Route: "book", Took: took, Outcome: outcome}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.now = l.now.Add(10 * time.Millisecond)
		l.pool.Record(l.now, samples[i%len(samples)])
	}
}

func BenchmarkStanding(b *testing.B) {
	l := newLoad(16, 1)
	l.failing(1, func(_, from string) bool { return from == "g01" })
	l.run(10 * time.Second)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.pool.Standing(l.now, l.list[i%16].ID, "g01")
	}
}
