package permits

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/evidence"
	"dandelionsill.org/decide/residency"
)

// regions returns a broker with servers of one place in each of the given regions.
func regions(names ...string) (*Broker, *fakeEvidence, []Server) {
	e := &fakeEvidence{standings: map[string]evidence.Standing{}, typical: times}
	var servers []Server
	for i, region := range names {
		s := Server{ID: fmt.Sprintf("s%02d", i), Domain: region + "1", Region: region, Slots: 1}
		servers = append(servers, s)
		e.standings[s.ID] = evidence.Standing{Limit: 1, Pace: 1}
	}
	b := New(Config{Way: func(region string) time.Duration {
		if region == "near" {
			return 0
		}
		return 40 * ms
	}}, e)
	b.SetServers(epoch, servers)
	return b, e, servers
}

// from returns an ask of a gateway in a region, that may be served in some.
func from(region string, number uint64, allowed ...string) Ask {
	return Ask{ID: AskID{"g-" + region, number}, Domain: region + "1", Region: region, Route: "lookup", Objective: second, Deadline: 2 * second, Regions: residency.Only(allowed)}
}

// Guards against a request that is served where it must not be, and against one that waits for its
// region in front of others which could use a free place.
func TestAskIsGrantedInAllowedRegionsOnly(t *testing.T) {
	b, _, servers := regions("near", "far")
	require.Equal(t, "s01", last(b.Ask(epoch, from("near", 1, "far"))).Server)
	require.Equal(t, Queued, last(b.Ask(epoch, from("near", 2, "far"))).Kind)
	require.Equal(t, "s00", last(b.Ask(epoch, from("near", 3))).Server, "it passes the one that waits")
	require.Equal(t, Queued, last(b.Ask(epoch, from("near", 4))).Kind)
	d := last(b.Ask(epoch, from("near", 5, "third")))
	require.Equal(t, []any{Refused, NoServer}, []any{d.Kind, d.Refusal})
	require.Contains(t, d.Reason, "allowed regions")

	granted := b.Report(epoch, Report{ID: AskID{"g-near", 3}, Outcome: evidence.Unused})
	require.Equal(t, uint64(4), last(granted).ID.Number)
	refused := b.SetServers(epoch, servers[:1])
	require.Len(t, refused, 1)
	require.Equal(t, []any{uint64(2), NoServer}, []any{refused[0].ID.Number, refused[0].Refusal})
}

// Guards against a request that may run in one region only and is held back because all servers
// there are ejected, while others of other regions are not.
func TestEjectedServersOfTheAllowedRegionAreUsed(t *testing.T) {
	b, e, _ := regions("near", "far")
	e.standings["s01"] = evidence.Standing{Limit: 1, Pace: 1, Ejected: true}
	d := last(b.Ask(epoch, from("near", 1, "far")))
	require.Equal(t, []any{"s01", true}, []any{d.Server, d.LastChoice})
	require.Equal(t, Granted, last(b.Ask(epoch, from("near", 2))).Kind)
	require.Equal(t, Queued, last(b.Ask(epoch, from("near", 3))).Kind)
	require.Zero(t, b.capacity.free)
}

// Guards against a request that waits for its region, whose servers are all ejected, and gets none of
// their places while the other regions are full.
func TestPlacesOfEjectedServersGoToThoseWhoWait(t *testing.T) {
	b, e, _ := regions("near", "far")
	e.standings["s01"] = evidence.Standing{Limit: 1, Pace: 1, Ejected: true}
	require.Equal(t, "s01", last(b.Ask(epoch, from("near", 1, "far"))).Server)
	require.Equal(t, "s00", last(b.Ask(epoch, from("near", 2))).Server)
	require.Equal(t, Queued, last(b.Ask(epoch, from("near", 3, "far"))).Kind)
	require.Equal(t, Queued, last(b.Ask(epoch, from("near", 4))).Kind)
	granted := b.Report(epoch, Report{ID: AskID{"g-near", 1}, Outcome: evidence.Unused})
	require.Len(t, granted, 1)
	require.Equal(t, []any{uint64(3), "s01"}, []any{granted[0].ID.Number, granted[0].Server})
	require.Zero(t, b.restricted)
}

