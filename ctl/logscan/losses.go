package logscan

import (
	"cmp"
	"container/list"
	"slices"
	"strings"
	"time"
)

// Cause is the reason why a request or sample failed, was late or was refused.
type Cause string

// The causes, by precedence: a sample that was delayed by an outage of the log, for
// example, has also waited for a slot.
const (
	CauseCallerGone         Cause = "client gone"
	CauseLogUnavailable     Cause = "store away"
	CauseOwnerChanged       Cause = "owner gone"
	CauseServerUnresponsive Cause = "server silent"
	CauseConnectionBroken   Cause = "server broke off or restarted"
	CauseServerFailed       Cause = "server failed"
	CauseStaleWeights       Cause = "weights too old"
	CauseServerSlow         Cause = "server slow"
	CauseScoreTimeout       Cause = "no score in time"
	CauseSlotWait           Cause = "waited for a place"
	CauseLongText           Cause = "long text"
	CauseRefused            Cause = "refused by servers"
	CauseNoPlace            Cause = "no place in time"
	CauseEjectedServers     Cause = "no place, servers ejected"
	CauseNoBroker           Cause = "no broker of places"
	CauseMemory             Cause = "memory of the gateway full"
	CauseSlowReader         Cause = "caller reads too slowly"
	CauseNoServer           Cause = "no server"
	CausePoisonRequest      Cause = "crashes servers"
	CauseStarting           Cause = "process starting"
	CauseStopping           Cause = "process stopping"
	CauseConfiguration      Cause = "refused by the configuration"
	CauseUnknown            Cause = "not told"
)

// Outcome is the result of a request or sample.
type Outcome string

// The outcomes other than success in time.
const (
	OutcomeFailed  Outcome = "failed"
	OutcomeLate    Outcome = "late"
	OutcomeRefused Outcome = "refused"
)

// Loss is a row of the table: the requests or samples of one kind with the same
// outcome and cause.
type Loss struct {
	// RequestKind is the kind of request: "samples of MODEL", or the first part of a path.
	RequestKind string    `json:"what"`
	Outcome     Outcome   `json:"fate"`
	Cause       Cause     `json:"cause"`
	Count       int       `json:"count"`
	First       time.Time `json:"first"`
	Last        time.Time `json:"last"`
	// Example is the id of the first request or sample.
	Example string `json:"example"`
}

type lossKey struct {
	requestKind string
	outcome     Outcome
	cause       Cause
}

// Limits of the memory for unfinished work.
const (
	// maxSamples is the maximum number of unfinished samples. It is about twice what
	// two steps of 2,048 samples for each of 24 trainers need. A sample takes 200 B.
	maxSamples = 200_000
	// maxFailedAttempts is the maximum number of requests whose last failed attempt
	// is kept until the request fails; without it the cause is CauseUnknown or, for
	// a deadline, CauseServerUnresponsive.
	maxFailedAttempts = 50_000
	// maxRows is the maximum number of rows of the table.
	maxRows = 1000
)

// Losses builds the table of losses and the timeline from all lines.
type Losses struct {
	Timeline Timeline

	rows           map[lossKey]*Loss
	jobs           map[string]*job
	sampleCount    int
	lastFailures   map[string]*list.Element // values are *failedAttempt, by request id
	recentFailures *list.List               // of *failedAttempt, newest first
	withoutLog     map[string]bool          // processes that can't read the log
	places         *Places
	// Dropped counts the log lines of samples and the losses that were ignored
	// because a limit was reached.
	Dropped int
}

// NewLosses returns an empty table.
func NewLosses() *Losses {
	return &Losses{rows: map[lossKey]*Loss{}, jobs: map[string]*job{}, lastFailures: map[string]*list.Element{}, recentFailures: list.New(), withoutLog: map[string]bool{}, places: NewPlaces()}
}

// job is a batch job that is unfinished, or has ended and is still kept (see
// endedJobRetention).
type job struct {
	accepted     time.Time
	due          time.Duration // from accepted; 0: no deadline known
	model        string
	samples      map[string]*sample
	ownerChanged bool // another process has become its owner
	logOutage    bool // a process could not read the log while the job was unfinished
	ended        bool
}

// sample is a sample that was started and is not done.
type sample struct {
	running   bool
	cause     Cause // of its last delay; empty: none
	abandoned bool
}

// failedAttempt is the last failed attempt of a request.
type failedAttempt struct {
	id    string
	cause Cause
}

