package logscan

import (
	"cmp"
	"container/list"
	"slices"
	"strings"
	"time"
)

// Cause is why a request or sample failed, was late or was refused.
type Cause string

// The causes, in the order in which one is taken for another's: a sample that was
// held up by an outage also waits.
const (
	CauseCallerGone Cause = "client gone"
	CauseLogUnavailable  Cause = "store away"
	CauseOwnerChanged  Cause = "owner gone"
	CauseServerUnresponsive     Cause = "server silent"
	CauseConnectionBroken     Cause = "server broke off or restarted"
	CauseServerFailed     Cause = "server failed"
	CauseStaleWeights    Cause = "weights too old"
	CauseServerSlow       Cause = "server slow"
	CauseScoreTimeout      Cause = "no score in time"
	CauseSlotWait      Cause = "waited for a place"
	CauseLongText       Cause = "long text"
	CauseRefused    Cause = "refused by servers"
	CauseNoServer   Cause = "no server"
	CausePoisonRequest     Cause = "crashes servers"
	CauseStarting   Cause = "process starting"
	CauseConfiguration      Cause = "refused by the configuration"
	CauseUnknown    Cause = "not told"
)

// Outcome is what became of a request or sample.
type Outcome string

// Fates other than served in time.
const (
	OutcomeFailed  Outcome = "failed"
	OutcomeLate    Outcome = "late"
	OutcomeRefused Outcome = "refused"
)

// Loss is a row of the table.
type Loss struct {
	// RequestKind is the kind of request: "samples of MODEL", or the first part of a path.
	RequestKind  string    `json:"what"`
	Outcome  Outcome      `json:"fate"`
	Cause Cause     `json:"cause"`
	Count int       `json:"count"`
	First time.Time `json:"first"`
	Last  time.Time `json:"last"`
	// Example is the id of the first.
	Example string `json:"example"`
}

type lossKey struct {
	what  string
	fate  Outcome
	cause Cause
}

// Bounds of what is remembered at a time; what finds no room counts as "not told".
const (
	// samplesMost bounds the samples that are on their way: 24 trainers' steps of
	// 2,048 samples, twice over, with room. 200 B each.
	samplesMost = 200_000
	// triesMost bounds the requests whose tries are remembered until they fail.
	triesMost = 50_000
	// rowsMost bounds the table.
	rowsMost = 1000
)

// Losses makes the table and the timeline out of all lines.
type Losses struct {
	Timeline Timeline

	rows    map[lossKey]*Loss
	jobs    map[string]*job
	samples int
	tries   map[string]*list.Element // of *tried, by request
	recent  *list.List               // the newest first
	away    map[string]bool          // processes that can't follow the log
	// Dropped counts what was not remembered for want of room.
	Dropped int
}

// NewLosses returns an empty table.
func NewLosses() *Losses {
	return &Losses{rows: map[lossKey]*Loss{}, jobs: map[string]*job{}, tries: map[string]*list.Element{}, recent: list.New(), away: map[string]bool{}}
}

// job is a batch job that is not over.
type job struct {
	accepted time.Time
	due      time.Duration // 0: not told
	model    string
	samples  map[string]*sample
	taken    bool // its owner has changed
	outage   bool // the log was lost while it was open
	over     bool
}

// sample is a sample that was begun and is not done.
type sample struct {
	running bool
	cause   Cause // of what has held it up so far; empty: nothing
	gaveUp  bool
}

// tried is how the tries of a request went.
type tried struct {
	id    string
	cause Cause
}

// Add takes the next line.
func (s *Losses) Add(l *Line) {
	s.Timeline.at(l.At)
	switch l.Message {
	case "Batch job.":
		s.accepted(l)
	case "Batch job has a new owner.":
		s.owner(l)
	case "Batch job is over.":
		s.over(l)
	case "Sample starts.":
		s.starts(l)
	case "Sample leaves a silent engine.":
		s.leaves(l, CauseServerUnresponsive)
	case "Sample leaves a slow engine.":
		s.leaves(l, CauseServerSlow)
	case "Stream ended early.":
		s.leaves(l, causeOfEnd(l.Why))
	case "Sample given up.":
		s.givenUp(l)
	case "Sample done.":
		s.done(l)
	case "Try failed.":
		s.tryFailed(l)
	case "Request failed.":
		s.requestFailed(l)
	case "Lost the log.":
		s.lost(l)
	case "The log is back.", "Read the log to its end.":
		delete(s.away, l.Process)
		s.Timeline.away(l.At, len(s.away))
	}
}

