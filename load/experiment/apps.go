package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/load/client"
	"dandelionsill.org/load/judge"
	"dandelionsill.org/load/openloop"
	"dandelionsill.org/load/site"
	"dandelionsill.org/manifest"
)

// Shares of application calls; the rest are writes without an idempotency key.
const (
	readShare  = 0.6
	keyedShare = 0.25
)

const (
	callTimeout       = 3 * time.Second
	completionTimeout = 10 * time.Second
	completionTokens  = 64
	maxInFlight       = 4000
	maxConns          = 512
	retryPause        = 100 * time.Millisecond
	callBodyBytes     = 200
	maxLatencyUS      = int64(60 * time.Second / time.Microsecond)
)

// apps simulates the application callers of a run.
type apps struct {
	run      *run
	balancer *client.Balancer
	client   *client.Client

	mu            sync.Mutex
	calls         []judge.Call
	completions   []judge.Completion
	latency       *hdrhistogram.Histogram // of requests, in µs
	requested, ok int
	dropped       int
}

func newApps(r *run) *apps {
	b := client.NewBalancer(r.site.URLs(site.RoleEntry))
	return &apps{
		run: r, balancer: b, client: client.New(b, site.Token(site.Caller), maxConns),
		latency: hdrhistogram.New(1, maxLatencyUS, 3),
	}
}

// sendAll sends calls and completions and returns when all have ended.
func (a *apps) sendAll(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go a.balancer.Run(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { a.sendOpenLoop(ctx, a.run.cfg.Scenario.Calls, 1, a.sendCall) })
	wg.Go(func() { a.sendOpenLoop(ctx, a.run.cfg.Scenario.Completions, 2, a.sendCompletion) })
	wg.Wait()
}

// sendOpenLoop calls send at the given rate. stream distinguishes the random
// numbers of the two kinds of requests.
func (a *apps) sendOpenLoop(ctx context.Context, rate float64, stream uint64, send func(context.Context, *rand.Rand)) {
	cfg := openloop.Config{Rate: rate, Duration: a.run.cfg.Duration, MaxInFlight: maxInFlight, Seed: a.run.cfg.Seed + stream}
	_, dropped := openloop.Run(ctx, cfg, func(ctx context.Context, i int) {
		send(ctx, rand.New(rand.NewPCG(a.run.cfg.Seed, stream<<32+uint64(i))))
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropped += dropped
	a.requested += dropped
}

// record counts the end of a request. took includes the retry, if there was one.
func (a *apps) record(ok bool, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requested++
	if ok {
		a.ok++
		_ = a.latency.RecordValue(min(took.Microseconds(), maxLatencyUS)) // cannot fail, as min keeps the value in range
	}
}

// sendCall sends one request to the plain service. If a request with an
// idempotency key is interrupted, sendCall retries it once, which the key makes
// safe.
func (a *apps) sendCall(ctx context.Context, rng *rand.Rand) {
	c := client.Call{Service: a.run.site.Deployment.Service, Method: http.MethodGet, Timeout: callTimeout}
	kind := rng.Float64()
	c.Path = fmt.Sprintf("/status/%d", rng.IntN(1_000_000))
	if kind >= readShare {
		c.Method = http.MethodPost
		c.Path = fmt.Sprintf("/sync/%d", rng.IntN(1_000_000))
		c.Body = make([]byte, callBodyBytes)
		for i := range c.Body {
			c.Body[i] = byte(rng.Uint32())
		}
	}
	if kind >= readShare && kind < readShare+keyedShare {
		c.Key = uuid.Must(uuid.NewV7()).String()
	}
	started := time.Now()
	r := a.attemptCall(ctx, c)
	if c.Key != "" && r.WasInterrupted() {
		sleep.For(ctx, retryPause)
		r = a.attemptCall(ctx, c)
	}
	a.record(r.OK(), time.Since(started))
}

// attemptCall sends one attempt of a call and records it.
func (a *apps) attemptCall(ctx context.Context, c client.Call) client.Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+time.Second)
	defer cancel()
	c.RequestID = uuid.NewString()
	r := a.client.Call(ctx, c)
	call := judge.Call{
		Method: c.Method, Path: c.Path, BodySHA256: manifest.Hash(c.Body),
		Write: c.Method != http.MethodGet, Result: r,
	}
	a.mu.Lock()
	a.calls = append(a.calls, call)
	a.mu.Unlock()
	return r
}

// sendCompletion requests one streamed completion.
func (a *apps) sendCompletion(ctx context.Context, rng *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, completionTimeout+time.Second)
	defer cancel()
	request := client.Completion{
		RequestID: uuid.NewString(), Model: a.run.site.Deployment.Model, Stream: true,
		Prompt:    fmt.Sprintf("wearer %d asks: when is my next box due?", rng.IntN(1000)),
		MaxTokens: completionTokens, Seed: rng.Uint64() >> 1, Timeout: completionTimeout,
	}
	r, text := a.client.Complete(ctx, request, nil)
	a.mu.Lock()
	a.completions = append(a.completions, judge.Completion{
		Prompt: request.Prompt, Seed: request.Seed, MaxTokens: request.MaxTokens, Result: r, Text: text.Text, Spans: text.Spans,
	})
	a.mu.Unlock()
	a.record(r.OK(), r.Took)
}

// countOutcomes returns the number of answers by kind of request and outcome.
func (a *apps) countOutcomes() map[string]int {
	counts := map[string]int{}
	for i := range a.calls {
		c := &a.calls[i]
		name := "read"
		switch {
		case c.Write && c.Result.Key != "":
			name = "keyed write"
		case c.Write:
			name = "write"
		}
		counts[name+" "+outcome(c.Result)]++
	}
	for i := range a.completions {
		counts["completion "+outcome(a.completions[i].Result)]++
	}
	return counts
}

// goodput returns how many calls per second the plain service answered
// successfully.
func (a *apps) goodput() float64 {
	ok := 0
	for i := range a.calls {
		if a.calls[i].Result.OK() {
			ok++
		}
	}
	return float64(ok) / a.run.cfg.Duration.Seconds()
}

// outcome returns "ok" or the kind of the error.
func outcome(r client.Result) string {
	if r.OK() {
		return "ok"
	}
	return r.Kind()
}
