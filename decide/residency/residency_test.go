package residency

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAllowedRegions(t *testing.T) {
	var any Regions
	a, ab, c := Only([]string{"a"}), Only([]string{"b", "a", "a"}), Only([]string{"c"})
	for region, allowed := range map[string]bool{"a": true, "b": true, "c": false, "": false} {
		require.Equal(t, allowed, ab.Allows(region), region)
		require.True(t, any.Allows(region), region)
	}
	require.Equal(t, a, a.And(ab))
	require.Equal(t, a, any.And(a))
	require.Equal(t, a, a.And(any))
	require.Equal(t, any, any.And(Only(nil)))
	require.Equal(t, "a,b", ab.String())
	require.Equal(t, "any", any.String())
	require.False(t, any.AllowsNone())
	none := a.And(c)
	require.True(t, none.AllowsNone())
	require.True(t, none.IsRestricted())
	require.False(t, none.Allows("a"))
	require.Equal(t, "none", none.String())
}

// Guards against a request whose route and organisation share no region being sent anywhere
// because an empty set is taken for no restriction.
func TestDisjointSetsAllowNothing(t *testing.T) {
	none := Only([]string{"a"}).And(Only([]string{"b"}))
	require.Equal(t, none, none.And(Regions{}))
	require.Equal(t, none, Regions{}.And(none))
	require.True(t, none.And(Only([]string{"a"})).AllowsNone())
}
