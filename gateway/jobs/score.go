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
	// defaultScoreTimeout is how long one call may take where the route does not say.
	defaultScoreTimeout = 2 * time.Second
	// scoreRetryPause lies between two calls for one score.
	scoreRetryPause = 60 * time.Millisecond
	// maxQuarantinePause is the longest pause after a call that is in quarantine, and so how
	// long after the end of the quarantine a score may still be missing.
	maxQuarantinePause = 5 * time.Second
)

// fetchScore asks for the fetchScore of a whole text until it has it, the calls have
// failed as often as the route allows, or the job is no longer ours.
func (r *Runner) fetchScore(ctx context.Context, a *activeItem) {
	failures := 0
	for {
		reply, limit, err := r.requestScore(ctx, a)
		switch {
		case err == nil && reply.Status < http.StatusMultipleChoices:
			r.finishScored(a, hosted.Seal(reply.Header))
			return
		case err == nil && reply.Status == http.StatusInternalServerError:
			// Each server that was asked counts, or a call that always fails is made
			// as often as the square of the route's attempts, and its step waits.
			failures += reply.Failures
		}
		scoreFailures.Add(1)
		r.logMissingScore(a, reply, err, failures)
		if failures >= limit {
			r.abandonUnscored(a)
			return
		}
		if !sleep.For(ctx, pauseAfter(err)) || !r.isScoring(a) {
			return
		}
	}
}

// pauseAfter is how long after a call that gave no score the next one is made.
func pauseAfter(err *kinds.Error) time.Duration {
	if err == nil || err.Kind() != string(kinds.Quarantined) {
		return scoreRetryPause
	}
	return min(maxQuarantinePause, max(scoreRetryPause, err.Answer().RetryAfter))
}

func (r *Runner) logMissingScore(a *activeItem, reply *forward.Reply, err *kinds.Error, failures int) {
	fields := []zap.Field{zap.String("id", a.item.ID), zap.String("score_id", a.item.Score.ID), zap.String("job", a.job.ID), zap.Int("failures", failures)}
	if reply != nil {
		fields = append(fields, zap.Int("status", reply.Status), zap.String("server", reply.Server))
	}
	if err != nil {
		fields = append(fields, zap.Error(err))
	}
	r.zlog.Info("No score yet.", fields...)
}

// requestScore makes one call and returns how often it may fail.
func (r *Runner) requestScore(ctx context.Context, a *activeItem) (*forward.Reply, int, *kinds.Error) {
	request := a.item.Score
	table := r.view.Now().Table
	if table == nil {
		return nil, 1, kinds.Hold().Refuse(kinds.NotReady, "no configuration")
	}
	route := table.Match(request.Host, request.Path)
	if route == nil {
		return nil, 1, kinds.Hold().Refuse(kinds.NotFound, "no route for the score")
	}
	timeout := defaultScoreTimeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	reply, err := r.forward.Send(ctx, forward.Call{
		Route: route, ID: request.ID, Method: http.MethodPost, URI: request.Path, Host: request.Host,
		Header: http.Header{}, Body: request.Body, Deadline: time.Now().Add(timeout),
	})
	return reply, route.MaxAttempts, err
}

func (r *Runner) isScoring(a *activeItem) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return a.phase == scoring
}

func (r *Runner) finishScored(a *activeItem, seal string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.phase == scoring {
		r.deliver(a, a.result(seal))
	}
}

func (r *Runner) abandonUnscored(a *activeItem) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.phase == scoring {
		r.abandon(a, "score")
	}
}
