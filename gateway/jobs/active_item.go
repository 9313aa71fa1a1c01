package jobs

import (
	"time"

	"dandelionsill.org/decide/place"
	"dandelionsill.org/decide/residency"
	"dandelionsill.org/decide/route"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/platform/hosted"
)

// phase is the state of an item at its owner.
type phase uint8

const (
	waiting phase = iota
	running       // a stream of the item is open at an engine
	scoring       // the text is complete and its score is requested
	ended         // the result is being appended to the log
)

// activeItem is an item of a job that this process owns. The runner's mutex guards it.
type activeItem struct {
	job  *jobs.Job
	item jobs.Item
	size hosted.ItemHints
	// claim is the claim under which this process took the item. job.Claim changes as soon as
	// another process has claimed the job: if it were used, this owner's last events would be
	// stored under the claim of the next owner.
	claim uint64

	// versions is how many weight versions may generate the text, as of the last plan. As long as that is unknown,
	// the text goes on with its version only, and is kept.
	versions jobs.VersionRule
	// awaitsConfiguration is true if the item goes to no engine until it is sure how often it may fail.
	awaitsConfiguration bool
	// service is the service that runs the item, and regions are those in which it may, according to
	// the table routedBy.
	service  string
	regions  residency.Regions
	routedBy *table.Table

	phase          phase
	run            int
	events         []jobs.Event
	complete       bool // no further event follows
	failures       int
	reportedEvents int    // events that went to the outbox
	reportedServer string // server that was last reported to the log

	server          string
	domain          string    // failure domain of the server
	pace            float64   // seconds per event at the server when the stream started
	stop            func()    // ends the stream; nil unless running
	streamNumber    uint64    // counts the streams of this item
	takenAt         time.Time // when this process took the item
	waitingSince    time.Time // when it left its last engine or was taken
	firstStreamAt   time.Time // when its first stream here was opened
	textCompleteAt  time.Time // when its text was complete
	streamStartedAt time.Time
	lastEventAt     time.Time
	streamEvents    int // events of this stream
	// textSince, eventsBefore and brokenStreams describe the progress of the current text:
	// when this process started to generate it, how many events it had then, and how many of its
	// streams have ended early since.
	textSince     time.Time
	eventsBefore  int
	brokenStreams int
	avoidUntil    map[string]time.Time
}

// newActiveItem takes an item with the text generated before, which is appended again under
// this owner's claim.
func newActiveItem(j *jobs.Job, item jobs.Item, earlier jobs.Output) *activeItem {
	now := time.Now()
	return &activeItem{
		job: j, claim: j.Claim, item: item, size: hosted.ItemHintsOf(item.Header), events: earlier.Events, complete: earlier.Complete, failures: earlier.Failures,
		avoidUntil: map[string]time.Time{}, takenAt: now, waitingSince: now,
	}
}

// requiredVersion returns the only version that may continue the item; 0: any.
func (a *activeItem) requiredVersion() uint64 {
	if a.versions == jobs.AnyVersions || len(a.events) == 0 {
		return 0
	}
	return a.events[0].Version
}

// model returns the model that has to generate the item's text.
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

// progress describes how the item's current text advances.
func (a *activeItem) progress(now time.Time) place.Progress {
	p := place.Progress{Made: float64(len(a.events)), MadeByOwner: float64(len(a.events) - a.eventsBefore), BrokenStreams: a.brokenStreams}
	if !a.textSince.IsZero() {
		p.OwnerSeconds = now.Sub(a.textSince).Seconds()
	}
	return p
}

// ageRankBucket is how much older a job has to be if its samples are to go before longer ones of
// another. If slots are scarce, the older step is the one that can still be finished in time;
// within a bucket the longest samples go first.
const ageRankBucket = 2 * time.Second

// ageRankEpoch keeps ranks small.
var ageRankEpoch = time.Unix(1_700_000_000, 0)

// ageRank returns the job's rank by age: lower for older jobs.
func ageRank(j *jobs.Job) int {
	return int(time.UnixMilli(j.SubmittedMS).Sub(ageRankEpoch) / ageRankBucket)
}

// sample describes the item for placement; remaining is the estimate of remainingEvents.
func (a *activeItem) sample(remaining float64, now time.Time) place.Sample {
	s := place.Sample{ID: a.item.ID, Model: a.model(), Floor: a.job.MinVersion, Remaining: remaining, Prompt: a.size.SharedPrefix, Rank: ageRank(a.job)}
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

// result returns the item's result with its complete text.
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

// pickService returns the service that runs the item, according to the route of the item's own
// path; empty: none.
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
	a.regions = regionsNow(t, a.job.Regions, a.item.Host, a.item.Path, a.job.Organisation)
	return a.service
}
