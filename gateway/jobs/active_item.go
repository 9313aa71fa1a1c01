package jobs

import (
	"net/http"
	"time"

	"dandelionsill.org/decide/place"
	"dandelionsill.org/decide/poison"
	"dandelionsill.org/decide/route"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/quarantine"
)

// phase is what the owner is doing with an item.
type phase uint8

const (
	waiting phase = iota
	running       // a stream of it is open at an engine
	scoring       // its text is whole, its score is being asked for
	ended         // its result is on its way to the log
)

// activeItem is an item in the hands of its job's owner. The runner's mutex guards it.
type activeItem struct {
	job  *jobs.Job
	item jobs.Item
	size hosted.ItemSize
	// claim is the one under which this process took the item on. The job's own
	// changes as soon as another process has claimed it: read then, it put this
	// owner's last text under the claim of the next.
	claim uint64

	// singleVersion: one weight version makes the whole text.
	singleVersion bool
	// service runs the item by the table routedBy.
	service  string
	routedBy *table.Table

	phase          phase
	run            int
	events         []jobs.Event
	complete       bool // no further event follows
	failures       int
	reportedEvents int    // events that went to the outbox
	reportedServer string // where the log was told that it runs

	server          string
	pace            float64   // seconds an event there, as known when the stream began
	stop            func()    // ends the stream; nil unless running
	streamNumber    uint64    // counts the streams of this item
	takenAt         time.Time // when this process took the item on
	waitingSince    time.Time // when it left its last engine, or was taken on
	firstStreamAt   time.Time // when its first stream here was opened
	textCompleteAt  time.Time // when its text was whole
	streamStartedAt time.Time
	lastEventAt     time.Time
	streamEvents    int // events of this stream
	// textSince, beforeText and setbacks tell how the present text came on: when
	// this process began to make it, the events it had then, and how many of its
	// streams ended early since.
	textSince     time.Time
	eventsBefore  int
	brokenStreams int
	avoidUntil    map[string]time.Time

	subject          *quarantine.Subject // nil: not needed yet
	quarantineLogged bool                // it was logged that the item is in quarantine
}

// subject is an item as the quarantine sees it; r.mu is held. A trainer hands in again
// the groups that it did not wait for, and they are the same requests in the later job.
func (r *Runner) subject(a *activeItem) *quarantine.Subject {
	if a.subject == nil {
		item := &a.item
		a.subject = r.quarantine.Subject(func() poison.Content {
			return poison.Content{Caller: a.job.Organisation, Method: http.MethodPost, Host: item.Host, URI: item.Path, Body: item.Body}
		})
	}
	return a.subject
}

// newActiveItem takes an item on with what was made of it before; that is appended
// anew under this owner's claim.
func newActiveItem(j *jobs.Job, item jobs.Item, earlier jobs.Made) *activeItem {
	now := time.Now()
	return &activeItem{
		job: j, claim: j.Claim, item: item, size: hosted.SizeOf(item.Header), events: earlier.Events, complete: earlier.Whole, failures: earlier.Failures,
		avoidUntil: map[string]time.Time{}, takenAt: now, waitingSince: now,
	}
}

// requiredVersion is the one version that may go on with the item; 0: any.
func (a *activeItem) requiredVersion() uint64 {
	if !a.singleVersion || len(a.events) == 0 {
		return 0
	}
	return a.events[0].Version
}

// model is the model that has to make the item's text.
func (a *activeItem) model() string {
	if a.size.Model != "" {
		return a.size.Model
	}
	return a.job.Model
}

// restart drops the text so far.
func (a *activeItem) restart() {
	a.run++
	a.events, a.reportedEvents, a.complete = nil, 0, false
	a.textSince, a.eventsBefore, a.brokenStreams = time.Time{}, 0, 0
}

// progress is how the item's present text has come on.
func (a *activeItem) progress(now time.Time) place.Progress {
	p := place.Progress{Made: float64(len(a.events)), MadeByOwner: float64(len(a.events) - a.eventsBefore), BrokenStreams: a.brokenStreams}
	if !a.textSince.IsZero() {
		p.OwnerSeconds = now.Sub(a.textSince).Seconds()
	}
	return p
}

// ageRankBucket is how much older a job has to be for its samples to go before
// longer ones of another. Where places are scarce the older step is the one
// that can still be saved; within a bucket the longest go first.
const ageRankBucket = 2 * time.Second

// ageRankEpoch keeps ranks small.
var ageRankEpoch = time.Unix(1_700_000_000, 0)

// ageRank is the job's place among others by its age.
func ageRank(j *jobs.Job) int {
	return int(time.UnixMilli(j.SubmittedMS).Sub(ageRankEpoch) / ageRankBucket)
}

// sample describes the item for its placing; left is guessed by r.left.
func (a *activeItem) sample(remaining float64, now time.Time) place.Sample {
	s := place.Sample{ID: a.item.ID, Model: a.model(), Floor: a.job.MinVersion, Remaining: remaining, Prompt: a.size.Shared, Rank: ageRank(a.job)}
	s.OnlyVersion = a.requiredVersion()
	if a.phase == waiting {
		s.Waited = now.Sub(a.waitingSince).Seconds()
	}
	for server, until := range a.avoidUntil {
		if now.After(until) {
			delete(a.avoidUntil, server)
			continue
		}
		if s.Avoid == nil {
			s.Avoid = map[string]bool{}
		}
		s.Avoid[server] = true
	}
	return s
}

// result makes the item's result out of its whole text.
func (a *activeItem) result(score string) jobs.Result {
	r := jobs.Result{Job: a.job.ID, Item: a.item.ID, Score: score}
	size := 0
	for _, e := range a.events {
		size += len(e.Data) + 1
	}
	text := make([]byte, 0, size)
	seen := map[uint64]bool{}
	for i, e := range a.events {
		if i > 0 {
			text = append(text, '\n')
		}
		text = append(text, e.Data...)
		if !seen[e.Version] {
			seen[e.Version] = true
			r.Versions = append(r.Versions, e.Version)
		}
	}
	r.Text = string(text)
	return r
}

// pickService returns the service that runs the item: that of the route of its own path;
// empty: none.
func (a *activeItem) pickService(t *table.Table) string {
	if t == a.routedBy {
		return a.service
	}
	a.service, a.routedBy = "", t
	if t == nil {
		return ""
	}
	if r := t.Match(a.item.Host, a.item.Path); r != nil {
		a.service = r.Pick(route.Hash(a.item.ID))
	}
	return a.service
}
