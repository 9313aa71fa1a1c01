package once

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	fold "dandelionsill.org/fold/once"
	"dandelionsill.org/kinds"
)

var answer = &Answer{Status: 201, Body: []byte("order 7")}

// claim expects the right to run.
func claim(t *testing.T, table *Table, r Request) *Run {
	t.Helper()
	run, a, err := table.Claim(t.Context(), r)
	require.Nil(t, err)
	require.Nil(t, a)
	require.NotNil(t, run)
	return run
}

// requireRefusal expects both ways to answer to refuse alike.
func requireRefusal(t *testing.T, table *Table, r Request, kind string, notRun bool) *kinds.Error {
	t.Helper()
	run, a, err := table.Claim(t.Context(), r)
	require.Nil(t, run)
	require.Nil(t, a)
	require.NotNil(t, err)
	require.Equal(t, kind, err.Kind())
	require.Equal(t, notRun, err.NotRun())
	return err
}

// The order ran and the caller repeats it: it gets the same whole answer. With
// another body under the same key it is told so, and a second caller's equal
// key is another key.
func TestRepeatGetsTheSameAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		table, _ := start(t, log, "a")
		r := newRequest()
		run := claim(t, table, r)
		run.Start()
		run.Finish(answer)
		_, got, err := table.Claim(t.Context(), r)
		require.Nil(t, err)
		require.Same(t, answer, got)
		got, err, known := table.Lookup(t.Context(), r)
		require.True(t, known)
		require.Nil(t, err)
		require.Same(t, answer, got)

		// Later, after the table has cleaned up: the run must not be forgotten
		// before its key is, or the order would run again.
		time.Sleep(2 * sweepInterval)
		claim(t, table, newRequest()).Release()
		_, got, err = table.Claim(t.Context(), r)
		require.Nil(t, err)
		require.Same(t, answer, got)

		other := r
		other.Hash = fold.Hash{2}
		requireRefusal(t, table, other, string(kinds.KeyReused), true)
		other.Hash = r.Hash
		other.Hash[15]++ // collides in the stream, which holds short hashes
		requireRefusal(t, table, other, string(kinds.KeyReused), true)
		other.Key.Caller = "clinic"
		claim(t, table, other).Release()
	})
}

// The caller's first try still runs when its second comes, through another
// entry: the second waits and gets the first's answer. It holds no slot.
func TestSecondAttemptWaitsForTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, _ := start(t, newFakeLog(), "a")
		r := newRequest()
		run := claim(t, table, r)
		run.Start()
		go func() {
			time.Sleep(time.Second)
			run.Finish(answer)
		}()
		got, err, known := table.Lookup(t.Context(), r)
		require.True(t, known)
		require.Nil(t, err)
		require.Same(t, answer, got)

		// A joiner whose time ends first must not hear "not run".
		r = newRequest()
		run = claim(t, table, r)
		run.Start()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err, _ = table.Lookup(ctx, r)
		require.Equal(t, string(kinds.OutcomeUnknown), err.Kind())
		run.FinishUnknown()
		requireRefusal(t, table, r, string(kinds.OutcomeUnknown), false)
	})
}

// The first try owned the key and was given up before it was sent (its entry
// died, its deadline passed). "Not run" was true: the repeat runs, at this
// agent, without a second claim. The waiting second try takes over.
func TestUnstartedKeyRunsLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		table, _ := start(t, log, "a")
		r := newRequest()
		run := claim(t, table, r)
		second, a, err := table.Claim(t.Context(), r)
		require.True(t, second == nil && a == nil && err == nil, "it must wait without a slot")
		canClaim := make(chan bool)
		go func() {
			_, _, known := table.Lookup(t.Context(), r)
			canClaim <- !known
		}()
		synctest.Wait()
		run.Release()
		require.True(t, <-canClaim)
		claim(t, table, r).Release()
		require.Equal(t, 1, log.appendCount())
	})
}

// Two tries of a key wait for the same claim. The one whose time ends first
// must not hear "not run": the other may yet run it.
func TestSharedClaimTimeoutIsOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, _ := start(t, slowAppends{newFakeLog(), time.Second}, "a")
		r := newRequest()
		go func() { claim(t, table, r).Release() }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, _, err := table.Claim(ctx, r)
		require.Equal(t, string(kinds.OutcomeUnknown), err.Kind())
		time.Sleep(2 * time.Second)
	})
}

// The log takes the claim and its answer is lost. The agent reads back, finds
// the claim and runs the request once; the log holds one record. Where the
// request was lost instead, reading back shows so and it is written again.
func TestLostAppendAnswerIsReadBack(t *testing.T) {
	for name, outcome := range map[string]appendOutcome{"answer lost": storedUnanswered, "request lost": requestLost} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newFakeLog()
				first := true
				log.setOutcomes(func() appendOutcome {
					if first {
						first = false
						return outcome
					}
					return stored
				})
				table, _ := start(t, log, "a")
				claim(t, table, newRequest()).Release()
				require.Len(t, log.records, 1)
			})
		})
	}
}

