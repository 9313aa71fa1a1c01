package jobs

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Whatever a record holds, its reader gets it back, and a writer of before, which did
// not pack, is understood.
func TestCompressedRecordsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Record{Writer: Writer{Node: "n", Life: rapid.String().Draw(t, "life")}, Ends: rapid.SliceOf(rapid.String()).Draw(t, "ends")}
		plain, err := json.Marshal(&r)
		require.NoError(t, err)
		data, err := r.Encode()
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), len(plain))
		packed, err := Decode(data)
		require.NoError(t, err)
		unpacked, err := Decode(plain)
		require.NoError(t, err)
		require.Equal(t, unpacked, packed)
	})
}

// A record that was cut or spoiled is an error, not a part of what was written, and
// leaves the next one readable.
func TestCorruptCompressedRecordIsAnError(t *testing.T) {
	r := Record{Writer: ann, Ends: []string{strings.Repeat("ab", 500)}}
	data, err := r.Encode()
	require.NoError(t, err)
	require.EqualValues(t, packed, data[0])
	_, err = Decode(data[:len(data)/2])
	require.Error(t, err)
	_, err = Decode([]byte{packed, 0xff, 0xff})
	require.Error(t, err)
	again, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, r.Ends, again.Ends)
}

// Bytes that unpack to more than any record holds are not unpacked to their end.
func TestDecompressionIsBounded(t *testing.T) {
	data, err := pack([]byte(strings.Repeat(" ", unpackedMost+1000)))
	require.NoError(t, err)
	out, err := unpack(data)
	require.NoError(t, err)
	require.Len(t, out, unpackedMost)
}
