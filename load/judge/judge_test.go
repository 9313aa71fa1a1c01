package judge

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/entry/answer"
	"dandelionsill.org/load/client"
	"dandelionsill.org/standin/service"
	"dandelionsill.org/standin/truth"
)

var lengths = LengthModel{Mean: 20, Sigma: 0.5}

// sampleOf makes the whole, true sample of a prompt; token i is made by
// version(i).
func sampleOf(group string, seed uint64, version func(int) uint64) Sample {
	m := Sample{Group: group, Prompt: "p", Seed: seed, MaxTokens: 40}
	w := truth.NewWriter(m.Prompt, seed)
	var text []byte
	for i := range lengths.Tokens(m.Prompt, seed, m.MaxTokens) {
		text = w.Append(text, i, version(i))
	}
	m.Text = string(text)
	m.Spans, _, _ = truth.Check(m.Prompt, seed, m.Text)
	return m
}

func always(v uint64) func(int) uint64 { return func(int) uint64 { return v } }

func TestWholeStepBreaksNothing(t *testing.T) {
	mixed := sampleOf("a", 2, func(i int) uint64 { return 3 + uint64(min(i, 1)) })
	step := Step{Newest: 4, Bound: 1, Requested: 2, Samples: []Sample{sampleOf("b", 1, always(4)), mixed}}
	require.True(t, step.IsComplete())
	require.Zero(t, CheckSteps([]Step{step}, lengths))
}

// A trainer gets a step with one fault of each kind. Each must be counted
// once and under its own name, or the bench would praise a broken system.
func TestEachFaultOfAStepIsCounted(t *testing.T) {
	good := sampleOf("a", 1, always(5))
	wrongLabel := sampleOf("b", 2, always(5))
	wrongLabel.Spans[0].Version = 4
	old := sampleOf("c", 3, always(2))
	short := sampleOf("d", 4, always(5))
	short.Text = short.Text[:len(short.Text)-len("abcd@5 ")]
	other := sampleOf("e", 5, always(5))
	other.Seed = 6
	step := Step{Newest: 5, Bound: 2, Requested: 6, Samples: []Sample{good, good, wrongLabel, old, short, other}}
	require.False(t, step.IsComplete())
	want := Counts{SamplesLost: 1, SamplesDuplicated: 1, LabelsWrong: 1, OverBound: 1, AnswersWrong: 2}
	require.Equal(t, want, CheckSteps([]Step{step}, lengths))
}

func callOf(id, key, method string, run *service.Run) Call {
	c := Call{Method: method, Path: "/x", BodySHA256: "h", Write: method == "POST"}
	c.Result = client.Result{RequestID: id, Key: key, Status: 200}
	if run != nil {
		c.Result.Body, _ = json.Marshal(run.Answer)
	}
	return c
}

func runOf(n int, id, key, method string) service.Run {
	return service.Run{Answer: service.Answer{Run: n, Server: "s", Method: method, Path: "/x", BodySHA256: "h", RequestID: id, IdempotencyKey: key}}
}

// A caller is told "not run", gets another's answer, or has a write doubled;
// only the service's own account of its runs shows it.
func TestEachFaultOfACallIsCounted(t *testing.T) {
	runs := []service.Run{
		runOf(1, "read", "", "GET"), runOf(2, "read", "", "GET"), // a read may run twice
		runOf(3, "first", "k", "POST"), runOf(4, "second", "k", "POST"),
		runOf(5, "plain", "", "POST"), runOf(6, "plain", "", "POST"), runOf(7, "plain", "", "POST"),
		runOf(8, "refused", "", "POST"),
		runOf(9, "once", "k2", "POST"),
	}
	refused := callOf("refused", "", "POST", nil)
	refused.Result.Status = 503
	refused.Result.Error = &answer.ErrorDetail{Kind: "overloaded", NotRun: true}
	truly := refused
	truly.Result.RequestID = "never"
	calls := []Call{
		callOf("read", "", "GET", &runs[1]),
		callOf("first", "k", "POST", &runs[2]), callOf("second", "k", "POST", &runs[3]),
		callOf("plain", "", "POST", &runs[4]),
		callOf("again", "k2", "POST", &runs[8]), // the key's held answer
		callOf("swapped", "", "GET", &runs[0]),
		refused, truly,
	}
	require.Equal(t, Counts{WritesDoubled: 1 + 2, FalseNotRun: 1, AnswersWrong: 1}, CheckCalls(calls, runs))
}

func TestCut(t *testing.T) {
	results := []client.Result{
		{Status: 200},
		{Status: 200, Fault: "unexpected EOF"},
		{Fault: "connection refused", NeverSent: true},
		{Status: 502, Error: &answer.ErrorDetail{Kind: "outcome_unknown"}},
		{Status: 503, Error: &answer.ErrorDetail{Kind: "overloaded", NotRun: true}},
	}
	require.Equal(t, 2, CountInterrupted(results))
}
