package jobs

import (
	"dandelionsill.org/decide/table"
	"dandelionsill.org/fold/jobs"
)

// What depends on the route of a job is decided by the configuration of the moment, and not once when the job is taken: a
// process that has just started may know no configuration, or a copy that is older than the job.

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

// maxAttempts returns how often an item of the job may fail at engines.
func (r *Runner) maxAttempts(j *jobs.Job) int {
	if route := r.routeAt(j.Host, j.Path); route != nil {
		return route.MaxAttempts
	}
	return 1
}
