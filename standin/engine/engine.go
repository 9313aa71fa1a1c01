// Package engine is a stand-in for a model engine: continuous batching,
// priorities, a bounded prefix cache, weight orders with or without fencing,
// KV export and resume, and faults. Its output is package truth's.
package engine

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"dandelionsill.org/standin/web"
)

// Config configures an engine. Durations are in model time; TimeScale turns
// them into wall time.
type Config struct {
	Name          string
	Model         string
	Version       uint64 // weights served from the start; 0: none
	Slots         int    // streams at once
	StepBase      time.Duration
	StepPerStream time.Duration
	PrefillToken  time.Duration // per prompt token
	MaxPrefillPerStep  int           // prompt tokens in one step at most
	PrefixCacheSize   int           // prefixes kept
	MeanTokens    float64       // mean natural length of an output
	Sigma         float64       // of the length's logarithm
	MaxChunkTokens   int           // tokens in a chunk at most
	MaxChunkDelay time.Duration // a chunk waits no longer (wall time)
	LoadTime      time.Duration // of a weight order
	LoadLag       time.Duration // age of load reports
	EventLag      time.Duration // age of cache events
	EventLossShare     float64       // share of cache events lost
	KVBytesPerToken       int           // size of exported KV cache per token
	Fencing       bool          // refuse orders with an older fencing token
	TimeScale     float64       // factor on model time; 0: 1
	Seed          uint64
	// Exit ends the process on the fault "crash". Without it (in tests) the
	// engine drops every stream and starts anew under another boot id.
	Exit func(code int)
}

// DefaultConfig is what the flags default to.
func DefaultConfig() Config {
	return Config{
		Name:          "engine",
		Model:         "drafter-lm",
		Version:       1,
		Slots:         32,
		StepBase:      12 * time.Millisecond,
		StepPerStream: 250 * time.Microsecond,
		PrefillToken:  30 * time.Microsecond,
		MaxPrefillPerStep:  2048,
		PrefixCacheSize:   64,
		MeanTokens:    300,
		Sigma:         0.8,
		MaxChunkTokens:   8,
		MaxChunkDelay: 100 * time.Millisecond,
		LoadTime:      4 * time.Second,
		LoadLag:       500 * time.Millisecond,
		EventLag:      500 * time.Millisecond,
		EventLossShare:     0.05,
		KVBytesPerToken:       64,
		Fencing:       true,
		TimeScale:     1,
		Seed:          1,
	}
}

// AddFlags adds the configuration to fs, with DefaultConfig's values.
func (c *Config) AddFlags(fs *flag.FlagSet) {
	*c = DefaultConfig()
	fs.StringVar(&c.Name, "name", c.Name, "name, part of the boot id")
	fs.StringVar(&c.Model, "model", c.Model, "model served")
	fs.Uint64Var(&c.Version, "version", c.Version, "weights served from the start; 0: none")
	fs.IntVar(&c.Slots, "slots", c.Slots, "streams at once")
	fs.DurationVar(&c.StepBase, "step-base", c.StepBase, "time of a token step")
	fs.DurationVar(&c.StepPerStream, "step-per-stream", c.StepPerStream, "added to a step per running stream")
	fs.DurationVar(&c.PrefillToken, "prefill-token", c.PrefillToken, "prefill time of a prompt token")
	fs.IntVar(&c.MaxPrefillPerStep, "prefill-chunk", c.MaxPrefillPerStep, "prompt tokens in one step at most")
	fs.IntVar(&c.PrefixCacheSize, "prefix-cache", c.PrefixCacheSize, "prompt prefixes kept")
	fs.Float64Var(&c.MeanTokens, "mean-tokens", c.MeanTokens, "mean natural length of an output")
	fs.Float64Var(&c.Sigma, "sigma", c.Sigma, "sigma of the length's logarithm")
	fs.IntVar(&c.MaxChunkTokens, "chunk-tokens", c.MaxChunkTokens, "tokens in a chunk at most")
	fs.DurationVar(&c.MaxChunkDelay, "chunk-interval", c.MaxChunkDelay, "a chunk waits no longer (not scaled)")
	fs.DurationVar(&c.LoadTime, "load-time", c.LoadTime, "time to load weights")
	fs.DurationVar(&c.LoadLag, "load-lag", c.LoadLag, "age of load reports")
	fs.DurationVar(&c.EventLag, "event-lag", c.EventLag, "age of cache events")
	fs.Float64Var(&c.EventLossShare, "event-loss", c.EventLossShare, "share of cache events lost")
	fs.IntVar(&c.KVBytesPerToken, "kv-bytes", c.KVBytesPerToken, "bytes of exported KV cache per token")
	fs.Float64Var(&c.TimeScale, "time-scale", c.TimeScale, "factor on all durations")
	fs.Uint64Var(&c.Seed, "seed", c.Seed, "seed of all randomness")
	fs.Func("fencing", "obeys or ignores (default obeys)", func(v string) error {
		c.Fencing = v == "obeys"
		if v != "obeys" && v != "ignores" {
			return fmt.Errorf("%q: want obeys or ignores", v)
		}
		return nil
	})
}

