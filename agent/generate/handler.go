// Package generate runs completions and samples at one model engine: it admits
// them, checks the freshness and the label of every chunk, ends streams that
// can't be trusted, and hands samples over to a step's new owner.
//
// What a caller of Generate sees: Started, chunks and Done; or a refusal. A
// refusal before Started that says "not run" proves that no byte went to the
// engine. After that a sample whose label or freshness can't be proved, or
// whose engine failed, ends with sample_discarded, and an application's stream
// with backend_failed.
package generate

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"

	"dandelionsill.org/agent/admission"
	"dandelionsill.org/agent/held"
	"dandelionsill.org/agent/weights"
	"dandelionsill.org/base/explain"
	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/trace"
	"dandelionsill.org/confsync"
	"dandelionsill.org/decide/admit"
	"dandelionsill.org/decide/fresh"
	"dandelionsill.org/decide/label"
	"dandelionsill.org/kinds"
	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
	"dandelionsill.org/wire/refusal"
)

const (
	part = "generate"
	// DefaultSwapWait is how long a stream waits for fresh weights while an
	// order is under way, before its start or in its middle.
	DefaultSwapWait = 5 * time.Second
	// retryNotReady is the advice while the engine serves no verified version.
	retryNotReady = 500 * time.Millisecond
	// adoptWait bounds the wait for the end of an older epoch's stream whose
	// tokens the new one takes over.
	adoptWait = time.Second
)

// Config of a Handler.
type Config struct {
	Name    string // this backend server's name
	Engine  platform.Engine
	Queue   *admission.Queue
	Weights *weights.Keeper
	View    confsync.Viewer
	Held    *held.Store // nil: one with the default bounds
	Explain *explain.Ring
	// SwapWait is how long a stream waits for fresh weights; 0: DefaultSwapWait.
	SwapWait time.Duration
	// EngineSlots takes the number of slots from the engine's load reports.
	EngineSlots bool
}

// Handler serves the generation methods of the agent's gRPC service.
type Handler struct {
	cfg    Config
	table  *table
	held   *held.Store
	meter  meter
	warm   warmPrefixes
	counts counts
}

type stream = grpc.ServerStreamingServer[pb.GenerateReply]

// New returns a Handler and makes it the guard of the Keeper's swaps. Run must
// run too for the load figures, cache events and announced floors.
func New(cfg Config) *Handler {
	if cfg.Held == nil {
		cfg.Held = held.New(held.Config{})
	}
	if cfg.SwapWait <= 0 {
		cfg.SwapWait = DefaultSwapWait
	}
	h := &Handler{cfg: cfg, held: cfg.Held, table: newTable(), counts: newCounts()}
	cfg.Weights.Guard(h)
	return h
}

// Generate streams one completion or sample.
func (h *Handler) Generate(req *pb.GenerateRequest, out stream) error {
	ctx, span := trace.Tracer("agent").Start(out.Context(), "agent.generate")
	defer span.End()
	err := h.generate(ctx, req, out)
	if err == nil {
		h.counts.done.Add(1)
		return nil
	}
	span.RecordError(err)
	h.counts.refused(err)
	h.cfg.Explain.Add(ctx, part, req.GetRequestId(), err.Kind(), err.Message())
	return out.Send(&pb.GenerateReply{Part: &pb.GenerateReply_Refusal{Refusal: refusal.Encode(err)}})
}

// generate returns nil after Done was sent.
func (h *Handler) generate(ctx context.Context, req *pb.GenerateRequest, out stream) *kinds.Error {
	proof := kinds.Hold()
	if err := h.check(req, proof); err != nil {
		return err
	}
	ctx, cancel := withDeadline(ctx, req.GetDeadlineMs())
	defer cancel()
	ctx, interrupt := context.WithCancelCause(ctx)
	defer interrupt(nil)
	r := newRun(req, interrupt)
	older, err := h.begin(r, proof)
	if err != nil {
		return err
	}
	defer h.end(r)
	if err := h.mayQueue(r, proof); err != nil {
		return err
	}
	deadline, _ := ctx.Deadline()
	release, err := h.cfg.Queue.Acquire(ctx, ticket(req, deadline))
	if err != nil {
		return r.explainEnd(ctx, err)
	}
	defer release()
	if err := h.ready(ctx, r, proof); err != nil {
		return err
	}
	h.adopt(ctx, r, older)
	proof.MarkSent()
	return h.produce(ctx, r, out)
}

