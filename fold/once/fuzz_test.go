package once

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"dandelionsill.org/platform"
)

// FuzzRecords: the stream holds what nobody wrote. Two readers, one of which
// gets every record twice, must agree on each key; a record that can't be read
// leaves no key free that may stand in it.
func FuzzRecords(f *testing.F) {
	key := Key{Caller: "c", ID: uuid.MustParse("018bcfe5-6800-7000-8000-000000000001")}
	whole := Encode(Batch{Owner: Owner{"vm", "1"}, Seq: 3, Claims: []Claim{{Key: key}}})
	f.Add(whole, []byte(`{"name":"vm","inc":"1","seq":1,"claims":[{"c":"c","k":"AYvP5WgAcACAAAAAAAAAAQ==","h":"AAAAAAAAAAAAAAAAAAAAAA=="}]}`))
	f.Add(whole[:len(whole)-1], whole)
	f.Add([]byte{2}, []byte{versionJSON})
	f.Add([]byte{2, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1}, []byte(nil))
	issued := key.Issued()
	f.Fuzz(func(t *testing.T, first, second []byte) {
		terms := Limits{Window: time.Hour, Skew: time.Second}
		once, twice := New(terms), New(terms)
		unreadable := false
		for i, data := range [][]byte{first, second} {
			rec := platform.Record{Offset: uint64(i), Time: issued.Add(time.Duration(i) * time.Second), Data: data}
			applied := once.Apply(rec)
			_, err := Decode(data)
			require.Equal(t, err != nil, applied.Unreadable)
			unreadable = unreadable || applied.Unreadable
			require.Equal(t, applied, twice.Apply(rec))
			require.True(t, twice.Apply(rec).Seen)
		}
		require.Equal(t, once.Find(key), twice.Find(key))
		require.Equal(t, once.Len(), twice.Len())
		if unreadable {
			require.NotEqual(t, Free, once.Find(key).Status)
		}
	})
}