// Add processes the next line. The messages must also match the logs of earlier
// releases, so they are kept as they are.
func (s *Losses) Add(l *Line) {
	s.Timeline.second(l.At)
	s.places.Add(l)
	switch l.Message {
	case "Batch job.":
		s.jobAccepted(l)
	case "Batch job has a new owner.":
		s.jobOwnerChanged(l)
	case "Batch job is over.":
		s.jobEnded(l)
	case "Sample starts.":
		s.sampleStarted(l)
	case "Sample leaves a silent engine.":
		s.streamEnded(l, CauseServerUnresponsive)
	case "Sample leaves a slow engine.":
		s.streamEnded(l, CauseServerSlow)
	case "Stream ended early.":
		s.streamEnded(l, streamEndCause(l.Why))
	case "Sample given up.":
		s.sampleAbandoned(l)
	case "Sample done.":
		s.sampleDone(l)
	case "Try failed.":
		s.attemptFailed(l)
	case "Permit refused.", "No permit in time.":
		s.permitRefused(l)
	case "No broker.":
		s.setLastFailure(l, CauseNoBroker)
	case "Closing the connection of a caller that reads too slowly.":
		s.slowReader(l)
	case "Request failed.":
		s.requestFailed(l)
	case "Lost the log.":
		s.logLost(l)
	case "The log is back.", "Read the log to its end.":
		delete(s.withoutLog, l.Process)
		s.Timeline.setWithoutLog(l.At, len(s.withoutLog))
	}
}

func (s *Losses) jobAccepted(l *Line) {
	if s.jobs[l.Job] == nil { // each process logs it
		s.jobs[l.Job] = &job{accepted: l.At, due: time.Duration(l.Due), model: l.Model, samples: map[string]*sample{}, logOutage: len(s.withoutLog) > 0}
	}
}

func (s *Losses) jobOwnerChanged(l *Line) {
	if j := s.jobs[l.Job]; j != nil && !j.ownerChanged {
		j.ownerChanged = true
		s.Timeline.addOwnerChange(l.At)
	}
}

func (s *Losses) logLost(l *Line) {
	s.withoutLog[l.Process] = true
	s.Timeline.setWithoutLog(l.At, len(s.withoutLog))
	for _, j := range s.jobs {
		j.logOutage = true
	}
}

// jobEnded ends a job. If the job has exceeded its deadline, its samples without a
// result count as failed. Otherwise the trainer has enough results and does not need
// these samples.
func (s *Losses) jobEnded(l *Line) {
	j := s.jobs[l.Job]
	if j == nil || j.ended {
		return
	}
	j.ended = true
	late := j.due > 0 && l.At.Sub(j.accepted) > j.due
	for id, x := range j.samples {
		if x.running {
			s.Timeline.addRunning(l.At, -1)
		}
		if late {
			s.addLoss(l.At, "samples of "+j.model, OutcomeFailed, s.sampleCause(j, x, CauseSlotWait), id)
		}
	}
	s.sampleCount -= len(j.samples)
	j.samples = nil
	s.removeEndedJobs(l.At)
}

// endedJobRetention is how long after its acceptance a job that has ended is kept at
// least, because other processes may log it later.
const endedJobRetention = time.Minute

func (s *Losses) removeEndedJobs(now time.Time) {
	for id, j := range s.jobs {
		if j.ended && now.Sub(j.accepted) > endedJobRetention {
			delete(s.jobs, id)
		}
	}
}

// findOrAddSample returns the line's job and sample. Both are nil if the job is not
// known or has ended, or if there are too many samples.
func (s *Losses) findOrAddSample(l *Line) (*job, *sample) {
	j := s.jobs[l.Job]
	if j == nil || j.ended {
		return nil, nil
	}
	x := j.samples[l.ID]
	if x != nil {
		return j, x
	}
	if s.sampleCount >= maxSamples {
		s.Dropped++
		return nil, nil
	}
	x = &sample{}
	j.samples[l.ID] = x
	s.sampleCount++
	return j, x
}

func (s *Losses) sampleStarted(l *Line) {
	s.Timeline.addWaiting(l.At, l.Waiting)
	if _, x := s.findOrAddSample(l); x != nil && !x.running {
		x.running = true
		s.Timeline.addRunning(l.At, 1)
	}
}

func (s *Losses) streamEnded(l *Line, cause Cause) {
	_, x := s.findOrAddSample(l)
	if x == nil {
		return
	}
	if x.running {
		x.running = false
		s.Timeline.addRunning(l.At, -1)
	}
	x.cause = cmp.Or(cause, x.cause)
}

// streamEndCause returns the cause of the delay that the end of a stream means for its
// sample, or "" if it causes no delay.
func streamEndCause(reason string) Cause {
	switch reason {
	case "broken", "unreached", "misdirected":
		return CauseConnectionBroken
	case "failed", "never":
		return CauseServerFailed
	case "too_old", "mixed":
		return CauseStaleWeights
	}
	return ""
}

func (s *Losses) sampleAbandoned(l *Line) {
	j, x := s.findOrAddSample(l)
	if x == nil {
		return
	}
	x.abandoned = true
	cause := CauseServerFailed
	if l.Why == "score" {
		cause = CauseScoreTimeout
	}
	s.addLoss(l.At, "samples of "+j.model, OutcomeFailed, cause, l.ID)
}

