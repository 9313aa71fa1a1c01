package jobs

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/decide/residency"
	"dandelionsill.org/gateway/forward"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform/hosted"
)

// Time limits of calls for a score.
const (
	// defaultScoreTimeout bounds one call if the route does not set a timeout.
	defaultScoreTimeout = 2 * time.Second
	// scoreRetryPause is the pause between two calls for one score.
	scoreRetryPause = 60 * time.Millisecond
)

// fetchScore requests the score of a complete text until it gets one, the calls have failed as
// often as the route allows, or this process no longer owns the job.
func (r *Runner) fetchScore(ctx context.Context, a *activeItem) {
	failures := 0
	for {
		reply, err := r.requestScore(ctx, a)
		switch {
		case err == nil && reply.Status < http.StatusMultipleChoices:
			r.finishScored(a, hosted.Seal(reply.Header))
			return
		case err == nil && reply.Status == http.StatusInternalServerError:
			// The attempts at each server count: otherwise a call that always fails would be
			// made as often as the square of the route's attempts, and delay its step.
			failures += reply.Failures
		}
		scoreFailures.Add(1)
		r.logMissingScore(a, reply, err, failures)
		if failures >= r.scoreAttempts(a) {
			if !r.awaitConfirmed(ctx, a) {
				return
			}
			if failures >= r.scoreAttempts(a) {
				r.abandonUnscored(a)
				return
			}
		}
		if !sleep.For(ctx, scoreRetryPause) || !r.isScoring(a) {
			return
		}
	}
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

// requestScore makes one call.
func (r *Runner) requestScore(ctx context.Context, a *activeItem) (*forward.Reply, *kinds.Error) {
	request := a.item.Score
	table := r.view.Current().Table
	if table == nil {
		return nil, kinds.Hold().Refuse(kinds.NotReady, "no configuration")
	}
	route := table.Match(request.Host, request.Path)
	if route == nil {
		return nil, kinds.Hold().Refuse(kinds.NotFound, "no route for the score")
	}
	timeout := defaultScoreTimeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	return r.forward.Send(ctx, forward.Call{
		Route: route, ID: request.ID, Method: http.MethodPost, URI: request.Path, Host: request.Host,
		Header: http.Header{}, Body: request.Body, Deadline: time.Now().Add(timeout), Internal: true, Priority: route.Priority,
		// A score is a request of its own: its route's regions bind, not those of the job's
		// route. It holds the organisation's data, so that the organisation's regions do.
		Path: request.Path, Regions: route.Regions.And(residency.Only(a.job.OrganisationRegions)), OnBehalfOf: a.job.Organisation,
	})
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
