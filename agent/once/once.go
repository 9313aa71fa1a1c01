// Package once gives each idempotency key at most one run: across entries that
// die, agents that die, freeze or are replaced, lost answers and log outages.
//
// An agent may run a key's request only after it has read its own claim in the
// service's stream of the log and found it to be the first (fold/once). A won
// claim belongs to this incarnation of this agent for ever, so that an agent
// which was frozen and goes on is still the only one that may run it; no lease
// is needed. What is not decided by then is answered "not run", which is true:
// the request is still here. The claim may land later all the same. It is then ours and
// unstarted, and a repeat runs it without a new claim.
//
// Claims are group committed: one append carries all claims that wait, the next
// starts when the last has ended. The stream's tail is paced (tail.go): an agent
// reads its own claims at once, and those of others up to a second late.
package once

import (
	"container/list"
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/metrics"
	fold "dandelionsill.org/fold/once"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform"
)

// Defaults.
const (
	defaultClaimTimeout = 2 * time.Second
	defaultReadInterval = time.Second
	defaultMaxHeld      = 16 << 20
	// logDownPause is how long claims are refused at once after the log
	// refused one: without it each would hold a slot of the backend server
	// while the log is known to be down.
	logDownPause = 500 * time.Millisecond
	// logRetryAfter is the advice to callers during a log outage.
	logRetryAfter = 2 * time.Second
	logInterval   = 10 * time.Second // of one message under failure
)

// Limits are the bounds of idempotency keys in force; all but MinInterval come
// from the manifest.
type Limits struct {
	Window      time.Duration // how old a key may be
	Skew        time.Duration // bound between any two clocks
	MinInterval time.Duration // between the starts of two appends
	AppendsPerS float64       // for all agents of this stream together; 0: no bound
}

// Config is a table's configuration.
type Config struct {
	Owner   fold.Owner
	Service string
	Log     platform.Log
	// Limits is called at each use.
	Limits func() Limits
	// ReadInterval is the longest pause between two reads of a busy stream; 0:
	// 1 s. Pauses are jittered down to half of it.
	ReadInterval time.Duration
	// MaxHeldBytes bounds the answers held for repeats; 0: 16 MiB.
	MaxHeldBytes int64
	// ClaimTimeout bounds the wait for a claim, and with it the time for which
	// a log outage may hold slots of the backend server; 0: 2 s.
	ClaimTimeout time.Duration
	Logger       *zap.Logger // nil: none
}

// Request is one try of a keyed request.
type Request struct {
	Key  fold.Key
	Hash fold.Hash
}

// Table is the agent's knowledge of its service's keys. It is safe for
// concurrent use; Run must run.
type Table struct {
	cfg          Config
	stream       string
	log          *zap.Logger
	self         fold.OwnerDigest
	claimsQueued chan struct{} // tells the writer that claims wait
	readNow      chan struct{} // tells the tail that an own append is on its way or stands

	mu            sync.Mutex
	keys          *fold.State
	runs          map[fold.Key]*Run
	pendingClaims map[fold.Digest]*pending
	queue         []*pending
	lastSeq       uint64 // of the last batch
	readBackSeq   uint64 // highest own seq read back
	logDownUntil  time.Time
	// unconfirmedSince is when the oldest own batch that has not been read back was
	// begun; zero: none.
	unconfirmedSince   time.Time
	readTarget         uint64             // offset behind the last own append that was answered
	appendsStarted     uint64             // own appends begun
	appendsAtPoll      uint64             // begins when the tail's last read began
	caughtUp           bool               // the stream was read to its end once
	caughtUpSinceReset bool               // so it was since the start or the last reset
	cancelPoll         context.CancelFunc // of the tail's read
	skippedOld         bool               // the tail's first offset was found; only the tail uses it
	nextSweep          time.Time

	heldRuns  list.List // *Run with an answer, last used first
	heldBytes int64
}

// pending is a key whose claim is to be written and read back.
type pending struct {
	claim   fold.Claim
	digest  fold.Digest // of the claim
	waiters int
	done    chan struct{} // closed once the stream or err decides
	err     *kinds.Error  // set before done is closed
}

var (
	appends     = metrics.Counter("agent_once_appends")
	appendsLost = metrics.Counter("agent_once_append_answers_lost")
	claimsSent  = metrics.Counter("agent_once_claims")
	reads       = metrics.Counter("agent_once_reads")
	unreadable  = metrics.Counter("agent_once_records_unreadable")
	resets      = metrics.Counter("agent_once_log_resets")
	replays     = metrics.Counter("agent_once_replays")
)

