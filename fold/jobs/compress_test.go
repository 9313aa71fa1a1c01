package jobs

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Every record must decode to its original content. Records of older writers, which did
// not compress, must decode to the same.
func TestCompressedRecordsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Record{Writer: Writer{VM: "n", Incarnation: rapid.String().Draw(t, "life")}, Ends: rapid.SliceOf(rapid.String()).Draw(t, "ends")}
		uncompressed, err := json.Marshal(&r)
		require.NoError(t, err)
		data, err := r.Encode()
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), len(uncompressed))
		compressed, err := Decode(data)
		require.NoError(t, err)
		fromUncompressed, err := Decode(uncompressed)
		require.NoError(t, err)
		require.Equal(t, fromUncompressed, compressed)
	})
}

// A truncated or corrupt record must give an error rather than part of its content, and
// must not affect decoding of the next record by the pooled decompressors.
func TestCorruptCompressedRecordIsAnError(t *testing.T) {
	r := Record{Writer: ann, Ends: []string{strings.Repeat("ab", 500)}}
	data, err := r.Encode()
	require.NoError(t, err)
	require.EqualValues(t, compressed, data[0])
	_, err = Decode(data[:len(data)/2])
	require.Error(t, err)
	_, err = Decode([]byte{compressed, 0xff, 0xff})
	require.Error(t, err)
	decoded, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, r.Ends, decoded.Ends)
}

// Data that decompresses to more than the maximum record size must be cut off there.
func TestDecompressionIsBounded(t *testing.T) {
	data, err := compress([]byte(strings.Repeat(" ", maxDecompressedBytes+1000)))
	require.NoError(t, err)
	out, err := decompress(data)
	require.NoError(t, err)
	require.Len(t, out, maxDecompressedBytes)
}