// The claim's answer is lost and reads fail too: the caller hears "not run,
// log unavailable" in time. The claim stood in the log all along. Once reads
// work again it is ours and unstarted: the repeat runs here without another
// claim, and nowhere else.
func TestAbandonedClaimThatIsStoredStaysUnstarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		log.setOutcomes(alwaysOutcome(storedUnanswered))
		a, _ := start(t, log, "a")
		b, _ := start(t, log, "b")
		synctest.Wait()
		log.mu.Lock()
		log.failReads = true
		log.mu.Unlock()
		r := newRequest()
		began := time.Now()
		// The tail's long poll was open before reads failed and would deliver.
		time.Sleep(longPollWait + time.Second)
		err := requireRefusal(t, a, r, string(kinds.LogUnavailable), true)
		require.Positive(t, err.Answer().RetryAfter)
		require.Less(t, time.Since(began), longPollWait+2*time.Second+defaultClaimTimeout)

		log.mu.Lock()
		log.failReads = false
		log.mu.Unlock()
		time.Sleep(2 * maxBackoff)
		before := log.appendCount()
		held := requireRefusal(t, b, r, string(kinds.ClaimedElsewhere), true)
		require.Equal(t, "a", held.Holder())
		claim(t, a, r).Release()
		require.Equal(t, before, log.appendCount())
	})
}

// The log is down. New keys are refused at once, "not run", and without taking
// a slot (Lookup); keys that are known here are served as ever. When the log
// is back, so are claims.
func TestLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		table, _ := start(t, log, "a")
		known := newRequest()
		run := claim(t, table, known)
		run.Start()
		run.Finish(answer)

		log.setOutcomes(alwaysOutcome(refused))
		newKeyRequest := newRequest()
		began := time.Now()
		requireRefusal(t, table, newKeyRequest, string(kinds.LogUnavailable), true)
		require.Less(t, time.Since(began), 100*time.Millisecond)
		_, err, isKnown := table.Lookup(t.Context(), newKeyRequest)
		require.True(t, isKnown, "refused without a slot")
		require.Equal(t, string(kinds.LogUnavailable), err.Kind())
		got, err, _ := table.Lookup(t.Context(), known)
		require.Nil(t, err)
		require.Same(t, answer, got)

		log.setOutcomes(nil)
		time.Sleep(logDownPause)
		_, _, isKnown = table.Lookup(t.Context(), newKeyRequest)
		require.False(t, isKnown)
		claim(t, table, newKeyRequest).Release()
	})
}

// Agent a owns the key and is frozen before it sends. Meanwhile b must not run
// it, and names a. When a goes on, the key is still its own.
func TestSuspendedOwnerStaysTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		a, _ := start(t, log, "a")
		b, _ := start(t, log, "b")
		r := newRequest()
		run := claim(t, a, r)
		time.Sleep(5 * time.Minute)
		require.Equal(t, "a", requireRefusal(t, b, r, string(kinds.ClaimedElsewhere), true).Holder())
		run.Start()
		run.Finish(answer)
	})
}

// The agent dies with a key of which nobody knows whether it ran, and is
// started again under the same name. It must say so and not run it: the entry
// would otherwise come back here for ever, or the order be doubled.
func TestRestartedAgentDoesNotRunItsOldKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		first, stop := start(t, log, "a")
		r := newRequest()
		claim(t, first, r).Start()
		stop()
		second, _ := start(t, log, "a")
		requireRefusal(t, second, r, string(kinds.OutcomeUnknown), false)
	})
}

// Keys that can't be judged: too old for the window, from the future, and
// finished ones whose answer was evicted or whose window has passed.
func TestKeysThatAreNeverRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		table, _ := start(t, log, "a")
		table.cfg.MaxHeldBytes = 2 * answer.size()
		at := func(d time.Duration) Request { return Request{Key: newKey(time.Now().Add(d))} }
		requireRefusal(t, table, at(-testLimits.Window), string(kinds.KeyTooOld), true)
		requireRefusal(t, table, at(2*testLimits.Skew), string(kinds.BadRequest), true)

		first := newRequest()
		for i, r := range []Request{first, newRequest(), newRequest()} {
			run := claim(t, table, r)
			run.Start()
			run.Finish(answer)
			require.LessOrEqual(t, table.Stats().HeldBytes, 2*answer.size(), i)
		}
		requireRefusal(t, table, first, string(kinds.OutcomeUnknown), false)

		time.Sleep(testLimits.Window + time.Minute)
		requireRefusal(t, table, first, string(kinds.KeyTooOld), true)
		claim(t, table, newRequest()).Release() // moves the fold's clock
		time.Sleep(2 * sweepInterval)
		claim(t, table, newRequest()).Release()
		require.Zero(t, table.Stats().HeldBytes)
		require.Zero(t, table.Stats().Runs)
	})
}

// A burst of orders comes at once. One append carries all claims that wait,
// and the share of the log's rate is kept however many come.
func TestGroupCommitKeepsTheAppendRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		table := newTable(log, "a")
		table.cfg.Limits = func() Limits {
			terms := testLimits
			terms.AppendsPerS = 10
			return terms
		}
		run(t, table)
		var wg sync.WaitGroup
		const burst = 500
		for i := range burst {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				run, _, err := table.Claim(t.Context(), newRequest())
				require.Nil(t, err)
				run.Release()
			})
		}
		wg.Wait()
		require.LessOrEqual(t, log.appendCount(), 7)
	})
}

// The caller hears not_run: true for its key, takes a new one and renews twice.
// Order: its first try holds the key and waits for the entry's go; its second,
// through another entry, waits for the first until its own deadline and is told
// deadline_too_short, "not run"; then the first gets its go and runs. The agent
// knows that another try of the very key may still run.
func TestRepeatOfAKeyThatMayStillRunIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, _ := start(t, newFakeLog(), "a")
		r := newRequest()
		first := claim(t, table, r)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err, known := table.Lookup(ctx, r)
		require.True(t, known)
		require.NotNil(t, err)
		first.Start() // the go has come: the request runs
		first.Finish(answer)
		require.False(t, err.NotRun(), "%v", err)
		require.Equal(t, string(kinds.OutcomeUnknown), err.Kind())
	})
}
