package e2e

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"dandelionsill.org/standin/service"
)

// historyTimeout limits the check of a history.
const historyTimeout = 20 * time.Second

// onceInput is one attempt of a keyed write.
type onceInput struct{ key, request string }

// onceOutput is the outcome of an attempt: the run that answered it or that it caused,
// or empty if it neither ran nor was answered.
type onceOutput struct{ run string } // "server/number"

// onceModel models an idempotency key: it is empty until one attempt runs, and then
// holds that run. No attempt may get the answer of another run or cause one.
func onceModel() porcupine.Model {
	return porcupine.Model{
		Partition: partitionByKey,
		Init:      func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			ran, run := state.(string), output.(onceOutput).run
			switch {
			case run == "":
				return true, ran
			case ran == "":
				return true, run
			}
			return ran == run, ran
		},
		DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
	}
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	byKey := map[string][]porcupine.Operation{}
	for _, op := range history {
		key := op.Input.(onceInput).key
		byKey[key] = append(byKey[key], op)
	}
	var parts [][]porcupine.Operation
	for _, ops := range byKey {
		parts = append(parts, ops)
	}
	return parts
}

// checkOnce checks the callers' history of each key against onceModel. Where a caller
// did not learn the outcome of an attempt, the services' record gives it; such an
// attempt may take effect at any time after its start.
func checkOnce(t *testing.T, calls []timedCall, runs []service.Run) {
	t.Helper()
	runByRequest := map[string]string{}
	for _, run := range runs {
		runByRequest[run.RequestID] = fmt.Sprintf("%s/%d", run.Server, run.Run)
	}
	var history []porcupine.Operation
	for i := range calls {
		call := &calls[i]
		r := &call.Result
		if r.Key == "" {
			continue
		}
		op := porcupine.Operation{
			ClientId: call.client, Call: call.startedAt, Return: call.endedAt,
			Input: onceInput{r.Key, r.RequestID},
		}
		if r.OK() {
			op.Output = onceOutput{answeringRun(t, r.Body)}
		} else {
			op.Output = onceOutput{runByRequest[r.RequestID]}
			op.Return = math.MaxInt64
		}
		history = append(history, op)
	}
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(onceModel(), history, historyTimeout))
}

func answeringRun(t *testing.T, body []byte) string {
	t.Helper()
	var a service.Answer
	require.NoError(t, json.Unmarshal(body, &a))
	return fmt.Sprintf("%s/%d", a.Server, a.Run)
}
