package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/permits"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// The servers of the plain service take 100 to 200 requests/s together.
const (
	plainService    = "plain"
	serviceSlots    = 3
	serviceWorkTime = 40 * time.Millisecond
	// serviceQueue holds the two requests above the slots for which a broker grants permits, and
	// two that gateways send without a broker.
	serviceQueue = 4
)

const (
	// largeCallers is the number of the large organisation's callers in a burst: at two servers,
	// of which one is slow, a request of theirs would wait for longer than its objective.
	largeCallers = 32
	// callTime is how long a caller of a burst repeats a call that was not run, the timeout of
	// its route.
	callTime = 2 * time.Second
	// overloadTime is the length of the burst whose load is judged, more than callTime so that
	// refused calls return during the burst.
	overloadTime = 3 * time.Second
	// maxArrivalsPerCall and maxTurnedAway are the bounds for what servers receive while permits
	// work: with a place for each request, only failures are repeated and few servers are full.
	maxArrivalsPerCall = 1.5
	maxTurnedAway      = 0.1
	// gatewayMemoryMB is the memory that gateways are told to use, MB.
	gatewayMemoryMB = 144
)

// broker returns the gateway that is the first choice for the broker of the plain service.
func (sys *system) broker() *process {
	members := make([]permits.Member, 0, len(sys.gatewayProcs))
	byName := map[string]*process{}
	for _, g := range sys.gatewayProcs {
		members = append(members, permits.Member{VM: g.name})
		byName[g.name] = g
	}
	return byName[permits.Ranked(plainService, "", 0, members)[0].VM]
}

// burst is the callers of all organisations, who send more than the servers can take.
type burst struct {
	sys  *system
	rec  *record
	seed uint64
	name string

	mu     sync.Mutex
	calls  int
	served map[string]int // by organisation
}

func newBurst(sys *system, rec *record, seed uint64, name string) *burst {
	return &burst{sys: sys, rec: rec, seed: seed, name: name, served: map[string]int{}}
}

// run sends calls until ctx ends, and returns when all have ended.
func (b *burst) run(ctx context.Context) {
	var callers sync.WaitGroup
	for i := range largeCallers {
		callers.Go(func() { b.runCaller(ctx, organisation, i) })
	}
	for i, name := range smallOrganisations {
		callers.Go(func() { b.runCaller(ctx, name, largeCallers+i) })
	}
	callers.Wait()
}

func (b *burst) runCaller(ctx context.Context, org string, number int) {
	c := newClient(b.sys, b.rec, b.seed, uint64(6000+number))
	c.org = org
	for n := 0; ctx.Err() == nil; n++ {
		ok := c.call(fmt.Sprintf("%s_%s_%d_%d", b.name, org, number, n))
		b.mu.Lock()
		b.calls++
		if ok {
			b.served[org]++
		}
		b.mu.Unlock()
	}
}

// senderOf returns the organisation of a request.
func senderOf(id string) string {
	if parts := strings.Split(id, "_"); len(parts) > 1 {
		return parts[1]
	}
	return organisation
}

// call sends a request, and again after each answer that says that it was not run, and reports
// whether it was served. As callers do, it waits for the time that the answer says, up to a third
// of the time left.
func (c *client) call(id string) bool {
	path, atMostOnce := "/score/x", c.rng.IntN(2) == 0
	if atMostOnce {
		path = "/write/x"
	}
	deadline := time.Now().Add(callTime)
	for n := 0; ; n++ {
		left := time.Until(deadline)
		if left < serviceWorkTime {
			return false
		}
		attempt := fmt.Sprintf("%s_%d", id, n)
		status, header, body := c.askAs(context.Background(), c.randomGateway(), http.MethodPost, path, attempt, []byte("b"), http.Header{
			hostedtest.HeaderKey: {c.key()}, hostedtest.HeaderDeadline: {strconv.FormatInt(left.Milliseconds(), 10)},
		})
		c.checkAnswer(attempt, atMostOnce, 0, status, header, body)
		if o := (outcome{status: status}); !o.isNotRun() {
			return status == http.StatusOK
		}
		seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		if err != nil {
			c.rec.reportViolation("request %s got %d and Retry-After %q", attempt, status, header.Get("Retry-After"))
			return false
		}
		time.Sleep(min(time.Duration(seconds*float64(time.Second)), time.Until(deadline)/3))
	}
}

