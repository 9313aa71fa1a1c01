package trainer_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/standin/trainer"
	client "dandelionsill.org/trainer"
)

// site is an entry and a weight store behind one transport. Each step takes
// five seconds and all tokens are of version 7.
type site struct{ log []string }

func (s *site) RoundTrip(r *http.Request) (*http.Response, error) {
	s.log = append(s.log, r.Method+" "+r.URL.Path)
	body := `{}`
	switch {
	case r.URL.Path == "/models/m/latest":
		body = `{"model":"m","version":7}`
	case r.Method == http.MethodPost && r.URL.Path == "/v1/steps":
		var req struct{ Step, Attempt uint64 }
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			return nil, err
		}
		body = fmt.Sprintf(`{"epoch":{"attempt":%d},"step":%d,"groups":2}`, req.Attempt, req.Step)
	case r.Method == http.MethodGet:
		time.Sleep(5 * time.Second)
		var groups []client.Group
		for i := range 2 {
			g := client.Group{ID: fmt.Sprint("g", i)}
			for j := range uint32(3) {
				g.Samples = append(g.Samples, client.Sample{Index: j, Text: "abc", Tokens: 10, Spans: []client.Span{{Version: 7, To: 10}}})
			}
			groups = append(groups, g)
		}
		data, _ := json.Marshal(groups)
		body = fmt.Sprintf(`{"epoch":{"attempt":1},"cursor":2,"done":true,"groups":%s}`, data)
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body))}, nil
}

func TestRunReportsWhatItGot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{}
		var out bytes.Buffer
		report, err := trainer.Run(t.Context(), trainer.Options{
			Entries: []string{"http://e"}, Token: "x", Model: "m", WeightStore: "http://w", FirstStep: 1,
			Steps: 3, Groups: 2, Samples: 3, MaxTokens: 10, TrainTime: 5 * time.Second, PublishEvery: 1,
			Out: &out, HTTP: &http.Client{Transport: s},
		})
		require.NoError(t, err)
		require.Len(t, report.Steps, 3)
		require.Equal(t, 18, report.Samples)
		require.Zero(t, report.Lost+report.Duplicated)
		require.InDelta(t, 0.5, report.IdleShare, 0.01)
		require.Equal(t, uint64(2), report.StalenessMax, "version 7 when 9 is the newest")
		require.InDelta(t, 1, report.StalenessMean, 0.01)
		require.Equal(t, 3+18+3, strings.Count(out.String(), "\n"), "a line for each step, sample and version")
		put := strings.Index(strings.Join(s.log, " "), "PUT /models/m/versions/8")
		said := strings.Index(strings.Join(s.log, " "), "POST /v1/versions")
		require.Less(t, put, said, "the store has a version before the entries hear of it")
		require.Positive(t, put)
	})
}

// Prompts are a function of seed and step: two policies get the same work.
func TestGroupsAreReproducible(t *testing.T) {
	o := trainer.Options{Model: "m", Groups: 4, Samples: 2, MaxTokens: 5, Seed: 9}
	require.Equal(t, trainer.Groups(o, 3), trainer.Groups(o, 3))
	require.NotEqual(t, trainer.Groups(o, 3), trainer.Groups(o, 4))
}
