package view

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/metrics"
	"dandelionsill.org/base/sleep"
	"dandelionsill.org/platform"
)

// Copies of the feeds of the operator and of the servers. Parts of the store can be
// unavailable: if the partition with the configuration could not be reached and all
// processes lost power, no process would know a configuration although the rest of the
// store answers, and every request would be refused. A process that starts then reads
// the copy. The copy is at most seconds older than the feed, and is not used any more
// once the feed itself has been read.
const (
	// copyInterval is the mean time between two copies by any process. Each process
	// copies at this interval times the number of processes.
	copyInterval = 4 * time.Second
	// copyWriters is the mean number of processes that copy a change at once. With
	// three, no process copies it in one case of twenty; the next periodic copy then
	// contains it.
	copyWriters = 3
	// maxCopyDelay bounds the random delay of such a copy.
	maxCopyDelay = 400 * time.Millisecond
)

var (
	copiesSaved = metrics.Counter("view_copies_saved_total")
	copiesUsed  = metrics.Counter("view_copies_used_total")
)

// RunCopies writes copies until ctx ends. processes returns the number of processes
// that run it.
func (v *View) RunCopies(ctx context.Context, processes func() int) {
	copied := v.Current()
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
			now := v.Current()
			if now.TableAppliedAt.After(copied.TableAppliedAt) || !maps.Equal(now.Evacuated, copied.Evacuated) {
				v.copyNow(ctx, processes())
			}
			copied = now
		}
	}
}

// copyNow copies a new configuration, or evacuations that have begun or ended, if this process is
// among those randomly chosen to.
func (v *View) copyNow(ctx context.Context, processes int) {
	if rand.N(max(1, processes)) < copyWriters && sleep.For(ctx, rand.N(maxCopyDelay)) {
		v.saveCopies(ctx)
	}
}

// saveCopies writes a copy of both feeds.
func (v *View) saveCopies(ctx context.Context) {
	for _, feed := range []platform.Feed{platform.FeedOperator, platform.FeedServers} {
		if err := v.feeds.SaveCopy(ctx, feed); err != nil {
			v.log.Info("A copy of the feed could not be written.", zap.Stringer("feed", feed), zap.Error(err))
			return
		}
		copiesSaved.Add(1)
	}
}

// readCopy reads the copy of a feed that this process has never been able to read.
func (f *follower) readCopy(ctx context.Context) {
	if !f.view.UseCopies || f.feedRead || f.copyRead {
		return
	}
	changes, err := f.view.feeds.LoadCopy(ctx, f.feed)
	if err != nil {
		f.view.log.Info("No copy of the feed could be read.", zap.Stringer("feed", f.feed), zap.Error(err))
		return
	}
	f.copyRead = true
	copiesUsed.Add(1)
	f.view.log.Warn("Using a copy of the feed, because the feed can't be read.", zap.Stringer("feed", f.feed), zap.Int("records", len(changes)))
	f.view.replaceAll(f.feed, platform.FeedPage{Changes: changes, IsList: true})
}
