package logscan

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Decision is one line of a trace.
type Decision struct {
	At      time.Time `json:"at"`
	Process string    `json:"process"`
	Part    string    `json:"part"`
	Message string    `json:"message"`
	// Fields holds the inputs and the outcome, as name=value, in the line's order.
	Fields []string `json:"fields"`

	owner string // of the batch job; only set for lines about a job
}

// maxDecisions is the maximum number of lines of a trace. maxJobLines is the maximum
// number of lines that are kept about all jobs, because any of them may turn out to
// be the job of the traced sample. A line takes about 500 B.
const (
	maxDecisions = 20_000
	maxJobLines  = 50_000
)

// Tracer collects the log lines about one request, batch job, sample or duty. Add
// must be called with all lines. For a sample, the trace also has the lines about
// its job as a whole, for example a change of the owner.
type Tracer struct {
	id string
	// scoreID is the id of the request for the sample's score. job is the sample's
	// batch job, or the id itself if that is a batch job.
	scoreID, job string
	matched      []Decision
	jobLines     map[string][]Decision
	jobLineCount int
	// Dropped counts the lines that were ignored because a limit was reached.
	Dropped int
}

// NewTracer returns a tracer for the id of a request, batch job or sample, for a
// request's fingerprint, or for the name of a duty.
func NewTracer(id string) *Tracer { return &Tracer{id: id, jobLines: map[string][]Decision{}} }

// Add processes the next line.
func (t *Tracer) Add(l *Line) {
	switch {
	case l.ID == t.id || l.ScoreID == t.id || l.ID != "" && l.ID == t.scoreID:
		t.linkIDs(l)
		t.addMatch(l)
	case t.id != "" && (l.Request == t.id || l.Duty == t.id):
		t.addMatch(l) // all crashes of servers by one request; all processes that had a duty
	case l.Job == t.id && l.ID == "":
		t.job = t.id
		t.addMatch(l)
	case l.Job != "" && l.ID == "":
		t.addJobLine(l)
	}
}

// linkIDs records the score request and the job that belong to the id.
func (t *Tracer) linkIDs(l *Line) {
	if l.ScoreID != "" && l.ID == t.id {
		t.scoreID = l.ScoreID
	}
	if l.Job != "" && t.job == "" {
		t.job = l.Job
	}
}

func (t *Tracer) addMatch(l *Line) {
	if len(t.matched) >= maxDecisions {
		t.Dropped++
		return
	}
	t.matched = append(t.matched, newDecision(l))
}

// addJobLine keeps a line about a job as a whole. Each process logs each job: only the
// first line with the same message and owner is kept.
func (t *Tracer) addJobLine(l *Line) {
	lines := t.jobLines[l.Job]
	if l.Message == "Results read." || slices.ContainsFunc(lines, func(d Decision) bool { return d.Message == l.Message && d.owner == l.Owner }) {
		return
	}
	if t.jobLineCount >= maxJobLines {
		t.Dropped++
		return
	}
	t.jobLineCount++
	d := newDecision(l)
	d.owner = l.Owner
	t.jobLines[l.Job] = append(lines, d)
}

// Decisions returns the collected lines in the order of time.
func (t *Tracer) Decisions() []Decision {
	all := slices.Clone(t.matched)
	if len(all) > 0 && t.job != t.id {
		all = append(all, t.jobLines[t.job]...)
	}
	slices.SortStableFunc(all, func(a, b Decision) int { return a.At.Compare(b.At) })
	return all
}

func newDecision(l *Line) Decision {
	return Decision{At: l.At, Process: l.Process, Part: l.Part, Message: l.Message, Fields: listFields(l.Raw)}
}

// listFields returns the fields of a line, in its order, without those that a Decision
// shows in fields of its own, and without the level.
func listFields(raw []byte) []string {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	if _, err := decoder.Token(); err != nil {
		return nil
	}
	var fields []string
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return fields
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return fields
		}
		switch name {
		case "ts", "msg", "level":
			continue
		}
		fields = append(fields, fmt.Sprintf("%v=%s", name, strings.Trim(string(value), `"`)))
	}
	return fields
}

// ErrNotFound is returned if no line has the id.
var ErrNotFound = errors.New("no line speaks of it")

// Write prints the trace, one line per decision. Without any decision it returns
// ErrNotFound.
func (t *Tracer) Write(w io.Writer) error {
	decisions := t.Decisions()
	if len(decisions) == 0 {
		return errors.Annotatef(ErrNotFound, "%q", t.id)
	}
	for _, d := range decisions {
		if _, err := fmt.Fprintf(w, "%s  %-20s %-8s %-28s %s\n", d.At.UTC().Format("15:04:05.000"), d.Process, d.Part, d.Message, strings.Join(d.Fields, " ")); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
