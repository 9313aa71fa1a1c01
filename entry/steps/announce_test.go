package steps_test

import (
	"testing"
	"time"

	"dandelionsill.org/manifest"
)

// A trainer stores version 2 and crashes before it announces it. It restarts from its
// checkpoint, takes the newest version in the store for its own and posts a step with
// newest_version 2 and a staleness bound of 0. Without the announcement by the entry,
// the floor is 2, but no engine loads version 2, so the step never ends.
func TestNewestVersionOfAPostIsAnnounced(t *testing.T) {
	inBubble(t, func(w *world) {
		w.configureTrainer(func(tr *manifest.Trainer) { tr.StalenessBound = 0 })
		w.agents(2, 4, 100)
		w.view.Announce("m", 1)
		w.entry("a")
		after(5*time.Second, func() { // engines load the announced version
			for _, a := range w.fleet.agents {
				a.mu.Lock()
				a.version = w.view.View().Versions["m"]
				a.mu.Unlock()
			}
		})
		st := step(2, 2)
		st.NewestVersion = 2
		w.run(w.client("a"), st)
	})
}
