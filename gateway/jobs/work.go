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

// work is an item in the hands of its job's owner. The runner's mutex guards it.
type work struct {
	job  *jobs.Job
	item jobs.Item
	size hosted.ItemSize
	// claim is the one under which this process took the item on. The job's own
	// changes as soon as another process has claimed it: read then, it put this
	// owner's last text under the claim of the next.
	claim uint64

	// single: one weight version makes the whole text.
	single bool
	// service runs the item by the table routedBy.
	service  string
	routedBy *table.Table

	phase    phase
	run      int
	events   []jobs.Event
	whole    bool // no further event follows
	failures int
	noted    int    // events that went to the outbox
	told     string // where the log was told that it runs

	server    string
	pace      float64   // seconds an event there, as known when the stream began
	stop      func()    // ends the stream; nil unless running
	stream    uint64    // counts the streams of this item
	owned     time.Time // when this process took the item on
	left      time.Time // when it left its last engine, or was taken on
	first     time.Time // when its first stream here was opened
	texted    time.Time // when its text was whole
	began     time.Time
	lastEvent time.Time
	streamed  int // events of this stream
	// sinceText, beforeText and setbacks tell how the present text came on: when
	// this process began to make it, the events it had then, and how many of its
	// streams ended early since.
	sinceText  time.Time
	beforeText int
	setbacks   int
	avoid      map[string]time.Time

	subject *quarantine.TrackedRequest // nil: not needed yet
	held    bool                       // it was logged that the item is in quarantine
}

// subject is an item as the quarantine sees it; r.mu is held. A trainer hands in again
// the groups that it did not wait for, and they are the same requests in the later job.
func (r *Runner) subject(w *work) *quarantine.TrackedRequest {
	if w.subject == nil {
		item := &w.item
		w.subject = r.quarantine.Track(func() poison.Content {
			return poison.Content{Caller: w.job.Organisation, Method: http.MethodPost, Host: item.Host, URI: item.Path, Body: item.Body}
		})
	}
	return w.subject
}

// newWork takes an item on with what was made of it before; that is appended
// anew under this owner's claim.
func newWork(j *jobs.Job, item jobs.Item, made jobs.Output) *work {
	now := time.Now()
	return &work{
		job: j, claim: j.Claim, item: item, size: hosted.SizeOf(item.Header), events: made.Events, whole: made.Complete, failures: made.Failures,
		avoid: map[string]time.Time{}, owned: now, left: now,
	}
}

// only is the one version that may go on with the item; 0: any.
func (w *work) only() uint64 {
	if !w.single || len(w.events) == 0 {
		return 0
	}
	return w.events[0].Version
}

// model is the model that has to make the item's text.
func (w *work) model() string {
	if w.size.Model != "" {
		return w.size.Model
	}
	return w.job.Model
}

// restart drops the text so far.
func (w *work) restart() {
	w.run++
	w.events, w.noted, w.whole = nil, 0, false
	w.sinceText, w.beforeText, w.setbacks = time.Time{}, 0, 0
}

// progress is how the item's present text has come on.
func (w *work) progress(now time.Time) place.Progress {
	p := place.Progress{Made: float64(len(w.events)), MadeByOwner: float64(len(w.events) - w.beforeText), BrokenStreams: w.setbacks}
	if !w.sinceText.IsZero() {
		p.OwnerSeconds = now.Sub(w.sinceText).Seconds()
	}
	return p
}

// rankBucket is how much older a job has to be for its samples to go before
// longer ones of another. Where places are scarce the older step is the one
// that can still be saved; within a bucket the longest go first.
const rankBucket = 2 * time.Second

// rankEpoch keeps ranks small.
var rankEpoch = time.Unix(1_700_000_000, 0)

// turn is the job's place among others by its age.
func turn(j *jobs.Job) int {
	return int(time.UnixMilli(j.SubmittedMS).Sub(rankEpoch) / rankBucket)
}

// sample describes the item for its placing; left is guessed by r.left.
func (w *work) sample(left float64, now time.Time) place.Sample {
	s := place.Sample{ID: w.item.ID, Model: w.model(), Floor: w.job.MinVersion, Remaining: left, Prompt: w.size.Shared, Rank: turn(w.job)}
	s.OnlyVersion = w.only()
	if w.phase == waiting {
		s.Waited = now.Sub(w.left).Seconds()
	}
	for server, until := range w.avoid {
		if now.After(until) {
			delete(w.avoid, server)
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
func (w *work) result(score string) jobs.Result {
	r := jobs.Result{Job: w.job.ID, Item: w.item.ID, Score: score}
	size := 0
	for _, e := range w.events {
		size += len(e.Data) + 1
	}
	text := make([]byte, 0, size)
	seen := map[uint64]bool{}
	for i, e := range w.events {
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

// serviceBy returns the service that runs the item: that of the route of its own path;
// empty: none.
func (w *work) serviceBy(t *table.Table) string {
	if t == w.routedBy {
		return w.service
	}
	w.service, w.routedBy = "", t
	if t == nil {
		return ""
	}
	if r := t.Match(w.item.Host, w.item.Path); r != nil {
		w.service = r.Pick(route.Hash(w.item.ID))
	}
	return w.service
}
