package truth_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/standin/truth"
)

func text(prompt string, seed uint64, versions []uint64) string {
	w := truth.NewWriter(prompt, seed)
	var out []byte
	for i, v := range versions {
		out = w.Append(out, i, v)
	}
	return string(out)
}

// A text passes the check only as the beginning of its own request's output:
// not with a token left out, doubled, cut, or taken from another request.
func TestCheckFindsWhatIsWrong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.String().Draw(t, "prompt")
		seed := rapid.Uint64().Draw(t, "seed")
		versions := rapid.SliceOfN(rapid.Uint64Range(1, 3), 4, 40).Draw(t, "versions")
		whole := text(prompt, seed, versions)
		spans, n, err := truth.Check(prompt, seed, whole)
		require.NoError(t, err)
		require.Equal(t, len(versions), n)
		for _, s := range spans {
			for i := s.From; i < s.To; i++ {
				require.Equal(t, s.Version, versions[i])
			}
		}
		require.Equal(t, len(versions), spans[len(spans)-1].To)

		tokens := strings.SplitAfter(whole, " ")
		k := rapid.IntRange(0, len(versions)-2).Draw(t, "at")
		left := strings.Join(tokens[:k], "") + strings.Join(tokens[k+1:], "")
		doubled := strings.Join(tokens[:k+1], "") + strings.Join(tokens[k:], "")
		for _, bad := range []string{left, doubled, whole[:len(whole)-1], text(prompt, seed+1, versions)} {
			_, _, err := truth.Check(prompt, seed, bad)
			require.Error(t, err)
		}
	})
}

// The stragglers of a step come from the tail; siblings share half of the
// variance, so a group's lengths tell of each other.
func TestNaturalTokensAreHeavyTailed(t *testing.T) {
	const prompts, mean, sigma = 4000, 300, 0.8
	var sum, long float64
	var near, far float64
	for i := range prompts {
		p := strings.Repeat("x", i)
		a, b := truth.NaturalTokens(p, 1, mean, sigma), truth.NaturalTokens(p, 2, mean, sigma)
		other := truth.NaturalTokens(p+"y", 1, mean, sigma)
		sum += float64(a)
		near += diff(a, b)
		far += diff(a, other)
		if a > 4*mean {
			long++
		}
		require.Equal(t, min(a, 50), truth.OutputTokens(p, 1, mean, sigma, 50))
	}
	require.InEpsilon(t, mean, sum/prompts, 0.1)
	require.Greater(t, long, 0.005*prompts)
	require.Less(t, near, 0.9*far)
}

func diff(a, b int) float64 {
	if a < b {
		a, b = b, a
	}
	return float64(a-b) / float64(a+b)
}
