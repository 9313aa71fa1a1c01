package generate

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"dandelionsill.org/agent/held"
	"dandelionsill.org/agent/weights"
	"dandelionsill.org/decide/fresh"
	"dandelionsill.org/decide/label"
	"dandelionsill.org/kinds"
	"dandelionsill.org/wire/pb"
)

const (
	// maxEpochs is how many steps of a trainer keep their newest epoch.
	maxEpochs = 16
	// maxPartials bounds the unfinished samples kept for take-over: a few
	// times the streams that one engine runs.
	maxPartials = 256
	// applicationWindow is how long an engine counts as serving applications after
	// their last stream: a few times the time between the calls of a busy one.
	applicationWindow = 10 * time.Second
)

// run is one request from its arrival to its end.
type run struct {
	id               string
	caller           string
	sample           *held.Key // nil for an application's stream
	sampleID         *pb.SampleID
	epoch            epoch
	prompt           string
	maxTokens        uint32
	seed             uint64
	priority         int
	allowMixed       bool
	hedge            bool
	resume           *pb.Resume
	interrupt        context.CancelCauseFunc
	floor            atomic.Uint64
	version          atomic.Uint64 // of the newest token
	stopEngineStream atomic.Pointer[context.CancelCauseFunc]
	startVersion     uint64
	startBoot        string
	active           bool // under the table's lock: the engine may have it

	ended        chan struct{}
	finalPartial *partial // set before ended is closed
}

// partial is an unfinished sample's proved part.
type partial struct {
	prompt string
	seed   uint64
	text   string
	spans  []label.Span
	jobID  string // the engine's id of the stream
}

func (p *partial) version() uint64 { return p.spans[len(p.spans)-1].Version }
func (p *partial) tokens() uint32  { return p.spans[len(p.spans)-1].To }

// epoch orders the owners of a step.
type epoch struct{ attempt, claim uint64 }

func (e epoch) before(o epoch) bool {
	return e.attempt < o.attempt || (e.attempt == o.attempt && e.claim < o.claim)
}

func epochFrom(e *pb.Epoch) epoch { return epoch{e.GetAttempt(), e.GetClaim()} }

func newRun(req *pb.GenerateRequest, interrupt context.CancelCauseFunc) *run {
	r := &run{
		id: req.GetRequestId(), caller: req.GetCaller(), prompt: req.GetPrompt(),
		maxTokens: req.GetMaxTokens(), seed: req.GetSeed(), priority: int(req.GetPriority()),
		// An application takes the answer from whatever serves.
		allowMixed: req.GetAllowMixed() || req.GetSample() == nil,
		hedge:      req.GetHedge(), resume: req.GetResume(),
		interrupt: interrupt, ended: make(chan struct{}),
	}
	r.floor.Store(req.GetFloor())
	if id := req.GetSample(); id != nil {
		key := held.KeyOf(id)
		r.sample, r.sampleID, r.epoch = &key, id, epochFrom(req.GetEpoch())
	}
	return r
}

func (r *run) trainer() string {
	if r.sample == nil {
		return ""
	}
	return r.sample.Trainer
}

// resumeVersion returns the version of the last token that the run goes on
// behind; 0 where it starts anew or needs no label.
func (r *run) resumeVersion() uint64 {
	spans := r.resume.GetSpans()
	if r.sample == nil || len(spans) == 0 {
		return 0
	}
	return spans[len(spans)-1].GetVersion()
}

// contextError turns the end of a run's context into the error for its cause;
// where the context has not ended it returns otherwise.
func (r *run) contextError(ctx context.Context, otherwise *kinds.Error) *kinds.Error {
	switch cause := context.Cause(ctx); cause {
	case nil:
		return otherwise
	case errSuperseded:
		return kinds.New(kinds.Superseded, "%v", cause)
	case errMoved:
		return kinds.New(kinds.Cancelled, "%v", cause)
	case errBelowFloor, errSwap, errUntrusted:
		return r.failure("%v", cause)
	case context.DeadlineExceeded:
		if otherwise != nil && otherwise.NotRun() {
			return otherwise
		}
		return kinds.New(kinds.DeadlineExceeded, "the deadline passed")
	default:
		return kinds.New(kinds.Cancelled, "the caller went away")
	}
}

