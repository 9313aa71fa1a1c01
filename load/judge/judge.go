// Package judge compares what callers and trainers received with the ground
// truth of the stand-ins and counts violated guarantees. It relies on no report
// of the system under test: weight versions are read from the text of the
// tokens, and runs are those that the service stand-ins recorded.
package judge

import (
	"encoding/json"
	"time"

	"dandelionsill.org/load/client"
	"dandelionsill.org/standin/service"
	"dandelionsill.org/standin/truth"
)

// Counts holds the number of violations of each of the eight guarantees. All are
// zero for a correct system.
type Counts struct {
	SamplesLost       int `json:"samples_lost"`       // requested and never delivered
	SamplesDuplicated int `json:"samples_duplicated"` // delivered more than once
	LabelsWrong       int `json:"labels_wrong"`       // samples and answers whose label differs from the ground truth
	OverBound         int `json:"over_bound"`         // samples with a token from a version older than the staleness bound
	WritesDoubled     int `json:"writes_doubled"`     // runs beyond the first of one write
	FalseNotRun       int `json:"false_not_run"`      // requests answered with "not run" that ran
	CutInFlight       int `json:"cut_in_flight"`      // interrupted although no process had crashed
	AnswersWrong      int `json:"answers_wrong"`      // the answer to another request, or an incomplete one
}

// Add adds the counts of other to c.
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

// Total returns the sum of all counts.
func (c Counts) Total() int {
	return c.SamplesLost + c.SamplesDuplicated + c.LabelsWrong + c.OverBound +
		c.WritesDoubled + c.FalseNotRun + c.CutInFlight + c.AnswersWrong
}

// LengthModel holds the parameters from which the engine stand-in derives the
// lengths of its answers.
type LengthModel struct {
	Mean  float64
	Sigma float64
}

// Tokens returns the number of tokens in the complete answer to prompt and seed.
func (l LengthModel) Tokens(prompt string, seed uint64, maxTokens int) int {
	return truth.OutputTokens(prompt, seed, l.Mean, l.Sigma, maxTokens)
}

// Sample is one delivered sample together with its request.
type Sample struct {
	Group     string       `json:"group"`
	Index     int          `json:"index"`
	Prompt    string       `json:"prompt"`
	Seed      uint64       `json:"seed"`
	MaxTokens int          `json:"max_tokens"`
	Text      string       `json:"text"`
	Spans     []truth.Span `json:"spans"` // the label
	// Newest is the trainer's newest version at the delivery; 0 means that of
	// the step.
	Newest uint64 `json:"newest,omitempty"`
}

// Step records what a trainer requested in one step and what it received.
type Step struct {
	Trainer   string        `json:"trainer"`
	Step      uint64        `json:"step"`
	Newest    uint64        `json:"newest"` // the trainer's newest version at the request
	Bound     uint64        `json:"bound"`  // the manifest's staleness bound
	Requested int           `json:"asked"`  // number of requested samples
	Started   time.Time     `json:"started"`
	Duration  time.Duration `json:"took"`
	IdleTime  time.Duration `json:"waited"`  // time during which the trainer had nothing to train on
	TrainTime time.Duration `json:"trained"` // time during which the trainer trained on the step
	Samples   []Sample      `json:"samples"`
	Error     string        `json:"error"` // why the step is incomplete; empty if it is complete
}

// IsComplete reports whether every requested sample was delivered.
func (s *Step) IsComplete() bool { return len(s.countByID()) == s.Requested }

type sampleID struct {
	group string
	index int
}

// countByID returns how often each sample was delivered.
func (s *Step) countByID() map[sampleID]int {
	seen := map[sampleID]int{}
	for _, m := range s.Samples {
		seen[sampleID{m.Group, m.Index}]++
	}
	return seen
}

// CheckSteps counts the violations in trainers' steps.
func CheckSteps(steps []Step, lengths LengthModel) Counts {
	var c Counts
	for i := range steps {
		s := &steps[i]
		seen := s.countByID()
		c.SamplesLost += max(0, s.Requested-len(seen))
		c.SamplesDuplicated += len(s.Samples) - len(seen)
		for _, m := range s.Samples {
			c.Add(m.check(s.Newest, s.Bound, lengths))
		}
	}
	return c
}

// check compares the sample with the ground truth. A token violates the bound if
// its version is more than bound older than newest.
func (m *Sample) check(newest, bound uint64, lengths LengthModel) Counts {
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

// sameSpans reports whether two labels are equal; adjacent spans of the same
// version count as one span.
func sameSpans(a, b []truth.Span) bool {
	a, b = mergeSpans(a), mergeSpans(b)
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

// mergeSpans joins adjacent spans of the same version.
func mergeSpans(spans []truth.Span) []truth.Span {
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

// Completion is one answer of a model together with its request.
type Completion struct {
	Prompt    string        `json:"prompt"`
	Seed      uint64        `json:"seed"`
	MaxTokens int           `json:"max_tokens"`
	Result    client.Result `json:"result"`
	Text      string        `json:"text"`
	Spans     []truth.Span  `json:"spans"`
}

// CheckCompletions counts the violations in callers' completions. It checks only
// answers that were received as complete; an interrupted one is visible as such
// to the caller.
func CheckCompletions(list []Completion, lengths LengthModel) Counts {
	var c Counts
	for i := range list {
		completion := &list[i]
		if !completion.Result.OK() {
			continue
		}
		m := Sample{Prompt: completion.Prompt, Seed: completion.Seed, MaxTokens: completion.MaxTokens, Text: completion.Text, Spans: completion.Spans}
		c.Add(m.check(0, 0, lengths))
	}
	return c
}

// Call is one request to a plain service together with its result.
type Call struct {
	Method     string        `json:"method"`
	Path       string        `json:"path"`
	BodySHA256 string        `json:"body_sha256"`
	Write      bool          `json:"write"` // may run at most once
	Result     client.Result `json:"result"`
}

// CheckCalls counts the violations in callers' requests, compared with the runs
// that the services recorded.
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
		if r.OK() && !call.isAnsweredBy(answers) {
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

// isAnsweredBy reports whether the received answer is complete and belongs to
// this request: one of answers, given by a run of this request or of its key.
func (c *Call) isAnsweredBy(answers map[service.Answer]bool) bool {
	var a service.Answer
	if json.Unmarshal(c.Result.Body, &a) != nil || !answers[a] {
		return false
	}
	sameRequest := a.RequestID == c.Result.RequestID || (c.Result.Key != "" && a.IdempotencyKey == c.Result.Key)
	return sameRequest && a.Method == c.Method && a.Path == c.Path && a.BodySHA256 == c.BodySHA256
}

// CountInterrupted counts the requests that were interrupted in flight: the
// answer was incomplete, or the system abandoned the request after it was sent.
func CountInterrupted(results []client.Result) int {
	n := 0
	for i := range results {
		if results[i].WasInterrupted() {
			n++
		}
	}
	return n
}