// New returns a table that knows nothing yet.
func New(cfg Config) *Table {
	if cfg.ClaimTimeout <= 0 {
		cfg.ClaimTimeout = defaultClaimTimeout
	}
	if cfg.ReadInterval <= 0 {
		cfg.ReadInterval = defaultReadInterval
	}
	if cfg.MaxHeldBytes <= 0 {
		cfg.MaxHeldBytes = defaultMaxHeld
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	return &Table{
		cfg:           cfg,
		stream:        platform.StreamOncePrefix + cfg.Service,
		log:           logs.Limited(cfg.Logger, logInterval),
		self:          cfg.Owner.OwnerDigest(),
		claimsQueued:  make(chan struct{}, 1),
		readNow:       make(chan struct{}, 1),
		keys:          fold.New(foldLimits(cfg.Limits())),
		runs:          make(map[fold.Key]*Run),
		pendingClaims: make(map[fold.Digest]*pending),
	}
}

func foldLimits(limits Limits) fold.Limits {
	return fold.Limits{Window: limits.Window, Skew: limits.Skew}
}

// Run tails the stream and writes claims until ctx ends.
func (t *Table) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { t.tail(ctx) })
	wg.Go(func() { t.writeClaims(ctx) })
	wg.Wait()
}

// CaughtUp tells whether the stream has been read to its end once.
func (t *Table) CaughtUp() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.caughtUp
}

// Stats is a moment's picture.
type Stats struct {
	Keys      int // keys of the stream within the window
	Runs      int // keys that this incarnation started or holds
	HeldBytes int64
	Next      uint64 // offset to read from
}

// Stats returns the counts of this moment.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{Keys: t.keys.Len(), Runs: len(t.runs), HeldBytes: t.heldBytes, Next: t.keys.Next()}
}

// Lookup answers a try of a key that needs no slot of the backend server: it
// has ended, runs (Lookup waits for the same answer), belongs to another agent,
// or can't be claimed now. known is false when the try has to go on to Claim.
func (t *Table) Lookup(ctx context.Context, r Request) (answer *Answer, err *kinds.Error, known bool) {
	for {
		t.mu.Lock()
		f := t.find(r)
		down := f.state == unclaimed && t.isLogDown()
		t.mu.Unlock()
		switch {
		case f.err != nil:
			return nil, f.err, true
		case f.answer != nil:
			return f.answer, nil, true
		case f.run != nil:
			if err := wait(ctx, f.run); err != nil {
				return nil, err, true
			}
		case down:
			return nil, logUnavailable("the log is down"), true
		default:
			return nil, nil, false
		}
	}
}

// Claim makes the caller the only one that may run the request (run), or
// answers like Lookup. All three are nil when another try has the run: the
// caller gives its slot back before it waits for that one (Lookup), as repeats
// of one key would otherwise hold slots only to wait. The caller must end the
// run: Release, Finish or Lose.
func (t *Table) Claim(ctx context.Context, r Request) (run *Run, answer *Answer, err *kinds.Error) {
	claimCtx, cancel := context.WithTimeout(ctx, t.cfg.ClaimTimeout)
	defer cancel()
	for {
		t.mu.Lock()
		f := t.find(r)
		switch {
		case f.state == unstarted:
			run := t.reserve(r)
			t.mu.Unlock()
			return run, nil, nil
		case f.state == unclaimed:
			p := t.enqueue(r)
			t.mu.Unlock()
			if err := t.awaitClaim(claimCtx, ctx, p); err != nil {
				return nil, nil, err
			}
		default:
			t.mu.Unlock()
			return nil, f.answer, f.err
		}
	}
}

// isLogDown tells whether a claim would wait in vain. While a batch stays
// unconfirmed for longer than a claim may wait, one claim at a time may try, so that an outage can't
// fill the backend server's slots with waiting claims. That a claim was given
// up is no sign of it: its caller may just have had little time. t.mu is held.
func (t *Table) isLogDown() bool {
	if time.Now().Before(t.logDownUntil) {
		return true
	}
	stuck := !t.unconfirmedSince.IsZero() && time.Since(t.unconfirmedSince) > t.cfg.ClaimTimeout
	return stuck && len(t.pendingClaims) > 0
}

// keyState says what may be done with a key.
type keyState uint8

const (
	decided   keyState = iota // found has an answer, an error or a run to wait for
	unclaimed                 // nobody has claimed it
	unstarted                 // ours, and no run of it was started
)

