package generate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"syscall"
	"time"

	"dandelionsill.org/agent/held"
	"dandelionsill.org/agent/weights"
	"dandelionsill.org/decide/fresh"
	"dandelionsill.org/decide/label"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

var (
	// errResumeOnNewWeights stops an engine stream whose run continues on new
	// weights.
	errResumeOnNewWeights = errors.New("the stream continues on new weights")
	// errStreamBroken means that the engine stream ended without a finish reason.
	errStreamBroken = errors.New("the engine's stream broke off")
	errTextTooLong  = fmt.Errorf("the engine's text has over %d bytes", maxTextBytes)
)

// maxTextBytes bounds the text of a run. An application's text has no bound by its tokens: its label may be missing.
const maxTextBytes = 16 << 20

// output is what a run has generated so far. Only the run's goroutine uses it.
type output struct {
	label         *label.Builder
	text          strings.Builder
	tokens        uint32
	streamVersion uint64 // weight version on which the current engine stream started
	boot          string
	finish        string
	jobID         string
}

// produce runs the stream on the engine until Done or an error. The run must be
// active: its start version is verified and fresh.
func (h *Handler) produce(ctx context.Context, r *run, out stream) *kinds.Error {
	o := newOutput(r)
	defer func() { r.finalPartial = o.partial(r) }()
	started := &pb.GenerateReply{Part: &pb.GenerateReply_Started{Started: &pb.GenerateStarted{Version: r.startVersion}}}
	if out.Send(started) != nil {
		return kinds.New(kinds.Cancelled, "the caller went away")
	}
	for n := 0; ; n++ {
		err := h.forwardStream(ctx, r, o, newJob(r, o, n), out)
		if errors.Is(err, errResumeOnNewWeights) {
			if kerr := h.continueOnFreshWeights(ctx, r, o); kerr != nil {
				return kerr
			}
			continue
		}
		if err != nil {
			return h.handleFailure(ctx, r, o, err)
		}
		return h.finish(ctx, r, o, out)
	}
}

func newOutput(r *run) *output {
	o := &output{streamVersion: r.startVersion, boot: r.startBoot}
	o.label = label.New(o.boot, r.maxTokens, decodeSpans(r.resume.GetSpans()))
	o.text.WriteString(r.resume.GetText())
	o.tokens = o.label.Tokens()
	r.version.Store(o.label.Version())
	return o
}

// newJob returns the run's job for its nth engine stream, counted from 0. Each
// stream has an id of its own; only the first can use the caller's KV cache.
func newJob(r *run, o *output, n int) platform.GenerateJob {
	j := platform.GenerateJob{
		ID: r.id, Prompt: r.prompt, MaxTokens: int(r.maxTokens), Seed: r.seed, Priority: r.priority,
		ResumeText: o.text.String(), ResumeTokens: int(o.tokens),
	}
	if n > 0 {
		j.ID += ".r" + strconv.Itoa(n)
		return j
	}
	j.KV = r.resume.GetKv()
	return j
}

// forwardStream sends the chunks of one engine stream to the caller. It returns
// nil after the chunk with the finish reason.
func (h *Handler) forwardStream(ctx context.Context, r *run, o *output, j platform.GenerateJob, out stream) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	r.stopEngineStream.Store(&stop)
	j.Model = h.cfg.Weights.Model()
	o.jobID = j.ID
	engineStream, err := h.cfg.Engine.Generate(ctx, j)
	if err != nil {
		return streamError(ctx, err)
	}
	// Closing the stream cancels it at the engine. Without this hook a reader
	// that waits in Next for the next token would notice the end of ctx too late.
	stopCloseHook := context.AfterFunc(ctx, func() { _ = engineStream.Close() })
	defer func() {
		if stopCloseHook() {
			_ = engineStream.Close()
		}
	}()
	for {
		c, err := engineStream.Next()
		if ctx.Err() != nil || err != nil {
			return streamError(ctx, err)
		}
		if err := h.acceptChunk(ctx, r, o, c); err != nil {
			return err
		}
		if c.Text != "" || c.Tokens > 0 {
			if err := out.Send(chunkReply(c)); err != nil {
				return err
			}
		}
		if c.Finish != "" {
			o.finish = c.Finish
			return nil
		}
	}
}

