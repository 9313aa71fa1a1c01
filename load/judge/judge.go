// Package judge compares what callers and trainers saw with the ground truth
// of the stand-ins, and counts broken promises. It believes no process of the
// system: versions come from the tokens' own text, runs from the services.
package judge

import (
	"encoding/json"
	"time"

	"dandelionsill.org/load/client"
	"dandelionsill.org/standin/service"
	"dandelionsill.org/standin/truth"
)

// Counts are the eight counts of broken promises. All are zero in a system
// that keeps its word.
type Counts struct {
	SamplesLost       int `json:"samples_lost"`       // asked for and never delivered
	SamplesDuplicated int `json:"samples_duplicated"` // delivered more than once
	LabelsWrong       int `json:"labels_wrong"`       // samples and answers whose label is not the truth
	OverBound         int `json:"over_bound"`         // samples with a token older than the bound
	WritesDoubled     int `json:"writes_doubled"`     // runs beyond the first of one write
	FalseNotRun       int `json:"false_not_run"`      // "not run" was said and it ran
	CutInFlight       int `json:"cut_in_flight"`      // cut off where nothing had crashed
	AnswersWrong      int `json:"answers_wrong"`      // another's answer, or not a whole one
}

// Add adds other's counts.
func (c *Counts) Add(other Counts) {
	c.SamplesLost += other.SamplesLost
	c.SamplesDuplicated += other.SamplesDuplicated
	c.LabelsWrong += other.LabelsWrong
	c.OverBound += other.OverBound
	c.WritesDoubled += other.WritesDoubled
	c.FalseNotRun += other.FalseNotRun
	c.CutInFlight += other.CutInFlight
	c.AnswersWrong += other.AnswersWrong
}

// Total sums all counts.
func (c Counts) Total() int {
	return c.SamplesLost + c.SamplesDuplicated + c.LabelsWrong + c.OverBound +
		c.WritesDoubled + c.FalseNotRun + c.CutInFlight + c.AnswersWrong
}

// LengthModel is the engine stand-in's model of natural lengths.
type LengthModel struct {
	Mean  float64
	Sigma float64
}

// Tokens is how long the whole answer to (prompt, seed) is.
func (l LengthModel) Tokens(prompt string, seed uint64, maxTokens int) int {
	return truth.OutputTokens(prompt, seed, l.Mean, l.Sigma, maxTokens)
}

// Sample is one delivered sample beside what was asked for.
type Sample struct {
	Group     string       `json:"group"`
	Index     int          `json:"index"`
	Prompt    string       `json:"prompt"`
	Seed      uint64       `json:"seed"`
	MaxTokens int          `json:"max_tokens"`
	Text      string       `json:"text"`
	Spans     []truth.Span `json:"spans"` // the label
	// Newest is the trainer's newest version at the delivery; 0: as the step's.
	Newest uint64 `json:"newest,omitempty"`
}

// Step is what a trainer asked for in one step and what it got.
type Step struct {
	Trainer string        `json:"trainer"`
	Step    uint64        `json:"step"`
	Newest  uint64        `json:"newest"` // the trainer's newest version when it asked
	Bound   uint64        `json:"bound"`  // the manifest's staleness bound
	Requested   int           `json:"asked"`  // samples
	Started time.Time     `json:"started"`
	Duration    time.Duration `json:"took"`
	IdleTime  time.Duration `json:"waited"`  // time that the trainer had nothing to train on
	TrainTime time.Duration `json:"trained"` // time that the trainer trained on it
	Samples []Sample      `json:"samples"`
	Error   string        `json:"error"` // why the step was not whole
}

// IsComplete tells whether every sample came.
func (s *Step) IsComplete() bool { return len(s.distinct()) == s.Requested }

type sampleID struct {
	group string
	index int
}

func (s *Step) distinct() map[sampleID]int {
	seen := map[sampleID]int{}
	for _, m := range s.Samples {
		seen[sampleID{m.Group, m.Index}]++
	}
	return seen
}

// CheckSteps judges trainers' steps.
func CheckSteps(steps []Step, lengths LengthModel) Counts {
	var c Counts
	for i := range steps {
		s := &steps[i]
		seen := s.distinct()
		c.SamplesLost += max(0, s.Requested-len(seen))
		c.SamplesDuplicated += len(s.Samples) - len(seen)
		for _, m := range s.Samples {
			c.Add(m.judge(s.Newest, s.Bound, lengths))
		}
	}
	return c
}

