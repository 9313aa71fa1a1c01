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

// Decision is a line of a trace.
type Decision struct {
	At      time.Time `json:"at"`
	Process string    `json:"process"`
	Part    string    `json:"part"`
	Message string    `json:"message"`
	// Fields are the inputs and the outcome, as name=value, in the line's order.
	Fields []string `json:"fields"`

	id string
}

// tracedMost bounds the lines of a trace, jobLinesMost those that are kept of jobs
// whose samples may turn out to be asked for. A line takes some 500 B.
const (
	tracedMost   = 20_000
	jobLinesMost = 50_000
)

// Tracer gathers the path of one request, batch job or sample. It is fed with all
// lines and keeps those about the id, and of a sample's job the lines about its
// owners.
type Tracer struct {
	id string
	// scoreID is the request for the sample's score; job is the sample's, or the id.
	scoreID, job string
	found        []Decision
	jobLines     map[string][]Decision
	kept         int
	// Dropped is the number of lines that found no room.
	Dropped int
}

// NewTracer returns a tracer of an id, of a request's name, or of a duty.
func NewTracer(id string) *Tracer { return &Tracer{id: id, jobLines: map[string][]Decision{}} }

// Add takes the next line.
func (t *Tracer) Add(l *Line) {
	switch {
	case l.ID == t.id || l.ScoreID == t.id || l.ID != "" && l.ID == t.scoreID:
		t.learn(l)
		t.keep(l)
	case t.id != "" && (l.Request == t.id || l.Duty == t.id):
		t.keep(l) // all attempts of one request, which ended servers; all holders of a duty
	case l.Job == t.id && l.ID == "":
		t.job = t.id
		t.keep(l)
	case l.Job != "" && l.ID == "":
		t.keepJob(l)
	}
}

// learn notes what belongs to the id.
func (t *Tracer) learn(l *Line) {
	if l.ScoreID != "" && l.ID == t.id {
		t.scoreID = l.ScoreID
	}
	if l.Job != "" && t.job == "" {
		t.job = l.Job
	}
}

func (t *Tracer) keep(l *Line) {
	if len(t.found) >= tracedMost {
		t.Dropped++
		return
	}
	t.found = append(t.found, decisionOf(l))
}

// keepJob keeps a line about a job as a whole. Each process tells of each job:
// only the first to tell the same is kept.
func (t *Tracer) keepJob(l *Line) {
	lines := t.jobLines[l.Job]
	if l.Message == "Results read." || slices.ContainsFunc(lines, func(d Decision) bool { return d.Message == l.Message && d.id == l.Owner }) {
		return
	}
	if t.kept >= jobLinesMost {
		t.Dropped++
		return
	}
	t.kept++
	d := decisionOf(l)
	d.id = l.Owner
	t.jobLines[l.Job] = append(lines, d)
}

// Decisions returns what is known of the id, in the order of time.
func (t *Tracer) Decisions() []Decision {
	all := slices.Clone(t.found)
	if len(all) > 0 && t.job != t.id {
		all = append(all, t.jobLines[t.job]...)
	}
	slices.SortStableFunc(all, func(a, b Decision) int { return a.At.Compare(b.At) })
	return all
}

func decisionOf(l *Line) Decision {
	return Decision{At: l.At, Process: l.Process, Part: l.Part, Message: l.Message, Fields: fieldsOf(l.Raw)}
}

// fieldsOf lists the fields of a line in its order, but for those that a decision
// shows by itself.
func fieldsOf(raw []byte) []string {
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

// ErrNotFound: no line speaks of the id.
var ErrNotFound = errors.New("no line speaks of it")

// Write prints a trace, a line a decision.
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
