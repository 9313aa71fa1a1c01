package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"dandelionsill.org/gateway/forward"
	"dandelionsill.org/platform/hosted/hostedtest"
)

const (
	randomGateways = 3
	randomServers  = 2
	// answerMargin is how long after its deadline a request may be answered.
	answerMargin = 50 * time.Millisecond
	// calmTime is longer than reports take, and quietTime than the permits of a lost gateway count.
	calmTime  = 100 * time.Millisecond
	quietTime = 12 * time.Second
)

// step is something that happens to a fleet.
type step struct {
	kind, mode string
	at         int           // the gateway or server
	deadline   time.Duration // of a request
	wait       time.Duration // after the step
}

var (
	calmKinds = []string{"score", "score", "score", "score", "write", "write", "write", "write", "mode", "mode", "mode", "leave", "switch", "drain"}
	lossKinds = []string{"cut", "join", "freeze", "thaw", "stop", "end"}
	scripts   = rapid.OneOf(scriptsOf(calmKinds), scriptsOf(slices.Concat(calmKinds, lossKinds)))
)

// scriptsOf returns scripts with steps of these kinds.
func scriptsOf(kinds []string) *rapid.Generator[[]step] {
	millis := func(t *rapid.T, label string, values ...int) time.Duration {
		return time.Duration(rapid.SampledFrom(values).Draw(t, label)) * time.Millisecond
	}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind: rapid.SampledFrom(kinds).Draw(t, "kind"), mode: rapid.SampledFrom(modes).Draw(t, "mode"), at: rapid.IntRange(0, randomGateways-1).Draw(t, "at"),
			deadline: millis(t, "deadline_ms", 2, 30, 200, 1000, 1000), wait: millis(t, "wait_ms", 0, 0, 0, 1, 5, 20, 60, 120, 300),
		}
	}), 1, 60)
}

// player plays steps and holds what came of the requests.
type player struct {
	fleet    *fleet
	requests sync.WaitGroup
	leave    []context.CancelFunc // of each request, in order
	notRun   map[string]bool      // requests that were answered so
	sent     int

	mu       sync.Mutex
	problems []string
}

// Guards against requests that were answered "not run" and ran, unsafe ones that ran twice, requests
// without an answer by their deadline, and places or asks that are left over, whatever servers do
// with them and whichever brokers, gateways and callers are lost meanwhile.
func TestNotRunIsTrueInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := scripts.Draw(rt, "script")
		var problems []string
		synctest.Test(t, func(t *testing.T) { problems = play(t, script) })
		if len(problems) > 0 {
			rt.Fatalf("%s", strings.Join(problems, "\n"))
		}
	})
}

func play(t *testing.T, script []step) []string {
	p := &player{fleet: newFleet(t, randomGateways, randomServers), notRun: map[string]bool{}}
	for _, s := range script {
		p.play(t, s)
		time.Sleep(s.wait)
	}
	for _, g := range p.fleet.gateways {
		g.setFrozen(false)
	}
	p.requests.Wait()
	time.Sleep(calmTime)
	if !slices.ContainsFunc(script, func(s step) bool { return slices.Contains(lossKinds, s.kind) }) {
		p.checkPlaces()
	}
	time.Sleep(quietTime)
	p.checkPlaces()
	p.checkRuns()
	return p.problems
}

func (p *player) play(t *testing.T, s step) {
	g, server := p.fleet.gateways[s.at], p.fleet.servers[s.at%randomServers]
	switch s.kind {
	case "score", "write":
		p.send(t, g, s)
	case "mode":
		server.setMode(s.mode)
	case "leave":
		if len(p.leave) > 0 {
			p.leave[0]()
			p.leave = p.leave[1:]
		}
	case "cut", "join":
		g.setDown(s.kind == "cut")
	case "freeze", "thaw":
		g.setFrozen(s.kind == "freeze")
	case "stop":
		g.broker.Leave()
	case "end":
		g.stop()
	case "switch":
		f := &p.fleet.feeds
		f.change(func() { f.shared = !f.shared })
	case "drain":
		f := &p.fleet.feeds
		f.change(func() { f.servers[s.at%randomServers].Leaving = !f.servers[s.at%randomServers].Leaving })
	}
}

// send sends a request in the background.
func (p *player) send(t *testing.T, g *gateway, s step) {
	p.sent++
	id := s.kind + strconv.Itoa(p.sent)
	path := "/" + s.kind + "/" + id
	call := forward.Call{
		Route: g.view.Current().Table.Match("app.example", path), ID: id, Method: http.MethodPost, URI: path, Host: "app.example",
		Header: http.Header{hostedtest.HeaderAttempt: {id}}, Body: []byte("x"), Deadline: time.Now().Add(s.deadline), CallerTimeout: s.deadline,
	}
	ctx, leave := context.WithCancel(t.Context())
	p.leave = append(p.leave, leave)
	p.requests.Go(func() {
		_, err := g.forward.Send(ctx, call)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.notRun[id] = err != nil && err.NotRun()
		if late := time.Since(call.Deadline); late > answerMargin {
			p.problems = append(p.problems, fmt.Sprintf("%s was answered %v late", id, late))
		}
	})
}

func (p *player) checkRuns() {
	for id, n := range p.fleet.runs.n {
		if p.notRun[id] {
			p.problems = append(p.problems, id+" was answered as not run and ran")
		}
		if n > 1 && strings.HasPrefix(id, "write") {
			p.problems = append(p.problems, fmt.Sprintf("%s ran %d times", id, n))
		}
	}
}

func (p *player) checkPlaces() {
	synctest.Wait()
	if waiting, running := p.fleet.load(); waiting+running > 0 {
		p.problems = append(p.problems, fmt.Sprintf("%d asks and %d permits are left", waiting, running))
	}
}
