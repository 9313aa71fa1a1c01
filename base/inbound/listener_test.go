package inbound

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/base/budget"
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

// Guards against answers that fill a process because their clients do not take them, and against broken ones that look whole.
func TestAnswersOfOtherHandlersAreCounted(t *testing.T) {
	const size = 1 << 20
	b := budget.New(4 << 20)
	s := serveUse(t, Peers, Settings{}, b, HTTPConfig{}, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, size)) })
	require.Len(t, readBody(t, ask(t, s.addr, start+"\r\n")), size)
	for range 10 {
		_, err := io.WriteString(dial(t, s.addr), start+"\r\n") // its answer is not read
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return s.listener.share.InUse() > 3*size }, maxWait, time.Millisecond)
	conn := dial(t, s.addr)
	_, err := io.WriteString(conn, start+"\r\n")
	require.NoError(t, err)
	answer, _ := io.ReadAll(conn) // a reset is as good as an end
	require.Empty(t, answer)
}

func readBody(t *testing.T, resp *http.Response) []byte {
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return body
}
