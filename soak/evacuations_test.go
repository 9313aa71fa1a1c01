package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/platform/hosted/hostedtest"
)

// failureDomains are those of the servers. At most one of them is evacuated at a time, so that each
// service has a server that takes work.
var failureDomains = []string{"zone-a", "zone-b"}

const (
	// evacuationBound is how long after an evacuation was acknowledged processes may send requests
	// to the failure domain.
	evacuationBound = 5 * time.Second
	// heldTime is how long the evacuation that outlasts the faults is judged under load.
	heldTime = 2 * time.Second
	// backCallers send at the same time, more than one server has places for: an idle service sends
	// all to the server that has been the fastest.
	backCallers = 5 * serviceSlots
	// backTime is how long the servers of a failure domain have to serve again.
	backTime = 20 * time.Second
)

// domainOf returns the failure domain of a kind's server by its number.
func domainOf(i int) string { return failureDomains[i%len(failureDomains)] }

// evacuation is an evacuation of a failure domain; times are those of the store's answers.
type evacuation struct {
	domain     string
	from       time.Time
	until      time.Time // when its end was requested; zero: it is in force
	isFromInit bool      // it began before any process started
}

// evacuations are those of a run, in order.
type evacuations struct {
	mu  sync.Mutex
	all []evacuation
}

// evacuate begins the evacuation of a failure domain.
func (sys *system) evacuate(domain string, isFromInit bool) {
	sys.store.Evacuate(domain, false)
	ev := &sys.evacuations
	ev.mu.Lock()
	defer ev.mu.Unlock()
	ev.all = append(ev.all, evacuation{domain: domain, from: time.Now(), isFromInit: isFromInit})
}

// takeBack ends the evacuation in force and returns its failure domain.
func (sys *system) takeBack() string {
	ev := &sys.evacuations
	ev.mu.Lock()
	defer ev.mu.Unlock()
	last := &ev.all[len(ev.all)-1]
	last.until = time.Now()
	sys.store.Evacuate(last.domain, true)
	return last.domain
}

// runEvacuations ends the evacuation in force and begins another one at random moments until ctx
// ends. One remains in force.
func (in *injector) runEvacuations(ctx context.Context) {
	in.sleepRandom(ctx, time.Second, 4*time.Second)
	for ctx.Err() == nil {
		in.log("%s is taken back", in.sys.takeBack())
		in.sleepRandom(ctx, 50*time.Millisecond, 800*time.Millisecond)
		domain := failureDomains[in.rng.IntN(len(failureDomains))]
		in.log("%s is evacuated", domain)
		in.sys.evacuate(domain, false)
		in.sleepRandom(ctx, 100*time.Millisecond, 2*time.Second)
	}
}

// endEvacuation sends requests and a job after the evacuation in force has been acknowledged for
// evacuationBound without faults, ends the evacuation, and requires that the servers of the failure
// domain serve again.
func (sys *system) endEvacuation(rec *record, seed uint64, calmSince time.Time) {
	time.Sleep(time.Until(calmSince.Add(evacuationBound))) // the bound that is judged
	ctx, cancel := context.WithTimeout(context.Background(), heldTime)
	defer cancel()
	var callers sync.WaitGroup
	for i := range 3 {
		callers.Go(func() { newClient(sys, rec, seed, uint64(7000+i)).sendRequests(ctx, fmt.Sprintf("held%d", i)) })
	}
	sys.runJob(rec, seed, 7100, "held")
	callers.Wait()
	domain, back := sys.takeBack(), time.Now()
	n := 0
	require.Eventually(sys.t, func() bool {
		n++
		sys.runJob(rec, seed, uint64(7100+n), fmt.Sprintf("back%d", n))
		var callers sync.WaitGroup
		for i := range backCallers {
			c, g := newClient(sys, rec, seed, uint64(8000+n)), sys.gatewayProcs[i%gatewayCount]
			callers.Go(func() { c.ask(context.Background(), g, "POST", "/score/x", fmt.Sprintf("back-%d-%d", n, i), nil) })
		}
		callers.Wait()
		return hasServed(sys.services, domain, back) && hasServed(sys.engines, domain, back)
	}, backTime, 20*time.Millisecond, "%s does not serve again", domain)
}

// runJob submits a job and waits for its results.
func (sys *system) runJob(rec *record, seed, client uint64, job string) {
	c := newClient(sys, rec, seed, client)
	if !c.submit(job, 1) || !c.readAll(context.Background(), job, backTime) {
		rec.reportViolation("job %s is not completed although a failure domain takes work", job)
	}
}

// hasServed reports whether a server of the failure domain has run a request that arrived after the
// time.
func hasServed(servers []*hostedtest.Server, domain string, after time.Time) bool {
	return slices.ContainsFunc(servers, func(s *hostedtest.Server) bool {
		return s.FailureDomain == domain && slices.ContainsFunc(s.Arrivals(), func(a hostedtest.Arrival) bool { return a.Executed && a.At.After(after) })
	})
}

// judgedFrom returns when no process may send requests to the failure domain any more. Without
// faults this is evacuationBound after the acknowledgement. The bound starts again when the faults
// end, since processes that were cut off, stopped or started meanwhile, or whose store was away, may
// have missed the record. An evacuation that began before the processes started was missed by none.
func (e *evacuation) judgedFrom(calmSince time.Time) time.Time {
	switch {
	case e.isFromInit:
		return e.from
	case calmSince.After(e.from):
		return calmSince.Add(evacuationBound)
	}
	return e.from.Add(evacuationBound)
}

// verifyEvacuations reports requests that were run by servers of an evacuated failure domain.
func (sys *system) verifyEvacuations(rec *record, calmSince time.Time) {
	sys.evacuations.mu.Lock()
	defer sys.evacuations.mu.Unlock()
	for _, s := range slices.Concat(sys.engines, sys.services, sys.crashing.allEverStarted()) {
		for _, a := range s.Arrivals() {
			for _, e := range sys.evacuations.all {
				if a.Executed && s.FailureDomain == e.domain && a.At.After(e.judgedFrom(calmSince)) && a.At.Before(e.until) {
					rec.reportViolation("request %s reached %s in %s %.3f s after the evacuation and %.3f s before its end", a.ID, s.ID, e.domain, a.At.Sub(e.from).Seconds(), e.until.Sub(a.At).Seconds())
				}
			}
		}
	}
}
