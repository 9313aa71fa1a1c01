package jobs

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func dataOf(events []Event) []string {
	var out []string
	for _, e := range events {
		out = append(out, e.Data)
	}
	return out
}

func progress(claim uint64, run, from int, data ...string) *TextRecord {
	p := Progress{Item: "a", Run: run, From: from}
	for _, d := range data {
		p.Events = append(p.Events, Event{Data: d, Version: 1})
	}
	return &TextRecord{Writer: ann, Job: "j", Claim: claim, Progress: []Progress{p}}
}

// An owner dies with a sample half made; its successor goes on behind the
// events in the log. A record that comes twice, or one that skips events, must
// leave the text whole, or pieces would be missing or doubled.
func TestProgressAppendsWithoutGaps(t *testing.T) {
	s := NewTexts("j")
	best := func() []string { return dataOf(s.LongestOutput("a", 1).Events) }
	s.Apply(progress(0, 0, 0, "1", "2"))
	s.Apply(progress(0, 0, 3, "4"))
	require.Equal(t, []string{"1", "2"}, best(), "a gap")
	s.Apply(progress(0, 0, 1, "2", "3"))
	s.Apply(progress(0, 0, 0, "1", "2"))
	require.Equal(t, []string{"1", "2", "3"}, best(), "overlap and repeat")
	s.Apply(progress(0, 1, 0, "x"))
	s.Apply(progress(0, 0, 3, "4"))
	require.Equal(t, []string{"x"}, best(), "a late record of the run before")
	other := progress(0, 1, 1, "y")
	other.Job = "k"
	s.Apply(other)
	require.Equal(t, []string{"x"}, best(), "another job's record")
}

// An owner was frozen, lost its job and goes on writing as it wakes. Its text
// and its successor's stay apart; the longer one counts.
func TestTextsOfTwoOwnersAreNotMixed(t *testing.T) {
	s := NewTexts("j")
	s.Apply(progress(0, 0, 0, "1", "2"))
	s.Apply(progress(7, 0, 0, "1", "2", "b3"))
	s.Apply(progress(0, 0, 2, "a3", "a4", "a5"))
	require.Equal(t, []string{"1", "2", "a3", "a4", "a5"}, dataOf(s.LongestOutput("a", 1).Events))
	s.Apply(progress(7, 0, 3, "b4", "b5", "b6"))
	require.Equal(t, []string{"1", "2", "b3", "b4", "b5", "b6"}, dataOf(s.LongestOutput("a", 1).Events))
}

// Text that older weights made than the step allows is of no use.
func TestStaleTextIsExcluded(t *testing.T) {
	s := NewTexts("j")
	r := progress(0, 0, 0, "1", "2")
	r.Progress[0].Failures = 2
	s.Apply(r)
	require.Empty(t, s.LongestOutput("a", 2).Events)
	require.Equal(t, 2, s.LongestOutput("a", 2).Failures, "failures count all the same")
	require.Empty(t, s.LongestOutput("b", 1).Events)
}

// Whatever records come, in whatever order: each claim's text is a prefix of
// one run's events.
func TestTextHasEventsOfOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewTexts("j")
		for range rapid.IntRange(0, 30).Draw(t, "records") {
			claim := rapid.Uint64Range(0, 2).Draw(t, "claim")
			run, from := rapid.IntRange(0, 2).Draw(t, "run"), rapid.IntRange(0, 6).Draw(t, "from")
			var data []string
			for n := range rapid.IntRange(0, 4).Draw(t, "events") {
				data = append(data, fmt.Sprintf("%d.%d.%d", claim, run, from+n))
			}
			s.Apply(progress(claim, run, from, data...))
		}
		events := s.LongestOutput("a", 1).Events
		for i, e := range events {
			var claim, run, n int
			_, err := fmt.Sscanf(e.Data, "%d.%d.%d", &claim, &run, &n)
			require.NoError(t, err)
			require.Equal(t, i, n)
			var firstClaim, firstRun int
			_, err = fmt.Sscanf(events[0].Data, "%d.%d.", &firstClaim, &firstRun)
			require.NoError(t, err)
			require.Equal(t, []int{firstClaim, firstRun}, []int{claim, run})
		}
	})
}

func FuzzDecodeText(f *testing.F) {
	good, err := progress(3, 0, 0, "1").Encode()
	require.NoError(f, err)
	f.Add(good)
	f.Add([]byte(`{"j":"j","pg":[{"i":"a","f":-1,"e":[{}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := DecodeText(data); err == nil {
			NewTexts(r.Job).Apply(r)
		}
	})
}
