package server

import (
	"testing"

	"github.com/stretchr/testify/require"

	decide "dandelionsill.org/decide/fanout"
	"dandelionsill.org/decide/residency"
	"dandelionsill.org/decide/topology"
)

type fakePeers struct{ list []decide.Member }

func (p fakePeers) Members() []decide.Member { return p.list }

func (p fakePeers) Addrs() []string {
	var addrs []string
	for _, m := range p.list {
		addrs = append(addrs, m.Addr)
	}
	return addrs
}

func (p fakePeers) FailureDomain(vm string) string {
	for _, m := range p.list {
		if m.VM == vm {
			return m.FailureDomain
		}
	}
	return ""
}

// Guards against a gateway whose region is not known that counts as one of an allowed region.
func TestPlacesOfGateways(t *testing.T) {
	places := newPlaces(topology.New(map[string]string{"a1": "a", "a2": "a", "b1": "b"}), fakePeers{[]decide.Member{
		{VM: "x", Addr: "x:1", FailureDomain: "a2"}, {VM: "y", Addr: "y:1", FailureDomain: "b1"}, {VM: "z", Addr: "z:1", FailureDomain: "unknown"},
	}}, "a1")
	require.Equal(t, "a", places.Region)
	require.Equal(t, []string{"a", "b", "", ""}, []string{places.RegionOf("x"), places.RegionOf("y"), places.RegionOf("z"), places.RegionOf("gone")})
	require.Equal(t, []string{"x:1"}, places.PeersIn(residency.Only([]string{"a", "c"})))
	require.Equal(t, []string{"x:1", "y:1", "z:1"}, places.PeersIn(residency.Regions{}))
	require.Empty(t, places.PeersIn(residency.Only([]string{"c"})))
}