func (s *Losses) accepted(l *Line) {
	if s.jobs[l.Job] == nil { // each process tells of it
		s.jobs[l.Job] = &job{accepted: l.At, due: time.Duration(l.Due), model: l.Model, samples: map[string]*sample{}, outage: len(s.away) > 0}
	}
}

func (s *Losses) owner(l *Line) {
	if j := s.jobs[l.Job]; j != nil && !j.taken {
		j.taken = true
		s.Timeline.owner(l.At)
	}
}

func (s *Losses) lost(l *Line) {
	s.away[l.Process] = true
	s.Timeline.away(l.At, len(s.away))
	for _, j := range s.jobs {
		j.outage = true
	}
}

// over ends a job. Samples without a result are lost to a trainer that gave it up;
// one that has enough wants no more of them.
func (s *Losses) over(l *Line) {
	j := s.jobs[l.Job]
	if j == nil || j.over {
		return
	}
	j.over = true
	late := j.due > 0 && l.At.Sub(j.accepted) > j.due
	for id, x := range j.samples {
		if x.running {
			s.Timeline.running(l.At, -1)
		}
		if late {
			s.lose(l.At, "samples of "+j.model, OutcomeFailed, s.causeOf(j, x, CauseSlotWait), id)
		}
	}
	s.samples -= len(j.samples)
	j.samples = nil
	s.forget(l.At)
}

// jobKept is how long a job that is over is remembered, for processes that tell
// of it late.
const jobKept = time.Minute

func (s *Losses) forget(now time.Time) {
	for id, j := range s.jobs {
		if j.over && now.Sub(j.accepted) > jobKept {
			delete(s.jobs, id)
		}
	}
}

func (s *Losses) sample(l *Line) (*job, *sample) {
	j := s.jobs[l.Job]
	if j == nil || j.over {
		return nil, nil
	}
	x := j.samples[l.ID]
	if x != nil {
		return j, x
	}
	if s.samples >= samplesMost {
		s.Dropped++
		return nil, nil
	}
	x = &sample{}
	j.samples[l.ID] = x
	s.samples++
	return j, x
}

func (s *Losses) starts(l *Line) {
	s.Timeline.waiting(l.At, l.Waiting)
	if _, x := s.sample(l); x != nil && !x.running {
		x.running = true
		s.Timeline.running(l.At, 1)
	}
}

func (s *Losses) leaves(l *Line, cause Cause) {
	_, x := s.sample(l)
	if x == nil {
		return
	}
	if x.running {
		x.running = false
		s.Timeline.running(l.At, -1)
	}
	x.cause = cmp.Or(cause, x.cause)
}

// causeOfEnd is what the end of a stream means for its sample; empty: nothing that
// holds it up.
func causeOfEnd(why string) Cause {
	switch why {
	case "broken", "unreached", "misdirected":
		return CauseConnectionBroken
	case "failed", "never":
		return CauseServerFailed
	case "too_old", "mixed":
		return CauseStaleWeights
	}
	return ""
}

func (s *Losses) givenUp(l *Line) {
	j, x := s.sample(l)
	if x == nil {
		return
	}
	x.gaveUp = true
	cause := CauseServerFailed
	if l.Why == "score" {
		cause = CauseScoreTimeout
	}
	s.lose(l.At, "samples of "+j.model, OutcomeFailed, cause, l.ID)
}