// sendBursts sends bursts of 0.5 to 1.5 s with pauses until ctx ends.
func (sys *system) sendBursts(ctx context.Context, rec *record, seed uint64) {
	c := newClient(sys, rec, seed, 50)
	for n := 0; ctx.Err() == nil; n++ {
		length := time.Duration(500+c.rng.IntN(1000)) * time.Millisecond
		during, cancel := context.WithTimeout(ctx, length)
		newBurst(sys, rec, seed+uint64(n), fmt.Sprintf("burst%d", n)).run(during)
		cancel()
		select {
		case <-ctx.Done():
		case <-time.After(length): // the pause
		}
	}
}

// startLeaving announces that the last server of the plain service leaves.
func (sys *system) startLeaving() {
	s := sys.services[serviceCount-1]
	sys.store.Put(hostedtest.TopicServers, s.ID, s.Entry("draining"))
}

// verifyOverload sends a burst to one slow server, one that fails part of its requests and one
// that leaves, and checks what the servers receive and that all organisations are served. There
// are no other faults. It returns the figures.
func (sys *system) verifyOverload(rec *record, seed uint64) string {
	leaving := sys.services[serviceCount-1]
	before := len(leaving.Arrivals())
	sys.services[0].Fail(hostedtest.ServerFaults{Slowdown: 3})
	sys.services[1].Fail(hostedtest.ServerFaults{FailEvery: 10})
	b := newBurst(sys, rec, seed, "overload")
	ctx, cancel := context.WithTimeout(context.Background(), overloadTime)
	defer cancel()
	var large sync.WaitGroup
	reader := newClient(sys, rec, seed, 41)
	reader.faultless = true
	large.Go(func() { reader.sendLarge(ctx, "overlarge") })
	b.run(ctx)
	large.Wait()
	sys.services[0].Fail(hostedtest.ServerFaults{})
	sys.services[1].Fail(hostedtest.ServerFaults{})
	arrivals, turnedAway := sys.countArrivals(b)
	if float64(arrivals) > maxArrivalsPerCall*float64(b.calls) {
		rec.reportViolation("overload: %d arrivals of %d calls", arrivals, b.calls)
	}
	if float64(turnedAway) > maxTurnedAway*float64(arrivals) {
		rec.reportViolation("overload: servers turned %d of %d requests away", turnedAway, arrivals)
	}
	if after := len(leaving.Arrivals()); after > before {
		rec.reportViolation("overload: %d requests were sent to server %s, which leaves", after-before, leaving.ID)
	}
	for _, name := range append([]string{organisation}, smallOrganisations...) {
		if b.served[name] == 0 {
			rec.reportViolation("overload: no call of %s was served", name)
		}
	}
	return fmt.Sprintf("overload: %d calls, %d arrivals, %d turned away, served %v", b.calls, arrivals, turnedAway, b.served)
}

// countArrivals returns how many requests of a burst the servers received and how many of these
// they refused.
func (sys *system) countArrivals(b *burst) (arrivals, turnedAway int) {
	for _, s := range sys.services {
		for _, a := range s.Arrivals() {
			if !strings.HasPrefix(a.ID, b.name+"_") {
				continue
			}
			arrivals++
			if !a.Executed {
				turnedAway++
			}
		}
	}
	return arrivals, turnedAway
}

// verifyMemory checks the most memory that each gateway had since its start, and returns the
// highest, kB.
func (sys *system) verifyMemory(rec *record) int {
	peak := 0
	for _, g := range sys.gatewayProcs {
		g.mu.Lock()
		pid := g.cmd.Process.Pid
		g.mu.Unlock()
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		require.NoError(sys.t, err)
		_, rest, _ := strings.Cut(string(status), "VmHWM:")
		kB, err := strconv.Atoi(strings.Fields(rest)[0])
		require.NoError(sys.t, err)
		if kB > gatewayMemoryMB*1000 {
			rec.reportViolation("%s had %d kB of memory", g.name, kB)
		}
		peak = max(peak, kB)
	}
	return peak
}
