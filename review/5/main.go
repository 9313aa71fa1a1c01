// Command case-5 stops a gateway as the platform does, with SIGTERM and SIGKILL after the grace period, and sends
// streams over connections that callers keep open.
package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"dandelionsill.org/platform/hosted/hostedtest"
	"review/testbed"
)

const (
	grace = 8 * time.Second
	// excusedUntil is how long after the SIGTERM a request may be sent for which the rule has an excuse.
	excusedUntil = 3 * time.Second

	// longStreams last from longBefore before the SIGTERM until 6.5 s after it, which is within the grace period.
	longStreams = 4
	longBefore  = time.Second
	longEvents  = 75
	// lateStreams of 3 s are sent after the SIGTERM, each over a connection that was used once before it.
	lateStreams   = 20
	lateEvents    = 30
	lateFirst     = 3500 * time.Millisecond
	lateInterval  = 130 * time.Millisecond
	eventInterval = 100 * time.Millisecond
	warmInterval  = 20 * time.Millisecond

	deadline = 12 * time.Second
)

// config returns a configuration with a second streaming route, to a service of its own. Its streams may not be resumed.
func config() map[string]any {
	c := hostedtest.Config(1)
	routes := c["routes"].([]map[string]any)
	for _, r := range routes {
		if r["name"] != "chat" {
			continue
		}
		brief := maps.Clone(r)
		for field, value := range r {
			if value == "/chat/" {
				brief[field] = "/brief/"
			}
		}
		brief["name"], brief["service"], brief["resumable"] = "brief", "brief", false
		c["routes"] = append(routes, brief)
	}
	c["services"] = append(c["services"].([]map[string]any), map[string]any{"name": "brief", "max_conns": 150, "engine": map[string]any{"slots": 8}})
	return c
}

// late is a stream that was sent after the SIGTERM.
type late struct {
	id     string
	sentAt time.Duration // after the SIGTERM
	status int
	err    error
}

func main() {
	c := testbed.Start()
	store := hostedtest.NewStore()
	store.Put(hostedtest.TopicOperator, "config", config())
	var brief []*hostedtest.Server
	for i := range 4 {
		for _, service := range []string{"engines", "brief"} {
			e := hostedtest.NewEngine(fmt.Sprintf("%s-%d", service, i), service, "m")
			e.EventInterval, e.Events, e.Slots = eventInterval, longEvents, 8
			if service == "brief" {
				e.Events = lateEvents
				brief = append(brief, e)
			}
			c.Register(store, e)
		}
	}
	c.Register(store, hostedtest.NewServer("p0", "plain"))
	g, other := c.Gateway("front-0", store.Addr()), c.Gateway("front-1", store.Addr())
	g.WaitReady("/score/ready")
	other.WaitReady("/score/ready")

	var callers sync.WaitGroup
	for i := range longStreams {
		callers.Go(func() {
			a := c.Stream(g, fmt.Sprintf("/chat/%d", i), fmt.Sprintf("long%d", i), deadline, 2*time.Second)
			c.Log("stream long%d: status %d after %v, %v", i, a.Status, a.Took.Round(time.Millisecond), a.Err)
		})
	}
	var mu sync.Mutex
	var sent []late
	stopped := make(chan time.Time, lateStreams)
	var warm sync.WaitGroup
	for i := range lateStreams {
		warm.Add(1)
		callers.Go(func() {
			l := sendLate(c, g, i, warm.Done, stopped)
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, l)
		})
	}
	warm.Wait()
	time.Sleep(longBefore)
	at := time.Now()
	if c.Trouble {
		g.Signal(syscall.SIGTERM)
		time.AfterFunc(grace, g.Kill)
	}
	for range lateStreams {
		stopped <- at
	}
	callers.Wait()
	judge(c, brief, sent)
}

// sendLate uses a connection once, keeps it open, and sends a stream over it at a time after the gateway was stopped.
func sendLate(c *testbed.Case, g *testbed.Process, n int, warmed func(), stopped <-chan time.Time) late {
	conn, err := net.Dial("tcp", g.Callers)
	if err != nil {
		c.Finish(testbed.NotRun, "%v", err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	time.Sleep(time.Duration(n) * warmInterval) // so that the one server takes all of them
	if status, err := exchange(conn, reader, "/score/x", fmt.Sprintf("warm%d", n)); err != nil || status != http.StatusOK {
		c.Finish(testbed.NotRun, "status %d, %v before the stop", status, err)
	}
	warmed()
	l := late{id: fmt.Sprintf("late%d", n), sentAt: lateFirst + time.Duration(n)*lateInterval}
	time.Sleep(time.Until((<-stopped).Add(l.sentAt)))
	start := time.Now()
	l.status, l.err = exchange(conn, reader, "/brief/x", l.id)
	c.Log("stream %s, sent %v after the stop: status %d, ended after %v, %v", l.id, l.sentAt, l.status, time.Since(start).Round(time.Millisecond), l.err)
	return l
}

// exchange sends a request over a connection and reads the whole answer.
func exchange(conn net.Conn, reader *bufio.Reader, path, id string) (int, error) {
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: 1\r\n\r\nx",
		path, testbed.Host, hostedtest.HeaderAttempt, id, hostedtest.HeaderDeadline, deadline.Milliseconds())
	if err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// judge counts the late streams that reached a server and ended without a complete answer.
func judge(c *testbed.Case, servers []*hostedtest.Server, sent []late) {
	reached := map[string]bool{}
	for _, s := range servers {
		for _, a := range s.Arrivals() {
			reached[a.ID] = true
			c.Log("%s runs %s", s.ID, a.ID)
		}
	}
	lost, whole := 0, 0
	for _, l := range sent {
		switch {
		case l.err == nil:
			whole++
		case reached[l.id] && l.sentAt > excusedUntil:
			lost++
		}
	}
	if lost > 0 {
		c.Finish(testbed.Broken, "%d of %d streams that a stopping gateway accepted more than %v after SIGTERM were cut off", lost, len(sent), excusedUntil)
	}
	c.Finish(testbed.Held, "%d of %d late streams were answered, none was cut off", whole, len(sent))
}