func (s *Losses) sampleDone(l *Line) {
	j, x := s.findOrAddSample(l)
	if x == nil {
		return
	}
	if x.running {
		s.Timeline.addRunning(l.At, -1)
	}
	if !x.abandoned && j.due > 0 && l.At.Sub(j.accepted) > j.due {
		s.addLoss(l.At, "samples of "+j.model, OutcomeLate, s.sampleCause(j, x, longestPhase(l)), l.ID)
	}
	delete(j.samples, l.ID)
	s.sampleCount--
}

// longestPhase returns the cause that corresponds to the longest phase of a sample.
func longestPhase(l *Line) Cause {
	switch longest := max(l.Waited, l.Streamed, l.Scored); longest {
	case l.Waited:
		return CauseSlotWait
	case l.Streamed:
		return CauseLongText
	default:
		return CauseScoreTimeout
	}
}

func (s *Losses) sampleCause(j *job, x *sample, otherwise Cause) Cause {
	switch {
	case j.logOutage:
		return CauseLogUnavailable
	case j.ownerChanged:
		return CauseOwnerChanged
	}
	return cmp.Or(x.cause, otherwise)
}

func (s *Losses) attemptFailed(l *Line) {
	cause := CauseServerFailed
	switch {
	case l.NotRun:
		cause = CauseRefused
	case l.Error != "":
		cause = CauseConnectionBroken
	}
	if cause == CauseRefused && s.lastFailure(l.ID) == CauseNoBroker {
		return // servers refuse more where nobody shares out their places
	}
	s.setLastFailure(l, cause)
}

// lastFailure returns the cause of a request's last failed attempt; empty: none is known.
func (s *Losses) lastFailure(id string) Cause {
	if e := s.lastFailures[id]; e != nil {
		return e.Value.(*failedAttempt).cause
	}
	return ""
}

func (s *Losses) setLastFailure(l *Line, cause Cause) {
	if e := s.lastFailures[l.ID]; e != nil {
		e.Value.(*failedAttempt).cause = cause
		s.recentFailures.MoveToFront(e)
		return
	}
	s.lastFailures[l.ID] = s.recentFailures.PushFront(&failedAttempt{l.ID, cause})
	if s.recentFailures.Len() > maxFailedAttempts {
		oldest := s.recentFailures.Back()
		delete(s.lastFailures, oldest.Value.(*failedAttempt).id)
		s.recentFailures.Remove(oldest)
	}
}

func (s *Losses) requestFailed(l *Line) {
	cause := s.requestCause(l)
	if cause == CauseSlowReader {
		return // counted already
	}
	outcome := OutcomeFailed
	if l.NotRun {
		outcome = OutcomeRefused
	}
	label := pathGroup(l.Path)
	if cause == CauseConfiguration {
		label = noRoute // callers choose these paths; a row for each would hide the other rows
	}
	s.addLoss(l.At, label, outcome, cause, l.ID)
	if e := s.lastFailures[l.ID]; e != nil {
		delete(s.lastFailures, l.ID)
		s.recentFailures.Remove(e)
	}
}

func (s *Losses) requestCause(l *Line) Cause {
	last := s.lastFailure(l.ID)
	if last == CauseSlowReader {
		return last
	}
	switch l.Kind {
	case "cancelled":
		return CauseCallerGone
	case "log_unavailable":
		if s.withoutLog[l.Process] {
			return CauseLogUnavailable
		}
		return CauseStarting
	case "not_ready":
		return CauseStarting
	case "leaving":
		return CauseStopping
	case "no_server":
		return CauseNoServer
	case "quarantined":
		return CausePoisonRequest
	case "overloaded":
		return overloadCause(l, last)
	case "not_found", "bad_request", "too_large":
		return CauseConfiguration
	}
	if last != "" {
		return last
	}
	if l.Kind == "deadline_exceeded" {
		return CauseServerUnresponsive
	}
	return CauseUnknown
}

// noRoute is the request kind of all paths that the configuration refuses.
const noRoute = "paths without a route"

// pathGroup returns the start of a path that identifies the kind of request.
func pathGroup(path string) string {
	parts := strings.SplitN(strings.TrimPrefix(path, "/"), "/", 3)
	if len(parts) > 1 && parts[0] == "-" {
		return "/-/" + parts[1]
	}
	return "/" + parts[0]
}

func (s *Losses) addLoss(at time.Time, requestKind string, outcome Outcome, cause Cause, id string) {
	s.Timeline.addLoss(at, outcome)
	key := lossKey{requestKind, outcome, cause}
	row := s.rows[key]
	if row == nil {
		if len(s.rows) >= maxRows {
			s.Dropped++
			return
		}
		row = &Loss{RequestKind: requestKind, Outcome: outcome, Cause: cause, First: at, Example: id}
		s.rows[key] = row
	}
	row.Count++
	row.Last = at
}

// Rows returns the table, with the highest count first.
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
