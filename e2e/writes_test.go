package e2e

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/load/site"
)

const callerCount = 8

// slowService is a service whose runs take long enough for several to be in flight when
// a process is killed.
var slowService = site.ServiceModel{Mean: 30 * time.Millisecond}

// Callers write orders, with and without keys, while the agent of one of the two servers
// is killed. The writes that it had end with "outcome unknown"; callers with a key
// repeat it and get the first run's answer or are refused. Nothing may run twice: the
// agent's in-memory state of its keys is lost, so a key that it may have run must not
// run elsewhere.
func TestAgentKilledUnderWrites(t *testing.T) {
	const seed = 11
	c := startCluster(t, options{seed: seed, service: slowService})
	w := c.startTraffic(2*callerCount, seed, callShares{reads: 0.2, keyed: 0.5})
	w.waitAnswered(200)
	c.kill("service-1")
	w.waitAnswered(300)
	c.start(c.site.ByName("service-1")) // a new incarnation of the same VM
	w.waitAnswered(300)
	calls, runs := w.verify()
	require.NotEmpty(t, runs)
	for i := range calls {
		if !calls[i].Write { // entries repeat reads, so that callers see no failure
			require.True(t, calls[i].Result.OK(), "read: %+v", calls[i].Result)
		}
	}
}

// An agent is suspended during writes, as when its VM is, until every caller whose request
// it held has got "outcome unknown" or "not run", and is then resumed. It must not
// run a request that was answered "not run", nor a key that ran elsewhere meanwhile.
func TestAgentPausedUnderWrites(t *testing.T) {
	const seed = 12
	c := startCluster(t, options{seed: seed, service: slowService})
	w := c.startTraffic(2*callerCount, seed, callShares{reads: 0.2, keyed: 0.5})
	w.waitAnswered(200)
	c.suspend("service-1")
	w.waitTurnover()
	c.resume("service-1")
	w.waitAnswered(300)
	w.verify()
}

// An entry is killed while it forwards writes. Its callers' connections break and they
// don't know the outcome; those with a key repeat it at the other entry. The agents,
// which continue to run, must run no key twice.
func TestEntryKilledUnderWrites(t *testing.T) {
	const seed = 13
	c := startCluster(t, options{seed: seed, service: slowService})
	w := c.startTraffic(2*callerCount, seed, callShares{reads: 0.2, keyed: 0.6})
	w.waitAnswered(200)
	c.kill("entry-1")
	w.waitAnswered(400)
	w.verify()
}
