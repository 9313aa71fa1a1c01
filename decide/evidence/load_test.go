package evidence_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dandelionsill.org/decide/evidence"
)

var start = time.Unix(1000, 0)

const (
	slots     = 6
	fullLimit = slots + 1
	workTime  = 25 * time.Millisecond
)

func serverID(i int) string { return fmt.Sprintf("s%02d", i) }

func gateway(i int) string { return fmt.Sprintf("g%02d", i) }

func servers(n int) []evidence.Server {
	list := make([]evidence.Server, n)
	for i := range list {
		list[i] = evidence.Server{ID: serverID(i), Name: serverID(i), Slots: slots}
	}
	return list
}

// load sends requests as a broker would: to a server that isn't ejected, one after the
// other, at a rate, from gateways in the shares of a deployment with trainers: four own
// most calls, the others have few.
type load struct {
	pool   *evidence.Pool
	now    time.Time
	rand   *rand.Rand
	list   []evidence.Server
	turn   int
	answer func(server, gateway string) (evidence.Outcome, time.Duration)
	sent   map[string]int // requests by server
}

const (
	callsPerSecond    = 12 // over gateways
	ownCallsPerSecond = 88 // from owners
	gateways, owners  = 41, 4
)

func newLoad(n int, seed uint64) *load {
	l := &load{pool: evidence.New(evidence.Default), now: start, list: servers(n), sent: map[string]int{}}
	l.rand = rand.New(rand.NewPCG(seed, 1))
	l.answer = func(string, string) (evidence.Outcome, time.Duration) { return evidence.Answered, l.time(1) }
	l.pool.SetServers(l.now, l.list)
	return l
}

// time returns a time around that many typical ones.
func (l *load) time(pace float64) time.Duration {
	return time.Duration((0.5 + l.rand.Float64()) * pace * float64(workTime))
}

func (l *load) step() {
	all := callsPerSecond + ownCallsPerSecond
	l.now = l.now.Add(time.Duration(l.rand.ExpFloat64() * float64(time.Second) / float64(all)))
	from := gateway(l.rand.IntN(owners))
	if l.rand.IntN(all) < callsPerSecond {
		from = gateway(l.rand.IntN(gateways))
	}
	to := l.pick(from)
	l.sent[to]++
	outcome, took := l.answer(to, from)
	l.pool.Record(l.now, evidence.Sample{Server: to, Reporter: from, Route: "book", Took: took, Outcome: outcome})
}

// pick returns the next server that isn't ejected, or else the next one.
func (l *load) pick(from string) string {
	for range l.list {
		l.turn++
		id := l.list[l.turn%len(l.list)].ID
		if !l.pool.Standing(l.now, id, from).Ejected {
			return id
		}
	}
	l.turn++
	return l.list[l.turn%len(l.list)].ID
}

func (l *load) run(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); {
		l.step()
	}
}

// ejected returns the servers that are ejected for a gateway.
func (l *load) ejected(from string) []string {
	var out []string
	for _, s := range l.list {
		if l.pool.Standing(l.now, s.ID, from).Ejected {
			out = append(out, s.ID)
		}
	}
	return out
}

// failing makes the servers for which bad is true fail a share of their requests.
func (l *load) failing(share float64, bad func(server, gateway string) bool) {
	l.answer = func(server, gateway string) (evidence.Outcome, time.Duration) {
		if bad(server, gateway) && l.rand.Float64() < share {
			return evidence.Failed, 2 * time.Millisecond
		}
		return evidence.Answered, l.time(1)
	}
}

func is(id string) func(string, string) bool {
	return func(server, _ string) bool { return server == id }
}
