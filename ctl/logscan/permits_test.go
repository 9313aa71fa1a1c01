package logscan

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// permitLog returns the lines of a broker, on VM b, and of gateways at a burst: requests that
// get no place before and while a server is ejected, and one that a server then answers.
func permitLog() string {
	load := func(ms, waiting, refused int, top string) string {
		return record(ms, "permits: Load of a service.", fmt.Sprintf(`"service":"ledger#0/2","places":6,"in_use":6,"waiting":%d,"oldest_wait":"50ms","refused":%d,"organisations":2,"top":"%s"`, waiting, refused, top))
	}
	refused := func(ms int, id, why string, hedge bool) string {
		return record(ms, "forward: Permit refused.", fmt.Sprintf(`"id":"%s","service":"ledger","why":"%s","reason":"the estimated wait is too long","broker":"b","hedge":%t`, id, why, hedge)) +
			record(ms+1, "front: Request failed.", fmt.Sprintf(`"id":"%s","path":"/ledger/1","kind":"%s","not_run":true`, id, why))
	}
	server := func(ms int, message, name string) string {
		return record(ms, "permits: "+message, fmt.Sprintf(`"service":"ledger#0/2","server":"%s","why":"failing","age":"250ms"`, name))
	}
	return load(0, 3, 0, "o 3/6") + refused(100, "r1", "overloaded", false) +
		server(1000, "A server is ejected.", "i-1") + server(1000, "A server is ejected.", "i-2") + server(1001, "A server is ejected.", "i-3") + load(1001, 90, 7, "o 88/5, p 2/1") +
		refused(1100, "r2", "deadline_too_short", false) + refused(1200, "r3", "overloaded", false) +
		record(1300, "forward: Permit refused.", `"id":"r4","service":"ledger","why":"overloaded","hedge":true`) +
		record(1301, "front: Request failed.", `"id":"r4","path":"/ledger/1","kind":"deadline_exceeded","not_run":false`) +
		server(1500, "A server is on probation.", "i-1") + server(1600, "A server is trusted again.", "i-2") + server(1700, "A server that was not trusted is gone.", "i-3") +
		refused(1800, "r5", "overloaded", false) + load(2000, 1, 2, "o 1/6")
}

// Each request that got no place is a loss with its cause; a second copy that got none is not.
func TestLossesForLackOfPlaces(t *testing.T) {
	text := permitLog() +
		record(3000, "forward: No broker.", `"id":"b1","service":"ledger","error":"no broker of permits answers"`) +
		record(3001, "forward: Try failed.", `"id":"b1","not_run":true,"status":503`) +
		record(3002, "front: Request failed.", `"id":"b1","path":"/ledger/1","kind":"overloaded","not_run":true`) +
		record(3100, "forward: No permit in time.", `"id":"b2","service":"ledger","took":"400ms"`) +
		record(3101, "front: Request failed.", `"id":"b2","path":"/ledger/1","kind":"overloaded","not_run":true,"why":"no server took the request in time"`) +
		record(3200, "front: Request failed.", `"id":"m1","path":"/ledger/1","kind":"overloaded","not_run":true,"why":"no room for the request's body"`) +
		record(3300, "front: Closing the connection of a caller that reads too slowly.", `"id":"s1","written":70000`) +
		record(3301, "front: Request failed.", `"id":"s1","path":"/ledger/1","kind":"cancelled","not_run":false`)
	losses := NewLosses()
	scanText(t, text, losses.Add)
	got := map[string]int{}
	for _, r := range losses.Rows() {
		got[fmt.Sprintf("%s %s: %s (%s)", r.RequestKind, r.Outcome, r.Cause, r.Example)] = r.Count
	}
	require.Equal(t, map[string]int{
		"/ledger refused: no place in time (r1)":           3, // r1, r5, b2
		"/ledger refused: no place, servers ejected (r2)":  2, // r2, r3
		"/ledger failed: server silent (r4)":               1,
		"/ledger refused: no broker of places (b1)":        1,
		"/ledger refused: memory of the gateway full (m1)": 1,
		"answers failed: caller reads too slowly (s1)":     1,
	}, got)
}

// The last state of each broker is shown, with its peak, and the servers that aren't trusted.
func TestPlaces(t *testing.T) {
	places := NewPlaces()
	scanText(t, strings.ReplaceAll(permitLog(), `{"level"`, `0.1 b {"level"`), places.Add)
	services := places.Services()
	require.Len(t, services, 1)
	require.Equal(t, ServicePlaces{
		Service: "ledger#0/2", Broker: "b", At: services[0].At, Places: 6, InUse: 6, Waiting: 1, OldestWait: 50 * time.Millisecond, Refused: 2,
		MostWaiting: 90, TotalRefused: 9, Organisations: 2, Top: "o 1/6",
	}, services[0])
	ejected := places.Ejected()
	require.Len(t, ejected, 1)
	require.Equal(t, []any{"i-1", "on probation", "failing", "b", 1250 * time.Millisecond},
		[]any{ejected[0].Server, ejected[0].State, ejected[0].Why, ejected[0].Broker, ejected[0].Age})
	places.Add(&Line{Process: "b", Message: messageNoBroker, Fields: Fields{Service: "ledger#0/2"}})
	require.Empty(t, places.Ejected(), "its evidence is gone with the broker")
}

// The memory is bounded for any number of services and servers.
func TestPlacesAreBounded(t *testing.T) {
	places := NewPlaces()
	for i := range 2 * maxPlaces {
		places.Add(&Line{Message: messageLoad, Fields: Fields{Service: fmt.Sprint(i)}})
		places.Add(&Line{Message: messageEjected, Fields: Fields{Server: fmt.Sprint(i)}})
	}
	require.Len(t, places.Services(), maxPlaces)
	require.Len(t, places.Ejected(), maxPlaces)
	require.Equal(t, 2*maxPlaces, places.Dropped)
}

// Regions: each has a broker of its own, and what crosses is counted by its reason.
func TestPlacesOfRegions(t *testing.T) {
	places := NewPlaces()
	sent := func(ms int, region, spilled string) string {
		return record(ms, "forward: Try.", fmt.Sprintf(`"id":"r","service":"ledger","region":"%s","spilled":"%s"`, region, spilled))
	}
	scanText(t, record(0, "permits: A server is ejected.", `"service":"ledger#0/2@b","server":"i-1","why":"slow","age":"1ms"`)+
		sent(1, "a", "")+sent(2, "b", "refused")+sent(3, "b", "queued")+sent(4, "b", "queued")+sent(5, "b", "slow")+
		record(6, "permits: Another region has no place.", `"service":"ledger","region":"b","near":"a","why":"queued"`), places.Add)
	require.True(t, places.hasEjected("ledger"))
	require.Equal(t, []Crossing{{Service: "ledger", Region: "b", Refused: 1, Queued: 2, Slow: 1, NoPlace: 1}}, places.Crossings())
}
