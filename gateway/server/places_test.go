package server

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	decide "dandelionsill.org/decide/fanout"
	"dandelionsill.org/decide/residency"
	"dandelionsill.org/decide/topology"
	gatewayjobs "dandelionsill.org/gateway/jobs"
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

// Guards against an agent that forgets which models its region needs because a gateway does not answer
// or sends something else.
func TestAgentAsksForModelRegions(t *testing.T) {
	answers := map[string]string{"good": `{"m": "a.b"}`, "bad": `{"m"`}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, gatewayjobs.PathModelRegions, r.URL.Path)
		_, _ = w.Write([]byte(answers[r.Host]))
	}))
	t.Cleanup(server.Close)
	m := newModelRegions(nil, nil, zap.NewNop())
	m.http.Transport = &http.Transport{DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, server.Listener.Addr().String())
	}}
	regions, err := m.ask(t.Context(), "good")
	require.NoError(t, err)
	require.Equal(t, map[string]residency.Regions{"m": residency.Only([]string{"a", "b"})}, regions)
	_, err = m.ask(t.Context(), "bad")
	require.Error(t, err)
	require.Empty(t, m.get())
}

func TestNearestPeers(t *testing.T) {
	tp := topology.New(map[string]string{"a1": "a", "b1": "b", "c1": "c"})
	peers := fakePeers{[]decide.Member{{VM: "x", Addr: "x:1", FailureDomain: "a1"}, {VM: "y", Addr: "y:1", FailureDomain: "b1"}}}
	require.Equal(t, []string{"x:1"}, nearestPeers(tp, peers, "a1"))
	require.Equal(t, []string{"x:1", "y:1"}, nearestPeers(tp, peers, "c1"))
	require.Equal(t, []string{"x:1", "y:1"}, nearestPeers(nil, peers, "a1"))
}
