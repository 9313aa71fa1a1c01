package inbound

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against clients that keep readiness checks out by not reading their own answers.
func TestCheckIsAnsweredBesideClientsThatDoNotRead(t *testing.T) {
	writes := make(chan struct{}, 1000)
	s := serveUse(t, Checks, Settings{}, nil, HTTPConfig{}, func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			return
		}
		writes <- struct{}{}
		for {
			if _, err := io.WriteString(w, strings.Repeat("x", 1<<20)); err != nil {
				return
			}
		}
	})
	for range 2 * Checks.most {
		_, err := io.WriteString(dial(t, s.addr), start+"\r\n")
		require.NoError(t, err)
		<-writes
	}
	require.Equal(t, http.StatusOK, ask(t, s.addr, "GET / HTTP/1.1\r\nHost: a\r\n\r\n").StatusCode)
}
