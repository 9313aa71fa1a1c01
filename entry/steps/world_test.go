package steps_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"dandelionsill.org/base/explain"
	"dandelionsill.org/confsync"
	"dandelionsill.org/entry/steps"
	"dandelionsill.org/manifest"
	"dandelionsill.org/trainer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const secret = "s3cret"

// view is a confsync.Viewer whose versions a test can raise.
type view struct {
	mu      sync.Mutex
	v       *confsync.View
	changed chan struct{}
}

func (v *view) View() *confsync.View {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.v
}

func (v *view) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *view) Announce(model string, version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.v
	next.Versions = map[string]uint64{model: version}
	v.v = &next
	close(v.changed)
	v.changed = make(chan struct{})
}

// world is a simulated deployment in fake time: entries, agents, a log and a network.
type world struct {
	t       testing.TB
	fleet   *fakeFleet
	log     *fakeLog
	view    *view
	entries map[string]*steps.Steps
	ring    *explain.Ring

	mu sync.Mutex
	// fault is called for each request. It may change the world, and returns what happens
	// to the request and its answer.
	fault          func(r *http.Request) delivery
	calls          map[string]int // "METHOD host" -> count
	previousAnswer *httptest.ResponseRecorder
}

type delivery uint8

const (
	deliver delivery = iota
	dropRequest
	dropAnswer
	replayAnswer // answer with entry a's previous answer to a GET
)

func inBubble(t *testing.T, f func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.close()
		f(w)
	})
}

func newWorld(t testing.TB) *world {
	w := &world{
		t:       t,
		fleet:   &fakeFleet{inFlight: map[string]int{}, changed: make(chan struct{})},
		log:     &fakeLog{appended: make(chan struct{})},
		entries: map[string]*steps.Steps{},
		calls:   map[string]int{},
		ring:    explain.New("test", 4096),
	}
	sum := sha256.Sum256([]byte(secret))
	tr := manifest.Trainer{
		Name: "t", TokenSHA256: hex.EncodeToString(sum[:]), Model: "m",
		StalenessBound: 1, HedgePercent: 10, Weight: 1,
	}
	w.view = &view{changed: make(chan struct{}), v: &confsync.View{Manifest: &manifest.Manifest{
		Models:   map[string]manifest.Model{"m": {Name: "m", MaxTokens: 4096}},
		Trainers: map[string]manifest.Trainer{"t": tr},
	}}}
	return w
}

func (w *world) close() {
	for _, s := range w.entries {
		s.Close()
	}
}

// configureTrainer sets the trainer's settings before the step is posted.
func (w *world) configureTrainer(change func(*manifest.Trainer)) {
	tr := w.view.v.Manifest.Trainers["t"]
	change(&tr)
	w.view.v.Manifest.Trainers["t"] = tr
}

func (w *world) agents(n, slots int, rate float64) {
	for i := range n {
		w.fleet.agents = append(w.fleet.agents, newAgent(fmt.Sprintf("vm-%d", i), slots, rate))
	}
}

func (w *world) entry(name string, change ...func(*steps.Config)) *steps.Steps {
	cfg := steps.Config{Name: name, Fleet: w.fleet, View: w.view, Log: w.log, Explain: w.ring}
	for _, c := range change {
		c(&cfg)
	}
	s := steps.New(cfg)
	w.entries[name] = s
	return s
}

// RoundTrip sends a request to the entry that is the host of the URL.
func (w *world) RoundTrip(r *http.Request) (*http.Response, error) {
	w.mu.Lock()
	w.calls[r.Method+" "+r.URL.Host]++
	fault, s := w.fault, w.entries[r.URL.Host]
	w.mu.Unlock()
	action := deliver
	if fault != nil {
		action = fault(r)
	}
	if action == dropRequest || s == nil {
		return nil, fmt.Errorf("connection refused")
	}
	rec := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Handler().ServeHTTP(rec, r)
	}()
	<-done
	if action == dropAnswer {
		return nil, fmt.Errorf("connection reset")
	}
	if r.Context().Err() != nil {
		return nil, r.Context().Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if action == replayAnswer && w.previousAnswer != nil {
		return response(w.previousAnswer), nil
	}
	if r.Method == http.MethodGet && r.URL.Host == "a" {
		w.previousAnswer = rec
	}
	return response(rec), nil
}

