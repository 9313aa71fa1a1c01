package e2e

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"dandelionsill.org/standin/service"
)

// keyOp is one step in the history of an idempotency key: a run at a service,
// by the service's own account, or a whole answer at a caller.
type keyOp struct {
	key      string
	isAnswer bool   // false: a run
	run      string // "server/number"
}

// keyModel is the object that an idempotency key is: no run at first, then
// one, which every whole answer shows.
func keyModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byKey := map[string][]porcupine.Operation{}
			for _, op := range history {
				key := op.Input.(keyOp).key
				byKey[key] = append(byKey[key], op)
			}
			var parts [][]porcupine.Operation
			for _, ops := range byKey {
				parts = append(parts, ops)
			}
			return parts
		},
		Init: func() any { return "" },
		Step: func(state, input, _ any) (bool, any) {
			ran, op := state.(string), input.(keyOp)
			if op.isAnswer {
				return op.run == ran, ran
			}
			return ran == "", op.run
		},
		DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
	}
}

// verifyKeys judges the callers like judged, and each key's history by a
// stricter object: the runs stand in it at their times by the services'
// account, so an answer before its run or a second run has no place. No key
// whose every try was answered "not run" has a run. It returns the tries by
// key.
func (t *traffic) verifyKeys() map[string][]timedCall {
	t.c.t.Helper()
	calls, runs := t.verify()
	attempts := map[string][]timedCall{}
	for _, call := range calls {
		if call.Result.Key != "" {
			attempts[call.Result.Key] = append(attempts[call.Result.Key], call)
		}
	}
	require.NotEmpty(t.c.t, attempts)
	checkKeys(t.c.t, attempts, runs)
	return attempts
}

func checkKeys(t *testing.T, attempts map[string][]timedCall, runs []service.Run) {
	t.Helper()
	runCounts := map[string]int{}
	var history []porcupine.Operation
	for i := range runs {
		run := &runs[i]
		if run.Key == "" {
			continue
		}
		runCounts[run.Key]++
		history = append(history, porcupine.Operation{ // the account is in whole milliseconds
			Input: keyOp{key: run.Key, run: fmt.Sprintf("%s/%d", run.Server, run.Run)},
			Call:  run.StartedMS * int64(time.Millisecond), Return: (run.EndedMS + 1) * int64(time.Millisecond),
		})
	}
	neverRan := 0
	for key, list := range attempts {
		var body []byte
		refused := 0
		for _, call := range list {
			r := &call.Result
			if r.NotRun() || r.NeverSent {
				refused++
			}
			if !r.OK() {
				continue
			}
			if body == nil {
				body = r.Body
			}
			require.Equal(t, string(body), string(r.Body), "two whole answers of key %s", key)
			history = append(history, porcupine.Operation{
				ClientId: 1 + call.client, Call: call.startedAt, Return: call.endedAt,
				Input: keyOp{key: key, isAnswer: true, run: answeringRun(t, r.Body)},
			})
		}
		if refused == len(list) {
			neverRan++
			require.Zero(t, runCounts[key], "key %s: every try was told that it did not run", key)
		}
	}
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(keyModel(), history, historyTimeout))
	t.Logf("%d keys, %d ran, %d never ran by every answer", len(attempts), len(runCounts), neverRan)
}

// The checker itself must find each kind of broken promise.
func TestKeyModelFindsViolations(t *testing.T) {
	run := func(id string, from, to int64) porcupine.Operation {
		return porcupine.Operation{Input: keyOp{key: "k", run: id}, Call: from, Return: to}
	}
	answer := func(id string, from, to int64) porcupine.Operation {
		return porcupine.Operation{ClientId: 1, Input: keyOp{key: "k", isAnswer: true, run: id}, Call: from, Return: to}
	}
	for name, c := range map[string]struct {
		history []porcupine.Operation
		want    bool
	}{
		"one run, two answers":     {[]porcupine.Operation{run("a", 1, 4), answer("a", 0, 5), answer("a", 6, 7)}, true},
		"two runs":                 {[]porcupine.Operation{run("a", 1, 4), run("b", 2, math.MaxInt64)}, false},
		"answer of another run":    {[]porcupine.Operation{run("a", 1, 4), answer("b", 0, 5)}, false},
		"answer before its run":    {[]porcupine.Operation{answer("a", 0, 2), run("a", 3, 4)}, false},
		"answer without any run":   {[]porcupine.Operation{answer("a", 0, 2)}, false},
		"a run that nobody awaits": {[]porcupine.Operation{run("a", 1, 4)}, true},
	} {
		require.Equal(t, c.want, porcupine.CheckOperations(keyModel(), c.history), name)
	}
}
