package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"dandelionsill.org/load/client"
	"dandelionsill.org/load/site"
	"dandelionsill.org/platform"
	"dandelionsill.org/standin/logsvc"
)

const (
	writers    = 12
	loseShare  = 0.3                    // of the log's answers
	writePause = 100 * time.Millisecond // before a caller repeats its key
	fewTries   = 15
	manyTries  = 50 // longer than the longest fault
)

// order makes the keyed write of a new order.
func (t *traffic) order(rng *rand.Rand) client.Call {
	return client.Call{
		Service: t.c.site.Deployment.Service, Method: http.MethodPost, Timeout: callTimeout,
		Path: fmt.Sprintf("/orders/%d", rng.IntN(1_000_000)), Body: fmt.Appendf(nil, "order %d", rng.Uint64()),
		Key: uuid.Must(uuid.NewV7()).String(),
	}
}

// insist sends a keyed write and repeats its key until it has a whole answer,
// so many tries at most.
func (t *traffic) insist(cl *client.Client, who, tries int, call client.Call) {
	for range tries {
		if r := t.send(cl, who, call); r.OK() {
			return
		}
		time.Sleep(writePause) // a caller's pause
	}
}

// only returns a client of the application that talks to one entry alone.
func (c *cluster) only(entry string) *client.Client {
	return client.New(client.NewBalancer([]string{c.site.ByName(entry).URL}), site.Token(site.Caller), maxConns)
}

// Callers write orders, half of them with keys, while the log takes claims and
// loses a third of the answers, and the agent beside one of two servers is
// killed and comes back at once as a new life. A claim whose answer was lost is
// the old life's: the new one must not take it for its own, nor any other
// agent for a free key. The callers repeat their keys and get the one run's
// answer, or learn that the outcome is unknown; a write without a key that was
// on its way must not be sent again by anybody.
func TestLostClaimAnswersAndAgentKilled(t *testing.T) {
	const seed, kills = 51, 2
	c := up(t, options{seed: seed, service: slow})
	c.faults("log", logsvc.Faults{LoseAnswers: loseShare})
	cl := c.client(site.Caller)
	w := c.startCallers(2*writers, seed, func(t *traffic, who int, rng *rand.Rand) {
		call := t.order(rng)
		if who%2 == 0 {
			call.Key = ""
			t.send(cl, who, call)
			return
		}
		t.insist(cl, who, fewTries, call)
	})
	w.answered(200)
	for range kills {
		c.kill("service-1")
		c.start(c.site.ByName("service-1"))
		w.answered(200)
	}
	c.faults("log", logsvc.Faults{})
	w.answered(100)
	w.judgedKeys()
}

// The holder of keys stands still in the middle of its writes, and then the
// log goes down: callers who repeat these keys elsewhere are refused, as
// nobody can claim. The log comes back before the holder: now the other agent
// could claim these keys, and must not. Then the log goes down once more, and
// the holder wakes up and goes on with what it had. Whatever it ran must be
// the one run that all answers show.
func TestLogOutageAndHolderPaused(t *testing.T) {
	const seed = 52
	c := up(t, options{seed: seed, service: slow})
	cl := c.client(site.Caller)
	w := c.startCallers(writers, seed, func(t *traffic, who int, rng *rand.Rand) {
		t.insist(cl, who, manyTries, t.order(rng))
	})
	down, well := logsvc.Faults{Down: true}, logsvc.Faults{}
	w.answered(100)
	c.stop("service-1")
	c.faults("log", down)
	w.turnover()
	c.faults("log", well)
	w.turnover()
	c.faults("log", down)
	c.cont("service-1")
	w.turnover()
	c.faults("log", well)
	w.answered(150)
	w.judgedKeys()
}

// Every caller sends its order to one entry and, whatever came of it, sends
// the same key to the other one. The first entry is killed under them and a
// new one starts: their connections break with outcomes that they can't know.
// The repeat must find the run, or be the run, and never be a second one.
func TestEntryKilledAndEveryKeyRepeated(t *testing.T) {
	const seed = 53
	c := up(t, options{seed: seed, service: slow})
	first, second := c.only("entry-1"), c.only("entry-2")
	w := c.startCallers(writers, seed, func(t *traffic, who int, rng *rand.Rand) {
		call := t.order(rng)
		t.send(first, who, call)
		t.insist(second, who, fewTries, call)
	})
	w.answered(150)
	c.kill("entry-1")
	w.answered(100)
	c.start(c.site.ByName("entry-1"))
	w.answered(150)
	w.judgedKeys()
}

// Two callers send the same key to two entries at the same moment. One entry's
// list of VMs lacks the server that the other one picks for half of the keys,
// so that two agents claim the same key, while the log is slow and loses
// answers: each appends before it reads the other's claim. One claim is the
// first in the log; only its holder may run, and the other agent's caller gets
// that run's answer or hears that the outcome is unknown.
func TestSameKeyAtTwoEntries(t *testing.T) {
	const seed = 54
	c := up(t, options{seed: seed, service: slow})
	c.hide("entry-2", "service-1")
	c.faults("log", logsvc.Faults{LoseAnswers: loseShare, SlowMS: 20})
	entries := []*client.Client{c.only("entry-1"), c.only("entry-2")}
	w := c.startCallers(writers, seed, func(t *traffic, who int, rng *rand.Rand) {
		call := t.order(rng)
		var both sync.WaitGroup
		for _, cl := range entries {
			both.Go(func() { t.insist(cl, who, fewTries, call) })
		}
		both.Wait()
	})
	w.answered(150)
	w.judgedKeys()
}

// hide starts a process anew with a list of VMs of its own, in which another
// one is missing, as in a list that lags.
func (c *cluster) hide(from, missing string) {
	c.t.Helper()
	own := c.site.ByName("vms")
	real := own.URL
	addr := strings.Replace(strings.TrimPrefix(real, "http://"), ".0.1:", ".0.2:", 1)
	own.Name, own.URL, own.Args = "vms-of-"+from, "http://"+addr, []string{"vms", "--listen", addr}
	c.start(own)
	c.until("the second list is up", func() error {
		return site.SendJSON(c.ctx, http.MethodGet, own.URL+"/livez", nil, nil)
	})
	var list []platform.VM
	require.NoError(c.t, site.SendJSON(c.ctx, http.MethodGet, real+"/truth", nil, &list))
	for _, vm := range list {
		if vm.Name != missing {
			require.NoError(c.t, site.SendJSON(c.ctx, http.MethodPut, own.URL+"/vms/"+vm.Name, vm, nil))
		}
	}
	c.restart(from, "--platform.vms", own.URL)
}

// restart kills a process and starts it with further settings.
func (c *cluster) restart(name string, settings ...string) {
	c.t.Helper()
	p := c.site.ByName(name)
	p.Args = append(slices.Clone(p.Args), settings...)
	c.kill(name)
	c.start(p)
	c.until(name+" is ready again", func() error { return c.ready(name) })
}
