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
	maxPageRecords = 1000 // records in one read
	longPollWait   = 10 * time.Second
	readTimeout    = 2 * time.Second // beyond the long poll
	sweepInterval  = time.Minute
	// startSkews, in clock skews, is how much older than the key window the
	// record is from which a new agent reads (findStart).
	startSkews = 3
)

// tail reads the stream into the fold until ctx ends.
//
// A long poll alone would end at each append of each agent of the service: at
// 100 agents 150 appends/s made 15,000 reads/s. So a busy stream is read once
// per ReadInterval, and an own claim hurries the tail on. An idle stream is
// long polled.
//
// What it costs to hear of other agents' claims up to ReadInterval later: a
// repeat of a key that another agent has just claimed is claimed here as well
// instead of being refused at once. That claim loses when it is read back, and
// the answer is the same "claimed elsewhere", one append later (or "log
// unavailable", if the log went down just then). Nothing runs on a claim that
// was not read back, and no claim is read back without every record before it,
// so that safety does not hang on the pace.
func (t *Table) tail(ctx context.Context) {
	delay := minBackoff
	for ctx.Err() == nil {
		if err := t.readNext(ctx); err != nil {
			t.log.Warn("Reading claims failed.", zap.Error(err))
			sleep.For(ctx, delay)
			delay = min(2*delay, maxBackoff)
			continue
		}
		delay = minBackoff
	}
}

// readNext reads a page and then waits until the next should be read.
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

// startPoll tells how long the tail's next read may wait. The first reads don't
// wait: an agent is not ready before the end, and the stream of a quiet service
// may stay empty for long. Nor do those after a reset, which also ends a poll
// for an offset that the log will not reach for long.
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

// waitForNextRead waits until an own append needs a read, the read interval has passed,
// or ctx ends.
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

// needsRead tells whether an own append stands in the log unread, or is on its way
// and no long poll has begun since: that poll has the record as soon as the log
// does, unless others' come between.
func (t *Table) needsRead() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.keys.Next() < t.readTarget || t.readBackSeq < t.lastSeq && t.appendsAtPoll < t.appendsStarted
}

// recordAppended notes that an own batch was answered: it is read back at once.
func (t *Table) recordAppended(offset, seq uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if offset < t.keys.Next() && t.readBackSeq < seq {
		// Another record was read at that offset before. The tail's poll for a
		// higher one would go on for longer than a claim may wait.
		t.handleLogReset(0)
	}
	t.readTarget = offset + 1
	notify(t.readNow)
}

// handleLogReset reads the stream anew from first on, after the log lost its records.
// Unread claims may be among them, so that unclaimed keys which were issued
// before the loss answer outcome_unknown. t.mu is held.
//
// An agent that starts after the loss finds a stream like that of a new
// service and can't know: it takes such a key as free. A log that loses what it
// acknowledged is outside of what first-record-wins can mend.
func (t *Table) handleLogReset(first uint64) {
	resets.Add(1)
	t.log.Error("The log lost records that were read from it.", zap.Uint64("next", t.keys.Next()), zap.Uint64("first", first))
	t.keys.HandleLogReset(first)
	t.readTarget = 0
	t.caughtUpSinceReset = false
	if t.cancelPoll != nil {
		t.cancelPoll()
	}
}

// readPage reads one page into the fold. atEnd tells that nothing was left to readPage
// when the log answered. Pages may overlap: the fold skips what it has seen.
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
		if t.keys.Next() >= from { // else the other reader has seen it already
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

func (t *Table) readLog(ctx context.Context, from uint64, records int, wait time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	reads.Add(1)
	return t.cfg.Log.Read(ctx, t.stream, from, records, wait)
}

// apply folds a record and wakes who waits for one of its keys. t.mu is held.
func (t *Table) apply(rec platform.Record) {
	applied := t.keys.Apply(rec)
	if applied.Unreadable {
		unreadable.Add(1)
		t.log.Error("A record can't be read by this release; keys that it may hold are refused as unknown.", zap.Uint64("offset", rec.Offset))
	}
	if applied.Record.Owner == t.self {
		t.readBackSeq = max(t.readBackSeq, applied.Record.Seq)
		t.unconfirmedSince = time.Time{}
		if t.readBackSeq < t.lastSeq {
			t.unconfirmedSince = time.Now() // a younger batch is under way
		}
	}
	for _, c := range applied.Record.Claims {
		if p := t.pendingClaims[c.Key]; p != nil {
			delete(t.pendingClaims, c.Key)
			close(p.done)
		}
	}
}

// skipOldRecords skips what a new agent has no use for. The log keeps a day of
// claims (16 million at 190/s), the key window is some minutes. The last record
// found that is older than the window by startSkews skews is read first; all
// before it counts as lost. That floor lies two skews above the record's time
// (fold/once), so a skew below the oldest key that checkAge lets through by the
// same clock: no key that may be asked for counts as lost, and none is free
// whose claim was skipped, whatever record the search ends at. So neither
// record times that jump back nor records truncated meanwhile can do harm.
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
