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
	// errRefresh: the engine stream was stopped to go on on new weights.
	errRefresh = errors.New("going on on new weights")
	// errBrokeOff: the engine stream ended without a finish reason.
	errBrokeOff = errors.New("the engine's stream broke off")
)

// product is what a run has made so far. It belongs to the run's goroutine.
type product struct {
	label  *label.Builder
	text   strings.Builder
	tokens uint32
	start  uint64 // version that the current engine stream started on
	boot   string
	finish string
	job    string
}

// produce runs the stream at the engine until Done or an error. The run is
// active: its start version is verified and fresh.
func (h *Handler) produce(ctx context.Context, r *run, out stream) *kinds.Error {
	p := newProduct(r)
	defer func() { r.last = p.partial(r) }()
	started := &pb.GenerateReply{Part: &pb.GenerateReply_Started{Started: &pb.GenerateStarted{Version: r.startVersion}}}
	if out.Send(started) != nil {
		return kinds.New(kinds.Cancelled, "the caller went away")
	}
	for n := 0; ; n++ {
		err := h.pump(ctx, r, p, job(r, p, n), out)
		if errors.Is(err, errRefresh) {
			if kerr := h.renew(ctx, r, p); kerr != nil {
				return kerr
			}
			continue
		}
		if err != nil {
			return h.ended(ctx, r, p, err)
		}
		return h.finish(ctx, r, p, out)
	}
}

func newProduct(r *run) *product {
	p := &product{start: r.startVersion, boot: r.startBoot}
	p.label = label.New(p.boot, r.maxTokens, spansFrom(r.resume.GetSpans()))
	p.text.WriteString(r.resume.GetText())
	p.tokens = p.label.Tokens()
	r.version.Store(p.label.Version())
	return p
}

func job(r *run, p *product, n int) platform.GenerateJob {
	j := platform.GenerateJob{
		ID: r.id, Prompt: r.prompt, MaxTokens: int(r.maxTokens), Seed: r.seed, Priority: r.priority,
		ResumeText: p.text.String(), ResumeTokens: int(p.tokens),
	}
	if n > 0 {
		j.ID += ".r" + strconv.Itoa(n)
		return j
	}
	j.KV = r.resume.GetKv()
	return j
}

// pump passes one engine stream on. It returns nil at the end of the sample.
func (h *Handler) pump(ctx context.Context, r *run, p *product, j platform.GenerateJob, out stream) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	r.refresh.Store(&stop)
	j.Model = h.cfg.Weights.Model()
	p.job = j.ID
	es, err := h.cfg.Engine.Generate(ctx, j)
	if err != nil {
		return pumpError(ctx, err)
	}
	// Closing the stream is what cancels it at the engine; a reader that waits
	// in Next for the next token would notice the end of ctx too late.
	unhook := context.AfterFunc(ctx, func() { _ = es.Close() })
	defer func() {
		if unhook() {
			_ = es.Close()
		}
	}()
	for {
		c, err := es.Next()
		if ctx.Err() != nil || err != nil {
			return pumpError(ctx, err)
		}
		if err := h.accept(ctx, r, p, c); err != nil {
			return err
		}
		if c.Text != "" || c.Tokens > 0 {
			if err := out.Send(chunkReply(c)); err != nil {
				return err
			}
		}
		if c.Finish != "" {
			p.finish = c.Finish
			return nil
		}
	}
}

// pumpError tells a stop by us from a failure of the engine.
func pumpError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	switch {
	case err == io.EOF:
		return errBrokeOff
	case errors.Is(err, io.ErrUnexpectedEOF):
		return fmt.Errorf("%w: %w", errBrokeOff, err)
	}
	return err
}

// accept judges a chunk before a byte of it goes on.
func (h *Handler) accept(ctx context.Context, r *run, p *product, c platform.Chunk) error {
	if err := h.judge(ctx, r, p, c); err != nil {
		return err
	}
	p.text.WriteString(c.Text)
	if c.Tokens > 0 {
		p.tokens += uint32(c.Tokens)
		h.meter.add(c.Tokens)
	}
	r.version.Store(p.label.Version())
	return nil
}

func (h *Handler) judge(ctx context.Context, r *run, p *product, c platform.Chunk) error {
	if c.Tokens > 0 && c.Version != 0 {
		if err := h.explained(ctx, r, p, c); err != nil {
			return err
		}
	}
	if r.sample == nil {
		return p.addApplication(c)
	}
	if c.Tokens > 0 && c.Version != 0 {
		switch fresh.CheckChunk(c.Version, p.label.Version(), r.floor.Load(), r.mixed) {
		case fresh.Cancel:
			return errBelowFloor
		case fresh.Resume:
			return errRefresh
		}
	}
	return p.label.Add(c.Version, c.Boot, c.Tokens, c.Text)
}

