// Package steps owns the steps that trainers post to this entry: it queues their
// samples, binds them to engines late, has them scored, and delivers complete groups by
// cursor (docs/PROTOCOLS.md, "steps").
//
// The package stores nothing durably. The trainer has what it acknowledged; everything
// else can be generated again or is held as finished samples by agents. So if an entry
// crashes, its steps lose tokens but no samples.
package steps

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"go.uber.org/zap"

	"dandelionsill.org/base/budget"
	"dandelionsill.org/base/explain"
	"dandelionsill.org/base/metrics"
	"dandelionsill.org/confsync"
	"dandelionsill.org/decide/straggle"
	"dandelionsill.org/entry/fleet"
	foldsteps "dandelionsill.org/fold/steps"
	"dandelionsill.org/platform"
)

const (
	defaultIdleTimeout = 2 * time.Minute
	defaultMaxHeldWait = 500 * time.Millisecond
	defaultMaxBody     = 64 << 20
)

// Policy disables single mechanisms so that their effect can be measured. By default all
// are enabled.
type Policy struct {
	Baseline       bool `ini:"steps.baseline" default:"false" help:"push a step's samples at once, round robin, with no other mechanism (for measurements)"`
	NoHedge        bool `ini:"steps.no_hedge" default:"false" help:"never run a second copy of a late sample"`
	NoMove         bool `ini:"steps.no_move" default:"false" help:"never move a running sample to a faster server"`
	NoAffinity     bool `ini:"steps.no_affinity" default:"false" help:"spread a group's samples instead of sharing a warm prefix"`
	NoLongestFirst bool `ini:"steps.no_longest_first" default:"false" help:"start samples in the trainer's order"`
	NoLateBinding  bool `ini:"steps.no_late_binding" default:"false" help:"push a step's samples to the agents at once"`
	NoResume       bool `ini:"steps.no_resume" default:"false" help:"begin a lost sample again from its first token"`
}

// Config configures Steps. Zero durations and limits take defaults.
type Config struct {
	Name    string
	Fleet   fleet.Fleet
	View    confsync.Viewer
	Log     platform.Log
	Explain *explain.Ring
	Logger  *zap.Logger
	Policy  Policy
	// IdleTimeout is the time without a request of its trainer after which a step is
	// abandoned.
	IdleTimeout time.Duration
	// MaxHeldWait bounds how long a step that was taken over waits for the samples that
	// agents hold before it starts to generate.
	MaxHeldWait time.Duration
	// MaxBody is the maximum size of a posted step in bytes.
	MaxBody int64
	// Bodies bounds posted steps until they are decoded; nil: it does not.
	Bodies *budget.Share
	// Plan overrides limits of the straggler decisions; zero: defaults.
	Plan straggle.Config
}

func (c Config) withDefaults() Config {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	if c.MaxHeldWait == 0 {
		c.MaxHeldWait = defaultMaxHeldWait
	}
	if c.MaxBody == 0 {
		c.MaxBody = defaultMaxBody
	}
	return c
}

var (
	finishedTotal   = metrics.Counter("steps_samples_finished_total")
	lostTotal       = metrics.Counter("steps_runs_lost_total")
	discardedTotal  = metrics.Counter("steps_samples_discarded_total")
	hedgesTotal     = metrics.Counter("steps_hedges_total")
	movesTotal      = metrics.Counter("steps_moves_total")
	wastedTotal     = metrics.Counter("steps_wasted_tokens_total")
	tokensTotal     = metrics.Counter("steps_tokens_total")
	adoptedTotal    = metrics.Counter("steps_samples_adopted_total")
	supersededTotal = metrics.Counter("steps_superseded_total")
)

// Steps owns the steps of this entry. It is safe for concurrent use.
type Steps struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	wake   chan struct{} // capacity 1; a value wakes the scheduler

	mu             sync.Mutex
	steps          map[foldsteps.Key]*step
	owners         *foldsteps.State
	newestVersions map[string]uint64 // trainer and model -> newest version reported by the trainer
	cooldowns      map[string]*cooldown
	unstartedRuns  map[string]int // server -> runs that were sent and have not started there
	rand           *rand.Rand
	draining       bool // accepts no new steps
	redirecting    bool // sends trainers to other entries
	rotation       int
}

// New returns Steps and starts its scheduler and its reader of the log. Drain or Close
// ends them.
func New(cfg Config) *Steps {
	s := &Steps{
		cfg:            cfg.withDefaults(),
		wake:           make(chan struct{}, 1),
		steps:          map[foldsteps.Key]*step{},
		owners:         foldsteps.New(),
		newestVersions: map[string]uint64{},
		cooldowns:      map[string]*cooldown{},
		unstartedRuns:  map[string]int{},
		rand:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	metrics.Gauge("steps_owned", func() any { return s.stepCount() })
	s.spawn(s.schedule)
	if s.cfg.Log != nil {
		s.spawn(s.followLog)
	}
	return s
}

func (s *Steps) spawn(f func()) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		f()
	}()
}

func (s *Steps) stepCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.steps)
}

// Models returns the models of the steps that still need samples, sorted.
func (s *Steps) Models() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	models := map[string]bool{}
	for _, st := range s.steps {
		if !st.plan.Done() {
			models[st.trainer.Model] = true
		}
	}
	return slices.Sorted(maps.Keys(models))
}

// Register adds the routes of the step protocol.
func (s *Steps) Register(srv *khttp.Server) { srv.HandlePrefix("/v1/steps", s.Handler()) }

// Handler serves the step protocol.
func (s *Steps) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/steps", s.handlePost)
	mux.HandleFunc("GET /v1/steps/{step}/groups", s.handleGroups)
	mux.HandleFunc("DELETE /v1/steps/{step}", s.handleDelete)
	return mux
}

// finishShare is the share of the drain time in which steps may finish here; in the rest
// their trainers are sent to other entries.
const finishShare = 0.75

// Drain ends Steps for a planned stop. It accepts no new steps and continues its own
// until they end or finishShare of ctx's time has passed. Then it sends the trainers to
// other entries and lets running samples end; agents hold the finished ones for the new
// owner. It returns ctx's error if some samples could not end in time.
func (s *Steps) Drain(ctx context.Context) error {
	defer s.Close()
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	finishCtx, cancel := ctx, context.CancelFunc(func() {})
	if deadline, ok := ctx.Deadline(); ok {
		limit := time.Duration(finishShare * float64(time.Until(deadline)))
		finishCtx, cancel = context.WithTimeout(ctx, limit)
	}
	defer cancel()
	if s.pollUntil(finishCtx, func() bool { return len(s.steps) == 0 }) == nil {
		return nil
	}
	s.mu.Lock()
	s.redirecting = true
	for _, st := range s.steps {
		st.notify()
	}
	s.mu.Unlock()
	return s.pollUntil(ctx, func() bool { return len(s.steps) == 0 || s.runCount() == 0 })
}

func (s *Steps) runCount() int {
	n := 0
	for _, st := range s.steps {
		n += len(st.runs)
	}
	return n
}

// pollUntil polls a condition under the lock until it is true or ctx ends.
func (s *Steps) pollUntil(ctx context.Context, condition func() bool) error {
	const pollInterval = 20 * time.Millisecond
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		s.mu.Lock()
		ok := condition()
		s.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Close stops all steps immediately and waits for the package's goroutines.
func (s *Steps) Close() {
	s.cancel()
	s.mu.Lock()
	s.draining = true
	for _, st := range s.steps {
		s.stop(st, errLeaving())
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Steps) wakeScheduler() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
