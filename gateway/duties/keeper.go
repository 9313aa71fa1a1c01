// Package duties acquires and renews the leases of duties, tasks that exactly one process of
// the system has at a time. If several processes write a lease, the platform's store decides
// between them: it accepts a write only if nothing was written since the writer's last read.
// All other decisions are made by decide/lease.
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
	dutiesAcquired = metrics.Counter("duties_taken_total")
	dutiesLost     = metrics.Counter("duties_lost_total")
	dutiesReleased = metrics.Counter("duties_given_up_total")
	writesFailed   = metrics.Counter("duties_writes_failed_total")
	writesConflict = metrics.Counter("duties_writes_conflicting_total")
)

// conflictPause is the mean pause before a holder whose renewal met a conflict reads the
// stream and renews again. A whole RenewInterval would take that much off its term. It doubles, up to
// that, with each further conflict in a row.
const conflictPause = 40 * time.Millisecond

// Config holds the settings of a Keeper.
type Config struct {
	Duty   string // key of the duty's lease
	Self   lease.Holder
	Store  platform.ConditionalKeyedStore
	Timing lease.Timing
	// RenewInterval is the pause between two renewals by the holder.
	RenewInterval time.Duration
	// PollInterval returns the pause between two reads by a process that is not the holder.
	PollInterval func() time.Duration
	// InitialProgress is the duty's progress if no process has had the duty before.
	InitialProgress uint64
	// ClaimDelay is how long this process waits before it claims a lease that it could claim, so
	// that other processes can claim it first.
	ClaimDelay time.Duration
	// Now reads a monotonic clock that continues while the VM is suspended.
	Now    func() time.Duration
	Logger *zap.Logger
}

// Term is the period for which one holder has the duty.
type Term struct {
	Token    uint64 // fencing token
	Progress uint64 // the duty's progress according to the lease's record
}

// Keeper acquires, renews and releases the lease of one duty. It is safe for concurrent use.
type Keeper struct {
	cfg Config
	log *zap.Logger

	mu            sync.Mutex
	state         *lease.State
	loggedHeld    bool          // whether this process has the duty, as last logged
	progress      uint64        // progress that this process has made with the duty
	releaseReason string        // why this process releases the lease; empty: it does not
	lastFailure   time.Duration // when a call of the store last failed, or reads resumed

	// The following fields belong to the goroutine of Run.
	loaded       bool   // the newest records have been read once
	caughtUp     bool   // the state contains all records up to nextOffset; the next step need not read
	nextOffset   uint64 // end of the stream, as last read or written
	readsFailing bool
	conflicts    int           // conflicts of writes in a row
	wake         chan struct{} // interrupts the pause of Run; written by all goroutines
}

// New returns a keeper that has not read anything yet.
func New(cfg Config) *Keeper {
	return &Keeper{
		cfg: cfg, log: cfg.Logger.With(zap.String("duty", cfg.Duty)), state: lease.New(cfg.Self, cfg.Timing), wake: make(chan struct{}, 1),
	}
}

// Term returns the term of this process; false: it does not have the duty, or is releasing it.
// Before each action the process must also call MayAct.
func (k *Keeper) Term() (Term, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, _ := k.state.Record()
	return Term{Token: r.Token, Progress: r.Progress}, k.state.Holds() && k.releaseReason == ""
}

// MayAct reports whether this process may act in a term for a duration from now on.
func (k *Keeper) MayAct(term Term, duration time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, _ := k.state.Record()
	return k.releaseReason == "" && r.Token == term.Token && k.state.MayAct(k.cfg.Now(), duration)
}

// SinceOutage returns the time since the store's last outage, as seen by this process: since a
// call last failed or reads resumed after failures.
func (k *Keeper) SinceOutage() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cfg.Now() - k.lastFailure
}

// RecordProgress records the duty's progress, which is written with the next renewal. A later
// holder continues from there.
func (k *Keeper) RecordProgress(progress uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.progress = max(k.progress, progress)
}

// Release makes this process release the lease, so that another process can take it over.
// reason is logged.
func (k *Keeper) Release(reason string) {
	k.mu.Lock()
	k.releaseReason = reason
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default: // Run will wake up already
	}
}

