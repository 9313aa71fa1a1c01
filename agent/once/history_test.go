package once

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"dandelionsill.org/kinds"
)

// attempt is the outcome of one attempt as its caller sees it, and what the backend
// server did: value is the result of this attempt's own run, "" if it did not run.
type attempt struct {
	notRun   bool
	replayed string
	value    string
}

// oneRunModel is the object that callers must see: a key that is empty until one
// attempt sets it, and returns that value from then on.
var oneRunModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make(map[int][]porcupine.Operation)
		for _, op := range history {
			parts[op.Input.(int)] = append(parts[op.Input.(int)], op)
		}
		var out [][]porcupine.Operation
		for _, p := range parts {
			out = append(out, p)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		value, out := state.(string), output.(attempt)
		switch {
		case out.value != "":
			return !out.notRun && value == "", out.value
		case out.replayed != "":
			return out.replayed == value, value
		}
		return true, value
	},
}

// agents holds the tables of each agent name: the latest incarnation last, and
// before it the replaced ones that were only suspended and have resumed.
type agents struct {
	mu     sync.Mutex
	tables map[string][]*Table
}

// pickTable returns the latest incarnation of an agent, or sometimes any of them.
func (f *agents) pickTable(rng *rand.Rand, name string) *Table {
	f.mu.Lock()
	defer f.mu.Unlock()
	tables := f.tables[name]
	if rng.IntN(4) == 0 {
		return tables[rng.IntN(len(tables))]
	}
	return tables[len(tables)-1]
}

// Callers repeat the same few orders through any agent while the log loses answers,
// stores records late and becomes unavailable, agents are replaced under their own
// names, and replaced agents that were only suspended resume. The callers' history
// must be linearizable to an object that runs at most once per key, and no attempt
// that ran may be answered "not run".
func TestHistoryHasOneRunPerKey(t *testing.T) {
	for seed := range uint64(25) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { history(t, seed) })
		})
	}
}

func history(t *testing.T, seed uint64) {
	log := newFakeLog()
	logRNG := rand.New(rand.NewPCG(seed, 1))
	log.setOutcomes(func() appendOutcome { // under the log's lock
		if logRNG.IntN(2) == 0 {
			return stored
		}
		return appendOutcome(logRNG.IntN(int(rateLimited) + 1))
	})
	names := []string{"a", "b", "c"}
	fleet := &agents{tables: make(map[string][]*Table)}
	for _, name := range names {
		table, _ := start(t, log, name)
		fleet.tables[name] = []*Table{table}
	}
	const keys = 4
	requests := make([]Request, keys)
	for i := range requests {
		requests[i] = newRequest()
	}
	var (
		mu      sync.Mutex
		ops     []porcupine.Operation
		runs    = make(map[int]int)
		clock   atomic.Int64
		ended   atomic.Bool
		callers sync.WaitGroup
	)
	for c := range 6 {
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(10+c)))
			for i := range 12 {
				time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
				key := rng.IntN(keys)
				op := porcupine.Operation{ClientId: c, Input: key, Call: clock.Add(1)}
				out := runAttempt(rng, fleet, names[rng.IntN(len(names))], requests[key], func() string {
					mu.Lock()
					defer mu.Unlock()
					runs[key]++
					return fmt.Sprintf("run %d of caller %d", i, c)
				})
				op.Output, op.Return = out, clock.Add(1)
				mu.Lock()
				ops = append(ops, op)
				mu.Unlock()
			}
		})
	}
	var replacer sync.WaitGroup
	replacer.Go(func() {
		rng := rand.New(rand.NewPCG(seed, 2))
		for !ended.Load() {
			time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
			name := names[rng.IntN(len(names))]
			table, _ := start(t, log, name)
			fleet.mu.Lock()
			fleet.tables[name] = append(fleet.tables[name], table)
			fleet.mu.Unlock()
		}
	})
	callers.Wait()
	ended.Store(true)
	replacer.Wait()
	for key, n := range runs {
		require.LessOrEqual(t, n, 1, "key %d ran %d times", key, n)
	}
	require.True(t, porcupine.CheckOperations(oneRunModel, ops))
}

// runAttempt does what agent/calls does for one attempt, with stalls between the
// steps.
func runAttempt(rng *rand.Rand, fleet *agents, name string, r Request, backend func() string) attempt {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	run, a, err := take(ctx, fleet.pickTable(rng, name), r)
	if err != nil && err.Kind() == string(kinds.ClaimedElsewhere) {
		run, a, err = take(ctx, fleet.pickTable(rng, err.Holder()), r)
	}
	switch {
	case err != nil:
		return attempt{notRun: err.NotRun()}
	case a != nil:
		return attempt{replayed: string(a.Body)}
	}
	maybeStall(rng)
	if rng.IntN(4) == 0 {
		run.Release()
		return attempt{notRun: true}
	}
	run.Start()
	maybeStall(rng)
	value := backend()
	if rng.IntN(4) == 0 {
		run.FinishUnknown()
		return attempt{value: value}
	}
	run.Finish(&Answer{Body: []byte(value)})
	return attempt{value: value}
}

// take calls Lookup and Claim until one of them decides.
func take(ctx context.Context, table *Table, r Request) (*Run, *Answer, *kinds.Error) {
	for {
		if a, err, known := table.Lookup(ctx, r); known {
			return nil, a, err
		}
		if run, a, err := table.Claim(ctx, r); run != nil || a != nil || err != nil {
			return run, a, err
		}
	}
}

// maybeStall suspends a tenth of the attempts far beyond their deadline.
func maybeStall(rng *rand.Rand) {
	if rng.IntN(10) == 0 {
		time.Sleep(5 * time.Second)
	}
}
