package forward_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/decide/residency"
	"dandelionsill.org/decide/topology"
	"dandelionsill.org/gateway/forward"
	"dandelionsill.org/gateway/gatewaytest"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// inForceAfter is how long after a change of the configuration all gateways have it.
const inForceAfter = 200 * time.Millisecond

// setting is what a configuration says of regions, from a time on.
type setting struct {
	since                   time.Time
	regions, ofOrganisation residency.Regions
}

// arrival is a request at a server.
type arrival struct {
	id, region, server string
	at                 time.Time
}

// spread is a fleet with servers in the regions a, b and c.
type spread struct {
	*fleet
	settings []setting
	requests sync.WaitGroup

	mu       sync.Mutex
	arrivals []arrival
}

func newSpread(t *testing.T, shared bool) *spread { return spreadOut(newFleet(t, 2, 6), shared) }

// spreadOut puts the servers of a fleet into the regions in turn.
func spreadOut(f *fleet, shared bool) *spread {
	s := &spread{fleet: f}
	for i, server := range s.servers {
		zone := []string{"a", "b", "c"}[i%3]
		server.arrived = func(id string) { s.record(id, zone, server.entry.ID) }
		server.entry.FailureDomain = "zone-" + zone
	}
	s.feeds.change(func() {
		s.feeds.shared = shared
		for i := range s.feeds.servers {
			s.feeds.servers[i].FailureDomain = s.servers[i].entry.FailureDomain
		}
	})
	s.configure(residency.Regions{}, residency.Regions{})
	time.Sleep(inForceAfter)
	return s
}

func (s *spread) record(id, region, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, arrival{id, region, server, time.Now()})
}

// regionsOf returns the regions of the servers that a request arrived at, in order.
func (s *spread) regionsOf(id string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var regions []string
	for _, a := range s.arrivals {
		if a.id == id {
			regions = append(regions, a.region)
		}
	}
	return regions
}

func (s *spread) configure(regions, ofOrganisation residency.Regions) {
	s.feeds.change(func() { s.feeds.regions, s.feeds.ofOrganisation = regions, ofOrganisation })
	s.settings = append(s.settings, setting{time.Now(), regions, ofOrganisation})
}

func (s *spread) call(id string) forward.Call { return s.callTo("score", id) }

func (s *spread) callTo(route, id string) forward.Call { return s.callAt(0, route, id) }

// callAt returns a call that arrives at a gateway now.
func (s *spread) callAt(gateway int, route, id string) forward.Call {
	path := "/" + route + "/" + id
	tb := s.gateways[gateway].view.Current().Table
	return forward.Call{
		Route: tb.Match("app.example", path), ID: id, Method: http.MethodPost, URI: path, Path: path, Host: "app.example", Organisation: "o",
		Regions: tb.RegionsOf("app.example", path, "o"), Header: http.Header{hostedtest.HeaderAttempt: {id}}, Body: []byte("x"), Deadline: time.Now().Add(time.Second),
	}
}

// wasAllowed reports whether a configuration that some gateway may have had at the time of an
// arrival allows the region.
func (s *spread) wasAllowed(a arrival) bool {
	for i, c := range s.settings {
		ended := i+1 < len(s.settings) && s.settings[i+1].since.Add(inForceAfter).Before(a.at)
		if !c.since.After(a.at) && !ended && c.regions.And(c.ofOrganisation).Allows(a.region) {
			return true
		}
	}
	return false
}

// Guards against a request that is sent outside the regions of its route and of its organisation,
// at its first attempt, a later one or a hedge.
func TestAttemptsStayInAllowedRegions(t *testing.T) {
	for _, shared := range []bool{true, false} {
		t.Run(fmt.Sprintf("shared=%v", shared), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSpread(t, shared)
				s.configure(residency.Only([]string{"a", "b"}), residency.Only([]string{"b", "c"}))
				time.Sleep(inForceAfter)
				for _, mode := range []string{"answer", "refuse", "fail", "silent", "unreachable"} {
					for _, server := range s.servers {
						server.setMode(mode)
					}
					_, _ = s.gateways[0].forward.Send(t.Context(), s.call(mode))
					require.Empty(t, slices.DeleteFunc(s.regionsOf(mode), func(region string) bool { return region == "b" }))
				}
				require.NotEmpty(t, s.regionsOf("fail"))
			})
		})
	}
}

// Guards against a request without a server in its allowed regions that is sent elsewhere, or that
// waits for its deadline.
func TestRequestWithoutServerInItsRegionsIsRefusedAtOnce(t *testing.T) {
	for _, shared := range []bool{true, false} {
		for name, regions := range map[string][2]residency.Regions{
			"no server there": {residency.Only([]string{"d"}), {}},
			"disjoint":        {residency.Only([]string{"a"}), residency.Only([]string{"b"})},
		} {
			t.Run(fmt.Sprintf("%s, shared=%v", name, shared), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSpread(t, shared)
					s.configure(regions[0], regions[1])
					time.Sleep(inForceAfter)
					start := time.Now()
					_, err := s.gateways[0].forward.Send(t.Context(), s.call("x"))
					require.NotNil(t, err)
					require.True(t, err.NotRun())
					require.Equal(t, string(kinds.NoServer), err.Kind())
					require.Contains(t, err.Message(), regions[0].And(regions[1]).String())
					require.Less(t, time.Since(start), inForceAfter)
					require.Empty(t, s.regionsOf("x"))
				})
			})
		}
	}
}

