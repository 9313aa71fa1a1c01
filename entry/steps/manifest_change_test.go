package steps_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/confsync"
	"dandelionsill.org/kinds"
	"dandelionsill.org/manifest"
	"dandelionsill.org/wire/pb"
)

// reconfigure changes the trainer's settings, like a new manifest revision.
func (w *world) reconfigure(change func(*manifest.Trainer)) {
	w.view.mu.Lock()
	defer w.view.mu.Unlock()
	tr := w.view.v.Manifest.Trainers["t"]
	change(&tr)
	m := *w.view.v.Manifest
	m.Trainers = map[string]manifest.Trainer{"t": tr}
	w.view.v = &confsync.View{Manifest: &m, Versions: w.view.v.Versions}
	close(w.view.changed)
	w.view.changed = make(chan struct{})
}

// The operator disables mixed samples during a long step. Samples that start after the
// revision is in force must not be requested as mixed: if the step kept the settings of its
// POST, the trainer would get samples over two versions, which the manifest forbids.
func TestMixedSwitchedOffMidStep(t *testing.T) {
	inBubble(t, func(w *world) {
		w.configureTrainer(func(tr *manifest.Trainer) { tr.AllowMixed = true })
		w.agents(2, 2, 20)
		inForce, forbiddenRequests := false, 0
		for _, a := range w.fleet.agents {
			a.refuseRequest = func(req *pb.GenerateRequest, _ int) *kinds.Error {
				if inForce && req.GetAllowMixed() {
					forbiddenRequests++
				}
				return nil
			}
		}
		w.entry("a")
		after(3*time.Second, func() { w.reconfigure(func(tr *manifest.Trainer) { tr.AllowMixed = false }) })
		after(6*time.Second, func() {
			for _, a := range w.fleet.agents {
				a.mu.Lock()
				defer a.mu.Unlock()
			}
			inForce = true
		})
		w.run(w.client("a"), step(6, 4))
		require.Zero(t, forbiddenRequests, "requests for mixed samples, 3 s after the manifest forbade them")
	})
}

// The operator lowers the staleness bound from 5 to 0 during a step; version 3 is announced,
// engine 0 serves 1 and engine 1 serves 3. If the entry kept the floor of the old bound, an
// agent that does not have the new manifest yet would deliver tokens older than the bound.
func TestBoundLoweredMidStep(t *testing.T) {
	inBubble(t, func(w *world) {
		w.configureTrainer(func(tr *manifest.Trainer) { tr.StalenessBound = 5 })
		w.agents(2, 2, 20)
		w.fleet.agents[1].version = 3
		w.view.Announce("m", 3)
		inForce, staleRequests := false, 0
		for _, a := range w.fleet.agents {
			a.refuseRequest = func(req *pb.GenerateRequest, _ int) *kinds.Error {
				if inForce && req.GetFloor() < 3 {
					staleRequests++
				}
				return nil
			}
		}
		w.entry("a")
		after(3*time.Second, func() { w.reconfigure(func(tr *manifest.Trainer) { tr.StalenessBound = 0 }) })
		after(6*time.Second, func() {
			for _, a := range w.fleet.agents {
				a.mu.Lock()
				defer a.mu.Unlock()
			}
			inForce = true
		})
		w.run(w.client("a"), step(6, 4))
		require.Zero(t, staleRequests, "requests below the bound in force, 3 s after it was lowered")
	})
}