// streamError returns the cause if this agent stopped the stream, and the
// engine's failure otherwise.
func streamError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	switch {
	case err == io.EOF:
		return errStreamBroken
	case errors.Is(err, io.ErrUnexpectedEOF):
		return fmt.Errorf("%w: %w", errStreamBroken, err)
	}
	return err
}

// acceptChunk checks a chunk and adds it to the output. A chunk that fails the
// check must not be forwarded.
func (h *Handler) acceptChunk(ctx context.Context, r *run, o *output, c platform.Chunk) error {
	if o.text.Len()+len(c.Text) > maxTextBytes {
		return errTextTooLong
	}
	if err := h.checkChunk(ctx, r, o, c); err != nil {
		return err
	}
	o.text.WriteString(c.Text)
	if c.Tokens > 0 {
		o.tokens += uint32(c.Tokens)
		h.meter.add(c.Tokens)
	}
	r.version.Store(o.label.Version())
	return nil
}

// checkChunk checks a chunk's version, freshness and label. It returns
// errResumeOnNewWeights if the run can continue on newer weights instead.
func (h *Handler) checkChunk(ctx context.Context, r *run, o *output, c platform.Chunk) error {
	if c.Tokens > 0 && c.Version != 0 {
		if err := h.checkVersion(ctx, r, o, c); err != nil {
			return err
		}
	}
	if r.sample == nil {
		return o.addApplicationChunk(c)
	}
	if c.Tokens > 0 && c.Version != 0 {
		switch fresh.CheckChunk(c.Version, o.label.Version(), r.floor.Load(), r.allowMixed) {
		case fresh.Cancel:
			return errBelowFloor
		case fresh.Resume:
			return errResumeOnNewWeights
		}
	}
	return o.label.Add(c.Version, c.Boot, c.Tokens, c.Text)
}

// checkVersion checks whether the weight orders explain the chunk's version;
// while an order in progress leaves this undecided it waits for the order to
// settle. A sample's chunk that contradicts the orders ends the stream.
func (h *Handler) checkVersion(ctx context.Context, r *run, o *output, c platform.Chunk) error {
	verdict := h.cfg.Weights.CheckChunk(o.streamVersion, c.Version, c.Boot)
	for verdict == weights.Undecided {
		_ = h.cfg.Weights.WaitOrderDone(ctx)
		if err := context.Cause(ctx); err != nil {
			return err
		}
		verdict = h.cfg.Weights.CheckChunk(o.streamVersion, c.Version, c.Boot)
	}
	if verdict == weights.Contradicts && r.sample != nil {
		return errUntrusted
	}
	return nil
}

// addApplicationChunk adds a chunk of an application's answer, which needs no
// label: if a label can't be proved it is omitted and the answer continues. Only
// a restarted engine, which can't continue the text, ends the answer.
func (o *output) addApplicationChunk(c platform.Chunk) error {
	if c.Boot != o.boot {
		return label.ErrEngineRestarted
	}
	_ = o.label.Add(c.Version, c.Boot, c.Tokens, c.Text)
	return nil
}

// continueOnFreshWeights waits for weights at or above the floor and prepares
// the run to continue on them.
func (h *Handler) continueOnFreshWeights(ctx context.Context, r *run, o *output) *kinds.Error {
	wait, cancel := context.WithTimeout(ctx, h.cfg.SwapWait)
	defer cancel()
	for {
		floor := r.floor.Load()
		version, boot, err := h.cfg.Weights.WaitFresh(wait, floor)
		if err != nil {
			// The forwarded tokens were proved and fresh when they were generated.
			// The entry may resume after them on another server, so this is not
			// sample_discarded.
			return r.contextError(ctx, kinds.New(kinds.BackendFailed, "no weights at version %d in time", floor))
		}
		if version < o.label.Version() {
			return r.failure("the engine went back to version %d", version)
		}
		if !fresh.MayStart(version, r.floor.Load()) {
			continue // the floor rose during the wait
		}
		o.streamVersion, o.boot = version, boot
		o.label.ContinueOnBoot(boot)
		return nil
	}
}

