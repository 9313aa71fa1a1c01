package once

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/sleep"
	fold "dandelionsill.org/fold/once"
	"dandelionsill.org/platform"
)

const (
	maxBatchClaims = 1000 // claims in one append
	appendTimeout  = 2 * time.Second
	minBackoff     = 20 * time.Millisecond
	maxBackoff     = time.Second
	// activeOwnerWindow is how long an owner counts as one that shares the append rate.
	activeOwnerWindow = 10 * time.Second
)

// writeClaims appends waiting claims, one batch at a time, until ctx ends.
func (t *Table) writeClaims(ctx context.Context) {
	var lastAppend time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.claimsQueued:
		}
		sleep.For(ctx, time.Until(lastAppend.Add(t.appendInterval())))
		batch, more := t.take()
		if more {
			notify(t.claimsQueued)
		}
		if len(batch) == 0 {
			continue
		}
		lastAppend = time.Now()
		t.commitBatch(ctx, batch)
	}
}

// appendInterval keeps all agents of the stream together within its share of the
// log's append rate. Each counts the others from the stream itself, so that
// nobody has to hand shares out.
//
// So a claim's latency grows with the number n of agents that claim: with a
// share of S appends/s each agent appends every n/S seconds, and a busy agent's
// claim waits n/2S on average, n/S at most, besides the append and the read. At
// S = 150: 13 ms for 4 agents, 67 ms for 20, 0.33 s for 100, 1 s for 300; there
// n/S is the default claim timeout of 2 s, beyond which claims are refused. A
// fleet of that size should send a service's keyed calls to few agents: to the
// first k of an order that all entries share (rendezvous hashing of service and
// agent), with k the least that carries the keyed calls and spans the failure
// domains. k <= S/10 keeps the mean wait at 50 ms, and fewer, larger records
// cost all readers less.
func (t *Table) appendInterval() time.Duration {
	limits := t.cfg.Limits()
	if limits.AppendsPerS <= 0 {
		return limits.MinInterval
	}
	t.mu.Lock()
	active := max(1, t.keys.ActiveOwners(activeOwnerWindow))
	t.mu.Unlock()
	share := time.Duration(float64(active) / limits.AppendsPerS * float64(time.Second))
	return max(limits.MinInterval, share)
}

// take removes the next batch from the queue, without claims that nobody waits
// for any more.
func (t *Table) take() (batch []*pending, more bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.queue) > 0 && len(batch) < maxBatchClaims {
		p := t.queue[0]
		t.queue[0] = nil
		t.queue = t.queue[1:]
		if t.pendingClaims[p.digest] == p {
			batch = append(batch, p)
		}
	}
	return batch, len(t.queue) > 0
}

// commitBatch writes one batch until it stands in the log or nobody waits for it.
// Writing it again is safe, because the fold lets the first claim stand; but it
// is done only after a read to the end has shown that it is not there.
func (t *Table) commitBatch(ctx context.Context, batch []*pending) {
	seq, data := t.encodeBatch(batch)
	for delay := minBackoff; t.hasWaiters(batch) && ctx.Err() == nil; delay = min(2*delay, maxBackoff) {
		t.recordAppendStart()
		offset, err := t.append(ctx, data)
		switch {
		case err == nil:
			t.recordAppended(offset, seq)
			return
		case errors.Is(err, platform.ErrLogUnavailable):
			t.log.Warn("The log is down; claims are refused.", zap.Error(err))
			t.refuseBatch(batch)
			return
		case errors.Is(err, platform.ErrRate):
			t.log.Warn("The log's append rate is spent.")
		default:
			appendsLost.Add(1)
			t.log.Warn("An append's answer was lost; reading back.", zap.Error(err))
			if t.readBack(ctx, batch, seq) {
				return
			}
		}
		sleep.For(ctx, delay)
	}
}

func (t *Table) append(ctx context.Context, data []byte) (offset uint64, _ error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	appends.Add(1)
	return t.cfg.Log.Append(ctx, t.stream, data)
}

func (t *Table) encodeBatch(batch []*pending) (seq uint64, data []byte) {
	t.mu.Lock()
	t.lastSeq++
	seq = t.lastSeq
	t.mu.Unlock()
	b := fold.Batch{Owner: t.cfg.Owner, Seq: seq, Claims: make([]fold.Claim, len(batch))}
	for i, p := range batch {
		b.Claims[i] = p.claim
	}
	claimsSent.Add(int64(len(batch)))
	return seq, fold.Encode(b)
}

// readBack tells whether a batch stands in the log. False means that it did
// not when the read came to the end, or that nobody waits for it any more.
func (t *Table) readBack(ctx context.Context, batch []*pending, seq uint64) bool {
	for delay := minBackoff; ctx.Err() == nil && t.hasWaiters(batch); {
		atEnd, err := t.readPage(ctx, 0)
		if t.isReadBack(seq) {
			return true
		}
		if err == nil && atEnd {
			t.clearUnconfirmed()
			return false
		}
		if err != nil {
			sleep.For(ctx, delay)
			delay = min(2*delay, maxBackoff)
		}
	}
	return false
}

// clearUnconfirmed notes that the log answers: what is not there was lost on its way.
func (t *Table) clearUnconfirmed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unconfirmedSince = time.Time{}
}

// recordAppendStart notes that a batch is on its way: the tail polls for it.
func (t *Table) recordAppendStart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.appendsStarted++
	if t.unconfirmedSince.IsZero() {
		t.unconfirmedSince = time.Now()
	}
	notify(t.readNow)
}

func (t *Table) isReadBack(seq uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readBackSeq >= seq
}

// hasWaiters tells whether anybody still waits for a claim of the batch.
func (t *Table) hasWaiters(batch []*pending) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range batch {
		if t.pendingClaims[p.digest] == p {
			return true
		}
	}
	return false
}

// refuseBatch refuses a batch that the log did not take, and for a moment every claim
// that would follow it.
func (t *Table) refuseBatch(batch []*pending) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.logDownUntil = time.Now().Add(logDownPause)
	for _, p := range batch {
		if t.pendingClaims[p.digest] != p {
			continue
		}
		delete(t.pendingClaims, p.digest)
		p.err = logUnavailable("the log is down")
		close(p.done)
	}
}
