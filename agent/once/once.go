// Package once runs the request of an idempotency key at most once, even if
// entries crash, agents crash, are suspended or are replaced, answers are lost or
// the log is unavailable.
//
// An agent may run a key's request only after it has read its own claim in the
// service's stream of the log and found it to be the first for the key
// (fold/once). A won claim belongs to this incarnation of this agent permanently:
// an agent that was suspended and resumes is still the only one that may run the
// request, so no lease is needed. A request whose claim is not decided within the
// claim timeout is answered "not run", which is true because it has not left this
// agent. Its claim may still reach the log later. The key then belongs to this
// agent and is unstarted, and a repeat runs it without a new claim.
//
// Claims are group committed: one append carries all claims that wait, and the
// next append starts when the previous one has ended. The rate of reads is limited
// (tail.go): an agent reads its own claims at once, and those of other agents up
// to a second late.
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

// Defaults of Config and fixed times.
const (
	defaultClaimTimeout = 2 * time.Second
	defaultReadInterval = time.Second
	defaultMaxHeld      = 16 << 20
	// logDownPause is how long claims are refused at once after the log refused
	// an append as unavailable. Without it each claim would hold a slot of the
	// backend server while the log is known to be down.
	logDownPause = 500 * time.Millisecond
	// logRetryAfter is the retry delay given to callers during a log outage.
	logRetryAfter = 2 * time.Second
	logInterval   = 10 * time.Second // minimum time between equal log messages
)

// Limits are the current bounds for idempotency keys and appends. All but
// MinInterval come from the manifest.
type Limits struct {
	Window      time.Duration // maximum age of a key
	Skew        time.Duration // maximum difference between any two clocks
	MinInterval time.Duration // minimum time between the starts of two appends
	AppendsPerS float64       // appends per second of all agents of this stream together; 0: no limit
}

// Config is a table's configuration.
type Config struct {
	Owner   fold.Owner
	Service string
	Log     platform.Log
	// Limits returns the current limits; it is called at each use.
	Limits func() Limits
	// ReadInterval is the longest pause between two reads of a busy stream; 0
	// means 1 s. Each pause is chosen at random between half of it and all of it.
	ReadInterval time.Duration
	// MaxHeldBytes bounds the memory of answers held for repeats; 0 means 16 MiB.
	MaxHeldBytes int64
	// ClaimTimeout bounds the wait for a claim, and so the time for which a log
	// outage may hold slots of the backend server; 0 means 2 s.
	ClaimTimeout time.Duration
	Logger       *zap.Logger // nil disables logging
}

// Request identifies one attempt of a keyed request: its key and the hash of its content.
type Request struct {
	Key  fold.Key
	Hash fold.Hash
}

// Table holds the state of the service's keys as this agent has read it, and the
// runs that this agent owns. It is safe for concurrent use. Run must be running
// for claims to be written and read.
type Table struct {
	cfg          Config
	stream       string
	log          *zap.Logger
	self         fold.OwnerDigest
	claimsQueued chan struct{} // wakes writeClaims
	readNow      chan struct{} // wakes the tail when an own append has started or has been acknowledged

	mu            sync.Mutex
	keys          *fold.State
	runs          map[fold.Key]*Run
	pendingClaims map[fold.Digest]*pending
	queue         []*pending
	lastSeq       uint64 // sequence number of the last own batch
	readBackSeq   uint64 // highest sequence number of an own batch that was read back
	logDownUntil  time.Time
	// unconfirmedSince is when the append of the oldest own batch that has not
	// been read back started; zero if there is none.
	unconfirmedSince   time.Time
	readTarget         uint64             // offset after the last own append that was acknowledged
	appendsStarted     uint64             // number of own appends started
	appendsAtPoll      uint64             // appendsStarted at the start of the tail's last read
	caughtUp           bool               // the stream has been read to its end at least once
	caughtUpSinceReset bool               // like caughtUp, but since the last log reset
	cancelPoll         context.CancelFunc // cancels the tail's current read
	skippedOld         bool               // skipOldRecords has succeeded; only the tail uses it
	nextSweep          time.Time

	heldRuns  list.List // elements are *Run with an answer, most recently used first
	heldBytes int64
}

// pending is a claim that is to be written and read back.
type pending struct {
	claim   fold.Claim
	digest  fold.Digest // of claim.Key
	waiters int
	done    chan struct{} // closed once the claim was read back or err is set
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

// New returns an empty table; Run fills it from the stream.
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

// Run reads the stream and writes claims until ctx ends.
func (t *Table) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { t.tail(ctx) })
	wg.Go(func() { t.writeClaims(ctx) })
	wg.Wait()
}

