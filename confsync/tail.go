package confsync

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/platform"
)

// Bounds of a reader of the log.
const (
	// pollWait is the long poll: 1,860 idle processes ask the log 124 times a
	// second.
	pollWait = 15 * time.Second
	// pollMargin is added to it before the read counts as failed.
	pollMargin = 5 * time.Second
	// maxPage bounds a read's memory: some 64 manifests.
	maxPage = 64
	// idlePause keeps a log that answers empty pages at once from being asked
	// in a tight loop.
	idlePause = 100 * time.Millisecond
	// maxFullRead is how many records a new process reads from the log's first
	// record on. Beyond, it takes the revision from a peer and reads on from
	// the offset that accepted it: at fleet size the log keeps some 1.5 GB.
	maxFullRead = 512
	// maxJoinAttempts bounds the wait for such a peer, one exchange each joinPause.
	maxJoinAttempts = 20
	joinInterval    = 250 * time.Millisecond
)

// logHealth is how the log looks from here; Keeper.mu guards it.
type logHealth struct {
	reachable             bool
	err                   error
	nextOffset, endOffset uint64
}

// startup keeps a new process from putting old revisions in force while it
// reads the log's history: were the log to get slow halfway, a caller that a
// later revision shut out would be let in. A revision from a peer is in force
// there, and so may be here. Keeper.mu guards it.
type startup struct {
	done           bool
	endAtStart     uint64 // the log's end at the start
	newestFromPeer uint64 // newest revision that a peer gave
}

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

// findStartOffset finds the offset from which a new process reads on.
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

// readPage reads one page and returns the offset behind it.
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
		// Only a log that lost its records ends before what was read from it.
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

func (k *Keeper) handleGap(message string, from uint64, page platform.Page) {
	logGaps.Add(1)
	k.limitedLog.Error(message, zap.Uint64("from", from), zap.Uint64("first", page.First), zap.Uint64("end", page.End))
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state.HandleTruncation()
}

func (k *Keeper) recordReachable(next, end uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	wasUnreachable := !k.health.reachable
	k.health = logHealth{reachable: true, nextOffset: next, endOffset: end}
	if wasUnreachable {
		k.log.Info("The log is reachable.", zap.Uint64("next", next), zap.Uint64("end", end))
		notify(k.keepAliveSignal)
	}
	// A log that was reset ends before the goal.
	if !k.startupState.done && next >= min(k.startupState.endAtStart, end) {
		k.startupState.done = true
		k.publish(logSpreadDelay)
	}
}

func (k *Keeper) recordUnreachable(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.health.reachable, k.health.err = false, err
	k.limitedLog.Warn("The log can't be read; peers give what changes.", zap.Error(err))
}

func (k *Keeper) isLogReachable() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.health.reachable
}

// Status is what an operator sees of the Keeper.
type Status struct {
	Revision     uint64 `json:"revision"` // in force
	Hash         string `json:"hash"`
	Offset       uint64 `json:"offset"`  // that accepted it
	Newest       uint64 `json:"newest"`  // newest accepted; higher than Revision if this release can't read it
	Settled      bool   `json:"settled"` // false: a gap leaves open which commits won
	Next         uint64 `json:"next"`    // next offset to read
	Lag          uint64 `json:"log_lag"` // records not read yet, when last heard
	LogReachable bool   `json:"log_reachable"`
	LogError     string `json:"log_error,omitempty"`
	Peers        int    `json:"peers"`
	Pending      int    `json:"pending_versions"` // announced here and not yet in the log
}

// Status returns the Keeper's state as of now.
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
