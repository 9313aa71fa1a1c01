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
type Target struct {
	Model   string
	Version uint64
	// Wait is how long after the version was named the load should begin, so
	// that engines load in waves.
	Delay time.Duration
	// Urgent: what the engine has is too old for the step that runs now.
	Urgent bool
}

// atOnce is the share of the engines that load at one moment. Loads slow each
// other down when about a quarter of the engines load.
const enginesPerParallelLoad = 5

// spread is how many engines serve a model, in parts of what it would get if each
// engine served one model: an engine serves two. Each version is then loaded by as many
// as a model's share of the engines. With fewer the samples of a step, which comes as a
// whole, wait for each other's places, and a long one that was taken for a short one
// begins too late; with more, loads are due that can't be done.
const modelsPerEngine = 2

// Fleet is the engines of a service and the models that they share.
type Fleet struct {
	Engines []string
	Models  []string
	// Took is how long a load takes and Every how often a version of a model is
	// named; 0: not known.
	LoadTime, NamingInterval time.Duration
}

// Serves tells whether an engine is among those that follow a model's versions.
// Each model has a window of the engines in order of their ids, and the windows
// overlap evenly, so that an engine that comes or goes moves few others.
func (f Fleet) Serves(engine, model string) bool {
	rank, _ := f.rank(engine, model)
	return rank >= 0
}

// rank is the engine's place in the model's window, and the window's size; a
// rank of -1: not in it.
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

// window is how many engines follow a model's versions: the spread, but no more
// than can load each second version in time. Were more to follow, so many would
// load at one moment that each load took longer than the next version leaves time
// for, and hardly any engine would be fresh enough.
func (f Fleet) windowSize() int {
	n, models := len(f.Engines), len(f.Models)
	size := max(1, min(n, modelsPerEngine*n/models))
	if f.LoadTime <= 0 || f.NamingInterval <= 0 {
		return size
	}
	loadsPerSlot := 2 * f.NamingInterval.Seconds() / f.LoadTime.Seconds() // loads that one place for loads makes in two versions
	feasible := int(float64(maxParallelLoads(n)) * loadsPerSlot / float64(models))
	return min(size, max(feasible, minWindow))
}

// leastWindow is one engine for each parity.
const minWindow = 2

// loadsAtOnce is how many of n engines load at one moment without slowing each
// other down.
func maxParallelLoads(n int) int { return (n + enginesPerParallelLoad - 1) / enginesPerParallelLoad }

// Parity is which versions an engine loads in its turn: the even or the odd ones.
type Parity uint64

// Parity returns the parity of an engine of a model by its place among the
// others. An engine keeps what it got first: were it to follow its place, each
// engine that comes or goes would turn half of the others over, and those then
// hold versions too old for the step that runs.
func (f Fleet) Parity(engine, model string) Parity {
	rank, _ := f.rank(engine, model)
	return Parity(max(0, rank) % 2)
}

// Choose returns what the engine self should load of a model whose newest
// version is named; nil: nothing. have is what self serves now.
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
	position := rank / 2 // among those whose turn it is
	return &Target{Model: model, Version: named, Delay: time.Duration(position/waveSize) * f.LoadTime, Urgent: urgent}
}

// waves is the most waves in which a model's engines load a version. A step
// that begins with the version has samples for all its engines within two.
const maxWaves = 2
