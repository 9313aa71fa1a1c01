package jobs

import (
	"encoding/json"

	"github.com/juju/errors"
)

// Writer identifies the process that wrote a record.
type Writer struct {
	VM          string `json:"n"` // the VM's name
	Incarnation string `json:"l"` // the incarnation; differs after each start of the process
}

// Request is a request to a backend server.
type Request struct {
	ID     string            `json:"id"`
	Host   string            `json:"h,omitempty"`
	Path   string            `json:"p"`
	Header map[string]string `json:"hd,omitempty"`
	Body   []byte            `json:"b,omitempty"`
}

// Item is one sample that a batch job requests. Items are stored in the text
// stream, because only the job's owner needs them.
type Item struct {
	Request
	Group  string   `json:"g,omitempty"`
	Tokens int      `json:"tk,omitempty"` // sum of the prompt's tokens and the maximum of output tokens
	Score  *Request `json:"sc,omitempty"` // request for the score of the text; nil: no score
}

// ItemRef identifies an item of a job. Processes other than the job's owner need
// no more of it.
type ItemRef struct {
	ID    string `json:"id"`
	Group string `json:"g,omitempty"`
}

// Spec describes a batch job without its items.
type Spec struct {
	ID         string `json:"id"`
	Host       string `json:"h"`
	Path       string `json:"p"`
	Step       int    `json:"s"`
	Model      string `json:"m,omitempty"`
	MinVersion uint64 `json:"mv,omitempty"`
	Groups     int    `json:"tg,omitempty"` // complete groups that the trainer waits for
	Total      int    `json:"t"`            // number of items
	// SubmittedMS is the time of submission by the accepting process's clock, in
	// Unix milliseconds.
	SubmittedMS int64 `json:"at"`
	// DueMS is the time from submission until the results are due, in
	// milliseconds; 0: not specified.
	DueMS int64 `json:"du,omitempty"`
	// Organisation is the name of the organisation that submitted the job; empty:
	// every caller may access the job.
	Organisation string `json:"og,omitempty"`
	// Versions is how many weight versions may make a text, as of submission.
	Versions VersionRule `json:"vr,omitempty"`
	// Regions are the regions in which the job's items may be served, as of submission;
	// empty: all. OrganisationRegions are those of its organisation alone.
	Regions             []string `json:"rg,omitempty"`
	OrganisationRegions []string `json:"or,omitempty"`
}

// VersionRule is how many weight versions may make one text.
type VersionRule string

// The rules.
const (
	VersionsUnknown VersionRule = "" // the accepting process was not sure, or of an earlier build
	OneVersion      VersionRule = "one"
	AnyVersions     VersionRule = "any"
)

// Acceptance is an accepted batch job, or the part of one that fits into a
// record. All parts of a job are appended atomically.
type Acceptance struct {
	Spec
	// Owner is the process that is to run the job; nil: the writer. An Owner without a name
	// means that the job has none yet.
	Owner *Writer `json:"o,omitempty"`
	// ItemsRef is the position of the items in the text stream. All other text
	// records of the job follow it.
	ItemsRef TextRef `json:"bd"`
	// Submission distinguishes submissions of the same job that several processes
	// accepted.
	Submission string    `json:"sub"`
	Part       int       `json:"pt"`
	Parts      int       `json:"ps"`
	Items      []ItemRef `json:"it"`
}

// Claim takes over the ownership of a job from the owner whose claim is at offset
// PriorOffset. It has no effect if an earlier record claimed the job.
type Claim struct {
	Job         string `json:"j"`
	PriorOffset uint64 `json:"pr"`
}

// Start reports the server on which an item runs now; an empty Server: it runs on
// none.
type Start struct {
	Job    string `json:"j"`
	Item   string `json:"i"`
	Server string `json:"s,omitempty"`
}

// TextRef is the position of a text: the partition of the text stream, and the
// offset and size of the record that contains it.
type TextRef struct {
	// Regions is the key of the regions whose processes may read the text stream;
	// empty: the stream that all may read.
	Regions   string `json:"rg,omitempty"`
	Partition int    `json:"p"`
	Offset    uint64 `json:"o"`
	Bytes     int    `json:"b"`
}

// Result is the result of an item. Its text is stored in the text stream, because
// most processes never need it.
type Result struct {
	Job      string   `json:"j"`
	Item     string   `json:"i"`
	GivenUp  bool     `json:"x,omitempty"`
	Ref      *TextRef `json:"t,omitempty"`
	Versions []uint64 `json:"v,omitempty"`
	Score    string   `json:"s,omitempty"`
	// Text is the text, set only by processes that have read it; it is not part of
	// the record.
	Text string `json:"-"`
	// Writer is the VM of the process that wrote the record with the result, from
	// the record's own writer.
	Writer string `json:"-"`
}

// Engine is the report of an engine by the agent on its VM.
type Engine struct {
	Server string `json:"s"`
	Model  string `json:"m"`
	// Version is the version of the weights that the engine serves, or loads if
	// Loading is set.
	Version uint64 `json:"v"`
	Loading bool   `json:"l,omitempty"`
}

// Record is one record of the stream: all updates of one process that were
// pending when it was written.
type Record struct {
	Writer
	Acceptance *Acceptance `json:"a,omitempty"`
	Claims     []Claim     `json:"c,omitempty"`
	Releases   []string    `json:"r,omitempty"`  // ids of jobs that their owner releases
	Leaving    bool        `json:"lv,omitempty"` // the writer takes no more jobs
	Capacity   int         `json:"cp,omitempty"` // items that the writer can run; 0: not reported
	// IdleBefore means that the writer sends no samples of jobs that were given to it before this offset;
	// 0: not reported.
	IdleBefore uint64   `json:"ib,omitempty"`
	Starts     []Start  `json:"st,omitempty"`
	Results    []Result `json:"rs,omitempty"`
	Ends       []string `json:"e,omitempty"` // ids of jobs that their trainer ended
	Engines    []Engine `json:"en,omitempty"`
}

// IsEmpty reports whether the record contains no updates. An empty record is a
// heartbeat of its writer. Capacity and IdleBefore are no updates.
func (r *Record) IsEmpty() bool {
	return r.Acceptance == nil && !r.Leaving && len(r.Claims)+len(r.Releases)+len(r.Starts)+len(r.Results)+len(r.Ends)+len(r.Engines) == 0
}

// Encode returns the record as JSON, compressed if that makes it smaller.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return compress(data)
}

// Decode parses a record. It fails if the record names no writer.
func Decode(data []byte) (*Record, error) {
	data, err := decompress(data)
	if err != nil {
		return nil, errors.Annotate(err, "batch job record")
	}
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, errors.Annotate(err, "batch job record")
	}
	if r.VM == "" {
		return nil, errors.New("batch job record has no writer")
	}
	return &r, nil
}
