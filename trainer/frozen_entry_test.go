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

// freezingTransport answers until entry a freezes: then a's connections stay open and
// nothing comes.
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

// The entry that owns a step is frozen (SIGSTOP, its VM is suspended) while the
// trainer waits for groups. The client asks it three times, each time for the
// whole wait and the timeout, before it turns to entry b, which would answer at
// once: the trainer idles 45 s and more. A greater attempt makes turning away
// at the first silence as safe as at the third.
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
