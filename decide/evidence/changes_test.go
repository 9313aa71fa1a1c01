package evidence

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Failure: a server fails every request, then works again. Operators are told each change
// of belief once, in order.
func TestChangesOfAServerThatFailsAndRecovers(t *testing.T) {
	p := New(Default)
	now := time.Unix(1_000_000, 0)
	p.SetServers(now, []Server{{ID: "a", Name: "a", Slots: 4}, {ID: "b", Name: "b", Slots: 4}, {ID: "c", Name: "c", Slots: 4}})
	before := p.Report(now)
	var told []Change
	step := func(o Outcome) {
		now = now.Add(50 * time.Millisecond)
		for _, gateway := range []string{"g1", "g2"} {
			p.Record(now, Sample{Server: "b", Reporter: gateway, Route: "r", Took: 20 * time.Millisecond, Outcome: o})
			p.Record(now, Sample{Server: "a", Reporter: gateway, Route: "r", Took: 20 * time.Millisecond, Outcome: Answered})
		}
		after := p.Report(now)
		for _, c := range Changes(before, after) {
			require.Equal(t, "b", c.Server)
			told = append(told, c.Change)
		}
		before = after
	}
	for range 10 {
		step(Failed)
	}
	require.Equal(t, []Change{NowEjected}, told)
	require.Equal(t, reasonFailing, before[1].Reason)
	require.Positive(t, before[1].Samples)
	require.Equal(t, 2, before[1].Reporters)

	now = before[1].EjectedUntil
	for range 10 {
		step(Answered)
	}
	require.Equal(t, []Change{NowEjected, NowOnProbation, NowTrusted}, told)
}

// Guards against changes that are told for servers which haven't changed, or not at all.
func TestEachChangeIsTold(t *testing.T) {
	since, later := time.Unix(1, 0), time.Unix(2, 0)
	full := ServerReport{Server: "s", Slots: 4, Limit: 6}
	limited := ServerReport{Server: "s", Slots: 4, Limit: 2}
	ejected := ServerReport{Server: "s", Slots: 4, Limit: 1, EjectedSince: since, EjectedUntil: later, Probation: 3}
	again := ServerReport{Server: "s", Slots: 4, Limit: 1, EjectedSince: later, EjectedUntil: later, Probation: 3}
	probation := ServerReport{Server: "s", Slots: 4, Limit: 1, Probation: 2}
	alone := ServerReport{Server: "s", Slots: 4, Limit: 4, EjectedFor: 1}
	for _, test := range []struct {
		before, after ServerReport
		want          Change
	}{
		{full, full, 0}, {full, limited, NowLimited}, {limited, full, NowUnlimited}, {limited, limited, 0},
		{full, ejected, NowEjected}, {ejected, ejected, 0}, {ejected, again, NowEjected}, {probation, ejected, NowEjected},
		{ejected, probation, NowOnProbation}, {probation, probation, 0}, {probation, full, NowTrusted}, {probation, limited, NowTrusted},
		{full, alone, NowEjectedForSome}, {alone, alone, 0}, {alone, full, 0}, {ejected, full, NowTrusted},
	} {
		var got Change
		for _, c := range Changes([]ServerReport{test.before}, []ServerReport{{Server: "r", Slots: 1, Limit: 1}, test.after}) {
			got = c.Change
		}
		require.Equal(t, test.want, got, "%+v %+v", test.before, test.after)
	}
	require.Len(t, Changes(nil, []ServerReport{probation}), 1, "a new incarnation on probation")
	require.Empty(t, Changes([]ServerReport{full}, nil), "a server that is gone")
	gone := Changes([]ServerReport{{Server: "r", Probation: 1}, full}, []ServerReport{full, {Server: "t", Slots: 1, Limit: 1}})
	require.Len(t, gone, 1)
	require.Equal(t, []any{NowGone, "r"}, []any{gone[0].Change, gone[0].Server})
}