// check refuses what can't be served here whatever the load.
func (h *Handler) check(req *pb.GenerateRequest, proof *kinds.Held) *kinds.Error {
	switch {
	case req.GetModel() != h.cfg.Weights.Model():
		return proof.Refuse(kinds.NotFound, "this server serves model %q", h.cfg.Weights.Model())
	case req.GetRequestId() == "":
		return proof.Refuse(kinds.BadRequest, "no request id")
	case req.GetMaxTokens() == 0:
		return proof.Refuse(kinds.BadRequest, "max_tokens is 0")
	case req.GetSample() != nil && req.GetEpoch() == nil:
		return proof.Refuse(kinds.BadRequest, "a sample needs the epoch of its step's owner")
	case req.GetResume() != nil && label.New("", req.GetMaxTokens(), spansFrom(req.GetResume().GetSpans())).Err() != nil:
		return proof.Refuse(kinds.BadRequest, "the spans to resume behind do not fit together")
	}
	return nil
}

// begin enters the run into the table. It returns the older epoch's run of the
// same sample, whose tokens may be taken over.
func (h *Handler) begin(r *run, proof *kinds.Held) (older *run, _ *kinds.Error) {
	h.learnFloor(r.trainer(), r.floor.Load())
	older, verdict := h.table.begin(r)
	switch verdict {
	case beginOlder:
		return nil, kinds.New(kinds.Superseded, "a newer owner of the step has been seen")
	case beginTwice:
		return nil, proof.Refuse(kinds.BadRequest, "the same sample or request already runs here")
	}
	if r.sample != nil {
		h.held.Seen(r.sample.Trainer, r.sample.Step)
	}
	return older, nil
}

// end takes the run out; the last unmixed one lets a swap begin that waits.
func (h *Handler) end(r *run) {
	if h.table.end(r) {
		h.cfg.Weights.Reconsider()
	}
}

// mayQueue refuses early what could not start now either.
func (h *Handler) mayQueue(r *run, proof *kinds.Held) *kinds.Error {
	version, _ := h.cfg.Weights.Serving()
	if h.cfg.Weights.Swapping() || fresh.MayStart(version, r.floor.Load()) {
		return nil
	}
	return notFresh(proof, version, r.floor.Load())
}

// ready makes sure, with the slot held, that the run may start now: it has not
// been superseded, verified weights are fresh enough, and no swap that it
// can't go through is too near. It marks the run as active.
func (h *Handler) ready(ctx context.Context, r *run, proof *kinds.Held) *kinds.Error {
	if err := h.awaitSwap(ctx, r); err != nil {
		return r.explainEnd(ctx, notFresh(proof, 0, r.floor.Load()))
	}
	version, boot := h.cfg.Weights.Serving()
	if !fresh.MayStart(version, r.floor.Load()) {
		return notFresh(proof, version, r.floor.Load())
	}
	if last := r.resumeVersion(); last != 0 && !fresh.MayResume(version, last, r.floor.Load(), r.mixed) {
		return proof.Refuse(kinds.StaleWeights, "a sample left at version %d can't go on on version %d", last, version)
	}
	if left, ok := h.table.activate(r, version, boot, h.weighsStaleness(), h.meter.need(r.maxTokens)); !ok {
		return proof.Refuse(kinds.NotReady, "a weight swap is near").WithRetryAfter(max(left, 0) + retryNotReady)
	}
	return nil
}

// awaitSwap waits while an order is under way: the stream keeps its place in
// place of a round of refusals.
func (h *Handler) awaitSwap(ctx context.Context, r *run) error {
	if err := context.Cause(ctx); err != nil {
		return err
	}
	if !h.cfg.Weights.Swapping() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, h.cfg.SwapWait)
	defer cancel()
	_, _, err := h.cfg.Weights.WaitFresh(ctx, r.floor.Load())
	return err
}

