package poison_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/decide/poison"
)

func TestFingerprintDependsOnEveryField(t *testing.T) {
	c := poison.Content{Caller: "o", Method: "POST", Host: "a", URI: "/b?c", Body: []byte("d")}
	same := c
	require.Equal(t, c.Fingerprint(), same.Fingerprint())
	for field, change := range map[string]func(*poison.Content){
		"caller": func(c *poison.Content) { c.Caller = "x" },
		"method": func(c *poison.Content) { c.Method = "PUT" },
		"host":   func(c *poison.Content) { c.Host = "x" },
		"query":  func(c *poison.Content) { c.URI = "/b?x" },
		"body":   func(c *poison.Content) { c.Body = []byte("x") },
	} {
		other := c
		change(&other)
		require.NotEqual(t, c.Fingerprint(), other.Fingerprint(), field)
	}
}

// Requests of two callers for the same path must stay distinct: one may crash servers while
// the other is harmless. Headers that differ between attempts must not matter.
func TestCallerFromHeader(t *testing.T) {
	one := http.Header{"Authorization": {"one"}, "X-Attempt": {"1"}}
	require.Equal(t, poison.CallerFromHeader(one), poison.CallerFromHeader(http.Header{"Authorization": {"one"}, "X-Attempt": {"2"}}))
	require.NotEqual(t, poison.CallerFromHeader(one), poison.CallerFromHeader(http.Header{"Authorization": {"two"}, "X-Attempt": {"1"}}))
	require.NotEqual(t, poison.CallerFromHeader(one), poison.CallerFromHeader(http.Header{"Cookie": {"one"}}))
}

func TestFingerprintSeparatesFields(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[a-c]{0,4}`)
		a := poison.Content{Method: text.Draw(t, "m"), Host: text.Draw(t, "h"), URI: text.Draw(t, "u"), Body: []byte(text.Draw(t, "b"))}
		b := poison.Content{Method: text.Draw(t, "m2"), Host: text.Draw(t, "h2"), URI: text.Draw(t, "u2"), Body: []byte(text.Draw(t, "b2"))}
		equal := a.Method == b.Method && a.Host == b.Host && a.URI == b.URI && string(a.Body) == string(b.Body)
		require.Equal(t, equal, a.Fingerprint() == b.Fingerprint())
	})
}