// failure ends a run whose tokens are lost or can't be trusted.
func (r *run) failure(format string, args ...any) *kinds.Error {
	if r.sample != nil {
		return kinds.New(kinds.SampleDiscarded, format, args...)
	}
	return kinds.New(kinds.BackendFailed, format, args...)
}

// table holds the runs, floors and epochs of one agent.
type table struct {
	mu                 sync.Mutex
	runs               map[string]*run // by request id
	samples            map[held.Key]*run
	floors             fresh.Floors
	epochs             map[string]map[uint64]epoch // trainer -> step -> newest owner
	newestStep         map[string]uint64           // trainer -> newest step
	partials           map[held.Key]*partial
	swapAt             time.Time // zero: no swap is pending
	applicationEndedAt time.Time // when an application's stream last ended
	now                func() time.Time
}

func newTable() *table {
	return &table{
		runs: map[string]*run{}, samples: map[held.Key]*run{},
		epochs: map[string]map[uint64]epoch{}, newestStep: map[string]uint64{},
		partials: map[held.Key]*partial{}, now: time.Now,
	}
}

type registerResult uint8

const (
	registered registerResult = iota
	registerSuperseded
	registerDuplicate
)

// register enters a run unless its owner is superseded or it runs here already.
func (t *table) register(r *run) (older *run, _ registerResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, duplicate := t.runs[r.id]; duplicate {
		return nil, registerDuplicate
	}
	if r.sample != nil {
		if !t.updateOwner(r.sample.Trainer, r.sample.Step, r.epoch) {
			return nil, registerSuperseded
		}
		r.floor.Store(max(r.floor.Load(), t.floors.Get(r.sample.Trainer)))
		existing := t.samples[*r.sample]
		if existing != nil && existing.epoch == r.epoch && !r.hedge {
			return nil, registerDuplicate
		}
		if existing != nil && existing.epoch.before(r.epoch) {
			older = existing
		}
		if existing == nil || older != nil {
			t.samples[*r.sample] = r
		}
	}
	t.runs[r.id] = r
	return older, registered
}

// updateOwner notes an updateOwner's epoch and tells whether it is still the newest. The
// runs of older owners end: their entry is dead or no longer heard by the
// trainer, so their tokens would be made for nobody. What they have made stays
// as partials, from which the new updateOwner's requests go on.
func (t *table) updateOwner(trainer string, step uint64, e epoch) bool {
	steps := t.epochs[trainer]
	if steps == nil {
		steps = map[uint64]epoch{}
		t.epochs[trainer] = steps
	}
	known, seen := steps[step]
	if seen && e.before(known) {
		return false
	}
	steps[step] = e
	if len(steps) > maxEpochs {
		delete(steps, lowestStep(steps))
	}
	t.prunePartials(trainer, step)
	if !seen || known == e {
		return true
	}
	for _, r := range t.runs {
		if r.sample != nil && r.sample.Trainer == trainer && r.sample.Step == step && r.epoch.before(e) {
			r.interrupt(errSuperseded)
		}
	}
	return true
}

func lowestStep(steps map[uint64]epoch) uint64 {
	low := uint64(math.MaxUint64)
	for s := range steps {
		low = min(low, s)
	}
	return low
}

// prunePartials forgets the unfinished samples of steps before a trainer's newest.
func (t *table) prunePartials(trainer string, step uint64) {
	if step <= t.newestStep[trainer] {
		return
	}
	t.newestStep[trainer] = step
	for key := range t.partials {
		if key.Trainer == trainer && key.Step < step {
			delete(t.partials, key)
		}
	}
}

