package topology

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDistance(t *testing.T) {
	topology, err := Parse([]string{"a1:a", "a2:a", "b1:b", " b2:b "})
	require.NoError(t, err)
	require.Equal(t, SameDomain, topology.Distance("a1", "a1"))
	require.Equal(t, SameRegion, topology.Distance("a1", "a2"))
	require.Equal(t, OtherRegion, topology.Distance("a1", "b2"))
	require.Equal(t, SameRegion, topology.Distance("a1", "unknown"))
	require.True(t, topology.HasSeveralRegions())
	require.Equal(t, []string{"a", "b"}, topology.Regions())
	require.Equal(t, []string{"b1", "b2"}, topology.Domains("b"))
}

func TestNoTopology(t *testing.T) {
	var topology *Topology
	require.Equal(t, SameDomain, topology.Distance("x", "x"))
	require.Equal(t, SameRegion, topology.Distance("x", "y"))
	require.False(t, topology.HasSeveralRegions())
	require.Empty(t, topology.RegionOf("x"))
	require.Empty(t, topology.Domains("x"))
}

func TestInvalidTopology(t *testing.T) {
	for _, list := range [][]string{{"a"}, {":r"}, {"a:"}, {"a:r", "a:s"}} {
		_, err := Parse(list)
		require.Error(t, err, list)
	}
	topology, err := Parse(nil)
	require.NoError(t, err)
	require.False(t, topology.HasSeveralRegions())
}
