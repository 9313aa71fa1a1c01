package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"dandelionsill.org/load/site"
	"dandelionsill.org/manifest"
	"dandelionsill.org/standin/logsvc"
)

const watchInterval = 10 * time.Millisecond

// revisionWatcher polls the revision that each process reports as in force, every
// watchInterval.
type revisionWatcher struct {
	mu         sync.Mutex
	statuses   map[string]site.Status // newest status of each process's current incarnation
	violations []string               // decreased or changed revisions
	answers    int
	stop       func()
}

// watchRevisions starts a watcher of all agents and entries.
func (c *cluster) watchRevisions() *revisionWatcher {
	w := &revisionWatcher{statuses: map[string]site.Status{}}
	stopping := make(chan struct{})
	var running sync.WaitGroup
	for _, p := range c.site.AgentsAndEntries() {
		running.Go(func() {
			tick := time.NewTicker(watchInterval)
			defer tick.Stop()
			for {
				select {
				case <-stopping:
					return
				case <-tick.C:
					w.poll(c, p)
				}
			}
		})
	}
	w.stop = sync.OnceFunc(func() {
		close(stopping)
		running.Wait()
	})
	c.t.Cleanup(w.stop)
	return w
}

func (w *revisionWatcher) poll(c *cluster, p site.Process) {
	knownBefore := w.isKnown(p.Name)
	var st site.Status
	if site.SendJSON(c.ctx, http.MethodGet, p.URL+"/v1/status", nil, &st) != nil {
		return // the process is down
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	before, known := w.statuses[p.Name]
	if known != knownBefore {
		return // reset during this request: the answer may be from the previous incarnation
	}
	w.answers++
	decreased := st.Revision < before.Revision
	changed := st.Revision == before.Revision && st.Hash != before.Hash
	if known && (decreased || changed) {
		w.violations = append(w.violations, fmt.Sprintf("%s: %+v after %+v", p.Name, st, before))
	}
	w.statuses[p.Name] = st
}

func (w *revisionWatcher) isKnown(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, known := w.statuses[name]
	return known
}

// reset forgets a process's status: its next incarnation starts without a revision.
func (w *revisionWatcher) reset(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.statuses, name)
}

// requireMonotonic stops the watcher and requires that no process's revision decreased
// or changed its content.
func (w *revisionWatcher) requireMonotonic(t *testing.T) {
	t.Helper()
	w.stop()
	require.Empty(t, w.violations)
	require.Positive(t, w.answers)
	t.Logf("%d answers of /v1/status, no revision decreased", w.answers)
}

// In each round several operators commit over the same revision, while the log loses
// a third of its answers and one entry and one agent are partitioned from it. An
// operator whose answer is lost must still learn whether its commit won, and the two
// partitioned processes must receive the winner from peers. Then the log goes down and
// an agent's VM is replaced: the new process can get the revision only from its peers.
// No process may ever report a lower revision than before.
func TestOperatorsRaceWithLogFaults(t *testing.T) {
	const seed, rounds, operators = 61, 4, 3
	c := startCluster(t, options{seed: seed})
	watch := c.watchRevisions()
	c.setFaults("log", logsvc.Faults{LoseAnswers: lostAnswerShare, DropClients: []string{"entry-2", "service-1"}})
	first := configState{1, manifest.Hash(c.site.Manifest("first revision"))}
	var ops collector[porcupine.Operation]
	for round := range rounds {
		parent := uint64(round + 1)
		require.Equal(t, 1, c.raceCommits(&ops, round, operators, parent), "winners of round %d", round)
		ops.add(c.readConfig(operators, parent+1))
	}
	const last = rounds + 1

	c.setFaults("log", logsvc.Faults{Down: true})
	c.kill("engine-2")
	watch.reset("engine-2")
	c.start(c.site.ByName("engine-2"))
	ops.add(c.readConfig(operators, last)) // includes engine-2

	c.setFaults("log", logsvc.Faults{})
	require.Equal(t, 1, c.raceCommits(&ops, rounds, operators, last))
	ops.add(c.readConfig(operators, last+1))
	watch.requireMonotonic(t)
	require.True(t, porcupine.CheckOperations(configModel(first), ops.all()))
}
