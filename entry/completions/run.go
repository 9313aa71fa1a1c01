package completions

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"

	"dandelionsill.org/decide/route"
	"dandelionsill.org/entry/fleet"
	"dandelionsill.org/entry/front"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
	"dandelionsill.org/wire/refusal"
)

var (
	errLost  = errors.New("its reports have stopped")
	errShort = errors.New("tokens are missing from the answer")
)

// finishLength is the finish reason of an answer with all tokens asked for.
const finishLength = "length"

// made is the answer so far, over all engines that worked on it.
type made struct {
	text    strings.Builder
	tokens  uint32
	spans   []*pb.Span
	unnamed bool // a chunk came without a version
	finish  string
	server  string
}

// add appends a chunk and extends the spans.
func (m *made) add(chunk *pb.GenerateChunk) {
	m.text.WriteString(chunk.Text)
	from := m.tokens
	m.tokens += chunk.Tokens
	if chunk.Tokens == 0 {
		return
	}
	if chunk.Version == 0 {
		m.unnamed = true
		return
	}
	if n := len(m.spans); n > 0 && m.spans[n-1].Version == chunk.Version && m.spans[n-1].To == from {
		m.spans[n-1].To = m.tokens
		return
	}
	m.spans = append(m.spans, &pb.Span{Version: chunk.Version, From: from, To: m.tokens})
}

// newest is the version of the last token made; 0: none yet.
func (m *made) newest() uint64 {
	if n := len(m.spans); n > 0 {
		return m.spans[n-1].Version
	}
	return 0
}

// resume is what the next engine goes on from; nil: it begins anew.
func (m *made) resume() *pb.Resume {
	if m.tokens == 0 {
		return nil
	}
	return &pb.Resume{Text: m.text.String(), Spans: m.spans}
}

// run generates at engines until the answer is whole, or nothing more may be
// tried. out gets the text as it is made.
func (h *Handler) run(ctx context.Context, c *completion, out *output) error {
	pool := fleet.ModelPool(c.model)
	prefix, warm := route.PrefixHash(c.prompt), platform.PrefixHash(c.prompt)
	var last error
	for {
		if out.made.unnamed {
			// How many tokens stand can't be proved to the next engine.
			if out.begun {
				return c.Final(ctx, last)
			}
			out.made = made{}
		}
		if out.made.tokens >= uint32(c.maxTokens) {
			// Only the end mark was lost.
			out.made.finish = finishLength
			return nil
		}
		if stopped := c.Stopped(); stopped != nil {
			return c.Final(ctx, stopped)
		}
		r := c.Route()
		r.Prefix, r.EnginePrefix, r.Floor = prefix, warm, out.made.newest()
		if r.Remaining <= 0 {
			return c.OutOfTime(last)
		}
		server, choice := h.choose.Pick(pool, r, policy)
		if server == nil && last == nil {
			return fleet.Refuse(c.Held, pool, choice)
		}
		if server == nil {
			return c.Final(ctx, last)
		}
		if last = h.traced(ctx, c, out, server, choice); last == nil {
			return nil
		}
		if !c.Again(ctx, last, server.Name, server.FailureDomain) {
			return c.Final(ctx, last)
		}
		retriesTotal.Add(1)
		if out.made.tokens > 0 {
			resumedTotal.Add(1)
		}
	}
}

func policy(candidates []route.Candidate) *route.Policy {
	return route.ForModels(route.MeanStreamRate(candidates))
}

// traced is try with its span and its decision records.
func (h *Handler) traced(ctx context.Context, c *completion, out *output, server *fleet.Server, choice route.Choice) error {
	job := c.job + "-" + strconv.Itoa(c.Count()+1)
	hop := front.Hop{
		Part: part, Span: "entry completion", Server: server.Name, Choice: choice, Ring: h.cfg.Ring,
		Attributes: []attribute.KeyValue{attribute.String("job", job), attribute.Int("resumed.tokens", int(out.made.tokens))},
	}
	return c.Traced(ctx, hop, func(ctx context.Context) (string, error) {
		err := h.try(ctx, c, out, server, job)
		return fmt.Sprintf("%d tokens, finish reason %s", out.made.tokens, out.made.finish), err
	})
}

// try generates at one engine.
func (h *Handler) try(ctx context.Context, c *completion, out *output, server *fleet.Server, job string) error {
	end := h.cfg.Agents.Begin(server.Name)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// A frozen agent's stream would neither go on nor break.
	lost := h.cfg.Agents.Lost(server.Name)
	go func() {
		select {
		case <-lost:
			cancel(errLost)
		case <-ctx.Done():
		}
	}()
	c.Begin()
	outcome, err := h.read(ctx, c, out, server, job)
	end(outcome)
	return err
}

// read passes one stream on until it is whole, refused or broken.
func (h *Handler) read(ctx context.Context, c *completion, out *output, server *fleet.Server, job string) (fleet.Outcome, error) {
	stream, err := server.Client.Generate(ctx, c.request(out.made.resume(), job))
	if err != nil {
		return broken(ctx, c, server, err)
	}
	out.made.server = server.Name
	for {
		reply, err := stream.Recv()
		if err != nil {
			return broken(ctx, c, server, err)
		}
		switch p := reply.Part.(type) {
		case *pb.GenerateReply_Chunk:
			tokensTotal.Add(int64(p.Chunk.Tokens))
			if err := out.chunk(p.Chunk); err != nil {
				return fleet.Abandoned, kinds.New(kinds.Cancelled, "the caller went away").WithCause(err)
			}
		case *pb.GenerateReply_Done:
			// An answer without all of its tokens looks whole to a caller.
			if p.Done.Tokens != out.made.tokens {
				return broken(ctx, c, server, errShort)
			}
			out.made.finish = p.Done.FinishReason
			return fleet.OK, nil
		case *pb.GenerateReply_Refusal:
			return refused(c, p.Refusal)
		}
	}
}

// refused decodes an agent's refusal. One without proof speaks of a stream
// that ran: it counts as failed.
func refused(c *completion, r *pb.Refusal) (fleet.Outcome, error) {
	err := refusal.Decode(r)
	c.Refused(err)
	if r.NotRun {
		return fleet.Refused, err
	}
	c.Broke()
	return fleet.Failed, err
}

// broken is the error of a stream that ended without the agent's reply.
func broken(ctx context.Context, c *completion, server *fleet.Server, cause error) (fleet.Outcome, error) {
	c.Broke()
	outcome := fleet.Failed
	if ctx.Err() != nil && context.Cause(ctx) != errLost {
		outcome = fleet.Abandoned
	}
	return outcome, kinds.New(kinds.BackendFailed, "%s gave no whole answer", server.Name).WithCause(cause)
}

func (c *completion) request(resume *pb.Resume, job string) *pb.GenerateRequest {
	return &pb.GenerateRequest{
		RequestId:  job,
		Caller:     c.Caller.Name,
		Model:      c.model,
		Prompt:     c.prompt,
		MaxTokens:  uint32(c.maxTokens),
		Seed:       c.seed,
		Priority:   int32(c.Caller.Priority),
		Weight:     c.Caller.Weight,
		DeadlineMs: max(1, c.Left().Milliseconds()),
		// An application's answer may span weight versions; its spans tell.
		AllowMixed: true,
		Resume:     resume,
		Revision:   c.View.Number,
	}
}
