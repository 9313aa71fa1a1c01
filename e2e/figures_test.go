package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/load/site"
	"dandelionsill.org/standin/logsvc"
)

// percentiles sorts a list and returns its percentiles as text.
func percentiles(list []time.Duration) string {
	slices.Sort(list)
	at := func(share float64) time.Duration {
		return list[min(len(list)-1, int(share*float64(len(list))))].Round(time.Millisecond / 10)
	}
	return fmt.Sprintf("p50 %v, p99 %v, max %v of %d", at(0.5), at(0.99), list[len(list)-1].Round(time.Millisecond/10), len(list))
}

// timeCommit commits a revision and returns the time from the log's answer until the
// last process reports that the revision is in force.
func (c *cluster) timeCommit(number uint64) time.Duration {
	c.t.Helper()
	require.NoError(c.t, c.site.Commit(c.ctx, number, c.site.Manifest(fmt.Sprint("revision ", number))))
	committedAt := time.Now()
	var mu sync.Mutex
	var last time.Time
	var all sync.WaitGroup
	for _, p := range c.site.AgentsAndEntries() {
		all.Go(func() {
			at, err := waitRevision(c.ctx, p, number)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				c.t.Errorf("%s: %v", p.Name, err)
			}
			if at.After(last) {
				last = at
			}
		})
	}
	all.Wait()
	return last.Sub(committedAt)
}

// waitRevision polls a process until it reports a revision and returns the time then.
func waitRevision(ctx context.Context, p site.Process, number uint64) (time.Time, error) {
	const pause = 2 * time.Millisecond
	deadline := time.Now().Add(maxWait)
	for {
		var st site.Status
		err := site.SendJSON(ctx, http.MethodGet, p.URL+"/v1/status", nil, &st)
		switch {
		case err == nil && st.Revision >= number:
			return time.Now(), nil
		case time.Now().After(deadline):
			return time.Time{}, fmt.Errorf("has revision %d, want %d: %w", st.Revision, number, err)
		}
		time.Sleep(pause)
	}
}

// Measures, without checking, how long a stored commit takes to be in force
// on every process, without faults and while three processes are partitioned from the
// log, and how long a write with a key and one without take for the caller. Every
// commit must come into force and every write must get a complete answer.
func TestCommitAndWriteTimes(t *testing.T) {
	const seed, healthyCommits, partitionedCommits, writes = 91, 30, 6, 60
	c := startCluster(t, options{seed: seed})
	number := uint64(1)
	commits := func(n int) []time.Duration {
		var times []time.Duration
		for range n {
			number++
			times = append(times, c.timeCommit(number))
		}
		return times
	}
	t.Logf("time until a commit is in force on all processes, without faults: %s", percentiles(commits(healthyCommits)))
	partitioned := []string{"entry-2", "engine-1", "service-1"}
	c.setFaults("log", logsvc.Faults{DropClients: partitioned})
	t.Logf("the same with %v partitioned from the log: %s", partitioned, percentiles(commits(partitionedCommits)))
	c.setFaults("log", logsvc.Faults{})

	for _, keyed := range []bool{true, false} {
		t.Logf("a write, key %t: one caller %s", keyed, percentiles(c.writeTimes(1, writes, seed, keyed)))
		t.Logf("a write, key %t: %d callers %s", keyed, writers, percentiles(c.writeTimes(writers, 4*writes, seed, keyed)))
	}
}

// writeTimes lets callers send at least n writes and returns the time of each.
func (c *cluster) writeTimes(callers, n int, seed uint64, keyed bool) []time.Duration {
	c.t.Helper()
	cl := c.client(site.Caller)
	w := c.startCallers(callers, seed, func(t *traffic, caller int, rng *rand.Rand) {
		call := t.newOrder(rng)
		if !keyed {
			call.Key = ""
		}
		t.send(cl, caller, call)
	})
	w.waitAnswered(n)
	calls, _ := w.verify()
	var times []time.Duration
	for i := range calls {
		require.True(c.t, calls[i].Result.OK(), "%+v", calls[i].Result)
		times = append(times, calls[i].Result.Took)
	}
	return times
}