// Guards against a second attempt in a region that stopped being allowed after the first one, and
// against one that is refused because the regions as of its arrival are no longer allowed.
func TestRegionsThatChangeBetweenAttemptsBind(t *testing.T) {
	for name, c := range map[string]struct {
		before, after []string
		second        string
	}{
		"narrowed": {[]string{"a", "b"}, []string{"b"}, "b"},
		"moved":    {[]string{"a"}, []string{"c"}, "c"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSpread(t, false)
				s.configure(residency.Only(c.before), residency.Regions{})
				time.Sleep(inForceAfter)
				for _, server := range s.servers {
					server.setMode("refuse late")
				}
				call := s.callTo("write", "x") // never hedged
				s.requests.Go(func() { _, _ = s.gateways[0].forward.Send(t.Context(), call) })
				synctest.Wait()
				s.configure(residency.Only(c.after), residency.Regions{})
				time.Sleep(inForceAfter)
				for _, server := range s.servers {
					server.setMode("answer")
				}
				s.requests.Wait()
				regions := s.regionsOf("x")
				require.Len(t, regions, 2)
				require.Equal(t, c.second, regions[1])
			})
		})
	}
}

// Guards against any way to send a request outside the regions that are allowed now, whatever
// servers do with it and however the configuration changes meanwhile.
func TestNoRequestLeavesItsRegions(t *testing.T) {
	sets := rapid.Custom(func(t *rapid.T) residency.Regions {
		return residency.Only(rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.ID[string]).Draw(t, "regions"))
	})
	type move struct {
		kind, mode              string
		server                  int
		regions, ofOrganisation residency.Regions
		wait                    time.Duration
	}
	moves := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) move {
		return move{
			kind: rapid.SampledFrom([]string{"send", "send", "send", "send", "mode", "mode", "configure"}).Draw(t, "kind"), mode: rapid.SampledFrom(modes).Draw(t, "mode"),
			server: rapid.IntRange(0, 5).Draw(t, "server"), regions: sets.Draw(t, "route"), ofOrganisation: sets.Draw(t, "organisation"),
			wait: time.Duration(rapid.SampledFrom([]int{0, 0, 5, 60, 120, 400}).Draw(t, "wait_ms")) * time.Millisecond,
		}
	}), 1, 40)
	rapid.Check(t, func(rt *rapid.T) {
		shared, script := rapid.Bool().Draw(rt, "shared"), moves.Draw(rt, "moves")
		var problems []string
		synctest.Test(t, func(t *testing.T) {
			s := newSpread(t, shared)
			for i, m := range script {
				switch m.kind {
				case "send":
					call := s.call(fmt.Sprint("r", i))
					s.requests.Go(func() { _, _ = s.gateways[0].forward.Send(t.Context(), call) })
				case "mode":
					s.servers[m.server].setMode(m.mode)
				case "configure":
					s.configure(m.regions, m.ofOrganisation)
				}
				time.Sleep(m.wait)
			}
			s.requests.Wait()
			time.Sleep(quietTime)
			for _, a := range s.arrivals {
				if !s.wasAllowed(a) {
					problems = append(problems, fmt.Sprintf("%s reached region %s", a.id, a.region))
				}
			}
		})
		if len(problems) > 0 {
			rt.Fatalf("%s", strings.Join(problems, "\n"))
		}
	})
}

// The engines of the only allowed region break each stream off. Guards against a stream that is
// begun, or resumed, elsewhere.
func TestStreamsAreResumedInAllowedRegions(t *testing.T) {
	pf := gatewaytest.NewPlatform(t, 3, 0)
	pf.Topology = topology.New(map[string]string{"zone-a": "a", "zone-b": "b"})
	for i, domain := range []string{"zone-a", "zone-b", "zone-a"} {
		pf.Engines[i].FailureDomain = domain
		pf.Register(pf.Engines[i], "ready")
	}
	pf.Store.Put(hostedtest.TopicOperator, "config", hostedtest.InRegions(hostedtest.Config(2), "chat", "a"))
	for _, i := range []int{0, 2} {
		pf.Engines[i].Fail(hostedtest.ServerFaults{BreakAfter: 2})
	}
	p := pf.NewProcess(t)
	require.Eventually(t, func() bool { return p.View.Current().Table.Version == 2 }, gatewaytest.MaxWait, time.Millisecond)
	_, events, err := readStream(t, p, nil)
	require.Error(t, err)
	require.NotEmpty(t, events)
	require.Len(t, arrivals([]*hostedtest.Server{pf.Engines[0], pf.Engines[2]}), 3, "the route's attempts")
	require.Empty(t, pf.Engines[1].Arrivals())
}
