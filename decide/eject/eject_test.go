package eject

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func serverNames(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("vm-%d", i)
	}
	return all
}

func addSamples(p *Pool, members []string, costs ...float64) {
	for range 5 {
		for i, name := range members {
			p.AddCost(name, costs[i])
			p.AddResult(name, false)
		}
	}
}

// One of six servers answers ten times slower than the others, and delays every
// request that it gets. It must be ejected, be put on probation after the base
// duration, and be ejected for twice as long if it is still slow.
func TestSlowServerIsEjectedThenOnProbation(t *testing.T) {
	p, members := New(Default), serverNames(6)
	addSamples(p, members, 1, 1, 1, 1.5, 0.8, 10)
	require.Equal(t, map[string]bool{"vm-5": true}, p.Evaluate(start, members))
	readmitted := start.Add(Default.Base)
	require.True(t, p.Evaluate(readmitted.Add(-1), members)["vm-5"])
	require.Empty(t, p.Evaluate(readmitted, members))
	addSamples(p, members, 1, 1, 1, 1.5, 0.8, 10)
	require.True(t, p.Evaluate(readmitted, members)["vm-5"])
	require.True(t, p.Evaluate(readmitted.Add(2*Default.Base-1), members)["vm-5"])
	recovered := readmitted.Add(2 * Default.Base)
	require.Empty(t, p.Evaluate(recovered, members))
	require.Empty(t, p.Evaluate(recovered.Add(Default.Probation+1), members))
	addSamples(p, members, 1, 1, 1, 1.5, 0.8, 10)
	last := recovered.Add(Default.Probation + 1)
	require.True(t, p.Evaluate(last, members)["vm-5"])
	require.Empty(t, p.Evaluate(last.Add(Default.Base), members), "after a completed probation the next ejection has the base duration")
}

func TestFailingServerIsEjected(t *testing.T) {
	p, members := New(Default), serverNames(4)
	for range 2 {
		p.AddResult("vm-2", true)
	}
	require.Empty(t, p.Evaluate(start, members), "two samples are too few")
	p.AddResult("vm-2", true)
	require.Equal(t, map[string]bool{"vm-2": true}, p.Evaluate(start, members))
}

// A network switch fails and half of the pool looks bad at once. If all of these
// servers were ejected, the others would be overloaded: most of the pool must stay
// in use.
func TestMaxShareIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := serverNames(rapid.IntRange(1, 30).Draw(t, "n"))
		p, now := New(Default), start
		for range rapid.IntRange(1, 20).Draw(t, "rounds") {
			for _, name := range members {
				if rapid.Bool().Draw(t, "failed") {
					p.AddResult(name, true)
					p.AddResult(name, true)
					p.AddResult(name, true)
				}
				p.AddCost(name, rapid.Float64Range(0.1, 100).Draw(t, "cost"))
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "s")) * time.Second)
			ejected := p.Evaluate(now, members)
			if float64(len(ejected)) > Default.MaxShare*float64(len(members)) {
				t.Fatalf("%d of %d ejected", len(ejected), len(members))
			}
		}
	})
}

func TestServersThatLeftAreForgotten(t *testing.T) {
	p := New(Default)
	addSamples(p, serverNames(6), 1, 1, 1, 1, 1, 1)
	p.Evaluate(start, serverNames(2))
	require.Len(t, p.members, 2)
}
