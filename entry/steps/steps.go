// Package steps owns the steps that trainers post to this entry: it keeps
// their samples queued, binds them to engines late, has them scored, and
// hands whole groups out by cursor (docs/PROTOCOLS.md, "steps").
//
// Nothing here lasts. What a trainer acknowledged stands with the trainer;
// all else can be generated again or stands as finished samples at agents.
// So an entry may die at any moment and a step costs tokens, never a sample.
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

	"dandelionsill.org/base/explain"
	"dandelionsill.org/base/metrics"
	"dandelionsill.org/confsync"
	"dandelionsill.org/decide/straggle"
	"dandelionsill.org/entry/fleet"
	foldsteps "dandelionsill.org/fold/steps"
	"dandelionsill.org/platform"
	"dandelionsill.org/quarantine"
)

const (
	defaultIdleTimeout = 2 * time.Minute
	defaultMaxHeldWait = 500 * time.Millisecond
	defaultMaxBody     = 64 << 20
)

// Policy switches mechanisms off, so that a bench shows what each one earns.
// All are on by default.
type Policy struct {
	Baseline       bool `ini:"steps.baseline" default:"false" help:"push a step's samples at once, round robin, with no other mechanism (for measurements)"`
	NoHedge        bool `ini:"steps.no_hedge" default:"false" help:"never run a second copy of a late sample"`
	NoMove         bool `ini:"steps.no_move" default:"false" help:"never move a running sample to a faster server"`
	NoAffinity     bool `ini:"steps.no_affinity" default:"false" help:"spread a group's samples instead of sharing a warm prefix"`
	NoLongestFirst bool `ini:"steps.no_longest_first" default:"false" help:"start samples in the trainer's order"`
	NoLateBinding  bool `ini:"steps.no_late_binding" default:"false" help:"push a step's samples to the agents at once"`
	NoResume       bool `ini:"steps.no_resume" default:"false" help:"begin a lost sample again from its first token"`
}

// Config of Steps. Zero durations take defaults.
type Config struct {
	Name    string
	Fleet   fleet.Fleet
	View    confsync.Viewer
	Log     platform.Log
	Explain *explain.Ring
	Logger  *zap.Logger
	Policy  Policy
	// Quarantine keeps samples that crash engines from reaching any; nil: one of its
	// own.
	Quarantine *quarantine.Quarantine
	// IdleTimeout: a step that its trainer has not asked about for so long is
	// given up.
	IdleTimeout time.Duration
	// MaxHeldWait bounds how long a taken-over step waits for agents to tell
	// what they hold before it generates.
	MaxHeldWait time.Duration
	// MaxBody bounds a posted step, in bytes.
	MaxBody int64
	// Plan overrides limits of the straggler decisions; zero: defaults.
	Plan straggle.Config
}

func (c Config) withDefaults() Config {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.Quarantine == nil {
		c.Quarantine = quarantine.New(c.Logger)
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

// Steps owns steps. It is safe for concurrent use.
type Steps struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	wake   chan struct{} // holds one token: the scheduler has something to do

	mu             sync.Mutex
	steps          map[foldsteps.Key]*step
	owners         *foldsteps.State
	newestVersions map[string]uint64 // trainer and model -> newest version by its own word
	cooldowns      map[string]*cooldown
	unstartedRuns  map[string]int // server -> runs sent that haven't started there
	rand           *rand.Rand
	draining       bool // takes no new steps
	redirecting    bool // sends trainers elsewhere
	rotation       int
}

// New returns Steps and starts its scheduler and its reader of the log.
// Drain or Close ends them.
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

// Models lists the models of the steps that still need samples.
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

// Register adds the step protocol's routes.
func (s *Steps) Register(srv *khttp.Server) { srv.HandlePrefix("/v1/steps", s.Handler()) }

// Handler serves the step protocol.
func (s *Steps) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/steps", s.handlePost)
	mux.HandleFunc("GET /v1/steps/{step}/groups", s.handleGroups)
	mux.HandleFunc("DELETE /v1/steps/{step}", s.handleDelete)
	return mux
}

// finishShare of the time to drain is given to steps to end here; in the rest
// their trainers go to other entries.
const finishShare = 0.75

// Drain ends Steps for a planned stop: it takes no new step, goes on with its
// own until they end or most of ctx's time is over, then sends the trainers
// to other entries and lets running samples end (agents hold the finished
// ones for the new owner). It returns ctx's error when some were cut.
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

// pollUntil polls a condition under the lock.
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

// Close stops everything at once.
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
