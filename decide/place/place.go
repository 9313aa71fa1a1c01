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
	Only uint64
	// Left is how much of it is still to be made, in any unit that all
	// samples share.
	Left float64
	// Rank goes before Left; lower is sooner.
	Rank int
	// Step is the index of its step, Group names its group there. Must: the step's
	// trainer waits for this group, whatever others are whole.
	Step  int
	Group string
	Must  bool
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
	warmGain = 0.13
	// slowFactor is how much slower than the median an engine has to be for
	// its samples to leave it. Engines of one kind differ by a few percent;
	// slowed ones by a factor of two or more.
	slowFactor = 1.7
)

func fits(e *Engine, s *Sample) bool {
	version, serves := e.Versions[s.Model]
	return serves && version >= s.Floor && (s.Only == 0 || version == s.Only) && e.Load < e.Slots
}

// score rates an engine; less is better.
func score(e *Engine, median float64) float64 {
	load := float64(e.Load+1) / float64(max(1, e.Slots))
	if e.Pace > 0 && median > 0 && e.Pace > slowFactor*median {
		return load + e.Pace/median
	}
	return load
}

func medianPace(engines []Engine) float64 {
	var paces []float64
	for _, e := range engines {
		if e.Pace > 0 {
			paces = append(paces, e.Pace)
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[(len(paces)-1)/2]
}

// Running is a sample that runs.
type Running struct {
	Sample
	Engine string
}

// Leave returns the index of a running sample that should go on elsewhere, for
// it runs on an engine much slower than the one that has room for it; -1: none.
// The one with the most left gains the most. One at a time keeps the room that
// was seen from being promised twice.
func Leave(engines []Engine, running []Running) int {
	median := medianPace(engines)
	if median == 0 {
		return -1
	}
	byID := make(map[string]*Engine, len(engines))
	for i := range engines {
		byID[engines[i].ID] = &engines[i]
	}
	found := -1
	for i := range running {
		r := &running[i]
		here := byID[r.Engine]
		if here == nil || here.Pace <= slowFactor*median {
			continue
		}
		if found >= 0 && running[found].Left >= r.Left {
			continue
		}
		if hasRoom(engines, r, median) {
			found = i
		}
	}
	return found
}

// hasRoom tells whether an engine of usual pace has a place for the sample.
func hasRoom(engines []Engine, r *Running, median float64) bool {
	for i := range engines {
		e := &engines[i]
		if e.ID != r.Engine && !r.Avoid[e.ID] && e.Pace <= slowFactor*median && fits(e, &r.Sample) {
			return true
		}
	}
	return false
}

// Served tells whether any engine has the one version that may go on with a
// sample, with room or without.
func Served(engines []Engine, s *Sample) bool {
	for i := range engines {
		if version, serves := engines[i].Versions[s.Model]; serves && version == s.Only {
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
	Since, Took float64
	// Setbacks is how many of its streams ended early in that time.
	Setbacks int
}

// BeginsAgain tells whether a sample that only one weight version may go on with
// is likely to be whole sooner if its text is dropped and another engine begins
// it. The failure it answers: the only engine with that version breaks off each
// stream after an event or two, while others with newer weights stand free. The
// sample then crept on by an event in 0.4 s, and its group, which it held up,
// came too late or never. What the text still needs at the rate so far is weighed
// against the whole of it at the usual pace, so that one broken connection late in
// a text drops nothing.
func BeginsAgain(engines []Engine, s *Sample, p Progress) bool {
	if s.Only == 0 || p.Setbacks == 0 || !canBegin(engines, s) {
		return false
	}
	pace := medianPace(engines)
	if pace == 0 {
		return p.Setbacks > 1 // no stream has brought two events in a row yet
	}
	goingOn := s.Left * p.Took / max(1, p.Since)
	return goingOn > (p.Made+s.Left)*pace
}

// canBegin tells whether an engine with another version than the sample's own has
// room for it.
func canBegin(engines []Engine, s *Sample) bool {
	anew := *s
	anew.Only = 0
	return slices.ContainsFunc(engines, func(e Engine) bool {
		return e.Versions[s.Model] != s.Only && !s.Avoid[e.ID] && fits(&e, &anew)
	})
}
