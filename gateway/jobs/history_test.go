package jobs_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	fold "dandelionsill.org/fold/jobs"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// op is the kind of a caller's request, outcome what the answer says about the job.
type op string

const (
	submit op = "submit"
	lookup op = "look"
)

type outcome string

const (
	yes    outcome = "yes"
	no     outcome = "no"
	unsure outcome = "unsure"
)

// existence is the model of a job: it does not exist, then it exists permanently. A
// submission without a definite answer may have been carried out or not.
var existence = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, input, output any) (bool, any) {
		exists, answer := state.(bool), output.(outcome)
		switch {
		case input.(op) == submit && answer == yes:
			return true, true
		case input.(op) == submit && answer == no:
			return !exists, exists
		case input.(op) == submit:
			return true, true
		case answer == yes:
			return exists, exists
		case answer == no:
			return !exists, exists
		default:
			return true, exists
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// history records the requests of callers and their outcomes, by job.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   map[string][]porcupine.Operation
	seen  map[string][]fold.Result // the longest list of results that was read
	t     *testing.T
}

func (h *history) record(client int, job string, what op, ask func() outcome) {
	call := time.Since(h.start).Nanoseconds()
	answer := ask()
	end := time.Since(h.start).Nanoseconds()
	if what == submit && answer == unsure {
		end = int64(time.Hour) // it may be carried out at any later time
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops[job] = append(h.ops[job], porcupine.Operation{ClientId: client, Input: what, Call: call, Output: answer, Return: end})
}

// checkResults checks that results which were read before have not changed.
func (h *history) checkResults(job string, results []fold.Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.seen[job]
	for i := range min(len(known), len(results)) {
		require.Equal(h.t, known[i], results[i], "job %s position %d", job, i)
	}
	if len(results) > len(known) {
		h.seen[job] = results
	}
}

func answerOf(err *kinds.Error) outcome {
	switch {
	case err == nil:
		return yes
	case err.Kind() == string(kinds.NotFound):
		return no
	case err.NotRun():
		return no
	default:
		return unsure
	}
}

// Callers submit jobs at three entries and look them up there, while the store refuses calls,
// loses answers and carries out appends late, and one entry is killed. The history has to be
// that of jobs which exist once and permanently: after a 202 no caller gets "not found", after
// a "not run" the job does not exist, and no result that was read changes its position or
// content.
func TestHistoryOfAcceptance(t *testing.T) {
	t.Parallel()
	pf := gatewaytest.NewPlatform(t, 3, 1)
	entries := []*entry{newEntry(t, pf, "a"), newEntry(t, pf, "b"), newEntry(t, pf, "c")}
	h := &history{start: time.Now(), ops: map[string][]porcupine.Operation{}, seen: map[string][]fold.Result{}, t: t}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var clients, faults sync.WaitGroup
	faults.Go(func() { breakStore(ctx, pf.Store) })
	for client := range 6 {
		clients.Go(func() {
			rng := rand.New(rand.NewPCG(7, uint64(client)))
			for n := range 20 {
				callOnce(t, h, entries[rng.IntN(3)], client, fmt.Sprintf("j%d", (n+client)/4), rng)
				if client == 0 && n == 10 {
					entries[2].Stop()
				}
			}
		})
	}
	clients.Wait()
	stop()
	faults.Wait()
	pf.Store.Fail(hostedtest.StoreFaults{})
	accepted := 0
	for job, ops := range h.ops {
		for _, o := range ops {
			if o.Input == submit && o.Output == yes {
				accepted++
				h.checkResults(job, entries[0].results(t, job, 2))
				h.checkResults(job, entries[1].results(t, job, 2))
				break
			}
		}
	}
	require.Positive(t, accepted)
	for job, ops := range h.ops {
		result := porcupine.CheckOperationsTimeout(existence, ops, time.Minute)
		require.Equal(t, porcupine.Ok, result, "job %s: %v", job, ops)
	}
}

// breakStore causes one fault after the other.
func breakStore(ctx context.Context, s *hostedtest.Store) {
	faults := []hostedtest.StoreFaults{{}, {LoseAppends: true}, {}, {Down: true}, {}, {DelayAppends: 150 * time.Millisecond}}
	for i := 0; ctx.Err() == nil; i++ {
		s.Fail(faults[i%len(faults)])
		select {
		case <-ctx.Done():
		case <-time.After(120 * time.Millisecond):
		}
	}
}

// callOnce submits a job, or looks it up and reads its results.
func callOnce(t *testing.T, h *history, e *entry, client int, job string, rng *rand.Rand) {
	ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond+time.Duration(rng.IntN(300))*time.Millisecond)
	defer cancel()
	if rng.IntN(3) == 0 {
		spec, items := decode(t, job, hostedtest.Job(job, "m", 2, 1))
		h.record(client, job, submit, func() outcome { return answerOf(e.service.Submit(ctx, spec, items)) })
		return
	}
	h.record(client, job, lookup, func() outcome {
		_, results, err := e.service.Results(ctx, job, 0, 0)
		switch {
		case err == nil:
			h.checkResults(job, results)
			return yes
		case err.Kind() == string(kinds.NotFound):
			return no
		default:
			return unsure
		}
	})
}
