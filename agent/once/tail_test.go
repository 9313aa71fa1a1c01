package once

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	fold "dandelionsill.org/fold/once"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform"
)

// Thirty agents append claims continuously. If each append woke each agent, the log
// would have to answer 30 reads per append. Limiting reads must not delay callers: a
// claim is read back as soon as its append is acknowledged.
func TestBusyStreamReadsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		alone, _ := start(t, log, "alone")
		time.Sleep(time.Second) // until it has caught up
		for range 10 {
			began := time.Now()
			claim(t, alone, newRequest()).Release()
			require.Equal(t, latency, time.Since(began), "one append and no further read")
			time.Sleep(100 * time.Millisecond)
		}
		before := log.appendCount()
		var wg sync.WaitGroup
		const agents, claimsPerAgent = 30, 50
		for i := range agents {
			table, _ := start(t, log, string(rune('A'+i)))
			wg.Go(func() {
				for range claimsPerAgent {
					time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
					began := time.Now()
					claim(t, table, newRequest()).Release()
					require.LessOrEqual(t, time.Since(began), testLimits.MinInterval+3*latency)
				}
			})
		}
		wg.Wait()
		require.Equal(t, agents*claimsPerAgent, log.appendCount()-before)
		log.mu.Lock()
		defer log.mu.Unlock()
		require.Less(t, log.reads, 4*agents*claimsPerAgent)
	})
}

// The log loses all its records. An order that ran before is still answered; one
// whose claim may have been lost gets outcome_unknown and is not run again. New
// orders are accepted as soon as their keys are newer than the loss, whether the
// agent detects it by its next read or by the offset of its next append.
func TestLogLosesItsRecords(t *testing.T) {
	for name, wait := range map[string]time.Duration{"read": longPollWait + time.Second, "append": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newFakeLog()
				table, _ := start(t, log, "a")
				ran := newRequest()
				run := claim(t, table, ran)
				run.Start()
				run.Finish(answer)
				for range 5 {
					claim(t, table, newRequest()).Release()
				}
				time.Sleep(2 * time.Second) // the tail's long poll is open
				before := newRequest()
				log.dropRecords()
				time.Sleep(wait)
				if wait > 0 {
					_, err, _ := table.Lookup(t.Context(), before)
					require.NotNil(t, err, "answered without an append")
				}
				requireRefusal(t, table, before, string(kinds.OutcomeUnknown), false)
				time.Sleep(4 * testLimits.Skew)
				claim(t, table, newRequest()).Release()
				requireRefusal(t, table, before, string(kinds.OutcomeUnknown), false)
				_, a, err := table.Claim(t.Context(), ran)
				require.Nil(t, err)
				require.Same(t, answer, a)
			})
		})
	}
}

// agedLog contains old records and truncates some of them while it is read.
type agedLog struct {
	platform.Log
	records        []platform.Record
	first          uint64
	dropBeforeRead func() uint64 // returns how many more records are truncated before a read
	delivered      int
}

func (l *agedLog) Read(_ context.Context, _ string, from uint64, limit int, _ time.Duration) (platform.Page, error) {
	end := uint64(len(l.records))
	l.first = min(end, l.first+l.dropBeforeRead())
	if from < l.first {
		return platform.Page{First: l.first, End: end}, platform.ErrTruncated
	}
	to := min(end, from+uint64(limit))
	l.delivered += int(to - from)
	return platform.Page{Records: l.records[from:to], Next: to, First: l.first, End: end}, nil
}

// A new agent skips the claims that are older than the key window. For each key that
// a caller may still use it must return the same state as an agent that has read all
// records: if a claimed key were unclaimed here, its order would run again; if an
// unclaimed one were lost, its caller would get outcome_unknown without a reason.
// Record times jump back, claims are late or early within the skew, and the log
// truncates records during the search.
func TestNewAgentKnowsAllKeysOfTheWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		windows := rapid.Float64Range(0.1, 20).Draw(t, "windows kept")
		count := rapid.IntRange(maxPageRecords+1, 2*maxPageRecords).Draw(t, "records")
		skew := float64(testLimits.Skew)
		now := time.Now()
		kept := time.Duration(windows * float64(testLimits.Window))
		var records []platform.Record
		var keys []fold.Key
		for i := range count {
			at := now.Add(-kept + kept*time.Duration(i)/time.Duration(count))
			key := newKey(at.Add(time.Duration((1.5 - 3*rng.Float64()) * skew)))
			if rng.IntN(3) == 0 && len(keys) > 0 {
				key = keys[rng.IntN(len(keys))]
			}
			keys = append(keys, key)
			batch := fold.Batch{Owner: fold.Owner{Name: string(rune('a' + i%7))}, Claims: []fold.Claim{{Key: key}}}
			records = append(records, platform.Record{
				Offset: uint64(i),
				Time:   at.Add(time.Duration((rng.Float64() - 0.5) * skew)),
				Data:   fold.Encode(batch),
			})
		}
		drops := rapid.IntRange(0, 40).Draw(t, "drops")
		atOnce := rapid.IntRange(0, count*3/4).Draw(t, "dropped at once")
		reads := 0
		log := &agedLog{records: records, dropBeforeRead: func() uint64 {
			switch reads++; reads {
			case 1:
				return 0
			case 2:
				return uint64(atOnce)
			}
			return uint64(rng.IntN(1 + drops))
		}}
		completeLog := &agedLog{records: records, dropBeforeRead: func() uint64 { return 0 }}
		skipper, reader := newTable(log, "x"), newTable(completeLog, "y")
		require.NoError(t, skipper.skipOldRecords(context.Background()))
		for _, table := range []*Table{skipper, reader} {
			for !table.caughtUp {
				_, err := table.readPage(context.Background(), 0)
				require.NoError(t, err)
			}
		}
		for range 100 {
			keys = append(keys, newKey(now.Add(-time.Duration(rng.Float64()*float64(kept)))))
		}
		truncated := records[min(int(log.first), count-1)].Time.Add(3 * testLimits.Skew)
		for _, key := range keys {
			got, want := skipper.keys.Find(key), reader.keys.Find(key)
			usable := skipper.checkAge(kinds.Hold(), key) == nil
			kept := log.first == 0 || key.Issued().After(truncated)
			findsState := got.Status == fold.Claimed || got.Status == fold.Free
			if got != want && (findsState || usable && kept) {
				require.Equal(t, want, got)
			}
		}
		const slack = 50
		require.Less(t, log.delivered, int(float64(count)/windows*1.02)+slack)
	})
}
