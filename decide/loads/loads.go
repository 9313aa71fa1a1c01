// Package loads decides when an engine loads a named weight version. A sample
// of step k may be made by version k or k-1, so that an engine need not load
// every version: half of the engines load the even ones and half the odd ones.
// Half of them then serve at any time, each version costs half of the loads,
// and no engine is ever more than one version behind. The package has no clock
// and does no I/O.
package loads

import (
	"slices"
	"time"
)

// Want is what an engine should load.
type Want struct {
	Model   string
	Version uint64
	// Wait is how long after the version was named the load should begin, so
	// that engines load in waves.
	Wait time.Duration
	// Urgent: what the engine has is too old for the step that runs now.
	Urgent bool
}

// atOnce is the share of the engines that load at one moment. Loads slow each
// other down when about a quarter of the engines load (2 of 8, 9 of 45).
const atOnce = 5

// Choose returns what the engine self should load of a model whose newest
// version is named; nil: nothing. have is what self serves now, engines are all
// that serve the model (self included), models all names of models, and took is
// how long a load takes.
func Choose(self string, have uint64, engines []string, models []string, model string, named uint64, took time.Duration) *Want {
	if have >= named {
		return nil
	}
	sorted := slices.Sorted(slices.Values(engines))
	rank := slices.Index(sorted, self)
	if rank < 0 {
		return nil
	}
	order := slices.Sorted(slices.Values(models))
	turn := (uint64(rank)+named+uint64(max(0, slices.Index(order, model))))%2 == 0
	urgent := have+1 < named
	if !turn && !urgent {
		return nil
	}
	wave := max(1, (len(sorted)+atOnce-1)/atOnce)
	place := rank / 2 // among those whose turn it is
	return &Want{Model: model, Version: named, Wait: time.Duration(place/wave) * took, Urgent: urgent}
}
