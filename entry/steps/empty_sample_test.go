package steps_test

import (
	"testing"
)

// One sample of a step is empty, because the model stops at its first token for that seed
// on every engine. The agent sends Done with 0 tokens. If the entry discarded the sample as
// unlabelled, it would generate it forever and the step would never end. An empty sample
// is valid: no token lacks a label.
func TestEmptySampleEndsTheStep(t *testing.T) {
	inBubble(t, func(w *world) {
		w.agents(2, 4, 100)
		for _, a := range w.fleet.agents {
			a.length = func(seed uint64) int {
				if seed == 1001 {
					return 0
				}
				return 40
			}
		}
		w.entry("a")
		w.run(w.client("a"), step(2, 4))
	})
}
