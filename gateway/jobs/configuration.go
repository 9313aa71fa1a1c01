package jobs

import (
	"context"

	"go.uber.org/zap"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/fold/jobs"
)

// The decisions of this file are taken by the configuration of the moment, and not once when a job is taken: a process
// that has just started may know none, or a copy that is older than the job.

// VersionRule returns how many weight versions may make a text of a job that is submitted to a route now. isConfirmed says
// whether the route is from the operator's feed itself.
func VersionRule(route *table.Route, isConfirmed bool) jobs.VersionRule {
	switch {
	case route != nil && route.SingleVersion:
		return jobs.OneVersion
	case isConfirmed:
		return jobs.AnyVersions
	default:
		return jobs.VersionsUnknown
	}
}

// routeAt returns the route of a path; nil: it was removed, or is not known yet.
func (r *Runner) routeAt(host, path string) *table.Route {
	t := r.view.Current().Table
	if t == nil {
		return nil
	}
	return t.Match(host, path)
}

// versionRule returns how many weight versions may make a text of a job: one if that was asked for at its submission or is
// now.
func (r *Runner) versionRule(j *jobs.Job) jobs.VersionRule {
	now := VersionRule(r.routeAt(j.Host, j.Path), r.view.IsConfirmed())
	if j.Versions == jobs.OneVersion || now == jobs.OneVersion {
		return jobs.OneVersion
	}
	if j.Versions == jobs.AnyVersions {
		return jobs.AnyVersions
	}
	return now
}

// scoreAttempts returns how often a call for the item's score may fail.
func (r *Runner) scoreAttempts(a *activeItem) int {
	return r.attemptsAt(a.item.Score.Host, a.item.Score.Path)
}

// attemptsAt returns the attempts that a route allows; 1 if there is none.
func (r *Runner) attemptsAt(host, path string) int {
	if route := r.routeAt(host, path); route != nil {
		return route.MaxAttempts
	}
	return 1
}

// giveUpFailed gives an item up that has failed as often as its route allows, or keeps it from engines while the route may be
// another one. It reports whether it did either; r.mu is held.
func (r *Runner) giveUpFailed(a *activeItem) bool {
	limit := r.attemptsAt(a.job.Host, a.job.Path)
	switch {
	case a.failures < limit:
		a.awaitsConfiguration = false
		return false
	case r.view.IsConfirmed():
		r.abandon(a, "failures")
		return true
	}
	if !a.awaitsConfiguration {
		a.awaitsConfiguration = true
		r.zlog.Info("A failed sample waits until the configuration is confirmed.", zap.String("id", a.item.ID), zap.String("job", a.job.ID),
			zap.Int("failures", a.failures), zap.Int("limit", limit), zap.Uint64("config", r.view.Current().ConfigVersion()))
	}
	return true
}

// awaitConfirmed waits until the configuration is confirmed; false: ctx has ended, or the item is no longer
// being scored.
func (r *Runner) awaitConfirmed(ctx context.Context, a *activeItem) bool {
	for !r.view.IsConfirmed() {
		if !sleep.For(ctx, scoreRetryPause) || !r.isScoring(a) {
			return false
		}
	}
	return true
}
