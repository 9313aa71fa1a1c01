package poison_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/decide/poison"
)

func TestNameIsThatOfTheContent(t *testing.T) {
	c := poison.Content{Method: "POST", Host: "a", URI: "/b?c", Body: []byte("d")}
	same := c
	same.Header = http.Header{"X-Attempt": {"7"}, "Date": {"now"}}
	require.Equal(t, c.Name(), same.Name(), "what differs from attempt to attempt names nothing")
	for what, other := range map[string]poison.Content{
		"method": {Method: "PUT", Host: "a", URI: "/b?c", Body: []byte("d")},
		"host":   {Method: "POST", Host: "x", URI: "/b?c", Body: []byte("d")},
		"query":  {Method: "POST", Host: "a", URI: "/b?x", Body: []byte("d")},
		"body":   {Method: "POST", Host: "a", URI: "/b?c", Body: []byte("x")},
		"caller": {Method: "POST", Host: "a", URI: "/b?c", Body: []byte("d"), Header: http.Header{"Authorization": {"x"}}},
	} {
		require.NotEqual(t, c.Name(), other.Name(), what)
	}
}

func TestNamesOfFieldsDoNotRunIntoEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[a-c]{0,4}`)
		a := poison.Content{Method: text.Draw(t, "m"), Host: text.Draw(t, "h"), URI: text.Draw(t, "u"), Body: []byte(text.Draw(t, "b"))}
		b := poison.Content{Method: text.Draw(t, "m2"), Host: text.Draw(t, "h2"), URI: text.Draw(t, "u2"), Body: []byte(text.Draw(t, "b2"))}
		alike := a.Method == b.Method && a.Host == b.Host && a.URI == b.URI && string(a.Body) == string(b.Body)
		require.Equal(t, alike, a.Name() == b.Name())
	})
}
