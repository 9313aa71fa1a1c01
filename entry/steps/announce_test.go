package steps_test

import (
	"testing"
	"time"

	"dandelionsill.org/manifest"
)

// A trainer puts version 2 into the store and dies before its word of it
// reached an entry. It comes back from its checkpoint, takes the store's newest
// for its own and posts a step with newest_version 2 and a bound of 0. The entry
// raises the floor to 2 but tells nobody of version 2: no engine ever loads it,
// every engine stays below the floor, and the step never ends.
func TestNewestVersionOfAPostIsAnnounced(t *testing.T) {
	inBubble(t, func(w *world) {
		w.configureTrainer(func(tr *manifest.Trainer) { tr.StalenessBound = 0 })
		w.agents(2, 4, 100)
		w.view.Announce("m", 1)
		w.entry("a")
		after(5*time.Second, func() { // engines load what is announced
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
