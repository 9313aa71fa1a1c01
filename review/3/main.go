// Case 3: a stream whose server falls silent is never answered, whatever its route's timeout.
package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"dandelionsill.org/platform/hosted/hostedtest"

	"review/lab"
)

const (
	engineCount = 8
	streams     = 96
	timeout     = 3000 * time.Millisecond // of the route
	goal        = 1000 * time.Millisecond // of the route
	patience    = 4 * goal                // a client leaves a stream without an event after that
	slack       = 500 * time.Millisecond  // of the rule
	deadline    = 10 * time.Second        // that clients state
)

func main() { lab.Run(run) }

func run(l *lab.Lab, trouble bool) (bool, error) {
	ctx := context.Background()
	store := hostedtest.NewStore()
	defer store.Close()
	store.Put(hostedtest.TopicOperator, "config", config())
	var servers []*hostedtest.Server
	for i := range engineCount {
		e := hostedtest.NewEngine(fmt.Sprintf("e%d", i), "engines", "m")
		defer e.Close()
		e.EventInterval, e.Events, e.Slots = 40*time.Millisecond, 20, 8
		servers = append(servers, e)
	}
	stop := make(chan struct{})
	defer close(stop)
	go lab.Heartbeats(store, func() []*hostedtest.Server { return servers }, stop)
	gateways, err := lab.StartGateways(ctx, l, store, 2)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if trouble {
		servers[0].Fail(hostedtest.ServerFaults{Unresponsive: true})
		l.Note("engine e0 accepts requests and stays silent")
	}

	var mu sync.Mutex
	unanswered, late, answered := 0, 0, 0
	var clients sync.WaitGroup
	for i := range streams {
		clients.Go(func() {
			id := fmt.Sprintf("stream-%d", i)
			start := time.Now()
			attempt, cancel := context.WithTimeout(ctx, patience)
			defer cancel()
			a := lab.Send(attempt, gateways[i%len(gateways)], http.MethodPost, "/talk/"+id, id, deadline, []byte("x"))
			took := time.Since(start)
			mu.Lock()
			defer mu.Unlock()
			l.Note("%s was sent at %s; status %d after %.3f s, %v", id, l.At(start), a.Status, took.Seconds(), a.Err)
			if a.Status == http.StatusOK {
				answered++
			}
			if took > timeout {
				unanswered++
			}
			if took > timeout+slack {
				late++
			}
		})
		time.Sleep(8 * time.Millisecond)
	}
	clients.Wait()
	for _, a := range servers[0].Arrivals() {
		l.Note("%s reached e0 at %s", a.ID, l.At(a.At))
	}
	l.Note("%d of %d streams were answered whole; %d had no final answer at the route's timeout, %d none %v later", answered, streams, unanswered, late, slack)
	return late >= 8 && 2*late > unanswered, nil
}

// config returns the configuration of the stand-in with one more route, to the engines: its streams
// may not be resumed.
func config() map[string]any {
	c := hostedtest.Config(1)
	routes := c["routes"].([]map[string]any)
	for _, r := range routes {
		if r["name"] == "chat" {
			talk := map[string]any{}
			for field, value := range r {
				talk[field] = value
			}
			talk["name"], talk["resumable"], talk["timeout_ms"], talk["goal_ms"] = "talk", false, timeout.Milliseconds(), goal.Milliseconds()
			for field, value := range talk {
				if value == "/chat/" {
					talk[field] = "/talk/"
				}
			}
			routes = append(routes, talk)
		}
	}
	c["routes"] = routes
	return c
}
