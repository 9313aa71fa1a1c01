package permits

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	decide "dandelionsill.org/decide/permits"
	"dandelionsill.org/decide/residency"
)

// regionEvent is something that happens to a world.
type regionEvent struct {
	kind      string
	region    string
	perSecond float64
	wait      time.Duration // after the event
}

var regionEvents = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) regionEvent {
	return regionEvent{
		kind:      rapid.SampledFrom([]string{"offer", "offer", "offer", "samples", "homes", "cut", "heal", "slow", "fast", "leave", "return"}).Draw(t, "kind"),
		region:    rapid.SampledFrom([]string{"near", "far"}).Draw(t, "region"),
		perSecond: rapid.SampledFrom([]float64{20, 200, 600}).Draw(t, "per second"),
		wait:      time.Duration(rapid.SampledFrom([]int{0, 10, 100, 500, 3000}).Draw(t, "ms")) * time.Millisecond,
	}
}), 1, 16)

// Guards against places that stay taken, servers that get more than their queues take, requests
// outside their allowed regions and calls that never end, in any order of bursts, calls of samples,
// cuts of the link, slow regions and regions without servers.
func TestNothingLeaksBetweenRegions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := regionEvents.Draw(rt, "events")
		var problems []string
		synctest.Test(t, func(t *testing.T) { problems = playRegions(t, script) })
		if len(problems) > 0 {
			rt.Fatalf("%v", problems)
		}
	})
}

func playRegions(t *testing.T, script []regionEvent) (problems []string) {
	w := newWorld(t, true, 2, 1)
	var offers sync.WaitGroup
	heal := func() {}
	for _, e := range script {
		offer := func(name string, ask decide.Ask) {
			offers.Go(func() { w.offer(e.region, name, e.perSecond, 500*time.Millisecond, ask) })
		}
		switch e.kind {
		case "offer":
			offer("callers", decide.Ask{})
		case "samples":
			offer("samples", decide.Ask{Internal: true})
		case "homes":
			offer("homes of "+e.region, decide.Ask{Regions: residency.Only([]string{e.region})})
		case "cut":
			heal()
			heal = sync.OnceFunc(w.cutLink())
		case "heal":
			heal()
		case "slow":
			w.setSlow(e.region, 6)
		case "fast":
			w.setSlow(e.region, 1)
		case "leave", "return":
			w.setLeaving(e.region, e.kind == "leave")
		}
		time.Sleep(e.wait)
	}
	offers.Wait()
	heal()
	w.calls.Wait()
	time.Sleep(gatewayTimeout + 10*time.Second)
	if held, waiting := w.inUse(); held+waiting > 0 {
		problems = append(problems, fmt.Sprintf("%d permits held, %d asks waiting", held, waiting))
	}
	for server, most := range w.most {
		if most > 2*(worldSlots+1) {
			problems = append(problems, fmt.Sprintf("%d requests at %s", most, server))
		}
	}
	for _, region := range []string{"near", "far"} {
		if n := w.of("homes of " + region); n.away > 0 {
			problems = append(problems, fmt.Sprintf("outside of %s: %+v", region, n))
		}
	}
	return problems
}

func (w *world) setSlow(region string, factor int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		if s.Region == region {
			w.slow[s.ID] = factor
		}
	}
}

// setLeaving replaces the list of servers.
func (w *world) setLeaving(region string, leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	servers := slices.Clone(w.servers)
	for i := range servers {
		if servers[i].Region == region {
			servers[i].Leaving = leaving
		}
	}
	w.servers = servers
}
