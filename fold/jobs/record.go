package jobs

import (
	"encoding/json"

	"github.com/juju/errors"
)

// Writer names the process that wrote a record.
type Writer struct {
	Node string `json:"n"`
	Life string `json:"l"` // changes at each start of the process
}

// Request is a request to be sent to a backend server.
type Request struct {
	ID     string            `json:"id"`
	Host   string            `json:"h,omitempty"`
	Path   string            `json:"p"`
	Header map[string]string `json:"hd,omitempty"`
	Body   []byte            `json:"b,omitempty"`
}

// Item is one sample that a batch job asks for. It stands with the texts, for
// only the job's owner needs it.
type Item struct {
	Request
	Group  string   `json:"g,omitempty"`
	Tokens int      `json:"tk,omitempty"` // prompt and most output tokens together
	Score  *Request `json:"sc,omitempty"` // asked for the score of the text; nil: none
}

// ItemRef names an item of a job: all that others than its owner need of it.
type ItemRef struct {
	ID    string `json:"id"`
	Group string `json:"g,omitempty"`
}

// Spec is a batch job without its items.
type Spec struct {
	ID         string `json:"id"`
	Host       string `json:"h"`
	Path       string `json:"p"`
	Step       int    `json:"s"`
	Model      string `json:"m,omitempty"`
	MinVersion uint64 `json:"mv,omitempty"`
	Groups     int    `json:"tg,omitempty"` // complete groups that the trainer waits for
	Total      int    `json:"t"`            // number of items
	// SubmittedMS is the accepting process's time of day, in Unix milliseconds.
	SubmittedMS int64 `json:"at"`
	// DueMS is how long after that results are due, in milliseconds; 0: not told.
	DueMS int64 `json:"du,omitempty"`
	// Organisation is whose job it is; empty: anybody's.
	Organisation string `json:"og,omitempty"`
}

// Acceptance is a batch job, or the part of one that fits into a record. The parts
// are appended together, all or none of them.
type Acceptance struct {
	Spec
	// Owner is who is to run the job; nil: the writer.
	Owner *Writer `json:"o,omitempty"`
	// ItemsRef is where the items stand; all that is kept of their texts stands
	// behind it.
	ItemsRef TextRef `json:"bd"`
	// Submission tells apart what two processes accepted of the same job.
	Submission string    `json:"sub"`
	Part       int       `json:"pt"`
	Parts      int       `json:"ps"`
	Items      []ItemRef `json:"it"`
}

// Claim takes over the ownership of a job from the owner whose claim stands at
// offset Prior; it is void where somebody else was faster.
type Claim struct {
	Job         string `json:"j"`
	PriorOffset uint64 `json:"pr"`
}

// Start tells where an item runs now; an empty Server: nowhere.
type Start struct {
	Job    string `json:"j"`
	Item   string `json:"i"`
	Server string `json:"s,omitempty"`
}

// TextRef tells where a text stands: the partition of the texts' stream and the
// offset of the record that holds it.
type TextRef struct {
	Partition int    `json:"p"`
	Offset    uint64 `json:"o"`
	Bytes     int    `json:"b"`
}

// Result ends an item. Its text stands apart, for most processes never need it.
type Result struct {
	Job      string   `json:"j"`
	Item     string   `json:"i"`
	GivenUp  bool     `json:"x,omitempty"`
	Ref      *TextRef `json:"t,omitempty"`
	Versions []uint64 `json:"v,omitempty"`
	Score    string   `json:"s,omitempty"`
	// Text is filled in by whoever has it; it is not in the record.
	Text string `json:"-"`
	// Writer is the VM of the process that listed it, from the record's head.
	Writer string `json:"-"`
}

// Engine is what the process beside an engine says of it.
type Engine struct {
	Server string `json:"s"`
	Model  string `json:"m"`
	// Version is what the engine serves now, or is loading.
	Version uint64 `json:"v"`
	Loading bool   `json:"l,omitempty"`
}

// Record is one record of the stream: what one process has to say at once.
type Record struct {
	Writer
	Acceptance *Acceptance `json:"a,omitempty"`
	Claims     []Claim     `json:"c,omitempty"`
	Releases   []string    `json:"r,omitempty"`  // jobs that their owner gives up
	Leaving    bool        `json:"lv,omitempty"` // the writer takes no more jobs
	Capacity   int         `json:"cp,omitempty"` // items that the writer can run; 0: not told
	Starts     []Start     `json:"st,omitempty"`
	Results    []Result    `json:"rs,omitempty"`
	Ends       []string    `json:"e,omitempty"` // jobs that their trainer ended
	Engines    []Engine    `json:"en,omitempty"`
}

// IsEmpty tells whether the record says nothing but that its writer lives.
func (r *Record) IsEmpty() bool {
	return r.Acceptance == nil && !r.Leaving && len(r.Claims)+len(r.Releases)+len(r.Starts)+len(r.Results)+len(r.Ends)+len(r.Engines) == 0
}

// Encode returns the record's bytes.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return pack(data)
}

// Decode reads a record.
func Decode(data []byte) (*Record, error) {
	data, err := unpack(data)
	if err != nil {
		return nil, errors.Annotate(err, "record of batch jobs")
	}
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, errors.Annotate(err, "record of batch jobs")
	}
	if r.Node == "" {
		return nil, errors.New("record of batch jobs names no writer")
	}
	return &r, nil
}
