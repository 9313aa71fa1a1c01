package weights

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"dandelionsill.org/base/logs"
	"dandelionsill.org/fold/agents"
	"dandelionsill.org/platform"
)

// Errors of a claim.
var (
	errSuperseded = errors.New("weights: a newer agent has claimed this backend server")
	errNoClaim    = errors.New("weights: no fencing token yet")
)

const (
	maxReadRecords     = 512
	attemptTimeout     = 10 * time.Second
	minClaimRetryDelay = 200 * time.Millisecond
	maxClaimRetryDelay = 10 * time.Second
	claimReadInterval  = 30 * time.Second // 1,500 agents: 50 reads/s of a short tail
)

// claim is this agent's claim of its backend server in the log. The claim's
// record determines the fencing token of the weight orders.
type claim struct {
	cfg Config
	log *zap.Logger // writes each message at most once per logInterval
	id  string      // id of the newest claim; guarded by readLock once the first claim is stored

	readLock    chan struct{} // holds one token, which is taken while the stream is read
	state       *agents.State // guarded by readLock
	fullHistory bool          // guarded by readLock; the stream was read from its very first record

	token              atomic.Uint64
	mayHavePredecessor atomic.Bool               // another agent may hold or have held the server
	claimedAt          atomic.Pointer[time.Time] // when the newest append ended
	superseded         chan struct{}             // closed when a newer claim is seen
	closeOnce          sync.Once
}

func newClaim(cfg Config) *claim {
	c := &claim{
		cfg: cfg, log: logs.Limited(cfg.Logger, logInterval), id: cfg.Server + "/" + uuid.NewString(),
		state: agents.New(cfg.Server), fullHistory: true,
		readLock: make(chan struct{}, 1), superseded: make(chan struct{}),
	}
	c.readLock <- struct{}{}
	return c
}

// run claims the server and then checks for newer claims every
// claimReadInterval.
func (c *claim) run(ctx context.Context) {
	wait := minClaimRetryDelay
	for {
		err := c.attempt(ctx)
		next := claimReadInterval
		if c.token.Load() == 0 {
			next = wait/2 + rand.N(wait)
			wait = min(2*wait, maxClaimRetryDelay)
		}
		if err != nil && !errors.Is(err, errSuperseded) {
			c.log.Info("Claiming the backend server or checking its claim failed; retrying.", zap.Error(err), zap.Duration("retry_in", next))
		}
		select {
		case <-ctx.Done():
			return
		case <-c.superseded:
			return
		case <-time.After(next):
		}
	}
}

// attempt reads the stream to its end and appends the claim if it is not stored
// yet. If the answer to an append is lost, the next read shows the outcome; a
// repeated append is harmless because the record has the same id.
func (c *claim) attempt(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if err := c.read(ctx); err != nil {
		return err
	}
	if c.token.Load() != 0 {
		return nil
	}
	data, err := agents.Encode(c.id, c.cfg.Server, c.cfg.Incarnation)
	if err != nil {
		return err
	}
	_, err = c.cfg.Log.Append(ctx, platform.StreamAgents, data)
	now := c.cfg.Now()
	c.claimedAt.Store(&now)
	if err != nil && !errors.Is(err, platform.ErrAppendUnknown) {
		return err
	}
	return c.read(ctx)
}

// read applies the stream to its end. It returns errSuperseded if a newer claim
// of the server is stored there or can't be ruled out.
func (c *claim) read(ctx context.Context) error {
	select {
	case <-c.readLock:
		defer func() { c.readLock <- struct{}{} }()
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		page, err := c.cfg.Log.Read(ctx, platform.StreamAgents, c.state.Next(), maxReadRecords, 0)
		if errors.Is(err, platform.ErrTruncated) {
			if err := c.handleTruncation(page.First); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		for _, rec := range page.Records {
			c.state.Apply(rec)
		}
		c.state.SkipTo(page.Next)
		if len(page.Records) == 0 || page.Next >= page.End {
			return c.evaluateNewest()
		}
	}
}

// handleTruncation skips records that the log no longer keeps. An agent that
// holds a claim steps down: a newer claim may have been among them, as after a
// pause longer than the log's retention. Claiming again would take the server
// from the agent that holds it now.
func (c *claim) handleTruncation(first uint64) error {
	c.fullHistory = false
	if c.token.Load() != 0 {
		c.stepDown()
		return errSuperseded
	}
	if first <= c.state.Next() {
		return platform.ErrTruncated // the log's answers are inconsistent; retried later
	}
	c.state.SkipTo(first)
	return nil
}

// evaluateNewest takes over the token of this agent's claim if it is the newest
// one, and steps down if another agent's claim is newer. It needs readLock.
func (c *claim) evaluateNewest() error {
	newest, _ := c.state.Newest(c.cfg.Server)
	if newest.ID == c.id {
		c.mayHavePredecessor.Store(!c.fullHistory || c.state.HasEarlier(newest))
		c.token.Store(newest.Token())
		return nil
	}
	_, appended := c.state.Find(c.cfg.Server, c.id)
	if token := c.token.Load(); appended || (token != 0 && newest.Token() > token) {
		c.stepDown()
		return errSuperseded
	}
	return nil
}

// renew claims the server again for a higher token. It is called after an order
// whose answer was lost: that order may still be under way, and an engine can't
// distinguish it from later orders with the same token. The old token stays
// valid until the new claim is stored.
func (c *claim) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stateReadTimeout)
	defer cancel()
	if err := c.read(ctx); err != nil {
		return err
	}
	id, err := c.nextID(ctx)
	if err != nil {
		return err
	}
	data, err := agents.Encode(id, c.cfg.Server, c.cfg.Incarnation)
	if err != nil {
		return err
	}
	_, err = c.cfg.Log.Append(ctx, platform.StreamAgents, data)
	if err != nil && !errors.Is(err, platform.ErrAppendUnknown) {
		return err
	}
	return c.read(ctx)
}

// nextID returns the id of the next claim. An id whose claim is not stored yet
// is used again: its append may still be under way, and must not look like
// another agent's claim once it is stored.
func (c *claim) nextID(ctx context.Context) (string, error) {
	select {
	case <-c.readLock:
		defer func() { c.readLock <- struct{}{} }()
	case <-ctx.Done():
		return "", ctx.Err()
	}
	if _, appended := c.state.Find(c.cfg.Server, c.id); appended {
		c.id = c.cfg.Server + "/" + uuid.NewString()
	}
	return c.id, nil
}

func (c *claim) stepDown() { c.closeOnce.Do(func() { close(c.superseded) }) }

func (c *claim) isSuperseded() bool {
	select {
	case <-c.superseded:
		return true
	default:
		return false
	}
}

// orderToken returns the fencing token and how long an order must still wait,
// or errSuperseded or errNoClaim if no order may be given.
func (c *claim) orderToken(now time.Time) (token uint64, wait time.Duration, err error) {
	if c.isSuperseded() {
		return 0, 0, errSuperseded
	}
	token = c.token.Load()
	if token == 0 {
		return 0, 0, errNoClaim
	}
	if !c.cfg.IgnoresFencing || !c.mayHavePredecessor.Load() {
		return token, 0, nil
	}
	freeAt := c.claimedAt.Load().Add(c.cfg.Lease + c.cfg.MaxOrderTime)
	return token, max(0, freeAt.Sub(now)), nil
}
