// Package route decides which server gets a request. A Policy applies plugins to
// the candidates of one pool: filters drop servers, scorers rate the remaining
// ones, a picker selects one. The package does no I/O; time and randomness are
// passed in.
package route

import (
	"math/rand/v2"
	"time"

	"dandelionsill.org/decide/residency"
)

// Distance is the network distance between an entry and a server.
type Distance uint8

const (
	// SameDomain means the entry's own failure domain.
	SameDomain Distance = iota
	// SameRegion means another failure domain in the entry's region.
	SameRegion
	// OtherRegion means a region other than the entry's.
	OtherRegion
)

// Candidate is what an entry knows of one server at the time of a decision.
type Candidate struct {
	Name          string
	Hash          uint64 // Hash(Name), for rendezvous hashing
	FailureDomain string
	Region        string // of FailureDomain; empty: unknown
	Distance      Distance
	Ready         bool
	Leaving       bool // it takes no new work: it leaves, or its failure domain is evacuated
	Ejected       bool
	Version       uint64 // weight version; 0: none
	Slots         int
	// ReportedLoad is the number of running and queued requests in the server's
	// last report.
	ReportedLoad int
	// OwnLoadAtReport is how many requests of this entry were in flight at the
	// server when that report arrived; OwnLoad is how many are now.
	OwnLoadAtReport int
	OwnLoad         int
	// StreamRate is the rate of one stream in tokens/s; 0: unknown.
	StreamRate   float64
	QueueWait    time.Duration
	WarmPrefixes []uint64 // prefixes that the engine may have in its cache
	Connected    bool     // an idle connection to it exists
	Full         bool     // it has no room for the request's body now
}

// Load returns the reported load, corrected for this entry's own requests. A
// report does not contain requests sent after it; without the correction every
// request would go to the server that was idle at its last report. The result is
// never less than OwnLoad.
func (c *Candidate) Load() int {
	others := max(0, c.ReportedLoad-c.OwnLoadAtReport)
	return others + c.OwnLoad
}

// slots returns the number of slots, at least 1 because callers divide by it.
func (c *Candidate) slots() float64 {
	return float64(max(1, c.Slots))
}

// Request holds the properties of a request that affect the choice of a server.
type Request struct {
	Prefix uint64 // PrefixHash of the prompt; 0: none
	// EnginePrefix identifies the prompt's prefix as the engines' cache events do
	// (see Candidate.WarmPrefixes); 0: unknown.
	EnginePrefix uint64
	Key          uint64 // Hash of the idempotency key; 0: none
	Floor        uint64 // oldest weight version allowed
	// Remaining is the time until the deadline; 0: no deadline.
	Remaining time.Duration
	// Tried holds the names of the servers that this request was already sent to,
	// TriedDomains the failure domains of those that failed.
	Tried        map[string]bool
	TriedDomains map[string]bool
	// Regions are the regions in which the request may be served.
	Regions residency.Regions
}

// Filter excludes candidates.
type Filter interface {
	// Keep reports whether the candidate may get the request.
	Keep(r *Request, c *Candidate) bool
}

// Scorer rates a candidate; lower is better. A score of 1 is the load of a server
// with every slot in use.
type Scorer interface {
	Score(r *Request, c *Candidate) float64
}

// Scored is a candidate that passed the filters.
type Scored struct {
	Index  int // in the candidates given to Policy.Pick
	Server *Candidate
	Score  float64
}

// Picker selects one candidate.
type Picker interface {
	// Pick returns the index in eligible, which is never empty, of the selected
	// candidate. reason is a short constant text for traces. Pick may reorder
	// eligible; the index refers to the new order.
	Pick(r *Request, eligible []Scored, rng *rand.Rand) (index int, reason string)
}

// Stage is a named filter. A soft stage is skipped if it would leave no candidate.
type Stage struct {
	Name   string
	Filter Filter
	Soft   bool
}

// Policy is a way to choose a server: stages in order, the sum of all scorers, and
// a picker.
type Policy struct {
	Stages  []Stage
	Scorers []Scorer
	Picker  Picker
}

// Choice is the outcome of Pick.
type Choice struct {
	Index    int // in the candidates given to Pick; -1: none chosen
	Score    float64
	Load     int
	Reason   string // the picker's reason
	Eligible int    // number of candidates that passed the filters
	// EmptiedBy is the name of the hard stage that left no candidate.
	EmptiedBy string
	// SkippedStage is the name of the last soft stage that was skipped.
	SkippedStage string
}

// Scratch holds buffers that Pick reuses. It must not be used concurrently.
type Scratch struct {
	eligible, kept []Scored
}

// Pick chooses one of the candidates. Choice.Index is -1 if a hard stage leaves
// none.
func (p *Policy) Pick(r *Request, candidates []Candidate, rng *rand.Rand, s *Scratch) Choice {
	choice := Choice{Index: -1}
	eligible := s.eligible[:0]
	for i := range candidates {
		eligible = append(eligible, Scored{Index: i, Server: &candidates[i]})
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
	choice.Load = eligible[index].Server.Load()
	choice.Reason = reason
	choice.Eligible = len(eligible)
	s.eligible, s.kept = eligible, kept
	return choice
}

// appendKept appends the candidates of from that f keeps to the slice to, and
// returns it.
func appendKept(r *Request, f Filter, from, to []Scored) []Scored {
	for _, s := range from {
		if f.Keep(r, s.Server) {
			to = append(to, s)
		}
	}
	return to
}

// addScores adds the scores of all scorers to each candidate's score.
func (p *Policy) addScores(r *Request, eligible []Scored) {
	for i := range eligible {
		for _, scorer := range p.Scorers {
			eligible[i].Score += scorer.Score(r, eligible[i].Server)
		}
	}
}
