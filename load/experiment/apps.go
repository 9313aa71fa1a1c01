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

// Shares of application calls; the rest are writes without a key.
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
	callBody          = 200 // bytes
	maxLatencyUS      = int64(60 * time.Second / time.Microsecond)
)

// apps plays the application callers of a run.
type apps struct {
	r        *run
	balancer *client.Balancer
	client   *client.Client

	mu          sync.Mutex
	calls       []judge.Call
	completions []judge.Completion
	latency     *hdrhistogram.Histogram // of requests, in µs
	asked, ok   int
	dropped     int
}

func newApps(r *run) *apps {
	b := client.NewBalancer(r.site.URLs(site.RoleEntry))
	return &apps{
		r: r, balancer: b, client: client.New(b, site.Token(site.Caller), maxConns),
		latency: hdrhistogram.New(1, maxLatencyUS, 3),
	}
}

// run fires both kinds of requests and returns when all have ended.
func (a *apps) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go a.balancer.Run(ctx)
	var both sync.WaitGroup
	both.Go(func() { a.fire(ctx, a.r.cfg.Scenario.Calls, 1, a.call) })
	both.Go(func() { a.fire(ctx, a.r.cfg.Scenario.Completions, 2, a.complete) })
	both.Wait()
}

func (a *apps) fire(ctx context.Context, rate float64, stream uint64, one func(context.Context, *rand.Rand)) {
	cfg := openloop.Config{Rate: rate, Duration: a.r.cfg.Duration, MaxInFlight: maxInFlight, Seed: a.r.cfg.Seed + stream}
	_, dropped := openloop.Run(ctx, cfg, func(ctx context.Context, i int) {
		one(ctx, rand.New(rand.NewPCG(a.r.cfg.Seed, stream<<32+uint64(i))))
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropped += dropped
	a.asked += dropped
}

// done takes a request's end, repeats included.
func (a *apps) done(ok bool, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked++
	if ok {
		a.ok++
		_ = a.latency.RecordValue(min(took.Microseconds(), maxLatencyUS)) // in range by min
	}
}

// call sends one request to the plain service. A caller with a key repeats it
// once when its outcome is open, as the key allows.
func (a *apps) call(ctx context.Context, rng *rand.Rand) {
	c := client.Call{Service: a.r.site.Deployment.Service, Method: http.MethodGet, Timeout: callTimeout}
	kind := rng.Float64()
	c.Path = fmt.Sprintf("/status/%d", rng.IntN(1_000_000))
	if kind >= readShare {
		c.Method = http.MethodPost
		c.Path = fmt.Sprintf("/sync/%d", rng.IntN(1_000_000))
		c.Body = make([]byte, callBody)
		for i := range c.Body {
			c.Body[i] = byte(rng.Uint32())
		}
	}
	if kind >= readShare && kind < readShare+keyedShare {
		c.Key = uuid.Must(uuid.NewV7()).String()
	}
	started := time.Now()
	r := a.try(ctx, c)
	if c.Key != "" && r.WasInterrupted() {
		sleep.For(ctx, retryPause)
		r = a.try(ctx, c)
	}
	a.done(r.OK(), time.Since(started))
}

func (a *apps) try(ctx context.Context, c client.Call) client.Result {
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

// complete asks for one streamed completion.
func (a *apps) complete(ctx context.Context, rng *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, completionTimeout+time.Second)
	defer cancel()
	in := client.Completion{
		RequestID: uuid.NewString(), Model: a.r.site.Deployment.Model, Stream: true,
		Prompt:    fmt.Sprintf("wearer %d asks: when is my next box due?", rng.IntN(1000)),
		MaxTokens: completionTokens, Seed: rng.Uint64() >> 1, Timeout: completionTimeout,
	}
	r, text := a.client.Complete(ctx, in, nil)
	a.mu.Lock()
	a.completions = append(a.completions, judge.Completion{
		Prompt: in.Prompt, Seed: in.Seed, MaxTokens: in.MaxTokens, Result: r, Text: text.Text, Spans: text.Spans,
	})
	a.mu.Unlock()
	a.done(r.OK(), r.Took)
}

// kinds counts what callers were told, by kind of request and of answer.
func (a *apps) kinds() map[string]int {
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

// goodput is how many calls a second the plain service answered well.
func (a *apps) goodput() float64 {
	ok := 0
	for i := range a.calls {
		if a.calls[i].Result.OK() {
			ok++
		}
	}
	return float64(ok) / a.r.cfg.Duration.Seconds()
}

func outcome(r client.Result) string {
	if r.OK() {
		return "ok"
	}
	return r.Kind()
}
