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

// newSample makes the whole, true sample of a prompt; token i is made by
// version(i).
func newSample(group string, seed uint64, version func(int) uint64) Sample {
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

func constantVersion(v uint64) func(int) uint64 { return func(int) uint64 { return v } }

func TestCompleteStepHasNoFaults(t *testing.T) {
	mixed := newSample("a", 2, func(i int) uint64 { return 3 + uint64(min(i, 1)) })
	step := Step{Newest: 4, Bound: 1, Requested: 2, Samples: []Sample{newSample("b", 1, constantVersion(4)), mixed}}
	require.True(t, step.IsComplete())
	require.Zero(t, CheckSteps([]Step{step}, lengths))
}

// A trainer gets a step with one fault of each kind. Each must be counted
// once and under its own name, or the bench would praise a broken system.
func TestEachStepFaultIsCounted(t *testing.T) {
	good := newSample("a", 1, constantVersion(5))
	wrongLabel := newSample("b", 2, constantVersion(5))
	wrongLabel.Spans[0].Version = 4
	old := newSample("c", 3, constantVersion(2))
	short := newSample("d", 4, constantVersion(5))
	short.Text = short.Text[:len(short.Text)-len("abcd@5 ")]
	other := newSample("e", 5, constantVersion(5))
	other.Seed = 6
	step := Step{Newest: 5, Bound: 2, Requested: 6, Samples: []Sample{good, good, wrongLabel, old, short, other}}
	require.False(t, step.IsComplete())
	want := Counts{SamplesLost: 1, SamplesDuplicated: 1, LabelsWrong: 1, OverBound: 1, AnswersWrong: 2}
	require.Equal(t, want, CheckSteps([]Step{step}, lengths))
}

func newCall(id, key, method string, run *service.Run) Call {
	c := Call{Method: method, Path: "/x", BodySHA256: "h", Write: method == "POST"}
	c.Result = client.Result{RequestID: id, Key: key, Status: 200}
	if run != nil {
		c.Result.Body, _ = json.Marshal(run.Answer)
	}
	return c
}

func newRun(n int, id, key, method string) service.Run {
	return service.Run{Answer: service.Answer{Run: n, Server: "s", Method: method, Path: "/x", BodySHA256: "h", RequestID: id, Key: key}}
}

// A caller is told "not run", gets another's answer, or has a write doubled;
// only the service's own account of its runs shows it.
func TestEachCallFaultIsCounted(t *testing.T) {
	runs := []service.Run{
		newRun(1, "read", "", "GET"), newRun(2, "read", "", "GET"), // a read may run twice
		newRun(3, "first", "k", "POST"), newRun(4, "second", "k", "POST"),
		newRun(5, "plain", "", "POST"), newRun(6, "plain", "", "POST"), newRun(7, "plain", "", "POST"),
		newRun(8, "refused", "", "POST"),
		newRun(9, "once", "k2", "POST"),
	}
	refused := newCall("refused", "", "POST", nil)
	refused.Result.Status = 503
	refused.Result.Error = &answer.ErrorDetail{Kind: "overloaded", NotRun: true}
	neverRun := refused
	neverRun.Result.RequestID = "never"
	calls := []Call{
		newCall("read", "", "GET", &runs[1]),
		newCall("first", "k", "POST", &runs[2]), newCall("second", "k", "POST", &runs[3]),
		newCall("plain", "", "POST", &runs[4]),
		newCall("again", "k2", "POST", &runs[8]), // the key's held answer
		newCall("swapped", "", "GET", &runs[0]),
		refused, neverRun,
	}
	require.Equal(t, Counts{WritesDoubled: 1 + 2, FalseNotRun: 1, AnswersWrong: 1}, CheckCalls(calls, runs))
}

func TestCountInterrupted(t *testing.T) {
	results := []client.Result{
		{Status: 200},
		{Status: 200, Fault: "unexpected EOF"},
		{Fault: "connection refused", NeverSent: true},
		{Status: 502, Error: &answer.ErrorDetail{Kind: "outcome_unknown"}},
		{Status: 503, Error: &answer.ErrorDetail{Kind: "overloaded", NotRun: true}},
	}
	require.Equal(t, 2, CountInterrupted(results))
}
