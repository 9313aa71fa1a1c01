package commands

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionsill.org/load/client"
	"dandelionsill.org/load/judge"
	"dandelionsill.org/load/openloop"
	"dandelionsill.org/manifest"
)

const (
	maxInFlight  = 4000
	maxConns     = 512
	maxLatencyUS = int64(10 * time.Minute / time.Microsecond)
	excerpt      = 90 // bytes of an answer that are shown
)

// traffic are the flags that call and complete share.
type traffic struct {
	entries string
	token   string
	rate    float64
	length  time.Duration
	timeout time.Duration
	seed    uint64
	out     string
}

func (t *traffic) flags(fs *flag.FlagSet) {
	fs.StringVar(&t.entries, "entries", "", "base URLs of the entries, comma separated")
	fs.StringVar(&t.token, "token", "", "bearer token")
	fs.Float64Var(&t.rate, "rate", 0, "requests a second (Poisson arrivals); 0: just one request")
	fs.DurationVar(&t.length, "for", 5*time.Second, "how long to send")
	fs.DurationVar(&t.timeout, "timeout", 10*time.Second, "deadline of each request")
	fs.Uint64Var(&t.seed, "seed", 1, "seed of arrivals and contents")
	fs.StringVar(&t.out, "out", "", "file for the records, for judge; empty: none")
}

// outcomes counts results and their latencies.
type outcomes struct {
	mu      sync.Mutex
	kinds   map[string]int
	latency *hdrhistogram.Histogram // µs, of whole answers
}

func newOutcomes() *outcomes {
	return &outcomes{kinds: map[string]int{}, latency: hdrhistogram.New(1, maxLatencyUS, 3)}
}

func (o *outcomes) add(r client.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !r.OK() {
		o.kinds[r.Kind()]++
		return
	}
	o.kinds["ok"]++
	_ = o.latency.RecordValue(min(r.Took.Microseconds(), maxLatencyUS)) // in range by min
}

func (o *outcomes) print(w io.Writer, dropped int) {
	fmt.Fprintf(w, "outcomes %v, dropped %d; latency ms p50 %.1f p90 %.1f p99 %.1f max %.1f\n", o.kinds, dropped,
		float64(o.latency.ValueAtQuantile(50))/1000, float64(o.latency.ValueAtQuantile(90))/1000,
		float64(o.latency.ValueAtQuantile(99))/1000, float64(o.latency.Max())/1000)
}

// send fires one request, or many at the rate, over the balanced entries.
func (t *traffic) send(ctx context.Context, w io.Writer, one func(context.Context, *client.Client, *rand.Rand) client.Result) error {
	if t.entries == "" {
		return errors.New("--entries is empty")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b := client.NewBalancer(strings.Split(t.entries, ","))
	go b.Run(ctx)
	c := client.New(b, t.token, maxConns)
	if t.rate <= 0 {
		return show(w, one(ctx, c, rand.New(rand.NewPCG(t.seed, 0))))
	}
	sums := newOutcomes()
	cfg := openloop.Config{Rate: t.rate, Duration: t.length, MaxInFlight: maxInFlight, Seed: t.seed}
	_, dropped := openloop.Run(ctx, cfg, func(ctx context.Context, i int) {
		sums.add(one(ctx, c, rand.New(rand.NewPCG(t.seed, uint64(i)))))
	})
	sums.print(w, dropped)
	return nil
}

// show prints one result; one that is not whole is an error.
func show(w io.Writer, r client.Result) error {
	if !r.OK() {
		return errors.Errorf("status %d, kind %q: %s%s", r.Status, r.Kind(), r.Fault, r.Body)
	}
	body := strings.TrimSpace(string(r.Body))
	fmt.Fprintf(w, "answered %d after %.1f ms by %s: %s\n", r.Status, r.Took.Seconds()*1000, r.Entry, body[:min(len(body), excerpt)])
	return nil
}

func callCommand(w io.Writer) *ffcli.Command {
	var (
		t    traffic
		in   client.Call
		key  float64
		body int
	)
	return command("call", "Call a plain service, once or at a rate.",
		func(fs *flag.FlagSet) {
			t.flags(fs)
			fs.StringVar(&in.Service, "service", "", "the service")
			fs.StringVar(&in.Method, "method", "GET", "method")
			fs.StringVar(&in.Path, "path", "/", "path; a number is appended to each request of a rate")
			fs.Float64Var(&key, "keyed", 0, "share of requests that carry an idempotency key")
			fs.IntVar(&body, "body", 0, "bytes of random body")
		},
		func(ctx context.Context) error {
			var mu sync.Mutex
			var records []judge.Call
			err := t.send(ctx, w, func(ctx context.Context, c *client.Client, rng *rand.Rand) client.Result {
				call := in
				call.RequestID = uuid.NewString()
				call.Timeout = t.timeout
				call.Body = randomBytes(rng, body)
				if t.rate > 0 {
					call.Path = fmt.Sprintf("%s/%d", strings.TrimSuffix(in.Path, "/"), rng.IntN(1_000_000))
				}
				if rng.Float64() < key {
					call.Key = uuid.Must(uuid.NewV7()).String()
				}
				r := c.Call(ctx, call)
				mu.Lock()
				defer mu.Unlock()
				records = append(records, judge.Call{
					Method: call.Method, Path: call.Path, BodySHA256: manifest.Hash(call.Body),
					Write: call.Method != "GET" && call.Method != "HEAD", Result: r,
				})
				return r
			})
			return firstError(err, save(t.out, records))
		})
}

func randomBytes(rng *rand.Rand, n int) []byte {
	data := make([]byte, n)
	for i := range data {
		data[i] = byte(rng.Uint32())
	}
	return data
}

func completeCommand(w io.Writer) *ffcli.Command {
	var (
		t  traffic
		in client.Completion
	)
	return command("complete", "Ask a model for a completion, once or at a rate.",
		func(fs *flag.FlagSet) {
			t.flags(fs)
			fs.StringVar(&in.Model, "model", "", "the model")
			fs.StringVar(&in.Prompt, "prompt", "When is my order due?", "the prompt")
			fs.IntVar(&in.MaxTokens, "max-tokens", 64, "longest answer")
			fs.BoolVar(&in.Stream, "stream", true, "stream the answer")
		},
		func(ctx context.Context) error {
			var mu sync.Mutex
			var records []judge.Completion
			err := t.send(ctx, w, func(ctx context.Context, c *client.Client, rng *rand.Rand) client.Result {
				ask := in
				ask.RequestID = uuid.NewString()
				ask.Timeout = t.timeout
				ask.Seed = rng.Uint64() >> 1
				r, text := c.Complete(ctx, ask, nil)
				if t.rate <= 0 && r.OK() {
					r.Body = fmt.Appendf(nil, "%d events, finish %s, label %v: %s", text.TextEvents, text.Finish, text.Spans, text.Text)
				}
				mu.Lock()
				defer mu.Unlock()
				records = append(records, judge.Completion{
					Prompt: ask.Prompt, Seed: ask.Seed, MaxTokens: ask.MaxTokens, Result: r, Text: text.Text, Spans: text.Spans,
				})
				return r
			})
			return firstError(err, save(t.out, records))
		})
}

// save writes records as JSON; an empty name writes none.
func save(file string, records any) error {
	if file == "" {
		return nil
	}
	data, err := json.Marshal(records)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(file, data, 0o644))
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
