package ctl

import (
	"context"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/fold/control"
	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
)

const maxPageRecords = 256 // per read

// reader reads the control stream and applies its records to a state.
type reader struct {
	log        platform.Log
	keys       manifest.Keys
	state      *control.State
	nextOffset uint64 // the next offset to read
	endOffset  uint64 // the stream's end at the last read

	// unknownKeys holds the ids of keys that are missing in keys, and whose revisions
	// were rejected for that reason.
	unknownKeys map[string]bool
}

func newReader(log platform.Log, keys manifest.Keys) *reader {
	return &reader{log: log, keys: keys, state: control.New(keys), unknownKeys: map[string]bool{}}
}

// readPage reads and applies one page of records. It waits up to wait for the first
// record. If records were truncated, it skips to the oldest one that is kept.
func (r *reader) readPage(ctx context.Context, wait time.Duration) ([]control.Event, error) {
	page, err := r.log.Read(ctx, platform.StreamControl, r.nextOffset, maxPageRecords, wait)
	if errors.Is(err, platform.ErrTruncated) {
		if page.First <= r.nextOffset {
			return nil, errors.Annotatef(err, "the log refuses offset %d but keeps records from %d on", r.nextOffset, page.First)
		}
		r.state.HandleTruncation()
		r.nextOffset, r.endOffset = page.First, page.End
		return nil, nil
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	var events []control.Event
	for _, rec := range page.Records {
		events = append(events, r.state.Apply(rec)...)
		r.nextOffset = rec.Offset + 1
	}
	r.endOffset = page.End
	r.recordUnknownKeys(events)
	return events, nil
}

func (r *reader) recordUnknownKeys(events []control.Event) {
	for _, e := range events {
		if rejected, ok := e.(control.Rejected); ok {
			if _, known := r.keys[rejected.KeyID]; !known {
				r.unknownKeys[rejected.KeyID] = true
			}
		}
	}
}

// readToEnd reads and applies all records up to the current end of the stream.
func (r *reader) readToEnd(ctx context.Context) ([]control.Event, error) {
	var all []control.Event
	for {
		before := r.nextOffset
		events, err := r.readPage(ctx, 0)
		if err != nil {
			return all, err
		}
		all = append(all, events...)
		if r.nextOffset >= r.endOffset {
			return all, nil
		}
		if r.nextOffset == before {
			return all, errors.Errorf("the log keeps no record at offset %d, though it ends at %d", r.nextOffset, r.endOffset)
		}
	}
}

// rejectUnknownKeys returns an error if the state may be wrong because keys are missing.
func (r *reader) rejectUnknownKeys() error {
	for id := range r.unknownKeys {
		return newExitError(ExitFailed, "the log holds revisions signed by key %q; name it in --public, else the revision in force can't be told", id)
	}
	return nil
}
