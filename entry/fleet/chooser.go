package fleet

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"dandelionsill.org/decide/route"
	"dandelionsill.org/kinds"
)

// Chooser applies a routing policy to a pool of the current snapshot. It is
// safe for concurrent use.
type Chooser struct {
	fleet   Fleet
	region  string
	scratch sync.Pool
}

type scratch struct {
	candidates []route.Candidate
	route      route.Scratch
	rng        *rand.Rand
}

// NewChooser returns a chooser for an entry in region. seed makes its random
// choices reproducible in tests.
func NewChooser(f Fleet, region string, seed uint64) *Chooser {
	c := &Chooser{fleet: f, region: region}
	var mu sync.Mutex
	seeds := rand.New(rand.NewPCG(seed, seed))
	c.scratch.New = func() any {
		mu.Lock()
		defer mu.Unlock()
		return &scratch{rng: rand.New(rand.NewPCG(seeds.Uint64(), seeds.Uint64()))}
	}
	return c
}

// Pick chooses a server of a pool. policy is called for each pick, as the policy
// may depend on the candidates. server is nil if no candidate is eligible.
func (c *Chooser) Pick(pool string, r *route.Request, policy func([]route.Candidate) *route.Policy) (server *Server, choice route.Choice) {
	servers := c.fleet.Snapshot().ByPool[pool]
	s := c.scratch.Get().(*scratch)
	defer c.scratch.Put(s)
	s.candidates = Candidates(c.fleet, servers, c.region, s.candidates)
	choice = policy(s.candidates).Pick(r, s.candidates, s.rng, &s.route)
	if choice.Index < 0 {
		return nil, choice
	}
	return servers[choice.Index], choice
}

// deadlineRetryAfter is the time after which a caller whose deadline no queue
// can meet should retry. Queues change within seconds.
const deadlineRetryAfter = 2 * time.Second

// Refuse returns the error for a pick in which no server of the pool was
// eligible. The request must still be held, so that it has not run.
func Refuse(held *kinds.Held, pool string, choice route.Choice) *kinds.Error {
	pool = strings.Replace(pool, "/", " ", 1) // shown to callers as "model NAME"
	switch choice.EmptiedBy {
	case route.StageFresh:
		return held.Refuse(kinds.StaleWeights, "no server of %s is fresh enough yet", pool)
	case route.StageDeadline:
		return held.Refuse(kinds.DeadlineTooShort, "the queues of %s outlast the deadline", pool).WithRetryAfter(deadlineRetryAfter)
	default:
		return held.Refuse(kinds.NoServer, "no server of %s takes work now: %s", pool, emptiedReason(choice.EmptiedBy))
	}
}

// emptiedReason returns the part of the answer to the caller that says which
// filter left no server.
func emptiedReason(stage string) string {
	switch stage {
	case route.StageMembers:
		return "none is known here"
	case route.StageReady:
		return "none is ready"
	case route.StageLeaving:
		return "all are leaving"
	case route.StageTried:
		return "each was tried"
	default:
		return "none is left by the " + stage + " filter"
	}
}
