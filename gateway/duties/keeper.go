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
	Store  platform.ConditionalKeyedStore
	Timing lease.Timing
	// Renew is the pause between two renewals of a holder.
	Renew time.Duration
	// Look returns the pause between two looks of a process that is not the holder.
	Look func() time.Duration
	// First is how far the duty has come where nobody has had it before.
	First uint64
	// Turn is how long this process lets others go first.
	Turn time.Duration
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

	mu    sync.Mutex
	state *lease.State
	held  bool          // as last logged
	done  uint64        // how far this process has come with the duty
	quit  string        // why this process gives the lease up; empty: it does not
	since time.Duration // when the store last gave no answer

	// The fields from here on belong to the goroutine of Run.
	loaded  bool
	current bool   // all that stands in the stream has been read
	next    uint64 // where the stream ends, as read
	failing bool
	wake    chan struct{}
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
	return Term{Token: r.Token, Progress: r.Progress}, k.state.Holds() && k.quit == ""
}

// MayAct tells whether this process may act in a term for a time to come.
func (k *Keeper) MayAct(term Term, need time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, _ := k.state.Record()
	return k.quit == "" && r.Token == term.Token && k.state.MayAct(k.cfg.Now(), need)
}

// SinceOutage is how long the store has answered since the last time it did not.
func (k *Keeper) SinceOutage() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cfg.Now() - k.since
}

// Finished tells how far the duty has come; a later holder goes on from there.
func (k *Keeper) Finished(done uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.done = max(k.done, done)
}

// GiveUp makes this process give the lease up, for others to take it.
func (k *Keeper) GiveUp(why string) {
	k.mu.Lock()
	k.quit = why
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
	if !k.current {
		if err := k.read(ctx); err != nil {
			k.readFailed(err)
			return sleep.Jitter(k.cfg.Renew / 2)
		}
	}
	k.current = false
	record, write := k.due()
	if write {
		k.write(ctx, record)
	}
	k.tell()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.state.Holds() {
		return k.cfg.Renew
	}
	k.current = false
	return sleep.Jitter(k.cfg.Look())
}

// due returns what has to be written now.
func (k *Keeper) due() (lease.Record, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	switch {
	case k.state.Holds() && k.quit != "":
		dutiesGivenUp.Add(1)
		k.log.Info("Giving a duty up.", zap.String("why", k.quit), zap.Uint64("done", k.done))
		return k.state.Release(k.done, now), true
	case k.state.Holds():
		k.quit = ""
		return k.state.Renew(k.done, now), true
	case k.state.MayClaim(now, k.cfg.Turn) && k.quit != leaving:
		k.quit = ""
		r := k.state.Claim(k.next, now)
		if _, exists := k.state.Record(); !exists {
			r.Progress = k.cfg.First
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
	next, err := k.cfg.Store.PutAt(ctx, platform.StreamDuties, []platform.KeyedRecord{{Key: k.cfg.Duty, Value: value}}, k.next)
	switch {
	case errors.Is(err, platform.ErrConflict):
		writesConflict.Add(1)
		return
	case err != nil:
		writesFailed.Add(1)
		k.failed()
		k.log.Warn("A lease was not written.", zap.Uint64("token", r.Token), zap.Bool("may_stand", errors.Is(err, platform.ErrAppendUnknown)), zap.Error(err))
		return
	}
	k.next, k.current = next, true // a holder that is the only writer need not read
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state.Observe(&r, k.cfg.Now())
}

// read brings the state up to the stream's end.
func (k *Keeper) read(ctx context.Context) error {
	if k.loaded {
		records, next, err := k.cfg.Store.ReadKeyed(ctx, platform.StreamDuties, k.next, 0)
		if err == nil {
			k.next = next
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
	k.loaded, k.next = true, next
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
	if k.failing {
		k.failing = false
		k.since = now
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

// failed notes that the store did not answer.
func (k *Keeper) failed() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.since = k.cfg.Now()
}

func (k *Keeper) readFailed(err error) {
	k.failed()
	if !k.failing {
		k.log.Warn("The leases can't be read.", zap.Error(err))
	}
	k.failing = true
}

// tell logs who has the duty when that changes here.
func (k *Keeper) tell() {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, exists := k.state.Record()
	holds := k.state.Holds()
	if holds == k.held {
		return
	}
	k.held = holds
	if holds {
		dutiesTaken.Add(1)
		k.log.Info("This process has a duty.", zap.Uint64("token", r.Token), zap.String("before", r.PreviousVM), zap.Uint64("done", r.Progress))
		return
	}
	dutiesLost.Add(1)
	k.log.Info("This process no longer has a duty.", zap.Uint64("token", r.Token), zap.Bool("exists", exists), zap.String("holder", r.Node), zap.Bool("released", r.Released))
}

// leaving is why a process that stops gives its duties up; it takes none any more.
const leaving = "the process stops"

// Leave gives the lease up, and takes it no more.
func (k *Keeper) Leave() { k.GiveUp(leaving) }
