package manifest

import (
	"net/url"
	"path"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// pathParams matches the path parameters that some servers remove from each segment.
var pathParams = regexp.MustCompile(`;[^/]*`)

// FuzzMatch checks that a path which matches a route is the same path for a
// backend server that decodes it, cleans it or removes its parameters, so that no
// write is handled by the rules of a read.
func FuzzMatch(f *testing.F) {
	for _, seed := range []string{
		"/orders/7", "/status/../orders", "//orders", "/status/%2e%2e/orders", "/status/..;/orders", `/status\..\orders`,
		"/status%2F..%2Forders", "/status/%5c../orders", "/status/;x/orders", "/status/%00", "/status/?a=/../x", "/status/%252e%252e/orders", "/status#/../orders",
	} {
		f.Add(seed)
	}
	s := Service{Routes: []Route{{Name: "read", Prefix: "/status"}}}
	f.Fuzz(func(t *testing.T, sent string) {
		if _, ok := s.Match("GET", sent); !ok {
			return
		}
		sent, _, _ = strings.Cut(sent, "?")
		decoded, err := url.PathUnescape(sent)
		require.NoError(t, err)
		withoutParams := pathParams.ReplaceAllString(decoded, "")
		for _, interpretation := range []string{decoded, strings.ReplaceAll(decoded, `\`, "/"), withoutParams} {
			cleaned := path.Clean(interpretation)
			require.Equal(t, strings.TrimSuffix(interpretation, "/"), cleaned, "%q", sent)
			require.True(t, cleaned == "/status" || strings.HasPrefix(cleaned, "/status/"), "%q", sent)
		}
	})
}
