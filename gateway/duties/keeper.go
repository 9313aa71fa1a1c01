// Package duties keeps the leases of duties that one process of the system may have at a
// time. The platform's store takes a write of a lease only if nothing was written since
// its writer's last read, and so decides between processes; decide/lease decides the rest.
package duties

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/sleep"
	"dandelionsill.org/decide/lease"
	"dandelionsill.org/platform"
)

var (
	dutiesTaken    = metrics.Counter("duties_taken_total")
	dutiesLost     = metrics.Counter("duties_lost_total")
	dutiesGivenUp  = metrics.Counter("duties_given_up_total")
	writesFailed   = metrics.Counter("duties_writes_failed_total")
	writesConflict = metrics.Counter("duties_writes_conflicting_total")
)

// Config says which duty is kept, and how.
type Config struct {
	Duty   string // key of its lease
	Self   lease.Holder
	Store  platform.Register
	Timing lease.Timing
	// RenewInterval is the pause between two renewals of a holder.
	RenewInterval time.Duration
	// PollInterval returns the pause between two looks of a process that is not the holder.
	PollInterval func() time.Duration
	// InitialProgress is how far the duty has come where nobody has had it before.
	InitialProgress uint64
	// ClaimDelay is how long this process lets others go first.
	ClaimDelay time.Duration
	// Now is a steady clock that goes on while the VM is suspended.
	Now    func() time.Duration
	Logger *zap.Logger
}

// Term is the time of one holder.
type Term struct {
	Token    uint64
	Progress uint64 // how far the duty had come when it began
}

// Keeper keeps one lease. It is safe for concurrent use.
type Keeper struct {
	cfg Config
	log *zap.Logger

	mu            sync.Mutex
	state         *lease.State
	loggedHeld    bool          // as last logged
	progress      uint64        // how far this process has come with the duty
	releaseReason string        // why this process gives the lease up; empty: it does not
	lastFailure   time.Duration // when the store last gave no answer

	// The fields from here on belong to the goroutine of Run.
	loaded       bool
	caughtUp     bool   // all that stands in the stream has been read
	nextOffset   uint64 // where the stream ends, as read
	readsFailing bool
	wake         chan struct{}
}

// New returns a keeper that has read nothing.
func New(cfg Config) *Keeper {
	return &Keeper{
		cfg: cfg, log: cfg.Logger.With(zap.String("duty", cfg.Duty)), state: lease.New(cfg.Self, cfg.Timing), wake: make(chan struct{}, 1),
	}
}

// Term returns the term of this process; false: it has none. Whether it may act is
// another question.
func (k *Keeper) Term() (Term, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, _ := k.state.Record()
	return Term{Token: r.Token, Progress: r.Progress}, k.state.Holds() && k.releaseReason == ""
}

// MayAct tells whether this process may act in a term for a time to come.
func (k *Keeper) MayAct(term Term, duration time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, _ := k.state.Record()
	return k.releaseReason == "" && r.Token == term.Token && k.state.MayAct(k.cfg.Now(), duration)
}

// SinceOutage is how long the store has answered since the last time it did not.
func (k *Keeper) SinceOutage() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cfg.Now() - k.lastFailure
}

// RecordProgress tells how far the duty has come; a later holder goes on from there.
func (k *Keeper) RecordProgress(progress uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.progress = max(k.progress, progress)
}

// Release makes this process give the lease up, for others to take it.
func (k *Keeper) Release(reason string) {
	k.mu.Lock()
	k.releaseReason = reason
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default: // it is awake
	}
}

// Run keeps the lease until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(k.step(ctx))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-k.wake:
		}
		timer.Stop()
	}
}

// step reads, and writes where that is due; it returns the pause until the next one.
func (k *Keeper) step(ctx context.Context) time.Duration {
	if !k.caughtUp {
		if err := k.read(ctx); err != nil {
			k.recordReadFailure(err)
			return sleep.Jitter(k.cfg.RenewInterval / 2)
		}
	}
	k.caughtUp = false
	record, write := k.dueWrite()
	if write {
		k.write(ctx, record)
	}
	k.logChange()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.state.Holds() {
		return k.cfg.RenewInterval
	}
	k.caughtUp = false
	return sleep.Jitter(k.cfg.PollInterval())
}