// States of an engine.
const (
	stateServing = "serving"
	stateLoading = "loading"
	stateFailed  = "failed"
	stateEmpty   = "empty"
)

// Engine is the stand-in; it is an http.Handler. Close ends it.
type Engine struct {
	Faults web.Faults[Faults]

	cfg    Config
	mux    *http.ServeMux
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}
	orders sync.Mutex // held while an order is carried out

	mu          sync.Mutex
	rng         *rand.Rand
	starts      int
	boot        string
	model       string
	role        string
	version     uint64
	state       string
	order       uint64
	mixed       [2]uint64 // state failed: old and new version
	failNext    bool
	loseNext    bool
	frozenUntil time.Time
	arrivals    uint64
	waiting     []*stream // by priority, then arrival
	running     []*stream
	cache       prefixCache
	kv          kvStore
	reports     reports
	truth       truthLog
}

// New starts an engine.
func New(cfg Config) *Engine {
	if cfg.TimeScale <= 0 {
		cfg.TimeScale = 1
	}
	cfg.Slots = max(1, cfg.Slots)
	cfg.MaxChunkTokens = max(1, cfg.MaxChunkTokens)
	cfg.MaxPrefillPerStep = max(1, cfg.MaxPrefillPerStep)
	e := &Engine{cfg: cfg, mux: http.NewServeMux(), wake: make(chan struct{}, 1)}
	e.rng = rand.New(rand.NewPCG(cfg.Seed, 0))
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.Faults.OnApply = e.applyFaults
	e.start()
	e.routes()
	go e.run()
	go e.report()
	return e
}

// Close ends the engine's work; its open streams are cut.
func (e *Engine) Close() {
	e.mu.Lock()
	e.cutAll("closed")
	e.mu.Unlock()
	e.cancel()
}

func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

func (e *Engine) routes() {
	e.mux.HandleFunc("POST /v1/completions", e.completions)
	e.mux.HandleFunc("POST /v1/cancel", e.cancelByID)
	e.mux.HandleFunc("GET /v1/load", e.getLoad)
	e.mux.HandleFunc("GET /v1/events", e.getEvents)
	e.mux.HandleFunc("GET /v1/kv/{id}", e.getKV)
	e.mux.HandleFunc("GET /admin/state", e.getState)
	e.mux.HandleFunc("POST /admin/weights", e.weightsOrder)
	e.mux.HandleFunc("POST /admin/role", e.roleOrder)
	e.mux.HandleFunc("GET /truth", e.getTruth)
	e.mux.HandleFunc("GET /livez", web.Livez)
	e.mux.Handle("/admin/faults", &e.Faults)
}

// start puts the engine into the state of a fresh process.
func (e *Engine) start() {
	e.starts++
	e.boot = fmt.Sprintf("%s-%x-%d", e.cfg.Name, time.Now().UnixNano(), e.starts)
	e.model = e.cfg.Model
	e.version = e.cfg.Version
	e.role = "all"
	e.order = 0
	e.state = stateServing
	if e.version == 0 {
		e.state = stateEmpty
	}
	e.cache = newPrefixCache(e.cfg.PrefixCacheSize)
	e.kv = newKVStore()
}

func (e *Engine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.cfg.TimeScale)
}

func (e *Engine) poke() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// enqueue adds a stream to the queue: higher priority first, then arrival.
func (e *Engine) enqueue(s *stream) {
	e.arrivals++
	s.arrival = e.arrivals
	i, _ := slices.BinarySearchFunc(e.waiting, s, func(a, b *stream) int {
		return cmp.Or(cmp.Compare(b.job.Priority, a.job.Priority), cmp.Compare(a.arrival, b.arrival))
	})
	e.waiting = slices.Insert(e.waiting, i, s)
}

// remove takes a stream out of queue and batch.
func (e *Engine) remove(s *stream) {
	same := func(o *stream) bool { return o == s }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.running = slices.DeleteFunc(e.running, same)
}

// cutAll ends every stream without a finish.
func (e *Engine) cutAll(how string) {
	for _, s := range append(slices.Clone(e.waiting), e.running...) {
		s.cut = true
		e.end(s, how)
	}
	e.waiting = nil
	e.running = nil
}
