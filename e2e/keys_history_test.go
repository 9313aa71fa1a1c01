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

// keyOp is an operation in the history of an idempotency key: a run that a service
// stand-in recorded, or a complete answer that a caller got.
type keyOp struct {
	key      string
	isAnswer bool   // false: a run
	run      string // "server/number"
}

// keyModel models an idempotency key: it has no run at first and then exactly one,
// which every complete answer shows.
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

// verifyKeys does the checks of verify and checks each key's history against a stricter
// model, keyModel. Its histories contain the runs with the times that the services
// recorded, so that it rejects an answer before its run and a second run. A key whose
// every attempt was answered "not run" must have no run. verifyKeys returns the attempts
// by key.
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
		if run.IdempotencyKey == "" {
			continue
		}
		runCounts[run.IdempotencyKey]++
		history = append(history, porcupine.Operation{ // recorded times are in whole milliseconds
			Input: keyOp{key: run.IdempotencyKey, run: fmt.Sprintf("%s/%d", run.Server, run.Run)},
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
			require.Equal(t, string(body), string(r.Body), "two complete answers of key %s", key)
			history = append(history, porcupine.Operation{
				ClientId: 1 + call.client, Call: call.startedAt, Return: call.endedAt,
				Input: keyOp{key: key, isAnswer: true, run: answeringRun(t, r.Body)},
			})
		}
		if refused == len(list) {
			neverRan++
			require.Zero(t, runCounts[key], "key %s has run although every attempt was answered \"not run\"", key)
		}
	}
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(keyModel(), history, historyTimeout))
	t.Logf("%d keys, %d ran, %d were refused at every attempt", len(attempts), len(runCounts), neverRan)
}

// keyModel must reject each kind of violation.
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
		"one run, two answers":    {[]porcupine.Operation{run("a", 1, 4), answer("a", 0, 5), answer("a", 6, 7)}, true},
		"two runs":                {[]porcupine.Operation{run("a", 1, 4), run("b", 2, math.MaxInt64)}, false},
		"answer of another run":   {[]porcupine.Operation{run("a", 1, 4), answer("b", 0, 5)}, false},
		"answer before its run":   {[]porcupine.Operation{answer("a", 0, 2), run("a", 3, 4)}, false},
		"answer without any run":  {[]porcupine.Operation{answer("a", 0, 2)}, false},
		"a run without an answer": {[]porcupine.Operation{run("a", 1, 4)}, true},
	} {
		require.Equal(t, c.want, porcupine.CheckOperations(keyModel(), c.history), name)
	}
}