// dueWrite returns what has to be written now.
func (k *Keeper) dueWrite() (lease.Record, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	switch {
	case k.state.Holds() && k.releaseReason != "":
		dutiesGivenUp.Add(1)
		k.log.Info("Giving a duty up.", zap.String("why", k.releaseReason), zap.Uint64("done", k.progress))
		return k.state.Release(k.progress, now), true
	case k.state.Holds():
		k.releaseReason = ""
		return k.state.Renew(k.progress, now), true
	case k.state.MayClaim(now, k.cfg.ClaimDelay) && k.releaseReason != reasonStopping:
		k.releaseReason = ""
		r := k.state.Claim(k.nextOffset, now)
		if _, exists := k.state.Record(); !exists {
			r.Progress = k.cfg.InitialProgress
		}
		return r, true
	default:
		return lease.Record{}, false
	}
}

// write writes the lease's record if nothing was written since the last read. What
// became of a write without an answer shows at the next read.
func (k *Keeper) write(ctx context.Context, r lease.Record) {
	value, err := json.Marshal(r)
	if err != nil {
		k.log.Error("A lease can't be encoded.", zap.Error(err))
		return
	}
	next, err := k.cfg.Store.PutAt(ctx, platform.StreamDuties, []platform.KeyedRecord{{Key: k.cfg.Duty, Value: value}}, k.nextOffset)
	switch {
	case errors.Is(err, platform.ErrConflict):
		writesConflict.Add(1)
		return
	case err != nil:
		writesFailed.Add(1)
		k.recordFailure()
		k.log.Warn("A lease was not written.", zap.Uint64("token", r.Token), zap.Bool("may_stand", errors.Is(err, platform.ErrAppendUnknown)), zap.Error(err))
		return
	}
	k.nextOffset, k.caughtUp = next, true // a holder that is the only writer need not read
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state.Observe(&r, k.cfg.Now())
}

// read brings the state up to the stream's end.
func (k *Keeper) read(ctx context.Context) error {
	if k.loaded {
		records, next, err := k.cfg.Store.ReadKeyed(ctx, platform.StreamDuties, k.nextOffset, 0)
		if err == nil {
			k.nextOffset = next
			k.observe(records)
			return nil
		}
		if !errors.Is(err, platform.ErrTruncated) {
			return errors.Trace(err)
		}
	}
	records, next, err := k.cfg.Store.Newest(ctx, platform.StreamDuties)
	if err != nil {
		return errors.Trace(err)
	}
	k.loaded, k.nextOffset = true, next
	if !k.observe(records) {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.state.Observe(nil, k.cfg.Now())
	}
	return nil
}

// observe takes the records of this lease; it tells whether there was one.
func (k *Keeper) observe(records []platform.KeyedRecord) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	if k.readsFailing {
		k.readsFailing = false
		k.lastFailure = now
		k.state.ReadsResumed(now)
		k.log.Info("The leases can be read again.")
	}
	found := false
	for i := range records {
		if records[i].Key != k.cfg.Duty {
			continue
		}
		var r lease.Record
		if err := json.Unmarshal(records[i].Value, &r); err != nil {
			k.log.Warn("A lease can't be read and is left out.", zap.Error(err))
			continue
		}
		found = true
		k.state.Observe(&r, now)
	}
	return found
}

// recordFailure notes that the store did not answer.
func (k *Keeper) recordFailure() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastFailure = k.cfg.Now()
}

func (k *Keeper) recordReadFailure(err error) {
	k.recordFailure()
	if !k.readsFailing {
		k.log.Warn("The leases can't be read.", zap.Error(err))
	}
	k.readsFailing = true
}

// logChange logs who has the duty when that changes here.
func (k *Keeper) logChange() {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, exists := k.state.Record()
	holds := k.state.Holds()
	if holds == k.loggedHeld {
		return
	}
	k.loggedHeld = holds
	if holds {
		dutiesTaken.Add(1)
		k.log.Info("This process has a duty.", zap.Uint64("token", r.Token), zap.String("before", r.PreviousVM), zap.Uint64("done", r.Progress))
		return
	}
	dutiesLost.Add(1)
	k.log.Info("This process no longer has a duty.", zap.Uint64("token", r.Token), zap.Bool("exists", exists), zap.String("holder", r.VM), zap.Bool("released", r.Released))
}

// reasonStopping is why a process that stops gives its duties up; it takes none any more.
const reasonStopping = "the process stops"

// Resign gives the lease up, and takes it no more.
func (k *Keeper) Resign() { k.Release(reasonStopping) }
