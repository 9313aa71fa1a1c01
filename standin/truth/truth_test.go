package truth_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/standin/truth"
)

func generateText(prompt string, seed uint64, versions []uint64) string {
	w := truth.NewWriter(prompt, seed)
	var out []byte
	for i, v := range versions {
		out = w.Append(out, i, v)
	}
	return string(out)
}

// Check accepts only a prefix of the request's own output. It rejects a text with a
// token missing, duplicated or incomplete, and the text of another request.
func TestCheckRejectsWrongTexts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.String().Draw(t, "prompt")
		seed := rapid.Uint64().Draw(t, "seed")
		versions := rapid.SliceOfN(rapid.Uint64Range(1, 3), 4, 40).Draw(t, "versions")
		complete := generateText(prompt, seed, versions)
		spans, n, err := truth.Check(prompt, seed, complete)
		require.NoError(t, err)
		require.Equal(t, len(versions), n)
		for _, s := range spans {
			for i := s.From; i < s.To; i++ {
				require.Equal(t, s.Version, versions[i])
			}
		}
		require.Equal(t, len(versions), spans[len(spans)-1].To)

		tokens := strings.SplitAfter(complete, " ")
		k := rapid.IntRange(0, len(versions)-2).Draw(t, "at")
		missing := strings.Join(tokens[:k], "") + strings.Join(tokens[k+1:], "")
		duplicated := strings.Join(tokens[:k+1], "") + strings.Join(tokens[k:], "")
		for _, bad := range []string{missing, duplicated, complete[:len(complete)-1], generateText(prompt, seed+1, versions)} {
			_, _, err := truth.Check(prompt, seed, bad)
			require.Error(t, err)
		}
	})
}

// The tail of the distribution produces the stragglers of a step. Samples of one
// prompt share half of the variance, so one sample's length helps to predict the
// others' in its group.
func TestNaturalTokensAreHeavyTailed(t *testing.T) {
	const prompts, mean, sigma = 4000, 300, 0.8
	var sum, longCount float64
	var sameGroup, otherPrompt float64
	for i := range prompts {
		p := strings.Repeat("x", i)
		a, b := truth.NaturalTokens(p, 1, mean, sigma), truth.NaturalTokens(p, 2, mean, sigma)
		other := truth.NaturalTokens(p+"y", 1, mean, sigma)
		sum += float64(a)
		sameGroup += relativeDifference(a, b)
		otherPrompt += relativeDifference(a, other)
		if a > 4*mean {
			longCount++
		}
		require.Equal(t, min(a, 50), truth.OutputTokens(p, 1, mean, sigma, 50))
	}
	require.InEpsilon(t, mean, sum/prompts, 0.1)
	require.Greater(t, longCount, 0.005*prompts)
	require.Less(t, sameGroup, 0.9*otherPrompt)
}

func relativeDifference(a, b int) float64 {
	if a < b {
		a, b = b, a
	}
	return float64(a-b) / float64(a+b)
}