func (m *Sample) judge(newest, bound uint64, lengths LengthModel) Counts {
	var c Counts
	spans, tokens, err := truth.Check(m.Prompt, m.Seed, m.Text)
	if err != nil || tokens != lengths.Tokens(m.Prompt, m.Seed, m.MaxTokens) {
		c.AnswersWrong = 1
		return c
	}
	if !sameSpans(spans, m.Spans) {
		c.LabelsWrong = 1
	}
	for _, span := range spans {
		if span.Version+bound < newest {
			c.OverBound = 1
		}
	}
	return c
}

// sameSpans compares two labels; neighbours of one version count as one span.
func sameSpans(a, b []truth.Span) bool {
	a, b = merged(a), merged(b)
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func merged(spans []truth.Span) []truth.Span {
	var out []truth.Span
	for _, s := range spans {
		if k := len(out) - 1; k >= 0 && out[k].Version == s.Version && out[k].To == s.From {
			out[k].To = s.To
			continue
		}
		out = append(out, s)
	}
	return out
}

// Completion is one answer from a model beside what was asked for.
type Completion struct {
	Prompt    string        `json:"prompt"`
	Seed      uint64        `json:"seed"`
	MaxTokens int           `json:"max_tokens"`
	Result    client.Result `json:"result"`
	Text      string        `json:"text"`
	Spans     []truth.Span  `json:"spans"`
}

// CheckCompletions judges callers' completions. Only answers that claim to be
// whole are held to it; a cut one says so itself.
func CheckCompletions(list []Completion, lengths LengthModel) Counts {
	var c Counts
	for i := range list {
		d := &list[i]
		if !d.Result.OK() {
			continue
		}
		m := Sample{Prompt: d.Prompt, Seed: d.Seed, MaxTokens: d.MaxTokens, Text: d.Text, Spans: d.Spans}
		c.Add(m.judge(0, 0, lengths))
	}
	return c
}

// Call is one request to a plain service beside its result.
type Call struct {
	Method     string        `json:"method"`
	Path       string        `json:"path"`
	BodySHA256 string        `json:"body_sha256"`
	Write      bool          `json:"write"` // may run at most once
	Result     client.Result `json:"result"`
}

// CheckCalls judges callers' requests against the runs that the services counted.
func CheckCalls(calls []Call, runs []service.Run) Counts {
	var c Counts
	byID := map[string]int{}
	byKey := map[string]int{}
	answers := map[service.Answer]bool{}
	for _, run := range runs {
		byID[run.RequestID]++
		answers[run.Answer] = true
		if run.IdempotencyKey != "" {
			byKey[run.IdempotencyKey]++
		}
	}
	keys := map[string]bool{}
	for i := range calls {
		call := &calls[i]
		r := &call.Result
		if r.NotRun() && byID[r.RequestID] > 0 {
			c.FalseNotRun++
		}
		if r.OK() && !call.answeredBy(answers) {
			c.AnswersWrong++
		}
		if !call.Write {
			continue
		}
		if r.Key == "" {
			c.WritesDoubled += max(0, byID[r.RequestID]-1)
		} else if !keys[r.Key] {
			keys[r.Key] = true
			c.WritesDoubled += max(0, byKey[r.Key]-1)
		}
	}
	return c
}

// answeredBy tells whether the answer is a whole one and this request's own:
// what some run of this request, or of its key, answered.
func (c *Call) answeredBy(answers map[service.Answer]bool) bool {
	var a service.Answer
	if json.Unmarshal(c.Result.Body, &a) != nil || !answers[a] {
		return false
	}
	own := a.RequestID == c.Result.RequestID || (c.Result.Key != "" && a.IdempotencyKey == c.Result.Key)
	return own && a.Method == c.Method && a.Path == c.Path && a.BodySHA256 == c.BodySHA256
}

// CountInterrupted counts requests that were cut off in flight: their answer broke off, or
// the system gave them up after they had been sent.
func CountInterrupted(results []client.Result) int {
	n := 0
	for i := range results {
		if results[i].WasInterrupted() {
			n++
		}
	}
	return n
}
