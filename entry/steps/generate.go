package steps

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/status"

	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/trace"
	"dandelionsill.org/decide/fresh"
	"dandelionsill.org/decide/straggle"
	"dandelionsill.org/entry/fleet"
	"dandelionsill.org/kinds"
	"dandelionsill.org/wire/pb"
	"dandelionsill.org/wire/refusal"
)

// Backoff of lost samples. The number of attempts is not limited, because a step can't
// end without all its samples. The backoff prevents a hot loop.
const (
	failureBackoff      = 20 * time.Millisecond
	refusalBackoff      = 20 * time.Millisecond
	discardBackoff      = 50 * time.Millisecond
	maxBackoff          = 2 * time.Second
	lossesBeforeBackoff = 1 // losses without a backoff
)

// errDiscard returns the error for a sample that the entry itself found invalid.
func errDiscard(format string, args ...any) *kinds.Error {
	return kinds.New(kinds.SampleDiscarded, format, args...)
}

// generate executes one run from its request to its end.
func (s *Steps) generate(st *step, r *run) {
	ctx, span := trace.Tracer("entry: steps").Start(r.ctx, "steps.generate")
	defer span.End()
	defer r.cancel()
	from := s.resumePoint(st, r)
	r.resume(from)
	s.mu.Lock()
	resumedTokens := 0
	if from != nil {
		resumedTokens = from.tokens
	}
	st.plan.Started(r.id, resumedTokens)
	s.mu.Unlock()
	done, err := s.stream(ctx, st, r, s.buildRequest(st, r, from))
	r.reportOutcome(outcome(r, err))
	s.handleEnd(st, r, done, err)
}

func (s *Steps) buildRequest(st *step, r *run, from *partial) *pb.GenerateRequest {
	sm := st.samples[r.sample]
	req := &pb.GenerateRequest{
		RequestId: r.request,
		Caller:    st.trainer.Name,
		Model:     st.trainer.Model,
		Prompt:    sm.group.spec.Prompt,
		MaxTokens: uint32(sm.group.spec.MaxTokens),
		Seed:      sm.seed(),
		Priority:  int32(st.trainer.Priority),
		Weight:    st.trainer.Weight,
		Sample: &pb.SampleID{
			Trainer: st.key.Trainer, Step: st.key.Step, Group: sm.group.wireID, Index: sm.index,
		},
		Epoch:      agentEpoch(r.attempt),
		Floor:      r.floor.Load(),
		AllowMixed: r.allowMixed,
		Hedge:      r.action.Kind != straggle.Start,
	}
	if v := s.cfg.View.View(); v != nil {
		req.Revision = v.Number
	}
	if from != nil {
		req.Resume = &pb.Resume{Text: from.text, Spans: from.spans, Kv: from.kv}
	} else if !r.agentMayResume {
		req.Resume = &pb.Resume{} // start from the first token, even if the agent holds a partial sample
	}
	return req
}

// agentEpoch returns the epoch that agents see: only the attempt. An agent ends the
// streams of older epochs, so if agents saw the claim, its adoption in the middle of a
// step would end this entry's own streams. The attempt suffices, because it increases
// with each owner that the trainer switches to.
func agentEpoch(attempt uint64) *pb.Epoch { return &pb.Epoch{Attempt: attempt} }

// stream reads the run's replies until its result.
func (s *Steps) stream(ctx context.Context, st *step, r *run, req *pb.GenerateRequest) (*pb.GenerateDone, error) {
	replies, err := r.server.Client.Generate(ctx, req)
	if err != nil {
		return nil, err
	}
	for {
		reply, err := replies.Recv()
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		switch part := reply.GetPart().(type) {
		case *pb.GenerateReply_Started:
			s.recordStart(r)
		case *pb.GenerateReply_Chunk:
			if err := s.handleChunk(st, r, part.Chunk); err != nil {
				return nil, err
			}
		case *pb.GenerateReply_Done:
			return part.Done, checkDone(part.Done, req)
		case *pb.GenerateReply_Refusal:
			return nil, refusal.Decode(part.Refusal)
		}
	}
}

