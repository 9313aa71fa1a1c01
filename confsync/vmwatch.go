package confsync

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/sleep"
	"dandelionsill.org/platform"
)

// Bounds of polling the VM list. The list is always returned whole; at fleet
// size (1,860 VMs, about 280 KB) it must not be read often: 5 KB/s of the
// traffic budget allow one read per minute. That is enough, because the list
// only confirms what agents report themselves, and it lags behind anyway.
const (
	minListInterval    = 2 * time.Second
	listTimeout        = 5 * time.Second
	bytesPerVM         = 150
	listBytesPerSecond = 5 << 10
)

// VMWatcher keeps the platform's VM list as of the last successful read. It is
// safe for concurrent use.
type VMWatcher struct {
	list    platform.VMList
	log     *zap.Logger
	random  random
	vms     atomic.Pointer[[]platform.VM]
	changed atomic.Pointer[chan struct{}]
}

// NewVMWatcher returns a watcher with an empty list; Run fills it.
func NewVMWatcher(list platform.VMList, logger *zap.Logger) *VMWatcher {
	if logger == nil {
		logger = zap.NewNop()
	}
	w := &VMWatcher{list: list, log: logs.Limited(logger, logInterval), random: newRandom()}
	w.vms.Store(new([]platform.VM))
	changed := make(chan struct{})
	w.changed.Store(&changed)
	return w
}

// VMs returns the last list read, sorted by name. The caller must not change it.
func (w *VMWatcher) VMs() []platform.VM { return *w.vms.Load() }

// Changed returns a channel that is closed at the next change of the list.
func (w *VMWatcher) Changed() <-chan struct{} { return *w.changed.Load() }

// Run polls the list until ctx is done. While the list can't be read, VMs
// returns the last one.
func (w *VMWatcher) Run(ctx context.Context) {
	var wait backoff
	for ctx.Err() == nil {
		pause := w.random.jitter(listInterval(len(w.VMs())))
		if err := w.poll(ctx); err != nil && ctx.Err() == nil {
			vmListFailed.Add(1)
			w.log.Warn("The VM list can't be read; the last one stays in use.", zap.Error(err))
			pause = wait.next(w.random)
		} else {
			wait.reset()
		}
		if !sleep.For(ctx, pause) {
			return
		}
	}
}

// listInterval returns the time between two reads of a list of n VMs: at least
// minListInterval, and long enough to keep to listBytesPerSecond.
func listInterval(n int) time.Duration {
	return max(minListInterval, time.Duration(n*bytesPerVM)*time.Second/listBytesPerSecond)
}

func (w *VMWatcher) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, err := w.list.List(ctx)
	if err != nil {
		return err
	}
	vms = slices.Clone(vms)
	slices.SortFunc(vms, func(a, b platform.VM) int { return cmp.Compare(a.Name, b.Name) })
	if slices.Equal(vms, w.VMs()) {
		return nil
	}
	w.vms.Store(&vms)
	changed := make(chan struct{})
	close(*w.changed.Swap(&changed))
	return nil
}
