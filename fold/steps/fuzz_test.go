package steps

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/platform"
)

// FuzzRecords applies arbitrary data. Two readers, one of which gets every record
// twice, must agree on the owner, and only a claim with a greater attempt may
// replace an owner.
func FuzzRecords(f *testing.F) {
	claim := Encode(Claim{ID: "a", Trainer: "t", Step: 7, Attempt: 1, Entry: "e1"})
	f.Add(claim, Encode(Claim{ID: "b", Trainer: "t", Step: 7, Attempt: 2, Entry: "e2"}))
	f.Add(claim, claim[:len(claim)-1])
	f.Add([]byte(`{"id":"x","type":"claim","trainer":"t","step":-1,"attempt":1}`), []byte(`{"id":"x","type":"claim","trainer":"t","step":18446744073709551615,"attempt":1}`))
	f.Add([]byte(`null`), []byte(`[]`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		once, twice := New(), New()
		for i, data := range [][]byte{claim, first, second} {
			rec := platform.Record{Offset: uint64(i), Data: data}
			before := map[Key]Owner{}
			for name, tr := range once.trainers {
				for step, owner := range tr.steps {
					before[Key{name, step}] = owner
				}
			}
			change, ok := once.Apply(rec)
			again, okAgain := twice.Apply(rec)
			require.Equal(t, ok, okAgain)
			require.Equal(t, change, again)
			_, ok = twice.Apply(rec)
			require.False(t, ok)
			for key, owner := range before {
				now, known := once.Owner(key)
				require.True(t, !known || now == owner || now.Epoch.Attempt > owner.Epoch.Attempt, "%+v", key)
			}
		}
		require.Equal(t, once, twice)
	})
}