func (s *Steps) recordStart(r *run) {
	s.mu.Lock()
	s.markStarted(r)
	s.clearCooldown(r.server.Name)
	s.mu.Unlock()
}

// handleChunk adds a chunk to the run. The floor may have risen since the request: a
// token that arrives with a version below the floor may have been generated after the
// rise, so it is not accepted.
func (s *Steps) handleChunk(st *step, r *run, c *pb.GenerateChunk) error {
	if c.GetTokens() == 0 {
		return nil
	}
	if c.GetVersion() == 0 {
		return errDiscard("a chunk has no weight version")
	}
	if fresh.CheckChunk(c.GetVersion(), r.lastVersion(), r.floor.Load(), r.allowMixed) != fresh.Continue {
		return errStale
	}
	if r.addChunk(c) == 1 {
		s.recordStart(r)
		if r.action.Kind == straggle.Move {
			s.wakeScheduler() // so that the plan cancels the run that this one replaces
		}
	}
	return nil
}

// errStale is returned if the stream's engine generates tokens that the step no longer
// accepts.
var errStale = kinds.New(kinds.SampleDiscarded, "the engine's weights are older than the floor, or changed within the sample")

// checkDone checks that a result is complete and that each of its tokens has a label.
// An agent's result is not delivered to a trainer without this check.
func checkDone(d *pb.GenerateDone, req *pb.GenerateRequest) error {
	if !spansCover(d.GetSpans(), int(d.GetTokens())) {
		return errDiscard("%d tokens with spans %v", d.GetTokens(), d.GetSpans())
	}
	if !strings.HasPrefix(d.GetText(), req.GetResume().GetText()) {
		return errDiscard("the result does not begin with the text that it was to go on from")
	}
	if !req.GetAllowMixed() && len(d.GetSpans()) > 1 {
		return errDiscard("spans %v in a sample that must not be mixed", d.GetSpans())
	}
	return nil
}

func outcome(r *run, err error) fleet.Outcome {
	switch {
	case err == nil:
		return fleet.OK
	case r.stalled.Load():
		return fleet.Failed
	case r.ctx.Err() != nil:
		return fleet.Abandoned
	}
	if e, ok := kinds.As(err); ok {
		if e.Kind() == string(kinds.Cancelled) {
			return fleet.Abandoned // the agent stopped the stream for a move
		}
		if e.NotRun() || e.Kind() == string(kinds.SampleDiscarded) || e.Kind() == string(kinds.Superseded) {
			return fleet.Refused
		}
	}
	return fleet.Failed
}

// handleEnd applies the end of a run to its step.
func (s *Steps) handleEnd(st *step, r *run, done *pb.GenerateDone, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wakeScheduler()
	isCurrent := st.runs[r.id] == r
	s.removeRun(st, r)
	if st.stopReason != nil || !isCurrent {
		return
	}
	sm := st.samples[r.sample]
	if err == nil {
		s.handleResult(st, r, done)
		return
	}
	s.logServerEnd(st.sampleName(sm), err)
	s.handleLoss(st, r, err)
}

// logServerEnd logs that a server ended while it ran a sample or the call for its score, if err says so. The
// sample is owed all the same: it is not what made the server end.
func (s *Steps) logServerEnd(name string, err error) {
	if e, ok := kinds.As(err); ok && e.EndedServer() != "" {
		s.cfg.Logger.Warn("A server ended while it ran a request.", zap.String("sample", name), zap.String("server", e.EndedServer()))
	}
}

func (s *Steps) handleResult(st *step, r *run, done *pb.GenerateDone) {
	isFirst, cancels := st.plan.Finished(r.id, int(done.GetTokens()), st.elapsed())
	s.execute(st, cancels, nil)
	if isFirst {
		sm := st.samples[r.sample]
		s.cfg.Explain.Add(st.ctx, "steps", st.sampleName(sm), "finished at "+r.server.Name, fmt.Sprintf("%d tokens by weights %s", done.GetTokens(), versions(done.GetSpans())))
		s.recordResult(st, sm, done)
	}
}

