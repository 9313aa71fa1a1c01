package forward_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"dandelionsill.org/decide/cold"
	"dandelionsill.org/decide/residency"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/platform"
)

const (
	placesGateways = 2
	placesServers  = 6
	// reconnectedAfter is how long after a gateway reaches the store again it has read all records.
	reconnectedAfter = 3 * time.Second
	// burstSize is the number of requests of a burst, more than the servers have places.
	burstSize = 20
	// coldTime is how much longer a cold server says that it is cold.
	coldTime = 2 * time.Second
)

// place is what the store says of one server's region and failure domain, from a time on.
type place struct {
	since     time.Time
	allowed   residency.Regions
	evacuated string // failure domain; empty: none
}

// storeCut is when a gateway did not reach the store.
type storeCut struct{ from, until time.Time }

// placesMove is something that happens to a fleet in several places.
type placesMove struct {
	kind, mode              string
	gateway, server         int
	regions, ofOrganisation residency.Regions
	domain                  string
	wait                    time.Duration
}

var placesMoves = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) placesMove {
	sets := rapid.Custom(func(t *rapid.T) residency.Regions {
		if rapid.Bool().Draw(t, "all") {
			return residency.Regions{}
		}
		return residency.Only(rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.ID[string]).Draw(t, "regions"))
	})
	return placesMove{
		kind: rapid.SampledFrom([]string{
			"score", "score", "score", "score", "write", "write", "burst", "burst", "mode", "mode", "configure", "evacuate", "evacuate", "take back", "cold",
			"cut", "join", "freeze", "thaw", "lose store", "find store",
		}).Draw(t, "kind"),
		mode:    rapid.SampledFrom(modes).Draw(t, "mode"),
		gateway: rapid.IntRange(0, placesGateways-1).Draw(t, "gateway"), server: rapid.IntRange(0, placesServers-1).Draw(t, "server"),
		regions: sets.Draw(t, "route"), ofOrganisation: sets.Draw(t, "organisation"), domain: rapid.SampledFrom([]string{"zone-a", "zone-b", "zone-c"}).Draw(t, "domain"),
		wait: time.Duration(rapid.SampledFrom([]int{0, 0, 0, 5, 60, 120, 400, 1500}).Draw(t, "wait_ms")) * time.Millisecond,
	}
}), 1, 60)

// placesPlayer plays moves and holds what the store said at which time.
type placesPlayer struct {
	*spread
	places  []place
	cuts    [placesGateways][]storeCut
	sent    int
	senders map[string]int // gateway by request

	answers sync.Mutex
	notRun  map[string]bool
}

// Guards against a request that any way of sending, with and without a broker, brings to a server
// outside its allowed regions, in an evacuated failure domain or beyond what a cold server takes,
// against one that was refused as "not run" and ran, and against an unsafe one that ran twice,
// whatever servers do and whichever gateways lose the broker or the store.
func TestNoRequestReachesAServerThatMustNotGetIt(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		shared, script := rapid.Bool().Draw(rt, "shared"), placesMoves.Draw(rt, "moves")
		care := &table.Cold{Rate: rapid.SampledFrom([]float64{2, 12, 60}).Draw(rt, "cold_rate")}
		if rapid.Bool().Draw(rt, "no cold servers") {
			care = nil
		}
		var problems []string
		synctest.Test(t, func(t *testing.T) { problems = playPlaces(t, script, shared, care) })
		if len(problems) > 0 {
			rt.Fatalf("%s", strings.Join(problems, "\n"))
		}
	})
}

func playPlaces(t *testing.T, script []placesMove, shared bool, care *table.Cold) []string {
	p := &placesPlayer{spread: spreadOut(newColdFleet(t, placesGateways, placesServers, care), shared), notRun: map[string]bool{}, senders: map[string]int{}}
	p.places = []place{{since: time.Now()}}
	for _, m := range script {
		p.play(t, m)
		time.Sleep(m.wait)
	}
	for i, g := range p.gateways {
		g.setFrozen(false)
		p.setCut(i, false)
	}
	p.requests.Wait()
	time.Sleep(quietTime)
	problems := p.checkArrivals()
	if care != nil {
		problems = append(problems, p.checkCold(cold.Bound{Rate: care.Rate, Excess: coldExcess, Slack: coldSlack})...)
	}
	return append(problems, p.checkAnswers()...)
}