func (w *world) previousAnswerHasGroups() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.previousAnswer != nil && strings.Contains(w.previousAnswer.Body.String(), `"text"`)
}

// response returns a new response on each call, unlike the recorder's Result.
func response(rec *httptest.ResponseRecorder) *http.Response {
	return &http.Response{StatusCode: rec.Code, Header: rec.Header(), Body: io.NopCloser(bytes.NewReader(rec.Body.Bytes()))}
}

func (w *world) setFault(f func(r *http.Request) delivery) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

func (w *world) count(call string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls[call]
}

func (w *world) client(entries ...string) *trainer.Client {
	var urls []string
	for _, e := range entries {
		urls = append(urls, "http://"+e)
	}
	c, err := trainer.New(trainer.Config{Entries: urls, Token: secret, MaxWait: time.Second, Timeout: time.Second, HTTP: &http.Client{Transport: w}})
	require.NoError(w.t, err)
	return c
}

func step(groups, samples int) trainer.Step {
	s := trainer.Step{ID: 1, NewestVersion: 1}
	for i := range groups {
		s.Groups = append(s.Groups, trainer.GroupSpec{
			ID: fmt.Sprint("g", i), Prompt: fmt.Sprint("p", i), Samples: samples, MaxTokens: 400, Seed: uint64(1000 * i),
		})
	}
	return s
}

// run runs a step and checks that each group arrives exactly once and complete, and that
// every token is labelled with the version that generated it.
func (w *world) run(c *trainer.Client, st trainer.Step) []trainer.Group {
	got, err := w.collect(c, st)
	require.NoError(w.t, err)
	require.Len(w.t, got, len(st.Groups)-len(st.Have), "groups")
	return got
}

func (w *world) collect(c *trainer.Client, st trainer.Step) ([]trainer.Group, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	specs := map[string]trainer.GroupSpec{}
	for _, g := range st.Groups {
		specs[g.ID] = g
	}
	var got []trainer.Group
	seen := map[string]bool{}
	for g, err := range c.RunStep(ctx, st) {
		if err != nil {
			return got, err
		}
		require.False(w.t, seen[g.ID], "group %s came twice", g.ID)
		seen[g.ID] = true
		for _, s := range g.Samples {
			w.check(specs[g.ID], s)
		}
		got = append(got, g)
	}
	return got, nil
}

func (w *world) check(g trainer.GroupSpec, s trainer.Sample) {
	versions, err := parseTokens(g.Prompt, g.Seed+uint64(s.Index), s.Text)
	require.NoError(w.t, err)
	require.Len(w.t, versions, int(s.Tokens))
	for _, sp := range s.Spans {
		for i := sp.From; i < sp.To; i++ {
			require.Equal(w.t, sp.Version, versions[i], "label of token %d", i)
		}
	}
}

// countTokens returns how many tokens the engines generated and the trainer received.
func (w *world) countTokens(got []trainer.Group) (generated, used int) {
	for _, a := range w.fleet.agents {
		a.mu.Lock()
		generated += a.generatedTokens
		a.mu.Unlock()
	}
	for _, g := range got {
		for _, s := range g.Samples {
			used += int(s.Tokens)
		}
	}
	return generated, used
}

// getStatus returns the status of an entry's answer to a GET by the trainer.
func (w *world) getStatus(entry, path string) int {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	r.Header.Set("Authorization", "Bearer "+secret)
	rec := httptest.NewRecorder()
	w.entries[entry].Handler().ServeHTTP(rec, r)
	return rec.Code
}

// post posts a step like the trainer's client.
func (w *world) post(entry string, st trainer.Step) {
	body, err := json.Marshal(map[string]any{"step": st.ID, "attempt": 1, "newest_version": st.NewestVersion, "groups": st.Groups, "have": st.Have})
	require.NoError(w.t, err)
	r := httptest.NewRequest(http.MethodPost, "/v1/steps", bytes.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+secret)
	rec := httptest.NewRecorder()
	w.entries[entry].Handler().ServeHTTP(rec, r)
	require.Equal(w.t, http.StatusOK, rec.Code, rec.Body.String())
}

// copyPost delivers a copy of a POST to another entry.
func (w *world) copyPost(entry string, r *http.Request) {
	body, err := r.GetBody()
	require.NoError(w.t, err)
	dup := r.Clone(r.Context())
	dup.Body = body
	w.entries[entry].Handler().ServeHTTP(httptest.NewRecorder(), dup)
}
