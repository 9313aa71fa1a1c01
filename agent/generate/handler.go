// Package generate runs completions and samples on one model engine. It admits
// requests, checks the freshness and the version label of every chunk, ends
// streams that can't be trusted, and hands samples over to a step's new owner.
//
// A caller of Generate receives Started, chunks and Done, or a refusal. A
// refusal before Started that is marked "not run" proves that no byte was sent
// to the engine. After Started, a sample whose label or freshness can't be
// proved, or whose engine failed, ends with sample_discarded, and an
// application's stream ends with backend_failed.
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
	part = "generate" // this package's name in the explain records
	// DefaultSwapWait is how long a stream waits for fresh weights while a load
	// order is in progress, before it starts or while it runs.
	DefaultSwapWait = 5 * time.Second
	// notReadyRetryAfter is the retry delay in refusals for weights that are
	// missing or not fresh enough.
	notReadyRetryAfter = 500 * time.Millisecond
	// adoptTimeout bounds the wait for an older epoch's stream to end before
	// the new stream takes over its tokens.
	adoptTimeout = time.Second
)

// Config configures a Handler.
type Config struct {
	Name    string // this backend server's name
	Engine  platform.Engine
	Queue   *admission.Queue
	Weights *weights.Keeper
	View    confsync.Viewer
	Held    *held.Store // nil: a store with the default bounds
	Explain *explain.Ring
	// SwapWait is how long a stream waits for fresh weights; 0: DefaultSwapWait.
	SwapWait time.Duration
	// UseEngineSlots sets the queue's number of slots from the engine's load reports.
	UseEngineSlots bool
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

// New returns a Handler and registers it with the Keeper as the streams that
// weight swaps must respect. Run must be running to keep the load figures, the
// warm prefixes and the announced floors up to date.
func New(cfg Config) *Handler {
	if cfg.Held == nil {
		cfg.Held = held.New(held.Config{})
	}
	if cfg.SwapWait <= 0 {
		cfg.SwapWait = DefaultSwapWait
	}
	h := &Handler{cfg: cfg, held: cfg.Held, table: newTable(), counts: newCounts()}
	cfg.Weights.SetStreams(h)
	return h
}

// Generate streams one completion or sample. It sends a failure to the caller as
// a refusal, and returns an error only if that can't be sent.
func (h *Handler) Generate(req *pb.GenerateRequest, out stream) error {
	ctx, span := trace.Tracer("agent").Start(out.Context(), "agent.generate")
	defer span.End()
	err := h.generate(ctx, req, out)
	if err == nil {
		h.counts.done.Add(1)
		return nil
	}
	span.RecordError(err)
	h.counts.countError(err)
	h.cfg.Explain.Add(ctx, part, req.GetRequestId(), err.Kind(), err.Message())
	return out.Send(&pb.GenerateReply{Part: &pb.GenerateReply_Refusal{Refusal: refusal.Encode(err)}})
}

// generate runs a request from its validation to its end. It returns nil if
// Done was sent.
func (h *Handler) generate(ctx context.Context, req *pb.GenerateRequest, out stream) *kinds.Error {
	proof := kinds.Hold()
	if err := h.validate(req, proof); err != nil {
		return err
	}
	ctx, cancel := withDeadline(ctx, req.GetDeadlineMs())
	defer cancel()
	ctx, interrupt := context.WithCancelCause(ctx)
	defer interrupt(nil)
	r := newRun(req, interrupt)
	older, err := h.register(r, proof)
	if err != nil {
		return err
	}
	defer h.unregister(r)
	if err := h.checkBeforeQueue(r, proof); err != nil {
		return err
	}
	deadline, _ := ctx.Deadline()
	release, err := h.cfg.Queue.Acquire(ctx, newTicket(req, deadline))
	if err != nil {
		return r.contextError(ctx, err)
	}
	defer release()
	if err := h.prepareStart(ctx, r, proof); err != nil {
		return err
	}
	h.adoptPartial(ctx, r, older)
	proof.MarkSent()
	return h.produce(ctx, r, out)
}

// validate refuses requests that this server can't serve at any load.
func (h *Handler) validate(req *pb.GenerateRequest, proof *kinds.Held) *kinds.Error {
	switch {
	case req.GetModel() != h.cfg.Weights.Model():
		return proof.Refuse(kinds.NotFound, "this server serves model %q", h.cfg.Weights.Model())
	case req.GetRequestId() == "":
		return proof.Refuse(kinds.BadRequest, "no request id")
	case req.GetMaxTokens() == 0:
		return proof.Refuse(kinds.BadRequest, "max_tokens is 0")
	case req.GetSample() != nil && req.GetEpoch() == nil:
		return proof.Refuse(kinds.BadRequest, "a sample needs the epoch of its step's owner")
	case req.GetResume() != nil && label.New("", req.GetMaxTokens(), decodeSpans(req.GetResume().GetSpans())).Err() != nil:
		return proof.Refuse(kinds.BadRequest, "the spans to resume behind do not fit together")
	}
	return nil
}

// register adds the run to the table. It returns the run of the same sample
// from an older epoch, if there is one: its tokens may be taken over.
func (h *Handler) register(r *run, proof *kinds.Held) (older *run, _ *kinds.Error) {
	h.raiseFloor(r.trainer(), r.floor.Load())
	older, verdict := h.table.register(r)
	switch verdict {
	case registerSuperseded:
		return nil, kinds.New(kinds.Superseded, "a newer owner of the step has been seen")
	case registerDuplicate:
		return nil, proof.Refuse(kinds.BadRequest, "the same sample or request already runs here")
	}
	if r.sample != nil {
		h.held.ObserveStep(r.sample.Trainer, r.sample.Step)
	}
	return older, nil
}

// unregister removes the run from the table. If a pending swap may have waited
// for this run, the Keeper checks again whether the swap can start.
func (h *Handler) unregister(r *run) {
	if h.table.unregister(r) {
		h.cfg.Weights.Reconsider()
	}
}

// checkBeforeQueue refuses a run whose floor is above the served version, so
// that it does not queue in vain. During a swap the version may still rise.
func (h *Handler) checkBeforeQueue(r *run, proof *kinds.Held) *kinds.Error {
	version, _ := h.cfg.Weights.Serving()
	if h.cfg.Weights.Swapping() || fresh.MayStart(version, r.floor.Load()) {
		return nil
	}
	return refuseNotFresh(proof, version, r.floor.Load())
}

// prepareStart checks, while the run holds its slot, that the run may start: it
// has not been superseded, the verified weights are fresh enough, and no swap
// comes too soon for a run that can't continue through it. It marks the run as
// active.
func (h *Handler) prepareStart(ctx context.Context, r *run, proof *kinds.Held) *kinds.Error {
	if err := h.awaitSwap(ctx, r); err != nil {
		return r.contextError(ctx, refuseNotFresh(proof, 0, r.floor.Load()))
	}
	version, boot := h.cfg.Weights.Serving()
	if !fresh.MayStart(version, r.floor.Load()) {
		return refuseNotFresh(proof, version, r.floor.Load())
	}
	if resumeVersion := r.resumeVersion(); resumeVersion != 0 && !fresh.MayResume(version, resumeVersion, r.floor.Load(), r.allowMixed) {
		return proof.Refuse(kinds.StaleWeights, "a sample left at version %d can't go on on version %d", resumeVersion, version)
	}
	if timeToSwap, ok := h.table.activate(r, version, boot, h.prefersNewWeights(), h.meter.estimateMaxDuration(r.maxTokens)); !ok {
		return proof.Refuse(kinds.NotReady, "a weight swap is near").WithRetryAfter(max(timeToSwap, 0) + notReadyRetryAfter)
	}
	return nil
}

// awaitSwap waits until a load order in progress makes the weights fresh enough.
// The stream keeps its slot meanwhile; a refusal would only make the caller
// retry and queue again.
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

// adoptPartial takes over the tokens of an older epoch's run of the same
// sample: of a run that it waits for, or of one that ended when its entry
// disconnected and whose tokens were kept.
func (h *Handler) adoptPartial(ctx context.Context, r *run, older *run) {
	if r.sample == nil || r.resume != nil || r.hedge {
		return
	}
	if older != nil {
		waitCtx, cancel := context.WithTimeout(ctx, adoptTimeout)
		defer cancel()
		select {
		case <-older.ended:
		case <-waitCtx.Done():
		}
	}
	partial := h.table.takePartial(*r.sample)
	if partial == nil || partial.prompt != r.prompt || partial.seed != r.seed || partial.tokens() >= r.maxTokens {
		return
	}
	if fresh.MayResume(r.startVersion, partial.version(), r.floor.Load(), r.allowMixed) {
		r.resume = &pb.Resume{Text: partial.text, Spans: encodeSpans(partial.spans)}
		h.counts.adopted.Add(1)
	}
}

// raiseFloor raises a trainer's floor, checks the trainer's running streams
// against it and drops its held samples below it.
func (h *Handler) raiseFloor(trainer string, floor uint64) {
	if trainer == "" || !h.table.raise(trainer, floor, h.cfg.Weights.Producing()) {
		return
	}
	h.held.DropBelow(trainer, floor)
	h.cfg.Weights.Reconsider() // an engine below the floor swaps without waiting
}

// raiseAnnouncedFloors raises the floors of the model's trainers to what the
// newest announced weight version requires.
func (h *Handler) raiseAnnouncedFloors() {
	v := h.cfg.View.View()
	if v == nil || v.Manifest == nil {
		return
	}
	newest := v.Versions[h.cfg.Weights.Model()]
	for name, t := range v.Manifest.Trainers {
		if t.Model == h.cfg.Weights.Model() {
			h.raiseFloor(name, fresh.Floor(newest, t.StalenessBound))
		}
	}
}

// prefersNewWeights reports whether the fleet is configured to prefer fresh
// weights to busy engines.
func (h *Handler) prefersNewWeights() bool {
	v := h.cfg.View.View()
	return v != nil && v.Manifest != nil && v.Manifest.Fleet.Weigh == manifest.WeighStaleness
}

// Drain refuses new work and waits until the admitted work has ended. It
// returns ctx's error if ctx ends first.
func (h *Handler) Drain(ctx context.Context) error {
	h.cfg.Queue.Leave()
	select {
	case <-h.cfg.Queue.Idle():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// FetchWeights streams this agent's copy of a weight version to a peer.
func (h *Handler) FetchWeights(req *pb.FetchWeightsRequest, out grpc.ServerStreamingServer[pb.WeightsPiece]) error {
	return h.cfg.Weights.FetchWeights(req, out)
}

// refuseNotFresh returns the refusal for weights below the floor; version 0
// means that the engine serves no verified version.
func refuseNotFresh(proof *kinds.Held, version, floor uint64) *kinds.Error {
	if version == 0 {
		return proof.Refuse(kinds.NotReady, "the engine serves no verified version").WithRetryAfter(notReadyRetryAfter)
	}
	return proof.Refuse(kinds.StaleWeights, "the engine serves version %d, needed is %d", version, floor).
		WithRetryAfter(notReadyRetryAfter)
}

// withDeadline limits ctx to ms milliseconds; 0 or less: no limit.
func withDeadline(ctx context.Context, ms int64) (context.Context, context.CancelFunc) {
	if ms <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
}

func newTicket(req *pb.GenerateRequest, deadline time.Time) admit.Ticket {
	return admit.Ticket{
		ID: req.GetRequestId(), Caller: req.GetCaller(), Weight: req.GetWeight(),
		Priority: int(req.GetPriority()), Cost: float64(req.GetMaxTokens()), Deadline: deadline,
	}
}

// counts are this package's metrics.
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

func (c counts) countError(err *kinds.Error) {
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

// Causes that end a running stream. Their texts are sent to callers.
var (
	errSuperseded = errors.New("a newer owner of the step has been seen")
	errBelowFloor = errors.New("the weights fell below the floor")
	errSwap       = errors.New("a weight swap came before the end")
	errUntrusted  = errors.New("the engine can't be trusted")
	errMoved      = errors.New("the stream was exported to move elsewhere")
)

var _ weights.Streams = (*Handler)(nil)
