package jobs

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/gateway/forward"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform/hosted"
)

// Times of calls for a score.
const (
	// scoreDeadline is how long one call may take where the route does not say.
	scoreDeadline = 2 * time.Second
	// scorePause lies between two calls for one score.
	scorePause = 60 * time.Millisecond
	// heldPause is the longest pause after a call that is in quarantine, and so how
	// long after the end of the quarantine a score may still be missing.
	heldPause = 5 * time.Second
)

// score asks for the score of a whole text until it has it, the calls have
// failed as often as the route allows, or the job is no longer ours.
func (r *Runner) score(ctx context.Context, w *work) {
	failures := 0
	for {
		reply, limit, err := r.askScore(ctx, w)
		switch {
		case err == nil && reply.Status < http.StatusMultipleChoices:
			r.scored(w, hosted.Seal(reply.Header))
			return
		case err == nil && reply.Status == http.StatusInternalServerError:
			// Each server that was asked counts, or a call that always fails is made
			// as often as the square of the route's attempts, and its step waits.
			failures += reply.Failures
		}
		scoreRefusals.Add(1)
		r.logScore(w, reply, err, failures)
		if failures >= limit {
			r.unscored(w)
			return
		}
		if !sleep.For(ctx, pauseAfter(err)) || !r.stillScoring(w) {
			return
		}
	}
}

// pauseAfter is how long after a call that gave no score the next one is made.
func pauseAfter(err *kinds.Error) time.Duration {
	if err == nil || err.Kind() != string(kinds.Quarantined) {
		return scorePause
	}
	return min(heldPause, max(scorePause, err.Answer().RetryAfter))
}

func (r *Runner) logScore(w *work, reply *forward.Reply, err *kinds.Error, failures int) {
	fields := []zap.Field{zap.String("id", w.item.ID), zap.String("score_id", w.item.Score.ID), zap.String("job", w.job.ID), zap.Int("failures", failures)}
	if reply != nil {
		fields = append(fields, zap.Int("status", reply.Status), zap.String("server", reply.Server))
	}
	if err != nil {
		fields = append(fields, zap.Error(err))
	}
	r.zlog.Info("No score yet.", fields...)
}

// askScore makes one call and returns how often it may fail.
func (r *Runner) askScore(ctx context.Context, w *work) (*forward.Reply, int, *kinds.Error) {
	ask := w.item.Score
	table := r.view.Current().Table
	if table == nil {
		return nil, 1, kinds.Hold().Refuse(kinds.NotReady, "no configuration")
	}
	route := table.Match(ask.Host, ask.Path)
	if route == nil {
		return nil, 1, kinds.Hold().Refuse(kinds.NotFound, "no route for the score")
	}
	timeout := scoreDeadline
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	reply, err := r.forward.Send(ctx, forward.Call{
		Route: route, ID: ask.ID, Method: http.MethodPost, URI: ask.Path, Host: ask.Host,
		Header: http.Header{}, Body: ask.Body, Deadline: time.Now().Add(timeout),
	})
	return reply, route.MaxAttempts, err
}

func (r *Runner) stillScoring(w *work) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return w.phase == scoring
}

func (r *Runner) scored(w *work, seal string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w.phase == scoring {
		r.deliver(w, w.result(seal))
	}
}

func (r *Runner) unscored(w *work) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w.phase == scoring {
		r.giveUp(w, "score")
	}
}