// Run acquires and renews the lease until ctx ends.
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

// step reads the lease, writes it if that is due, and returns the pause until the next step.
func (k *Keeper) step(ctx context.Context) time.Duration {
	if !k.caughtUp {
		if err := k.read(ctx); err != nil {
			k.recordReadFailure(err)
			return sleep.Jitter(k.cfg.RenewInterval / 2)
		}
	}
	k.caughtUp = false
	if record, write := k.dueWrite(); write && k.write(ctx, record) {
		k.conflicts++
	} else {
		k.conflicts = 0
	}
	k.logChange()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.state.Holds() {
		return k.renewPause()
	}
	k.caughtUp = false
	return sleep.Jitter(k.cfg.PollInterval())
}

// renewPause returns the holder's pause until its next renewal.
func (k *Keeper) renewPause() time.Duration {
	if k.conflicts == 0 {
		return k.cfg.RenewInterval
	}
	pause := conflictPause // the conflict is often only with another duty's lease
	for i := 1; i < k.conflicts && pause < k.cfg.RenewInterval; i++ {
		pause *= 2
	}
	return min(sleep.Jitter(pause), k.cfg.RenewInterval)
}

// dueWrite returns the record that has to be written now; false: there is none.
func (k *Keeper) dueWrite() (lease.Record, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	switch {
	case k.state.Holds() && k.releaseReason != "":
		dutiesReleased.Add(1)
		k.log.Info("Releasing a duty.", zap.String("why", k.releaseReason), zap.Uint64("done", k.progress))
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

// write writes the lease's record; the store accepts it only if nothing was written since the
// last read; true: something was. The outcome of a write without an answer is found by the next
// read.
func (k *Keeper) write(ctx context.Context, r lease.Record) (conflicted bool) {
	value, err := json.Marshal(r)
	if err != nil {
		k.log.Error("Could not encode a lease.", zap.Error(err))
		return false
	}
	next, err := k.cfg.Store.PutAt(ctx, platform.StreamDuties, []platform.KeyedRecord{{Key: k.cfg.Duty, Value: value}}, k.nextOffset)
	switch {
	case errors.Is(err, platform.ErrConflict):
		writesConflict.Add(1)
		return true
	case err != nil:
		writesFailed.Add(1)
		k.recordFailure()
		k.log.Warn("Could not write a lease.", zap.Uint64("token", r.Token), zap.Bool("may_stand", errors.Is(err, platform.ErrAppendUnknown)), zap.Error(err))
		return false
	}
	k.nextOffset, k.caughtUp = next, true // no read is needed before the next write if no other process writes
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state.Observe(&r, k.cfg.Now())
	return false
}

// read updates the state with all records up to the end of the stream. If the records after
// nextOffset were truncated, it reads the newest record of each key instead.
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

// observe updates the state with the records of this lease and reports whether there were any.
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
			k.log.Warn("Ignoring a lease that cannot be decoded.", zap.Error(err))
			continue
		}
		found = true
		k.state.Observe(&r, now)
	}
	return found
}

// recordFailure records that a call of the store failed.
func (k *Keeper) recordFailure() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastFailure = k.cfg.Now()
}

// recordReadFailure records that the lease could not be read. Only the first failure in a row is
// logged.
func (k *Keeper) recordReadFailure(err error) {
	k.recordFailure()
	if !k.readsFailing {
		k.log.Warn("Could not read the leases.", zap.Error(err))
	}
	k.readsFailing = true
}

// logChange logs and counts when this process acquires or loses the duty.
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
		dutiesAcquired.Add(1)
		k.log.Info("This process has a duty.", zap.Uint64("token", r.Token), zap.String("before", r.PreviousVM), zap.Uint64("done", r.Progress))
		return
	}
	dutiesLost.Add(1)
	k.log.Info("This process no longer has a duty.", zap.Uint64("token", r.Token), zap.Bool("exists", exists), zap.String("holder", r.VM), zap.Bool("released", r.Released))
}

// reasonStopping is the release reason of a process that stops. It keeps the process from claiming
// the lease again.
const reasonStopping = "the process stops"

// Resign releases the lease and does not claim it again.
func (k *Keeper) Resign() { k.Release(reasonStopping) }
