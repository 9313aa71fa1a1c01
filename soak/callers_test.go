package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"dandelionsill.org/platform/hosted/hostedtest"
)

// result is one result of a job as a trainer reads it.
type result struct {
	ID       string   `json:"id"`
	State    string   `json:"state"`
	Text     string   `json:"text"`
	Versions []uint64 `json:"versions"`
	Score    string   `json:"score"`
}

// outcome is the answer that a caller got to a request.
type outcome struct {
	status     int // HTTP status; 0: no answer
	atMostOnce bool
}

// isNotRun reports whether the status promises that the request has not run and never will.
func (o outcome) isNotRun() bool {
	switch o.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// record collects what the callers observed and the violations that were found.
type record struct {
	mu         sync.Mutex
	results    map[string][]result // by job
	accepted   map[string]bool
	refused    map[string]bool    // jobs whose every attempt was answered "not run"
	outcomes   map[string]outcome // by request
	violations []string
	served     int
}

func newRecord() *record {
	return &record{results: map[string][]result{}, accepted: map[string]bool{}, refused: map[string]bool{}, outcomes: map[string]outcome{}}
}

func (r *record) reportViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

func (r *record) addOutcome(id string, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[id] = o
	if o.status == http.StatusOK {
		r.served++
	}
}

// checkResults compares results with those that were read before and stores the new
// ones. The first of the results is at position after in the job.
func (r *record) checkResults(job, gateway string, after int, results []result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.results[job]
	for i, res := range results {
		position := after + i
		if position < len(known) {
			if fmt.Sprint(known[position]) != fmt.Sprint(res) {
				r.violations = append(r.violations, fmt.Sprintf("job %s position %d at %s: %v before, %v now", job, position, gateway, known[position], res))
			}
			continue
		}
		known = append(known, res)
	}
	r.results[job] = known
}

// client is a caller that uses a random gateway and a new connection for each request.
type client struct {
	sys  *system
	rec  *record
	http *http.Client
	rng  *rand.Rand
	org  string // whose key is sent
	// faultless is set while no faults are injected from outside.
	faultless bool
}

func newClient(sys *system, rec *record, seed, id uint64) *client {
	return &client{sys: sys, rec: rec, rng: rand.New(rand.NewPCG(seed, id)), org: organisation, http: &http.Client{
		Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true},
	}}
}

// ask sends a request with the organisation's current key to a gateway. The
// status is 0 if there was no complete answer.
func (c *client) ask(ctx context.Context, gateway *process, method, path, id string, body []byte) (int, http.Header, []byte) {
	status, header, data := c.askAs(ctx, gateway, method, path, id, body, http.Header{hostedtest.HeaderKey: {c.key()}})
	if status == http.StatusUnauthorized {
		c.rec.reportViolation("request %s was refused at %s for a key that every configuration contains", id, gateway.name)
	}
	return status, header, data
}

// askAs is ask with the given headers instead of the organisation's key.
func (c *client) askAs(ctx context.Context, gateway *process, method, path, id string, body []byte, header http.Header) (int, http.Header, []byte) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+gateway.listen+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil
	}
	r.Host, r.Header = "app.example", header
	r.Header.Set(hostedtest.HeaderAttempt, id)
	if r.Header.Get(hostedtest.HeaderDeadline) == "" {
		r.Header.Set(hostedtest.HeaderDeadline, "3000")
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return 0, nil, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, nil
	}
	return resp.StatusCode, resp.Header, data
}

func (c *client) randomGateway() *process {
	return c.sys.gatewayProcs[c.rng.IntN(len(c.sys.gatewayProcs))]
}

// sendRequests sends synchronous requests until ctx ends. About half of them go to
// a path whose requests may run at most once.
func (c *client) sendRequests(ctx context.Context, name string) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		path, atMostOnce := "/score/x", c.rng.IntN(2) == 0
		if atMostOnce {
			path = "/write/x"
		}
		status, header, body := c.ask(ctx, c.randomGateway(), http.MethodPost, path, id, []byte("b"))
		c.checkAnswer(id, atMostOnce, 0, status, header, body)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(5+c.rng.IntN(30)) * time.Millisecond):
		}
	}
}

// checkAnswer records the answer to a request and checks that it is the servers' own, with so
// many bytes of filler.
func (c *client) checkAnswer(id string, atMostOnce bool, filler, status int, header http.Header, body []byte) {
	c.rec.addOutcome(id, outcome{status, atMostOnce})
	if status == http.StatusOK && (string(body) != hostedtest.AnswerData(id, filler) || header.Get(hostedtest.HeaderSeal) != "seal-"+id) {
		c.rec.reportViolation("request %s got %d bytes %.80q with seal %q", id, len(body), body, header.Get(hostedtest.HeaderSeal))
	}
}

