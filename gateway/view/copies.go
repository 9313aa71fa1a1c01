package view

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/sleep"
	"dandelionsill.org/platform"
)

// Copies of what the operator and the servers write. The store may be away in
// parts: where the partition with the configuration could not be reached and all
// processes lost power, nobody would know a configuration although the rest of the
// store answers, and every request would be refused. A process that starts then
// reads the copy. It is older than what it stands for by seconds at most, and is
// not looked at any more once the feed itself was read.
const (
	// copyInterval is how often somebody writes a copy, by the number of processes.
	copyInterval = 4 * time.Second
	// copyWriters is how many processes write a copy of a new configuration, in the
	// mean: with three, one in twenty is left to the turn of the next.
	copyWriters = 3
	// maxCopyDelay is the longest that such a copy waits.
	maxCopyDelay = 400 * time.Millisecond
)

var (
	copiesSaved = metrics.Counter("view_copies_saved_total")
	copiesUsed  = metrics.Counter("view_copies_used_total")
)

// RunCopies writes copies until ctx ends; processes tells how many do.
func (v *View) RunCopies(ctx context.Context, processes func() int) {
	appliedAt := v.Current().TableAppliedAt
	nextDelay := func() time.Duration { return sleep.Jitter(copyInterval * time.Duration(max(1, processes()))) }
	timer := time.NewTimer(nextDelay())
	defer timer.Stop()
	for {
		changed := v.Changed.Next()
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			v.saveCopies(ctx)
			timer.Reset(nextDelay())
		case <-changed:
			if now := v.Current().TableAppliedAt; now.After(appliedAt) {
				appliedAt = now
				v.copyTable(ctx, processes())
			}
		}
	}
}

// copyTable copies a new configuration where this process is among those that do.
func (v *View) copyTable(ctx context.Context, processes int) {
	if rand.N(max(1, processes)) < copyWriters && sleep.For(ctx, rand.N(maxCopyDelay)) {
		v.saveCopies(ctx)
	}
}

func (v *View) saveCopies(ctx context.Context) {
	for _, feed := range []platform.Feed{platform.FeedOperator, platform.FeedServers} {
		if err := v.feeds.SaveCopy(ctx, feed); err != nil {
			v.log.Info("No copy was written.", zap.Stringer("feed", feed), zap.Error(err))
			return
		}
		copiesSaved.Add(1)
	}
}

// readCopy reads the copy of a feed that this process could never read.
func (f *follower) readCopy(ctx context.Context) {
	if !f.view.UseCopies || f.feedRead || f.copyRead {
		return
	}
	changes, err := f.view.feeds.LoadCopy(ctx, f.feed)
	if err != nil {
		f.view.log.Info("There is no copy to go by.", zap.Stringer("feed", f.feed), zap.Error(err))
		return
	}
	f.copyRead = true
	copiesUsed.Add(1)
	f.view.log.Warn("Going by a copy, for the store can't be reached in this part.", zap.Stringer("feed", f.feed), zap.Int("records", len(changes)))
	f.view.replaceAll(f.feed, changes)
}
