package route

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dandelionsill.org/decide/topology"
)

// PrefixBytes is how many leading bytes of a prompt count as its prefix. They
// are enough to distinguish templates, and end before two prompts made from one
// template differ.
const PrefixBytes = 256

// Hash returns the hash of a name or an idempotency key. It is never 0, because 0
// means "none" in Request.
func Hash(s string) uint64 {
	return max(1, xxhash.Sum64String(s))
}

// PrefixHash returns the hash of the first PrefixBytes bytes of a prompt.
func PrefixHash(prompt string) uint64 {
	if len(prompt) > PrefixBytes {
		prompt = prompt[:PrefixBytes]
	}
	return Hash(prompt)
}

// Rendezvous returns a server's weight for an item in rendezvous (highest random
// weight) hashing, from their two hashes. The server with the highest weight owns
// the item, so that the loss of a server moves only the items that it owned.
func Rendezvous(item, server uint64) uint64 {
	x := item ^ (server * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// LowestScore picks the candidate with the lowest score; ties are broken at random.
type LowestScore struct{}

// Pick implements Picker.
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

// TwoChoices picks the better of two random candidates out of the best share of
// them. All entries see the same stale reports: if each picked the lowest score,
// all would send to the same server.
type TwoChoices struct {
	// BestShare is the share of candidates, by score, to draw from; at least two
	// are drawn from.
	BestShare float64
}

// Pick implements Picker.
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

// shuffle orders the candidates at random, so that ties at the edge of the best
// share are broken at random.
func shuffle(scored []Scored, rng *rand.Rand) {
	for i := len(scored) - 1; i > 0; i-- {
		j := rng.IntN(i + 1)
		scored[i], scored[j] = scored[j], scored[i]
	}
}

// selectLowest moves the n lowest scores to the front (quickselect). It uses a
// three-way partition: in idle pools most scores are equal, and a two-way
// partition would take quadratic time on them.
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

// partition orders scored[lo:hi] around a pivot: lower scores come before
// equalStart, equal ones before higherStart, and higher ones from there on.
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

// PrefixAffinity sends prompts with the same prefix to the same server, whose
// engine then has the prefix in its cache (rendezvous hashing with bounded load).
// When that server's load exceeds MaxLoadFactor times the mean load per slot, the
// next server in rendezvous order is picked; without this bound all prompts of a
// popular template would queue at one engine. Servers that report the prefix as
// cached are preferred within the bound; the report may be out of date.
type PrefixAffinity struct {
	MaxLoadFactor float64 // > 1
	Fallback      Picker  // for requests without a prefix
}

// Pick implements Picker.
func (p PrefixAffinity) Pick(r *Request, eligible []Scored, rng *rand.Rand) (int, string) {
	if r.Prefix == 0 {
		return p.Fallback.Pick(r, eligible, rng)
	}
	maxLoad := p.maxLoadPerSlot(eligible)
	owner := ownerOf(r.Prefix, eligible)
	best, bestRank := -1, 0
	var bestWeight uint64
	for i := range eligible {
		c := eligible[i].Server
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
	case isWarm(eligible[best].Server, r.EnginePrefix):
		return best, "prefix: warm"
	default:
		return best, "prefix: spilled"
	}
}

// maxLoadPerSlot returns the highest load per slot that a server may reach: the
// mean over all candidates, this request included, times MaxLoadFactor.
func (p PrefixAffinity) maxLoadPerSlot(eligible []Scored) float64 {
	load, slots := 1, 0.0
	for i := range eligible {
		load += eligible[i].Server.Load()
		slots += eligible[i].Server.slots()
	}
	return p.MaxLoadFactor * float64(load) / slots
}

// prefixRank returns a server's preference, the highest first: servers in the
// entry's region before those in other regions, then servers that have the prefix
// cached.
func prefixRank(c *Candidate, warm uint64) int {
	rank := 0
	if c.Distance != topology.OtherRegion {
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

// KeyAffinity sends all requests with the same idempotency key to the same server.
// A repeat then reaches the server that holds the first answer and need not be
// forwarded.
type KeyAffinity struct {
	Fallback Picker // for requests without a key
}

// Pick implements Picker.
func (k KeyAffinity) Pick(r *Request, eligible []Scored, rng *rand.Rand) (int, string) {
	if r.Key == 0 {
		return k.Fallback.Pick(r, eligible, rng)
	}
	return ownerOf(r.Key, eligible), "key"
}

// ownerOf returns the index of the candidate with the highest rendezvous weight
// for the item.
func ownerOf(item uint64, eligible []Scored) int {
	best := 0
	weight := Rendezvous(item, eligible[0].Server.Hash)
	for i := 1; i < len(eligible); i++ {
		if w := Rendezvous(item, eligible[i].Server.Hash); w > weight {
			best, weight = i, w
		}
	}
	return best
}