func (s *Losses) done(l *Line) {
	j, x := s.sample(l)
	if x == nil {
		return
	}
	if x.running {
		s.Timeline.running(l.At, -1)
	}
	if !x.gaveUp && j.due > 0 && l.At.Sub(j.accepted) > j.due {
		s.lose(l.At, "samples of "+j.model, OutcomeLate, s.causeOf(j, x, longest(l)), l.ID)
	}
	delete(j.samples, l.ID)
	s.samples--
}

// longest is what took the most of a sample's time.
func longest(l *Line) Cause {
	switch most := max(l.Waited, l.Streamed, l.Scored); most {
	case l.Waited:
		return CauseSlotWait
	case l.Streamed:
		return CauseLongText
	default:
		return CauseScoreTimeout
	}
}

func (s *Losses) causeOf(j *job, x *sample, otherwise Cause) Cause {
	switch {
	case j.outage:
		return CauseLogUnavailable
	case j.taken:
		return CauseOwnerChanged
	}
	return cmp.Or(x.cause, otherwise)
}

func (s *Losses) tryFailed(l *Line) {
	cause := CauseServerFailed
	switch {
	case l.NotRun:
		cause = CauseRefused
	case l.Error != "":
		cause = CauseConnectionBroken
	}
	if e := s.tries[l.ID]; e != nil {
		e.Value.(*tried).cause = cause
		s.recent.MoveToFront(e)
		return
	}
	s.tries[l.ID] = s.recent.PushFront(&tried{l.ID, cause})
	if s.recent.Len() > triesMost {
		oldest := s.recent.Back()
		delete(s.tries, oldest.Value.(*tried).id)
		s.recent.Remove(oldest)
	}
}

func (s *Losses) requestFailed(l *Line) {
	cause := s.causeOfKind(l)
	fate := OutcomeFailed
	if l.NotRun {
		fate = OutcomeRefused
	}
	what := kindOfPath(l.Path)
	if cause == CauseConfiguration {
		what = noRoute // callers choose such paths: a row for each would hide the others
	}
	s.lose(l.At, what, fate, cause, l.ID)
	if e := s.tries[l.ID]; e != nil {
		delete(s.tries, l.ID)
		s.recent.Remove(e)
	}
}

func (s *Losses) causeOfKind(l *Line) Cause {
	switch l.Kind {
	case "cancelled":
		return CauseCallerGone
	case "log_unavailable":
		if s.away[l.Process] {
			return CauseLogUnavailable
		}
		return CauseStarting
	case "not_ready":
		return CauseStarting
	case "no_server":
		return CauseNoServer
	case "quarantined":
		return CausePoisonRequest
	case "overloaded":
		return CauseRefused
	case "not_found", "bad_request", "too_large":
		return CauseConfiguration
	}
	if e := s.tries[l.ID]; e != nil {
		return e.Value.(*tried).cause
	}
	if l.Kind == "deadline_exceeded" {
		return CauseServerUnresponsive
	}
	return CauseUnknown
}

// noRoute stands for all paths that the configuration refuses.
const noRoute = "paths without a route"

// kindOfPath is the part of a path that tells requests of one kind from others.
func kindOfPath(path string) string {
	parts := strings.SplitN(strings.TrimPrefix(path, "/"), "/", 3)
	if len(parts) > 1 && parts[0] == "-" {
		return "/-/" + parts[1]
	}
	return "/" + parts[0]
}

func (s *Losses) lose(at time.Time, what string, fate Outcome, cause Cause, id string) {
	s.Timeline.lose(at, fate)
	key := lossKey{what, fate, cause}
	row := s.rows[key]
	if row == nil {
		if len(s.rows) >= rowsMost {
			s.Dropped++
			return
		}
		row = &Loss{RequestKind: what, Outcome: fate, Cause: cause, First: at, Example: id}
		s.rows[key] = row
	}
	row.Count++
	row.Last = at
}

// Rows returns the table, what was lost most first.
func (s *Losses) Rows() []Loss {
	rows := make([]Loss, 0, len(s.rows))
	for _, row := range s.rows {
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.RequestKind, b.RequestKind), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Cause, b.Cause))
	})
	return rows
}
