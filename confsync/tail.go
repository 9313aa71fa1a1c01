package confsync

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/platform"
)

// Bounds of reads from the log.
const (
	// pollWait is the duration of a long poll: 1,860 idle processes send the log
	// 124 reads per second.
	pollWait = 15 * time.Second
	// pollMargin is the time after a read's wait at which the read has failed.
	pollMargin = 5 * time.Second
	// maxPage is the most records in one read. It bounds the memory of a read to
	// about 64 manifests.
	maxPage = 64
	// idlePause prevents a tight loop of reads if the log returns empty pages
	// without waiting.
	idlePause = 100 * time.Millisecond
	// maxFullRead is the longest log, in records, that a new process reads from
	// its first record. With a longer one it takes the revision from a peer and
	// reads from the offset that accepted it: at fleet size the log keeps about
	// 1.5 GB.
	maxFullRead = 512
	// maxJoinAttempts bounds the wait for such a peer: one round of exchanges
	// every joinInterval.
	maxJoinAttempts = 20
	joinInterval    = 250 * time.Millisecond
)

// logHealth is the log's state as last seen by this process; Keeper.mu guards
// it.
type logHealth struct {
	reachable             bool
	err                   error
	nextOffset, endOffset uint64
}

// startup prevents a new process from putting old revisions in force while it
// reads the log's history. If the log became slow halfway, an old revision would
// admit a caller that a later one excludes. A revision from a peer is in force at
// the peer, so this process may use it, too. Keeper.mu guards startup.
type startup struct {
	done           bool
	endAtStart     uint64 // the log's end when this process started
	newestFromPeer uint64 // newest revision received from a peer
}

// mayUse reports whether a revision may be put in force.
func (s *startup) mayUse(revision uint64) bool { return s.done || revision <= s.newestFromPeer }

// tail reads the control stream until ctx is done.
func (k *Keeper) tail(ctx context.Context) {
	var wait backoff
	from, started := uint64(0), false
	for ctx.Err() == nil {
		var err error
		if started {
			from, err = k.readPage(ctx, from)
		} else if from, err = k.findStartOffset(ctx); err == nil {
			started = true
		}
		if err == nil {
			wait.reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		k.recordUnreachable(err)
		if !sleep.For(ctx, wait.next(k.random)) {
			return
		}
	}
}

// findStartOffset returns the offset at which a new process starts to read: the
// log's first record, or in a long log the record that accepted the revision of
// a peer.
func (k *Keeper) findStartOffset(ctx context.Context) (uint64, error) {
	page, err := k.read(ctx, 0, 1, 0)
	if err != nil && !errors.Is(err, platform.ErrTruncated) {
		return 0, err
	}
	k.mu.Lock()
	k.startupState.endAtStart = page.End
	k.mu.Unlock()
	if page.End-min(page.First, page.End) <= maxFullRead {
		return page.First, nil
	}
	for range maxJoinAttempts {
		if head := k.head(); head != nil && head.Offset >= page.First && head.Offset < page.End {
			return head.Offset, nil
		}
		k.exchangeWithRandomPeers(ctx, spreadFanout)
		if !sleep.For(ctx, joinInterval) {
			break
		}
	}
	return page.First, nil
}

// readPage reads and applies one page, and returns the next offset to read.
func (k *Keeper) readPage(ctx context.Context, from uint64) (uint64, error) {
	startTime := time.Now()
	page, err := k.read(ctx, from, maxPage, pollWait)
	switch {
	case errors.Is(err, platform.ErrTruncated) && page.First > from:
		k.handleGap("The log gave up records before they were read here.", from, page)
		return page.First, nil
	case err != nil:
		return from, err
	case page.End < from:
		// The log ends before records already read from it: it has lost them.
		k.handleGap("The log ends before the offset already read: it was reset.", from, page)
		return page.First, nil
	}
	k.apply(page.Records)
	next := max(page.Next, from)
	k.recordReachable(next, page.End)
	if len(page.Records) == 0 && time.Since(startTime) < idlePause {
		sleep.For(ctx, k.random.jitter(idlePause))
	}
	return next, nil
}

// read reads up to the given number of records and counts the read.
func (k *Keeper) read(ctx context.Context, from uint64, records int, wait time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+pollMargin)
	defer cancel()
	logReads.Add(1)
	page, err := k.cfg.Log.Read(ctx, platform.StreamControl, from, records, wait)
	if err != nil && !errors.Is(err, platform.ErrTruncated) {
		logReadsFailed.Add(1)
	}
	for _, rec := range page.Records {
		logReadBytes.Add(int64(len(rec.Data)))
	}
	return page, err
}

// handleGap records that records of the log can no longer be read, and logs why.
func (k *Keeper) handleGap(message string, from uint64, page platform.Page) {
	logGaps.Add(1)
	k.limitedLog.Error(message, zap.Uint64("from", from), zap.Uint64("first", page.First), zap.Uint64("end", page.End))
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state.HandleTruncation()
}

// recordReachable records a successful read up to the offset next. Startup ends
// once the log has been read up to its end at the start.
func (k *Keeper) recordReachable(next, end uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	wasUnreachable := !k.health.reachable
	k.health = logHealth{reachable: true, nextOffset: next, endOffset: end}
	if wasUnreachable {
		k.log.Info("The log is reachable.", zap.Uint64("next", next), zap.Uint64("end", end))
		notify(k.keepAliveSignal)
	}
	// A log that was reset may end before endAtStart.
	if !k.startupState.done && next >= min(k.startupState.endAtStart, end) {
		k.startupState.done = true
		k.publish(logSpreadDelay)
	}
}

// recordUnreachable records a failed read.
func (k *Keeper) recordUnreachable(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.health.reachable, k.health.err = false, err
	k.limitedLog.Warn("The log can't be read; changes come from peers only.", zap.Error(err))
}

func (k *Keeper) isLogReachable() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.health.reachable
}

// Status is the Keeper's state as shown to operators.
type Status struct {
	Revision     uint64 `json:"revision"` // in force
	Hash         string `json:"hash"`
	Offset       uint64 `json:"offset"`  // log offset that accepted it
	Newest       uint64 `json:"newest"`  // newest accepted; higher than Revision if this release can't read it
	Settled      bool   `json:"settled"` // false: because of a gap it is not certain which commits were accepted
	Next         uint64 `json:"next"`    // next offset to read
	Lag          uint64 `json:"log_lag"` // records not read yet, as of the last read
	LogReachable bool   `json:"log_reachable"`
	LogError     string `json:"log_error,omitempty"`
	Peers        int    `json:"peers"`
	Pending      int    `json:"pending_versions"` // announced here and not yet in the log
}

// Status returns the Keeper's current state.
func (k *Keeper) Status() Status {
	peers := len(k.cfg.Peers())
	view := k.View()
	k.mu.Lock()
	defer k.mu.Unlock()
	s := Status{
		Revision: view.Number, Hash: view.Hash, Offset: view.Offset,
		Settled: k.state.Settled(), Next: k.health.nextOffset, LogReachable: k.health.reachable,
		Peers: peers, Pending: len(k.pending),
	}
	if head := k.state.Head(); head != nil {
		s.Newest = head.Number
	}
	if k.health.endOffset > k.health.nextOffset {
		s.Lag = k.health.endOffset - k.health.nextOffset
	}
	if k.health.err != nil && !k.health.reachable {
		s.LogError = k.health.err.Error()
	}
	return s
}
