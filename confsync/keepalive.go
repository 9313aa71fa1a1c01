package confsync

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/fold/control"
)

// The log forgets records after its retention time R. Before R/2 has gone
// since the newest record that carries the revision, some process must append
// it again; all others see that record and start anew. Nobody is told to do
// it: each process draws a time, and the first one does it.
//
// With uniform draws from a window W, (n-1)·L/W others would append too, where
// L is the time in which an append reaches them: for n = 1,860, L = 2 s and
// R = 1 h (W = R/4 = 900 s) that is 4.1 doubles each time. So the draws have
// the density
//
//	f(z) = λ·e^(λz/W) / (W·(e^λ - 1)),  0 ≤ z < W,  λ = ln(maxProcesses) + 1
//
// which rises steeply to the window's end (Nonnenmacher and Biersack, "Optimal
// multicast feedback", INFOCOM 1998). Of n processes the first is expected
// where n·F(z) = 1, that is e^(λz/W) = e^λ/n, and within L behind it
//
//	n·f(z)·L = λ·L/W
//
// others append: for any n up to maxProcesses 9.3·2/900 = 0.02 doubles.
// TestFewDoubles simulates it.
const (
	maxProcesses = 4096
	// defaultRetention holds where the manifest names none.
	defaultRetention = 24 * time.Hour
)

// window is a part of the retention time, counted from the newest copy or,
// after an outage, from the log's return.
type window struct{ from, length time.Duration }

// normalWindow ends at 3/8 of the retention time: an eighth is left for a log
// that is down just then.
func normalWindow(retention time.Duration) window {
	return window{retention / 8, retention / 4}
}

// lateWindow is for processes whose time has come while the log was down:
// without a new draw all would append in the second of its return.
func lateWindow(retention time.Duration) window {
	return window{0, retention / 16}
}

// draw returns a time in the window; u is uniform in [0, 1).
func (w window) draw(u float64) time.Duration {
	lambda := math.Log(maxProcesses) + 1
	z := math.Log1p(u*math.Expm1(lambda)) / lambda // inverse of F
	return w.from + time.Duration(z*float64(w.length))
}

// keepAlive reappends the revision, with the versions that the log gave, when
// this process is the first whose time has come.
func (k *Keeper) keepAlive(ctx context.Context) {
	var lastCopy control.NewestCopy
	var due time.Time // zero: nothing to keep alive
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
			continue // something has changed
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

// dueAt counts from the copy's time by the log's clock, or from now where no
// copy was read here. A copy can't be from the future; a clock that says so is
// wrong.
func dueAt(newest control.NewestCopy, now time.Time, delay time.Duration) time.Time {
	start := newest.Time
	if start.IsZero() || start.After(now) {
		start = now
	}
	return start.Add(delay)
}

// waitUntil returns true at the time, false when k.copied tells of a change or
// ctx is done. It waits for ever where the time is zero.
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

// waitForLog waits until the log can be read; it returns false when ctx is done.
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

// newestCopy returns the newest copy of the revision in the log. ok is false
// where this process has nothing that it may reappend.
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

func (k *Keeper) retentionLocked() time.Duration {
	if rev := k.state.Revision(); rev != nil && rev.Manifest.Fleet.LogRetention > 0 {
		return rev.Manifest.Fleet.LogRetention
	}
	return defaultRetention
}

// reappend writes the revision again unless somebody else just has.
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
