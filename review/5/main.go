// Command case-5 lets one of eight engines hang a part of its requests, streams that may not be repeated, and measures
// whether their callers are answered at the route's timeout.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dandelionsill.org/platform/hosted/hostedtest"
	"review/testbed"
)

const (
	// gatewayCount and engineCount are those of sosv-ops; one of eight engines is within the share of 0.15 of
	// srv_grey.
	gatewayCount = 9
	engineCount  = 8
	routeTimeout = 2 * time.Second
	objective    = time.Second
	// answerSlack is how long after the timeout the rule waits for an answer.
	answerSlack = 500 * time.Millisecond
	deadline    = 10 * time.Second
	// patience is the gap after which callers abandon a stream: four times the objective.
	patience = 4 * objective
	// minUnanswered is how many unanswered requests make the case; the rule names no number.
	minUnanswered = 5

	calmTime = 4 * time.Second
	// greyTime and greyPart are how long the engine hangs which part of its requests.
	greyTime = 5 * time.Second
	greyPart = 0.4
	// greySpells is how often it does.
	greySpells = 2
	interval   = 20 * time.Millisecond // between two requests
)

func config() map[string]any {
	c := hostedtest.Config(1)
	for _, r := range c["routes"].([]map[string]any) {
		if r["name"] == "chat" {
			r["resumable"], r["timeout_ms"], r["goal_ms"] = false, routeTimeout.Milliseconds(), objective.Milliseconds()
		}
	}
	return c
}

// request is what the caller of one request saw.
type request struct {
	id, gateway string
	answer      testbed.Answer
}

func main() {
	c := testbed.Start()
	store := hostedtest.NewStore()
	store.Put(hostedtest.TopicOperator, "config", config())
	var isGrey atomic.Bool
	for i := range engineCount {
		e := hostedtest.NewEngine(fmt.Sprintf("e%d", i), "engines", "m")
		e.EventInterval, e.Events, e.Slots = 50*time.Millisecond, 24, 8
		if i == 0 {
			e.AdvertisedAddr = c.NewProxy(e.URL, func(r *http.Request) bool {
				if !isGrey.Load() || rand.Float64() >= greyPart {
					return false
				}
				c.Log("engine %s hangs %s", e.ID, r.Header.Get(hostedtest.HeaderAttempt))
				return true
			}).Addr()
		}
		c.Register(store, e)
	}
	var gateways []*testbed.Process
	for i := range gatewayCount {
		gateways = append(gateways, c.Gateway(fmt.Sprintf("front-%d", i), store.Addr()))
	}
	for _, g := range gateways {
		g.WaitReady()
	}
	go func() {
		for range greySpells {
			time.Sleep(calmTime)
			isGrey.Store(c.Trouble)
			c.Log("engine e0 hangs a part of its requests: %v", c.Trouble)
			time.Sleep(greyTime)
			isGrey.Store(false)
		}
	}()
	requests := send(c, gateways)
	judge(c, requests)
}

// send sends streams at a steady rate, each gateway in turn, and waits for their ends.
func send(c *testbed.Case, gateways []*testbed.Process) []request {
	var mu sync.Mutex
	var all []request
	var callers sync.WaitGroup
	start := time.Now()
	for i := 0; time.Since(start) < greySpells*(calmTime+greyTime); i++ {
		callers.Go(func() {
			r := request{id: fmt.Sprintf("s%04d", i), gateway: gateways[i%len(gateways)].Name}
			r.answer = c.Stream(gateways[i%len(gateways)], "/chat/"+r.id, r.id, deadline, patience)
			c.Log("stream %s at %s: status %d, head after %d ms, ended after %d ms, %v", r.id, r.gateway, r.answer.Status, r.answer.HeadAfter.Milliseconds(), r.answer.Took.Milliseconds(), r.answer.Err)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, r)
		})
		time.Sleep(interval)
	}
	callers.Wait()
	return all
}

// judge applies the rule: of the requests that are unanswered at the timeout, more than half are so half a second later.
func judge(c *testbed.Case, requests []request) {
	atTimeout, later, ok := 0, 0, 0
	for _, r := range requests {
		if r.answer.Status == http.StatusOK {
			ok++
		}
		if r.answer.HeadAfter > 0 && r.answer.HeadAfter <= routeTimeout {
			continue
		}
		atTimeout++
		if r.answer.HeadAfter == 0 || r.answer.HeadAfter > routeTimeout+answerSlack {
			later++
		}
	}
	c.Log("%d requests, %d answered with 200, %d unanswered after %v, %d of them %v later", len(requests), ok, atTimeout, routeTimeout, later, answerSlack)
	switch {
	case ok < len(requests)/2:
		c.Finish(testbed.NotRun, "only %d of %d streams were served", ok, len(requests))
	case later >= minUnanswered && 2*later > atTimeout:
		c.Finish(testbed.Broken, "%d of %d requests that were unanswered at the route's timeout had no answer half a second later", later, atTimeout)
	}
	c.Finish(testbed.Held, "%d requests were unanswered at the route's timeout, %d half a second later", atTimeout, later)
}