// activate marks a run as at the engine, unless a swap is too near for it. It
// returns the time left until the swap.
func (t *table) activate(r *run, version uint64, boot string, preferNew bool, duration time.Duration) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.swapAt.IsZero() {
		p := fresh.PendingSwap{TimeToSwap: t.swapAt.Sub(t.now()), PreferNew: preferNew}
		if !fresh.MayStartBeforeSwap(p, r.allowMixed, duration) {
			return p.TimeToSwap, false
		}
	}
	r.active, r.startVersion, r.startBoot = true, version, boot
	return 0, true
}

// unregister takes a run out. It tells whether a pending swap may have waited for it.
func (t *table) unregister(r *run) (mayUnblockSwap bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.sample == nil && r.active {
		t.applicationEndedAt = t.now()
	}
	delete(t.runs, r.id)
	if r.sample != nil && t.samples[*r.sample] == r {
		delete(t.samples, *r.sample)
	}
	close(r.ended)
	return r.active && !r.allowMixed && !t.swapAt.IsZero()
}

// keepPartial keeps an unfinished sample's proved part for a new owner.
func (t *table) keepPartial(key held.Key, p *partial) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.partials) >= maxPartials {
		for other := range t.partials {
			delete(t.partials, other)
			break
		}
	}
	t.partials[key] = p
}

func (t *table) takePartial(key held.Key) *partial {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.partials[key]
	delete(t.partials, key)
	return p
}

// raise learns a trainer's floor and judges its active runs where it rose.
func (t *table) raise(trainer string, floor, engineVersion uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	floor, rose := t.floors.Raise(trainer, floor)
	if !rose {
		return false
	}
	for _, r := range t.runs {
		if r.trainer() != trainer || r.floor.Load() >= floor {
			continue
		}
		r.floor.Store(floor)
		if !r.active {
			continue // judged again when it gets its slot
		}
		switch fresh.CheckRaisedFloor(engineVersion, r.version.Load(), floor, r.allowMixed) {
		case fresh.Cancel:
			r.interrupt(errBelowFloor)
		case fresh.Resume:
			if stop := r.stopEngineStream.Load(); stop != nil {
				(*stop)(errResumeOnNewWeights)
			}
		}
	}
	return true
}

// find returns a run by its request id.
func (t *table) find(id string) *run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

// Running tells what a swap must mind.
func (h *Handler) Running() weights.Running {
	t := h.table
	t.mu.Lock()
	defer t.mu.Unlock()
	out := weights.Running{
		Floor:        t.floors.Highest(),
		Applications: !t.applicationEndedAt.IsZero() && t.now().Sub(t.applicationEndedAt) < applicationWindow,
	}
	for _, r := range t.runs {
		if !r.active {
			continue
		}
		if !r.allowMixed {
			out.Unmixed++
		}
		if r.sample == nil {
			out.Applications = true
		}
	}
	return out
}

// SwapPending tells when the next swap comes; the zero time: none.
func (h *Handler) SwapPending(at time.Time) {
	h.table.mu.Lock()
	defer h.table.mu.Unlock()
	h.table.swapAt = at
}

// CancelUnmixed cancels the active streams that may not span versions: their
// time of grace is over.
func (h *Handler) CancelUnmixed() {
	h.cancelWhere(errSwap, func(r *run) bool { return !r.allowMixed })
}

// Discard ends the streams whose tokens can't be trusted. An application's
// stream has no label to prove and goes on unless the text itself is in doubt.
func (h *Handler) Discard(all bool, why string) {
	h.cancelWhere(errUntrusted, func(r *run) bool { return all || r.sample != nil })
}

func (h *Handler) cancelWhere(cause error, match func(*run) bool) {
	t := h.table
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.runs {
		if r.active && match(r) {
			r.interrupt(cause)
		}
	}
}
