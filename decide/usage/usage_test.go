package usage

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const length = 5 * time.Second

var limits = WaitLimits{Min: time.Second, Max: 6 * time.Second, AfterOutage: time.Second}

func TestWindowsFollowTheTimeOfDay(t *testing.T) {
	at := time.Unix(1_000_000_003, 0)
	w := WindowAt(at, length)
	require.Equal(t, Window(200_000_000), w)
	require.Equal(t, time.Unix(1_000_000_005, 0), w.End(length))
	require.Equal(t, w+1, WindowAt(w.End(length), length), "the end of a window is the start of the next one")
}

// Guards against a report that is made before all active processes have published their
// counts, and against one that is late because of a process that no longer publishes.
func TestWindowWaitsForPendingProcesses(t *testing.T) {
	complete, behind := Tally{Complete: 10}, Tally{Complete: 8}
	lost, terminated := Tally{Complete: 7}, Tally{Complete: 9, Ended: true}
	at := func(ended time.Duration) Age { return Age{SinceEnd: ended, SinceOutage: time.Hour} }
	require.True(t, Ready(10, 9, []Tally{complete, lost, terminated}, at(2*time.Second), limits))
	require.False(t, Ready(10, 9, []Tally{complete}, at(limits.Min/2), limits))
	require.False(t, Ready(10, 9, []Tally{complete, behind}, at(2*time.Second), limits))
	require.True(t, Ready(10, 9, []Tally{complete, behind}, at(limits.Max), limits))
}

// Guards against a window that is summed up right after the store is available again, before
// the processes could publish what they counted during the outage.
func TestWindowWaitsAfterAnOutage(t *testing.T) {
	tallies := []Tally{{Complete: 6}, {Complete: 7}}
	recovered := Age{SinceEnd: time.Hour, SinceOutage: limits.AfterOutage / 2}
	require.False(t, Ready(10, 7, tallies, recovered, limits))
	require.True(t, Ready(10, 7, []Tally{{Complete: 10}, {Complete: 12}}, recovered, limits))
	require.False(t, Ready(10, 7, nil, recovered, limits), "no process could publish yet")
	recovered.SinceOutage = limits.AfterOutage
	require.True(t, Ready(10, 7, tallies, recovered, limits))
}

func TestSumOfAllTallies(t *testing.T) {
	tallies := []Tally{
		{Windows: map[Window]Counts{10: {"a": 2, "b": 1}, 11: {"a": 5}}},
		{Ended: true, Windows: map[Window]Counts{10: {"a": 1}}},
		{},
	}
	require.Equal(t, Counts{"a": 3, "b": 1}, Sum(10, tallies))
	require.Equal(t, Counts{}, Sum(12, tallies), "a window without requests is reported too")
	require.False(t, tallies[0].Stale(11))
	require.True(t, tallies[1].Stale(11))
}

// Guards against counts that are overwritten by an older tally of the same process, which the
// store accepted late.
func TestTalliesOfAProcessAreMerged(t *testing.T) {
	older := Tally{Process: "a", Complete: 9, Windows: map[Window]Counts{10: {"shop": 1}}}
	newer := Tally{Process: "a", Complete: 10, Windows: map[Window]Counts{10: {"shop": 2, "town": 1}}}
	other := Tally{Process: "b", Complete: 10, Windows: map[Window]Counts{10: {"shop": 5}}}
	for _, tallies := range [][]Tally{{older, newer, other}, {newer, other, older}} {
		merged := Merge(tallies)
		require.Len(t, merged, 2)
		require.Equal(t, Counts{"shop": 7, "town": 1}, Sum(10, merged))
		require.True(t, Ready(10, 9, merged, Age{SinceEnd: 2 * time.Second}, limits))
	}
}

func TestTallyRoundTripsThroughJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tally := Tally{
			Complete: Window(rapid.Uint64().Draw(t, "complete")), Ended: rapid.Bool().Draw(t, "left"),
			Windows: map[Window]Counts{Window(rapid.Uint64().Draw(t, "window")): {rapid.String().Draw(t, "organisation"): rapid.Uint64().Draw(t, "n")}},
		}
		data, err := json.Marshal(tally)
		require.NoError(t, err)
		var read Tally
		require.NoError(t, json.Unmarshal(data, &read))
		again, err := json.Marshal(read)
		require.NoError(t, err)
		require.Equal(t, string(data), string(again))
	})
}