// finish sends Done. It first stores a sample for take-over, so that no tokens
// are lost if the entry dies while Done is on its way.
func (h *Handler) finish(ctx context.Context, r *run, o *output, out stream) *kinds.Error {
	done := &pb.GenerateDone{FinishReason: o.finish, Tokens: o.tokens}
	if o.label.Err() == nil {
		done.Spans = encodeSpans(o.label.Spans())
	}
	if r.sample != nil {
		done.Text = o.text.String()
		h.held.Put(held.Sample{ID: r.sampleID, Done: done, PromptHash: label.RequestHash(r.prompt, r.seed, r.maxTokens)})
	}
	if out.Send(&pb.GenerateReply{Part: &pb.GenerateReply_Done{Done: done}}) != nil {
		return kinds.New(kinds.Cancelled, "the caller went away")
	}
	return nil
}

// handleFailure returns the error of a run that did not finish, and keeps the
// tokens from which a new owner of the step can resume.
func (h *Handler) handleFailure(ctx context.Context, r *run, o *output, err error) *kinds.Error {
	if ctx.Err() == nil {
		return h.reportEngineEnd(ctx, o, r.failure("%v", err))
	}
	kerr := r.contextError(ctx, nil)
	superseded := kerr.Kind() == string(kinds.Superseded)
	if partial := o.partial(r); partial != nil && r.sample != nil && !r.hedge && (superseded || kerr.Kind() == string(kinds.Cancelled)) {
		h.table.keepPartial(*r.sample, partial)
	}
	return kerr
}

// engineStateTimeout bounds the check whether the engine has ended, because a
// retry on another server waits for the check. The engine runs on this VM, so
// the time is short.
const engineStateTimeout = 100 * time.Millisecond

// reportEngineEnd adds the engine's incarnation to the error of a failed run if
// the engine has ended, that is, refuses connections. With it the entry that has
// the request can keep the request from crashing the next engine.
func (h *Handler) reportEngineEnd(ctx context.Context, o *output, err *kinds.Error) *kinds.Error {
	ctx, cancel := context.WithTimeout(ctx, engineStateTimeout)
	defer cancel()
	if _, stateErr := h.cfg.Engine.State(ctx); errors.Is(stateErr, syscall.ECONNREFUSED) {
		return err.WithEndedServer(o.boot)
	}
	return err
}

// partial returns the proved part of the output, or nil if there is none.
func (o *output) partial(r *run) *partial {
	if o.label.Err() != nil || o.label.Tokens() == 0 {
		return nil
	}
	return &partial{prompt: r.prompt, seed: r.seed, text: o.text.String(), spans: o.label.Spans(), jobID: o.jobID}
}

// chunkReply returns the reply for one chunk, built with a single allocation.
func chunkReply(c platform.Chunk) *pb.GenerateReply {
	m := &struct {
		reply pb.GenerateReply
		part  pb.GenerateReply_Chunk
		chunk pb.GenerateChunk
	}{}
	m.chunk.Text, m.chunk.Tokens, m.chunk.Version = c.Text, uint32(max(c.Tokens, 0)), c.Version
	m.part.Chunk = &m.chunk
	m.reply.Part = &m.part
	return &m.reply
}

func encodeSpans(spans []label.Span) []*pb.Span {
	out := make([]*pb.Span, len(spans))
	for i, s := range spans {
		out[i] = &pb.Span{Version: s.Version, From: s.From, To: s.To}
	}
	return out
}

func decodeSpans(spans []*pb.Span) []label.Span {
	out := make([]label.Span, len(spans))
	for i, s := range spans {
		out[i] = label.Span{Version: s.GetVersion(), From: s.GetFrom(), To: s.GetTo()}
	}
	return out
}
