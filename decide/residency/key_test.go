package residency

import (
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against two sets of regions that share a name, and so a stream, and against names that are
// no topic of a store.
func TestKeyIdentifiesASet(t *testing.T) {
	plain := regexp.MustCompile(`^[A-Za-z0-9._-]*$`)
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfN(rapid.StringN(1, 8, -1), 0, 3)
		a, b := Only(names.Draw(t, "a")), Only(names.Draw(t, "b"))
		require.Equal(t, a, ParseKey(a.Key()))
		require.Regexp(t, plain, a.Key())
		require.Equal(t, a.String() == b.String() && a.IsRestricted() == b.IsRestricted() && len(a.Names()) == len(b.Names()), a.Key() == b.Key())
	})
	require.Equal(t, "a.b-1", Only([]string{"b-1", "a"}).Key())
}

// Guards against a damaged name that is taken for no restriction.
func TestInvalidKeyAllowsNoRegion(t *testing.T) {
	for _, key := range []string{"_", "a._zz", ".", "a.", "_6"} {
		require.True(t, ParseKey(key).AllowsNone(), key)
	}
	require.False(t, ParseKey("").IsRestricted())
}

func TestBinding(t *testing.T) {
	a, ab, b := Only([]string{"a"}), Only([]string{"a", "b"}), Only([]string{"b"})
	require.Equal(t, a, Binding(ab, a))
	require.Equal(t, a, Binding(a, ab))
	require.Equal(t, a, Binding(a, Regions{}))
	require.Equal(t, a, Binding(Regions{}, a))
	require.Equal(t, b, Binding(a, b))
	require.True(t, Binding(ab, a.And(b)).AllowsNone())
}