// runTrainer submits one step after the other and reads its results until ctx
// ends.
func (c *client) runTrainer(ctx context.Context, number int) {
	for step := 0; ctx.Err() == nil; step++ {
		job := jobName(number, step)
		floor := uint64(max(1, step)) // step k allows version k-1 and newer
		if step > 0 && number == 0 {
			c.sys.store.Put(hostedtest.TopicOperator, "version/"+modelName, map[string]any{"model": modelName, "version": step + 1})
		}
		if number > 0 {
			floor = 1
		}
		if !c.submit(job, floor) {
			continue
		}
		c.readAll(ctx, job, stepTimeout)
		if ctx.Err() == nil {
			c.endJob(job)
		}
	}
}

const (
	stepTimeout = 8 * time.Second // for a trainer's wait for the results of a step
	stepItems   = 8               // items in the job of a step
)

// submit submits a job up to ten times and reports whether it was accepted. A job
// whose every attempt was refused as "not run" is recorded as refused.
func (c *client) submit(job string, floor uint64) bool {
	body, err := json.Marshal(hostedtest.Job(job, modelName, stepItems, floor))
	if err != nil {
		panic(err) // the test built the value
	}
	refused := true
	for range 10 {
		status, _, _ := c.ask(context.Background(), c.randomGateway(), http.MethodPost, "/jobs/x", job, body)
		switch status {
		case http.StatusAccepted:
			c.rec.mu.Lock()
			c.rec.accepted[job] = true
			c.rec.mu.Unlock()
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			refused = false
		}
		time.Sleep(time.Duration(20+c.rng.IntN(200)) * time.Millisecond)
	}
	c.rec.mu.Lock()
	defer c.rec.mu.Unlock()
	c.rec.refused[job] = refused
	return false
}

// readAll reads a job's results at random gateways until it has all of them or
// maxWait has passed, and reports whether it has all. Some reads start at the first
// result again.
func (c *client) readAll(ctx context.Context, job string, maxWait time.Duration) bool {
	deadline := time.Now().Add(maxWait)
	after := 0
	for time.Now().Before(deadline) && ctx.Err() == nil {
		gateway := c.randomGateway()
		if c.rng.IntN(5) == 0 {
			after = 0
		}
		got, ok := c.results(gateway, job, after)
		if ok {
			c.rec.checkResults(job, gateway.name, after, got)
			after += len(got)
			if after >= stepItems {
				return true
			}
		}
		time.Sleep(time.Duration(10+c.rng.IntN(80)) * time.Millisecond)
	}
	return false
}

func (c *client) results(gateway *process, job string, after int) ([]result, bool) {
	status, _, body := c.ask(context.Background(), gateway, http.MethodGet, fmt.Sprintf("%s%s?after=%d", hostedtest.PathJob, job, after), "", nil)
	if status == http.StatusNotFound {
		c.rec.reportViolation("job %s was accepted but is not found at %s", job, gateway.name)
	}
	if status != http.StatusOK {
		return nil, false
	}
	var page struct {
		Results []result `json:"results"`
	}
	if err := json.Unmarshal(body, &page); err != nil {
		c.rec.reportViolation("results of %s at %s: %v", job, gateway.name, err)
		return nil, false
	}
	return page.Results, true
}

func (c *client) endJob(job string) {
	for range 5 {
		if status, _, _ := c.ask(context.Background(), c.randomGateway(), http.MethodDelete, hostedtest.PathJob+job, "", nil); status == http.StatusOK {
			return
		}
	}
}

// checkResult compares a result with what the engines generated and its versions
// with the floor.
func (sys *system) checkResult(rec *record, job string, floor uint64, r result) {
	if r.State != "completed" {
		return
	}
	if r.Text != hostedtest.Text(r.ID, sys.engines[0].Events) {
		rec.reportViolation("sample %s: text %.80q is not complete", r.ID, r.Text)
	}
	if r.Score != "seal-score-"+r.ID {
		rec.reportViolation("sample %s: score %q", r.ID, r.Score)
	}
	if !strings.HasPrefix(r.ID, job) {
		rec.reportViolation("sample %s in job %s", r.ID, job)
	}
	for _, v := range r.Versions {
		if v < floor {
			rec.reportViolation("sample %s: version %d is below the floor %d", r.ID, v, floor)
		}
	}
	for n := 1; n <= sys.engines[0].Events; n++ {
		if !sys.wasGenerated(r, n) {
			rec.reportViolation("sample %s: no engine generated event %d with versions %v", r.ID, n, r.Versions)
			return
		}
	}
}

func (sys *system) wasGenerated(r result, n int) bool {
	for _, e := range sys.engines {
		for _, v := range r.Versions {
			if e.HasGenerated(r.ID, n, v) {
				return true
			}
		}
	}
	return false
}
