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

const watchEvery = 10 * time.Millisecond

// revisions watches what every process says is in force, without a pause.
type revisions struct {
	mu    sync.Mutex
	held  map[string]site.Status // the newest word of a process's life
	falls []string               // what must never be seen
	asks  int
	stop  func()
}

// watchRevisions starts a watcher of every agent and entry.
func (c *cluster) watchRevisions() *revisions {
	w := &revisions{held: map[string]site.Status{}}
	halt := make(chan struct{})
	var running sync.WaitGroup
	for _, p := range c.site.AgentsAndEntries() {
		running.Go(func() {
			tick := time.NewTicker(watchEvery)
			defer tick.Stop()
			for {
				select {
				case <-halt:
					return
				case <-tick.C:
					w.ask(c, p)
				}
			}
		})
	}
	w.stop = sync.OnceFunc(func() {
		close(halt)
		running.Wait()
	})
	c.t.Cleanup(w.stop)
	return w
}

func (w *revisions) ask(c *cluster, p site.Process) {
	life := w.life(p.Name)
	var st site.Status
	if site.SendJSON(c.ctx, http.MethodGet, p.URL+"/v1/status", nil, &st) != nil {
		return // it is down
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	before, known := w.held[p.Name]
	if known != life {
		return // forgotten while this answer was under way: it may be an older life's
	}
	w.asks++
	fell := st.Revision < before.Revision
	changed := st.Revision == before.Revision && st.Hash != before.Hash
	if known && (fell || changed) {
		w.falls = append(w.falls, fmt.Sprintf("%s: %+v after %+v", p.Name, st, before))
	}
	w.held[p.Name] = st
}

func (w *revisions) life(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, known := w.held[name]
	return known
}

// forget begins a new life of a process, which holds nothing at first.
func (w *revisions) forget(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.held, name)
}

// never requires that no revision was seen to fall or to change its content.
func (w *revisions) never(t *testing.T) {
	t.Helper()
	w.stop()
	require.Empty(t, w.falls)
	require.Positive(t, w.asks)
	t.Logf("%d answers of /v1/status, none fell", w.asks)
}

// Operators commit over the same revision, round after round, while the log
// loses a third of the answers and one entry and one agent are cut off from
// it. An operator whose answer is lost must still learn whether it won; the
// two that are cut off hear of the winner from peers. Then the log goes down
// and an agent's VM is replaced: the new process has only its peers to tell
// it. No process may ever show a lower revision than before.
func TestOperatorsRaceWithoutTheWholeLog(t *testing.T) {
	const seed, rounds, operators = 61, 4, 3
	c := up(t, options{seed: seed})
	watch := c.watchRevisions()
	c.faults("log", logsvc.Faults{LoseAnswers: loseShare, DropClients: []string{"entry-2", "service-1"}})
	first := configState{1, manifest.Hash(c.site.Manifest("first revision"))}
	var ops collect[porcupine.Operation]
	for round := range rounds {
		parent := uint64(round + 1)
		require.Equal(t, 1, c.race(&ops, round, operators, parent), "winners of round %d", round)
		ops.add(c.readConfig(operators, parent+1))
	}
	const last = rounds + 1

	c.faults("log", logsvc.Faults{Down: true})
	c.kill("engine-2")
	watch.forget("engine-2")
	c.start(c.site.ByName("engine-2"))
	ops.add(c.readConfig(operators, last)) // engine-2 among them

	c.faults("log", logsvc.Faults{})
	require.Equal(t, 1, c.race(&ops, rounds, operators, last))
	ops.add(c.readConfig(operators, last+1))
	watch.never(t)
	require.True(t, porcupine.CheckOperations(configModel(first), ops.all()))
}
