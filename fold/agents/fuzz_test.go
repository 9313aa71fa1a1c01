package agents

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/platform"
)

// FuzzRecords applies arbitrary data. Two readers, one of which gets every record
// twice, must agree on the claim that holds the server, and tokens must never fall.
func FuzzRecords(f *testing.F) {
	claim, _ := Encode("a", "vm", 1)
	other, _ := Encode("b", "vm", 2)
	f.Add(claim, other)
	f.Add(claim, claim)
	f.Add(claim[:len(claim)-1], []byte(`{"id":"","type":"agent_claim","server":"vm"}`))
	f.Add([]byte(`null`), []byte(`{"id":"a","type":"agent_claim","server":"vm","Offset":9,"incarnation":-1}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		once, twice := New("vm"), New("vm")
		var token uint64
		for i, data := range [][]byte{claim, first, second} {
			rec := platform.Record{Offset: uint64(i), Data: data}
			once.Apply(rec)
			twice.Apply(rec)
			twice.Apply(rec)
			held, ok := once.Newest("vm")
			require.True(t, ok)
			require.GreaterOrEqual(t, held.Token(), token)
			require.LessOrEqual(t, held.Token(), uint64(i)+1)
			token = held.Token()
		}
		require.Equal(t, once, twice)
	})
}
