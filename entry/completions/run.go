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
	errReportsStopped = errors.New("its reports have stopped")
	errMissingTokens  = errors.New("tokens are missing from the answer")
)

// finishLength is the finish reason of an answer with all tokens asked for.
const finishLength = "length"

// generated is the answer so far, over all engines that worked on it.
type generated struct {
	text           strings.Builder
	tokens         uint32
	spans          []*pb.Span
	hasUnversioned bool // a chunk came without a version
	finishReason   string
	server         string
}

// add appends a chunk and extends the spans.
func (g *generated) add(chunk *pb.GenerateChunk) {
	g.text.WriteString(chunk.Text)
	from := g.tokens
	g.tokens += chunk.Tokens
	if chunk.Tokens == 0 {
		return
	}
	if chunk.Version == 0 {
		g.hasUnversioned = true
		return
	}
	if n := len(g.spans); n > 0 && g.spans[n-1].Version == chunk.Version && g.spans[n-1].To == from {
		g.spans[n-1].To = g.tokens
		return
	}
	g.spans = append(g.spans, &pb.Span{Version: chunk.Version, From: from, To: g.tokens})
}

// lastVersion is the version of the last token made; 0: none yet.
func (g *generated) lastVersion() uint64 {
	if n := len(g.spans); n > 0 {
		return g.spans[n-1].Version
	}
	return 0
}

// resumePoint is what the next engine goes on from; nil: it begins anew.
func (g *generated) resumePoint() *pb.Resume {
	if g.tokens == 0 {
		return nil
	}
	return &pb.Resume{Text: g.text.String(), Spans: g.spans}
}

// run generates at engines until the answer is whole, or nothing more may be
// tried. out gets the text as it is made.
func (h *Handler) run(ctx context.Context, c *completion, out *output) error {
	pool := fleet.ModelPool(c.model)
	prefix, enginePrefix := route.PrefixHash(c.prompt), platform.PrefixHash(c.prompt)
	var lastErr error
	for {
		if out.generated.hasUnversioned {
			// How many tokens stand can't be proved to the next engine.
			if out.started {
				return c.FinalError(ctx, lastErr)
			}
			out.generated = generated{}
		}
		if out.generated.tokens >= uint32(c.maxTokens) {
			// Only the end mark was lost.
			out.generated.finishReason = finishLength
			return nil
		}
		if quarantined := c.CheckQuarantine(); quarantined != nil {
			return c.FinalError(ctx, quarantined)
		}
		req := c.Route()
		req.Prefix, req.EnginePrefix, req.Floor = prefix, enginePrefix, out.generated.lastVersion()
		if req.Remaining <= 0 {
			return c.DeadlineError(lastErr)
		}
		server, choice := h.chooser.Pick(pool, req, policy)
		if server == nil && lastErr == nil {
			return fleet.Refuse(c.Held, pool, choice)
		}
		if server == nil {
			return c.FinalError(ctx, lastErr)
		}
		if lastErr = h.tracedAttempt(ctx, c, out, server, choice); lastErr == nil {
			return nil
		}
		if !c.ShouldRetry(ctx, lastErr, server.Name, server.FailureDomain) {
			return c.FinalError(ctx, lastErr)
		}
		retriesTotal.Add(1)
		if out.generated.tokens > 0 {
			resumedTotal.Add(1)
		}
	}
}

func policy(candidates []route.Candidate) *route.Policy {
	return route.ForModels(route.MeanStreamRate(candidates))
}

// tracedAttempt is try with its span and its decision records.
func (h *Handler) tracedAttempt(ctx context.Context, c *completion, out *output, server *fleet.Server, choice route.Choice) error {
	jobID := c.jobID + "-" + strconv.Itoa(c.Count()+1)
	info := front.AttemptInfo{
		Part: part, Span: "entry completion", Server: server.Name, Choice: choice, Ring: h.cfg.Ring,
		Attributes: []attribute.KeyValue{attribute.String("job", jobID), attribute.Int("resumed.tokens", int(out.generated.tokens))},
	}
	return c.TraceAttempt(ctx, info, func(ctx context.Context) (string, error) {
		err := h.runAttempt(ctx, c, out, server, jobID)
		return fmt.Sprintf("%d tokens, finish reason %s", out.generated.tokens, out.generated.finishReason), err
	})
}

