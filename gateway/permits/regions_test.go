package permits

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/evidence"
	decide "dandelionsill.org/decide/permits"
	"dandelionsill.org/decide/residency"
	"dandelionsill.org/wire/pb"
)

// Guards against requests that cross the link although their region has places. Load: 60 calls/s in
// each region, a tenth of what the smaller one can do.
func TestCallsStayInTheirRegionWhileItHasPlaces(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, true, 4, 3)
		var both sync.WaitGroup
		for _, region := range []string{"near", "far"} {
			both.Go(func() { w.offer(region, "all", 60, 20*time.Second, decide.Ask{}) })
		}
		both.Wait()
		w.calls.Wait()
		for _, region := range []string{"near", "far"} {
			n := w.of(region)
			t.Logf("%s: %+v", region, n)
			require.GreaterOrEqual(t, n.home(), 0.95)
			require.GreaterOrEqual(t, n.share(), 0.99)
		}
	})
}

// Guards against callers who are refused or answered late by their region while the other one is
// idle. Load: 500 calls/s in the far region for 5 s, while two of its three servers take six times
// as long, which leaves it places for 320 calls/s; 60 calls/s in the near one, with four servers.
func TestBurstInTheFarRegionWhileItsServersAreSlow(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, true, 4, 3)
		w.offer("far", "warm", 60, 5*time.Second, decide.Ask{})
		w.mu.Lock()
		w.slow["far-0"], w.slow["far-1"] = 6, 6
		w.mu.Unlock()
		go w.offer("near", "quiet", 60, 5*time.Second, decide.Ask{})
		w.offer("far", "burst", 500, 5*time.Second, decide.Ask{})
		w.calls.Wait()
		burst, quiet := w.of("burst"), w.of("quiet")
		t.Logf("burst: %+v", burst)
		t.Logf("near: %+v", quiet)
		require.GreaterOrEqual(t, burst.share(), 0.9)
		require.GreaterOrEqual(t, quiet.share(), 0.98, "those of the near region have their places")
		require.GreaterOrEqual(t, quiet.home(), 0.95)
		for server, most := range w.most {
			require.LessOrEqual(t, most, 2*(worldSlots+1), server)
		}
	})
}

// Guards against a region that waits for the other one, places that stay taken there, and places
// that are granted twice once the link is back. Load: a far region that spills as the link is cut
// for a minute, then 60 calls/s in each region.
func TestCutLinkBetweenRegions(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, true, 4, 3)
		var all sync.WaitGroup
		all.Go(func() { w.offer("far", "before", 1100, 2*time.Second, decide.Ask{}) })
		time.Sleep(time.Second)
		heal := w.cutLink()
		all.Wait()
		time.Sleep(5 * time.Second)
		for _, region := range []string{"near", "far"} {
			all.Go(func() { w.offer(region, "cut "+region, 60, 55*time.Second, decide.Ask{}) })
		}
		all.Wait()
		w.calls.Wait()
		time.Sleep(time.Second)
		held, waiting := w.inUse()
		require.Zero(t, waiting)
		require.Zero(t, held, "places are stranded")
		heal()
		all.Go(func() { w.offer("near", "after", 60, 5*time.Second, decide.Ask{}) })
		w.offer("far", "after", 1100, 5*time.Second, decide.Ask{})
		all.Wait()
		w.calls.Wait()
		time.Sleep(2 * time.Second)
		t.Logf("before: %+v; near: %+v; far: %+v; after: %+v", w.of("before"), w.of("cut near"), w.of("cut far"), w.of("after"))
		for _, name := range []string{"cut near", "cut far"} {
			require.GreaterOrEqual(t, w.of(name).share(), 0.99, name)
			require.Zero(t, w.of(name).away, name)
		}
		require.GreaterOrEqual(t, w.of("after").share(), 0.9)
		for server, most := range w.most {
			require.LessOrEqual(t, most, 2*(worldSlots+1), server)
		}
		held, waiting = w.inUse()
		require.Zero(t, waiting)
		require.Zero(t, held)
	})
}

// Guards against a broker that counts as lost because a round trip to its region is as long as the
// time limit. Load: 60 calls/s in each region, one broker for all.
func TestBrokerInTheOtherRegionIsNotLost(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, false, 4, 3)
		lost := brokersLost.Value()
		var both sync.WaitGroup
		for _, region := range []string{"near", "far"} {
			both.Go(func() { w.offer(region, "all", 60, 5*time.Second, decide.Ask{}) })
		}
		both.Wait()
		w.calls.Wait()
		all := w.of("all")
		t.Logf("%+v", all)
		require.Equal(t, lost, brokersLost.Value())
		require.Zero(t, all.withoutBroker)
		require.GreaterOrEqual(t, all.share(), 0.99)
		require.GreaterOrEqual(t, all.home(), 0.95)
	})
}

