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
	// Near: in the entry's own failure domain.
	Near Distance = iota
	// SameRegion: in another failure domain of the entry's region.
	SameRegion
	// Far: in another region.
	Far
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
	// Reported is the load (running and queued) of the last report.
	Reported int
	// OwnAtReport is this entry's own work there when the report came;
	// OwnNow is the same at this moment.
	OwnAtReport int
	OwnNow      int
	// StreamRate is tokens/s of one stream; 0: unknown.
	StreamRate float64
	QueueWait  time.Duration
	Warm       []uint64 // prefixes that the engine may hold
	Connected  bool     // an idle connection to it is at hand
}

// Load is the reported load corrected by this entry's own work. A report lags:
// work sent since is not in it, and without the correction every request goes
// to the server that was idle when it last spoke. The load is never taken
// below what this entry itself has there.
func (c *Candidate) Load() int {
	others := max(0, c.Reported-c.OwnAtReport)
	return others + c.OwnNow
}

// slots is never zero, so that it can divide.
func (c *Candidate) slots() float64 {
	return float64(max(1, c.Slots))
}

// Request is what matters of a request for the choice of a server.
type Request struct {
	Prefix uint64 // PrefixHash of the prompt; 0: none
	// Warm is the prompt's prefix as engines name it in their cache events
	// (Candidate.Warm); 0: not known.
	Warm  uint64
	Key   uint64 // Hash of the idempotency key; 0: none
	Floor uint64 // oldest weight version that will do
	// Left is the time until the deadline; 0: no deadline.
	Left time.Duration
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
	Index int // in the slice given to Pick
	C     *Candidate
	Score float64
}

// Picker takes one of the candidates left; there is at least one. why is a
// short constant text for traces.
type Picker interface {
	Pick(r *Request, left []Scored, rng *rand.Rand) (at int, why string)
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
	Index int // -1: nobody
	Score float64
	Load  int
	Why   string // how the picker chose
	Left  int    // candidates left by the filters
	// Emptied is the name of the hard filter that left nobody.
	Emptied string
	// Passed names the last soft filter that had to be passed over.
	Passed string
}

// Scratch is memory that Pick reuses between requests of one goroutine.
type Scratch struct {
	left, kept []Scored
}

// Pick chooses among candidates.
func (p *Policy) Pick(r *Request, candidates []Candidate, rng *rand.Rand, s *Scratch) Choice {
	choice := Choice{Index: -1}
	left := s.left[:0]
	for i := range candidates {
		left = append(left, Scored{Index: i, C: &candidates[i]})
	}
	if len(left) == 0 {
		choice.Emptied = StageMembers
		return choice
	}
	kept := s.kept[:0]
	for _, stage := range p.Stages {
		kept = keep(r, stage.Filter, left, kept[:0])
		if len(kept) > 0 {
			left, kept = kept, left
			continue
		}
		if !stage.Soft {
			choice.Emptied = stage.Name
			s.left, s.kept = left, kept
			return choice
		}
		choice.Passed = stage.Name
	}
	p.score(r, left)
	at, why := p.Picker.Pick(r, left, rng)
	choice.Index = left[at].Index
	choice.Score = left[at].Score
	choice.Load = left[at].C.Load()
	choice.Why = why
	choice.Left = len(left)
	s.left, s.kept = left, kept
	return choice
}

func keep(r *Request, f Filter, from, to []Scored) []Scored {
	for _, s := range from {
		if f.Keep(r, s.C) {
			to = append(to, s)
		}
	}
	return to
}

func (p *Policy) score(r *Request, left []Scored) {
	for i := range left {
		for _, scorer := range p.Scorers {
			left[i].Score += scorer.Score(r, left[i].C)
		}
	}
}
