package label_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/decide/label"
)

// A trainer must never get a sample with a guessed label. Each of these chunks
// follows two valid tokens of version 7 and makes the label unprovable,
// whatever valid chunks follow.
func TestUnprovableChunk(t *testing.T) {
	tests := []struct {
		name    string
		version uint64
		boot    string
		tokens  int
		text    string
		want    error
	}{
		{"no version", 0, "b", 1, "x", label.ErrNoVersion},
		{"engine restarted", 7, "c", 1, "x", label.ErrEngineRestarted},
		{"version decreased", 6, "b", 1, "x", label.ErrVersionDecreased},
		{"negative count", 7, "b", -1, "x", label.ErrTokenCount},
		{"text without tokens", 7, "b", 0, "x", label.ErrTokenCount},
		{"more than asked for", 7, "b", 9, "x", label.ErrTokenCount},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := label.New("b", 10, nil)
			require.NoError(t, b.Add(7, "b", 2, "ab"))
			require.ErrorIs(t, b.Add(tt.version, tt.boot, tt.tokens, tt.text), tt.want)
			require.ErrorIs(t, b.Add(7, "b", 1, "x"), tt.want)
			require.EqualValues(t, 2, b.Tokens())
		})
	}
}

func TestResumedSpans(t *testing.T) {
	b := label.New("b", 10, []label.Span{{Version: 3, From: 0, To: 4}})
	require.NoError(t, b.Add(3, "b", 1, "x"))
	require.NoError(t, b.Add(5, "b", 2, "xy"))
	require.Equal(t, []label.Span{{Version: 3, From: 0, To: 5}, {Version: 5, From: 5, To: 7}}, b.Spans())
	for _, bad := range [][]label.Span{
		{{Version: 3, From: 1, To: 4}},
		{{Version: 0, From: 0, To: 4}},
		{{Version: 3, From: 0, To: 0}},
		{{Version: 3, From: 0, To: 4}, {Version: 2, From: 4, To: 5}},
		{{Version: 3, From: 0, To: 11}},
	} {
		require.Error(t, label.New("b", 10, bad).Err(), "%v", bad)
	}
}

// As long as no chunk is rejected, the spans give each token the version
// reported with its chunk, without gaps or overlaps.
func TestSpansNameEachToken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := label.New("b", 50, nil)
		var want []uint64
		for range rapid.IntRange(0, 20).Draw(t, "chunks") {
			version := rapid.Uint64Range(0, 4).Draw(t, "version")
			boot := rapid.SampledFrom([]string{"b", "b", "b", "b", "b", "c"}).Draw(t, "boot")
			tokens := rapid.IntRange(-1, 4).Draw(t, "tokens")
			if b.Add(version, boot, tokens, "") != nil {
				break
			}
			for range tokens {
				want = append(want, version)
			}
		}
		var got []uint64
		for _, s := range b.Spans() {
			require.EqualValues(t, len(got), s.From)
			for range s.To - s.From {
				got = append(got, s.Version)
			}
		}
		require.Equal(t, want, got)
	})
}

// A trainer fails and posts its step again with another seed or length, and
// the new owner finds stored samples of the old request. Their hashes must
// differ from those of the new one.
func TestRequestHash(t *testing.T) {
	hash := label.RequestHash("p", 1, 10)
	require.Equal(t, hash, label.RequestHash("p", 1, 10))
	require.NotEqual(t, hash, label.RequestHash("q", 1, 10))
	require.NotEqual(t, hash, label.RequestHash("p", 2, 10))
	require.NotEqual(t, hash, label.RequestHash("p", 1, 11))
}
