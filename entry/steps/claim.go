package steps

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/sleep"
	foldsteps "dandelionsill.org/fold/steps"
	"dandelionsill.org/platform"
)

const (
	claimTimeout       = 5 * time.Second
	minClaimRetryDelay = 500 * time.Millisecond
	maxClaimRetryDelay = 15 * time.Second
	maxReadWait        = 20 * time.Second
	maxReadRecords     = 256
	readRetryDelay     = time.Second
	logLineInterval    = 10 * time.Second
)

// appendClaim appends the step's claim to the log, in parallel to generation, which
// never waits for it: while the log is unavailable, only the attempt that the trainer
// chose orders the owners. followLog adopts the claim when it reads it from the log, so
// an append whose answer was lost needs no special handling: the retry has the same
// record id and foldsteps.State ignores the second record.
func (s *Steps) appendClaim(st *step) {
	data := foldsteps.Encode(foldsteps.Claim{
		ID: st.claimID, Trainer: st.key.Trainer, Step: st.key.Step, Attempt: st.attempt, Entry: s.cfg.Name,
	})
	for wait := minClaimRetryDelay; ; wait = min(2*wait, maxClaimRetryDelay) {
		ctx, cancel := context.WithTimeout(st.ctx, claimTimeout)
		_, err := s.cfg.Log.Append(ctx, platform.StreamSteps, data)
		cancel()
		if err == nil || st.ctx.Err() != nil || s.hasClaim(st) {
			return
		}
		if !sleep.For(st.ctx, wait) {
			return
		}
	}
}

func (s *Steps) hasClaim(st *step) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return st.epoch.Claim != 0
}

// followLog reads the claims of all entries from the log.
func (s *Steps) followLog() {
	logger := logs.Limited(s.cfg.Logger, logLineInterval)
	nextOffset := uint64(0)
	for s.ctx.Err() == nil {
		page, err := s.cfg.Log.Read(s.ctx, platform.StreamSteps, nextOffset, maxReadRecords, maxReadWait)
		if errors.Is(err, platform.ErrTruncated) {
			// Claims that the log no longer keeps belong to steps that have ended, or
			// were appended by this entry, which knows them.
			nextOffset = page.First
			continue
		}
		if err != nil {
			logger.Warn("The log can't be read, so only attempts order the owners of a step.", zap.Error(err))
			sleep.For(s.ctx, readRetryDelay)
			continue
		}
		s.applyRecords(page.Records)
		nextOffset = max(nextOffset, page.Next)
	}
}

func (s *Steps) applyRecords(records []platform.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rec := range records {
		if change, ok := s.owners.Apply(rec); ok {
			s.applyChange(change)
		}
	}
}

// applyChange adopts this entry's own claim, and stops a step that another entry
// owns. An owner that was suspended finds out here that it lost its step and stops
// generating tokens for it; by then its trainer has long switched to the new owner.
func (s *Steps) applyChange(c foldsteps.Change) {
	st := s.steps[c.Key]
	if st == nil || c.Owner.Epoch.Attempt < st.attempt {
		return
	}
	if c.Owner.Entry == s.cfg.Name && c.Owner.Epoch.Attempt == st.attempt {
		st.epoch = c.Owner.Epoch
		return
	}
	supersededTotal.Add(1)
	s.cfg.Logger.Info("Another entry took over a step.", zap.String("trainer", c.Key.Trainer),
		zap.Uint64("step", c.Key.Step), zap.String("by", c.Owner.Entry), logs.Trace(st.ctx))
	s.stop(st, errSuperseded(c.Key, c.Owner))
}
