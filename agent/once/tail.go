package once

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/platform"
)

const (
	maxPageRecords = 1000 // records per read
	longPollWait   = 10 * time.Second
	readTimeout    = 2 * time.Second // in addition to the wait of a long poll
	sweepInterval  = time.Minute
	// startSkews is how much older than the key window, in multiples of the clock
	// skew, a record must be for a new agent to start reading at it
	// (skipOldRecords).
	startSkews = 3
)

// tail reads the stream and applies its records until ctx ends.
//
// With long polls alone, each append of any agent would end the poll of every
// agent of the service: with 100 agents, 150 appends/s caused 15,000 reads/s. A
// busy stream is therefore read once per ReadInterval, and at once when an own
// claim is appended. An idle stream is long polled.
//
// The cost is that other agents' claims are read up to ReadInterval later: a
// repeat of a key that another agent has just claimed is claimed here as well
// instead of being refused at once. That claim loses when it is read back, and the
// answer is the same "claimed elsewhere", one append later (or "log unavailable",
// if the log fails at that moment). Safety does not depend on the read rate: a
// request runs only after its claim was read back, and no claim is read back
// without all records before it.
func (t *Table) tail(ctx context.Context) {
	delay := minBackoff
	for ctx.Err() == nil {
		if err := t.readNext(ctx); err != nil {
			t.log.Warn("Reading claims from the log failed.", zap.Error(err))
			sleep.For(ctx, delay)
			delay = min(2*delay, maxBackoff)
			continue
		}
		delay = minBackoff
	}
}

// readNext reads a page and waits until the next one should be read.
func (t *Table) readNext(ctx context.Context) error {
	if !t.skippedOld {
		if err := t.skipOldRecords(ctx); err != nil {
			return err
		}
		t.skippedOld = true
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := t.startPoll(cancel)
	atEnd, err := t.readPage(ctx, wait)
	if err == nil && atEnd && wait > 0 {
		t.waitForNextRead(ctx)
	}
	return err
}

// startPoll registers the tail's next read, which cancel ends, and returns how long
// it may wait for records. Reads don't wait until the end of the stream has been
// reached, as the agent is not ready before, and the stream of an idle service may
// stay empty for a long time. The same holds after a log reset, which also cancels
// the current poll: its offset may be far above the new end of the log.
func (t *Table) startPoll(cancel context.CancelFunc) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.appendsAtPoll = t.appendsStarted
	t.cancelPoll = cancel
	if !t.caughtUpSinceReset {
		return 0
	}
	return longPollWait
}

// waitForNextRead waits until an own append needs a read, the jittered read interval
// has passed, or ctx ends.
func (t *Table) waitForNextRead(ctx context.Context) {
	half := t.cfg.ReadInterval / 2
	timer := time.NewTimer(half + rand.N(half+1))
	defer timer.Stop()
	for !t.needsRead() {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-t.readNow:
		}
	}
}

// needsRead reports whether an own append is in the log but not read yet, or has
// started after the tail's last read. A read that starts after the append returns
// the record as soon as the log has it, unless records of other agents come first.
func (t *Table) needsRead() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.keys.Next() < t.readTarget || t.readBackSeq < t.lastSeq && t.appendsAtPoll < t.appendsStarted
}

// recordAppended records that the log has acknowledged an own batch, and wakes the
// tail to read it back at once.
func (t *Table) recordAppended(offset, seq uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if offset < t.keys.Next() && t.readBackSeq < seq {
		// Another record was read at this offset before, so the log has lost
		// records. The tail's poll for a higher offset would outlast the claim
		// timeout.
		t.handleLogReset(0)
	}
	t.readTarget = offset + 1
	notify(t.readNow)
}

// handleLogReset makes the tail read the stream from offset first after the log has
// lost records. Claims that were not read yet may be among them, so attempts with
// unclaimed keys that were issued before the loss get outcome_unknown. t.mu is
// held.
//
// An agent that starts after the loss can't detect it, as the stream looks like
// that of a new service, and treats such a key as unclaimed. First-record-wins
// can't protect against a log that loses acknowledged records.
func (t *Table) handleLogReset(first uint64) {
	resets.Add(1)
	t.log.Error("The log has lost records that were read before.", zap.Uint64("next", t.keys.Next()), zap.Uint64("first", first))
	t.keys.HandleLogReset(first)
	t.readTarget = 0
	t.caughtUpSinceReset = false
	if t.cancelPoll != nil {
		t.cancelPoll()
	}
}

