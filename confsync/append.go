package confsync

import (
	"bytes"
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/fold/control"
	"dandelionsill.org/platform"
)

// Bounds of one process's appends. Announcements of one model that come faster
// are merged, because only the newest version counts.
const (
	appendRate    rate.Limit = 1
	appendBurst              = 4
	appendTimeout            = 5 * time.Second
)

// appendVersions appends the versions announced in this process to the log until
// ctx is done.
func (k *Keeper) appendVersions(ctx context.Context) {
	var wait backoff
	for {
		model, version, ok := k.nextPending()
		if !ok {
			select {
			case <-ctx.Done():
				return
			case <-k.announceSignal:
			}
			continue
		}
		err := k.append(ctx, control.EncodeVersion(newID("version", k.cfg.Name), model, version))
		if err == nil {
			wait.reset()
			k.dropPending(model, version)
			continue
		}
		k.limitedLog.Warn("A weight version can't be written to the log yet; peers have it.", zap.String("model", model), zap.Error(err))
		if !sleep.For(ctx, wait.next(k.random)) {
			return
		}
	}
}

// nextPending returns any announcement that is not in the log yet; ok is false
// if there is none.
func (k *Keeper) nextPending() (model string, version uint64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for model, version := range k.pending {
		return model, version, true
	}
	return "", 0, false
}

// dropPending drops a model's announcement that was appended, unless a newer
// version was announced meanwhile.
func (k *Keeper) dropPending(model string, version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pending[model] <= version {
		delete(k.pending, model)
	}
}

// dropPendingInLog drops the announcements that were read from the log, where
// this or another process appended them. The caller holds k.mu.
func (k *Keeper) dropPendingInLog() {
	for model, version := range k.pending {
		if k.loggedVersions[model] >= version {
			delete(k.pending, model)
		}
	}
}

// append appends one record to the log. If the answer is lost it reads the log
// to find out whether the record was written. Only if that fails too may a retry
// write the record twice, which is harmless.
func (k *Keeper) append(ctx context.Context, data []byte) error {
	if err := k.appends.Wait(ctx); err != nil {
		return errors.Trace(err)
	}
	from := k.nextOffset()
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	logAppends.Add(1)
	_, err := k.cfg.Log.Append(ctx, platform.StreamControl, data)
	if err == nil {
		return nil
	}
	logAppendsFailed.Add(1)
	if errors.Is(err, platform.ErrAppendUnknown) {
		found, readErr := k.findRecord(ctx, from, data)
		if found {
			return nil
		}
		if readErr != nil {
			return errors.Annotate(readErr, "lost the answer to an append and can't read the log to find the record")
		}
	}
	return errors.Trace(err)
}

// nextOffset returns the next offset to read. No record appended from now on has
// a lower offset.
func (k *Keeper) nextOffset() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.health.nextOffset
}

// findRecord reports whether the log has a record with this data at the offset
// from or after it.
func (k *Keeper) findRecord(ctx context.Context, from uint64, data []byte) (bool, error) {
	for {
		page, err := k.cfg.Log.Read(ctx, platform.StreamControl, from, maxPage, 0)
		if errors.Is(err, platform.ErrTruncated) && page.First > from {
			from = page.First
			continue
		}
		if err != nil {
			return false, errors.Trace(err)
		}
		for _, rec := range page.Records {
			if bytes.Equal(rec.Data, data) {
				return true, nil
			}
		}
		if len(page.Records) == 0 || page.Next >= page.End {
			return false, nil
		}
		from = page.Next
	}
}
