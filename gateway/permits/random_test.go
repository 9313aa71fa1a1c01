package permits

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"dandelionsill.org/decide/evidence"
	decide "dandelionsill.org/decide/permits"
)

// event is something that happens to a fleet.
type event struct {
	kind    string
	gateway int           // the client, or the broker in rank
	wait    time.Duration // after the event
}

var events = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
	return event{
		kind:    rapid.SampledFrom([]string{"ask", "ask", "ask", "ask", "done", "done", "leave", "kill", "restart", "freeze", "thaw", "suspend"}).Draw(t, "kind"),
		gateway: rapid.IntRange(0, randomGateways-1).Draw(t, "gateway"),
		wait:    time.Duration(rapid.SampledFrom([]int{0, 0, 1, 5, 20, 60, 300, 1200}).Draw(t, "ms")) * time.Millisecond,
	}
}), 1, 60)

const (
	randomGateways = 3
	randomBrokers  = 2
	randomSlots    = 3
	randomDeadline = 5 * time.Second
)

// player plays events and holds what came of the asks.
type player struct {
	fleet   *fleet
	clients []*Client
	leave   []context.CancelFunc // of each ask, in order
	thaw    map[int]func()
	asks    sync.WaitGroup

	mu       sync.Mutex
	permits  []*Permit
	problems []string
}

// Guards against places that stay taken, permits that are given back twice, and asks that never
// end, whatever the order in which calls come and go and processes are lost, frozen and suspended.
func TestNothingLeaksInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := events.Draw(rt, "events")
		var problems []string
		synctest.Test(t, func(t *testing.T) { problems = play(t, script) })
		if len(problems) > 0 {
			rt.Fatalf("%v", problems)
		}
	})
}

func play(t *testing.T, script []event) []string {
	p := &player{fleet: newFleet(t, randomBrokers, 1, randomSlots), thaw: map[int]func(){}}
	for i := range randomGateways {
		p.clients = append(p.clients, p.fleet.client(fmt.Sprint("gateway-", i)))
	}
	for _, e := range script {
		p.play(t, e)
		time.Sleep(e.wait)
	}
	p.finish(t)
	return p.problems
}

func (p *player) play(t *testing.T, e event) {
	broker := e.gateway % randomBrokers
	switch e.kind {
	case "ask":
		p.ask(t, e.gateway)
	case "done":
		p.done(1)
	case "leave":
		if len(p.leave) > 0 {
			p.leave[0]()
			p.leave = p.leave[1:]
		}
	case "kill":
		p.fleet.kill(broker)
	case "restart":
		p.fleet.restart(broker)
	case "freeze":
		if p.thaw[broker] == nil {
			p.thaw[broker] = p.fleet.freeze(broker)
		}
	case "thaw":
		p.thawBroker(broker)
	case "suspend":
		p.fleet.boot.Add(int64(time.Second))
	}
}

func (p *player) ask(t *testing.T, gateway int) {
	ctx, leave := context.WithTimeout(t.Context(), randomDeadline)
	p.leave = append(p.leave, leave)
	p.asks.Go(func() {
		o := acquire(ctx, p.clients[gateway], decide.Ask{Deadline: randomDeadline})
		p.mu.Lock()
		defer p.mu.Unlock()
		if o.permit != nil {
			p.permits = append(p.permits, o.permit)
		} else if o.err == nil && o.refusal.Kind != decide.DeadlineTooShort {
			p.problems = append(p.problems, fmt.Sprintf("refused: %+v", o.refusal))
		}
	})
}

// done gives back the oldest permits, each of them twice.
func (p *player) done(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, permit := range p.permits[:min(n, len(p.permits))] {
		permit.Done(time.Millisecond, evidence.Answered)
		permit.Done(time.Millisecond, evidence.Failed)
	}
	p.permits = p.permits[min(n, len(p.permits)):]
}

func (p *player) thawBroker(i int) {
	if thaw := p.thaw[i]; thaw != nil {
		thaw()
		delete(p.thaw, i)
	}
}

// finish ends all faults and calls, and checks that the first broker in rank is used and free.
func (p *player) finish(t *testing.T) {
	for i := range randomBrokers {
		p.thawBroker(i)
		p.fleet.restart(i)
	}
	for range 4 { // places become free, the first in rank is found again
		p.asks.Wait()
		p.done(len(p.permits))
		time.Sleep(maxLostTime / 2)
		for gateway := range randomGateways {
			p.ask(t, gateway)
		}
	}
	p.asks.Wait()
	synctest.Wait()
	first := p.fleet.ranked(0)
	if _, used := first.counts(); used != randomGateways || len(p.permits) != randomGateways {
		p.problems = append(p.problems, fmt.Sprintf("%d permits in use at the first broker, %d held, want %d", used, len(p.permits), randomGateways))
	}
	p.done(len(p.permits))
	time.Sleep(10 * reportDelay)
	synctest.Wait()
	if waiting, used := first.counts(); waiting+used > 0 {
		p.problems = append(p.problems, fmt.Sprintf("%d asks and %d permits leaked", waiting, used))
	}
	for i := range randomBrokers {
		if broker := p.fleet.ranked(i); broker.unknown > 0 {
			p.problems = append(p.problems, fmt.Sprintf("broker %d: %d reports on permits that are not in use", i, broker.unknown))
		}
	}
}
