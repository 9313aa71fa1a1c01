package members

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func count(s *Set) int {
	n := 0
	for _, servers := range s.ByService() {
		n += len(servers)
	}
	return n
}

// The store is unavailable for longer than three heartbeats and drops all
// entries. The servers still run and write them again within two seconds of its
// recovery. If they were removed at once, callers would be left without a server.
func TestLapsedEntriesCountDuringTheGracePeriod(t *testing.T) {
	s := New(2 * time.Second)
	s.Put(Server{ID: "a", Name: "a", Service: "x", Addr: "1.1.1.1:1"})
	s.Put(Server{ID: "b", Name: "b", Service: "x", Addr: "2.2.2.2:2"})
	s.StoreRecovered(at(0))
	s.Replace(nil, at(100*time.Millisecond))
	require.Equal(t, 2, count(s))
	s.Put(Server{ID: "a", Name: "a", Service: "x", Addr: "1.1.1.1:1"})
	require.False(t, s.Expire(at(1900*time.Millisecond)))
	require.True(t, s.Expire(at(2*time.Second)))
	require.Equal(t, 1, count(s), "b did not write its entry again")
	s.Expire(at(5 * time.Second))
	require.Equal(t, 1, count(s), "a wrote its entry again")
}

// Without an outage, an entry that disappears means that its server is leaving,
// which must get no new work from then on.
func TestRemovedEntryIsGoneAtOnceWithoutAnOutage(t *testing.T) {
	s := New(2 * time.Second)
	s.Put(Server{ID: "a", Name: "a", Service: "x"})
	s.StoreRecovered(at(0))
	s.Remove("a", at(3*time.Second))
	require.Zero(t, count(s))
}

// A server restarted in the outage and uses the same address under another ID.
// The entry of the previous incarnation must not be kept for the grace period:
// everything sent to it would be refused.
func TestLapsedServerIsDroppedWhenItsAddressIsReused(t *testing.T) {
	s := New(2 * time.Second)
	s.Put(Server{ID: "before", Name: "before", Service: "x", Addr: "1.2.3.4:5"})
	s.StoreRecovered(at(0))
	s.Replace([]Server{{ID: "after", Name: "after", Service: "x", Addr: "1.2.3.4:5"}}, at(0))
	s.Put(Server{ID: "after", Name: "after", Service: "x", Addr: "1.2.3.4:5"})
	require.Equal(t, 1, count(s))
	require.Equal(t, "after", s.ByService()["x"][0].ID)
}

func TestByServiceIsSorted(t *testing.T) {
	s := New(time.Second)
	for _, id := range []string{"c", "a", "b"} {
		s.Put(Server{ID: id, Name: id, Service: "x"})
	}
	s.Remove("unknown", at(0))
	got := s.ByService()["x"]
	require.Equal(t, "a", got[0].ID)
	require.Equal(t, "c", got[2].ID)
}

// A server restarts under the same name. The entry of the new incarnation, with
// another ID, must replace the previous one, and the removal of the entry under
// the name must remove the server.
func TestNewIncarnationReplacesThePreviousOne(t *testing.T) {
	s := New(time.Second)
	s.Put(Server{ID: "a@1", Name: "a", Service: "x"})
	s.Put(Server{ID: "a@2", Name: "a", Service: "x"})
	require.Equal(t, []Server{{ID: "a@2", Name: "a", Service: "x"}}, s.ByService()["x"])
	s.Remove("a", at(0))
	require.Zero(t, count(s))
}

// Load: a failure domain is taken back under full load. Guards against all senders that fill its empty
// servers at the same moment.
func TestServersThatAreBackGetTheirPlacesStepByStep(t *testing.T) {
	require.Equal(t, 6, (&Server{Slots: 6}).SlotsAt(start))
	s := Server{Slots: 6, BackSince: start}
	require.Equal(t, 1, s.SlotsAt(at(0)))
	require.Equal(t, 1, s.SlotsAt(at(-time.Second)), "a clock that is behind")
	require.Equal(t, 4, s.SlotsAt(at(time.Second)))
	require.True(t, s.IsRamping(at(backRamp-1)))
	require.False(t, s.IsRamping(at(backRamp)))
	require.Equal(t, 6, s.SlotsAt(at(backRamp)))
}
