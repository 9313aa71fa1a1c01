package logscan

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// Messages about evacuations of failure domains.
const (
	messageEvacuated    = "A failure domain is evacuated."
	messageEvacuatedEnd = "The evacuation of a failure domain is over."
	messageStillRuns    = "This process still runs something in an evacuated failure domain."
	messageRunsAgain    = "Something of this process runs in an evacuated failure domain again."
	messageEmpty        = "Nothing of this process runs in an evacuated failure domain."
)

// maxEvacuations is the maximum number of evacuations that are kept.
const maxEvacuations = 1000

// Evacuations holds what processes have logged about evacuations.
type Evacuations struct {
	list   []*Evacuation
	byKey  map[evacuationKey]*Evacuation
	newest map[string]*Evacuation // by failure domain
	// Dropped counts the lines that were ignored because a limit was reached.
	Dropped int
}

type evacuationKey struct {
	domain string
	offset uint64 // of the operator's record
}

// Evacuation is one evacuation of a failure domain.
type Evacuation struct {
	FailureDomain string `json:"failure_domain"`
	// Known is when the first process learnt of it, KnownToAll when the last one that has logged it did.
	Known      time.Time  `json:"known"`
	KnownToAll time.Time  `json:"known_to_all"`
	Processes  int        `json:"processes"` // that have learnt of it
	Servers    int        `json:"servers"`   // that the first of them knew there
	Over       *time.Time `json:"over,omitempty"`
	// Empty is when the last gateway had nothing running there any more; nil: some still had when they
	// last told.
	Empty *time.Time `json:"empty,omitempty"`
	// Running are the gateways that still run something there; none once the evacuation is over.
	Running []EvacuatedProcess `json:"running"`

	states map[string]*EvacuatedProcess
}

// EvacuatedProcess is what a gateway last told of what it runs in an evacuated failure domain.
type EvacuatedProcess struct {
	Process  string    `json:"process"`
	At       time.Time `json:"at"`
	Requests int       `json:"requests"`
	Streams  int       `json:"streams"`
	// Again means that something ran after nothing had: a request was sent there too late.
	Again bool `json:"again,omitempty"`
}

// NewEvacuations returns an empty Evacuations.
func NewEvacuations() *Evacuations {
	return &Evacuations{byKey: map[evacuationKey]*Evacuation{}, newest: map[string]*Evacuation{}}
}

// evacuationFields are the fields of lines about evacuations.
type evacuationFields struct {
	FailureDomain string `json:"failure_domain"`
	Offset        uint64 `json:"offset"`
	Servers       int    `json:"servers"`
	Requests      int    `json:"requests"`
	Streams       int    `json:"streams"`
}

// Add processes the next line.
func (e *Evacuations) Add(l *Line) {
	switch l.Message {
	case messageEvacuated, messageEvacuatedEnd, messageStillRuns, messageRunsAgain, messageEmpty:
	default:
		return
	}
	var f evacuationFields
	if json.Unmarshal(l.Raw, &f) != nil {
		e.Dropped++
		return
	}
	known := e.newest[f.FailureDomain]
	switch {
	case l.Message == messageEvacuated:
		e.begin(l, &f)
	case known == nil: // the logs begin later
	case l.Message == messageEvacuatedEnd:
		if known.Over == nil {
			at := l.At
			known.Over = &at
		}
	default:
		known.update(l, &f)
	}
}

// begin records that a process has learnt of an evacuation.
func (e *Evacuations) begin(l *Line, f *evacuationFields) {
	key := evacuationKey{f.FailureDomain, f.Offset}
	known := e.byKey[key]
	if known == nil {
		if len(e.list) >= maxEvacuations {
			e.Dropped++
			return
		}
		known = &Evacuation{FailureDomain: f.FailureDomain, Known: l.At, Servers: f.Servers, states: map[string]*EvacuatedProcess{}}
		e.byKey[key], e.newest[f.FailureDomain] = known, known
		e.list = append(e.list, known)
	}
	known.KnownToAll = l.At
	known.Processes++
}

// update records what a gateway runs there.
func (v *Evacuation) update(l *Line, f *evacuationFields) {
	s := v.states[l.Process]
	if s == nil {
		s = &EvacuatedProcess{Process: l.Process}
		v.states[l.Process] = s
	}
	s.At, s.Requests, s.Streams = l.At, f.Requests, f.Streams
	s.Again = s.Again || l.Message == messageRunsAgain
}

// runsAnything reports whether a gateway ran something there when it last told.
func (v *Evacuation) runsAnything() bool {
	for _, s := range v.states {
		if s.Requests+s.Streams > 0 {
			return true
		}
	}
	return false
}

// List returns the evacuations, the oldest first.
func (e *Evacuations) List() []Evacuation {
	list := make([]Evacuation, 0, len(e.list))
	for _, v := range e.list {
		out := *v
		out.Running = nil
		var last time.Time
		for _, name := range slices.Sorted(maps.Keys(v.states)) {
			s := v.states[name]
			if s.Requests+s.Streams > 0 && v.Over == nil {
				out.Running = append(out.Running, *s)
			}
			if s.At.After(last) {
				last = s.At
			}
		}
		if !v.runsAnything() && !last.IsZero() {
			out.Empty = &last
		}
		list = append(list, out)
	}
	slices.SortStableFunc(list, func(a, b Evacuation) int {
		return cmp.Or(a.Known.Compare(b.Known), cmp.Compare(a.FailureDomain, b.FailureDomain))
	})
	return list
}