// A server of another region is worse than one of the own region by more than its load.
func TestOwnRegionFirst(t *testing.T) {
	b, e, _ := regions("near", "far", "far")
	for id := range e.standings {
		e.standings[id] = evidence.Standing{Limit: 10, Pace: 1}
	}
	for i := range uint64(10) {
		require.Equal(t, "s00", last(b.Ask(epoch, from("near", i))).Server)
	}
	require.NotEqual(t, "s00", last(b.Ask(epoch, from("near", 11))).Server, "the own region is full")
	require.Equal(t, 25*ms, last(b.Ask(epoch, from("far", 12))).Expected)
}

// Guards against regions that swing: requests of another region take no place that those of the
// broker's region will need at once, nor wait beside them.
func TestSpillLeavesPlaces(t *testing.T) {
	b, e, _ := regions("near", "near")
	b.cfg.Way = nil // so that each request has a place for its whole time
	for id := range e.standings {
		e.standings[id] = evidence.Standing{Limit: 8, Pace: 1}
	}
	spill := func(n uint64) Decision {
		a := from("far", n)
		a.Spill = true
		return last(b.Ask(epoch, a))
	}
	for n := range uint64(14) {
		require.Equal(t, Granted, spill(n).Kind)
	}
	require.Equal(t, []any{Refused, Overloaded}, []any{spill(14).Kind, spill(15).Refusal})
	for n := range uint64(2) {
		require.Equal(t, Granted, last(b.Ask(epoch, from("near", n))).Kind)
	}
	require.Equal(t, Queued, last(b.Ask(epoch, from("near", 3))).Kind)
	require.Equal(t, Refused, spill(16).Kind, "requests of the region wait")
}

// Guards against servers that idle while the requests for which they have places are on their way:
// at a way of 40 ms and 25 ms of work, a place serves two.
func TestRequestsOnTheirWayLeaveTheirPlaces(t *testing.T) {
	b, e, _ := regions("near")
	e.standings["s00"] = evidence.Standing{Limit: 10, Pace: 1}
	ids := []AskID{}
	for n := range uint64(100) {
		a := from("far", n)
		a.NoWait = true
		if last(b.Ask(epoch, a)).Kind == Granted {
			ids = append(ids, a.ID)
		}
	}
	require.Len(t, ids, 20, "a half of them may be on their way")
	for _, id := range ids {
		b.Report(epoch, Report{ID: id, Outcome: evidence.Unused})
	}
	require.Equal(t, 10, b.capacity.free)
	require.Zero(t, b.servers[0].onWay)
}

// Guards against callers of a full region being refused while calls of samples hold the places of
// another one.
func TestSpilledCallersPrecedeInternalCalls(t *testing.T) {
	b, _, _ := regions("near")
	sample := from("near", 1)
	sample.Internal = true
	require.Equal(t, Granted, last(b.Ask(epoch, sample)).Kind)
	sample.ID.Number = 2
	require.Equal(t, Queued, last(b.Ask(epoch, sample)).Kind)
	caller := from("far", 1)
	caller.Spill = true
	require.Equal(t, Queued, last(b.Ask(epoch, caller)).Kind)
	d := last(b.Report(epoch, Report{ID: AskID{"g-near", 1}, Server: "s00", Route: "lookup", Took: 25 * ms, Outcome: evidence.Answered}))
	require.Equal(t, caller.ID, d.ID)
	other := from("far", 3)
	other.Spill, other.Internal = true, true
	require.Equal(t, Queued, last(b.Ask(epoch, other)).Kind)
}

// Guards against a failure domain that takes a region's broker and its standby.
func TestStandbyIsInAnotherFailureDomain(t *testing.T) {
	var members []Member
	for i := range 24 {
		region := []string{"a", "b"}[i%2]
		members = append(members, Member{VM: fmt.Sprintf("vm%02d", i), Region: region, Domain: fmt.Sprintf("%s%d", region, i%6/2), Small: i%5 == 0})
	}
	for n := range 50 {
		ranked := Ranked(fmt.Sprint("service", n), "a", 0, members)
		require.Len(t, ranked, len(members))
		require.ElementsMatch(t, members, ranked)
		require.Equal(t, "a", ranked[0].Region)
		require.Equal(t, "a", ranked[1].Region)
		require.NotEqual(t, ranked[0].Domain, ranked[1].Domain)
		require.False(t, ranked[0].Small || ranked[1].Small)
		require.Equal(t, "b", ranked[12].Region, "those of other regions are last")
	}
	same := []Member{{VM: "x", Domain: "a1"}, {VM: "y", Domain: "a1"}}
	require.ElementsMatch(t, same, Ranked("s", "", 0, same))
}
