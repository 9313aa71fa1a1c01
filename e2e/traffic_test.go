package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"dandelionsill.org/load/client"
	"dandelionsill.org/load/judge"
	"dandelionsill.org/load/site"
	"dandelionsill.org/manifest"
	"dandelionsill.org/standin/service"
)

const callTimeout = 3 * time.Second

// traffic is a set of callers that send requests until stop is called.
type traffic struct {
	c       *cluster
	callers int
	calls   collector[timedCall]
	stop    func()
}

// timedCall is a call with its times by the test's clock, for histories.
type timedCall struct {
	judge.Call
	client             int
	startedAt, endedAt int64 // ns
}

// callShares are the shares of reads and keyed writes among the calls. The rest are
// writes without a key.
type callShares struct{ reads, keyed float64 }

// startTraffic starts n callers that send random requests, each one after another.
func (c *cluster) startTraffic(n int, seed uint64, s callShares) *traffic {
	cl := c.client(site.Caller)
	return c.startCallers(n, seed, func(t *traffic, caller int, rng *rand.Rand) { t.sendOne(cl, caller, rng, s) })
}

// startCallers starts n callers, each of which calls send repeatedly until stop is
// called.
func (c *cluster) startCallers(n int, seed uint64, send func(t *traffic, caller int, rng *rand.Rand)) *traffic {
	t := &traffic{c: c, callers: n}
	stopping := make(chan struct{})
	var running sync.WaitGroup
	for i := range n {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		running.Go(func() {
			for {
				select {
				case <-stopping:
					return
				default:
				}
				send(t, i, rng)
			}
		})
	}
	var once sync.Once
	t.stop = func() {
		once.Do(func() {
			close(stopping)
			running.Wait()
		})
	}
	c.t.Cleanup(t.stop)
	return t
}

// sendOne sends one request. A keyed write without a complete answer is repeated with
// its key.
func (t *traffic) sendOne(cl *client.Client, caller int, rng *rand.Rand, s callShares) {
	const attempts = 3
	call := client.Call{Service: t.c.site.Deployment.Service, Method: http.MethodGet, Timeout: callTimeout}
	call.Path = fmt.Sprintf("/orders/%d", rng.IntN(1_000_000))
	kind := rng.Float64()
	if kind >= s.reads {
		call.Method = http.MethodPost
		call.Body = fmt.Appendf(nil, "order %d", rng.Uint64())
	}
	if kind >= s.reads && kind < s.reads+s.keyed {
		call.Key = uuid.Must(uuid.NewV7()).String()
	}
	for range attempts {
		r := t.send(cl, caller, call)
		if call.Key == "" || r.OK() {
			return
		}
		time.Sleep(50 * time.Millisecond) // pause before the next attempt
	}
}

func (t *traffic) send(cl *client.Client, caller int, call client.Call) client.Result {
	ctx, cancel := context.WithTimeout(t.c.ctx, 2*callTimeout)
	defer cancel()
	call.RequestID = uuid.NewString()
	from := time.Now().UnixNano()
	r := cl.Call(ctx, call)
	t.calls.add(timedCall{
		Call: judge.Call{
			Method: call.Method, Path: call.Path, BodySHA256: manifest.Hash(call.Body),
			Write: call.Method == http.MethodPost, Result: r,
		},
		client: caller, startedAt: from, endedAt: time.Now().UnixNano(),
	})
	return r
}

// waitAnswered waits until n more calls have got a complete answer.
func (t *traffic) waitAnswered(n int) {
	t.c.t.Helper()
	count := func() int {
		ok := 0
		for _, call := range t.calls.all() {
			if call.Result.OK() {
				ok++
			}
		}
		return ok
	}
	want := count() + n
	t.c.waitFor(fmt.Sprintf("%d calls answered", want), func() error {
		if have := count(); have < want {
			return fmt.Errorf("%d calls are answered, by kind: %v", have, countKinds(t.calls.all()))
		}
		return nil
	})
}

// waitTurnover waits until every caller has ended a call that started after now. By then
// the callers know the outcomes of all calls that were in flight.
func (t *traffic) waitTurnover() {
	t.c.t.Helper()
	now := time.Now().UnixNano()
	t.c.waitFor("every caller has ended a later call", func() error {
		ended := map[int]bool{}
		for _, call := range t.calls.all() {
			if call.startedAt > now {
				ended[call.client] = true
			}
		}
		if len(ended) < t.callers {
			return fmt.Errorf("%d of %d callers have", len(ended), t.callers)
		}
		return nil
	})
}

func countKinds(calls []timedCall) map[string]int {
	kinds := map[string]int{}
	for i := range calls {
		kinds[calls[i].Result.Kind()]++
	}
	return kinds
}

// verify stops the callers and requires that no guarantee was violated: it compares the
// calls with the runs that the services recorded and checks each key's history.
func (t *traffic) verify() ([]timedCall, []service.Run) {
	t.c.t.Helper()
	t.stop()
	runs := t.c.waitIdle()
	timed := t.calls.all()
	calls := make([]judge.Call, len(timed))
	for i := range timed {
		calls[i] = timed[i].Call
	}
	require.Zero(t.c.t, judge.CheckCalls(calls, runs))
	checkOnce(t.c.t, timed, runs)
	t.c.t.Logf("%d calls %v, %d runs", len(calls), countKinds(timed), len(runs))
	return timed, runs
}

// callResults returns the calls' results.
func callResults(calls []timedCall) []client.Result {
	list := make([]client.Result, len(calls))
	for i := range calls {
		list[i] = calls[i].Result
	}
	return list
}
