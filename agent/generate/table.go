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
	// maxEpochs is for how many steps of a trainer the newest epoch is kept.
	maxEpochs = 16
	// maxPartials bounds the unfinished samples kept for take-over. It is a few
	// times the number of streams that one engine runs.
	maxPartials = 256
	// applicationWindow is how long after its last application stream an engine
	// still counts as serving applications: a few times the interval between
	// the calls of a busy application.
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
	version          atomic.Uint64 // weight version of the newest token
	stopEngineStream atomic.Pointer[context.CancelCauseFunc]
	startVersion     uint64
	startBoot        string
	active           bool // guarded by the table's lock; the engine may be running it

	ended        chan struct{}
	finalPartial *partial // set before ended is closed
}

// partial is the proved part of an unfinished sample.
type partial struct {
	prompt string
	seed   uint64
	text   string
	spans  []label.Span
	jobID  string // id of the stream at the engine
}

func (p *partial) version() uint64 { return p.spans[len(p.spans)-1].Version }
func (p *partial) tokens() uint32  { return p.spans[len(p.spans)-1].To }

// epoch orders the owners of a step: by attempt, then by claim.
type epoch struct{ attempt, claim uint64 }

func (e epoch) before(o epoch) bool {
	return e.attempt < o.attempt || (e.attempt == o.attempt && e.claim < o.claim)
}

func epochFrom(e *pb.Epoch) epoch { return epoch{e.GetAttempt(), e.GetClaim()} }

func newRun(req *pb.GenerateRequest, interrupt context.CancelCauseFunc) *run {
	r := &run{
		id: req.GetRequestId(), caller: req.GetCaller(), prompt: req.GetPrompt(),
		maxTokens: req.GetMaxTokens(), seed: req.GetSeed(), priority: int(req.GetPriority()),
		// An application accepts tokens of any version.
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

// trainer returns the sample's trainer, or "" for an application's stream.
func (r *run) trainer() string {
	if r.sample == nil {
		return ""
	}
	return r.sample.Trainer
}

// resumeVersion returns the version of the last token after which the run
// resumes, or 0 if the run starts from the beginning or needs no label.
func (r *run) resumeVersion() uint64 {
	spans := r.resume.GetSpans()
	if r.sample == nil || len(spans) == 0 {
		return 0
	}
	return spans[len(spans)-1].GetVersion()
}

// contextError returns the error for the cause that ended the run's context. It
// returns otherwise if the context has not ended, or if its deadline passed and
// otherwise proves that the request did not run.
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

// failure returns the error of a run whose tokens are lost or can't be trusted:
// sample_discarded for a sample, backend_failed for an application's stream.
func (r *run) failure(format string, args ...any) *kinds.Error {
	if r.sample != nil {
		return kinds.New(kinds.SampleDiscarded, format, args...)
	}
	return kinds.New(kinds.BackendFailed, format, args...)
}

// table holds the runs, floors, epochs and partial samples of one agent. It is
// safe for concurrent use.
type table struct {
	mu                 sync.Mutex
	runs               map[string]*run // by request id
	samples            map[held.Key]*run
	floors             fresh.Floors
	epochs             map[string]map[uint64]epoch // trainer -> step -> newest owner
	newestStep         map[string]uint64           // trainer -> newest step
	partials           map[held.Key]*partial
	swapAt             time.Time // when the next swap starts; zero: no swap is pending
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

// register adds a run unless its owner is superseded or the run is here
// already. It returns the run of the same sample from an older epoch, if any.
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

// updateOwner records the epoch of a step's owner and reports whether it is the
// newest so far. It ends the runs of older owners: their entry is dead or can't
// reach the trainer, so no process would use their tokens. The tokens generated
// so far are kept as partials, from which the new owner's requests resume. The
// caller holds the lock.
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

// prunePartials drops the unfinished samples of a trainer's steps before step,
// if step is its newest.
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

// activate marks a run as running on the engine and returns true, unless a
// pending swap comes too soon for it: then it returns the time until the swap
// and false. duration is how long the run is expected to take; 0: unknown.
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

// unregister removes a run. It reports whether a pending swap may have waited
// for the run.
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

// keepPartial keeps the proved part of an unfinished sample for a new owner. If
// the table is full it drops an arbitrary other one.
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

// takePartial removes and returns a sample's partial; nil if there is none.
func (t *table) takePartial(key held.Key) *partial {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.partials[key]
	delete(t.partials, key)
	return p
}

// raise raises a trainer's floor and reports whether it rose. If so, it stops
// the active runs that are below the new floor; those that can resume on newer
// weights only stop their engine stream.
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
			continue // checked when the run gets its slot
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

// find returns the run with the given request id; nil if there is none.
func (t *table) find(id string) *run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

// Running returns what a weight swap must take into account: the highest floor,
// the active streams that may not span versions, and whether the engine serves
// applications.
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

// SetPendingSwap sets when the next swap starts; the zero time means that none is
// pending.
func (h *Handler) SetPendingSwap(at time.Time) {
	h.table.mu.Lock()
	defer h.table.mu.Unlock()
	h.table.swapAt = at
}

// CancelUnmixed cancels the active streams that may not span versions. The
// Keeper calls it when their grace period has ended.
func (h *Handler) CancelUnmixed() {
	h.cancelWhere(errSwap, func(r *run) bool { return !r.allowMixed })
}

// Discard ends the streams whose tokens can't be trusted. An application's
// stream needs no proof of its label, so it continues unless all is set, which
// means that the text itself is in doubt.
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
