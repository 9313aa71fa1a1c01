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
	maxBatch      = 1000 // claims in one append
	appendTimeout = 2 * time.Second
	minBackoff    = 20 * time.Millisecond
	maxBackoff    = time.Second
	// activeFor is how long an owner counts as one that shares the append rate.
	activeFor = 10 * time.Second
)

// write appends waiting claims, one batch at a time, until ctx ends.
func (t *Table) write(ctx context.Context) {
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		}
		sleep.For(ctx, time.Until(last.Add(t.interval())))
		batch, rest := t.take()
		if rest {
			poke(t.wake)
		}
		if len(batch) == 0 {
			continue
		}
		last = time.Now()
		t.commit(ctx, batch)
	}
}

// interval keeps all agents of the stream together within its share of the
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
func (t *Table) interval() time.Duration {
	terms := t.cfg.Terms()
	if terms.AppendsPerS <= 0 {
		return terms.MinInterval
	}
	t.mu.Lock()
	active := max(1, t.fold.ActiveOwners(activeFor))
	t.mu.Unlock()
	share := time.Duration(float64(active) / terms.AppendsPerS * float64(time.Second))
	return max(terms.MinInterval, share)
}

// take removes the next batch from the queue, without claims that nobody waits
// for any more.
func (t *Table) take() (batch []*pending, rest bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.queue) > 0 && len(batch) < maxBatch {
		p := t.queue[0]
		t.queue[0] = nil
		t.queue = t.queue[1:]
		if t.claims[p.key] == p {
			batch = append(batch, p)
		}
	}
	return batch, len(t.queue) > 0
}

// commit writes one batch until it stands in the log or nobody waits for it.
// Writing it again is safe, because the fold lets the first claim stand; but it
// is done only after a read to the end has shown that it is not there.
func (t *Table) commit(ctx context.Context, batch []*pending) {
	seq, data := t.encode(batch)
	for delay := minBackoff; t.wanted(batch) && ctx.Err() == nil; delay = min(2*delay, maxBackoff) {
		t.begun()
		offset, err := t.append(ctx, data)
		switch {
		case err == nil:
			t.stands(offset, seq)
			return
		case errors.Is(err, platform.ErrLogUnavailable):
			t.log.Warn("The log is down; claims are refused.", zap.Error(err))
			t.fail(batch)
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

func (t *Table) encode(batch []*pending) (seq uint64, data []byte) {
	t.mu.Lock()
	t.seq++
	seq = t.seq
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
	for delay := minBackoff; ctx.Err() == nil && t.wanted(batch); {
		atEnd, err := t.read(ctx, 0)
		if t.hasLanded(seq) {
			return true
		}
		if err == nil && atEnd {
			t.confirm()
			return false
		}
		if err != nil {
			sleep.For(ctx, delay)
			delay = min(2*delay, maxBackoff)
		}
	}
	return false
}

// confirm notes that the log answers: what is not there was lost on its way.
func (t *Table) confirm() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unconfirmed = time.Time{}
}

// begun notes that a batch is on its way: the tail polls for it.
func (t *Table) begun() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begins++
	if t.unconfirmed.IsZero() {
		t.unconfirmed = time.Now()
	}
	poke(t.hurry)
}

func (t *Table) hasLanded(seq uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.landed >= seq
}

// wanted tells whether anybody still waits for a claim of the batch.
func (t *Table) wanted(batch []*pending) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range batch {
		if t.claims[p.key] == p {
			return true
		}
	}
	return false
}

// fail refuses a batch that the log did not take, and for a moment every claim
// that would follow it.
func (t *Table) fail(batch []*pending) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.downUntil = time.Now().Add(logDownPause)
	for _, p := range batch {
		if t.claims[p.key] != p {
			continue
		}
		delete(t.claims, p.key)
		p.err = logUnavailable("the log is down")
		close(p.done)
	}
}
