package table

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func build(t *testing.T, routes ...*Route) *Table {
	tb, err := New(1, routes, []Service{{Name: "s"}, {Name: "t"}}, Limits{})
	require.NoError(t, err)
	return tb
}

func targets(service string) []Target { return []Target{{Service: service, Weight: 1}} }

func TestMatchReturnsLongestPrefix(t *testing.T) {
	tb := build(t,
		&Route{Name: "short", Host: "h", Prefix: "/a/", Targets: targets("s")},
		&Route{Name: "long", Host: "h", Prefix: "/a/b/", Targets: targets("s")},
		&Route{Name: "other", Host: "g", Prefix: "/a/b/c/", Targets: targets("s")},
	)
	tests := []struct{ host, path, want string }{
		{"h", "/a/x", "short"},
		{"h", "/a/b/c/d", "long"},
		{"h:8080", "/a/b/", "long"},
		{"h", "/a/b", "short"},
		{"h", "/ab/", ""},
		{"unknown", "/a/x", ""},
	}
	for _, test := range tests {
		r := tb.Match(test.host, test.path)
		if test.want == "" {
			require.Nil(t, r, test.path)
			continue
		}
		require.NotNil(t, r, test.path)
		require.Equal(t, test.want, r.Name)
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	r := &Route{Targets: []Target{{"s", 90}, {"t", 10}}}
	counts := map[string]int{}
	for i := range uint64(1000) {
		counts[r.Pick(i)]++
	}
	require.Equal(t, map[string]int{"s": 900, "t": 100}, counts)
	require.Empty(t, (&Route{}).Pick(7))
}

func TestNewRejectsInvalidRoutes(t *testing.T) {
	for name, r := range map[string]*Route{
		"prefix without slash": {Host: "h", Prefix: "/a", Targets: targets("s")},
		"no service":           {Host: "h", Prefix: "/a/"},
		"unknown service":      {Host: "h", Prefix: "/a/", Targets: targets("missing")},
	} {
		_, err := New(1, []*Route{r}, []Service{{Name: "s"}}, Limits{})
		require.Error(t, err, name)
	}
}

func TestRepeatable(t *testing.T) {
	require.True(t, (&Route{Kind: Safe}).Repeatable())
	require.False(t, (&Route{Kind: Unsafe}).Repeatable())
	require.False(t, (&Route{Kind: Stream}).Repeatable())
	require.True(t, (&Route{Kind: Stream, Resumable: true}).Repeatable())
}