// runAttempt generates at one engine.
func (h *Handler) runAttempt(ctx context.Context, c *completion, out *output, server *fleet.Server, jobID string) error {
	reportOutcome := h.cfg.Agents.Begin(server.Name)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// A frozen agent's stream would neither go on nor break.
	lost := h.cfg.Agents.Lost(server.Name)
	go func() {
		select {
		case <-lost:
			cancel(errReportsStopped)
		case <-ctx.Done():
		}
	}()
	c.StartAttempt()
	outcome, err := h.readStream(ctx, c, out, server, jobID)
	reportOutcome(outcome)
	return err
}

// readStream passes one stream on until it is whole, refused or broken.
func (h *Handler) readStream(ctx context.Context, c *completion, out *output, server *fleet.Server, jobID string) (fleet.Outcome, error) {
	stream, err := server.Client.Generate(ctx, c.generateRequest(out.generated.resumePoint(), jobID))
	if err != nil {
		return noReplyOutcome(ctx, c, server, err)
	}
	out.generated.server = server.Name
	for {
		reply, err := stream.Recv()
		if err != nil {
			return noReplyOutcome(ctx, c, server, err)
		}
		switch p := reply.Part.(type) {
		case *pb.GenerateReply_Chunk:
			tokensTotal.Add(int64(p.Chunk.Tokens))
			if err := out.addChunk(p.Chunk); err != nil {
				return fleet.Abandoned, kinds.New(kinds.Cancelled, "the caller went away").WithCause(err)
			}
		case *pb.GenerateReply_Done:
			// An answer without all of its tokens looks whole to a caller.
			if p.Done.Tokens != out.generated.tokens {
				return noReplyOutcome(ctx, c, server, errMissingTokens)
			}
			out.generated.finishReason = p.Done.FinishReason
			return fleet.OK, nil
		case *pb.GenerateReply_Refusal:
			return refusalOutcome(c, p.Refusal)
		}
	}
}

// refusalOutcome decodes an agent's refusal. One without proof speaks of a stream
// that ran: it counts as failed.
func refusalOutcome(c *completion, r *pb.Refusal) (fleet.Outcome, error) {
	err := refusal.Decode(r)
	c.RecordRefusal(err)
	if r.NotRun {
		return fleet.Refused, err
	}
	c.RecordMayHaveRun()
	return fleet.Failed, err
}

// noReplyOutcome is the error of a stream that ended without the agent's reply.
func noReplyOutcome(ctx context.Context, c *completion, server *fleet.Server, cause error) (fleet.Outcome, error) {
	c.RecordMayHaveRun()
	outcome := fleet.Failed
	if ctx.Err() != nil && context.Cause(ctx) != errReportsStopped {
		outcome = fleet.Abandoned
	}
	return outcome, kinds.New(kinds.BackendFailed, "%s gave no whole answer", server.Name).WithCause(cause)
}

func (c *completion) generateRequest(resume *pb.Resume, jobID string) *pb.GenerateRequest {
	return &pb.GenerateRequest{
		RequestId:  jobID,
		Caller:     c.Caller.Name,
		Model:      c.model,
		Prompt:     c.prompt,
		MaxTokens:  uint32(c.maxTokens),
		Seed:       c.seed,
		Priority:   int32(c.Caller.Priority),
		Weight:     c.Caller.Weight,
		DeadlineMs: max(1, c.Remaining().Milliseconds()),
		// An application's answer may span weight versions; its spans tell.
		AllowMixed: true,
		Resume:     resume,
		Revision:   c.View.Number,
	}
}
