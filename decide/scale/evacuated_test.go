package scale_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/scale"
	"dandelionsill.org/decide/table"
)

// changesOf counts the changes of a failure domain's number.
func (f *fleet) changesOf(domain string) int {
	n := 0
	for _, c := range f.changes {
		if c.target.Domain == domain {
			n++
		}
	}
	return n
}

// Load: a failure domain of three is evacuated at a demand that the two others can't serve. Guards against
// its share that nobody orders elsewhere, against orders for it, also after its machines are switched off, and
// against a number that goes up and down once it is back.
func TestShareOfEvacuatedDomainGoesElsewhere(t *testing.T) {
	for _, off := range []bool{false, true} {
		f := newFleet(8, "a", "b", "c")
		f.play(60, constant(80))
		before, changed := f.target("b"), f.changesOf("a")
		f.evacuated["a"] = true
		f.play(2, constant(80))
		require.Greater(t, f.target("b"), before, "at once")
		f.cut["a"] = off
		f.play(100, constant(80))
		require.Zero(t, f.short)
		require.Equal(t, changed, f.changesOf("a"))
		require.LessOrEqual(t, f.target("b"), bounds.Max)
		f.evacuated["a"], f.cut["a"] = false, false
		f.play(300, constant(80))
		require.Equal(t, before, f.target("b"))
		require.Zero(t, f.short)
		var ups, downs int
		for _, c := range f.changes {
			switch {
			case c.target.Domain != "b":
			case c.target.To > c.target.From:
				ups++
				require.Zero(t, downs, "up again after a step down")
			default:
				downs++
			}
		}
		require.Equal(t, 1, ups)
	}
}

// Load: evacuated and taken back every few seconds. Guards against servers that are ordered and taken away
// each time.
func TestEvacuationsInQuickSeriesDoNotFlap(t *testing.T) {
	f := newFleet(8, "a", "b", "c")
	f.play(60, constant(80))
	start := len(f.changes)
	for second := range 60 {
		f.evacuated["a"] = second%6 < 3
		f.play(1, constant(80))
	}
	require.LessOrEqual(t, len(f.changes)-start, 2, "the two others grow once")
}

// Failure: all failure domains are evacuated, or all but one that is lost; an unknown one is evacuated; the
// bounds change meanwhile. Guards against any order in an evacuated one.
func TestNothingIsOrderedInEvacuatedDomains(t *testing.T) {
	f := newFleet(8, "a", "b")
	f.play(60, constant(60))
	f.evacuated["a"], f.evacuated["b"] = true, true
	plan := f.tick(f.load(200))
	require.Equal(t, []string{"a", "b"}, plan.Evacuated)
	before, kept := len(f.changes), f.target("a")
	f.bounds = table.Scaling{Min: 12, Max: 20, Boot: boot}
	f.play(60, constant(200))
	require.Len(t, f.changes, before)
	f.evacuated["b"], f.cut["b"] = false, true
	f.play(20, constant(200))
	require.Equal(t, 20, f.target("b"), "nowhere else to go")
	require.Equal(t, kept, f.target("a"))
	load := f.load(10)
	load.Domains["nowhere"] = scale.Domain{Evacuated: true}
	for _, target := range f.tick(load).Targets {
		require.NotEqual(t, "nowhere", target.Domain)
	}
}