// Guards against an organisation that crowds out others by calling in both regions. Load: twice
// what all servers can do by one organisation, 80 calls/s by another in the far region.
func TestOrderOverOrganisationsHoldsOverRegions(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, true, 2, 1)
		var all sync.WaitGroup
		for _, region := range []string{"near", "far"} {
			all.Go(func() { w.offer(region, "large", 720, 5*time.Second, decide.Ask{Organisation: "large"}) })
		}
		all.Go(func() { w.offer("far", "small", 80, 5*time.Second, decide.Ask{Organisation: "small"}) })
		all.Wait()
		w.calls.Wait()
		large, small := w.of("large"), w.of("small")
		t.Logf("large: %+v; small: %+v", large, small)
		require.GreaterOrEqual(t, small.share(), 0.9, "its fair share is more than it asks for")
		require.GreaterOrEqual(t, float64(large.inTime), 0.8*(3*worldSlots/worldWork.Seconds()-80)*5, "the rest is used")
	})
}

// Guards against requests that leave the regions in which they may be served, and against those
// that no region may serve being asked for at all.
func TestAllowedRegions(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, true, 1, 1)
		only := func(regions ...string) decide.Ask { return decide.Ask{Regions: residency.Only(regions)} }
		w.offer("near", "all", 400, 2*time.Second, only("near"))
		w.offer("near", "all", 60, 2*time.Second, only("far"))
		w.calls.Wait()
		all := w.of("all")
		require.Equal(t, all.withoutBroker, 0)
		for _, ask := range []decide.Ask{only("third"), {Regions: residency.Only([]string{"near"}).And(residency.Only([]string{"far"}))}} {
			ask.Deadline = time.Second
			o := acquire(t.Context(), w.clients["near"][0], ask)
			require.NoError(t, o.err)
			require.Equal(t, decide.NoServer, o.refusal.Kind)
			require.Contains(t, o.refusal.Reason, "allowed regions")
		}
		require.Equal(t, "far", func() string {
			ask := only("far")
			ask.Deadline = time.Second
			o := acquire(t.Context(), w.clients["near"][0], ask)
			require.NotNil(t, o.permit)
			o.permit.Done(0, 0)
			return o.permit.Region
		}())
	})
}

// Guards against the load of a service being unknown for ever, so that no servers are taken away,
// because one region has no callers.
func TestLoadOfARegionWithoutCallers(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, true, 1, 1)
		c := w.clients["near"][0]
		for range 8 {
			c.Brokers("echo")
			time.Sleep(time.Second)
		}
		brokers := c.Brokers("echo")
		require.Len(t, brokers, 2)
		seen := map[string]bool{}
		for _, m := range w.members {
			reply, err := w.nodes[m.Addr].Load(t.Context(), &pb.ServiceLoadRequest{Service: "echo"})
			require.NoError(t, err)
			for _, d := range reply.GetDomains() {
				seen[d.GetFailureDomain()] = true
			}
		}
		require.Equal(t, map[string]bool{"n0": true, "f0": true}, seen)
	})
}

// Guards against each ask of a quiet gateway paying for a new stream, and against streams that stay
// open for ever.
func TestStreamsToRegionsStayOpenForAWhile(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, true, 1, 1)
		c := w.clients["near"][0]
		ask := decide.Ask{Deadline: time.Second, Regions: residency.Only([]string{"far"})}
		for range 2 {
			if o := acquire(t.Context(), c, ask); o.permit != nil { // not if the stream took too long to open
				o.permit.Done(0, evidence.Unused)
			}
		}
		time.Sleep(regionalIdleTimeout / 2)
		start := time.Now()
		o := acquire(t.Context(), c, ask)
		require.NotNil(t, o.permit)
		require.Equal(t, 2*oneWay, time.Since(start))
		o.permit.Done(0, evidence.Unused)
		time.Sleep(2 * regionalIdleTimeout)
		require.Empty(t, c.shard(shardKey{service: "echo", region: "far", shards: 1}).sessions())
	})
}

// Guards against a permit of a server that may be cold which is held while another region is asked,
// counts as new after that, and is used when its broker has stopped counting it.
func TestPermitAgesWhileItIsHeld(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, true, 4, 3)
		client := w.clients["near"][0]
		permit, _, err := client.Acquire(t.Context(), "s", decide.Ask{Objective: objective, Deadline: deadline})
		require.NoError(t, err)
		require.NotNil(t, permit)
		defer permit.Done(0, evidence.Unused)
		require.Less(t, permit.Age(), decide.MaxGrantAge)
		time.Sleep(decide.MaxGrantAge)
		require.GreaterOrEqual(t, permit.Age(), decide.MaxGrantAge)
	})
}
