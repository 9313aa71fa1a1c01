// Package place decides which engine runs which sample. It is designed for synchronous
// training: a whole step arrives at once, the trainer waits for the last sample of
// almost every group, and one sample in twelve is several times longer than the others.
// Samples are therefore bound late, the longest first, to the engine with the most free
// slots, and migrate from engines that are much slower than their peers (Assign,
// ChooseMigration). Where trainers request more than the engines can make, groups that
// can be completed in time precede the others (Order). The package has no clock and
// does no I/O.
package place

import "slices"

// Engine is a model engine as seen by the process that places samples.
type Engine struct {
	ID    string
	Slots int
	// Load is the number of samples that run or wait on the engine.
	Load int
	// Pace is the time of one event, in a unit that all engines share; 0 if it is not
	// known.
	Pace float64
	// Versions holds the usable weight version of each model. It does not contain a
	// model whose weights are being loaded.
	Versions map[string]uint64
	// Loading holds the version of each model that is being loaded. These models are
	// not in Versions.
	Loading map[string]uint64
	// Cold means that the engine has just started and takes few requests a second.
	Cold bool
	// Cost is added to the engine's score; see the function Cost.
	Cost float64
}

// Sample is a sample to be placed on an engine.
type Sample struct {
	ID    string
	Model string
	// Floor is the oldest weight version allowed.
	Floor uint64
	// OnlyVersion is the only version that may continue the sample; 0 means any version
	// from Floor on.
	OnlyVersion uint64
	// Remaining is the length still to be made, in a unit that all samples share.
	Remaining float64
	// Rank takes precedence over Remaining; lower goes first.
	Rank int
	// Due is the time until results are due, in units of the engines' Pace. It is 0 or
	// negative if the sample is late or its due time is not known.
	Due float64
	// Waited is the number of seconds for which the sample has been on no engine.
	Waited float64
	// Step is the index of the sample's step and Group the name of its group in the
	// step. Required means that the trainer waits for this group, however many others
	// are complete.
	Step     int
	Group    string
	Required bool
	// Avoid holds the ids of engines on which the sample failed recently.
	Avoid map[string]bool
	// Prompt identifies the prompt that the sample shares with its siblings. An engine
	// that has read it need not read it again.
	Prompt string
}

// Choice binds a sample to an engine.
type Choice struct {
	Sample int // index
	Engine int // index
}

// Weights of the score, as shares of a full engine.
const (
	// warmPromptBonus is the advantage of an engine that has read the sample's prompt.
	// Reading a prompt takes as long as a few tokens, so the bonus only decides between
	// engines whose loads differ by at most one slot.
	warmPromptBonus = 0.13
	// slowPacePenalty is the penalty of an engine that takes twice as long as the
	// median. One more sample slows an engine down by under 1%, so a step lasts as long
	// as its longest samples take on the engines that they got. With a third of the
	// engines 1.3 times slower, these are used once the others are two thirds full. A
	// higher penalty would rely too much on loads that are out of date, because slots
	// just taken by other processes become known late.
	slowPacePenalty = 2
	// coldPenalty is the penalty of a cold engine: it is used once the others are full.
	coldPenalty = 1
)

// maxSlowShare is the share of the time until the due time within which a sample must
// be expected to finish on an engine slowed by a fault in order to start there, if
// engines of normal speed serve it but are full. Length estimates are off by a factor
// of two and more, and a group waits for its last sample, so a sample that just fits by
// its estimate is often late.
const maxSlowShare = 0.25

// maxSlowWait is the number of seconds after which a sample takes a slot on a slow
// engine in any case, so that no sample waits long while slots are free. When engines
// are scarce, most samples wait for some seconds; with a shorter wait, long samples
// would take slots on slow engines from short ones.
const maxSlowWait = 4.5

