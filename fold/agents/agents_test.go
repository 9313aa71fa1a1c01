package agents_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/fold/agents"
	"dandelionsill.org/platform"
)

func record(t require.TestingT, offset uint64, id, server string) platform.Record {
	data, err := agents.Encode(id, server, offset)
	require.NoError(t, err)
	return platform.Record{Offset: offset, Data: data}
}

// An agent repeats an append whose answer was lost. Meanwhile another agent
// claimed the server: the repeat must not take it back.
func TestRepeatedClaimDoesNotCount(t *testing.T) {
	s := agents.New("")
	s.Apply(record(t, 4, "a", "vm"))
	s.Apply(record(t, 5, "b", "vm"))
	s.Apply(record(t, 6, "a", "vm"))
	newest, ok := s.Newest("vm")
	require.True(t, ok)
	require.Equal(t, "b", newest.ID)
	require.EqualValues(t, 6, newest.Token())
	require.True(t, s.HasEarlier(newest))
	first, _ := s.Find("vm", "a")
	require.False(t, s.HasEarlier(first))
}

// Any two readers at the same offset agree, however their reads were cut and
// repeated, and one that keeps only its own server agrees with them about it.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []platform.Record
		for i := range rapid.IntRange(0, 30).Draw(t, "records") {
			id := rapid.StringMatching("[a-f]").Draw(t, "id")
			rec := record(t, uint64(i), id, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "server"))
			if rapid.IntRange(0, 9).Draw(t, "junk") == 0 {
				rec.Data = []byte(rapid.SampledFrom([]string{"", "{", `{"type":"other","id":"a"}`}).Draw(t, "data"))
			}
			log = append(log, rec)
		}
		once, own, again := agents.New(""), agents.New("x"), agents.New("")
		for i, rec := range log {
			once.Apply(rec)
			own.Apply(rec)
			for _, r := range log[rapid.IntRange(0, i).Draw(t, "from") : i+1] {
				again.Apply(r)
			}
		}
		for _, server := range []string{"x", "y"} {
			a, _ := once.Newest(server)
			b, _ := again.Newest(server)
			require.Equal(t, a, b)
		}
		x, _ := once.Newest("x")
		ownX, _ := own.Newest("x")
		require.Equal(t, x, ownX)
	})
}
