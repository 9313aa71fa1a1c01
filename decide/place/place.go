// Package place decides which engine gets which sample. It answers the load of
// synchronous training: a whole step arrives at once, the trainer waits for the
// last sample of almost every group, and one sample in twelve is several times
// longer than the others. So samples are bound late, the longest first, to the
// engine with the most room, and leave an engine that is much slower than its
// peers (Assign, Leave). Where trainers ask for more than the engines can make,
// groups that can be made in time go before the others (Order). It has no clock and
// does no I/O.
package place

import "slices"

// Engine is a model engine as its users see it.
type Engine struct {
	ID    string
	Slots int
	// Load is the number of samples that run or wait there.
	Load int
	// Pace is the time of one event there, in any unit that all engines
	// share; 0: not known.
	Pace float64
	// Versions holds the weight version of each model that may be used now. A
	// model whose weights are being loaded is not in it.
	Versions map[string]uint64
	// Loading holds the version of each model that is being loaded; it is not in
	// Versions.
	Loading map[string]uint64
}

// Sample is one sample that wants an engine.
type Sample struct {
	ID    string
	Model string
	// Floor is the oldest weight version that may make it.
	Floor uint64
	// Only is the one version that may go on with it; 0: any from the floor on.
	OnlyVersion uint64
	// Left is how much of it is still to be made, in any unit that all
	// samples share.
	Remaining float64
	// Rank goes before Left; lower is sooner.
	Rank int
	// Due is how long until its results are due, in units of engines' Pace; 0 or
	// below: it is late, or this is not known.
	Due float64
	// Waited is the seconds for which it has been at no engine.
	Waited float64
	// Step is the index of its step, Group names its group there. Must: the step's
	// trainer waits for this group, whatever others are whole.
	Step     int
	Group    string
	Required bool
	// Avoid names engines that failed it lately.
	Avoid map[string]bool
	// Prompt names what it shares with its siblings; an engine that has read
	// it need not do so again.
	Prompt string
}

// Choice binds a sample to an engine.
type Choice struct {
	Sample int // index
	Engine int // index
}

// Weights of the choice, in shares of a full engine.
const (
	// warmGain is what a prompt that the engine has read is worth: reading one
	// takes as long as a few tokens, so it only breaks ties of a slot or less.
	warmPromptBonus = 0.13
	// paceGain is what an engine that takes twice as long as the median costs. One
	// sample more slows an engine down by under 1%, so that a step is as long as its
	// longest samples take at the engines that they got; with a third of the engines
	// 1.3 times slower these are used once the others are two thirds full. It is no
	// more than that, since places that others have just taken are known late.
	slowPacePenalty = 2
)

// slowShare is the part of the time left until results are due in which a sample has to
// be whole at an engine that a fault has slowed down, to begin there while engines of
// the usual pace serve it too, though they are full. Guesses of lengths are off by a
// factor of two and more, and a group waits for the last of its samples, so that one which
// just fits by its guess is often late.
const maxSlowShare = 0.25

// slowWait is the seconds after which a sample takes a slow engine's place all the same,
// so that none is left at no engine for long while places are free. Scarce engines make
// most samples wait for some seconds; sent to slow ones sooner they take those from short
// ones.
const maxSlowWait = 4.5

// Limits of leaving an engine.
const (
	// slowFactor is how much slower than the median an engine has to be for
	// its samples to leave it whatever is left of them: those slowed by a fault.
	slowFactor = 1.7
	// apart is how much slower an engine has to be than another for a long sample to
	// go on there. Measured paces of equal engines differ by a tenth.
	minPaceRatio = 1.25
	// leaveCost is the seconds that a sample has to gain by going on elsewhere, some
	// times what it costs: the prompt and text so far are read again in 30 ms, and
	// the event in the making, 40 to 100 ms, is made again.
	minMigrationGain = 0.4
)

// isSlow tells whether a fault has slowed an engine down, by the median pace of all.
func isSlow(e *Engine, median float64) bool { return e.Pace > slowFactor*median }

func hasRoomFor(e *Engine, s *Sample) bool { return e.Load < e.Slots && serves(e, s) }

// serves tells whether an engine has weights that may make a sample.
func serves(e *Engine, s *Sample) bool {
	version, known := e.Versions[s.Model]
	return known && version >= s.Floor && (s.OnlyVersion == 0 || version == s.OnlyVersion)
}

// score rates an engine; less is better.
func score(e *Engine, median float64) float64 {
	load := float64(e.Load+1) / float64(max(1, e.Slots))
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

// quantile is the value above zero below which one in so many of them lie, 2 for the
// lower median; 0: there are none.
func quantile(values []float64, parts int) float64 {
	values = slices.DeleteFunc(values, func(v float64) bool { return v <= 0 })
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/parts]
}

// Served tells whether any engine has the one version that may go on with a
// sample, with room or without.
func HasOnlyVersion(engines []Engine, s *Sample) bool {
	for i := range engines {
		if version, serves := engines[i].Versions[s.Model]; serves && version == s.OnlyVersion {
			return true
		}
	}
	return false
}

// Progress is how the text of a sample has come on so far.
type Progress struct {
	// Made is how much of it is there.
	Made float64
	// Since is how much of Made came in the last Took seconds: since the sample
	// began, or since its present owner took it on.
	MadeByOwner, OwnerSeconds float64
	// Setbacks is how many of its streams ended early in that time.
	BrokenStreams int
}

// BeginsAgain tells whether a sample that only one weight version may go on with
// is likely to be whole sooner if its text is dropped and another engine begins
// it. The failure it answers: the only engine with that version breaks off each
// stream after an event or two, while others with newer weights stand free. The
// sample then crept on by an event in 0.4 s, and its group, which it held up,
// came too late or never. What the text still needs at the rate so far is weighed
// against the whole of it at the usual pace, so that one broken connection late in
// a text drops nothing.
func ShouldRestart(engines []Engine, s *Sample, p Progress) bool {
	if s.OnlyVersion == 0 || p.BrokenStreams == 0 || !canRestartElsewhere(engines, s) {
		return false
	}
	pace := medianPace(engines)
	if pace == 0 {
		return p.BrokenStreams > 1 // no stream has brought two events in a row yet
	}
	continueSeconds := s.Remaining * p.OwnerSeconds / max(1, p.MadeByOwner)
	return continueSeconds > (p.Made+s.Remaining)*pace
}

// canBegin tells whether an engine with another version than the sample's own has
// room for it.
func canRestartElsewhere(engines []Engine, s *Sample) bool {
	restarted := *s
	restarted.OnlyVersion = 0
	return slices.ContainsFunc(engines, func(e Engine) bool {
		return e.Versions[s.Model] != s.OnlyVersion && !s.Avoid[e.ID] && hasRoomFor(&e, &restarted)
	})
}