// Limits of migration.
const (
	// slowFactor is how many times slower than the median an engine must be to count as
	// slowed by a fault. All samples leave such an engine, whatever their remaining
	// length.
	slowFactor = 1.7
	// minPaceRatio is how many times slower than another an engine must be for a long
	// sample to migrate between them. Measured paces of equal engines differ by a
	// tenth.
	minPaceRatio = 1.25
	// minMigrationGain is the number of seconds that a migration must save. It is
	// several times its cost: reading the prompt and the text so far again takes 30 ms,
	// and the event in progress, 40 to 100 ms, is made again.
	minMigrationGain = 0.4
)

// isSlow reports whether an engine counts as slowed by a fault, given the median pace
// of all engines.
func isSlow(e *Engine, median float64) bool { return e.Pace > slowFactor*median }

func hasFreeSlotFor(e *Engine, s *Sample) bool { return e.Load < e.Slots && serves(e, s) }

// serves reports whether an engine has weights that may make a sample.
func serves(e *Engine, s *Sample) bool {
	version, known := e.Versions[s.Model]
	return known && version >= s.Floor && (s.OnlyVersion == 0 || version == s.OnlyVersion)
}

// score rates an engine; lower is better.
func score(e *Engine, median float64) float64 {
	load := float64(e.Load+1)/float64(max(1, e.Slots)) + e.Cost
	if e.Cold {
		load += coldPenalty
	}
	if e.Pace > 0 && median > 0 {
		return load + slowPacePenalty*(e.Pace/median-1)
	}
	return load
}

func medianPace(engines []Engine) float64 { return quantile(pacesOf(engines), 2) }

func pacesOf(engines []Engine) []float64 {
	paces := make([]float64, 0, len(engines))
	for _, e := range engines {
		paces = append(paces, e.Pace)
	}
	return paces
}

// quantile returns the lower 1/parts quantile of the positive values: 2 gives the lower
// median, 4 the first quartile. It returns 0 if no value is positive.
func quantile(values []float64, parts int) float64 {
	values = slices.DeleteFunc(values, func(v float64) bool { return v <= 0 })
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/parts]
}

// HasOnlyVersion reports whether any engine, with or without a free slot, has the
// sample's OnlyVersion.
func HasOnlyVersion(engines []Engine, s *Sample) bool {
	for i := range engines {
		if version, serves := engines[i].Versions[s.Model]; serves && version == s.OnlyVersion {
			return true
		}
	}
	return false
}

// Progress is the progress of a sample's text.
type Progress struct {
	// Made is the length made so far.
	Made float64
	// MadeByOwner is the part of Made that was made in the last OwnerSeconds, which is
	// the time since the sample started or since its present owner took it over.
	MadeByOwner, OwnerSeconds float64
	// BrokenStreams is the number of the sample's streams that ended early in that
	// time.
	BrokenStreams int
}

// ShouldRestart reports whether a sample that only one weight version may continue is
// likely to finish sooner if its text is dropped and another engine starts it again. It
// guards against this failure: the only engine with that version breaks off each stream
// after an event or two, while engines with newer weights are free. The sample then
// progressed by one event per 0.4 s, and its group completed too late or never.
// ShouldRestart compares the time to finish at the rate so far with the time to make
// the whole text at the median pace. One broken connection near the end of a text
// therefore does not drop it.
func ShouldRestart(engines []Engine, s *Sample, p Progress) bool {
	if s.OnlyVersion == 0 || p.BrokenStreams == 0 || !canRestartElsewhere(engines, s) {
		return false
	}
	pace := medianPace(engines)
	if pace == 0 {
		return p.BrokenStreams > 1 // no stream has delivered two consecutive events yet
	}
	continueSeconds := s.Remaining * p.OwnerSeconds / max(1, p.MadeByOwner)
	return continueSeconds > (p.Made+s.Remaining)*pace
}

// canRestartElsewhere reports whether an engine with a version other than the sample's
// OnlyVersion has a free slot for it.
func canRestartElsewhere(engines []Engine, s *Sample) bool {
	restarted := *s
	restarted.OnlyVersion = 0
	return slices.ContainsFunc(engines, func(e Engine) bool {
		return e.Versions[s.Model] != s.OnlyVersion && !s.Avoid[e.ID] && hasFreeSlotFor(&e, &restarted)
	})
}
