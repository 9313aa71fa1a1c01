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
	writers             = 12
	lostAnswerShare     = 0.3                    // share of the log's answers that are lost
	retryPause          = 100 * time.Millisecond // before a caller repeats its key
	maxAttempts         = 15
	maxAttemptsInOutage = 50 // longer than the longest fault
)

// newOrder returns a keyed write that creates a random order.
func (t *traffic) newOrder(rng *rand.Rand) client.Call {
	return client.Call{
		Service: t.c.site.Deployment.Service, Method: http.MethodPost, Timeout: callTimeout,
		Path: fmt.Sprintf("/orders/%d", rng.IntN(1_000_000)), Body: fmt.Appendf(nil, "order %d", rng.Uint64()),
		Key: uuid.Must(uuid.NewV7()).String(),
	}
}

// sendUntilAnswered sends a keyed write and repeats it with its key until it gets a
// complete answer, at most attempts times in all.
func (t *traffic) sendUntilAnswered(cl *client.Client, caller, attempts int, call client.Call) {
	for range attempts {
		if r := t.send(cl, caller, call); r.OK() {
			return
		}
		time.Sleep(retryPause) // pause between attempts
	}
}

// clientOf returns a client of the application that uses a single entry.
func (c *cluster) clientOf(entry string) *client.Client {
	return client.New(client.NewBalancer([]string{c.site.ByName(entry).URL}), site.Token(site.Caller), maxConns)
}

// Callers write orders, half of them with keys. Meanwhile the log stores claims but
// loses a third of its answers, and the agent of one of the two servers is killed and
// restarted at once. A claim whose answer was lost belongs to the old incarnation: the
// new one must not treat it as its own, and no other agent may treat the key as free.
// Callers that repeat their keys must get the answer of the single run or learn that
// the outcome is unknown. No process may resend a write without a key that was in
// flight.
func TestLostClaimAnswersAndAgentKilled(t *testing.T) {
	const seed, kills = 51, 2
	c := startCluster(t, options{seed: seed, service: slowService})
	c.setFaults("log", logsvc.Faults{LoseAnswers: lostAnswerShare})
	cl := c.client(site.Caller)
	w := c.startCallers(2*writers, seed, func(t *traffic, caller int, rng *rand.Rand) {
		call := t.newOrder(rng)
		if caller%2 == 0 {
			call.Key = ""
			t.send(cl, caller, call)
			return
		}
		t.sendUntilAnswered(cl, caller, maxAttempts, call)
	})
	w.waitAnswered(200)
	for range kills {
		c.kill("service-1")
		c.start(c.site.ByName("service-1"))
		w.waitAnswered(200)
	}
	c.setFaults("log", logsvc.Faults{})
	w.waitAnswered(100)
	w.verifyKeys()
}

// The agent that holds keys is suspended during its writes, and then the log goes down:
// callers that repeat these keys elsewhere are refused, as no agent can claim. The log
// is available again before the holder is resumed: now the other agent could claim
// these keys but must not. Then the log goes down once more and the holder is resumed
// and continues its work. A run of it must be the single run that all answers show.
func TestLogOutageAndHolderPaused(t *testing.T) {
	const seed = 52
	c := startCluster(t, options{seed: seed, service: slowService})
	cl := c.client(site.Caller)
	w := c.startCallers(writers, seed, func(t *traffic, caller int, rng *rand.Rand) {
		t.sendUntilAnswered(cl, caller, maxAttemptsInOutage, t.newOrder(rng))
	})
	logDown, noFaults := logsvc.Faults{Down: true}, logsvc.Faults{}
	w.waitAnswered(100)
	c.suspend("service-1")
	c.setFaults("log", logDown)
	w.waitTurnover()
	c.setFaults("log", noFaults)
	w.waitTurnover()
	c.setFaults("log", logDown)
	c.resume("service-1")
	w.waitTurnover()
	c.setFaults("log", noFaults)
	w.waitAnswered(150)
	w.verifyKeys()
}

// Every caller sends its order to one entry and then, whatever the outcome, sends the
// same key to the other one. The first entry is killed during these calls and started
// again, so that connections break with an unknown outcome. The repeated call must get
// the answer of the first run or cause the only run, never a second one.
func TestEntryKilledAndEveryKeyRepeated(t *testing.T) {
	const seed = 53
	c := startCluster(t, options{seed: seed, service: slowService})
	first, second := c.clientOf("entry-1"), c.clientOf("entry-2")
	w := c.startCallers(writers, seed, func(t *traffic, caller int, rng *rand.Rand) {
		call := t.newOrder(rng)
		t.send(first, caller, call)
		t.sendUntilAnswered(second, caller, maxAttempts, call)
	})
	w.waitAnswered(150)
	c.kill("entry-1")
	w.waitAnswered(100)
	c.start(c.site.ByName("entry-1"))
	w.waitAnswered(150)
	w.verifyKeys()
}

// Two callers send the same key to two entries at the same time. One entry's VM list
// lacks the server that the other entry picks for half of the keys, so that two agents
// claim the same key. The log is slow and loses answers: each agent appends its claim
// before it reads the other's. Only the agent whose claim is first in the log may run
// the request. The other agent's caller must get that run's answer or learn that the
// outcome is unknown.
func TestSameKeyAtTwoEntries(t *testing.T) {
	const seed = 54
	c := startCluster(t, options{seed: seed, service: slowService})
	c.hideVM("entry-2", "service-1")
	c.setFaults("log", logsvc.Faults{LoseAnswers: lostAnswerShare, SlowMS: 20})
	entries := []*client.Client{c.clientOf("entry-1"), c.clientOf("entry-2")}
	w := c.startCallers(writers, seed, func(t *traffic, caller int, rng *rand.Rand) {
		call := t.newOrder(rng)
		var both sync.WaitGroup
		for _, cl := range entries {
			both.Go(func() { t.sendUntilAnswered(cl, caller, maxAttempts, call) })
		}
		both.Wait()
	})
	w.waitAnswered(150)
	w.verifyKeys()
}

// hideVM restarts a process with its own VM list, which lacks another VM, like a list
// that is out of date.
func (c *cluster) hideVM(from, missing string) {
	c.t.Helper()
	ownList := c.site.ByName("vms")
	realURL := ownList.URL
	addr := strings.Replace(strings.TrimPrefix(realURL, "http://"), ".0.1:", ".0.2:", 1)
	ownList.Name, ownList.URL, ownList.Args = "vms-of-"+from, "http://"+addr, []string{"vms", "--listen", addr}
	c.start(ownList)
	c.waitFor("the second list is up", func() error {
		return site.SendJSON(c.ctx, http.MethodGet, ownList.URL+"/livez", nil, nil)
	})
	var list []platform.VM
	require.NoError(c.t, site.SendJSON(c.ctx, http.MethodGet, realURL+"/truth", nil, &list))
	for _, vm := range list {
		if vm.Name != missing {
			require.NoError(c.t, site.SendJSON(c.ctx, http.MethodPut, ownList.URL+"/vms/"+vm.Name, vm, nil))
		}
	}
	c.restart(from, "--platform.vms", ownList.URL)
}

// restart kills a process, starts it with additional settings and waits until it is
// ready.
func (c *cluster) restart(name string, settings ...string) {
	c.t.Helper()
	p := c.site.ByName(name)
	p.Args = append(slices.Clone(p.Args), settings...)
	c.kill(name)
	c.start(p)
	c.waitFor(name+" is ready again", func() error { return c.checkReady(name) })
}
