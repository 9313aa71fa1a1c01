package steps_test

import (
	"testing"
	"time"

	"dandelionsill.org/manifest"
)

// A manifest moves a trainer from model "old" at version 900 to model "m" at version 1. The
// versions of the two models are unrelated. If the entry stored the trainer's newest version
// without the model, it would require version 899 of "m" and send that floor to the agents.
// No engine would be fresh enough, and the step would never end.
func TestTrainerMovesToAnotherModel(t *testing.T) {
	inBubble(t, func(w *world) {
		w.agents(2, 4, 100)
		w.configureTrainer(func(tr *manifest.Trainer) { tr.Model = "old" })
		w.view.v.Manifest.Models["old"] = manifest.Model{Name: "old", MaxTokens: 4096}
		w.entry("a")
		first := step(1, 1)
		first.ID, first.NewestVersion = 7, 900
		w.post("a", first)
		w.reconfigure(func(tr *manifest.Trainer) { tr.Model = "m" })
		time.Sleep(time.Second)
		second := step(2, 2)
		second.ID = 8
		w.run(w.client("a"), second)
	})
}