// handleLoss queues the run's sample again. The error decides whether its tokens can be
// resumed, how long the backoff is, and whether the server gets a cooldown.
func (s *Steps) handleLoss(st *step, r *run, err error) {
	lostTotal.Add(1)
	sm := st.samples[r.sample]
	sm.losses++
	e, ok := kinds.As(err)
	s.cfg.Explain.Add(st.ctx, "steps", st.sampleName(sm), lossEvent(r.server.Name, e), lossReason(err))
	if !ok {
		// The connection or the agent failed. The tokens received so far are
		// labelled and stay valid.
		s.startCooldown(r.server.Name, fleet.Failed, 0)
		st.plan.Lost(r.id, s.savePartial(st, r), s.backoff(sm, failureBackoff), st.elapsed())
		return
	}
	switch e.Kind() {
	case string(kinds.Superseded):
		s.stopSuperseded(st, e)
	case string(kinds.SampleDiscarded):
		discardedTotal.Add(1)
		kept := 0
		if e == errStale && r.allowMixed {
			kept = s.savePartial(st, r) // the tokens so far were fresh when they were generated
		} else {
			sm.partial = nil // the labels of its tokens can't be trusted
		}
		st.plan.Lost(r.id, kept, s.backoff(sm, discardBackoff), st.elapsed())
	case string(kinds.Cancelled):
		// The agent ended the stream, for example at the export for a move.
		st.plan.Lost(r.id, s.savePartial(st, r), s.backoff(sm, refusalBackoff), st.elapsed())
	case string(kinds.BackendFailed):
		s.startCooldown(r.server.Name, fleet.Failed, 0)
		st.plan.Lost(r.id, s.savePartial(st, r), s.backoff(sm, failureBackoff), st.elapsed())
	default:
		s.startCooldown(r.server.Name, fleet.Refused, e.Answer().RetryAfter)
		st.plan.Lost(r.id, s.savePartial(st, r), s.backoff(sm, refusalBackoff), st.elapsed())
	}
}

// lossEvent and lossReason describe the end of a run in the decision record.
func lossEvent(server string, e *kinds.Error) string {
	if e != nil && e.NotRun() {
		return "refused by " + server + ", not run"
	}
	return "lost at " + server
}

func lossReason(err error) string {
	if _, ok := kinds.As(err); ok {
		return err.Error()
	}
	return "its agent's stream broke: " + status.Convert(err).Message()
}

// versions lists the weight versions of a sample's tokens.
func versions(spans []*pb.Span) string {
	list := make([]string, len(spans))
	for i, span := range spans {
		list[i] = strconv.FormatUint(span.GetVersion(), 10)
	}
	return strings.Join(list, ", ")
}

// stopSuperseded stops the step because an agent has seen a newer owner: the trainer may
// have posted the step to another entry while the log is unavailable.
func (s *Steps) stopSuperseded(st *step, e *kinds.Error) {
	supersededTotal.Add(1)
	s.cfg.Logger.Info("Another entry took over a step.", zap.String("trainer", st.key.Trainer),
		zap.Uint64("step", st.key.Step), zap.String("why", e.Message()), logs.Trace(st.ctx))
	s.stop(st, kinds.New(kinds.Superseded, "an agent knows a newer owner of step %d of %s", st.key.Step, st.key.Trainer))
}

// backoff returns the delay before a sample's next attempt: zero after the first loss,
// then an exponentially growing delay up to maxBackoff, less a random part of up to half
// of it.
func (s *Steps) backoff(sm *sample, base time.Duration) time.Duration {
	if sm.losses <= lossesBeforeBackoff {
		return 0
	}
	d := min(base<<min(sm.losses-lossesBeforeBackoff-1, 16), maxBackoff)
	return d/2 + time.Duration(s.rand.Int64N(int64(d/2)+1))
}