type found struct {
	state  keyState
	answer *Answer
	err    *kinds.Error
	run    *Run
}

// find tells what the stream and this incarnation know of a key. t.mu is held.
func (t *Table) find(r Request) found {
	held := kinds.Hold()
	if err := t.checkAge(held, r.Key); err != nil {
		return found{err: err}
	}
	f := t.keys.Find(r.Key)
	switch {
	case f.Status == fold.Free:
		return found{state: unclaimed}
	case f.Status == fold.TooOld:
		return found{err: held.Refuse(kinds.KeyTooOld, "the key is older than the window")}
	case f.Status == fold.Lost:
		return found{err: kinds.New(kinds.OutcomeUnknown, "the log no longer holds what was known of keys of that age")}
	case f.Hash != r.Hash.Short():
		return found{err: keyReused(held)}
	case f.Owner == t.self:
		return t.findOwn(held, r)
	case f.Owner.Name == t.self.Name:
		// Another incarnation of this agent owns the key. What it did went with it.
		return found{err: kinds.New(kinds.OutcomeUnknown, "the agent that took the request was restarted")}
	}
	return found{err: held.Refuse(kinds.ClaimedElsewhere, "agent %s owns the key", f.Owner.Name).WithHolder(f.Owner.Name)}
}

// findOwn tells of a key that this incarnation owns.
func (t *Table) findOwn(held *kinds.Held, r Request) found {
	run := t.runs[r.Key]
	switch {
	case run == nil:
		return found{state: unstarted}
	case run.hash != r.Hash:
		// The stream's short hashes collide. Without the whole hash the caller
		// would be given another request's answer.
		return found{err: keyReused(held)}
	case run.state == reserved || run.state == started:
		return found{run: run}
	case run.answer != nil:
		t.heldRuns.MoveToFront(run.heldElement)
		replays.Add(1)
		return found{answer: run.answer}
	case run.state == finished:
		return found{err: kinds.New(kinds.OutcomeUnknown, "the request ran; its answer is no longer held")}
	}
	return found{err: kinds.New(kinds.OutcomeUnknown, "the request was sent; its answer was lost")}
}

func keyReused(held *kinds.Held) *kinds.Error {
	return held.Refuse(kinds.KeyReused, "the key was used for another request")
}

// checkAge refuses keys that this agent can't judge. An agent whose clock is
// within the skew refuses each key before any fold may have forgotten it.
func (t *Table) checkAge(held *kinds.Held, key fold.Key) *kinds.Error {
	terms := t.cfg.Limits()
	age := time.Since(key.Issued())
	if age < -terms.Skew {
		return held.Refuse(kinds.BadRequest, "the idempotency key is from %v in the future", -age.Round(time.Millisecond))
	}
	if age > terms.Window-terms.Skew {
		return held.Refuse(kinds.KeyTooOld, "the idempotency key is %v old, the window is %v", age.Round(time.Second), terms.Window)
	}
	return nil
}

// enqueue joins or makes the pending claim of a key. t.mu is held.
func (t *Table) enqueue(r Request) *pending {
	key := r.Key.Digest()
	p := t.pendingClaims[key]
	if p == nil {
		p = &pending{claim: fold.Claim{Key: r.Key, Hash: r.Hash}, digest: key, done: make(chan struct{})}
		t.pendingClaims[key] = p
		t.queue = append(t.queue, p)
		notify(t.claimsQueued)
	}
	p.waiters++
	return p
}

// notify wakes the reader of a channel that holds one signal.
func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// awaitClaim waits until the stream decides on a claim. Whoever gives up has truly
// not run the request: only a claim that was read back lets it run.
func (t *Table) awaitClaim(claimCtx, callerCtx context.Context, p *pending) *kinds.Error {
	select {
	case <-p.done:
		return p.err
	case <-claimCtx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p.waiters--
	if p.waiters == 0 && t.pendingClaims[p.digest] == p {
		delete(t.pendingClaims, p.digest)
	}
	switch {
	case callerCtx.Err() == context.Canceled:
		return kinds.New(kinds.Cancelled, "the caller went away while the key was being claimed")
	case p.waiters > 0:
		return kinds.New(kinds.OutcomeUnknown, "another try of the key is still waiting and may run")
	}
	return logUnavailable("the key's claim could not be confirmed in time")
}

func logUnavailable(reason string) *kinds.Error {
	return kinds.Hold().Refuse(kinds.LogUnavailable, "%s", reason).WithRetryAfter(logRetryAfter)
}
