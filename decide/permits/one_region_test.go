package permits

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/decide/evidence"
)

// decisionsOfOneRegion is the hash of the decisions that were made before brokers knew regions.
const decisionsOfOneRegion = 0xbf43e8406d296066

// Guards against a deployment of one region being served differently because brokers know regions.
// Load: 40 gateways with twice as many asks as 4 servers can serve, of which one is slow and one
// fails, with hedges, cancellations, gateways and servers that come and go.
func TestDecisionsOfOneRegionAreAsBefore(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 45))
	b := New(Config{}, evidence.New(evidence.Default))
	servers := make([]Server, 4)
	for i := range servers {
		servers[i] = Server{ID: fmt.Sprintf("i%d", i), Name: fmt.Sprintf("s%d", i), Domain: fmt.Sprintf("d%d", i%3), Slots: 6}
	}
	h := fnv.New64a()
	now := epoch
	held := map[AskID]string{}
	var order []AskID
	record := func(decisions []Decision) {
		for _, d := range decisions {
			fmt.Fprintln(h, d.ID, d.Kind, d.Server, d.Refusal, d.RetryAfter, d.Wait, d.Reason)
			if d.Kind == Granted {
				held[d.ID] = d.Server
				order = append(order, d.ID)
			}
		}
	}
	record(b.SetServers(now, servers))
	for n := range uint64(20000) {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(500*time.Microsecond)))
		switch op := rng.IntN(200); {
		case op < 90:
			g := rng.IntN(40)
			a := Ask{ID: AskID{fmt.Sprintf("g%02d", g), n}, Domain: fmt.Sprintf("d%d", g%3), Route: fmt.Sprintf("r%d", g%2), Organisation: fmt.Sprintf("o%d", g%5),
				Internal: rng.IntN(3) == 0, Priority: rng.IntN(3), Objective: time.Duration(50+rng.IntN(400)) * time.Millisecond, Deadline: 2 * time.Second,
				Repeatable: rng.IntN(2) == 0, NoWait: rng.IntN(6) == 0}
			if rng.IntN(8) == 0 {
				a.Avoid = []string{servers[rng.IntN(4)].ID}
			}
			record(b.Ask(now, a))
		case op < 180 && len(order) > 0:
			i := rng.IntN(min(len(order), 8))
			id := order[i]
			order = append(order[:i], order[i+1:]...)
			r := Report{ID: id, Server: held[id], Route: fmt.Sprintf("r%d", n%2), Took: time.Duration(20+rng.IntN(30)) * time.Millisecond, Outcome: evidence.Answered}
			switch {
			case held[id] == "i1":
				r.Took *= 5
			case held[id] == "i2" && rng.IntN(3) == 0:
				r.Outcome = evidence.Failed
			case rng.IntN(30) == 0:
				r.Outcome = evidence.Refused
			}
			delete(held, id)
			record(b.Report(now, r))
		case op < 190:
			record(b.Tick(now))
		case op < 196:
			record(b.Cancel(now, AskID{fmt.Sprintf("g%02d", rng.IntN(40)), n - uint64(rng.IntN(10))}))
		case op == 196:
			record(b.Forget(now, fmt.Sprintf("g%02d", rng.IntN(40))))
		case op == 197:
			servers[3].Leaving = !servers[3].Leaving
			record(b.SetServers(now, servers))
		}
	}
	require.Equal(t, uint64(decisionsOfOneRegion), h.Sum64(), "%#x", h.Sum64())
}