// CaughtUp reports whether the stream has been read to its end at least once.
func (t *Table) CaughtUp() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.caughtUp
}

// Stats is a snapshot of a table's counts.
type Stats struct {
	Keys      int // keys of the stream within the window
	Runs      int // keys that this incarnation has reserved or run
	HeldBytes int64
	Next      uint64 // offset of the next read
}

// Stats returns the current counts.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{Keys: t.keys.Len(), Runs: len(t.runs), HeldBytes: t.heldBytes, Next: t.keys.Next()}
}

// Lookup answers an attempt that needs no slot of the backend server: its key's
// run has ended, is in progress (Lookup waits for its answer), the key belongs to
// another agent or can't be claimed now. If known is false, the attempt has to
// continue with Claim.
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

// Claim returns the exclusive right to run the request (run), or answers like
// Lookup. All three results are nil if another attempt has the run: the attempt
// must then give back its slot before it waits with Lookup, as repeats of one key
// would otherwise hold slots only to wait. A returned run must be ended with
// Release, Finish or FinishUnknown.
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

// isLogDown reports whether a new claim should be refused at once because the log
// is unavailable. While a batch has been unconfirmed for longer than ClaimTimeout,
// only one claim at a time may wait, so that an outage can't fill the backend
// server's slots with waiting claims. A claim that timed out doesn't count as a
// sign of an outage, as its request may have had a short deadline. t.mu is held.
func (t *Table) isLogDown() bool {
	if time.Now().Before(t.logDownUntil) {
		return true
	}
	stuck := !t.unconfirmedSince.IsZero() && time.Since(t.unconfirmedSince) > t.cfg.ClaimTimeout
	return stuck && len(t.pendingClaims) > 0
}

// keyState is what an attempt may do with a key.
type keyState uint8

const (
	decided   keyState = iota // found has an answer, an error or a run to wait for
	unclaimed                 // no claim of the key was read
	unstarted                 // owned by this incarnation, which has not started a run
)

// found is the result of find: answer, err or run is set if state is decided.
type found struct {
	state  keyState
	answer *Answer
	err    *kinds.Error
	run    *Run
}

// find returns the state of a key from the stream and this incarnation's runs.
// t.mu is held.
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
		// Another incarnation of this agent owns the key. Whether it ran the
		// request is not stored anywhere.
		return found{err: kinds.New(kinds.OutcomeUnknown, "the agent that took the request was restarted")}
	}
	return found{err: held.Refuse(kinds.ClaimedElsewhere, "agent %s owns the key", f.Owner.Name).WithHolder(f.Owner.Name)}
}

// findOwn returns the state of a key that this incarnation owns. t.mu is held.
func (t *Table) findOwn(held *kinds.Held, r Request) found {
	run := t.runs[r.Key]
	switch {
	case run == nil:
		return found{state: unstarted}
	case run.hash != r.Hash:
		// The short hashes in the stream are equal, but the full ones differ.
		// Without this check the caller would get another request's answer.
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

// keyReused returns the error for a key that was used with another request.
func keyReused(held *kinds.Held) *kinds.Error {
	return held.Refuse(kinds.KeyReused, "the key was used for another request")
}

// checkAge refuses keys that are from the future or too old. An agent whose clock
// is within the skew thus refuses each key before any agent may have dropped the
// key's state.
func (t *Table) checkAge(held *kinds.Held, key fold.Key) *kinds.Error {
	limits := t.cfg.Limits()
	age := time.Since(key.Issued())
	if age < -limits.Skew {
		return held.Refuse(kinds.BadRequest, "the idempotency key is from %v in the future", -age.Round(time.Millisecond))
	}
	if age > limits.Window-limits.Skew {
		return held.Refuse(kinds.KeyTooOld, "the idempotency key is %v old, the window is %v", age.Round(time.Second), limits.Window)
	}
	return nil
}

// enqueue returns the pending claim of a key and queues one if there is none.
// t.mu is held.
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

// notify sends to a channel of capacity 1 unless a signal is already pending.
func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// awaitClaim waits until a claim was read back or refused, or claimCtx ends. If no
// other attempt waits for the claim, a timeout is proof that the request did not
// run: only a claim that was read back lets it run.
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

// logUnavailable returns the error for a claim that failed because of the log.
func logUnavailable(reason string) *kinds.Error {
	return kinds.Hold().Refuse(kinds.LogUnavailable, "%s", reason).WithRetryAfter(logRetryAfter)
}
