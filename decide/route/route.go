// Package route decides which server gets a request. A Policy runs small
// plugins over the candidates of one pool: filters drop servers, scorers rate
// those left, a picker takes one. The package does no I/O and has no clock or
// randomness of its own.
package route

import (
	"math/rand/v2"
	"time"
)

// Distance is how far a server is from this entry.
type Distance uint8

const (
	// SameDomain: in the entry's own failure domain.
	SameDomain Distance = iota
	// SameRegion: in another failure domain of the entry's region.
	SameRegion
	// OtherRegion: in another region.
	OtherRegion
)

// Candidate is one server as the entry sees it when it decides.
type Candidate struct {
	Name          string
	Hash          uint64 // Hash(Name), for rendezvous hashing
	FailureDomain string
	Distance      Distance
	Ready         bool
	Leaving       bool
	Ejected       bool
	Version       uint64 // weight version; 0: none
	Slots         int
	// ReportedLoad is the load (running and queued) of the last report.
	ReportedLoad int
	// OwnLoadAtReport is this entry's own work there when the report came;
	// OwnNow is the same at this moment.
	OwnLoadAtReport int
	OwnLoad         int
	// StreamRate is tokens/s of one stream; 0: unknown.
	StreamRate   float64
	QueueWait    time.Duration
	WarmPrefixes []uint64 // prefixes that the engine may hold
	Connected    bool     // an idle connection to it is at hand
}

// Load is the reported load corrected by this entry's own work. A report lags:
// work sent since is not in it, and without the correction every request goes
// to the server that was idle when it last spoke. The load is never taken
// below what this entry itself has there.
func (c *Candidate) Load() int {
	others := max(0, c.ReportedLoad-c.OwnLoadAtReport)
	return others + c.OwnLoad
}

// slots is never zero, so that it can divide.
func (c *Candidate) slots() float64 {
	return float64(max(1, c.Slots))
}

// Request is what matters of a request for the choice of a server.
type Request struct {
	Prefix uint64 // PrefixHash of the prompt; 0: none
	// EnginePrefix is the prompt's prefix as engines name it in their cache events
	// (Candidate.EnginePrefix); 0: not known.
	EnginePrefix uint64
	Key          uint64 // Hash of the idempotency key; 0: none
	Floor        uint64 // oldest weight version that will do
	// Remaining is the time until the deadline; 0: no deadline.
	Remaining time.Duration
	// Tried names servers that had their turn, TriedDomains the failure
	// domains of those that failed.
	Tried        map[string]bool
	TriedDomains map[string]bool
}

// Filter tells whether a candidate may get the request.
type Filter interface {
	Keep(r *Request, c *Candidate) bool
}

// Scorer rates a candidate; less is better. The unit is one whole server's
// load: 1 means "as good as a server with every slot in use".
type Scorer interface {
	Score(r *Request, c *Candidate) float64
}

// Scored is a candidate left by the filters.
type Scored struct {
	Index     int // in the slice given to Pick
	Candidate *Candidate
	Score     float64
}

// Picker takes one of the candidates left; there is at least one. why is a
// short constant text for traces.
type Picker interface {
	Pick(r *Request, eligible []Scored, rng *rand.Rand) (index int, reason string)
}

// Stage is a filter with its name. A soft filter that would leave nobody is
// passed over.
type Stage struct {
	Name   string
	Filter Filter
	Soft   bool
}

// Policy is one way to choose.
type Policy struct {
	Stages  []Stage
	Scorers []Scorer
	Picker  Picker
}

// Choice is the outcome of Pick.
type Choice struct {
	Index    int // -1: nobody
	Score    float64
	Load     int
	Reason   string // how the picker chose
	Eligible int    // candidates left by the filters
	// EmptiedBy is the name of the hard filter that left nobody.
	EmptiedBy string
	// SkippedStage names the last soft filter that had to be passed over.
	SkippedStage string
}

// Scratch is memory that Pick reuses between requests of one goroutine.
type Scratch struct {
	eligible, kept []Scored
}

// Pick chooses among candidates.
func (p *Policy) Pick(r *Request, candidates []Candidate, rng *rand.Rand, s *Scratch) Choice {
	choice := Choice{Index: -1}
	eligible := s.eligible[:0]
	for i := range candidates {
		eligible = append(eligible, Scored{Index: i, Candidate: &candidates[i]})
	}
	if len(eligible) == 0 {
		choice.EmptiedBy = StageMembers
		return choice
	}
	kept := s.kept[:0]
	for _, stage := range p.Stages {
		kept = appendKept(r, stage.Filter, eligible, kept[:0])
		if len(kept) > 0 {
			eligible, kept = kept, eligible
			continue
		}
		if !stage.Soft {
			choice.EmptiedBy = stage.Name
			s.eligible, s.kept = eligible, kept
			return choice
		}
		choice.SkippedStage = stage.Name
	}
	p.addScores(r, eligible)
	index, reason := p.Picker.Pick(r, eligible, rng)
	choice.Index = eligible[index].Index
	choice.Score = eligible[index].Score
	choice.Load = eligible[index].Candidate.Load()
	choice.Reason = reason
	choice.Eligible = len(eligible)
	s.eligible, s.kept = eligible, kept
	return choice
}

func appendKept(r *Request, f Filter, from, to []Scored) []Scored {
	for _, s := range from {
		if f.Keep(r, s.Candidate) {
			to = append(to, s)
		}
	}
	return to
}

func (p *Policy) addScores(r *Request, eligible []Scored) {
	for i := range eligible {
		for _, scorer := range p.Scorers {
			eligible[i].Score += scorer.Score(r, eligible[i].Candidate)
		}
	}
}
