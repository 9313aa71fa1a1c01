package fleet

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"dandelionsill.org/decide/route"
	"dandelionsill.org/kinds"
)

// Chooser runs a routing policy over a pool of the current snapshot. It is
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

// NewChooser returns a chooser for an entry in region; seed makes its random
// choices repeatable in tests.
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

// Pick chooses a server of a pool. policy is made per pick, as it may hang on
// the candidates. server is nil when nobody is left.
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

// deadlineRetryAfter tells a caller whose deadline no queue can meet when to come
// back: queues change within seconds.
const deadlineRetryAfter = 2 * time.Second

// Refuse says why nobody of a pool was left. The request is still held.
func Refuse(held *kinds.Held, pool string, choice route.Choice) *kinds.Error {
	pool = strings.Replace(pool, "/", " ", 1) // "model/NAME" in a caller's words
	switch choice.EmptiedBy {
	case route.StageFresh:
		return held.Refuse(kinds.StaleWeights, "no server of %s is fresh enough yet", pool)
	case route.StageDeadline:
		return held.Refuse(kinds.DeadlineTooShort, "the queues of %s outlast the deadline", pool).WithRetryAfter(deadlineRetryAfter)
	default:
		return held.Refuse(kinds.NoServer, "no server of %s takes work now: %s", pool, emptiedReason(choice.EmptiedBy))
	}
}

// emptiedReason says in a caller's words which filter left nobody.
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
