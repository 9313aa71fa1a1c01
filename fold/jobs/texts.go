package jobs

import (
	"encoding/json"

	"github.com/juju/errors"
)

// Event is one event of a stream.
type Event struct {
	Data    string `json:"d"`
	Version uint64 `json:"v,omitempty"` // weights that made it
}

// Progress adds events to an item's text, of which From were known before.
type Progress struct {
	Item string `json:"i"`
	// Run grows each time the item starts again without its earlier text.
	Run    int     `json:"n,omitempty"`
	From   int     `json:"f"`
	Events []Event `json:"e,omitempty"`
	// Failures counts the answers of servers that failed the item.
	Failures int `json:"x,omitempty"`
	// Complete tells that no further event follows.
	Complete bool `json:"w,omitempty"`
}

// ItemText is the whole text of an item.
type ItemText struct {
	Item string `json:"i"`
	Text string `json:"t"`
}

// TextRecord is one record of the texts' stream: a job's items, or what its
// owner has of their texts. Only owners read items, only a successor reads the
// progress, and only who is asked for a result reads its text: with them in the
// jobs' stream each of 44 entries read each text, 1.3 GB on a day, and all of
// them took 20 s to come back after a loss of power.
type TextRecord struct {
	Writer
	Job string `json:"j"`
	// Claim is that under which the writer owns the job. Progress of one claim
	// never goes on behind that of another.
	Claim    uint64     `json:"c"`
	Progress []Progress `json:"pg,omitempty"`
	Texts    []ItemText `json:"tx,omitempty"`
	Items    []Item     `json:"it,omitempty"`
}

// Encode returns the record's bytes.
func (r *TextRecord) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Trace(err)
}

// DecodeText reads a record of the texts' stream.
func DecodeText(data []byte) (*TextRecord, error) {
	var r TextRecord
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, errors.Annotate(err, "record of texts")
	}
	if r.Job == "" {
		return nil, errors.New("record of texts names no job")
	}
	return &r, nil
}

// Output is what was made of an item.
type Output struct {
	Run      int
	Events   []Event
	Complete bool
	Failures int
}

// Texts is the fold of one job's items and progress.
type Texts struct {
	job string
	// made is by item and by the claim of its owner.
	made  map[string]map[uint64]*Output
	items map[string]Item
}

// NewTexts returns the state of a job before its first record.
func NewTexts(job string) *Texts {
	return &Texts{job: job, made: map[string]map[uint64]*Output{}, items: map[string]Item{}}
}

// Apply folds a record; those of other jobs change nothing.
func (t *Texts) Apply(r *TextRecord) {
	if r.Job != t.job {
		return
	}
	for _, item := range r.Items {
		t.items[item.ID] = item
	}
	for _, p := range r.Progress {
		t.progress(r.Claim, p)
	}
}

// Item returns an item of the job.
func (t *Texts) Item(id string) (Item, bool) {
	item, ok := t.items[id]
	return item, ok
}

// ItemCount is the number of items that are known.
func (t *Texts) ItemCount() int { return len(t.items) }

// progress adds events that follow on what is known of the same run and claim.
// A record that the store carried out late would else put events of two runs
// into one text.
func (t *Texts) progress(claim uint64, p Progress) {
	byClaim := t.made[p.Item]
	if byClaim == nil {
		byClaim = map[uint64]*Output{}
		t.made[p.Item] = byClaim
	}
	m := byClaim[claim]
	if m == nil {
		m = &Output{}
		byClaim[claim] = m
	}
	if p.Run < m.Run {
		return
	}
	if p.Run > m.Run {
		m.Run, m.Events, m.Complete = p.Run, nil, false
	}
	m.Failures = max(m.Failures, p.Failures)
	known := len(m.Events) - p.From
	if known < 0 || known > len(p.Events) {
		return
	}
	m.Events = append(m.Events, p.Events[known:]...)
	m.Complete = m.Complete || p.Complete
}

// LongestOutput returns the longest text of an item that weights of the floor or newer
// made; each claim's text is whole up to its last event.
func (t *Texts) LongestOutput(item string, floor uint64) Output {
	var best Output
	failures := 0
	for _, m := range t.made[item] {
		failures = max(failures, m.Failures)
		if len(m.Events) > len(best.Events) && !HasStaleEvent(m.Events, floor) {
			best = *m
		}
	}
	best.Failures = failures
	return best
}

// HasStaleEvent tells whether an event was made by weights older than a floor.
func HasStaleEvent(events []Event, floor uint64) bool {
	for _, e := range events {
		if e.Version < floor {
			return true
		}
	}
	return false
}
