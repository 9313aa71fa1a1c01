package table

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/residency"
)

// Guards against a request that is served where its route or its organisation does not allow it.
func TestRegionsOfRouteAndOrganisationBothBind(t *testing.T) {
	route := func(prefix string, regions ...string) *Route {
		return &Route{Name: prefix, Host: "h", Prefix: prefix, Targets: []Target{{Service: "s", Weight: 1}}, Regions: residency.Only(regions)}
	}
	tb, err := New(1, []*Route{route("/any/"), route("/ab/", "a", "b")}, []Service{{Name: "s"}}, Limits{})
	require.NoError(t, err)
	require.Equal(t, "a,b", tb.RegionsOf("h", "/ab/x", "o").String(), "without organisations")
	tb.Organisations, _ = NewDirectory([]Organisation{{Name: "o", Regions: residency.Only([]string{"b", "c"})}, {Name: "c", Regions: residency.Only([]string{"c"})}, {Name: "free"}})
	for path, want := range map[string]map[string]string{
		"/any/x": {"o": "b,c", "c": "c", "free": "any", "": "any", "unknown": "any"},
		"/ab/x":  {"o": "b", "c": "none", "free": "a,b", "": "a,b"},
		"/none":  {"o": "b,c", "": "any"},
	} {
		for organisation, regions := range want {
			require.Equal(t, regions, tb.RegionsOf("h:80", path, organisation).String(), path+" "+organisation)
		}
	}
}
