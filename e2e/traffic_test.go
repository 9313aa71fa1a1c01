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

// traffic is a set of callers that send until stop is called. Each keyed
// write whose outcome stays open is repeated with its key, as a caller may.
type traffic struct {
	c       *cluster
	callers int
	calls   collect[timedCall]
	stop    func()
}

// timedCall is a call with its times on the test's own clock, for histories.
type timedCall struct {
	judge.Call
	client   int
	from, to int64 // ns
}

// shares of the kinds of calls; the rest are writes without a key.
type shares struct{ reads, keyed float64 }

// startTraffic starts n callers. Each sends its next request a moment after
// the last one's end.
func (c *cluster) startTraffic(n int, seed uint64, s shares) *traffic {
	cl := c.client(site.Caller)
	return c.startCallers(n, seed, func(t *traffic, who int, rng *rand.Rand) { t.one(cl, who, rng, s) })
}

// startCallers starts n callers that each do one over and over until stop is
// called.
func (c *cluster) startCallers(n int, seed uint64, one func(t *traffic, who int, rng *rand.Rand)) *traffic {
	t := &traffic{c: c, callers: n}
	halt := make(chan struct{})
	var running sync.WaitGroup
	for i := range n {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		running.Go(func() {
			for {
				select {
				case <-halt:
					return
				default:
				}
				one(t, i, rng)
			}
		})
	}
	var once sync.Once
	t.stop = func() {
		once.Do(func() {
			close(halt)
			running.Wait()
		})
	}
	c.t.Cleanup(t.stop)
	return t
}

// one sends one request, and repeats a keyed one whose outcome stayed open.
func (t *traffic) one(cl *client.Client, who int, rng *rand.Rand, s shares) {
	const tries = 3
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
	for range tries {
		r := t.send(cl, who, call)
		if call.Key == "" || r.OK() {
			return
		}
		time.Sleep(50 * time.Millisecond) // a caller's pause before it repeats
	}
}

func (t *traffic) send(cl *client.Client, who int, call client.Call) client.Result {
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
		client: who, from: from, to: time.Now().UnixNano(),
	})
	return r
}

// answered waits until n more calls have been answered whole.
func (t *traffic) answered(n int) {
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
	t.c.until(fmt.Sprintf("%d calls answered", want), func() error {
		if have := count(); have < want {
			return fmt.Errorf("%d are, kinds %v", have, kindsOf(t.calls.all()))
		}
		return nil
	})
}

// turnover waits until every caller has ended a call that began after now, so
// that whatever was in flight has been told to its caller.
func (t *traffic) turnover() {
	t.c.t.Helper()
	now := time.Now().UnixNano()
	t.c.until("every caller has gone on", func() error {
		ended := map[int]bool{}
		for _, call := range t.calls.all() {
			if call.from > now {
				ended[call.client] = true
			}
		}
		if len(ended) < t.callers {
			return fmt.Errorf("%d of %d have", len(ended), t.callers)
		}
		return nil
	})
}

func kindsOf(calls []timedCall) map[string]int {
	kinds := map[string]int{}
	for i := range calls {
		kinds[calls[i].Result.Kind()]++
	}
	return kinds
}

// judged stops the callers and requires that no promise was broken: by the
// services' own account and by a history check for each key.
func (t *traffic) judged() ([]timedCall, []service.Run) {
	t.c.t.Helper()
	t.stop()
	runs := t.c.settled()
	timed := t.calls.all()
	calls := make([]judge.Call, len(timed))
	for i := range timed {
		calls[i] = timed[i].Call
	}
	require.Zero(t.c.t, judge.CheckCalls(calls, runs))
	checkOnce(t.c.t, timed, runs)
	t.c.t.Logf("%d calls %v, %d runs", len(calls), kindsOf(timed), len(runs))
	return timed, runs
}

// results are what callers saw.
func results(calls []timedCall) []client.Result {
	list := make([]client.Result, len(calls))
	for i := range calls {
		list[i] = calls[i].Result
	}
	return list
}
