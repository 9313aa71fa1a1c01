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
	// activeOwnerWindow is how long after its last claim an owner counts as one
	// that shares the append rate.
	activeOwnerWindow = 10 * time.Second
)

// writeClaims appends the queued claims, one batch at a time, until ctx ends.
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

// appendInterval returns the minimum time between the starts of two appends. It
// keeps all agents of the stream together within the stream's share of the log's
// append rate. Each agent counts the active ones from the stream itself, so that
// no process has to assign shares.
//
// A claim's latency therefore grows with the number n of agents that claim: with
// a share of S appends/s each agent appends every n/S seconds, and a claim at a
// busy agent waits n/2S on average and n/S at most, in addition to the append and
// the read. At S = 150 the mean wait is 13 ms for 4 agents, 67 ms for 20, 0.33 s
// for 100 and 1 s for 300; at 300 the longest wait n/S is the default claim
// timeout of 2 s, beyond which claims are refused. A fleet of that size should
// send a service's keyed calls to few agents: to the first k of an order that all
// entries share (rendezvous hashing of service and agent), with k the smallest
// number that carries the keyed calls and spans the failure domains. k <= S/10
// keeps the mean wait at 50 ms, and fewer, larger records cost all readers less.
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

// take removes the next batch from the queue and skips claims that no request
// waits for any more. more reports whether claims are left in the queue.
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

// commitBatch appends one batch and retries until the log contains it or no
// request waits for it. Appending it twice would be safe, because the first claim
// of a key wins; it is still retried only after a read to the end of the stream
// has not found it.
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
			t.log.Warn("The log is unavailable; claims are refused.", zap.Error(err))
			t.refuseBatch(batch)
			return
		case errors.Is(err, platform.ErrRate):
			t.log.Warn("The log's append rate limit is exceeded.")
		default:
			appendsLost.Add(1)
			t.log.Warn("The outcome of an append is unknown; reading back.", zap.Error(err))
			if t.readBack(ctx, batch, seq) {
				return
			}
		}
		sleep.For(ctx, delay)
	}
}

// append appends one record to the service's stream and returns its offset.
func (t *Table) append(ctx context.Context, data []byte) (offset uint64, _ error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	appends.Add(1)
	return t.cfg.Log.Append(ctx, t.stream, data)
}

// encodeBatch assigns the batch its sequence number and encodes it as a record.
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

// readBack reports whether the log contains a batch. False means that a read to
// the end did not find it, or that no request waits for it any more.
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

// clearUnconfirmed records that the log answers reads, so that a batch which was
// not found did not reach it.
func (t *Table) clearUnconfirmed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unconfirmedSince = time.Time{}
}

// recordAppendStart records that an append has started and wakes the tail to read
// its record.
func (t *Table) recordAppendStart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.appendsStarted++
	if t.unconfirmedSince.IsZero() {
		t.unconfirmedSince = time.Now()
	}
	notify(t.readNow)
}

// isReadBack reports whether the own batch seq has been read back.
func (t *Table) isReadBack(seq uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readBackSeq >= seq
}

// hasWaiters reports whether a request still waits for a claim of the batch.
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

// refuseBatch refuses the claims of a batch that the log rejected. New claims are
// refused as well for logDownPause.
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
