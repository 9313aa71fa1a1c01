// Package engine is a stand-in for a model engine. It models continuous
// batching, priorities, a bounded prefix cache, weight orders with or without
// fencing, KV cache export, resumed streams and faults. Package truth defines
// the text that it generates.
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

// Config configures an engine. Durations are in model time, which TimeScale
// converts to wall time, unless a field says otherwise.
type Config struct {
	Name              string
	Model             string
	Version           uint64        // weights version served at startup; 0: none
	Slots             int           // maximum number of streams in the batch
	StepBase          time.Duration // duration of a step, before streams and prefill
	StepPerStream     time.Duration // added to a step per running stream
	PrefillToken      time.Duration // prefill time per prompt token
	MaxPrefillPerStep int           // maximum number of prompt tokens prefilled in one step
	PrefixCacheSize   int           // maximum number of cached prefixes
	MeanTokens        float64       // mean output length when no token limit applies
	Sigma             float64       // standard deviation of the logarithm of the output length
	MaxChunkTokens    int           // maximum number of tokens in a chunk
	MaxChunkDelay     time.Duration // maximum time before a started chunk is sent (wall time)
	LoadTime          time.Duration // time that a weight order takes
	LoadLag           time.Duration // age of load reports
	EventLag          time.Duration // age of cache events
	EventLossShare    float64       // share of cache events lost
	KVBytesPerToken   int           // size of an exported KV cache per output token
	Fencing           bool          // whether orders with an older fencing token are refused
	TimeScale         float64       // wall time per model time; 0 means 1
	Seed              uint64
	// Exit ends the process on the fault "crash". If it is nil, as in tests, the
	// engine drops every stream and restarts with a new boot ID.
	Exit func(code int)
}

// DefaultConfig returns the default values of the flags.
func DefaultConfig() Config {
	return Config{
		Name:              "engine",
		Model:             "drafter-lm",
		Version:           1,
		Slots:             32,
		StepBase:          12 * time.Millisecond,
		StepPerStream:     250 * time.Microsecond,
		PrefillToken:      30 * time.Microsecond,
		MaxPrefillPerStep: 2048,
		PrefixCacheSize:   64,
		MeanTokens:        300,
		Sigma:             0.8,
		MaxChunkTokens:    8,
		MaxChunkDelay:     100 * time.Millisecond,
		LoadTime:          4 * time.Second,
		LoadLag:           500 * time.Millisecond,
		EventLag:          500 * time.Millisecond,
		EventLossShare:    0.05,
		KVBytesPerToken:   64,
		Fencing:           true,
		TimeScale:         1,
		Seed:              1,
	}
}

// AddFlags sets c to DefaultConfig and defines a flag in fs for each setting.
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

// States of an engine as reported by GET /admin/state.
const (
	stateServing = "serving"
	stateLoading = "loading"
	stateFailed  = "failed"
	stateEmpty   = "empty"
)

// Engine is a simulated model engine that serves its API as an http.Handler.
// Close stops it.
type Engine struct {
	Faults web.Faults[Faults]

	cfg      Config
	mux      *http.ServeMux
	ctx      context.Context
	cancel   context.CancelFunc
	wake     chan struct{}
	ordersMu sync.Mutex // held while an order is executed

	mu             sync.Mutex
	rng            *rand.Rand
	incarnation    int
	bootID         string
	model          string
	role           string
	version        uint64
	state          string
	fencingToken   uint64
	mixedVersions  [2]uint64 // old and new version of a partial load; used in state failed
	failNextLoad   bool
	loseNextAnswer bool
	frozenUntil    time.Time
	arrivals       uint64
	waiting        []*stream // sorted by descending priority, then by arrival
	running        []*stream
	cache          prefixCache
	kv             kvStore
	loadHistory    loadHistory
	truth          truthLog
}

// New returns a running engine. The caller must call Close.
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
	e.resetProcess()
	e.routes()
	go e.runSteps()
	go e.sampleLoads()
	return e
}

// Close stops the engine and drops the connections of its open streams.
func (e *Engine) Close() {
	e.mu.Lock()
	e.dropAllStreams("closed")
	e.mu.Unlock()
	e.cancel()
}

func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

func (e *Engine) routes() {
	e.mux.HandleFunc("POST /v1/completions", e.postCompletions)
	e.mux.HandleFunc("POST /v1/cancel", e.postCancel)
	e.mux.HandleFunc("GET /v1/load", e.getLoad)
	e.mux.HandleFunc("GET /v1/events", e.getEvents)
	e.mux.HandleFunc("GET /v1/kv/{id}", e.getKV)
	e.mux.HandleFunc("GET /admin/state", e.getState)
	e.mux.HandleFunc("POST /admin/weights", e.postWeights)
	e.mux.HandleFunc("POST /admin/role", e.postRole)
	e.mux.HandleFunc("GET /truth", e.getTruth)
	e.mux.HandleFunc("GET /livez", web.Livez)
	e.mux.Handle("/admin/faults", &e.Faults)
}

// resetProcess sets the engine to the state of a newly started process with a
// new boot ID. It keeps queued and running streams, the totals and the load
// history.
func (e *Engine) resetProcess() {
	e.incarnation++
	e.bootID = fmt.Sprintf("%s-%x-%d", e.cfg.Name, time.Now().UnixNano(), e.incarnation)
	e.model = e.cfg.Model
	e.version = e.cfg.Version
	e.role = "all"
	e.fencingToken = 0
	e.state = stateServing
	if e.version == 0 {
		e.state = stateEmpty
	}
	e.cache = newPrefixCache(e.cfg.PrefixCacheSize)
	e.kv = newKVStore()
}

// scaled converts model time to wall time.
func (e *Engine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.cfg.TimeScale)
}

// notifyWorker wakes runSteps if it waits for work.
func (e *Engine) notifyWorker() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// enqueue inserts a stream into the queue, which is sorted by descending
// priority, then by arrival.
func (e *Engine) enqueue(s *stream) {
	e.arrivals++
	s.arrival = e.arrivals
	i, _ := slices.BinarySearchFunc(e.waiting, s, func(a, b *stream) int {
		return cmp.Or(cmp.Compare(b.job.Priority, a.job.Priority), cmp.Compare(a.arrival, b.arrival))
	})
	e.waiting = slices.Insert(e.waiting, i, s)
}

// remove removes a stream from the queue and from the batch.
func (e *Engine) remove(s *stream) {
	same := func(o *stream) bool { return o == s }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.running = slices.DeleteFunc(e.running, same)
}

// dropAllStreams ends every stream without a finish reason and drops its
// connection.
func (e *Engine) dropAllStreams(outcome string) {
	for _, s := range append(slices.Clone(e.waiting), e.running...) {
		s.dropConnection = true
		e.endStream(s, outcome)
	}
	e.waiting = nil
	e.running = nil
}
