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
	maxRecords  = 1000 // records in one read
	longPoll    = 10 * time.Second
	readTimeout = 2 * time.Second // beyond the long poll
	sweepEvery  = time.Minute
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
		if err := t.readOn(ctx); err != nil {
			t.log.Warn("Reading claims failed.", zap.Error(err))
			sleep.For(ctx, delay)
			delay = min(2*delay, maxBackoff)
			continue
		}
		delay = minBackoff
	}
}

// readOn reads a page and then waits until the next should be read.
func (t *Table) readOn(ctx context.Context) error {
	if !t.started {
		if err := t.findStart(ctx); err != nil {
			return err
		}
		t.started = true
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := t.beginPoll(cancel)
	atEnd, err := t.read(ctx, wait)
	if err == nil && atEnd && wait > 0 {
		t.pause(ctx)
	}
	return err
}

// beginPoll tells how long the tail's next read may wait. The first reads don't
// wait: an agent is not ready before the end, and the stream of a quiet service
// may stay empty for long. Nor do those after a reset, which also ends a poll
// for an offset that the log will not reach for long.
func (t *Table) beginPoll(cancel context.CancelFunc) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.polled = t.begins
	t.endPoll = cancel
	if !t.settled {
		return 0
	}
	return longPoll
}

// pause waits until an own append needs a read, the read interval has passed,
// or ctx ends.
func (t *Table) pause(ctx context.Context) {
	half := t.cfg.ReadInterval / 2
	timer := time.NewTimer(half + rand.N(half+1))
	defer timer.Stop()
	for !t.urgent() {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-t.hurry:
		}
	}
}

// urgent tells whether an own append stands in the log unread, or is on its way
// and no long poll has begun since: that poll has the record as soon as the log
// does, unless others' come between.
func (t *Table) urgent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fold.Next() < t.readTo || t.landed < t.seq && t.polled < t.begins
}

// stands notes that an own batch was answered: it is read back at once.
func (t *Table) stands(offset, seq uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if offset < t.fold.Next() && t.landed < seq {
		// Another record was read at that offset before. The tail's poll for a
		// higher one would go on for longer than a claim may wait.
		t.reset(0)
	}
	t.readTo = offset + 1
	poke(t.hurry)
}

// reset reads the stream anew from first on, after the log lost its records.
// Unread claims may be among them, so that unclaimed keys which were issued
// before the loss answer outcome_unknown. t.mu is held.
//
// An agent that starts after the loss finds a stream like that of a new
// service and can't know: it takes such a key as free. A log that loses what it
// acknowledged is outside of what first-record-wins can mend.
func (t *Table) reset(first uint64) {
	resets.Add(1)
	t.log.Error("The log lost records that were read from it.", zap.Uint64("next", t.fold.Next()), zap.Uint64("first", first))
	t.fold.HandleLogReset(first)
	t.readTo = 0
	t.settled = false
	if t.endPoll != nil {
		t.endPoll()
	}
}

// read reads one page into the fold. atEnd tells that nothing was left to read
// when the log answered. Pages may overlap: the fold skips what it has seen.
func (t *Table) read(ctx context.Context, wait time.Duration) (atEnd bool, _ error) {
	t.mu.Lock()
	from := t.fold.Next()
	t.mu.Unlock()
	page, err := t.readLog(ctx, from, maxRecords, wait)
	truncated := errors.Is(err, platform.ErrTruncated)
	if err != nil && !truncated {
		return false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fold.SetLimits(foldTerms(t.cfg.Terms()))
	if page.End < from {
		if t.fold.Next() >= from { // else the other reader has seen it already
			t.reset(page.First)
		}
		return false, nil
	}
	if truncated {
		t.fold.HandleTruncation(page.First)
		return false, nil
	}
	for _, rec := range page.Records {
		t.apply(rec)
	}
	atEnd = page.Next >= page.End
	if atEnd {
		t.fold.HandleEmptyStream(time.Now())
		t.caughtUp, t.settled = true, true
	}
	if now := time.Now(); now.After(t.sweepAt) {
		t.sweepAt = now.Add(sweepEvery)
		t.sweep()
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
	applied := t.fold.Apply(rec)
	if applied.Unreadable {
		unreadable.Add(1)
		t.log.Error("A record can't be read by this release; keys that it may hold are refused as unknown.", zap.Uint64("offset", rec.Offset))
	}
	if applied.Record.Owner == t.self {
		t.landed = max(t.landed, applied.Record.Seq)
		t.unconfirmed = time.Time{}
		if t.landed < t.seq {
			t.unconfirmed = time.Now() // a younger batch is under way
		}
	}
	for _, c := range applied.Record.Claims {
		if p := t.claims[c.Key]; p != nil {
			delete(t.claims, c.Key)
			close(p.done)
		}
	}
}

// findStart skips what a new agent has no use for. The log keeps a day of
// claims (16 million at 190/s), the key window is some minutes. The last record
// found that is older than the window by startSkews skews is read first; all
// before it counts as lost. That floor lies two skews above the record's time
// (fold/once), so a skew below the oldest key that checkAge lets through by the
// same clock: no key that may be asked for counts as lost, and none is free
// whose claim was skipped, whatever record the search ends at. So neither
// record times that jump back nor records truncated meanwhile can do harm.
func (t *Table) findStart(ctx context.Context) error {
	terms := t.cfg.Terms()
	if terms.Window <= 0 {
		return nil
	}
	cutoff := time.Now().Add(-terms.Window - startSkews*terms.Skew)
	page, err := t.readLog(ctx, 0, 1, 0)
	if err != nil && !errors.Is(err, platform.ErrTruncated) {
		return err
	}
	low, high := page.First, page.End
	if high-min(low, high) <= maxRecords {
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
		t.fold.HandleTruncation(start)
	}
	return nil
}
