package steps_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/fold/steps"
	"dandelionsill.org/platform"
)

var key = steps.Key{Trainer: "t", Step: 7}

func claim(id string, attempt uint64, entry string) []byte {
	return steps.Encode(steps.Claim{ID: id, Trainer: key.Trainer, Step: key.Step, Attempt: attempt, Entry: entry})
}

func fold(datas ...[]byte) *steps.State {
	s := steps.New()
	for i, d := range datas {
		s.Apply(platform.Record{Offset: uint64(i), Data: d})
	}
	return s
}

func owner(t require.TestingT, s *steps.State) steps.Owner {
	o, ok := s.Owner(key)
	require.True(t, ok)
	return o
}

// A paused owner's claim lands after the take-over: the trainer raised its
// attempt for the new owner, so the late record changes nothing.
func TestLateClaimOfOlderAttemptLoses(t *testing.T) {
	s := fold(claim("b", 2, "entry-b"), claim("a", 1, "entry-a"))
	require.Equal(t, steps.Owner{Entry: "entry-b", Epoch: steps.Epoch{Attempt: 2, Claim: 1}}, owner(t, s))
}

// The balancer delivers one POST to two entries, the copy late: both claim
// attempt 1. The first stays the owner, as the trainer talks to it already.
func TestSameAttemptFirstClaimWins(t *testing.T) {
	s := fold(claim("a", 1, "entry-a"), claim("b", 1, "entry-b"))
	require.Equal(t, "entry-a", owner(t, s).Entry)
}

// The answer to an append was lost and the entry appends its claim again. The
// owner's epoch must not move with the repeat: its trainer knows the first.
func TestRepeatedAppendChangesNothing(t *testing.T) {
	s := fold(claim("a", 1, "entry-a"), claim("b", 1, "entry-b"), claim("a", 1, "entry-a"))
	require.Equal(t, uint64(1), owner(t, s).Epoch.Claim)
}

func TestUnknownRecordsAreSkipped(t *testing.T) {
	s := fold([]byte("{"), []byte(`{"type":"other","id":"x"}`), claim("a", 1, "entry-a"))
	require.Equal(t, uint64(3), owner(t, s).Epoch.Claim)
	require.Equal(t, uint64(3), s.Next())
}

// Any two readers agree at the same offset, whether they read some pages
// twice or not, and an owner is only ever replaced by a newer epoch.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var recs []platform.Record
		for i := range rapid.IntRange(0, 200).Draw(t, "n") {
			c := steps.Claim{
				ID:      fmt.Sprint(rapid.IntRange(0, 99).Draw(t, "id")),
				Trainer: rapid.SampledFrom([]string{"t", "u"}).Draw(t, "trainer"),
				Step:    rapid.Uint64Range(0, 200).Draw(t, "step"),
				Attempt: rapid.Uint64Range(1, 4).Draw(t, "attempt"),
				Entry:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "entry"),
			}
			recs = append(recs, platform.Record{Offset: uint64(i), Data: steps.Encode(c)})
		}
		once, twice := steps.New(), steps.New()
		owners := map[steps.Key]steps.Owner{}
		for i, rec := range recs {
			change, ok := once.Apply(rec)
			twice.Apply(rec)
			twice.Apply(recs[rapid.IntRange(0, i).Draw(t, "again")])
			if !ok {
				continue
			}
			old, known := owners[change.Key]
			if known && old != change.Owner {
				require.Greater(t, change.Owner.Epoch.Attempt, old.Epoch.Attempt, "only a greater attempt takes a step")
			}
			owners[change.Key] = change.Owner
			got, _ := twice.Owner(change.Key)
			require.Equal(t, change.Owner, got)
		}
	})
}