// adopt takes over the tokens of an older epoch's run of the same sample, or
// those that such a run left here when its entry went away.
func (h *Handler) adopt(ctx context.Context, r *run, older *run) {
	if r.sample == nil || r.resume != nil || r.hedge {
		return
	}
	if older != nil {
		limit, cancel := context.WithTimeout(ctx, adoptWait)
		defer cancel()
		select {
		case <-older.ended:
		case <-limit.Done():
		}
	}
	p := h.table.takePartial(*r.sample)
	if p == nil || p.prompt != r.prompt || p.seed != r.seed || p.tokens() >= r.maxTokens {
		return
	}
	if fresh.MayResume(r.startVersion, p.version(), r.floor.Load(), r.mixed) {
		r.resume = &pb.Resume{Text: p.text, Spans: spansTo(p.spans)}
		h.counts.adopted.Add(1)
	}
}

// learnFloor raises a trainer's floor and judges its running streams by it.
func (h *Handler) learnFloor(trainer string, floor uint64) {
	if trainer == "" || !h.table.raise(trainer, floor, h.cfg.Weights.Producing()) {
		return
	}
	h.held.DropBelow(trainer, floor)
	h.cfg.Weights.Reconsider() // below the floor a swap waits for nothing
}

// learnAnnounced raises floors by the weight versions announced since.
func (h *Handler) learnAnnounced() {
	v := h.cfg.View.View()
	if v == nil || v.Manifest == nil {
		return
	}
	newest := v.Versions[h.cfg.Weights.Model()]
	for name, t := range v.Manifest.Trainers {
		if t.Model == h.cfg.Weights.Model() {
			h.learnFloor(name, fresh.Floor(newest, t.StalenessBound))
		}
	}
}

func (h *Handler) weighsStaleness() bool {
	v := h.cfg.View.View()
	return v != nil && v.Manifest != nil && v.Manifest.Fleet.Weigh == manifest.WeighStaleness
}

// Drain refuses new work and waits until what runs has ended.
func (h *Handler) Drain(ctx context.Context) error {
	h.cfg.Queue.Leave()
	select {
	case <-h.cfg.Queue.Idle():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// FetchWeights relays this agent's copy of a weight version.
func (h *Handler) FetchWeights(req *pb.FetchWeightsRequest, out grpc.ServerStreamingServer[pb.WeightsPiece]) error {
	return h.cfg.Weights.FetchWeights(req, out)
}

func notFresh(proof *kinds.Held, version, floor uint64) *kinds.Error {
	if version == 0 {
		return proof.Refuse(kinds.NotReady, "the engine serves no verified version").WithRetryAfter(retryNotReady)
	}
	return proof.Refuse(kinds.StaleWeights, "the engine serves version %d, needed is %d", version, floor).
		WithRetryAfter(retryNotReady)
}

func withDeadline(ctx context.Context, ms int64) (context.Context, context.CancelFunc) {
	if ms <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
}

func ticket(req *pb.GenerateRequest, deadline time.Time) admit.Ticket {
	return admit.Ticket{
		ID: req.GetRequestId(), Caller: req.GetCaller(), Weight: req.GetWeight(),
		Priority: int(req.GetPriority()), Cost: float64(req.GetMaxTokens()), Deadline: deadline,
	}
}

// counts are the part's metrics.
type counts struct {
	done, discarded, superseded, notRun, failed, adopted interface{ Add(int64) }
}

func newCounts() counts {
	return counts{
		done:       metrics.Counter("generate_streams_done_total"),
		discarded:  metrics.Counter("generate_samples_discarded_total"),
		superseded: metrics.Counter("generate_streams_superseded_total"),
		notRun:     metrics.Counter("generate_streams_not_run_total"),
		failed:     metrics.Counter("generate_streams_failed_total"),
		adopted:    metrics.Counter("generate_streams_adopted_total"),
	}
}

func (c counts) refused(err *kinds.Error) {
	switch {
	case err.NotRun():
		c.notRun.Add(1)
	case err.Kind() == string(kinds.SampleDiscarded):
		c.discarded.Add(1)
	case err.Kind() == string(kinds.Superseded):
		c.superseded.Add(1)
	default:
		c.failed.Add(1)
	}
}

// Causes that end a running stream.
var (
	errSuperseded = errors.New("a newer owner of the step has been seen")
	errBelowFloor = errors.New("the weights fell below the floor")
	errSwap       = errors.New("a weight swap came before the end")
	errUntrusted  = errors.New("the engine can't be trusted")
	errMoved      = errors.New("the stream was exported to move elsewhere")
)

var _ weights.Streams = (*Handler)(nil)
