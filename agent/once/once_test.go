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

// claim claims a key and requires that it gets the right to run.
func claim(t *testing.T, table *Table, r Request) *Run {
	t.Helper()
	run, a, err := table.Claim(t.Context(), r)
	require.Nil(t, err)
	require.Nil(t, a)
	require.NotNil(t, run)
	return run
}

// requireRefusal requires that Claim fails with the given kind and proof.
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

// A caller that repeats an order which has run gets the same complete answer. A
// request with another body under the same key is refused, and the same key of
// another caller is a different key.
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

		// A sweep must not remove the run before its key is dropped, or the order
		// would run again.
		time.Sleep(2 * sweepInterval)
		claim(t, table, newRequest()).Release()
		_, got, err = table.Claim(t.Context(), r)
		require.Nil(t, err)
		require.Same(t, answer, got)

		other := r
		other.Hash = fold.Hash{2}
		requireRefusal(t, table, other, string(kinds.KeyReused), true)
		other.Hash = r.Hash
		other.Hash[15]++ // the short hash in the stream is the same
		requireRefusal(t, table, other, string(kinds.KeyReused), true)
		other.Key.Caller = "clinic"
		claim(t, table, other).Release()
	})
}

// A caller's second attempt arrives through another entry while the first still
// runs: it waits without a slot and gets the first one's answer.
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

		// A waiting attempt whose deadline passes first must not get "not run".
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

// The first attempt owned the key and was abandoned before it was sent (its entry
// crashed or its deadline passed). The answer "not run" was true: the repeat runs
// at this agent without a second claim. A second attempt that waits takes over.
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

// Two attempts of a key wait for the same claim. The one whose deadline passes first
// must not get "not run", because the other may still run the request.
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

// The log stores the claim but its answer is lost. The agent reads back, finds the
// claim and runs the request once; the log contains one record. If the append
// itself was lost, reading back doesn't find the claim and it is appended again.
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

// The answer to the claim's append is lost and reads fail too: the caller gets "not
// run, log unavailable" in time. The log has contained the claim all along. Once
// reads work again, the key belongs to this agent and is unstarted: the repeat runs
// here without another claim, and at no other agent.
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
		// The tail's long poll was open before reads failed and would still return
		// records; wait until it has ended.
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

// The log is unavailable. New keys are refused at once with "not run" and without
// taking a slot (Lookup); keys that ran here are still answered. Claims work again
// when the log is available again.
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

// Agent a owns the key and is suspended before it sends. Meanwhile b must not run
// the request and must name a as the owner. When a resumes, it still owns the key.
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

// An agent crashes with a key whose request may have run, and is restarted under the
// same name. It must answer outcome_unknown: with claimed_elsewhere the entry would
// send the request back to this agent for ever, and a run could duplicate the
// order.
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

// Keys whose request must not run: those that are too old for the window or from the
// future, and finished ones whose answer was evicted or whose window has passed.
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
		claim(t, table, newRequest()).Release() // advances the clock of the keys' state
		time.Sleep(2 * sweepInterval)
		claim(t, table, newRequest()).Release()
		require.Zero(t, table.Stats().HeldBytes)
		require.Zero(t, table.Stats().Runs)
	})
}

// A burst of orders arrives at once. One append carries all claims that wait, and
// the agent stays within its share of the log's append rate however many arrive.
func TestGroupCommitKeepsTheAppendRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		table := newTable(log, "a")
		table.cfg.Limits = func() Limits {
			limits := testLimits
			limits.AppendsPerS = 10
			return limits
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

// Guards against a renewal that runs twice because the caller got "not run" for its
// key and used a new one. How it came about: the first attempt has the key and waits
// for the entry's CallGo. The second, through another entry, waits for the first until
// its own deadline and got deadline_too_short with "not run". Then the first gets
// CallGo and runs. The agent knows that another attempt of the same key may still run, so
// the answer must be outcome_unknown.
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
		first.Start() // CallGo has arrived: the request runs
		first.Finish(answer)
		require.False(t, err.NotRun(), "%v", err)
		require.Equal(t, string(kinds.OutcomeUnknown), err.Kind())
	})
}
