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

// finishLength is the finish reason of an answer that has all the tokens asked for.
const finishLength = "length"

// generated is the answer so far, from all engines that worked on it.
type generated struct {
	text           strings.Builder
	tokens         uint32
	spans          []*pb.Span
	hasUnversioned bool // a chunk had no version
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

// lastVersion returns the version that generated the last token, or 0 if there is none
// yet.
func (g *generated) lastVersion() uint64 {
	if n := len(g.spans); n > 0 {
		return g.spans[n-1].Version
	}
	return 0
}

// resumePoint returns where the next engine resumes, or nil if it starts from the
// beginning.
func (g *generated) resumePoint() *pb.Resume {
	if g.tokens == 0 {
		return nil
	}
	return &pb.Resume{Text: g.text.String(), Spans: g.spans}
}

// run sends the request to one engine after another until the answer is complete or no
// further attempt is allowed. out receives the text as it is generated.
func (h *Handler) run(ctx context.Context, c *completion, out *output) error {
	pool := fleet.ModelPool(c.model)
	prefix, enginePrefix := route.PrefixHash(c.prompt), platform.PrefixHash(c.prompt)
	var lastErr error
	for {
		if out.generated.hasUnversioned {
			// The next engine can't be given proof of which version generated the
			// tokens.
			if out.started {
				return c.FinalError(ctx, lastErr)
			}
			out.generated = generated{}
		}
		if out.generated.tokens >= uint32(c.maxTokens) {
			// All tokens were received; only the final message was lost.
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

// tracedAttempt runs an attempt in a span of its own and adds its decision records.
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

// runAttempt generates at one engine and reports the outcome.
func (h *Handler) runAttempt(ctx context.Context, c *completion, out *output, server *fleet.Server, jobID string) error {
	reportOutcome := h.cfg.Agents.Begin(server.Name)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// The stream of a frozen agent would neither continue nor break.
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

// readStream forwards one stream until it is complete, refused or broken.
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
			// An answer with missing tokens would look complete to the caller.
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

// refusalOutcome decodes an agent's refusal and returns its outcome. A refusal without
// proof of "not run" ended a stream that ran, so it counts as a failure.
func refusalOutcome(c *completion, r *pb.Refusal) (fleet.Outcome, error) {
	err := refusal.Decode(r)
	c.RecordRefusal(err)
	if r.NotRun {
		return fleet.Refused, err
	}
	c.RecordMayHaveRun()
	return fleet.Failed, err
}

// noReplyOutcome returns the outcome and the error of a stream that ended without a
// final reply from the agent.
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
		// The answer to an application may mix weight versions; its spans list them.
		AllowMixed: true,
		Resume:     resume,
		Revision:   c.View.Number,
	}
}