// readPage reads one page from the log and applies its records. atEnd reports
// whether the page reached the end of the stream. Pages of concurrent reads may
// overlap: records that were applied already are skipped.
func (t *Table) readPage(ctx context.Context, wait time.Duration) (atEnd bool, _ error) {
	t.mu.Lock()
	from := t.keys.Next()
	t.mu.Unlock()
	page, err := t.readLog(ctx, from, maxPageRecords, wait)
	truncated := errors.Is(err, platform.ErrTruncated)
	if err != nil && !truncated {
		return false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keys.SetLimits(foldLimits(t.cfg.Limits()))
	if page.End < from {
		if t.keys.Next() >= from { // otherwise a concurrent read has handled the reset
			t.handleLogReset(page.First)
		}
		return false, nil
	}
	if truncated {
		t.keys.HandleTruncation(page.First)
		return false, nil
	}
	for _, rec := range page.Records {
		t.apply(rec)
	}
	atEnd = page.Next >= page.End
	if atEnd {
		t.keys.HandleEmptyStream(time.Now())
		t.caughtUp, t.caughtUpSinceReset = true, true
	}
	if now := time.Now(); now.After(t.nextSweep) {
		t.nextSweep = now.Add(sweepInterval)
		t.dropExpiredRuns()
	}
	return atEnd, nil
}

// readLog reads up to records records from offset from on and waits up to wait if
// there are none.
func (t *Table) readLog(ctx context.Context, from uint64, records int, wait time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	reads.Add(1)
	return t.cfg.Log.Read(ctx, t.stream, from, records, wait)
}

// apply applies a record to the keys' state and wakes the requests that wait for
// one of its claims. t.mu is held.
func (t *Table) apply(rec platform.Record) {
	applied := t.keys.Apply(rec)
	if applied.Unreadable {
		unreadable.Add(1)
		t.log.Error("A record can't be decoded; keys that it may contain are answered as unknown.", zap.Uint64("offset", rec.Offset))
	}
	if applied.Record.Owner == t.self {
		t.readBackSeq = max(t.readBackSeq, applied.Record.Seq)
		t.unconfirmedSince = time.Time{}
		if t.readBackSeq < t.lastSeq {
			t.unconfirmedSince = time.Now() // a newer batch is not read back yet
		}
	}
	for _, c := range applied.Record.Claims {
		if p := t.pendingClaims[c.Key]; p != nil {
			delete(t.pendingClaims, c.Key)
			close(p.done)
		}
	}
}

// skipOldRecords makes a new agent start reading near the beginning of the key
// window: the log keeps a day of claims (16 million at 190/s), the window is a few
// minutes. A binary search finds a record that is older than the window by
// startSkews skews. It is read first, and the records before it are handled as
// truncated, so that unclaimed keys count as lost if they were issued up to two
// skews after that record (fold/once). This bound lies at least one skew below the
// oldest key that checkAge accepts by the same clock. So no key that is accepted
// counts as lost, and no key whose claim was skipped counts as unclaimed, whatever
// record the search ends at. Record times that jump back and records that are
// truncated during the search are therefore harmless.
func (t *Table) skipOldRecords(ctx context.Context) error {
	limits := t.cfg.Limits()
	if limits.Window <= 0 {
		return nil
	}
	cutoff := time.Now().Add(-limits.Window - startSkews*limits.Skew)
	page, err := t.readLog(ctx, 0, 1, 0)
	if err != nil && !errors.Is(err, platform.ErrTruncated) {
		return err
	}
	low, high := page.First, page.End
	if high-min(low, high) <= maxPageRecords {
		return nil
	}
	start, found := uint64(0), false
	for low < high {
		middle := low + (high-low)/2
		page, err := t.readLog(ctx, middle, 1, 0)
		switch {
		case errors.Is(err, platform.ErrTruncated):
			low = max(page.First, middle+1)
		case err != nil:
			return err
		case len(page.Records) == 0 || page.Records[0].Time.After(cutoff):
			high = middle
		default:
			start, found = page.Records[0].Offset, true
			low = start + 1
		}
	}
	if found {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.keys.HandleTruncation(start)
	}
	return nil
}
