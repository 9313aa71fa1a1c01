// Package loads decides when an engine loads a named weight version. A sample of step k
// may be made by version k or k-1, so an engine need not load every version: half of
// the engines load the even versions and half the odd ones. Half of the engines then
// serve at any time, each version costs half of the loads, and no engine is more than
// one version behind. The package has no clock and does no I/O.
package loads

import (
	"slices"
	"time"
)

// Target is the weight version that an engine should load.
type Target struct {
	Model   string
	Version uint64
	// Delay is the time after the version was named at which the load should start, so
	// that engines load in waves.
	Delay time.Duration
	// Urgent reports whether the engine's current version is too old for the step that
	// is running now.
	Urgent bool
}

// enginesPerParallelLoad is the number of engines per load that may run at the same
// time. Loads slow each other down when about a quarter of the engines load.
const enginesPerParallelLoad = 5

// modelsPerEngine is the number of models that an engine follows. Each version is then
// loaded by a model's share of the engines. With fewer engines per model, the samples
// of a step, which arrives as a whole, wait for each other's slots, and a long sample
// that was estimated as short starts too late. With more, not all due loads can be
// done.
const modelsPerEngine = 2

// Fleet is the engines of a service and the models that they share.
type Fleet struct {
	// Engines are the engines that a model's samples may use.
	Engines []string
	Models  []string
	// Total is the number of engines of the service, if they are more than Engines.
	Total int
	// LoadTime is the duration of a weight load, and NamingInterval the time between
	// versions of a model; 0 if not known.
	LoadTime, NamingInterval time.Duration
}

// Serves reports whether an engine is among those that follow a model's versions. Each
// model has a window of the engines sorted by id. The windows overlap evenly, so adding
// or removing an engine moves few others.
func (f Fleet) Serves(engine, model string) bool {
	rank, _ := f.rank(engine, model)
	return rank >= 0
}

// rank returns the engine's position in the model's window and the size of the window.
// A rank of -1 means that it is not in the window.
func (f Fleet) rank(engine, model string) (rank, size int) {
	engines := slices.Sorted(slices.Values(f.Engines))
	models := slices.Sorted(slices.Values(f.Models))
	engineIndex, modelIndex := slices.Index(engines, engine), slices.Index(models, model)
	if engineIndex < 0 || modelIndex < 0 {
		return -1, 0
	}
	n := len(engines)
	size = f.windowSize()
	rank = (engineIndex + n - modelIndex*n/len(models)) % n
	if rank >= size {
		return -1, size
	}
	return rank, size
}

// windowSize returns how many engines follow a model's versions: the model's share, but
// no more than can load every second version in time. If more followed, so many would
// load at the same time that each load took longer than the interval to the next
// version, and hardly any engine would be fresh enough.
func (f Fleet) windowSize() int {
	models, usable := len(f.Models), len(f.Engines)
	n := max(f.Total, usable)
	size := max(1, min(usable, modelsPerEngine*n/models))
	if f.LoadTime <= 0 || f.NamingInterval <= 0 {
		return size
	}
	loadsPerSlot := 2 * f.NamingInterval.Seconds() / f.LoadTime.Seconds() // loads that one of the parallel loads can complete in two versions' time
	feasible := int(float64(maxParallelLoads(n)) * loadsPerSlot / float64(models))
	return min(size, max(feasible, minWindow))
}

// minWindow is one engine for each parity.
const minWindow = 2

// maxParallelLoads returns how many of n engines can load at the same time without
// slowing each other down.
func maxParallelLoads(n int) int { return (n + enginesPerParallelLoad - 1) / enginesPerParallelLoad }

// Parity selects the versions that an engine loads in its turn: 0 for the even ones, 1
// for the odd ones.
type Parity uint64

// Parity returns the parity of an engine for a model, based on its position among the
// engines. Callers must keep the first result for as long as the engine runs. If the
// parity followed the position, each added or removed engine would switch the parity of
// half of the others, whose versions would then be too old for the running step.
func (f Fleet) Parity(engine, model string) Parity {
	rank, _ := f.rank(engine, model)
	return Parity(max(0, rank) % 2)
}

// Choose returns what the engine self should load of a model, or nil if nothing.
// current is the version that self serves, and named is the newest version.
func (f Fleet) Choose(self string, current uint64, model string, named uint64, parity Parity) *Target {
	if current >= named {
		return nil
	}
	rank, size := f.rank(self, model)
	if rank < 0 {
		return nil
	}
	isTurn := named%2 == uint64(parity)
	urgent := current+1 < named
	if !isTurn && !urgent {
		return nil
	}
	waveSize := max(1, maxParallelLoads(len(f.Engines)/len(f.Models)))
	waveSize = max(waveSize, (size/2+maxWaves-1)/maxWaves)
	position := rank / 2 // among the engines whose turn it is
	return &Target{Model: model, Version: named, Delay: time.Duration(position/waveSize) * f.LoadTime, Urgent: urgent}
}

// maxWaves is the maximum number of waves in which a model's engines load a version. A
// step that starts with the version has samples for all its engines within two waves.
const maxWaves = 2
