package trainer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/trainer"
)

// freezingTransport answers for both entries. From the first GET to entry a on,
// every request to a hangs until its context ends.
type freezingTransport struct{ frozen bool }

func (f *freezingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Host == "a" && (f.frozen || r.Method == http.MethodGet) {
		f.frozen = true
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	body := completeAnswer
	if r.Method == http.MethodPost {
		attempt := map[string]int{"a": 1, "b": 2}[r.URL.Host]
		body = fmt.Sprintf(`{"epoch":{"attempt":%d},"step":3,"groups":1}`, attempt)
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body))}, nil
}

// Guards against a client that idles for 45 s and more when the entry that owns
// its step is frozen (SIGSTOP, suspended VM), although entry b would answer at
// once. How it came about: the client sent three attempts to the frozen entry,
// each for the whole MaxWait and Timeout. The greater attempt of the next post
// makes it as safe to switch after the first timeout as after the third.
func TestFrozenEntryIsReplacedAfterOneTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, err := trainer.New(trainer.Config{Entries: []string{"http://a", "http://b"}, Token: "x", HTTP: &http.Client{Transport: &freezingTransport{}}})
		require.NoError(t, err)
		started := time.Now()
		for _, err := range c.RunStep(context.Background(), oneGroup) {
			require.NoError(t, err)
		}
		require.Less(t, time.Since(started), 20*time.Second, "one wait of 10 s and one timeout of 5 s, and a pause")
	})
}
