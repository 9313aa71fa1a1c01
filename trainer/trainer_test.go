package trainer_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"dandelionsill.org/trainer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// entryFunc is an http.RoundTripper that answers each request by calling the
// function.
type entryFunc func(r *http.Request) (status int, header http.Header, body string)

func (e entryFunc) RoundTrip(r *http.Request) (*http.Response, error) {
	status, header, body := e(r)
	return &http.Response{StatusCode: status, Header: header, Body: io.NopCloser(strings.NewReader(body))}, nil
}

func newClient(t *testing.T, e entryFunc) *trainer.Client {
	c, err := trainer.New(trainer.Config{Entries: []string{"http://a", "http://b"}, Token: "x", HTTP: &http.Client{Transport: e}})
	require.NoError(t, err)
	return c
}

var oneGroup = trainer.Step{ID: 3, Groups: []trainer.GroupSpec{{ID: "g", Prompt: "p", Samples: 2, MaxTokens: 9}}}

func runStep(c *trainer.Client, s trainer.Step) (groups []trainer.Group, err error) {
	for g, gerr := range c.RunStep(context.Background(), s) {
		if gerr != nil {
			return groups, gerr
		}
		groups = append(groups, g)
	}
	return groups, nil
}

func postedAttempt(t *testing.T, r *http.Request) uint64 {
	var body struct{ Attempt uint64 }
	require.NoError(t, json.NewDecoder(r.Body).Decode(&body))
	return body.Attempt
}

const completeAnswer = `{"epoch":{"attempt":2},"cursor":1,"done":true,"groups":[{"id":"g","samples":[
	{"index":0,"text":"a","tokens":1,"spans":[{"version":1,"from":0,"to":1}]},
	{"index":1,"text":"b","tokens":1,"spans":[{"version":1,"from":0,"to":1}]}]}]}`

// The first owner delivers a group with a duplicate sample, a missing sample or
// an unlabelled token. The client rejects the group and posts the step with a
// greater attempt.
func TestIncompleteGroupIsRejected(t *testing.T) {
	for name, broken := range map[string]string{
		"sample doubled": strings.Replace(completeAnswer, `"index":1`, `"index":0`, 1),
		"sample missing": strings.Replace(completeAnswer, `,
	{"index":1,"text":"b","tokens":1,"spans":[{"version":1,"from":0,"to":1}]}`, "", 1),
		"token unlabelled": strings.Replace(completeAnswer, `"tokens":1`, `"tokens":2`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var lastAttempt uint64
				got, err := runStep(newClient(t, func(r *http.Request) (int, http.Header, string) {
					switch {
					case r.Method == http.MethodPost:
						lastAttempt = postedAttempt(t, r)
						epoch, _ := json.Marshal(map[string]any{"epoch": trainer.Epoch{Attempt: lastAttempt}, "step": 3, "groups": 1})
						return http.StatusOK, nil, string(epoch)
					case r.Method == http.MethodGet && lastAttempt == 1:
						return http.StatusOK, nil, strings.Replace(broken, `"attempt":2`, `"attempt":1`, 1)
					}
					return http.StatusOK, nil, completeAnswer
				}), oneGroup)
				require.NoError(t, err)
				require.Len(t, got, 1)
				require.Equal(t, uint64(2), lastAttempt)
			})
		})
	}
}

// The entries are overloaded and answer with Retry-After. The client must not
// retry earlier.
func TestRetryAfterIsRespected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var requestTimes []time.Time
		_, err := runStep(newClient(t, func(r *http.Request) (int, http.Header, string) {
			requestTimes = append(requestTimes, time.Now())
			if len(requestTimes) < 3 {
				return http.StatusServiceUnavailable, http.Header{"Retry-After": {"7"}}, `{"error":{"kind":"overloaded"}}`
			}
			return http.StatusBadRequest, nil, `{"error":{"kind":"bad_request","message":"no"}}`
		}), oneGroup)
		require.ErrorContains(t, err, "bad_request", "a final refusal ends the step")
		require.Len(t, requestTimes, 3)
		require.GreaterOrEqual(t, requestTimes[1].Sub(requestTimes[0]), 7*time.Second)
		require.GreaterOrEqual(t, requestTimes[2].Sub(requestTimes[1]), 7*time.Second)
	})
}

// The first entry is unavailable. The client publishes the version at the next.
func TestPublishFailsOverToNextEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var hosts []string
		err := newClient(t, func(r *http.Request) (int, http.Header, string) {
			hosts = append(hosts, r.URL.Host)
			if r.URL.Host == "a" {
				return http.StatusBadGateway, nil, "<html>no such backend</html>"
			}
			return http.StatusOK, nil, `{}`
		}).Publish(context.Background(), 4)
		require.NoError(t, err)
		require.Equal(t, []string{"a", "b"}, hosts)
	})
}