func (p *placesPlayer) play(t *testing.T, m placesMove) {
	g := p.gateways[m.gateway]
	switch m.kind {
	case "score", "write":
		p.send(t, m.kind, m.gateway)
	case "burst":
		for range burstSize {
			p.send(t, "write", m.gateway)
		}
	case "mode":
		p.servers[m.server].setMode(m.mode)
	case "configure":
		p.configure(m.regions, m.ofOrganisation)
		next := p.places[len(p.places)-1]
		next.allowed = m.regions.And(m.ofOrganisation)
		p.note(next)
	case "evacuate", "take back":
		p.evacuate(m.domain, m.kind == "take back")
	case "cold":
		p.feeds.change(func() { p.feeds.servers[m.server].ColdLeft = coldTime - p.feeds.servers[m.server].ColdLeft })
	case "cut", "join":
		g.setDown(m.kind == "cut")
	case "freeze", "thaw":
		g.setFrozen(m.kind == "freeze")
	case "lose store", "find store":
		p.setCut(m.gateway, m.kind == "lose store")
	}
}

// note adds what the store says from now on.
func (p *placesPlayer) note(next place) {
	next.since = time.Now()
	p.places = append(p.places, next)
}

// evacuate begins the evacuation of a failure domain, in place of the one in force, or ends that.
func (p *placesPlayer) evacuate(domain string, over bool) {
	next := p.places[len(p.places)-1]
	put := func(domain string, over bool) {
		p.feeds.change(func() {
			p.feeds.evacuations[domain] = platform.Change{Offset: p.feeds.version, Evacuation: &platform.Evacuation{FailureDomain: domain, Over: over}}
		})
	}
	if next.evacuated != "" {
		put(next.evacuated, true)
	}
	next.evacuated = ""
	if !over {
		put(domain, false)
		next.evacuated = domain
	}
	p.note(next)
}

// setCut cuts a gateway off from the store, or ends that.
func (p *placesPlayer) setCut(gateway int, cut bool) {
	if p.gateways[gateway].feeds.isCut.Swap(cut) == cut {
		return
	}
	if cut {
		p.cuts[gateway] = append(p.cuts[gateway], storeCut{from: time.Now()})
		return
	}
	p.cuts[gateway][len(p.cuts[gateway])-1].until = time.Now()
}

// send sends a request in the background.
func (p *placesPlayer) send(t *testing.T, route string, gateway int) {
	p.sent++
	id := fmt.Sprintf("%s%d", route, p.sent)
	p.senders[id] = gateway
	g, call := p.gateways[gateway], p.callAt(gateway, route, id)
	p.requests.Go(func() {
		_, err := g.forward.Send(t.Context(), call)
		p.answers.Lock()
		defer p.answers.Unlock()
		p.notRun[id] = err != nil && err.NotRun()
	})
}

// oldestKnown returns the time of the oldest state of the store that a gateway may have had at a time.
func (p *placesPlayer) oldestKnown(gateway int, at time.Time) time.Time {
	oldest := at.Add(-inForceAfter)
	for _, c := range slices.Backward(p.cuts[gateway]) {
		if !c.from.After(at) && (c.until.IsZero() || at.Before(c.until.Add(reconnectedAfter))) {
			oldest, at = c.from.Add(-inForceAfter), c.from
		}
	}
	return oldest
}

// checkArrivals returns the requests that reached servers which no state of the store that their
// gateway may have had lets them reach.
func (p *placesPlayer) checkArrivals() []string {
	var problems []string
	for _, a := range p.arrivals {
		oldest, allowed := p.oldestKnown(p.senders[a.id], a.at), false
		for i, s := range p.places {
			ended := i+1 < len(p.places) && p.places[i+1].since.Before(oldest)
			allowed = allowed || !ended && !s.since.After(a.at) && s.allowed.Allows(a.region) && s.evacuated != "zone-"+a.region
		}
		if !allowed {
			problems = append(problems, fmt.Sprintf("%s of gateway %d reached %s in region %s", a.id, p.senders[a.id], a.server, a.region))
		}
	}
	return problems
}

// checkCold returns the servers that got more requests in a second than a cold one takes.
func (p *placesPlayer) checkCold(bound cold.Bound) []string {
	var problems []string
	for i, last := range p.arrivals {
		n := 0
		for _, a := range p.arrivals[:i+1] {
			if a.server == last.server && last.at.Sub(a.at) < time.Second {
				n++
			}
		}
		if n > bound.Burst() {
			problems = append(problems, fmt.Sprintf("%s got %d requests in a second, and takes %d", last.server, n, bound.Burst()))
		}
	}
	return problems
}

func (p *placesPlayer) checkAnswers() []string {
	var problems []string
	for id, n := range p.runs.n {
		if p.notRun[id] {
			problems = append(problems, id+" was answered as not run and ran")
		}
		if n > 1 && strings.HasPrefix(id, "write") {
			problems = append(problems, fmt.Sprintf("%s ran %d times", id, n))
		}
	}
	return problems
}