// explained holds the chunk until an order under way is settled and then asks
// whether it fits. A sample's chunk that does not fit ends the stream.
func (h *Handler) explained(ctx context.Context, r *run, p *product, c platform.Chunk) error {
	verdict := h.cfg.Weights.Explains(p.start, c.Version, c.Boot)
	for verdict == weights.Undecided {
		_ = h.cfg.Weights.Settled(ctx)
		if err := context.Cause(ctx); err != nil {
			return err
		}
		verdict = h.cfg.Weights.Explains(p.start, c.Version, c.Boot)
	}
	if verdict == weights.Contradicts && r.sample != nil {
		return errUntrusted
	}
	return nil
}

// addApplication: an application's answer needs no label. One that can't be
// proved is left out and the answer goes on; only another engine start, which
// can't continue the text, ends it.
func (p *product) addApplication(c platform.Chunk) error {
	if c.Boot != p.boot {
		return label.ErrEngineRestarted
	}
	_ = p.label.Add(c.Version, c.Boot, c.Tokens, c.Text)
	return nil
}

// renew waits for weights at or above the floor and lets the run go on there.
func (h *Handler) renew(ctx context.Context, r *run, p *product) *kinds.Error {
	wait, cancel := context.WithTimeout(ctx, h.cfg.SwapWait)
	defer cancel()
	for {
		floor := r.floor.Load()
		version, boot, err := h.cfg.Weights.WaitFresh(wait, floor)
		if err != nil {
			// The tokens passed on were proved and fresh when made: the entry may
			// go on behind them elsewhere, so they are not called discarded.
			return r.explainEnd(ctx, kinds.New(kinds.BackendFailed, "no weights at version %d in time", floor))
		}
		if version < p.label.Version() {
			return r.fail("the engine went back to version %d", version)
		}
		if !fresh.MayStart(version, r.floor.Load()) {
			continue // the floor rose meanwhile
		}
		p.start, p.boot = version, boot
		p.label.ContinueOnBoot(boot)
		return nil
	}
}

// finish keeps a sample for take-over before it says Done: an entry that dies
// while Done is on its way then costs no tokens.
func (h *Handler) finish(ctx context.Context, r *run, p *product, out stream) *kinds.Error {
	done := &pb.GenerateDone{FinishReason: p.finish, Tokens: p.tokens}
	if p.label.Err() == nil {
		done.Spans = spansTo(p.label.Spans())
	}
	if r.sample != nil {
		done.Text = p.text.String()
		h.held.Put(held.Sample{ID: r.sampleID, Done: done, PromptHash: label.RequestHash(r.prompt, r.seed, r.maxTokens)})
	}
	if out.Send(&pb.GenerateReply{Part: &pb.GenerateReply_Done{Done: done}}) != nil {
		return kinds.New(kinds.Cancelled, "the caller went away")
	}
	return nil
}

// ended maps the end of a run that did not finish, and keeps what a new owner
// of the step can go on from.
func (h *Handler) ended(ctx context.Context, r *run, p *product, err error) *kinds.Error {
	if ctx.Err() == nil {
		return h.blame(ctx, p, r.fail("%v", err))
	}
	kerr := r.explainEnd(ctx, nil)
	superseded := kerr.Kind() == string(kinds.Superseded)
	if part := p.partial(r); part != nil && r.sample != nil && !r.hedge && (superseded || kerr.Kind() == string(kinds.Cancelled)) {
		h.table.keepPartial(*r.sample, part)
	}
	return kerr
}

// endedTimeout bounds the question whether the engine has ended: a retry elsewhere
// waits for it. It runs on this VM.
const endedTimeout = 100 * time.Millisecond

// blame names the engine's start in the error of a run that failed, if that start has
// ended: it refuses connections. The entry that has the request keeps it from ending
// the next one.
func (h *Handler) blame(ctx context.Context, p *product, err *kinds.Error) *kinds.Error {
	ctx, cancel := context.WithTimeout(ctx, endedTimeout)
	defer cancel()
	if _, stateErr := h.cfg.Engine.State(ctx); errors.Is(stateErr, syscall.ECONNREFUSED) {
		return err.WithEndedServer(p.boot)
	}
	return err
}

// partial returns the proved part, nil where there is none.
func (p *product) partial(r *run) *partial {
	if p.label.Err() != nil || p.label.Tokens() == 0 {
		return nil
	}
	return &partial{prompt: r.prompt, seed: r.seed, text: p.text.String(), spans: p.label.Spans(), job: p.job}
}

// chunkReply makes the reply of one chunk with one allocation.
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

func spansTo(spans []label.Span) []*pb.Span {
	out := make([]*pb.Span, len(spans))
	for i, s := range spans {
		out[i] = &pb.Span{Version: s.Version, From: s.From, To: s.To}
	}
	return out
}

func spansFrom(spans []*pb.Span) []label.Span {
	out := make([]label.Span, len(spans))
	for i, s := range spans {
		out[i] = label.Span{Version: s.GetVersion(), From: s.GetFrom(), To: s.GetTo()}
	}
	return out
}
