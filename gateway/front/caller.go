package front

import (
	"context"
	"net/http"
	"time"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/gateway/view"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform/hosted"
)

var unauthenticated = metrics.Counter("front_unauthenticated_total")

// identify returns the organisation that owns the key in the request. It is the zero
// value if the configuration has no organisations, or if the route is public and no known
// key was sent.
func (f *Front) identify(snap *view.Snapshot, r *http.Request, public bool) (table.Organisation, *kinds.Error) {
	directory := snap.Table.Organisations
	if directory == nil {
		return table.Organisation{}, nil
	}
	key, single := hosted.APIKey(r.Header)
	hash := table.HashKey(key)
	if single {
		if o := directory.Find(hash); o != nil {
			return *o, nil
		}
	}
	if public {
		return table.Organisation{}, nil
	}
	return table.Organisation{}, f.unknownKeyError(snap, hash, single)
}

// unknownKeyError returns the error for a key that this process does not know. The
// operator may have added the key a moment ago. If this process's configuration may be
// outdated, the caller is therefore asked to retry, since callers don't retry requests
// that were refused because of their key.
func (f *Front) unknownKeyError(snap *view.Snapshot, hash table.KeyHash, single bool) *kinds.Error {
	held := kinds.Hold()
	age := f.View.ConfigAge().Round(time.Millisecond)
	switch {
	case !f.View.IsFresh():
		return held.Refuse(kinds.NotReady, "key %v is not in version %d, which was the newest %v ago", hash, snap.Table.Version, age)
	case !single:
		unauthenticated.Add(1)
		return held.Refuse(kinds.Unauthenticated, "the request carries no key, or several")
	default:
		unauthenticated.Add(1)
		return held.Refuse(kinds.Unauthenticated, "key %v is in no organisation of version %d, which was the newest %v ago", hash, snap.Table.Version, age)
	}
}

// authorizeJob returns an error unless the request belongs to the job's organisation, or the job
// to none. To other organisations the job appears not to exist. A request with an unknown key waits
// for the job's record only if there may be jobs that need no key, since it costs a read of the log.
func (f *Front) authorizeJob(ctx context.Context, snap *view.Snapshot, r *http.Request, job string) *kinds.Error {
	organisation, refused := f.identify(snap, r, false)
	switch {
	case snap.Table.Organisations == nil:
		return f.authorizeWithoutOrganisations(ctx, snap, job)
	case refused != nil && !f.Jobs.IsPublic(job) && !snap.Table.HasPublicBatchRoute():
		return refused
	}
	failed := f.Jobs.CheckAccess(ctx, job, organisation.Name)
	if refused != nil && failed != nil && failed.Kind() == string(kinds.NotFound) {
		return refused
	}
	return failed
}

// authorizeWithoutOrganisations returns an error if the job has an organisation and the
// configuration, which has none, may not be the newest. Whose the job is can't be told before this
// process has read its record.
func (f *Front) authorizeWithoutOrganisations(ctx context.Context, snap *view.Snapshot, job string) *kinds.Error {
	if f.View.IsFresh() {
		return nil
	}
	refused := f.Jobs.CheckAccess(ctx, job, "")
	if f.Jobs.HasOrganisation(job) {
		return kinds.Hold().Refuse(kinds.NotReady, "batch job %q has an organisation, and version %d has none and may not be the newest", job, snap.Table.Version)
	}
	return refused
}
