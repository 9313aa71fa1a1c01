package confsync

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/fold/control"
)

// The log drops records after its retention time R. Before R/2 has passed since
// the newest record that carries the revision, some process must append the
// revision again. No process is assigned to do so: each draws a random time, and
// the one with the earliest time appends. The others read that record and draw
// again.
//
// With uniform draws from a window W, (n-1)·L/W other processes would append as
// well, where L is the time until they read the first append: for n = 1,860,
// L = 2 s and R = 1 h (W = R/4 = 900 s) that is 4.1 duplicates each time.
// Therefore the draws have the density
//
//	f(z) = λ·e^(λz/W) / (W·(e^λ - 1)),  0 ≤ z < W,  λ = ln(maxProcesses) + 1
//
// which rises steeply towards the window's end (Nonnenmacher and Biersack,
// "Optimal multicast feedback", INFOCOM 1998). Of n processes the first is
// expected where n·F(z) = 1, that is e^(λz/W) = e^λ/n. In the time L after it
//
//	n·f(z)·L = λ·L/W
//
// others append: for any n up to maxProcesses 9.3·2/900 = 0.02 duplicates.
// TestFewDoubleReappends simulates this.
const (
	maxProcesses = 4096
	// defaultRetention is used if the manifest sets no retention time.
	defaultRetention = 24 * time.Hour
)

// window is the time in which a process may reappend the revision, counted from
// the newest copy or, after an outage, from when the log was available again.
type window struct{ from, length time.Duration }

// normalWindow ends at 3/8 of the retention time. Up to R/2 this leaves an
// eighth in case the log is unavailable then.
func normalWindow(retention time.Duration) window {
	return window{retention / 8, retention / 4}
}

// lateWindow is for processes whose time passed while the log was unavailable.
// Without a new draw all of them would append as soon as it is available again.
func lateWindow(retention time.Duration) window {
	return window{0, retention / 16}
}

// draw returns a random time in the window with the density above; u is uniform
// in [0, 1).
func (w window) draw(u float64) time.Duration {
	lambda := math.Log(maxProcesses) + 1
	z := math.Log1p(u*math.Expm1(lambda)) / lambda // inverse of F
	return w.from + time.Duration(z*float64(w.length))
}

// keepAlive reappends the revision, with the weight versions read from the log,
// whenever this process's drawn time comes before another process has done so.
// It runs until ctx is done.
func (k *Keeper) keepAlive(ctx context.Context) {
	var lastCopy control.NewestCopy
	var due time.Time // zero: no revision to reappend
	for {
		if newest, retention, ok := k.newestCopy(); !ok {
			due = time.Time{}
		} else if due.IsZero() || newest != lastCopy {
			lastCopy = newest
			due = dueAt(newest, time.Now(), normalWindow(retention).draw(k.random()))
		}
		if !k.waitUntil(ctx, due) {
			if ctx.Err() != nil {
				return
			}
			continue // woken by keepAliveSignal
		}
		late := !k.isLogReachable()
		if late && !k.waitForLog(ctx) {
			return
		}
		if !late {
			k.reappend(ctx, lastCopy)
		}
		due = time.Now().Add(lateWindow(k.retention()).draw(k.random()))
	}
}

// dueAt returns the time to reappend: delay after the time of the newest copy by
// the log's clock. If no copy was read, or if its time is in the future, which
// only a wrong clock causes, the delay counts from now.
func dueAt(newest control.NewestCopy, now time.Time, delay time.Duration) time.Time {
	start := newest.Time
	if start.IsZero() || start.After(now) {
		start = now
	}
	return start.Add(delay)
}

// waitUntil waits until the given time and returns true. It returns false early
// on a keepAliveSignal or when ctx is done. With a zero time it waits only for
// these.
func (k *Keeper) waitUntil(ctx context.Context, at time.Time) bool {
	var timerChan <-chan time.Time
	if !at.IsZero() {
		timer := time.NewTimer(time.Until(at))
		defer timer.Stop()
		timerChan = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-k.keepAliveSignal:
		return false
	case <-timerChan:
		return true
	}
}

// waitForLog waits until the log can be read. It returns false if ctx is done
// first.
func (k *Keeper) waitForLog(ctx context.Context) bool {
	for !k.isLogReachable() {
		select {
		case <-ctx.Done():
			return false
		case <-k.keepAliveSignal:
		}
	}
	return true
}

// newestCopy returns the newest copy of the revision in the log and the log's
// retention time. ok is false if this process may not reappend: it knows no
// revision, or a gap in the log is not settled.
func (k *Keeper) newestCopy() (newest control.NewestCopy, retention time.Duration, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.state.Settled() || k.state.Head() == nil {
		return control.NewestCopy{}, 0, false
	}
	return k.state.NewestCopy(), k.retentionLocked(), true
}

func (k *Keeper) retention() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.retentionLocked()
}

// retentionLocked returns the log's retention time; the caller holds k.mu.
func (k *Keeper) retentionLocked() time.Duration {
	if rev := k.state.Revision(); rev != nil && rev.Manifest.Fleet.LogRetention > 0 {
		return rev.Manifest.Fleet.LogRetention
	}
	return defaultRetention
}

// reappend appends the revision again unless a newer copy than lastCopy has been
// read meanwhile.
func (k *Keeper) reappend(ctx context.Context, lastCopy control.NewestCopy) {
	k.mu.Lock()
	data, ok := k.state.EncodeReappend(newID("reappend", k.cfg.Name))
	renewed := k.state.NewestCopy() != lastCopy
	k.mu.Unlock()
	if !ok || renewed {
		return
	}
	if err := k.append(ctx, data); err != nil {
		k.limitedLog.Warn("The revision can't be reappended yet.", zap.Error(err))
		return
	}
	reappends.Add(1)
	k.log.Info("Reappended the revision.", zap.Uint64("offset", lastCopy.Offset))
}
