package route

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PrefixBytes is how much of a prompt counts as its prefix: enough to tell
// one template from another, less than where two uses of one template part.
const PrefixBytes = 256

// Hash hashes a name or an idempotency key. It is never 0.
func Hash(s string) uint64 {
	return max(1, xxhash.Sum64String(s))
}

// PrefixHash hashes the first PrefixChars bytes of a prompt.
func PrefixHash(prompt string) uint64 {
	if len(prompt) > PrefixBytes {
		prompt = prompt[:PrefixBytes]
	}
	return Hash(prompt)
}

// Rendezvous mixes the hashes of an item and a server into the server's
// weight for that item: the highest weight owns the item, and when a server
// goes only its own items move.
func Rendezvous(item, server uint64) uint64 {
	x := item ^ (server * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// LowestScore takes the lowest score; equal ones are told apart at random.
type LowestScore struct{}

func (LowestScore) Pick(_ *Request, eligible []Scored, rng *rand.Rand) (int, string) {
	best, equal := 0, 1
	for i := 1; i < len(eligible); i++ {
		switch {
		case eligible[i].Score < eligible[best].Score:
			best, equal = i, 1
		case eligible[i].Score == eligible[best].Score:
			equal++
			if rng.IntN(equal) == 0 {
				best = i
			}
		}
	}
	return best, "lowest score"
}

// TwoChoices takes the better of two random candidates out of the best share
// of them. Every entry sees the same stale reports; if all took the lowest
// score, all would meet at one server.
type TwoChoices struct {
	// BestShare of the candidates that count as the best; at least two do.
	BestShare float64
}

func (t TwoChoices) Pick(_ *Request, eligible []Scored, rng *rand.Rand) (int, string) {
	bestCount := max(2, int(math.Ceil(t.BestShare*float64(len(eligible)))))
	if bestCount < len(eligible) {
		shuffle(eligible, rng)
		selectLowest(eligible, bestCount)
	}
	bestCount = min(bestCount, len(eligible))
	a, b := rng.IntN(bestCount), rng.IntN(bestCount)
	for bestCount > 1 && a == b {
		b = rng.IntN(bestCount)
	}
	if eligible[b].Score < eligible[a].Score {
		a = b
	}
	return a, "two choices"
}

// shuffle makes ties at the edge of the best share fall at random.
func shuffle(scored []Scored, rng *rand.Rand) {
	for i := len(scored) - 1; i > 0; i-- {
		j := rng.IntN(i + 1)
		scored[i], scored[j] = scored[j], scored[i]
	}
}

// selectLowest moves the n lowest scores to the front (quickselect). Equal
// scores are parted off together: idle pools are full of them, and parting
// them one by one would take quadratic time.
func selectLowest(scored []Scored, n int) {
	lo, hi := 0, len(scored)
	for hi-lo > 1 {
		equalStart, higherStart := partition(scored, lo, hi)
		switch {
		case n <= equalStart:
			hi = equalStart
		case n >= higherStart:
			lo = higherStart
		default:
			return
		}
	}
}

// partition orders left[lo:hi] around a pivot: scores below it stand before
// less, equal ones before more, higher ones behind.
func partition(scored []Scored, lo, hi int) (equalStart, higherStart int) {
	pivot := scored[lo+(hi-lo)/2].Score
	equalStart, higherStart = lo, hi
	for i := lo; i < higherStart; {
		switch score := scored[i].Score; {
		case score < pivot:
			scored[i], scored[equalStart] = scored[equalStart], scored[i]
			equalStart++
			i++
		case score > pivot:
			higherStart--
			scored[i], scored[higherStart] = scored[higherStart], scored[i]
		default:
			i++
		}
	}
	return equalStart, higherStart
}

// PrefixAffinity sends prompts with one prefix to one server, whose engine
// then has the prefix in its cache, until that server's load passes Bound
// times the mean load per slot; then the next in rendezvous order takes over.
// Without the bound one hot template would queue up before one engine. A
// warm-prefix report is a hint: a warm server within the bound goes first.
type PrefixAffinity struct {
	MaxLoadFactor float64 // > 1
	Fallback      Picker  // for requests without a prefix
}

func (p PrefixAffinity) Pick(r *Request, eligible []Scored, rng *rand.Rand) (int, string) {
	if r.Prefix == 0 {
		return p.Fallback.Pick(r, eligible, rng)
	}
	maxLoad := p.maxLoadPerSlot(eligible)
	owner := ownerOf(r.Prefix, eligible)
	best, bestRank := -1, 0
	var bestWeight uint64
	for i := range eligible {
		c := eligible[i].Candidate
		if float64(c.Load()+1) > math.Ceil(maxLoad*c.slots()) {
			continue
		}
		weight, rank := Rendezvous(r.Prefix, c.Hash), prefixRank(c, r.EnginePrefix)
		if best < 0 || rank > bestRank || rank == bestRank && weight > bestWeight {
			best, bestWeight, bestRank = i, weight, rank
		}
	}
	switch {
	case best < 0:
		index, _ := p.Fallback.Pick(r, eligible, rng)
		return index, "prefix: all above the bound"
	case best == owner:
		return best, "prefix"
	case isWarm(eligible[best].Candidate, r.EnginePrefix):
		return best, "prefix: warm"
	default:
		return best, "prefix: spilled"
	}
}

// maxLoadPerSlot is the load per slot that a server may reach.
func (p PrefixAffinity) maxLoadPerSlot(eligible []Scored) float64 {
	load, slots := 1, 0.0
	for i := range eligible {
		load += eligible[i].Candidate.Load()
		slots += eligible[i].Candidate.slots()
	}
	return p.MaxLoadFactor * float64(load) / slots
}

// prefixRank puts servers of the entry's region before far ones, and warm
// ones before cold.
func prefixRank(c *Candidate, warm uint64) int {
	rank := 0
	if c.Distance != OtherRegion {
		rank += 2
	}
	if isWarm(c, warm) {
		rank++
	}
	return rank
}

func isWarm(c *Candidate, prefix uint64) bool {
	return prefix != 0 && slices.Contains(c.WarmPrefixes, prefix)
}

// KeyAffinity sends requests with one idempotency key to one server, so that
// a repeat lands where the first answer is held and needs no forwarding.
type KeyAffinity struct {
	Fallback Picker // for requests without a key
}

func (k KeyAffinity) Pick(r *Request, eligible []Scored, rng *rand.Rand) (int, string) {
	if r.Key == 0 {
		return k.Fallback.Pick(r, eligible, rng)
	}
	return ownerOf(r.Key, eligible), "key"
}

// ownerOf returns the server with the highest rendezvous weight.
func ownerOf(item uint64, eligible []Scored) int {
	best := 0
	weight := Rendezvous(item, eligible[0].Candidate.Hash)
	for i := 1; i < len(eligible); i++ {
		if w := Rendezvous(item, eligible[i].Candidate.Hash); w > weight {
			best, weight = i, w
		}
	}
	return best
}
